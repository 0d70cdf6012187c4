"""What the gossip decides to send."""

import msgspec

from clementinelead.memberships import records
from clementinelead.messages import controls

__all__ = ["UNTRACKED_PROBE", "Message"]

UNTRACKED_PROBE = 0
"""Number of a ping whose acknowledgement nobody waits for.

Its sender knows nobody, or hopes for a sign of life; the answer carries the
record of who answers.
"""


class Message(msgspec.Struct, frozen=True):
    """A control message to send."""

    address: tuple[str, int]
    records: tuple[records.Record, ...]
    body: controls.Body
