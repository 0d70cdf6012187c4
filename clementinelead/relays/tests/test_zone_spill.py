"""Preference for the own zone: hysteresis, and no effect while it is off."""

import random

import pytest

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import possible_owners
from clementinelead.relays import routes
from clementinelead.relays import steering
from clementinelead.relays import zone_spill
from clementinelead.relays.tests import network
from clementinelead.relays.tests import placements
from clementinelead.replays import packets

NOW = 100.0
OWN = (("a1", 1), ("a2", 1), ("a3", 1))
OTHERS = (("b1", 1), ("b2", 1), ("c1", 1))
OWN_ZONE = frozenset(OWN)


def _choose(preference, own_ms, now=NOW, **fields):
    """Returns the choice between an own target and one without load."""
    placement = placements.placement({OWN[0]: own_ms, OTHERS[0]: 0}, **fields)
    return preference.choose(placement, OWN_ZONE, frozenset(), now)


def test_flow_stays_in_its_zone_below_the_bound_and_leaves_at_it():
    assert _choose(zone_spill.ZonePreference(0.5), 99) == OWN[0]
    assert _choose(zone_spill.ZonePreference(0.5), 100) == OTHERS[0]


def test_zone_that_spills_stops_only_below_the_lower_bound():
    preference = zone_spill.ZonePreference(0.5)
    chosen = [_choose(preference, own_ms) for own_ms in (90, 100, 90, 79, 90)]
    assert chosen == [OWN[0], OTHERS[0], OTHERS[0], OWN[0], OWN[0]]


def test_bound_is_the_same_share_for_all_routes_of_a_service():
    preference = zone_spill.ZonePreference(0.5)
    assert _choose(preference, 100, objective_ms=200) == OTHERS[0]
    assert _choose(preference, 450, objective_ms=1000) == OTHERS[0]
    assert _choose(preference, 399, objective_ms=1000) == OWN[0]
    assert _choose(preference, 90, objective_ms=200) == OWN[0]


def test_services_do_not_share_their_state():
    preference = zone_spill.ZonePreference(0.5)
    assert _choose(preference, 150, service="one") == OTHERS[0]
    assert _choose(preference, 90, service="two") == OWN[0]


def test_states_are_forgotten():
    """Guards against unbounded state when services come and go."""
    preference = zone_spill.ZonePreference(0.5)
    _choose(preference, 150, service="old")
    later = NOW + zone_spill.STATE_LIFETIME_S
    assert _choose(preference, 90, now=later, service="old") == OWN[0]
    for number in range(50):
        _choose(preference, 1, now=later + 3 * number, service=f"s{number}")
    assert len(preference.state_by_service) == 1


@pytest.mark.parametrize(
    "unusable",
    [
        {"busy": {OWN[0]}},
        {"tried": [OWN[0]]},
    ],
)
def test_zone_without_a_usable_target_is_left(unusable):
    assert _choose(zone_spill.ZonePreference(1.0), 1, **unusable) == OTHERS[0]


def test_evacuated_own_zone_gets_no_flow():
    placement = placements.placement({OWN[0]: 1, OTHERS[0]: 50})
    preference = zone_spill.ZonePreference(1.0)
    chosen = preference.choose(placement, OWN_ZONE, OWN_ZONE, NOW)
    assert chosen == OTHERS[0]


def _earlier_rule(placement, evacuated):
    """The choice of a target before there was a preference."""
    costs = {
        address: load + (0 if address in OWN_ZONE else 3)
        for address, load in placement.load_by_address.items()
        if load != frames.NOT_ACCEPTING
        and address not in placement.busy
        and address not in placement.tried
        and address not in evacuated
    }
    limit = min(costs.values(), default=0) * 1.25
    for address in placement.queried:
        if costs.get(address, limit + 1) <= limit:
            return address
    return None


def _random_placement(generator):
    addresses = [*OWN, *OTHERS]
    generator.shuffle(addresses)
    loads = [0, 5, 20, 24, 26, 90, frames.NOT_ACCEPTING]
    return placements.placement(
        {address: generator.choice(loads) for address in addresses[:4]},
        busy=set(generator.sample(addresses, generator.randrange(3))),
        tried=generator.sample(addresses, generator.randrange(3)),
    )


def test_without_a_share_the_choice_is_that_of_before():
    generator = random.Random(1)
    preference = zone_spill.ZonePreference(0.0)
    for _ in range(2000):
        placement = _random_placement(generator)
        evacuated = frozenset(generator.sample(OTHERS, generator.randrange(2)))
        chosen = preference.choose(placement, OWN_ZONE, evacuated, NOW)
        assert chosen == _earlier_rule(placement, evacuated)
        assert preference.outcome(placement, OWN[0], OWN_ZONE) is None
    assert not preference.state_by_service


def _balancer(**options):
    balancer = steering.Steering(
        network.Format(),
        lambda decision: None,
        "a",
        former_services.FormerServices(first_start=True),
        **options,
    )
    share = routes.Share(network.SERVICE, 1)
    route = routes.Route("r", network.ROUTE_ADDRESS, (share,))
    balancer.set_routes(routes.RoutingTable(1, (route,), 60.0))
    balancer.set_targets(network.SERVICE, _targets())
    return balancer


def _targets():
    return tuple(
        candidates.Target(f"{zone}{n}", (f"{zone}{n}", 1), zone, True, False)
        for zone in "abc"
        for n in range(5)
    )


def _open(balancer, key):
    """Opens a flow; returns the queried addresses."""
    sends = balancer.on_packet(network.packet(key, packets.OPENS), NOW)
    assert all(isinstance(send, outcomes.ToPeer) for send in sends)
    return [send.address for send in sends]


def _reply(balancer, key, addresses, load_by_zone):
    """Replies to the queries; returns the target that gets the flow."""
    number = frames.service_number(network.SERVICE)
    sends = []
    for address in addresses:
        load_ms = load_by_zone.get(address[0][0], load_by_zone["other"])
        data = frames.encode(frames.Kind.LOAD, number, key, value=load_ms)
        sends += balancer.on_frame(data, address, NOW)
    (placed,) = sends
    return placed.address


@pytest.mark.parametrize(
    ("options", "in_zone"), [({}, 2), ({"zone_spill_share": 0.5}, 3)]
)
def test_searches_follow_the_order_of_queries(options, in_zone):
    """A search that asks other targets first takes longer."""
    balancer = _balancer(**options)
    key = network.flow_key(1)
    queried = _open(balancer, key)
    assert sum(address[0][0] == "a" for address in queried) == in_zone
    view = directory.Directory(
        "a",
        zone_spill.queried_in_zone(options.get("zone_spill_share", 0.0)),
    )
    view.set_targets(network.SERVICE, _targets())
    number = frames.service_number(network.SERVICE)
    owners = [(target.address, number) for target in _targets()]
    selection = possible_owners.PossibleOwners(
        network.Format(),
        view,
        former_services.FormerServices(first_start=True),
    )
    likely = selection.by_likelihood(key, owners)
    assert [address for address, _ in likely[:4]] == queried


def test_placements_are_counted_by_zone():
    balancer = _balancer(zone_spill_share=0.5)
    loads_ms = (({"a": 90, "other": 0}, "a"), ({"a": 150, "other": 0}, "bc"))
    for flow, (load_by_zone, zones) in enumerate(loads_ms):
        key = network.flow_key(flow)
        chosen = _reply(balancer, key, _open(balancer, key), load_by_zone)
        assert chosen[0][0] in zones
    assert balancer.counts.by_cause["zone_kept"] == 1
    assert balancer.counts.by_cause["zone_spilled"] == 1
