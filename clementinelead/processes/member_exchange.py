"""Full and partial state sync of the member table over HTTP.

A starting process gets a sample of the members from a seed and the complete
view from one of that sample, which limits the load on the seeds. Later syncs
exchange only the records in buckets whose digests differ.
"""

import collections.abc
import enum
import random
import struct
import time

import loguru
import msgspec

from clementinelead import exceptions
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.messages import compression
from clementinelead.messages import controls
from clementinelead.processes import http_client
from clementinelead.processes import http_site

__all__ = [
    "DIGESTS_PATH",
    "MEMBERS_PATH",
    "MemberExchange",
    "MemberView",
    "Scope",
]

MEMBERS_PATH = "/peer/members"
DIGESTS_PATH = "/peer/digests"

SAMPLE_MEMBERS = 16
"""Most random peers in a sample."""

MAX_SENT_MEMBERS = 128
"""Most records in the body of a query, besides the own one.

Each has some 100 to 150 bytes.
"""

_SUCCESS_STATUSES = (http_site.OK, http_site.PARTIAL_CONTENT)
_DIGESTS = struct.Struct(f"<{members.DIGEST_BUCKETS}Q")
_CONTENT_TYPE = "application/octet-stream"


class Scope(enum.Enum):
    """Members that a query requests."""

    SAMPLE = "sample"  # a few random members
    WHOLE = "whole"  # all members
    DIFFERENCE = "difference"  # the members whose digests differ


class MemberView(msgspec.Struct, frozen=True):
    """Reply of a peer to a query.

    Attributes:
        records: Records of members and of predecessors.
        complete: Whether they include every record that differs.
        identical: Whether the member tables have equal digests; then there are
            no records.
    """

    records: tuple[records.Record, ...]
    complete: bool
    identical: bool = False


