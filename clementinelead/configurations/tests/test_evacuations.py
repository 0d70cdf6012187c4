"""Evacuations of zones in the configuration."""

import asyncio
import json

from clementinelead.configurations import adoption
from clementinelead.configurations import edits
from clementinelead.configurations import models
from clementinelead.configurations.tests import fakes


def _change(repository, number, make_edit):
    author = fakes.author(f"c{number}")
    return repository.change(make_edit(author), author, 5.0)


def test_patches_evacuate_and_restore_a_zone():
    async def scenario():
        repository = fakes.repository(fakes.FakeStore())
        active = adoption.ActiveConfiguration()
        active.offer_snapshot(0, {}, {}, {})
        zones = []
        for number, make_edit in enumerate(
            (
                lambda author: edits.evacuate_edit("a", author),
                lambda author: edits.evacuate_edit("b", author),
                lambda _: edits.restore_edit("a"),
            )
        ):
            await _change(repository, number, make_edit)
            configuration, _ = await repository.read_configuration()
            patches = await repository.read_patches(
                configuration.head, active.revision
            )
            active.offer_patches(patches)
            zones.append(set(active.evacuations))
            assert configuration.index.evacuations == active.evacuations
        return zones

    assert asyncio.run(scenario()) == [{"a"}, {"a", "b"}, {"b"}]


def test_other_edits_keep_the_evacuations():
    async def scenario():
        repository = fakes.repository(fakes.FakeStore())
        values = fakes.service("s", 1).model_dump()
        await _change(
            repository, 1, lambda author: edits.evacuate_edit("a", author)
        )
        await _change(
            repository, 2, lambda author: edits.set_edit("s", values, author)
        )
        configuration, _ = await repository.read_configuration()
        return configuration.index.evacuations

    evacuations = asyncio.run(scenario())
    assert evacuations["a"].author.change == "c1"


def test_index_without_evacuations_is_readable_by_older_versions():
    content = json.loads(models.Index().model_dump_json())
    assert "evacuations" not in content
    author = fakes.author("c1")
    index = models.Index(
        evacuations={"a": models.Evacuation(zone="a", author=author)}
    )
    assert models.Index.model_validate_json(index.model_dump_json()) == index
