"""Membership views over HTTP: a few members, all, or what differs.

A process that starts gets a few members from a seed, and the whole view from
one of those, so that the seeds need not tell everything to everybody. Later
views are compared by digests.
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

__all__ = ["DIGESTS_PATH", "MEMBERS_PATH", "Exchange", "Scope", "View"]

MEMBERS_PATH = "/peer/members"
DIGESTS_PATH = "/peer/digests"

SAMPLE_MEMBERS = 16
"""Members that a seed tells of."""

MAX_TOLD = 128
"""Members that an asker tells at most; each has some 100 to 150 bytes."""

_TOLD = (http_site.OK, http_site.PARTIAL_CONTENT)
_DIGESTS = struct.Struct(f"<{members.DIGEST_BUCKETS}Q")
_CONTENT_TYPE = "application/octet-stream"


class Scope(enum.Enum):
    """What a peer is asked for."""

    SAMPLE = "sample"  # a few members
    WHOLE = "whole"  # all members
    DIFFERENCE = "difference"  # the members whose digests differ


class View(msgspec.Struct, frozen=True):
    """What a peer has told.

    Attributes:
        records: Records of members and of former processes.
        whole: Whether all that differs is among them.
        same: Whether its view was the same, so that nothing was told.
    """

    records: tuple[records.Record, ...]
    whole: bool
    same: bool = False


class Exchange:
    """Serves the view of this process, and asks for others'."""

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        site: http_site.HttpSite,
        http_port: int,
        generator: random.Random,
        take: collections.abc.Callable[[list[members.Change], float], None],
    ):
        """Adds the pages.

        Args:
            gossiper: Knows the members.
            site: Serves the view.
            http_port: TCP port of the peers' sites.
            generator: Draws the few members.
            take: Takes over changes of members.
        """
        self._gossiper = gossiper
        self._http_port = http_port
        self._random = generator
        self._take = take
        site.add_handler("POST", MEMBERS_PATH, self._serve_members)
        site.add_handler("GET", DIGESTS_PATH, self._serve_digests)

    # Asking.

    async def ask(
        self, host: str, timeout_s: float, scope: Scope
    ) -> View | None:
        """Tells a peer of this process and returns the peer's view.

        Args:
            host: IP address of the peer.
            timeout_s: Deadline of each of up to two calls, seconds.
            scope: What to ask for.

        Returns:
            The view, None if the peer did not answer usefully.
        """
        gossiper = self._gossiper
        query = f"id={gossiper.own.id}"
        told = [gossiper.own] if gossiper.announced else []
        match scope:
            case Scope.WHOLE:
                query += "&whole=1"
            case Scope.DIFFERENCE:
                buckets = await self._differing(host, timeout_s)
                if buckets is None:
                    return None
                if not buckets:
                    return View((), whole=True, same=True)
                query += f"&buckets={','.join(map(str, buckets))}"
                if gossiper.announced:
                    told = self._some_of(buckets)
        answer = await http_client.call(
            (host, self._http_port),
            "POST",
            f"{MEMBERS_PATH}?{query}",
            controls.encode_records(told),
            timeout_s,
        )
        if (
            isinstance(answer, http_client.RequestFailure)
            or answer.status not in _TOLD
        ):
            loguru.logger.debug("members of {}: {}", host, answer)
            return None
        try:
            body = compression.decompress(answer.body)
            found = controls.decode_records(body)
        except exceptions.MalformedMessageError as error:
            loguru.logger.warning("members of {}: {}", host, error)
            return None
        return View(found, answer.status == http_site.OK)

    def _some_of(self, buckets: list[int]) -> list[records.Record]:
        """Returns the own record and some others of differing buckets."""
        own = self._gossiper.own
        others = [
            record
            for record in self._gossiper.table.records_in_buckets(set(buckets))
            if record.id != own.id
        ]
        if len(others) > MAX_TOLD:
            others = self._random.sample(others, MAX_TOLD)
        return [own, *others]

    async def _differing(self, host: str, timeout_s: float) -> list[int] | None:
        """Returns the digest buckets in which a peer's view differs."""
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
                    for number, (one, other) in enumerate(pairs)
                    if one != other
                ]
        loguru.logger.debug("digests of {}: {}", host, answer)
        return None

    # Serving.

    def _serve_digests(self, request: http_site.Request) -> http_site.Response:
        table = self._gossiper.table
        if request.query.get("digest") == str(table.digest):
            return http_site.Response(http_site.NOT_MODIFIED)
        body = _DIGESTS.pack(*table.digests)
        return http_site.Response(http_site.OK, body, _CONTENT_TYPE)

    def _serve_members(self, request: http_site.Request) -> http_site.Response:
        try:
            told = controls.decode_records(request.body)
        except exceptions.MalformedMessageError as error:
            loguru.logger.warning("members told by a peer: {}", error)
            return http_site.Response(http_site.BAD_REQUEST)
        now = time.monotonic()
        changes = self._gossiper.merge(told, now)
        self._take(changes, now)
        table = self._gossiper.table
        status = http_site.OK
        if "whole" in request.query:
            several = list(table.by_id.values())
        elif "buckets" in request.query:
            several = table.records_in_buckets(
                _numbers(request.query["buckets"])
            )
        else:
            status = http_site.PARTIAL_CONTENT
            several = self._sample(request.query.get("id", ""))
        # Who has restarted learns of its predecessor from the last ones.
        several += self._former(request.query.get("id"))
        body = compression.compress(controls.encode_records(several))
        return http_site.Response(status, body, _CONTENT_TYPE)

    def _sample(self, asker: str) -> list[records.Record]:
        """Returns some living members, and what is known of the asker."""
        others = self._gossiper.peers()
        count = min(SAMPLE_MEMBERS, len(others))
        several = [self._gossiper.own, *self._random.sample(others, count)]
        known = self._gossiper.table.by_id.get(asker)
        return several if known is None else [*several, known]

    def _former(self, asker: str | None) -> list[records.Record]:
        """Returns the predecessor of the asker, of all if it is not named."""
        by_id = self._gossiper.table.predecessor_by_id
        if asker is None:
            return list(by_id.values())
        return [by_id[asker]] if asker in by_id else []


def _numbers(text: str) -> set[int]:
    """Returns the numbers in a list with commas; other words are left out."""
    return {int(part) for part in text.split(",") if part.isdecimal()}
