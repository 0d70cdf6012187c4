"""HTTP between processes: whole tables, patches, locators."""

import hashlib
import hmac
import json

import aiohttp
from aiohttp import web

from clementinelead import exceptions
from clementinelead.configurations import adoption
from clementinelead.configurations import models
from clementinelead.configurations import shares
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.messages import controls

__all__ = ["PeerClient", "PeerServer"]

_TAG_HEADER = "X-Clementinelead-Tag"
_TIMEOUT_S = 3.0


def _tag(key: bytes, content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=16, key=key[:64]).hexdigest()


class PeerServer:
    """Answers the other processes' questions.

    Requests and responses carry a tag made with the cluster's key.
    """

    def __init__(
        self,
        keys: tuple[bytes, ...],
        table: members.MemberTable,
        adopted: adoption.ActiveConfiguration,
    ):
        self._keys = keys
        self._table = table
        self._adopted = adopted

    def add_routes(self, application: web.Application) -> None:
        """Adds the peers' routes to a process's HTTP application."""
        application.router.add_get("/peer/digests", self._digests)
        application.router.add_get("/peer/members", self._members)
        application.router.add_get("/peer/configuration", self._configuration)

    def verify_tag(self, request: web.Request) -> None:
        """Checks a request's tag.

        Raises:
            web.HTTPForbidden: It is missing or wrong.
        """
        tag = request.headers.get(_TAG_HEADER, "")
        content = request.path_qs.encode()
        if not any(
            hmac.compare_digest(tag, _tag(key, content)) for key in self._keys
        ):
            raise web.HTTPForbidden(text="wrong tag")

    def tagged_response(self, body: bytes) -> web.Response:
        """Returns a tagged response."""
        tags = ",".join(_tag(key, body) for key in self._keys)
        return web.Response(body=body, headers={_TAG_HEADER: tags})

    async def _digests(self, request: web.Request) -> web.Response:
        self.verify_tag(request)
        return self.tagged_response(json.dumps(self._table.digests).encode())

    async def _members(self, request: web.Request) -> web.Response:
        self.verify_tag(request)
        buckets = {int(part) for part in request.query["buckets"].split(",")}
        several = self._table.records_in_buckets(buckets)
        return self.tagged_response(controls.encode_records(several))

    async def _configuration(self, request: web.Request) -> web.Response:
        self.verify_tag(request)
        since = int(request.query["since"])
        asked = request.query["names"].split(",")
        names = frozenset(name for name in asked if name)
        patches = self._adopted.patches_since(since)
        if patches is not None and since > 0:
            listed = [_patch(patch, names) for patch in patches]
            return self.tagged_response(
                json.dumps({"patches": listed}).encode()
            )
        entries = {
            name: entry.model_dump(mode="json")
            for name, entry in self._adopted.entry_by_name.items()
            if not names or shares.sends_flows_to_any(entry.service, names)
        }
        drains = {
            target: drain.model_dump(mode="json")
            for target, drain in self._adopted.drains.items()
        }
        content = {
            "revision": self._adopted.revision,
            "entries": entries,
            "drains": drains,
        }
        return self.tagged_response(json.dumps(content).encode())


def _patch(patch: models.Patch, names: frozenset[str]) -> dict[str, object]:
    if names:
        kept = {
            name: entry
            for name, entry in patch.entries.items()
            if name in names
            or (
                entry is not None
                and shares.sends_flows_to_any(entry.service, names)
            )
        }
        patch = patch.model_copy(update={"entries": kept})
    content: dict[str, object] = patch.model_dump(mode="json")
    return content


class PeerClient:
    """Asks other processes."""

    def __init__(self, session: aiohttp.ClientSession, keys: tuple[bytes, ...]):
        self._session = session
        self._keys = keys

    async def get(self, peer: records.Record, path: str) -> bytes:
        """Returns the body of a peer's authentic response.

        Args:
            peer: Record of the peer.
            path: Path and query.

        Raises:
            exceptions.PeerUnavailableError: No authentic answer came.
        """
        url = f"http://{peer.address}:{peer.http_port}{path}"
        tag = _tag(self._keys[0], path.encode())
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        try:
            async with self._session.get(
                url, headers={_TAG_HEADER: tag}, timeout=timeout
            ) as response:
                response.raise_for_status()
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise exceptions.PeerUnavailableError(
                f"{peer.id}: {error}"
            ) from error
        offered = response.headers.get(_TAG_HEADER, "").split(",")
        for key in self._keys:
            if _tag(key, body) in offered:
                return body
        raise exceptions.PeerUnavailableError(f"{peer.id}: wrong tag")

    async def fetch_differing_members(
        self, peer: records.Record, table: members.MemberTable
    ) -> tuple[records.Record, ...]:
        """Returns the records of a peer in which it differs from a table.

        Args:
            peer: Record of the peer.
            table: Records known so far.

        Raises:
            exceptions.PeerUnavailableError: No authentic answer came.
        """
        digests = json.loads(await self.get(peer, "/peer/digests"))
        different = [
            str(number)
            for number, (theirs, ours) in enumerate(
                zip(digests, table.digests, strict=True)
            )
            if theirs != ours
        ]
        if not different:
            return ()
        query = ",".join(different)
        body = await self.get(peer, f"/peer/members?buckets={query}")
        try:
            return controls.decode_records(body)
        except exceptions.MalformedMessageError as error:
            raise exceptions.PeerUnavailableError(str(error)) from error

    async def fetch_configuration(
        self, peer: records.Record, adopted: adoption.ActiveConfiguration
    ) -> adoption.AdoptionOutcome:
        """Takes over a peer's configuration if it is newer.

        Args:
            peer: Record of the peer.
            adopted: The configuration in force here.

        Raises:
            exceptions.PeerUnavailableError: No usable answer came.
        """
        names = ",".join(sorted(adopted.needed_names))
        query = f"since={adopted.revision}&names={names}"
        body = await self.get(peer, f"/peer/configuration?{query}")
        try:
            content = json.loads(body)
            if "patches" in content:
                patches = [
                    models.Patch.model_validate(patch)
                    for patch in content["patches"]
                ]
                return adopted.offer_patches(patches)
            entries = {
                name: models.Entry.model_validate(entry)
                for name, entry in content["entries"].items()
            }
            drains = {
                target: models.Drain.model_validate(drain)
                for target, drain in content["drains"].items()
            }
        except (ValueError, KeyError) as error:
            raise exceptions.PeerUnavailableError(
                f"{peer.id}: {error}"
            ) from error
        return adopted.offer_snapshot(content["revision"], entries, drains)
