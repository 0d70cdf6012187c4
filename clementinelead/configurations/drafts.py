"""Turns an edited configuration into the values that the store gets."""

import collections.abc
import dataclasses

from clementinelead.configurations import chunks
from clementinelead.configurations import models
from clementinelead.configurations import removals

__all__ = ["Draft", "Write", "build_write", "copy_configuration"]

MAX_RECENT_CHANGES = 256
GARBAGE_RETENTION_REVISIONS = 64
MAX_DELETIONS_PER_CHANGE = 8
MAX_PATCH_ENTRIES = 500


@dataclasses.dataclass(frozen=True)
class Draft:
    """A configuration as an edit leaves it.

    Attributes:
        entry_by_name: Services.
        drains: Targets that are leaving.
        removed: Services removed by hand since the last sheet.
        sheet: Services of a sheet that is applied, else None.
    """

    entry_by_name: dict[str, models.Entry]
    drains: dict[str, models.Drain]
    removed: dict[str, models.Author]
    sheet: dict[str, models.Entry] | None = None


@dataclasses.dataclass(frozen=True)
class Write:
    """What one change writes.

    Attributes:
        head: The next head.
        content_by_digest: New immutable values.
        deletions: Digests of values that may be deleted afterwards.
    """

    head: models.Head
    content_by_digest: dict[str, bytes]
    deletions: tuple[str, ...]


def copy_configuration(configuration: models.Configuration) -> Draft:
    """Returns a draft equal to a configuration, to be changed."""
    return Draft(
        entry_by_name=dict(configuration.entry_by_name),
        drains=dict(configuration.index.drains),
        removed=dict(configuration.index.removed),
    )


def _chunk_digests(
    new: collections.abc.Mapping[str, models.Entry],
    old: collections.abc.Mapping[str, models.Entry],
    old_digests: collections.abc.Mapping[int, str],
    revision: int,
    contents: dict[str, bytes],
) -> dict[int, str]:
    """Returns the digest of each chunk, and adds the changed contents."""
    old_parts = chunks.group_by_chunk(old)
    digests = {}
    for number, part in sorted(chunks.group_by_chunk(new).items()):
        if part == old_parts.get(number) and number in old_digests:
            digests[number] = old_digests[number]
            continue
        chunk = models.Chunk(revision=revision, entries=part)
        content = chunks.encode(chunk)
        digests[number] = chunks.digest(content)
        contents[digests[number]] = content
    return digests


def _changed_entries(
    new: collections.abc.Mapping[str, models.Entry],
    old: collections.abc.Mapping[str, models.Entry],
) -> dict[str, models.Entry | None]:
    changed: dict[str, models.Entry | None] = {
        name: entry for name, entry in new.items() if old.get(name) != entry
    }
    changed.update({name: None for name in old if name not in new})
    return changed


def _recent(
    old: models.Index, author: models.Author, revision: int
) -> dict[str, int]:
    recent = dict(old.recent)
    recent[author.change] = revision
    while len(recent) > MAX_RECENT_CHANGES:
        del recent[next(iter(recent))]
    return recent


def _garbage(
    configuration: models.Configuration, kept: set[str], revision: int
) -> tuple[models.Garbage, ...]:
    old = configuration.index
    named = [*old.chunks.values(), *old.sheet.values()]
    named += [configuration.head.index, configuration.head.patch]
    replaced = {digest for digest in named if digest and digest not in kept}
    return old.garbage + tuple(
        models.Garbage(digest=digest, revision=revision)
        for digest in sorted(replaced)
    )


def _added(content: bytes, contents: dict[str, bytes]) -> str:
    digest = chunks.digest(content)
    contents[digest] = content
    return digest


def _added_patch(patch: models.Patch, contents: dict[str, bytes]) -> str:
    """Adds a patch; one that is too large is left out.

    Whoever misses it reads the whole configuration, chunk by chunk.
    """
    if len(patch.entries) > MAX_PATCH_ENTRIES:
        return ""
    return _added(chunks.encode(patch), contents)


def build_write(
    configuration: models.Configuration, draft: Draft, author: models.Author
) -> Write:
    """Returns what to write for a draft.

    Costs one chunk for each chunk that changed, an index, a patch and the
    head, whatever the number of services.

    Args:
        configuration: The configuration that was edited.
        draft: The result of the edit.
        author: Who makes the change.

    Raises:
        exceptions.FindingsError: A value is larger than the store takes.
    """
    old = configuration.index
    revision = configuration.revision + 1
    contents: dict[str, bytes] = {}
    ending = removals.draining_services(
        configuration, draft.entry_by_name, author
    )
    stored = {**ending, **draft.entry_by_name}
    chunk_digests = _chunk_digests(
        stored,
        configuration.stored_by_name,
        old.chunks,
        revision,
        contents,
    )
    sheet_digests = old.sheet
    if draft.sheet is not None:
        sheet_digests = _chunk_digests(
            draft.sheet,
            configuration.sheet_by_name,
            old.sheet,
            revision,
            contents,
        )
    patch = models.Patch(
        revision=revision,
        previous=configuration.head.patch,
        entries=_changed_entries(stored, configuration.stored_by_name),
        drains=draft.drains,
        author=author,
    )
    kept = {*chunk_digests.values(), *sheet_digests.values()}
    garbage = _garbage(configuration, kept, revision)
    old_enough = [
        item
        for item in garbage
        if item.revision <= revision - GARBAGE_RETENTION_REVISIONS
    ][:MAX_DELETIONS_PER_CHANGE]
    index = models.Index(
        chunks=chunk_digests,
        sheet=sheet_digests,
        drains=draft.drains,
        removed=draft.removed,
        recent=_recent(old, author, revision),
        garbage=tuple(item for item in garbage if item not in old_enough),
    )
    head = models.Head(
        revision=revision,
        index=_added(chunks.encode(index), contents),
        patch=_added_patch(patch, contents),
        author=author,
    )
    deletions = tuple(item.digest for item in old_enough)
    return Write(head, contents, deletions)
