import asyncio
import dataclasses
import random

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples
from clementinelead.processes import contact_keys


def _contacts(*sides):
    return tuple(contact_keys.Contact("10.0.0.1", number) for number in sides)


def test_count_is_the_one_written_last():
    count = contact_keys.SideCount()
    count.update(_contacts(3, 6, 5, 0))
    assert count.recorded == 5


def test_partial_view_after_a_start_is_not_published():
    count = contact_keys.SideCount()
    assert count.count_to_publish(3) == 0
    count.is_complete = True
    assert count.count_to_publish(3) == 3


def test_keys_carry_the_count_over_a_loss_of_all():
    count = contact_keys.SideCount()
    count.update(_contacts(5))
    assert count.count_to_publish(3) == 5
    assert count.count_to_publish(6) == 6
    count.is_complete = True
    assert count.count_to_publish(3) == 3


def test_keys_without_a_count_tell_nothing():
    count = contact_keys.SideCount()
    count.update(_contacts(0))
    assert count.recorded == 0
    assert count.count_to_publish(3) == 0


def _records(number, role=records.Role.SIDE):
    return [
        dataclasses.replace(
            samples.SIDE,
            id=f"{role.name}{one}",
            role=role,
            address=f"10.0.{role.value}.{one}",
        )
        for one in range(number)
    ]


def test_keys_of_a_few_holders_name_nearly_all_side_processes():
    living = _records(50) + _records(9, records.Role.BALANCER)
    named = set()
    for holder in range(10):
        chosen = contact_keys.choose_named_sides(f"b{holder}", living)
        assert len(chosen) == contact_keys.MAX_NAMED_SIDES
        named.update(chosen)
    assert len(named) >= 44
    assert named <= {one.control_address for one in _records(50)}


def test_named_side_processes_change_only_with_one_of_them():
    living = _records(50)
    before = contact_keys.choose_named_sides("b", living)
    for gone in living:
        rest = [record for record in living if record is not gone]
        after = contact_keys.choose_named_sides("b", rest)
        changed = set(after) - set(before)
        assert len(changed) == (gone.control_address in before)


class _Keys:
    """Contact keys in a store that may lose them."""

    def __init__(self):
        self.lost = False
        self.held = []

    async def hold(self, identifier, contact, lease_s):
        self.lost = False
        self.held.append(identifier)


class _Node:
    """A balancer that has joined and knows nobody."""

    is_watcher = True

    def __init__(self):
        self.joining = self
        self.joined = True
        self.gossiper = self
        self.own = samples.SIDE

    def count_side_processes(self, now):
        return members.SideProcessCounts(0, 0, 0)


def test_key_that_the_store_has_lost_is_written_again_within_two_seconds():
    assert (
        contact_keys.CHECK_INTERVAL_S <= 2.0 / 2
    )  # and half of it for the news

    async def exchange():
        keys = _Keys()
        holder = contact_keys.ContactHolder(
            _Node(), keys, contact_keys.SideCount(), random.Random(1)
        )
        task = asyncio.create_task(holder.run())
        await asyncio.sleep(2 * contact_keys.CHECK_INTERVAL_S)
        before = len(keys.held)
        keys.lost = True
        await asyncio.sleep(2 * contact_keys.CHECK_INTERVAL_S)
        task.cancel()
        return before, len(keys.held)

    assert asyncio.run(exchange()) == (1, 2)
