"""Interface to the packet formats of callers and targets."""

import typing

import msgspec

__all__ = ["PacketFormat", "Segment"]


class Segment(msgspec.Struct, frozen=True):
    """A packet's header, independent of the packet format.

    Attributes:
        key: Flow key: addresses and ports of caller and service, encoded as
            the format defines. Packets of both directions have the same key.
        opens: Whether it is an opening packet: a request to open a flow.
        copies: Opening packets sent for the flow before this one.
        accepts: Whether it is a target's answer to an opening packet.
        closes: Whether its sender sends no data after it.
        resets: Whether it ends the flow at once.
        returned: Whether it is a caller's packet that a target has returned,
            because it does not hold the flow or can't accept it.
        sequence: Sequence number of the first byte of data.
        acknowledgement: Sequence number of the next byte that the sender
            expects.
        length: Length of the data, bytes.
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
    """Parses and builds the packets of callers and targets."""

    def from_caller(self, data: bytes) -> Segment | None:
        """Parses a caller's packet.

        Args:
            data: The packet.

        Returns:
            Its header, None if it is malformed.
        """

    def from_target(self, data: bytes) -> Segment | None:
        """Parses a target's packet.

        Args:
            data: The packet.

        Returns:
            Its header, None if it is malformed.
        """

    def service_address(self, key: bytes) -> bytes:
        """Returns the encoded address and port of the service in a flow key.

        Args:
            key: Flow key.
        """

    def caller_address(self, key: bytes) -> tuple[str, int]:
        """Returns where packets for a flow's caller are sent: address and port.

        Args:
            key: Flow key.
        """

    def caller_host(self, key: bytes) -> bytes:
        """Returns the encoded address of a flow's caller, without the port.

        Args:
            key: Flow key.
        """

    def reset_packet(self, segment: Segment) -> bytes:
        """Returns the packet that resets the flow of a caller's packet.

        Args:
            segment: Header of the caller's packet.
        """

    def original_packet(self, data: bytes) -> bytes:
        """Returns the caller's packet that a target has returned.

        Args:
            data: The returned packet.
        """

    def flow_text(self, key: bytes) -> str:
        """Returns a flow key as text for logs: ``caller>service``.

        Args:
            key: Flow key.
        """
