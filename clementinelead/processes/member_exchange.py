"""Membership views over HTTP: the whole of it, a part, or a few members.

In a small fleet each answer has all members. In a large one a process that
starts gets a few from a seed, and the whole view from one of those, so that
the seeds need not tell everything to everybody. Views are compared by digests
there.
"""

import collections.abc
import random
import time

import loguru
import msgspec

from clementinelead import exceptions
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.messages import controls
from clementinelead.processes import http_client
from clementinelead.processes import http_site

__all__ = ["DIGESTS_PATH", "MEMBERS_PATH", "Exchange", "View"]

MEMBERS_PATH = "/peer/members"
DIGESTS_PATH = "/peer/digests"

SAMPLE_MEMBERS = 16
"""Members that a seed tells of in a large fleet."""

_NO_BUCKET = "none"
_CONTENT_TYPE = "application/octet-stream"


class View(msgspec.Struct, frozen=True):
    """What a peer has told.

    Attributes:
        records: Records of members and of former processes.
        whole: Whether all that differs is among them.
    """

    records: tuple[records.Record, ...]
    whole: bool


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
        site.add("POST", MEMBERS_PATH, self._serve_members)
        site.add("GET", DIGESTS_PATH, self._serve_digests)

    # Asking.

    async def ask(
        self, host: str, timeout_s: float, whole: bool
    ) -> View | None:
        """Tells a peer of this process and returns the peer's view.

        Args:
            host: IP address of the peer.
            timeout_s: Deadline of each of up to two calls, seconds.
            whole: Whether a peer of a large fleet is to tell all members.

        Returns:
            The view, None if the peer did not answer usefully.
        """
        gossiper = self._gossiper
        query = f"id={gossiper.own.id}"
        if whole and len(gossiper.table.by_id) > members.SMALL_FLEET:
            buckets = await self._differing(host, timeout_s)
            if buckets is None:
                return None
            query += f"&buckets={','.join(map(str, buckets)) or _NO_BUCKET}"
        elif whole:
            query += "&whole=1"
        own = [gossiper.own] if gossiper.announced else []
        answer = await http_client.call(
            (host, self._http_port),
            "POST",
            f"{MEMBERS_PATH}?{query}",
            controls.encode_records(own),
            timeout_s,
        )
        told = (http_site.OK, http_site.PARTIAL_CONTENT)
        if (
            isinstance(answer, http_client.NoAnswer)
            or answer.status not in told
        ):
            loguru.logger.debug("members of {}: {}", host, answer)
            return None
        try:
            found = controls.decode_records(answer.body)
        except exceptions.MalformedMessageError as error:
            loguru.logger.warning("members of {}: {}", host, error)
            return None
        return View(found, answer.status == http_site.OK)

    async def _differing(self, host: str, timeout_s: float) -> list[int] | None:
        """Returns the digest buckets in which a peer's view differs."""
        answer = await http_client.call(
            (host, self._http_port), "GET", DIGESTS_PATH, b"", timeout_s
        )
        if (
            isinstance(answer, http_client.NoAnswer)
            or answer.status != http_site.OK
        ):
            loguru.logger.debug("digests of {}: {}", host, answer)
            return None
        try:
            theirs = msgspec.json.decode(answer.body, type=list[int])
        except msgspec.DecodeError as error:
            loguru.logger.warning("digests of {}: {}", host, error)
            return None
        ours = self._gossiper.table.digests
        pairs = zip(theirs, ours, strict=False)
        return [
            number for number, (one, other) in enumerate(pairs) if one != other
        ]

    # Serving.

    def _serve_digests(self, _: http_site.Request) -> http_site.Response:
        body = msgspec.json.encode(self._gossiper.table.digests)
        return http_site.Response(http_site.OK, body)

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
        few = len(table.by_id) <= members.SMALL_FLEET
        status = http_site.OK
        if few or "whole" in request.query:
            several = list(table.by_id.values())
        elif "buckets" in request.query:
            several = table.in_buckets(_numbers(request.query["buckets"]))
        else:
            status = http_site.PARTIAL_CONTENT
            several = self._sample(request.query.get("id", ""))
        # Who has restarted learns of its predecessor from the last ones.
        several += self._former(request.query.get("id"))
        body = controls.encode_records(several)
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
