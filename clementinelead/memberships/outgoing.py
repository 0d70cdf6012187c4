"""Control messages that the membership decisions return for sending."""

import collections.abc
import random

import msgspec

from clementinelead.memberships import records
from clementinelead.messages import controls

__all__ = ["UNTRACKED_PROBE", "Message", "notifications"]

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


def notifications(
    peers: collections.abc.Sequence[records.Record],
    fanout: int,
    generator: random.Random,
) -> list[Message]:
    """Returns messages that tell random peers what is in force here.

    They have no body: each control message names the revision of the
    configuration and the evacuated zones.

    Args:
        peers: Records of the living peers.
        fanout: Most peers to notify.
        generator: Source of the random choice.
    """
    count = min(fanout, len(peers))
    return [
        Message(peer.control_address, (), controls.NoBody())
        for peer in generator.sample(peers, count)
    ]
