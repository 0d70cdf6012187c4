"""Further load queries, and flows that two targets have accepted."""

import random

import pytest

from clementinelead.relays import candidates
from clementinelead.relays import flow_cache
from clementinelead.relays import load_queries
from clementinelead.relays import placing
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
    """Balancers with further queries; targets record foreign packets."""

    def __init__(
        self,
        share=1.0,
        idempotent=True,
        bound=None,
        sequences=range(5, 1 << 32, 1 << 28),
        **fields,
    ):
        super().__init__(
            warmup_bound=bound,
            balancer_options={"further_queries_share": share},
            idempotent=idempotent,
            **fields,
        )
        for number, address in enumerate(self.target_by_address):
            target = _Target(number + 1, sequences[number])
            self.target_by_address[address] = target

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

    def run_until_asked_further(self):
        """Runs until further load queries of a flow are on their way."""
        asked = self.counts["asked_further"]
        while self.counts["asked_further"] == asked:
            self.run(network.STEP_S)

    def warm_up_threshold(self):
        """Opens flows that the balancer learns the usual best loads from."""
        for number in range(WARM_FLOWS):
            key = self.open(10_000 + number)
            self.run(0.03)
            reset = network.packet(key, packets.RESETS)
            self.send(reset)
            self.run(0.1)

    def load_all(self, requests):
        for side in self.side_by_address.values():
            side.workload.estimate.active_flows += requests


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


def _further(counts):
    return sum(
        count for cause, count in counts.items() if cause.startswith("asked_")
    )


@pytest.mark.parametrize(("share", "asks"), [(0.0, False), (0.2, True)])
def test_share_of_zero_asks_no_further_targets(share, asks):
    # Guards against queries that the operators have not asked for.
    net = _Network(share, targets=9)
    net.warm_up_threshold()
    net.load_all(4)
    for number in range(20):
        net.open(number)
        net.run(0.05)
    assert (_further(net.counts) > 0) == asks


def test_further_targets_are_asked_if_the_first_ones_are_loaded():
    net = _Network(share=0.2, idempotent=False, targets=5)
    net.warm_up_threshold()
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


def test_backlogged_balancer_asks_no_further_targets():
    net = _Network(targets=5)
    net.warm_up_threshold()
    net.load_all(3)
    asked = net.counts["asked_further"]
    net.balancer_by_address[("balancer0", 1)].set_backlogged(True)
    for number in range(10):
        net.open(number)
        net.run(0.05)
    assert net.counts["asked_further"] == asked


def test_no_further_queries_while_an_asked_target_is_busy():
    # Guards against more messages while there is hardly any room.
    net = _Network(targets=5)
    net.warm_up_threshold()
    net.load_all(3)
    for number in range(4):
        estimate = net.side_by_address[(f"side{number}", 1)].workload.estimate
        estimate.active_flows += 50
    asked = net.counts["asked_further"]
    for number in range(10):
        net.open(number)
        net.run(0.05)
    assert net.counts["asked_further_targets_busy"] > 0
    assert net.counts["asked_further"] == asked


def test_silent_further_targets_delay_a_flow_by_one_reply_timeout():
    net = _Network(targets=9)
    net.warm_up_threshold()
    net.load_all(3)
    key = net.open(1)
    net.run_until_asked_further()
    net.unreachable.update(net.side_by_address)
    net.run(load_queries.LOAD_REPLY_TIMEOUT_S - 0.01)
    net.unreachable.clear()
    net.run(0.02)
    assert net.owners(key)


def test_further_load_queries_stay_within_the_share():
    net = _Network(share=0.1, targets=5)
    net.warm_up_threshold()
    net.load_all(3)
    for number in range(100):
        net.open(number)
        net.run(0.05)
    assert net.counts["asked_further"] <= 0.1 * (100 + WARM_FLOWS)
    assert net.counts["asked_further_out_of_budget"] > 0
    assert net.openings == 100 + WARM_FLOWS


# Guards against a budget that is spent, and a count, for flows without any
# further target.
def test_flow_without_further_targets_is_not_counted_as_asked_further():
    net = _Network(targets=candidates.MAX_QUERIED)
    net.warm_up_threshold()
    assert _further(net.counts) == 0
    further = net.balancer_by_address[("balancer0", 1)]._placer._further
    budget = further._budgets._by_service[network.SERVICE]
    assert not any(queries for _, _, queries in budget._intervals)


def _drain(net):
    net.send_heartbeat(0, sequence=2, draining=True)


def _evacuate_at_balancers(net):
    net.evacuate_at_balancers("a")


def _evacuate_at_sides(net):
    net.evacuate_at_sides("a")


