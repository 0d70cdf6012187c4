"""Steps of the handover scenarios in handover.feature."""

import asyncio

import pytest
import pytest_bdd
from pytest_bdd import parsers

from clementinelead.configurations import edits
from clementinelead.configurations import merges
from clementinelead.configurations import repositories
from clementinelead.configurations import sheets
from clementinelead.configurations.tests import fakes

pytest_bdd.scenarios("handover.feature")


class World:
    """State of a scenario: the store and the outcome of the last change."""

    def __init__(self):
        self.store = fakes.FakeStore()
        self.change_count = 0
        self.outcome = None

    def change(self, make_edit, shift):
        self.change_count += 1
        author = fakes.author(f"c{self.change_count}", shift, "the pager went")
        self.outcome = asyncio.run(
            fakes.repository(self.store).change(make_edit(author), author, 5.0)
        )
        return self.outcome

    def apply(self, services, resolutions=None):
        rows = {
            service.name: sheets.Row(number=row, service=service)
            for row, service in enumerate(services, 2)
        }
        edit = merges.sheet_edit("sheet.csv", rows, resolutions or {})
        return self.change(lambda _: edit, "morning")

    @property
    def configuration(self):
        return asyncio.run(fakes.repository(self.store).read_configuration())[0]


def sheet(**fields):
    return [
        fakes.service("lookups", 1, **fields),
        fakes.service("exports", 2),
    ]


@pytest.fixture
def world():
    return World()


@pytest_bdd.given("a sheet with the services lookups and exports is in force")
def apply_initial_sheet(world):
    assert world.apply(sheet()) == repositories.Accepted(1)


@pytest_bdd.given(
    parsers.parse("the night shift sets {name} max_wait_s to {value:g}")
)
def set_by_hand(world, name, value):
    world.change(
        lambda author: edits.set_edit(name, {"max_wait_s": value}, author),
        "night",
    )


@pytest_bdd.given("the night shift removes exports")
def remove_by_hand(world):
    world.change(lambda author: edits.remove_edit("exports", author), "night")


@pytest_bdd.given("the night shift adds reviews")
def add_by_hand(world):
    values = fakes.service("reviews", 3).model_dump()
    world.change(
        lambda author: edits.set_edit("reviews", values, author), "night"
    )


@pytest_bdd.when("the morning shift applies the same sheet")
def apply_same_sheet(world):
    world.apply(sheet())


@pytest_bdd.when("the morning shift applies a sheet without exports")
def apply_sheet_without_exports(world):
    world.apply(sheet()[:1])


@pytest_bdd.when("the morning shift applies a sheet with lookups max_wait_s 4")
def apply_changed_sheet(world):
    world.apply(sheet(max_wait_s=4))


@pytest_bdd.when(
    parsers.parse(
        "the morning shift applies a sheet with lookups max_wait_s 4,"
        " taking the {side}"
    )
)
def apply_sheet_taking_side(world, side):
    resolutions = {("lookups", "max_wait_s"): merges.Resolution(side)}
    world.apply(sheet(max_wait_s=4), resolutions)


@pytest_bdd.then(parsers.parse("{name} has max_wait_s {value:g}"))
def field_has_value(world, name, value):
    entry = world.configuration.entry_by_name[name]
    assert entry.service.max_wait_s == value


@pytest_bdd.then("the handover names the night shift for lookups max_wait_s")
def handover_names_night_shift(world):
    entry = world.configuration.entry_by_name["lookups"]
    assert entry.by_hand["max_wait_s"].shift == "night"


@pytest_bdd.then(
    "the sheet is rejected and names both values and the night shift"
)
def sheet_is_rejected_with_values(world):
    text = sheet_is_rejected(world)
    assert "4.0" in text
    assert "9.0" in text
    assert "sheet.csv:2:max_wait_s" in text


@pytest_bdd.then("the sheet is rejected and names the night shift")
def sheet_is_rejected(world):
    assert isinstance(world.outcome, repositories.Rejected)
    text = "\n".join(str(finding) for finding in world.outcome.findings)
    assert "shift night" in text
    return text


@pytest_bdd.then(parsers.parse("{name} is not in force"))
def service_is_not_in_force(world, name):
    assert name not in world.configuration.entry_by_name


@pytest_bdd.then(parsers.parse("{name} is in force"))
def service_is_in_force(world, name):
    assert name in world.configuration.entry_by_name
