"""Client of a store with Consul's HTTP interface for KV and sessions.

References:
    HashiCorp: "Consul HTTP API: KV store, sessions, blocking queries".
"""

import base64
import collections

import aiohttp

from clementinelead import exceptions
from clementinelead.stores import protocols

__all__ = ["ConsulStore"]

_WATCH_TIMEOUT_FACTOR = 1.1  # Consul adds up to 1/16 of the wait as jitter.
_WATCH_TIMEOUT_MARGIN_S = 2.0


class ConsulStore:
    """Implements ``protocols.Store`` over HTTP.

    Attributes:
        calls: Number of HTTP calls by kind; a blocking query counts once.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ):
        self.calls: collections.Counter[str] = collections.Counter()
        self._session = session
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s

    async def get(self, key: str) -> protocols.Entry:
        """Returns the entry of a key, ``ABSENT`` if there is none."""
        return await self._read("get", key, {}, self._timeout_s)

    async def watch(
        self, key: str, index: int, wait_s: float
    ) -> protocols.Entry:
        """Waits until a key changes, by a blocking query.

        Args:
            key: Key to watch.
            index: Modification index that the caller has already seen.
            wait_s: Time after which the unchanged entry is returned, seconds;
                rounded to whole seconds.
        """
        parameters = {"index": str(index), "wait": f"{wait_s:.0f}s"}
        timeout_s = wait_s * _WATCH_TIMEOUT_FACTOR + _WATCH_TIMEOUT_MARGIN_S
        return await self._read("watch", key, parameters, timeout_s)

    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> bool:
        """Writes a value if the key's modification index is still the same.

        Args:
            key: Key to write.
            value: New value.
            index: Expected modification index; 0 if the key must not exist.

        Returns:
            Whether the value was written. The HTTP client may retry a request
            whose response was lost, so False does not prove that the value
            was not written.
        """
        return await self._write("swap", key, value, {"cas": str(index)})

    async def delete(self, key: str) -> None:
        """Deletes a key; does nothing if it does not exist."""
        await self._call("delete", "DELETE", f"/v1/kv/{key}")

    async def lease(self, key: str, value: bytes, ttl_s: float) -> str | None:
        """Acquires a lease and writes a value that expires with it.

        Args:
            key: Key to write.
            value: Value of the key.
            ttl_s: Time to live of the lease without renewal, seconds; rounded
                to whole seconds.

        Returns:
            Identifier of the lease, None if another lease holds the key.
        """
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
        """Renews a lease for its time to live; False if it has expired."""
        status, _ = await self._call(
            "renew", "PUT", f"/v1/session/renew/{lease}"
        )
        return status == 200

    async def release(self, lease: str) -> None:
        """Ends a lease and deletes its key."""
        await self._call("release", "PUT", f"/v1/session/destroy/{lease}")

    async def scan(self, prefix: str) -> dict[str, bytes]:
        """Returns the value by key of all keys that start with a prefix."""
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
        """Sends a request and returns the status and JSON content.

        The content is None for status 404.

        Raises:
            exceptions.StoreUnavailableError: No complete response was
                received, or the status is 500 or above.
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
                f"{kind}: timed out"
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise exceptions.StoreUnavailableError(
                f"{kind}: {error}"
            ) from error
