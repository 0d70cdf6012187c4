"""What the flow decisions need to know of a packet, whatever its format."""

import typing

import msgspec

__all__ = ["PacketFormat", "Segment"]


class Segment(msgspec.Struct, frozen=True):
    """A packet's header as the decisions see it.

    Attributes:
        key: Flow key: the caller's and the service's address and port, in an
            order of the format's own. Both directions have the same key.
        opens: Whether it asks to open a flow.
        copies: How many such packets its caller has sent for the flow before.
        accepts: Whether it answers such a packet.
        closes: Whether its sender sends nothing after it.
        resets: Whether it ends the flow at once.
        returned: Whether a target has returned it as not its own.
        sequence: Number of the first byte of data.
        acknowledgement: Number of the next byte that the sender expects.
        length: Bytes of data.
    """

    key: bytes
    opens: bool
    copies: int
    accepts: bool
    closes: bool
    resets: bool
    returned: bool
    sequence: int
    acknowledgement: int
    length: int


class PacketFormat(typing.Protocol):
    """Reads and writes the packets of callers and targets."""

    def from_caller(self, data: bytes) -> Segment | None:
        """Returns the header of a caller's packet, None if malformed."""

    def from_target(self, data: bytes) -> Segment | None:
        """Returns the header of a target's packet, None if malformed."""

    def service_address(self, key: bytes) -> bytes:
        """Returns the part of a flow key that names the service's address."""

    def caller_address(self, key: bytes) -> tuple[str, int]:
        """Returns where packets for a flow's caller are sent."""

    def reset_packet(self, segment: Segment) -> bytes:
        """Returns the packet that ends the flow of a caller's packet."""

    def original_packet(self, data: bytes) -> bytes:
        """Returns a returned packet as its sender wrote it."""

    def flow_text(self, key: bytes) -> str:
        """Returns a flow key as logs show it: ``caller>service``."""
