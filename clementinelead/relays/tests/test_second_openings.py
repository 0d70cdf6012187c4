"""Second openings of flows, and further load queries, within a limit."""

import random

import pytest

from clementinelead.relays import flow_cache
from clementinelead.relays import former_services
from clementinelead.relays import held_flows
from clementinelead.relays import load_queries
from clementinelead.relays import routes
from clementinelead.relays import second_openings
from clementinelead.relays import steering
from clementinelead.relays import target_relay
from clementinelead.relays import warmup_limit
from clementinelead.relays.tests import network
from clementinelead.replays import packets

WARM_FLOWS = 40


class _Target(network.Target):
    """Records the packets of callers that chose another target."""

    def __init__(self, seed, sequence):
        super().__init__(seed)
        self.sequence = sequence
        self.foreign = []
        self.openings = 0

    def receive(self, data):
        segment = network.Format().from_caller(data)
        self.openings += segment.opens
        if segment.opens and not self.full:
            self.sequence_by_key.setdefault(segment.key, self.sequence)
        own = self.sequence_by_key.get(segment.key, self.sequence)
        if segment.length and segment.acknowledgement != own + 1:
            self.foreign.append(data)
        return super().receive(data)


class _Network(network.Network):
    """Balancers with extra openings; targets record foreign packets."""

    def __init__(
        self,
        policy="at-once",
        share=1.0,
        idempotent=True,
        bound=None,
        sequences=range(5, 1 << 32, 1 << 28),
        **fields,
    ):
        self.policy, self.share, self.bound = policy, share, bound
        self.idempotent = idempotent
        super().__init__(**fields)
        for number, address in enumerate(self.target_by_address):
            target = _Target(number + 1, sequences[number])
            self.target_by_address[address] = target

    def new_side(self, machine_booted):
        limit = warmup_limit.WarmupLimit(self.bound, 1.0, self.now)
        side = target_relay.TargetRelay(
            network.Format(),
            network.SERVICE,
            self.decisions.append,
            self.now,
            self.now_ms,
            limit,
        )
        side.set_warmup_rate(10.0)
        side.startup.no_predecessor = machine_booted
        return side

    def new_balancer(self):
        balancer = steering.Steering(
            network.Format(),
            self.decisions.append,
            "z",
            former_services.FormerServices(first_start=True),
            self.share,
            self.policy
            and second_openings.POLICY_BY_NAME[self.policy](self.share),
        )
        route = routes.Route(
            "r",
            network.ROUTE_ADDRESS,
            (routes.Share(network.SERVICE, 1),),
            idempotent=self.idempotent,
        )
        self.set_routes(balancer, routes.RoutingTable(1, (route,), 60.0))
        self.update_targets(balancer)
        balancer.set_complete_from(self.now)
        return balancer

    @property
    def counts(self):
        return self.balancer_by_address[("balancer0", 1)].counts.by_cause

    @property
    def targets_in_order(self):
        return list(self.target_by_address.values())

    @property
    def openings(self):
        return sum(target.openings for target in self.targets_in_order)

    def open(self, number, balancer=0, copies=0):
        key = network.flow_key(number)
        opening = network.packet(key, packets.OPENS, acknowledgement=copies)
        self.send(opening, balancer)
        return key

    def answers(self, key):
        """Returns the initial sequence numbers that the caller has got."""
        segments = map(network.Format().from_caller, self.to_caller)
        return [s.sequence for s in segments if s.key == key and s.accepts]

    def request(self, key, sequence, balancer=0):
        """Sends the request of a caller that has chosen a target."""
        data = network.packet(
            key, sequence=1, acknowledgement=sequence + 1, length=10
        )
        self.send(data, balancer)

    def run_until_second(self):
        """Runs until both opening packets of a flow are on their way."""
        while not self.counts["second_sent"]:
            self.run(network.STEP_S)

    def warm_up_policy(self):
        """Opens flows that the balancer learns accept times and loads from."""
        for number in range(WARM_FLOWS):
            key = self.open(10_000 + number)
            self.run(0.03)
            reset = network.packet(key, packets.RESETS)
            self.send(reset)
            self.run(0.1)


