import asyncio
import dataclasses
import random

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples
from clementinelead.processes import contact_keys


def _contacts(*sides):
    return tuple(contact_keys.Contact("10.0.0.1", number) for number in sides)


def test_recorded_count_is_that_of_the_key_written_last():
    count = contact_keys.SideCount()
    count.update(_contacts(3, 6, 5, 0))
    assert count.recorded == 5


def test_count_is_not_published_while_the_view_may_be_incomplete():
    count = contact_keys.SideCount()
    assert count.count_to_publish(3) == 0
    count.is_complete = True
    assert count.count_to_publish(3) == 3


def test_recorded_count_is_published_until_the_view_is_complete():
    count = contact_keys.SideCount()
    count.update(_contacts(5))
    assert count.count_to_publish(3) == 5
    assert count.count_to_publish(6) == 6
    count.is_complete = True
    assert count.count_to_publish(3) == 3


def test_keys_without_a_count_leave_the_count_unknown():
    count = contact_keys.SideCount()
    count.update(_contacts(0))
    assert count.recorded == 0
    assert count.count_to_publish(3) == 0


def _records(number, role=records.Role.SIDE):
    return [
        dataclasses.replace(
            samples.SIDE,
            id=f"{role.name}{index}",
            role=role,
            address=f"10.0.{role.value}.{index}",
        )
        for index in range(number)
    ]


def test_keys_of_ten_holders_contain_nearly_all_side_processes():
    living = _records(50) + _records(9, records.Role.BALANCER)
    named = set()
    for holder in range(10):
        chosen = contact_keys.choose_named_sides(f"b{holder}", living)
        assert len(chosen) == contact_keys.MAX_NAMED_SIDES
        named.update(chosen)
    assert len(named) >= 44
    assert named <= {side.control_address for side in _records(50)}


def test_selection_changes_only_if_a_selected_side_process_ends():
    living = _records(50)
    before = contact_keys.choose_named_sides("b", living)
    for ended in living:
        rest = [record for record in living if record is not ended]
        after = contact_keys.choose_named_sides("b", rest)
        changed = set(after) - set(before)
        assert len(changed) == (ended.control_address in before)


class _Keys:
    """Contact keys of a store that may lose them; records each write."""

    def __init__(self):
        self.lost = False
        self.written_ids = []

    async def hold(self, identifier, contact, lease_s):
        self.lost = False
        self.written_ids.append(identifier)


class _Node:
    """A balancer that has joined and has no peers."""

    is_watcher = True

    def __init__(self):
        self.joining = self
        self.joined = True
        self.gossiper = self
        self.own = samples.SIDE

    def count_side_processes(self, now):
        return members.SideProcessCounts(0, 0, 0)


def test_key_lost_by_the_store_is_written_again_within_two_seconds():
    # The other half of the two seconds is for the detection of the loss.
    assert contact_keys.CHECK_INTERVAL_S <= 2.0 / 2

    async def count_writes():
        keys = _Keys()
        holder = contact_keys.ContactHolder(
            _Node(), keys, contact_keys.SideCount(), random.Random(1)
        )
        task = asyncio.create_task(holder.run())
        await asyncio.sleep(2 * contact_keys.CHECK_INTERVAL_S)
        before = len(keys.written_ids)
        keys.lost = True
        await asyncio.sleep(2 * contact_keys.CHECK_INTERVAL_S)
        task.cancel()
        return before, len(keys.written_ids)

    assert asyncio.run(count_writes()) == (1, 2)
