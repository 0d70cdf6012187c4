"""Control messages that the membership decisions return for sending."""

import msgspec

from clementinelead.memberships import records
from clementinelead.messages import controls

__all__ = ["UNTRACKED_PROBE", "Message"]

UNTRACKED_PROBE = 0
"""Probe number of a ping whose acknowledgement is not tracked.

It is used for introductions and for pings to seeds, suspects and processes
declared dead. The acknowledgement carries the record of its sender.
"""


class Message(msgspec.Struct, frozen=True):
    """A control message to send.

    Attributes:
        address: IP address and UDP port of the receiver.
        records: Membership records that it carries.
        body: Typed content of the message.
    """

    address: tuple[str, int]
    records: tuple[records.Record, ...]
    body: controls.Body
