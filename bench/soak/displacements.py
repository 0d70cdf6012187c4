"""Checks the order in which a target gets requests of two priorities.

Callers of an urgent and of a usual route send to one target. After each request
its caller sends an acknowledgement without data. The side process forwards that
at once, so once the target has it without the request, the request waits in the
request queue. Packets of one flow keep their order on the way to the side
process, and packets of all flows keep theirs from there to the target. The
check therefore depends on no delay of a process.

The bound follows from the rules of the queue. A lower priority has a turn after
three turns of higher ones, or as the first one. Of ``n`` requests that reach the
target while an urgent one waits, at most ``n / 4``, rounded up, are usual ones.
A request that has waited for its objective goes to the target out of turn.
"""

import collections
import collections.abc
import dataclasses

from clementinelead.platform.standins import packets

__all__ = ["OBJECTIVE_S", "Displacements", "Flow"]

OBJECTIVE_S = 1.0
"""Objective of both routes, seconds.

It is several times the wait at the soak's load, so that requests leave the
queue in turn. With one objective for both, no deadline changes the order.
"""

TICK_MARGIN_S = 0.02
"""Time before its objective at which a request leaves the queue, seconds."""

DELAY_MARGIN_S = 0.25
"""Longest delay from the end of a wait until a target reads, seconds.

The targets share a thread with the callers. With the objective it is less than
the time after which a caller abandons a request.
"""

TURNS_PER_LOWER_TURN = 4

Flow = tuple[int, int, int, int]
IsSteady = collections.abc.Callable[[str, str, float], bool]


@dataclasses.dataclass(frozen=True)
class _Path:
    """Balancer of a flow, and when its first answer came, seconds."""

    balancer: str
    answered_at: float


@dataclasses.dataclass
class _Request:
    """Latest request of a flow.

    Attributes:
        end: Sequence number after its data.
        urgent: Whether its route has the higher priority.
        sent_at: When it was sent first, seconds.
        path: Its path; None if the balancer or the side process may treat its
            packets as those of an unknown flow.
        arrived: Whether its target has it.
    """

    end: int
    urgent: bool
    sent_at: float
    path: _Path | None
    arrived: bool = False


@dataclasses.dataclass
class _Wait:
    """Wait of an urgent request in the queue.

    Attributes:
        path: Path of its flow.
        since: When its target got the acknowledgement after it, seconds.
        forwarded: Requests that have reached the target since.
        usual: Those of them that are of the usual route.
    """

    path: _Path
    since: float
    forwarded: int = 0
    usual: int = 0


class Displacements:
    """Records requests of two priorities and finds those out of turn.

    A wait counts only while its balancer, its target and the side process have
    run undisturbed since the first answer on the flow. Otherwise its request
    may be lost, or be forwarded as that of a flow not known yet.

    Attributes:
        waits: Number of waits that were seen, and that ended as they may.
    """

    def __init__(self, is_steady: IsSteady):
        """Starts without requests.

        Args:
            is_steady: Returns for the address of a balancer, the name of a
                target and a time whether both and the side process have run
                undisturbed since then.
        """
        self.waits: collections.Counter[str] = collections.Counter()
        self._is_steady = is_steady
        self._path_by_flow: dict[Flow, _Path] = {}
        self._request_by_flow: dict[Flow, _Request] = {}
        self._waits_by_target: dict[str, dict[Flow, _Wait]] = (
            collections.defaultdict(dict)
        )

    def record_sent(
        self, flow: Flow, end: int, urgent: bool, balancer: str, now: float
    ) -> None:
        """Records that a caller sends a request for the first time.

        Args:
            flow: Flow of the request, which has no other one.
            end: Sequence number after its data.
            urgent: Whether its route has the higher priority.
            balancer: Address of the balancer that it is sent to.
            now: Present time, seconds.
        """
        path = self._path_by_flow.get(flow)
        if path is not None and path.balancer != balancer:
            path = None
        self._request_by_flow[flow] = _Request(end, urgent, now, path)

    def record_answer(self, flow: Flow, balancer: str, now: float) -> None:
        """Records that a caller got an answer.

        Args:
            flow: Flow of the request.
            balancer: Address of the balancer that it was sent to.
            now: Present time, seconds.
        """
        self._path_by_flow.setdefault(flow, _Path(balancer, now))

    def on_packet(
        self, target: str, packet: packets.Packet, now: float
    ) -> list[str]:
        """Records a packet that a target got, in the order of arrival.

        Args:
            target: Name of the target.
            packet: The packet.
            now: Present time, seconds.

        Returns:
            Descriptions of the violations that it shows.
        """
        request = self._request_by_flow.get(packet.flow)
        if request is None or packet.seq + len(packet.data) != request.end:
            return []
        waits = self._waits_by_target[target]
        if not packet.data:
            may_wait = request.urgent and not request.arrived
            if may_wait and request.path is not None:
                waits[packet.flow] = _Wait(request.path, now)
            return []
        is_copy = request.arrived
        request.arrived = True
        if waits.pop(packet.flow, None) is not None:
            self.waits["waits of urgent requests"] += 1
        for flow, wait in list(waits.items()):
            path = wait.path
            if not self._is_steady(path.balancer, target, path.answered_at):
                del waits[flow]
        if request.urgent:
            # A copy of a request may have had a turn of its own.
            for wait in waits.values():
                wait.forwarded += 1
            return []
        if is_copy or not self._is_in_turn(request, target, now):
            return []
        return self._check_usual(waits, target, now)

    def _is_in_turn(self, request: _Request, target: str, now: float) -> bool:
        """Returns whether a usual request must have left the queue in turn."""
        path = request.path
        if path is None or now - request.sent_at >= OBJECTIVE_S - TICK_MARGIN_S:
            return False
        return self._is_steady(path.balancer, target, path.answered_at)

    def _check_usual(
        self, waits: dict[Flow, _Wait], target: str, now: float
    ) -> list[str]:
        """Counts a usual request that has arrived before all that wait."""
        violations = []
        for flow, wait in list(waits.items()):
            wait.forwarded += 1
            wait.usual += 1
            waited_s = now - wait.since
            allowed = -(-wait.forwarded // TURNS_PER_LOWER_TURN)
            is_late = waited_s > OBJECTIVE_S + DELAY_MARGIN_S
            if wait.usual > allowed or is_late:
                violations.append(
                    f"{target} got {wait.usual} requests of a lower priority "
                    f"among {wait.forwarded} while one of port {flow[1]} "
                    f"waited for {waited_s:.3f} s, allowed {allowed}"
                )
                del waits[flow]
            else:
                self.waits["usual requests in turn"] += 1
        return violations
