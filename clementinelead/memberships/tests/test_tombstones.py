"""Records of ended processes that peers return."""

import dataclasses

from clementinelead.memberships import records
from clementinelead.memberships import tombstones
from clementinelead.memberships.tests import samples

DEAD = dataclasses.replace(samples.SIDE, health=records.Health.DEAD)


# Guards against memory that grows with each side process that ever died.
def test_lost_side_processes_are_bounded():
    ended = tombstones.PeerTombstones()
    for number in range(tombstones.MAX_TOMBSTONES + 100):
        ended.record_end(dataclasses.replace(DEAD, id=f"s{number}"))
    assert len(ended.lost_side_ids) == tombstones.MAX_TOMBSTONES


# Guards against resets of lost flows that wait for a process whose target has
# ended since its death was reported.
def test_side_process_that_left_after_its_death_was_refuted_is_not_lost():
    left = dataclasses.replace(
        samples.SIDE, sequence=2, state=records.State.LEAVING
    )
    for received in ([DEAD, left], [left, DEAD]):
        ended = tombstones.PeerTombstones()
        for record in received:
            ended.record_end(record)
        assert not ended.lost_side_ids
