"""Which balancers of a zone may leave the fabric's rotation."""

import dataclasses

import pytest

from clementinelead.memberships import capacities
from clementinelead.memberships import records

RECORD = records.Record(
    id="b",
    incarnation=1,
    sequence=1,
    role=records.Role.BALANCER,
    state=records.State.READY,
    region="r",
    zone="z",
    address="10.0.0.1",
    data_port=1,
    control_port=2,
    http_port=3,
)


def _zone(*weights, **changes):
    return [
        dataclasses.replace(RECORD, id=f"b{n}", weight=weight, **changes)
        for n, weight in enumerate(weights)
    ]


def _leaving(balancers, others=()):
    return [
        record.weight
        for record in balancers
        if capacities.may_leave_rotation(record, [*balancers, *others])
    ]


# Guards against a zone with fewer than half of its balancers in the rotation,
# whereupon the fabric would use all of them again.
@pytest.mark.parametrize(
    ("weights", "leaving"),
    [
        ((100, 100, 8.5, 5, 5), [5, 5]),
        ((100, 100, 8.5, 5, 5, 5), [5, 5, 5]),
        ((100, 5, 5, 5, 5), [5, 5]),
        ((100, 100), []),
        ((100, 5), [5]),
        ((5,), []),
        ((10, 8, 6), []),
    ],
)
def test_at_most_the_smaller_half_may_leave(weights, leaving):
    assert _leaving(_zone(*weights)) == leaving


def test_balancers_of_other_zones_and_side_processes_do_not_count():
    others = [
        *_zone(500.0, zone="y"),
        *_zone(500.0, role=records.Role.SIDE),
    ]
    others = [
        dataclasses.replace(record, id=f"o{n}")
        for n, record in enumerate(others)
    ]
    assert _leaving(_zone(5, 5, 5), others) == []


# Guards against a wrong choice beside balancers of the version before, whose
# records have the weight 1.
def test_balancer_stays_beside_peers_of_unknown_capacity():
    assert _leaving(_zone(5, 1, 1))[:1] != [5]


# Guards against unusable weights that count as the smallest or largest link.
@pytest.mark.parametrize("weight", [0.0, -1.0, float("inf"), float("nan")])
def test_unusable_weight_counts_as_unknown(weight):
    record = dataclasses.replace(RECORD, weight=weight)
    assert not capacities.has_usable_weight(record)
    assert _leaving(_zone(0.4, weight)) == [0.4]


# Guards against too many balancers that leave: each one of equal links took
# itself for the smallest, as control messages carry hundredths.
def test_equal_links_compare_the_same_at_all_balancers():
    weight = capacities.weight(records.Role.BALANCER, 8.496)
    zone = _zone(100, 100, *[round(weight * 100) / 100] * 4)
    for number, leaves in ((4, True), (5, False)):
        own = dataclasses.replace(zone[number], weight=weight)
        assert capacities.may_leave_rotation(own, zone) is leaves


# Guards against a balancer with a link below 1 Mbit/s that leaves the rotation
# to balancers whose links may be as small.
@pytest.mark.parametrize("link_mbps", [0.002, 0.4, 1.0])
def test_smallest_links_count_no_less_than_unknown_ones(link_mbps):
    weight = capacities.weight(records.Role.BALANCER, link_mbps)
    assert _leaving(_zone(weight, 1, 1, 1)) == []


# Guards against too few balancers in the rotation while some of the zone stop.
@pytest.mark.parametrize(
    "ending",
    [
        {"state": records.State.LEAVING},
        {"state": records.State.DRAINING},
        {"health": records.Health.DEAD},
    ],
)
def test_balancers_that_end_count_among_those_out_of_the_rotation(ending):
    stopped = dataclasses.replace(RECORD, id="stopped", weight=100, **ending)
    assert _leaving(_zone(100, 5, 5, 5), [stopped]) == [5]
