"""Outstanding probes: direct pings, then indirect probes through helpers."""

import random

import msgspec

from clementinelead.memberships import dissemination
from clementinelead.memberships import members
from clementinelead.memberships import options as options_module
from clementinelead.memberships import outgoing
from clementinelead.memberships import peer_selection
from clementinelead.memberships import records
from clementinelead.memberships import suspicions
from clementinelead.messages import controls

__all__ = ["Prober"]

ROUNDS_PER_DEAD_PROBE = 16
"""Probe rounds of which one pings a process that was declared dead."""

_Address = tuple[str, int]


class _Probe(msgspec.Struct):
    """A ping that has not been acknowledged yet.

    Attributes:
        subject: Identifier of the process pinged.
        sent_at: Time of the ping, seconds.
        indirect_requested: Whether indirect probes have been requested.
        requester: Address and probe number of the process on whose behalf
            this one pings; None for a probe of its own.
    """

    subject: str
    sent_at: float
    indirect_requested: bool
    requester: tuple[_Address, int] | None


class Prober:
    """Probes peers and reports those that don't acknowledge as suspects."""

    def __init__(
        self,
        table: members.MemberTable,
        peer_selector: peer_selection.PeerSelector,
        queue: dissemination.DisseminationQueue,
        suspects: suspicions.Suspicions,
        options: options_module.Options,
        generator: random.Random,
    ):
        """Starts without outstanding probes.

        Args:
            table: All membership records.
            peer_selector: Lists the other living processes.
            queue: Records to piggyback on pings.
            suspects: Receives the processes that did not acknowledge.
            options: Timing and number of indirect probes.
            generator: Source of the random choice of helpers.
        """
        self._table = table
        self._peer_selector = peer_selector
        self._dissemination = queue
        self._suspicions = suspects
        self._options = options
        self._random = generator
        self._probe_by_number: dict[int, _Probe] = {}
        self._last_number = 0
        self._rounds = 0

    def clear(self) -> None:
        """Drops all outstanding probes.

        Used after a pause of this process, in which acknowledgements may have
        been lost.
        """
        self._probe_by_number.clear()

    def probe(
        self,
        subject: records.Record,
        now: float,
        requester: tuple[_Address, int] | None = None,
    ) -> outgoing.Message:
        """Returns a ping and tracks its acknowledgement.

        Args:
            subject: Record of the process to ping.
            now: Present time, seconds.
            requester: Address and probe number of the process on whose behalf
                to ping, None for a probe of this process.
        """
        self._last_number += 1
        self._probe_by_number[self._last_number] = _Probe(
            subject.id, now, False, requester
        )
        body = controls.Ping(self._last_number)
        return outgoing.Message(
            subject.control_address, self._dissemination.next_piggyback(), body
        )

    def probe_dead(self) -> list[outgoing.Message]:
        """Returns a ping to a process declared dead, in one of 16 rounds.

        To be called once per probe round. A process that was only cut off
        receives its own death with the ping and refutes it.
        """
        self._rounds += 1
        dead = self._table.dead_records()
        if self._rounds % ROUNDS_PER_DEAD_PROBE or not dead:
            return []
        subject = self._random.choice(dead)
        body = controls.Ping(outgoing.UNTRACKED_PROBE)
        return [outgoing.Message(subject.control_address, (subject,), body)]

    def on_acknowledgement(self, number: int) -> list[outgoing.Message]:
        """Ends a probe; returns the acknowledgement for its requester.

        Args:
            number: Number of the probe.

        Returns:
            One message for an indirect probe, none for an own or unknown one.
        """
        probe = self._probe_by_number.pop(number, None)
        if probe is None or probe.requester is None:
            return []
        address, requester_number = probe.requester
        subject = self._table.by_id.get(probe.subject)
        carried = (subject,) if subject else ()
        return [
            outgoing.Message(address, carried, controls.Ack(requester_number))
        ]

    def probe_for_requester(
        self, number: int, subject: str, source: _Address, now: float
    ) -> list[outgoing.Message]:
        """Returns an indirect probe, made on behalf of another process.

        Args:
            number: Number of the requester's probe.
            subject: Identifier of the process to ping.
            source: Control address of the requester.
            now: Present time, seconds.

        Returns:
            The ping, none if the subject is not in the table.
        """
        record = self._table.by_id.get(subject)
        if record is None:
            return []
        return [self.probe(record, now, (source, number))]

    def check_timeouts(self, now: float) -> list[outgoing.Message]:
        """Requests indirect probes and reports suspects.

        A probe without acknowledgement is repeated through helpers after
        ``probe_timeout_s``; after two probe intervals its subject becomes a
        suspect. A probe for a requester expires after one interval.

        Args:
            now: Present time, seconds.

        Returns:
            Requests to the helpers.
        """
        sent: list[outgoing.Message] = []
        for number, probe in list(self._probe_by_number.items()):
            waited_s = now - probe.sent_at
            if probe.requester is not None:
                if waited_s > self._options.probe_interval_s:
                    del self._probe_by_number[number]
            elif waited_s >= 2 * self._options.probe_interval_s:
                del self._probe_by_number[number]
                self._suspicions.suspect(probe.subject, now)
            elif (
                waited_s >= self._options.probe_timeout_s
                and not probe.indirect_requested
            ):
                probe.indirect_requested = True
                sent.extend(
                    self._request_indirect_probes(number, probe.subject, now)
                )
        return sent

    def _request_indirect_probes(
        self, number: int, subject: str, now: float
    ) -> list[outgoing.Message]:
        """Returns requests to random helpers.

        There are none if a process of the subject's zone has died recently,
        as the subject has then probably died too.
        """
        record = self._table.by_id.get(subject)
        if record is None or self._suspicions.has_recent_death(
            record.zone, now
        ):
            return []
        helpers = [
            peer for peer in self._peer_selector.peers() if peer.id != subject
        ]
        count = min(self._options.indirect_probes, len(helpers))
        body = controls.PingRequest(number, subject)
        return [
            outgoing.Message(helper.control_address, (), body)
            for helper in self._random.sample(helpers, count)
        ]
