"""Reads the configuration from the store and commits changes to it."""

import asyncio
import collections.abc
import dataclasses
import random
import typing

import pydantic

from clementinelead import exceptions
from clementinelead.configurations import chunks
from clementinelead.configurations import drafts
from clementinelead.configurations import models
from clementinelead.stores import protocols

__all__ = [
    "Accepted",
    "ChangeOutcome",
    "Edit",
    "Rejected",
    "Repository",
    "Unknown",
]

_INITIAL_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0
_MAX_PATCHES_PER_READ = 32
_MAX_CONCURRENT_READS = 16
_MAX_CACHED_VALUES = 1_024


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change is committed to the store.

    Attributes:
        revision: Revision that the change produced.
    """

    revision: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The change was not committed and can't take effect later.

    Attributes:
        findings: Reasons for the rejection.
    """

    findings: tuple[exceptions.Finding, ...]


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Whether the change was committed could not be determined.

    Attributes:
        change: Identifier of the change, to pass to ``Repository.settle``.
    """

    change: str


ChangeOutcome = Accepted | Rejected | Unknown

Edit = collections.abc.Callable[[models.Configuration], drafts.Draft]
"""Returns the edited draft of a configuration.

An edit raises ``exceptions.FindingsError`` to reject the change. It may run
several times, each time on a newer configuration.
"""

_Model = typing.TypeVar("_Model", bound=pydantic.BaseModel)


@dataclasses.dataclass
class _Progress:
    """State of a change across its attempts.

    Attributes:
        unconfirmed_index: Modification index of the head for which a
            compare-and-swap was sent without a confirmed result, or None.
    """

    unconfirmed_index: int | None = None


class Repository:
    """Configuration in the store, updated by optimistic concurrency.

    A change first writes its immutable values, then replaces the head by
    compare-and-swap. That single write commits the change atomically.
    """

    def __init__(
        self, store: protocols.Store, prefix: str, generator: random.Random
    ):
        self._store = store
        self._prefix = prefix
        self._random = generator
        self._value_by_digest: dict[str, pydantic.BaseModel] = {}
        self._read_semaphore = asyncio.Semaphore(_MAX_CONCURRENT_READS)

    @property
    def head_key(self) -> str:
        """Key of the head in the store."""
        return f"{self._prefix}/head"

    async def read_head(self) -> tuple[models.Head, int]:
        """Returns the head and its modification index.

        Before the first change the head is empty and the index is 0.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        return _parse_head(await self._store.get(self.head_key))

    async def watch_head(
        self, index: int, wait_s: float
    ) -> tuple[models.Head, int]:
        """Waits until the head changes, then returns it and its index.

        Args:
            index: Modification index that the caller has already seen.
            wait_s: Time after which the unchanged head is returned, seconds.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        return _parse_head(
            await self._store.watch(self.head_key, index, wait_s)
        )

    async def read_patches(
        self, head: models.Head, since: int
    ) -> list[models.Patch] | None:
        """Returns the patches that lead from a revision to a head.

        Args:
            head: Head to which the patches lead.
            since: Revision from which they start.

        Returns:
            The patches, oldest first, or None if there are too many or one
            of the changes was too large for a patch.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer, or a
                patch was already garbage collected.
        """
        if head.revision - since > _MAX_PATCHES_PER_READ:
            return None
        newest_first: list[models.Patch] = []
        digest = head.patch
        while digest and head.revision - len(newest_first) > since:
            patch = await self._read_value(digest, models.Patch)
            newest_first.append(patch)
            digest = patch.previous
        if head.revision - len(newest_first) > since:
            return None
        return newest_first[::-1]

    async def read_configuration(self) -> tuple[models.Configuration, int]:
        """Returns the full configuration and the head's modification index.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        head, modification_index = await self.read_head()
        if not head.index:
            return models.Configuration(head=head), modification_index
        index = await self._read_value(head.index, models.Index)
        stored = await self._read_entries(index.chunks)
        configuration = models.Configuration(
            head=head,
            index=index,
            entry_by_name={
                name: entry
                for name, entry in stored.items()
                if entry.ends_at is None
            },
            ending_by_name={
                name: entry
                for name, entry in stored.items()
                if entry.ends_at is not None
            },
            sheet_by_name=await self._read_entries(index.sheet),
        )
        return configuration, modification_index

    async def change(
        self, edit: Edit, author: models.Author, timeout_s: float
    ) -> ChangeOutcome:
        """Commits a change, retrying after conflicts and store failures.

        The change is idempotent: a change whose identifier is already among
        the recent ones is not committed again.

        Args:
            edit: Computes the draft; runs again on the newer configuration
                when a concurrent change was committed first.
            author: Author of the change, with the change's identifier.
            timeout_s: Deadline for all attempts together, seconds. When it
                expires, the outcome is ``Unknown`` if a write of the head is
                unconfirmed, else ``Rejected``.
        """
        progress = _Progress()
        backoff_s = _INITIAL_BACKOFF_S
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    try:
                        outcome = await self._attempt(edit, author, progress)
                        if outcome is not None:
                            return outcome
                    except exceptions.StoreUnavailableError:
                        pass
                    await asyncio.sleep(backoff_s * self._random.random())
                    backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
        except TimeoutError:
            if progress.unconfirmed_index is not None:
                return Unknown(author.change)
            finding = exceptions.Finding(
                "store", "did not answer; nothing was changed"
            )
            return Rejected((finding,))

    async def settle(self, change: str) -> ChangeOutcome:
        """Determines whether a change with an unknown outcome was committed.

        If the change is not among the recent ones, the head is rewritten
        unchanged. This raises its modification index, so that a write of the
        change that is still in flight fails. Only then is the change
        reported as rejected.

        Args:
            change: Identifier of the change.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        while True:
            head, modification_index = await self.read_head()
            if head.index:
                index = await self._read_value(head.index, models.Index)
                if change in index.recent:
                    return Accepted(index.recent[change])
            value = chunks.encode(head)
            if await self._store.compare_and_swap(
                self.head_key, value, modification_index
            ):
                finding = exceptions.Finding(change, "was not made")
                return Rejected((finding,))

    async def _attempt(
        self, edit: Edit, author: models.Author, progress: _Progress
    ) -> ChangeOutcome | None:
        """Tries a change once; returns None after a conflict.

        A failed compare-and-swap does not prove that the write had no effect:
        the HTTP client may have sent it twice, and only the second request
        failed. The next attempt reads the head again. If its index has
        changed, an outstanding write at the old index can no longer take
        effect, and the list of recent changes shows whether it did before.
        """
        configuration, modification_index = await self.read_configuration()
        revision = configuration.index.recent.get(author.change)
        if revision is not None:
            return Accepted(revision)
        if progress.unconfirmed_index != modification_index:
            progress.unconfirmed_index = None
        try:
            draft = edit(configuration)
            write = drafts.build_write(configuration, draft, author)
        except exceptions.FindingsError as error:
            if progress.unconfirmed_index is not None:
                return Unknown(author.change)
            return Rejected(error.findings)
        for digest, content in write.content_by_digest.items():
            await self._store.compare_and_swap(
                self._value_key(digest), content, 0
            )
        progress.unconfirmed_index = modification_index
        committed = await self._store.compare_and_swap(
            self.head_key, chunks.encode(write.head), modification_index
        )
        if not committed:
            return None
        await self._delete(write.deletions)
        return Accepted(write.head.revision)

    async def _delete(self, digests: tuple[str, ...]) -> None:
        """Deletes replaced values.

        Deletion is best effort: a value that remains only uses storage.
        """
        for digest in digests:
            try:
                await self._store.delete(self._value_key(digest))
            except exceptions.StoreUnavailableError:
                return

    def _value_key(self, digest: str) -> str:
        return f"{self._prefix}/values/{digest}"

    async def _read_value(self, digest: str, model: type[_Model]) -> _Model:
        cached = self._value_by_digest.get(digest)
        if isinstance(cached, model):
            return cached
        async with self._read_semaphore:
            entry = await self._store.get(self._value_key(digest))
        if chunks.digest(entry.value) != digest:
            raise exceptions.StoreUnavailableError(
                f"value {digest} is missing or damaged"
            )
        value = model.model_validate_json(entry.value)
        self._cache(digest, value)
        return value

    def _cache(self, digest: str, value: pydantic.BaseModel) -> None:
        """Caches a value, which is immutable, and evicts the oldest ones."""
        while len(self._value_by_digest) >= _MAX_CACHED_VALUES:
            del self._value_by_digest[next(iter(self._value_by_digest))]
        self._value_by_digest[digest] = value

    async def _read_entries(
        self, digest_by_number: collections.abc.Mapping[int, str]
    ) -> dict[str, models.Entry]:
        stored_chunks = await asyncio.gather(
            *(
                self._read_value(digest, models.Chunk)
                for digest in digest_by_number.values()
            )
        )
        return {
            name: entry
            for chunk in stored_chunks
            for name, entry in chunk.entries.items()
        }


def _parse_head(entry: protocols.Entry) -> tuple[models.Head, int]:
    if entry.index == 0:
        return models.Head(), 0
    return models.Head.model_validate_json(entry.value), entry.index
