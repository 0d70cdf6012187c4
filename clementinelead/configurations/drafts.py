"""Computes the values to write to the store for an edited configuration."""

import collections.abc
import dataclasses

from clementinelead.configurations import chunks
from clementinelead.configurations import models
from clementinelead.configurations import removals

__all__ = ["Draft", "Write", "build_write", "copy_configuration"]

MAX_RECENT_CHANGES = 256
GARBAGE_RETENTION_REVISIONS = 64
"""Readers of an older head can still fetch its values for as many revisions."""
MAX_DELETIONS_PER_CHANGE = 8
MAX_PATCH_ENTRIES = 500


@dataclasses.dataclass(frozen=True)
class Draft:
    """Result of an edit of a configuration.

    Attributes:
        entry_by_name: Services in force.
        drains: Drain by identifier of the target.
        removed: Author by name of the services removed by hand since the
            last sheet.
        evacuations: Evacuation by name of the zone.
        sheet: Services by name of the sheet that the edit applies, None if it
            applies none.
    """

    entry_by_name: dict[str, models.Entry]
    drains: dict[str, models.Drain]
    removed: dict[str, models.Author]
    evacuations: dict[str, models.Evacuation]
    sheet: dict[str, models.Entry] | None = None


@dataclasses.dataclass(frozen=True)
class Write:
    """The writes and deletions of one change.

    Attributes:
        head: The next head.
        content_by_digest: New immutable values, in JSON.
        deletions: Digests of the values to delete once the head is written.
    """

    head: models.Head
    content_by_digest: dict[str, bytes]
    deletions: tuple[str, ...]


def copy_configuration(configuration: models.Configuration) -> Draft:
    """Returns a draft equal to a configuration, as the start of an edit.

    The mappings are copies, which the edit may modify.
    """
    return Draft(
        entry_by_name=dict(configuration.entry_by_name),
        drains=dict(configuration.index.drains),
        evacuations=dict(configuration.index.evacuations),
        removed=dict(configuration.index.removed),
    )


def _encode_chunks(
    new: collections.abc.Mapping[str, models.Entry],
    old: collections.abc.Mapping[str, models.Entry],
    old_digest_by_number: collections.abc.Mapping[int, str],
    revision: int,
    content_by_digest: dict[str, bytes],
) -> dict[int, str]:
    """Encodes the chunks that changed.

    Args:
        new: Entries to store, by name.
        old: Entries that are stored, by name.
        old_digest_by_number: Digests of the stored chunks.
        revision: Revision that writes the chunks.
        content_by_digest: Receives the new contents.

    Returns:
        Digest of every chunk, by its number.
    """
    old_entries_by_number = chunks.group_by_chunk(old)
    digest_by_number = {}
    for number, entries in sorted(chunks.group_by_chunk(new).items()):
        if (
            entries == old_entries_by_number.get(number)
            and number in old_digest_by_number
        ):
            digest_by_number[number] = old_digest_by_number[number]
            continue
        chunk = models.Chunk(revision=revision, entries=entries)
        content = chunks.encode(chunk)
        digest_by_number[number] = _add_content(content, content_by_digest)
    return digest_by_number


def _changed_entries(
    new: collections.abc.Mapping[str, models.Entry],
    old: collections.abc.Mapping[str, models.Entry],
) -> dict[str, models.Entry | None]:
    """Returns the new entry by name, None for a name that is gone."""
    changed: dict[str, models.Entry | None] = {
        name: entry for name, entry in new.items() if old.get(name) != entry
    }
    changed.update({name: None for name in old if name not in new})
    return changed


def _recent_changes(
    old: models.Index, author: models.Author, revision: int
) -> dict[str, int]:
    """Returns the recent changes with the new one, without the oldest."""
    recent = dict(old.recent)
    recent[author.change] = revision
    while len(recent) > MAX_RECENT_CHANGES:
        del recent[next(iter(recent))]
    return recent


def _collect_garbage(
    configuration: models.Configuration, retained: set[str], revision: int
) -> tuple[models.Garbage, ...]:
    """Returns all values that the new head no longer refers to.

    Args:
        configuration: The configuration before the change.
        retained: Digests of the chunks that the new index refers to.
        revision: Revision of the change.
    """
    old = configuration.index
    referenced = [*old.chunks.values(), *old.sheet.values()]
    referenced += [configuration.head.index, configuration.head.patch]
    replaced = {
        digest for digest in referenced if digest and digest not in retained
    }
    return old.garbage + tuple(
        models.Garbage(digest=digest, revision=revision)
        for digest in sorted(replaced)
    )


def _add_content(content: bytes, content_by_digest: dict[str, bytes]) -> str:
    """Adds a content and returns its digest."""
    digest = chunks.digest(content)
    content_by_digest[digest] = content
    return digest


def _add_patch(patch: models.Patch, content_by_digest: dict[str, bytes]) -> str:
    """Adds a patch and returns its digest, empty if the patch is too large.

    Processes then read the full configuration, chunk by chunk.
    """
    if len(patch.entries) > MAX_PATCH_ENTRIES:
        return ""
    return _add_content(chunks.encode(patch), content_by_digest)


def build_write(
    configuration: models.Configuration, draft: Draft, author: models.Author
) -> Write:
    """Returns the writes that commit a draft.

    They are the chunks that changed, an index, a patch and the head, however
    many services there are.

    Args:
        configuration: The configuration that was edited.
        draft: The result of the edit.
        author: Author of the change.

    Raises:
        exceptions.FindingsError: A value exceeds the store's size limit.
    """
    old = configuration.index
    revision = configuration.revision + 1
    content_by_digest: dict[str, bytes] = {}
    draining = removals.draining_services(
        configuration, draft.entry_by_name, author
    )
    stored = {**draining, **draft.entry_by_name}
    chunk_digests = _encode_chunks(
        stored,
        configuration.stored_by_name,
        old.chunks,
        revision,
        content_by_digest,
    )
    sheet_digests = old.sheet
    if draft.sheet is not None:
        sheet_digests = _encode_chunks(
            draft.sheet,
            configuration.sheet_by_name,
            old.sheet,
            revision,
            content_by_digest,
        )
    patch = models.Patch(
        revision=revision,
        previous=configuration.head.patch,
        entries=_changed_entries(stored, configuration.stored_by_name),
        drains=draft.drains,
        author=author,
        evacuations=draft.evacuations,
    )
    retained = {*chunk_digests.values(), *sheet_digests.values()}
    garbage = _collect_garbage(configuration, retained, revision)
    expired = [
        item
        for item in garbage
        if item.revision <= revision - GARBAGE_RETENTION_REVISIONS
    ][:MAX_DELETIONS_PER_CHANGE]
    index = models.Index(
        chunks=chunk_digests,
        sheet=sheet_digests,
        drains=draft.drains,
        removed=draft.removed,
        recent=_recent_changes(old, author, revision),
        garbage=tuple(item for item in garbage if item not in expired),
        evacuations=draft.evacuations,
    )
    head = models.Head(
        revision=revision,
        index=_add_content(chunks.encode(index), content_by_digest),
        patch=_add_patch(patch, content_by_digest),
        author=author,
    )
    deletions = tuple(item.digest for item in expired)
    return Write(head, content_by_digest, deletions)