def _assert_served_once(net, key, sequence):
    """Checks that only the target that the caller chose got its data."""
    served = [
        target.sequence
        for target in net.targets_in_order
        if any(network.Format().from_caller(d).key == key
               and network.Format().from_caller(d).length
               for d in target.delivered)
    ]  # fmt: skip
    assert served == [sequence]
    assert not any(target.foreign for target in net.targets_in_order)


@pytest.mark.parametrize("policy", ["quantile", "at-once", "more-targets"])
def test_share_of_zero_changes_nothing(policy):
    results = []
    for name in (policy, "never"):
        net = _Network(name, share=0.0, targets=5)
        net.warm_up_policy()
        net.target_delay_s = 0.05
        for number in range(20):
            net.open(number)
            net.run(0.01)
        net.run(1.0)
        results.append((net.to_caller, net.decisions, net.counts))
    assert results[0] == results[1]


def test_caller_is_served_by_the_target_that_it_chose_and_the_other_forgets():
    net = _Network(targets=2)
    key = net.open(1)
    net.run(0.01)
    assert net.counts["second_sent"] == 1
    assert len(net.owners(key)) == 2
    first, last = net.answers(key)
    sides = {
        net.target_by_address[address].sequence: side
        for address, side in net.side_by_address.items()
    }
    assert sides[last].work_under_way == 1
    net.request(key, first)
    net.run(held_flows.FIRST_REQUEST_TIMEOUT_S)
    assert sides[last].work_under_way == 0
    _assert_served_once(net, key, first)
    net.run(held_flows.IDLE_FLOW_TIMEOUT_S + target_relay.EXPIRY_INTERVAL_S)
    assert sides[last].flow_count == 0


def test_second_opening_follows_after_the_quantile_of_accept_times():
    net = _Network("quantile", targets=3)
    net.warm_up_policy()
    assert net.openings == WARM_FLOWS + net.counts["second_sent"]
    before = net.counts["second_sent"]
    net.target_delay_s = 0.04
    key = net.open(1)
    net.run(0.02)
    assert net.counts["second_sent"] == before + 1
    net.run(0.1)
    _, last = net.answers(key)
    net.request(key, last)
    net.run(0.2)
    _assert_served_once(net, key, last)


def _busy(net):
    net.side_by_address[("side0", 1)].workload.estimate.active_flows += 50


def _loaded(net):
    for side in net.side_by_address.values():
        side.workload.estimate.reset_service_time(0.11)


def _draining(net):
    net.send_heartbeat(0, sequence=2, draining=True)


def _evacuated(net):
    net.evacuate_at_balancers("a")


def _evacuated_at_sides(net):
    net.evacuate_at_sides("a")


@pytest.mark.parametrize(
    ("prepare", "targets"),
    [
        (_busy, 3),
        (_loaded, 2),
        (_draining, 2),
        (_evacuated, 2),
        (_evacuated_at_sides, 2),
    ],
)
def test_no_second_opening_where_it_would_harm_or_is_forbidden(
    prepare, targets
):
    net = _Network(targets=targets, zones=("a", "z", "z"))
    prepare(net)
    for number in range(10):
        net.open(number)
        net.run(0.05)
    assert net.counts["second_sent"] == 0
    assert net.openings == net.counts["placed"] == 10


def test_target_that_drains_or_leaves_after_its_reply_gets_no_second_opening():
    # The state of the target changes while the opening packet is on its way.
    net = _Network(targets=2, zones=("a", "z"))
    net.open(0)
    net.run_until_second()
    net.send_heartbeat(0, sequence=2, draining=True)
    for number in range(1, 10):
        net.run(0.05)
        net.open(number)
    net.run(0.05)
    side = net.side_by_address[("side0", 1)]
    assert side.counts.by_cause["refused"] == 1
    assert net.target_by_address[("side0", 1)].openings == 0
    assert len(net.target_by_address[("side1", 1)].sequence_by_key) == 10


def test_non_idempotent_routes_get_no_second_opening():
    net = _Network(idempotent=False)
    for number in range(10):
        net.open(number)
        net.run(0.05)
    assert net.openings == 10


