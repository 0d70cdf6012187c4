"""The services of a target and the holders of its flows' registrations."""

import collections.abc

import numpy as np
import numpy.typing as npt

from clementinelead.flows import views
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables

__all__ = ["HOLDERS_PER_FLOW", "ServiceIndex"]

HOLDERS_PER_FLOW = 2
"""Candidates, other than the owner, that a flow is registered with."""


class ServiceIndex:
    """Views of the services, indexed by name and by address.

    Attributes:
        view_by_name: View of each service's targets by service name.
    """

    def __init__(self, own_candidate: envelopes.Candidate):
        """Creates an index without services.

        Args:
            own_candidate: This target in the form used in routes.
        """
        self.view_by_name: dict[str, views.ServiceView] = {}
        self._own_candidate = own_candidate
        self._service_by_address: dict[bytes, str] = {}
        self._target_by_candidate_id: dict[int, str] = {}

    def set_addresses(
        self,
        addresses_by_name: collections.abc.Mapping[
            str, collections.abc.Set[bytes]
        ],
    ) -> None:
        """Replaces the addresses of the services.

        Views of services that are no longer included are kept.

        Args:
            addresses_by_name: ``headers.service_key`` of each address, by
                service name.
        """
        self._service_by_address = {
            address: name
            for name, addresses in addresses_by_name.items()
            for address in addresses
        }
        for name in addresses_by_name:
            self.view_by_name.setdefault(name, views.ServiceView(name))

    def service_of_flow(self, key: headers.FlowKey) -> str | None:
        """Returns the name of a flow's service, or None for other addresses."""
        return self._service_by_address.get(headers.service_key_of_flow(key))

    def update(
        self, name: str, table: tables.BucketTable | None, now: float
    ) -> npt.NDArray[np.bool_] | None:
        """Replaces the table of a service.

        Args:
            name: Name of the service.
            table: The table, or None if the service has no targets.
            now: Present time, seconds.

        Returns:
            Boolean array of shape (buckets,), true where the holders may have
            changed, or None if there is no table.

        Raises:
            KeyError: ``set_addresses`` has not been called with the service.
        """
        for member in table.members if table else ():
            self._target_by_candidate_id[member.candidate.id] = member.id
        view = self.view_by_name[name]
        return view.update(table, HOLDERS_PER_FLOW + 1, now)

    def table(self, name: str) -> tables.BucketTable | None:
        """Returns the current table of a service, or None if it has none."""
        view = self.view_by_name.get(name)
        return view.table if view else None

    def holders(self, name: str, key: headers.FlowKey) -> tuple[str, ...]:
        """Returns the identifiers of the targets to register a flow with.

        Args:
            name: Name of the flow's service.
            key: Key of the flow.

        Returns:
            At most ``HOLDERS_PER_FLOW`` identifiers; none if the service has
            no table.
        """
        view = self.view_by_name.get(name)
        if view is None:
            return ()
        candidate_ids = view.holders(key, self._own_candidate, HOLDERS_PER_FLOW)
        identifiers = (
            self._target_by_candidate_id.get(candidate_id)
            for candidate_id in candidate_ids
        )
        return tuple(
            identifier for identifier in identifiers if identifier is not None
        )