class MemberExchange:
    """Serves the member table of this process and queries those of peers."""

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        site: http_site.HttpSite,
        http_port: int,
        generator: random.Random,
        on_changes: collections.abc.Callable[
            [list[members.Change], float], None
        ],
    ):
        """Registers the HTTP handlers.

        Args:
            gossiper: Membership protocol and member table.
            site: HTTP server of this process for peers.
            http_port: TCP port of the HTTP servers of the peers.
            generator: Source of the random samples.
            on_changes: Called with changes of members and the present time.
        """
        self._gossiper = gossiper
        self._http_port = http_port
        self._random = generator
        self._on_changes = on_changes
        site.add_handler("POST", MEMBERS_PATH, self._serve_members)
        site.add_handler("GET", DIGESTS_PATH, self._serve_digests)

    # Queries.

    async def query(
        self, host: str, timeout_s: float, scope: Scope
    ) -> MemberView | None:
        """Sends the own record, once announced, and returns a peer's view.

        Args:
            host: IP address of the peer.
            timeout_s: Timeout of each of up to two HTTP requests, seconds.
            scope: Members to request. ``DIFFERENCE`` also sends the records
                of this process in the differing buckets.

        Returns:
            The view, None if the peer did not reply or its reply is unusable.
        """
        gossiper = self._gossiper
        query = f"id={gossiper.own.id}"
        sent = [gossiper.own] if gossiper.announced else []
        match scope:
            case Scope.WHOLE:
                query += "&whole=1"
            case Scope.DIFFERENCE:
                buckets = await self._differing_buckets(host, timeout_s)
                if buckets is None:
                    return None
                if not buckets:
                    return MemberView((), complete=True, identical=True)
                query += f"&buckets={','.join(map(str, buckets))}"
                if gossiper.announced:
                    sent = self._select_records(buckets)
        answer = await http_client.call(
            (host, self._http_port),
            "POST",
            f"{MEMBERS_PATH}?{query}",
            controls.encode_records(sent),
            timeout_s,
        )
        if (
            isinstance(answer, http_client.RequestFailure)
            or answer.status not in _SUCCESS_STATUSES
        ):
            loguru.logger.debug("members of {}: {}", host, answer)
            return None
        try:
            body = compression.decompress(answer.body)
            received = controls.decode_records(body)
        except exceptions.MalformedMessageError as error:
            loguru.logger.warning("members of {}: {}", host, error)
            return None
        return MemberView(received, answer.status == http_site.OK)

    def _select_records(self, buckets: list[int]) -> list[records.Record]:
        """Returns the own record and others in the differing buckets."""
        own = self._gossiper.own
        others = [
            record
            for record in self._gossiper.table.records_in_buckets(set(buckets))
            if record.id != own.id
        ]
        if len(others) > MAX_SENT_MEMBERS:
            others = self._random.sample(others, MAX_SENT_MEMBERS)
        return [own, *others]

    async def _differing_buckets(
        self, host: str, timeout_s: float
    ) -> list[int] | None:
        """Returns the digest buckets that differ from those of a peer.

        Returns:
            Numbers of the buckets, None if the peer sent no usable reply.
        """
        table = self._gossiper.table
        path = f"{DIGESTS_PATH}?digest={table.digest}"
        answer = await http_client.call(
            (host, self._http_port), "GET", path, b"", timeout_s
        )
        if isinstance(answer, http_client.Response):
            if answer.status == http_site.NOT_MODIFIED:
                return []
            if (
                answer.status == http_site.OK
                and len(answer.body) == _DIGESTS.size
            ):
                pairs = zip(
                    _DIGESTS.unpack(answer.body), table.digests, strict=True
                )
                return [
                    number
                    for number, (peer_digest, digest) in enumerate(pairs)
                    if peer_digest != digest
                ]
        loguru.logger.debug("digests of {}: {}", host, answer)
        return None

    # HTTP handlers.

    def _serve_digests(self, request: http_site.Request) -> http_site.Response:
        table = self._gossiper.table
        if request.query.get("digest") == str(table.digest):
            return http_site.Response(http_site.NOT_MODIFIED)
        body = _DIGESTS.pack(*table.digests)
        return http_site.Response(http_site.OK, body, _CONTENT_TYPE)

    def _serve_members(self, request: http_site.Request) -> http_site.Response:
        try:
            received = controls.decode_records(request.body)
        except exceptions.MalformedMessageError as error:
            loguru.logger.warning("members told by a peer: {}", error)
            return http_site.Response(http_site.BAD_REQUEST)
        now = time.monotonic()
        changes = self._gossiper.merge(received, now)
        self._on_changes(changes, now)
        table = self._gossiper.table
        status = http_site.OK
        if "whole" in request.query:
            selected = list(table.by_id.values())
        elif "buckets" in request.query:
            selected = table.records_in_buckets(
                _parse_numbers(request.query["buckets"])
            )
        else:
            status = http_site.PARTIAL_CONTENT
            selected = self._sample(request.query.get("id", ""))
        # A restarted process detects its predecessor by these records.
        selected += self._predecessors(request.query.get("id"))
        body = compression.compress(controls.encode_records(selected))
        return http_site.Response(status, body, _CONTENT_TYPE)

    def _sample(self, requester: str) -> list[records.Record]:
        """Returns random living members and the record of the requester."""
        peers = self._gossiper.peers()
        count = min(SAMPLE_MEMBERS, len(peers))
        selected = [self._gossiper.own, *self._random.sample(peers, count)]
        record = self._gossiper.table.by_id.get(requester)
        return selected if record is None else [*selected, record]

    def _predecessors(self, requester: str | None) -> list[records.Record]:
        """Returns the requester's predecessor, or all ones without an id."""
        by_id = self._gossiper.table.predecessor_by_id
        if requester is None:
            return list(by_id.values())
        return [by_id[requester]] if requester in by_id else []


def _parse_numbers(text: str) -> set[int]:
    """Returns the numbers in a comma-separated list; ignores other items."""
    return {int(part) for part in text.split(",") if part.isdecimal()}
