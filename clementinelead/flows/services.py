"""The services of a target, and who holds registrations of its flows."""

import collections.abc

import numpy as np
import numpy.typing as npt

from clementinelead.flows import views
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables

__all__ = ["HOLDERS_PER_FLOW", "Services"]

HOLDERS_PER_FLOW = 2
"""Candidates other than the owner that know where a flow is."""


class Services:
    """Views of the services, by name and by the address of a packet.

    Attributes:
        view_by_name: What is known of the targets of each service.
    """

    def __init__(self, me: envelopes.Candidate):
        """Begins without services.

        Args:
            me: This target as routes name it.
        """
        self.view_by_name: dict[str, views.ServiceView] = {}
        self._me = me
        self._name_by_address: dict[bytes, str] = {}
        self._name_by_id: dict[int, str] = {}

    def take(
        self,
        addresses_by_name: collections.abc.Mapping[
            str, collections.abc.Set[bytes]
        ],
    ) -> None:
        """Takes over the addresses of the services.

        Args:
            addresses_by_name: ``headers.service_key`` of each address.
        """
        self._name_by_address = {
            address: name
            for name, addresses in addresses_by_name.items()
            for address in addresses
        }
        for name in addresses_by_name:
            self.view_by_name.setdefault(name, views.ServiceView(name))

    def of_flow(self, key: headers.FlowKey) -> str | None:
        """Returns the service that a flow's packets are for, if it is known."""
        return self._name_by_address.get(headers.service_key_of_flow(key))

    def update(
        self, name: str, table: tables.BucketTable | None, now: float
    ) -> npt.NDArray[np.bool_] | None:
        """Takes over a new table of a service.

        Args:
            name: Name of the service.
            table: The table, None if the service has no targets.
            now: Present time, seconds.

        Returns:
            Array of shape (buckets,) that tells where holders have changed,
            None if there is no table.
        """
        for member in table.members if table else ():
            self._name_by_id[member.candidate.id] = member.id
        view = self.view_by_name[name]
        return view.update(table, HOLDERS_PER_FLOW + 1, now)

    def table(self, name: str) -> tables.BucketTable | None:
        """Returns the present table of a service."""
        view = self.view_by_name.get(name)
        return view.table if view else None

    def holders(self, name: str, key: headers.FlowKey) -> tuple[str, ...]:
        """Returns the identifiers of the targets to register a flow with."""
        view = self.view_by_name.get(name)
        if view is None:
            return ()
        numbers = view.holders(key, self._me, HOLDERS_PER_FLOW)
        names = (self._name_by_id.get(number) for number in numbers)
        return tuple(found for found in names if found is not None)