def test_setting_alone_opens_each_flow_at_one_target():
    # A half-open flow at a second target would not return the packets that
    # restarted side processes probe with, and seem to be the owner.
    net = _Network(policy=None, targets=5)
    net.warm_up_policy()
    keys = [net.open(number) for number in range(10)]
    net.run(0.1)
    sequence_by_key = {key: net.answers(key)[0] for key in keys}
    for key, sequence in sequence_by_key.items():
        net.request(key, sequence)
    net.run(0.1)
    assert net.counts["asked_further"] > 0
    assert net.openings == WARM_FLOWS + 10
    net.target_delay_s = 0.03
    for number in range(5):
        net.restart_side(number)
        net.send_heartbeat(number, sequence=9)
    net.restart_balancer(0)
    for key, sequence in sequence_by_key.items():
        for _ in range(2):
            net.request(key, sequence)
            net.run(0.2)
        [owner] = net.owners(key)
        delivered = map(
            network.Format().from_caller,
            net.target_by_address[owner].delivered,
        )
        assert sum(s.key == key and s.length > 0 for s in delivered) >= 3


def test_budget_limits_second_openings():
    net = _Network(share=0.2)
    for number in range(100):
        net.open(number)
        net.run(0.05)
    assert 0 < net.counts["second_sent"] <= 0.2 * 100
    assert net.counts["second_out_of_budget"] >= 80


def test_second_openings_respect_the_warmup_limit():
    bound = warmup_limit.WarmupBound(1.5, 5.0)
    net = _Network(targets=2, bound=bound)
    for number in range(2):
        side = net.side_by_address[(f"side{number}", 1)]
        beat = net.heartbeat(number, 2, warmup_s=5.0 * (1 - number))
        side.on_heartbeat(beat, net.now)
    for number in range(100):
        net.open(number)
        net.run(0.01)
    cold = net.target_by_address[("side0", 1)]
    assert cold.openings <= bound.max_flows(10.0)
    assert net.counts["second_sent"] > 0


@pytest.mark.parametrize("refusing", [0, 1])
def test_flow_opens_although_either_target_returns_the_opening(refusing):
    net = _Network(targets=2)
    net.targets_in_order[refusing].full = True
    for number in range(20):
        key = net.open(number)
        net.run(0.05)
        [sequence] = net.answers(key)
        net.request(key, sequence)
        net.run(0.05)
        _assert_served_once(net, key, sequence)
    assert net.openings == 40


@pytest.mark.parametrize("deferring", [0, 1])
def test_flow_opens_although_either_side_process_defers_it(deferring):
    net = _Network(targets=2)
    key = net.open(1)
    net.run_until_second()
    estimate = net.side_by_address[(f"side{deferring}", 1)].workload.estimate
    estimate.active_flows += 50
    net.run(0.05)
    [sequence] = net.answers(key)
    net.request(key, sequence)
    net.run(0.05)
    _assert_served_once(net, key, sequence)
    assert net.openings == 1


def test_retransmissions_while_two_openings_are_out_reach_no_third_target():
    net = _Network(targets=5)
    net.target_delay_s = 0.05
    key = net.open(1)
    for copies in (1, 2, 3):
        net.run(0.01)
        net.open(1, copies=copies)
    net.run(0.1)
    assert net.openings == 2
    net.open(1, copies=4)
    net.run(0.1)
    assert len(net.owners(key)) == 2


def test_balancer_that_dies_between_both_openings_loses_no_flow():
    net = _Network("quantile", balancers=2, targets=4)
    net.warm_up_policy()
    net.target_delay_s = 0.03
    key = net.open(1)
    net.run(0.003)  # the first opening is out, the second is not due
    net.restart_balancer(0)
    net.run(0.2)
    net.open(1, balancer=1, copies=1)
    net.run(0.2)
    sequence = net.answers(key)[-1]
    net.request(key, sequence, balancer=1)
    net.run(0.5)
    _assert_served_once(net, key, sequence)


