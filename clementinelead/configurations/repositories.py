"""Reads and changes the configuration in the store."""

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

_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0
_MAX_PATCHES = 32
_MAX_READS = 16
_MAX_KEPT_VALUES = 1_024


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change is in the store."""

    revision: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The change was not made, and will not be."""

    findings: tuple[exceptions.Finding, ...]


@dataclasses.dataclass(frozen=True)
class Unknown:
    """No answer told whether the change was made.

    Attributes:
        change: Identifier with which ``Repository.settle`` finds out.
    """

    change: str


ChangeOutcome = Accepted | Rejected | Unknown

Edit = collections.abc.Callable[[models.Configuration], drafts.Draft]
"""Returns the draft for a configuration.

Raises ``exceptions.FindingsError`` to reject the change.
"""

_Model = typing.TypeVar("_Model", bound=pydantic.BaseModel)


@dataclasses.dataclass
class _Progress:
    """What is known of a change's own writes.

    Attributes:
        swapped_at: Index at which a swap of the head was sent whose effect
            is not known, None if there is none.
    """

    swapped_at: int | None = None


class Repository:
    """The configuration in the store, behind compare-and-swap.

    Immutable values are written first, then the head is swapped: that one
    write makes the whole change take effect, or none of it.
    """

    def __init__(
        self, store: protocols.Store, prefix: str, generator: random.Random
    ):
        self._store = store
        self._prefix = prefix
        self._random = generator
        self._value_by_digest: dict[str, pydantic.BaseModel] = {}
        self._reads = asyncio.Semaphore(_MAX_READS)

    @property
    def head_key(self) -> str:
        """Key of the head."""
        return f"{self._prefix}/head"

    async def read_head(self) -> tuple[models.Head, int]:
        """Returns the head and its modification index.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        return _parsed(await self._store.get(self.head_key))

    async def watch_head(
        self, index: int, wait_s: float
    ) -> tuple[models.Head, int]:
        """Returns the head once its index differs, or after the wait.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        return _parsed(await self._store.watch(self.head_key, index, wait_s))

    async def read_patches(
        self, head: models.Head, since: int
    ) -> list[models.Patch] | None:
        """Returns the patches from a revision to a head, oldest first.

        Args:
            head: The head.
            since: The revision to start from.

        Returns:
            The patches, or None if too many are missing.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer, or a
                patch has been deleted.
        """
        if head.revision - since > _MAX_PATCHES:
            return None
        found: list[models.Patch] = []
        digest = head.patch
        while digest and head.revision - len(found) > since:
            patch = await self._value(digest, models.Patch)
            found.append(patch)
            digest = patch.previous
        if head.revision - len(found) > since:
            return None
        return found[::-1]

    async def read_configuration(self) -> tuple[models.Configuration, int]:
        """Returns the whole configuration and the head's index.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        head, modification = await self.read_head()
        if not head.index:
            return models.Configuration(head=head), modification
        index = await self._value(head.index, models.Index)
        stored = await self._entries(index.chunks)
        whole = models.Configuration(
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
            sheet_by_name=await self._entries(index.sheet),
        )
        return whole, modification

    async def change(
        self, edit: Edit, author: models.Author, timeout_s: float
    ) -> ChangeOutcome:
        """Makes a change, once, however often it is tried.

        Args:
            edit: Computes the draft; called again when another change won.
            author: Who makes it; carries the change's identifier.
            timeout_s: Time after which the outcome is unknown, seconds.
        """
        progress = _Progress()
        backoff_s = _FIRST_BACKOFF_S
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
            if progress.swapped_at is not None:
                return Unknown(author.change)
            finding = exceptions.Finding(
                "store", "did not answer; nothing was changed"
            )
            return Rejected((finding,))

    async def settle(self, change: str) -> ChangeOutcome:
        """Tells whether a change with an unknown outcome was made.

        A change that is not found may be called rejected only because the
        head is written again first: a write still under way then fails.

        Args:
            change: Identifier of the change.

        Raises:
            exceptions.StoreUnavailableError: The store did not answer.
        """
        while True:
            head, modification = await self.read_head()
            if head.index:
                index = await self._value(head.index, models.Index)
                if change in index.recent:
                    return Accepted(index.recent[change])
            value = chunks.encode(head)
            if await self._store.compare_and_swap(
                self.head_key, value, modification
            ):
                finding = exceptions.Finding(change, "was not made")
                return Rejected((finding,))

    async def _attempt(
        self, edit: Edit, author: models.Author, progress: _Progress
    ) -> ChangeOutcome | None:
        """Tries a change once; returns None when another change won.

        Any answer to a swap but yes leaves open whether it took effect: a
        client library may have sent it twice. Reading the head again tells,
        since a swap at an old index can't take effect any more.
        """
        configuration, modification = await self.read_configuration()
        revision = configuration.index.recent.get(author.change)
        if revision is not None:
            return Accepted(revision)
        if progress.swapped_at != modification:
            progress.swapped_at = None
        try:
            draft = edit(configuration)
            write = drafts.build_write(configuration, draft, author)
        except exceptions.FindingsError as error:
            if progress.swapped_at is not None:
                return Unknown(author.change)
            return Rejected(error.findings)
        for digest, content in write.content_by_digest.items():
            await self._store.compare_and_swap(
                self._value_key(digest), content, 0
            )
        progress.swapped_at = modification
        swapped = await self._store.compare_and_swap(
            self.head_key, chunks.encode(write.head), modification
        )
        if not swapped:
            return None
        await self._delete(write.deletions)
        return Accepted(write.head.revision)

    async def _delete(self, digests: tuple[str, ...]) -> None:
        """Deletes replaced values; one that stays only takes up room."""
        for digest in digests:
            try:
                await self._store.delete(self._value_key(digest))
            except exceptions.StoreUnavailableError:
                return

    def _value_key(self, digest: str) -> str:
        return f"{self._prefix}/values/{digest}"

    async def _value(self, digest: str, model: type[_Model]) -> _Model:
        known = self._value_by_digest.get(digest)
        if isinstance(known, model):
            return known
        async with self._reads:
            entry = await self._store.get(self._value_key(digest))
        if chunks.digest(entry.value) != digest:
            raise exceptions.StoreUnavailableError(
                f"value {digest} is missing or damaged"
            )
        value = model.model_validate_json(entry.value)
        self._keep(digest, value)
        return value

    def _keep(self, digest: str, value: pydantic.BaseModel) -> None:
        """Keeps a value, which never changes, instead of reading it again."""
        while len(self._value_by_digest) >= _MAX_KEPT_VALUES:
            del self._value_by_digest[next(iter(self._value_by_digest))]
        self._value_by_digest[digest] = value

    async def _entries(
        self, digest_by_number: collections.abc.Mapping[int, str]
    ) -> dict[str, models.Entry]:
        several = await asyncio.gather(
            *(
                self._value(digest, models.Chunk)
                for digest in digest_by_number.values()
            )
        )
        return {
            name: entry
            for chunk in several
            for name, entry in chunk.entries.items()
        }


def _parsed(entry: protocols.Entry) -> tuple[models.Head, int]:
    if entry.index == 0:
        return models.Head(), 0
    return models.Head.model_validate_json(entry.value), entry.index
