"""Store in the form of Consul's published KV and session interface.

References:
    HashiCorp: "Consul HTTP API: KV store, sessions, blocking queries".
"""

import base64
import collections

import aiohttp

from clementinelead import exceptions
from clementinelead.stores import protocols

__all__ = ["ConsulStore"]

_WAIT_MARGIN_S = 2.0


class ConsulStore:
    """Client of the store; counts its calls.

    Attributes:
        calls: Number of calls by kind; a waiting watch is one.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ):
        self.calls: collections.Counter[str] = collections.Counter()
        self._session = session
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s

    async def get(self, key: str) -> protocols.Entry:
        """Returns the entry of a key."""
        return await self._read("get", key, {}, self._timeout_s)

    async def watch(
        self, key: str, index: int, wait_s: float
    ) -> protocols.Entry:
        """Returns the entry once its index differs, or after the wait."""
        parameters = {"index": str(index), "wait": f"{wait_s:.0f}s"}
        timeout_s = wait_s * 1.1 + _WAIT_MARGIN_S
        return await self._read("watch", key, parameters, timeout_s)

    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> bool:
        """Writes a value if the key's index is still the given one."""
        return await self._write("swap", key, value, {"cas": str(index)})

    async def delete(self, key: str) -> None:
        """Removes a key."""
        await self._call("delete", "DELETE", f"/v1/kv/{key}")

    async def lease(self, key: str, value: bytes, ttl_s: float) -> str | None:
        """Writes a value that lapses; returns the lease, None if taken."""
        body = {"TTL": f"{ttl_s:.0f}s", "Behavior": "delete", "LockDelay": "0s"}
        status, content = await self._call(
            "lease", "PUT", "/v1/session/create", json=body
        )
        if status != 200:
            raise exceptions.StoreUnavailableError(f"session: status {status}")
        lease = str(content["ID"])
        if await self._write("acquire", key, value, {"acquire": lease}):
            return lease
        await self.release(lease)
        return None

    async def renew(self, lease: str) -> bool:
        """Extends a lease; returns whether it still held."""
        status, _ = await self._call(
            "renew", "PUT", f"/v1/session/renew/{lease}"
        )
        return status == 200

    async def release(self, lease: str) -> None:
        """Ends a lease and removes what it holds."""
        await self._call("release", "PUT", f"/v1/session/destroy/{lease}")

    async def scan(self, prefix: str) -> dict[str, bytes]:
        """Returns all values under a prefix."""
        status, content = await self._call(
            "scan", "GET", f"/v1/kv/{prefix}", params={"recurse": "true"}
        )
        if status == 404:
            return {}
        return {
            item["Key"]: base64.b64decode(item["Value"] or "")
            for item in content
        }

    async def _read(
        self,
        kind: str,
        key: str,
        parameters: dict[str, str],
        timeout_s: float,
    ) -> protocols.Entry:
        status, content = await self._call(
            kind, "GET", f"/v1/kv/{key}", params=parameters, timeout_s=timeout_s
        )
        if status == 404:
            return protocols.ABSENT
        item = content[0]
        value = base64.b64decode(item["Value"] or "")
        return protocols.Entry(value, int(item["ModifyIndex"]))

    async def _write(
        self, kind: str, key: str, value: bytes, parameters: dict[str, str]
    ) -> bool:
        status, content = await self._call(
            kind, "PUT", f"/v1/kv/{key}", params=parameters, data=value
        )
        if status != 200:
            raise exceptions.StoreUnavailableError(f"{kind}: status {status}")
        return content is True

    async def _call(  # type: ignore[no-untyped-def]
        self,
        kind: str,
        method: str,
        path: str,
        timeout_s: float | None = None,
        **arguments,
    ):
        """Returns status and JSON content of one call.

        Raises:
            exceptions.StoreUnavailableError: No complete answer came.
        """
        self.calls[kind] += 1
        timeout = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
        try:
            async with self._session.request(
                method, self._url + path, timeout=timeout, **arguments
            ) as response:
                if response.status >= 500:
                    raise exceptions.StoreUnavailableError(
                        f"{kind}: status {response.status}"
                    )
                if response.status == 404:
                    return 404, None
                return response.status, await response.json()
        except TimeoutError as error:
            raise exceptions.StoreUnavailableError(
                f"{kind}: no answer"
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise exceptions.StoreUnavailableError(
                f"{kind}: {error}"
            ) from error
