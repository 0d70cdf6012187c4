"""Probes under way: asked directly, then through helpers."""

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
"""One of so many rounds asks a process that was declared dead."""

_Address = tuple[str, int]


class _Probe(msgspec.Struct):
    """A question that waits for its acknowledgement.

    Attributes:
        subject: Identifier of who was asked.
        sent: When, seconds.
        helped: Whether helpers have been asked.
        requester: Address, and number of the probe, of the process that this
            one helps; None for a probe of its own.
    """

    subject: str
    sent: float
    helped: bool
    requester: tuple[_Address, int] | None


class Prober:
    """Asks processes for a sign of life, and suspects who gives none."""

    def __init__(
        self,
        table: members.MemberTable,
        others: peer_selection.PeerSelector,
        riding: dissemination.DisseminationQueue,
        suspects: suspicions.Suspicions,
        options: options_module.Options,
        generator: random.Random,
    ):
        """Begins with no probe under way.

        Args:
            table: All records known.
            others: The other living processes.
            riding: Records to ride on the probes.
            suspects: Hears of who did not answer.
            options: Timing.
            generator: Draws helpers.
        """
        self._table = table
        self._peer_selector = others
        self._dissemination = riding
        self._suspicions = suspects
        self._options = options
        self._random = generator
        self._probe_by_number: dict[int, _Probe] = {}
        self._number = 0
        self._rounds = 0

    def clear(self) -> None:
        """Forgets the probes under way, whose answers may have been missed."""
        self._probe_by_number.clear()

    def probe(
        self,
        subject: records.Record,
        now: float,
        requester: tuple[_Address, int] | None = None,
    ) -> outgoing.Message:
        """Returns a question to a process.

        Args:
            subject: Its record.
            now: Present time, seconds.
            requester: Address and number of the probe of who is helped.
        """
        self._number += 1
        self._probe_by_number[self._number] = _Probe(
            subject.id, now, False, requester
        )
        body = controls.Ping(self._number)
        return outgoing.Message(
            subject.control_address, self._dissemination.next_piggyback(), body
        )

    def probe_dead(self) -> list[outgoing.Message]:
        """Asks one of those declared dead: it may only have been cut off.

        To be called in each round; it asks in one of many.
        """
        self._rounds += 1
        dead = self._table.dead_records()
        if self._rounds % ROUNDS_PER_DEAD_PROBE or not dead:
            return []
        chosen = self._random.choice(dead)
        body = controls.Ping(outgoing.UNTRACKED_PROBE)
        return [outgoing.Message(chosen.control_address, (chosen,), body)]

    def on_acknowledgement(self, number: int) -> list[outgoing.Message]:
        """Notes an answer; tells the process that this one has helped.

        Args:
            number: Number of the probe.
        """
        probe = self._probe_by_number.pop(number, None)
        if probe is None or probe.requester is None:
            return []
        address, requested = probe.requester
        subject = self._table.by_id.get(probe.subject)
        told = (subject,) if subject else ()
        return [outgoing.Message(address, told, controls.Ack(requested))]

    def probe_for_requester(
        self, number: int, subject: str, source: _Address, now: float
    ) -> list[outgoing.Message]:
        """Probes a process in the place of another one.

        Args:
            number: Number of the other one's probe.
            subject: Identifier of the process.
            source: Address of the other one.
            now: Present time, seconds.
        """
        record = self._table.by_id.get(subject)
        if record is None:
            return []
        return [self.probe(record, now, (source, number))]

    def check_timeouts(self, now: float) -> list[outgoing.Message]:
        """Asks helpers, and suspects who has not answered at all.

        Args:
            now: Present time, seconds.
        """
        sent: list[outgoing.Message] = []
        for number, probe in list(self._probe_by_number.items()):
            waited = now - probe.sent
            if probe.requester is not None:
                if waited > self._options.probe_interval_s:
                    del self._probe_by_number[number]
            elif waited >= 2 * self._options.probe_interval_s:
                del self._probe_by_number[number]
                self._suspicions.suspect(probe.subject, now)
            elif waited >= self._options.probe_timeout_s and not probe.helped:
                probe.helped = True
                sent.extend(self._ask_helpers(number, probe.subject, now))
        return sent

    def _ask_helpers(
        self, number: int, subject: str, now: float
    ) -> list[outgoing.Message]:
        record = self._table.by_id.get(subject)
        if record is None or self._suspicions.has_recent_death(
            record.zone, now
        ):
            return []
        others = [
            one for one in self._peer_selector.peers() if one.id != subject
        ]
        count = min(self._options.indirect_probes, len(others))
        body = controls.PingRequest(number, subject)
        return [
            outgoing.Message(helper.control_address, (), body)
            for helper in self._random.sample(others, count)
        ]