@pytest.mark.parametrize("apart", [20_000_000, 100_000])
@pytest.mark.parametrize("seed", range(4))
def test_no_target_gets_data_of_a_caller_that_chose_another(apart, seed):
    # Acceptances are lost, the caller takes either answer, and its packets
    # change the balancer. Initial numbers may be close to each other.
    generator = random.Random(seed)
    numbers = tuple(1_000 + apart * step for step in range(3))
    net = _Network(sequences=numbers, balancers=2, targets=3)
    for number in range(40):
        key = net.open(number)
        net.run(0.003)
        lost = generator.choice([*net.target_by_address, ("none", 1)])
        net.unreachable.add(lost)
        net.run(0.02)
        net.unreachable.clear()
        sequence = generator.choice(net.answers(key))
        net.request(key, sequence, balancer=generator.randrange(2))
        net.run(0.1)
        net.request(key, sequence, balancer=generator.randrange(2))
        net.run(0.3)
        _assert_served_once(net, key, sequence)


def test_owner_with_the_closest_number_is_kept_if_several_match():
    # Guards against a packet to the target that the caller did not choose.
    owners = [(("side0", 1), 1_000), (("side1", 1), 9_000), (("x", 1), None)]
    for acknowledgement, owner in ((1_001, "side0"), (9_001, "side1")):
        flow = flow_cache.CachedFlow(1, list(owners), 0.0, 0.0)
        assert flow.confirm_owner(acknowledgement)
        assert flow.owner() == (owner, 1)


def test_further_targets_are_asked_if_the_first_ones_are_loaded():
    net = _Network("more-targets", share=0.2, idempotent=False, targets=5)
    net.warm_up_policy()
    first = net.openings
    for number in range(5):
        estimate = net.side_by_address[(f"side{number}", 1)].workload.estimate
        estimate.active_flows += 0 if number == 4 else 4
    for number in range(5):
        key = net.open(number)
        net.run(0.05)
        assert net.owners(key) == [("side4", 1)]
        net.send(network.packet(key, packets.RESETS))
    assert net.openings == first + 5


def _load_all(net, requests):
    for side in net.side_by_address.values():
        side.workload.estimate.active_flows += requests


def test_backlogged_balancer_asks_no_further_targets():
    net = _Network("more-targets", share=1.0, targets=5)
    net.warm_up_policy()
    _load_all(net, 3)
    asked = net.counts["asked_further"]
    net.balancer_by_address[("balancer0", 1)].set_backlogged(True)
    for number in range(10):
        net.open(number)
        net.run(0.05)
    assert net.counts["asked_further"] == asked


def test_silent_further_targets_delay_a_flow_by_one_reply_timeout():
    net = _Network("more-targets", share=1.0, targets=9)
    net.warm_up_policy()
    _load_all(net, 3)
    key = net.open(1)
    asked = net.counts["asked_further"]
    while net.counts["asked_further"] == asked:
        net.run(network.STEP_S)
    net.unreachable.update(net.side_by_address)
    net.run(load_queries.LOAD_REPLY_TIMEOUT_S - 0.01)
    net.unreachable.clear()
    net.run(0.02)
    assert net.owners(key)


def test_further_load_queries_stay_within_the_share():
    net = _Network("more-targets", share=0.1, targets=5)
    net.warm_up_policy()
    _load_all(net, 3)
    for number in range(100):
        net.open(number)
        net.run(0.05)
    assert net.counts["asked_further"] <= 0.1 * (100 + WARM_FLOWS)
    assert net.openings == 100 + WARM_FLOWS


def test_policies_decide_from_loads_and_accept_times():
    quantile = second_openings.Quantile()
    assert quantile.second_delay_s(50, 200, 1.0) == float("inf")
    assert quantile.second_delay_s(201, 200, 1.0) == 0.0
    for _ in range(100):
        quantile.record_accept(0.002, 1.0)
    assert 0.002 <= quantile.second_delay_s(50, 200, 1.0) <= 0.0024
    more = second_openings.MoreTargets(0.1)
    asked = [more.asks_further(load, 1.0) for load in (*range(100), 200, 5)]
    assert asked[-2:] == [True, False]
