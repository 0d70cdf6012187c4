"""HTTP between processes: members, configuration snapshots and patches."""

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
_REQUEST_TIMEOUT_S = 3.0


def _compute_tag(key: bytes, content: bytes) -> str:
    """Returns the keyed hash of a path or body in hexadecimal digits."""
    return hashlib.blake2b(content, digest_size=16, key=key[:64]).hexdigest()


class PeerServer:
    """Handles other processes' queries for members and configuration.

    Requests and responses carry a tag, a keyed hash with a key of the cluster.
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
        """Adds the ``/peer/`` routes of this server to an application."""
        application.router.add_get("/peer/digests", self._serve_digests)
        application.router.add_get("/peer/members", self._serve_members)
        application.router.add_get(
            "/peer/configuration", self._serve_configuration
        )

    def verify_tag(self, request: web.Request) -> None:
        """Verifies the tag of a request's path and query.

        Args:
            request: The request.

        Raises:
            web.HTTPForbidden: The tag is missing, or no key matches it.
        """
        tag = request.headers.get(_TAG_HEADER, "")
        content = request.path_qs.encode()
        if not any(
            hmac.compare_digest(tag, _compute_tag(key, content))
            for key in self._keys
        ):
            raise web.HTTPForbidden(text="wrong tag")

    def tagged_response(self, body: bytes) -> web.Response:
        """Returns a response with one tag for each key.

        Args:
            body: The body, which the tags authenticate.
        """
        tags = ",".join(_compute_tag(key, body) for key in self._keys)
        return web.Response(body=body, headers={_TAG_HEADER: tags})

    async def _serve_digests(self, request: web.Request) -> web.Response:
        self.verify_tag(request)
        return self.tagged_response(json.dumps(self._table.digests).encode())

    async def _serve_members(self, request: web.Request) -> web.Response:
        self.verify_tag(request)
        buckets = {int(part) for part in request.query["buckets"].split(",")}
        records_in_buckets = self._table.records_in_buckets(buckets)
        return self.tagged_response(controls.encode_records(records_in_buckets))

    async def _serve_configuration(self, request: web.Request) -> web.Response:
        self.verify_tag(request)
        since = int(request.query["since"])
        queried = request.query["names"].split(",")
        names = frozenset(name for name in queried if name)
        patches = self._adopted.patches_since(since)
        if patches is not None and since > 0:
            contents = [_patch_content(patch, names) for patch in patches]
            return self.tagged_response(
                json.dumps({"patches": contents}).encode()
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
            "evacuations": {
                zone: evacuation.model_dump(mode="json")
                for zone, evacuation in self._adopted.evacuations.items()
            },
        }
        return self.tagged_response(json.dumps(content).encode())


def _patch_content(
    patch: models.Patch, names: frozenset[str]
) -> dict[str, object]:
    """Returns a patch as JSON, limited to some services if any are named."""
    if names:
        needed_entries = {
            name: entry
            for name, entry in patch.entries.items()
            if name in names
            or (
                entry is not None
                and shares.sends_flows_to_any(entry.service, names)
            )
        }
        patch = patch.model_copy(update={"entries": needed_entries})
    content: dict[str, object] = patch.model_dump(mode="json")
    return content


class PeerClient:
    """Queries other processes for members and configuration."""

    def __init__(self, session: aiohttp.ClientSession, keys: tuple[bytes, ...]):
        self._session = session
        self._keys = keys

    async def get(self, peer: records.Record, path: str) -> bytes:
        """Returns the body of a peer's authentic response.

        Args:
            peer: Record of the peer.
            path: Path and query.

        Raises:
            exceptions.PeerUnavailableError: No authentic response came.
        """
        url = f"http://{peer.address}:{peer.http_port}{path}"
        tag = _compute_tag(self._keys[0], path.encode())
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
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
        received_tags = response.headers.get(_TAG_HEADER, "").split(",")
        for key in self._keys:
            if _compute_tag(key, body) in received_tags:
                return body
        raise exceptions.PeerUnavailableError(f"{peer.id}: wrong tag")

    async def fetch_differing_members(
        self, peer: records.Record, table: members.MemberTable
    ) -> tuple[records.Record, ...]:
        """Returns the peer's records in the buckets whose digests differ.

        Args:
            peer: Record of the peer.
            table: Local table to compare with.

        Raises:
            exceptions.PeerUnavailableError: No authentic response came.
        """
        digests = json.loads(await self.get(peer, "/peer/digests"))
        differing = [
            str(bucket)
            for bucket, (peer_digest, own_digest) in enumerate(
                zip(digests, table.digests, strict=True)
            )
            if peer_digest != own_digest
        ]
        if not differing:
            return ()
        query = ",".join(differing)
        body = await self.get(peer, f"/peer/members?buckets={query}")
        try:
            return controls.decode_records(body)
        except exceptions.MalformedMessageError as error:
            raise exceptions.PeerUnavailableError(str(error)) from error

    async def fetch_configuration(
        self, peer: records.Record, adopted: adoption.ActiveConfiguration
    ) -> adoption.AdoptionOutcome:
        """Fetches a peer's configuration and offers it for adoption.

        Args:
            peer: Record of the peer.
            adopted: Configuration in force here, which adopts the peer's if
                that is newer.

        Returns:
            Whether it was adopted, and why if not.

        Raises:
            exceptions.PeerUnavailableError: No usable response came.
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
            # Peers of older versions send none.
            evacuations = {
                zone: models.Evacuation.model_validate(evacuation)
                for zone, evacuation in content.get("evacuations", {}).items()
            }
        except (ValueError, KeyError, RecursionError) as error:
            raise exceptions.PeerUnavailableError(
                f"{peer.id}: {error}"
            ) from error
        return adopted.offer_snapshot(
            content["revision"], entries, drains, evacuations
        )