@pytest.mark.parametrize(
    "forbid", [_drain, _evacuate_at_balancers, _evacuate_at_sides]
)
def test_further_target_that_drains_or_leaves_gets_no_flow(forbid):
    # The target with the lowest load is the one that must get no new flow.
    net = _Network(targets=9, zones=("a", *"z" * 8))
    net.warm_up_threshold()
    net.load_all(3)
    estimate = net.side_by_address[("side0", 1)].workload.estimate
    estimate.active_flows = 0
    forbid(net)
    asked = net.counts["asked_further"]
    before = net.targets_in_order[0].openings
    keys = [net.open(number) for number in range(20)]
    net.run(0.2)
    assert net.counts["asked_further"] > asked
    assert net.targets_in_order[0].openings == before
    assert all(net.owners(key) for key in keys)


def test_further_queries_respect_the_warmup_limit():
    bound = warmup_limit.WarmupBound(1.5, 5.0)
    net = _Network(targets=5, bound=bound)
    for number in range(5):
        side = net.side_by_address[(f"side{number}", 1)]
        beat = net.heartbeat(number, 2, warmup_s=0.0 if number else 5.0)
        side.on_heartbeat(beat, net.now)
    for number in range(100):
        net.open(number)
        net.run(0.01)
    cold = net.target_by_address[("side0", 1)]
    assert cold.openings <= bound.max_flows(10.0)
    assert net.counts["asked_further"] > 0


def test_retransmissions_while_further_targets_are_asked_open_one_flow():
    net = _Network(targets=9)
    net.warm_up_threshold()
    net.load_all(3)
    key = net.open(1)
    net.run_until_asked_further()
    for copies in (1, 2):
        net.open(1, copies=copies)
    net.run(0.1)
    assert len(net.answers(key)) == 1
    assert net.openings == WARM_FLOWS + 1


def test_balancer_that_dies_while_it_asks_loses_no_flow():
    net = _Network(balancers=2, targets=9)
    net.warm_up_threshold()
    net.load_all(3)
    key = net.open(1)
    net.run_until_asked_further()
    net.restart_balancer(0)
    net.load_all(-3)
    net.run(0.2)
    assert net.openings == WARM_FLOWS
    net.open(1, balancer=1, copies=1)
    net.run(0.2)
    [sequence] = net.answers(key)
    net.request(key, sequence, balancer=1)
    net.run(0.5)
    _assert_served_once(net, key, sequence)


def test_flow_opens_although_targets_return_the_opening():
    net = _Network(targets=9)
    net.warm_up_threshold()
    for target in net.targets_in_order[:4]:
        target.full = True
    for number in range(20):
        key = net.open(number)
        net.run(0.05)
        [sequence] = net.answers(key)
        net.request(key, sequence)
        net.run(0.05)
        _assert_served_once(net, key, sequence)


def test_setting_opens_each_flow_at_one_target():
    # A half-open flow at a second target would not return the packets that
    # restarted side processes probe with, and seem to be the owner.
    net = _Network(targets=5)
    net.warm_up_threshold()
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


@pytest.mark.parametrize("apart", [20_000_000, 100_000])
@pytest.mark.parametrize("seed", range(4))
def test_no_target_gets_data_of_a_caller_that_chose_another(apart, seed):
    # The first target accepts after the opening has gone to a second one.
    # Acceptances are lost, the caller takes either answer, and its packets
    # change the balancer. Initial numbers may be close to each other.
    generator = random.Random(seed)
    numbers = tuple(1_000 + apart * step for step in range(3))
    net = _Network(share=0.0, sequences=numbers, balancers=2, targets=3)
    accepted_twice = 0
    for number in range(40):
        key = net.open(number)
        net.target_delay_s = placing.ACCEPT_TIMEOUT_S + 0.01
        net.run(placing.ACCEPT_TIMEOUT_S + 0.007)
        lost = generator.choice([*net.target_by_address, ("none", 1)])
        net.unreachable.add(lost)
        net.run(placing.ACCEPT_TIMEOUT_S + 0.03)
        net.unreachable.clear()
        net.target_delay_s = 0.0
        accepted_twice += len(net.answers(key)) == 2
        sequence = generator.choice(net.answers(key))
        net.request(key, sequence, balancer=generator.randrange(2))
        net.run(0.1)
        net.request(key, sequence, balancer=generator.randrange(2))
        net.run(0.3)
        _assert_served_once(net, key, sequence)
    assert accepted_twice > 20


def test_owner_with_the_closest_number_is_kept_if_several_match():
    # Guards against a packet to the target that the caller did not choose.
    owners = [(("side0", 1), 1_000), (("side1", 1), 9_000), (("x", 1), None)]
    for acknowledgement, owner in ((1_001, "side0"), (9_001, "side1")):
        flow = flow_cache.CachedFlow(1, list(owners), 0.0, 0.0)
        assert flow.confirm_owner(acknowledgement)
        assert flow.owner() == (owner, 1)
