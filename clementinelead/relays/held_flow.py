"""The record of one flow that a target holds."""

import msgspec

from clementinelead.relays import formats
from clementinelead.relays import sequences

__all__ = ["HeldFlow"]


class HeldFlow(msgspec.Struct):
    """A flow that the target holds.

    Attributes:
        initial_sequence: Initial sequence number of the target, None if it has
            not been seen.
        last_packet_at: Time of the last packet, seconds.
        balancer: Balancer that sent the last packet, None if not known.
        chosen_by_caller: Whether the caller continues the flow with this
            target, not with another one that accepted a copy of its opening
            packet.
        confirmed_by_target: Whether the current incarnation of the target has
            sent a packet of the flow or kept a packet that it would have
            returned otherwise.
        has_work: Whether a request is under way or expected.
        request_at: Time of the last data of the request under way, seconds;
            None without a request.
        request_end: Sequence number after the last data of the caller, None
            before any data.
        work_ahead: Requests that were under way before this one.
        min_completed: Completed requests at the target before it can have
            started on this flow's request.
        closing: Whether either end has closed or reset the flow.
        request_queued: Whether the data of its next request is held for a turn.
        queued_from: Value of ``request_end`` before the held data.
        target_end: Sequence number after the caller's data that the target has
            been sent although no request was recorded, None if there is none.
            Data up to it is no new request for the queue.
        request_start: Sequence number of the first byte of the last request that
            arrived while the request queue was in use, None if there is none.
        answer_start: Sequence number after the answers that the caller had
            received when it sent that request, None likewise.
    """

    initial_sequence: int | None
    last_packet_at: float
    balancer: tuple[str, int] | None
    chosen_by_caller: bool = False
    confirmed_by_target: bool = False
    has_work: bool = False
    request_at: float | None = None
    request_end: int | None = None
    work_ahead: int = 0
    min_completed: int = 0
    closing: bool = False
    request_queued: bool = False
    queued_from: int | None = None
    target_end: int | None = None
    request_start: int | None = None
    answer_start: int | None = None

    @property
    def is_open(self) -> bool:
        """Whether the present incarnation of the target holds it open."""
        return self.confirmed_by_target and not self.closing

    def is_acknowledged_by(self, segment: formats.Segment) -> bool:
        """Returns whether a caller's first packet acknowledges the acceptance.

        Args:
            segment: Header of a packet that does not open the flow.

        Returns:
            True also if the target's initial sequence number is not known.
        """
        if self.initial_sequence is None:
            return True
        return sequences.acknowledges(
            segment.acknowledgement,
            self.initial_sequence,
            sequences.FIRST_ACKNOWLEDGED_BYTES,
        )

    def record_new_data(self, segment: formats.Segment) -> bool:
        """Records the end of a caller's data and returns whether it is new.

        A retransmission that crosses the answer is not a new request.

        Args:
            segment: Header of a packet with data.
        """
        end = (segment.sequence + segment.length) & sequences.MASK
        if not _is_beyond(end, self.request_end):
            return False
        self.request_end = end
        return True

    def record_target_end(self, end: int) -> None:
        """Records data that the target has been sent without a request.

        Args:
            end: Sequence number after the data.
        """
        if self.request_end is None and _is_beyond(end, self.target_end):
            self.target_end = end

    def expect_answer(self, segment: formats.Segment, end: int | None) -> None:
        """Records which of the target's packets can answer a new request.

        Args:
            segment: Header of the first packet of the request.
            end: Sequence number after the data before it, None if not known.
        """
        self.request_start = segment.sequence if end is None else end
        self.answer_start = segment.acknowledgement

    def belongs_to_earlier_answer(self, segment: formats.Segment) -> bool:
        """Returns whether data of the target answers an earlier request.

        Targets retransmit data until its acknowledgement arrives. Such a packet
        was either sent before the target had the request, which then it does
        not acknowledge, or the caller had acknowledged its data with the
        request. Numbers that are far away are not compared: the sender may not
        fill the field.

        Args:
            segment: Header of the target's packet.
        """
        if self.request_start is None or self.answer_start is None:
            return False
        end = (segment.sequence + segment.length) & sequences.MASK
        return sequences.acknowledges(
            self.request_start, segment.acknowledgement
        ) or sequences.acknowledges(self.answer_start, end)


def _is_beyond(end: int, recorded_end: int | None) -> bool:
    """Returns whether data goes beyond the recorded data, if there is any."""
    if recorded_end is None:
        return True
    distance = (end - recorded_end - 1) & sequences.MASK
    return distance < sequences.HALF_RANGE
