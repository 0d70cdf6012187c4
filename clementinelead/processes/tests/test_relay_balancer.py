import asyncio
import dataclasses
import time

import loguru
import msgspec
import pytest
import uvloop

from clementinelead.memberships import evacuations
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples as member_samples
from clementinelead.processes import contact_keys
from clementinelead.processes import relay_balancer
from clementinelead.processes import route_watch
from clementinelead.processes import sockets
from clementinelead.processes.tests import samples
from clementinelead.relays import completeness
from clementinelead.relays import directory
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays.tests import network

ROUTE = routes.Route(
    "r", network.ROUTE_ADDRESS, (routes.Share(network.SERVICE, 1),)
)
SIDE = member_samples.SIDE


PEER = dataclasses.replace(
    SIDE, id="peer", role=records.Role.BALANCER, services=(), weight=100.0
)


class EmptySource:
    """A source that never has new routes."""

    async def next(self):
        await asyncio.sleep(0.01)
        return route_watch.Unchanged()


@pytest.fixture(name="balancer")
def _balancer():
    balancer = relay_balancer.RelayBalancer(
        samples.settings("b"),
        ("127.0.0.1", 4),
        network.Format(),
        EmptySource(),
        samples.UnavailableContactKeys(),
        sockets.PreboundSockets(),
    )
    balancer.node.routes.adopt(routes.RoutingTable(1, (ROUTE,), 60.0), "test")
    return balancer


def _merge_record(balancer, record, now):
    change = balancer.node.gossiper.table.merge(record, now)
    balancer.on_members([change], now)


# Guards against a log line for each of the changes of such a record.
def test_unusable_weight_of_a_balancer_is_logged_once(balancer):
    lines = []
    sink = loguru.logger.add(lines.append, format="{message}", level="WARNING")
    for sequence in (1, 2, 3):
        record = dataclasses.replace(
            SIDE,
            id="b2",
            role=records.Role.BALANCER,
            weight=0.0,
            sequence=sequence,
        )
        _merge_record(balancer, record, time.monotonic())
    loguru.logger.remove(sink)
    assert [str(line) for line in lines] == ["weight of a member ignored\n"]


def _resets_after_denial(balancer, now):
    """Counts the resets sent when the only side process denies a flow."""
    key = network.flow_key(int(now * 1000))
    balancer.steering.on_packet(network.packet(key, length=10), now)
    balancer.steering.on_tick(now + 0.01)
    denial = frames.encode(
        frames.Kind.ABSENT, frames.service_number(network.SERVICE), key, key
    )
    results = balancer.steering.on_frame(denial, SIDE.data_address, now + 0.02)
    return sum(isinstance(result, outcomes.ToCaller) for result in results)


def _join(balancer, now):
    _merge_record(balancer, SIDE, now)
    balancer.node.joining.joined = True
    balancer.on_tick(now)


def test_denied_flow_is_reset_after_the_settle_time(balancer):
    _join(balancer, 100.0)
    settled_at = 100.0 + completeness.SETTLE_TIME_S + 0.1
    assert _resets_after_denial(balancer, settled_at) == 1


def test_no_reset_soon_after_joining(balancer):
    _join(balancer, 100.0)
    assert _resets_after_denial(balancer, 103.0) == 0


def test_no_reset_soon_after_a_new_side_process_has_appeared(balancer):
    _join(balancer, 100.0)
    other = dataclasses.replace(SIDE, id="side1", address="10.0.0.3")
    _merge_record(balancer, other, 110.0)
    left = dataclasses.replace(other, sequence=2, state=records.State.LEAVING)
    _merge_record(balancer, left, 110.1)
    assert _resets_after_denial(balancer, 111.0) == 0


def test_no_reset_ten_seconds_after_the_death_of_a_side_process(balancer):
    _join(balancer, 100.0)
    other = dataclasses.replace(SIDE, id="side1", address="10.0.0.3")
    _merge_record(balancer, other, 101.0)
    dead = dataclasses.replace(other, health=records.Health.DEAD)
    _merge_record(balancer, dead, 110.0)
    assert _resets_after_denial(balancer, 120.0) == 0


def _learn_evacuations(balancer, revision, *zones):
    state = evacuations.EvacuationState(1, revision, frozenset(zones))
    balancer.node.evacuations.adopt(state, "store", 100.0)


def test_process_that_does_not_know_the_evacuated_zones_is_not_ready(balancer):
    _join(balancer, 100.0)
    assert not balancer.ready
    _learn_evacuations(balancer, 5)
    assert balancer.ready


def test_evacuated_zone_applies_to_the_decisions(balancer):
    _join(balancer, 100.0)
    targets = balancer.steering._directory
    balancer.on_evacuations(frozenset((SIDE.zone,)), 100.0)
    assert targets.evacuated == {SIDE.data_address}
    balancer.on_evacuations(frozenset(), 100.0)
    assert not targets.evacuated


def test_process_without_routes_is_not_ready(balancer):
    _learn_evacuations(balancer, 5)
    _join(balancer, 100.0)
    assert balancer.ready
    balancer.node.routes.table = routes.EMPTY
    assert not balancer.ready


def test_process_without_peers_is_not_ready(balancer):
    balancer.node.joining.joined = True
    assert not balancer.ready


def _read_key_with_count(balancer, side_count):
    contacts = (contact_keys.Contact("10.0.0.9", side_count),)
    balancer._view.side_count.update(contacts)


def test_reset_soon_after_the_join_if_the_count_is_reached(balancer):
    _read_key_with_count(balancer, 1)
    _join(balancer, 100.0)
    assert _resets_after_denial(balancer, 100.1) == 1


def test_no_reset_soon_after_the_join_if_the_count_is_not_reached(balancer):
    _read_key_with_count(balancer, 2)
    _join(balancer, 100.0)
    assert _resets_after_denial(balancer, 103.0) == 0


def _other(state, health=records.Health.ALIVE):
    return dataclasses.replace(
        SIDE, id="side1", address="10.0.0.3", state=state, health=health
    )


def test_death_of_a_leaving_side_process_does_not_delay_resets(balancer):
    _join(balancer, 100.0)
    idle = _other(records.State.LEAVING)
    _merge_record(balancer, idle, 100.1)
    dead = dataclasses.replace(idle, health=records.Health.DEAD)
    _merge_record(balancer, dead, 106.0)
    settled_at = 100.0 + completeness.SETTLE_TIME_S + 1.1
    assert _resets_after_denial(balancer, settled_at) == 1


def test_death_of_a_ready_side_process_delays_resets(balancer):
    _join(balancer, 100.0)
    _merge_record(balancer, _other(records.State.READY), 100.1)
    dead = _other(records.State.READY, records.Health.DEAD)
    _merge_record(balancer, dead, 106.0)
    settled_at = 100.0 + completeness.SETTLE_TIME_S + 1.1
    assert _resets_after_denial(balancer, settled_at) == 0


def test_own_count_is_published_once_the_view_is_complete(balancer):
    _read_key_with_count(balancer, 2)
    _join(balancer, 100.0)
    assert balancer._view.side_count.count_to_publish(1) == 2
    balancer.on_tick(100.0 + completeness.SETTLE_TIME_S + 0.1)
    assert balancer._view.side_count.count_to_publish(1) == 1


def test_no_reset_while_a_side_process_dead_before_the_join_may_return(
    balancer,
):
    # A side process that pauses for long is declared dead and keeps its flows.
    paused = _other(records.State.READY, records.Health.DEAD)
    balancer.node.gossiper.merge((paused,), 99.0)
    _join(balancer, 100.0)
    assert _resets_after_denial(balancer, 110.0) == 0
    assert _resets_after_denial(balancer, 120.1) == 1


# Guards against resets of flows whose side process died before the join: one of
# ten or more processes was taken for gone for good after a second.
@pytest.mark.parametrize(("returned", "resets"), [(False, 0), (True, 1)])
def test_process_that_died_before_the_join_is_not_taken_for_gone(
    balancer, returned, resets
):
    side_count = 20
    _read_key_with_count(balancer, side_count + returned)
    for number in range(1, side_count - 1):
        side = dataclasses.replace(SIDE, id=f"s{number}", services=())
        _merge_record(balancer, side, 99.0)
    dead = _other(records.State.READY, records.Health.DEAD)
    balancer.node.gossiper.merge((dead,), 99.0)
    _join(balancer, 100.0)
    if returned:
        alive = dataclasses.replace(
            _other(records.State.READY), services=(), incarnation=2
        )
        _merge_record(balancer, alive, 100.1)
    balancer.on_tick(100.2 + completeness.QUIET_PERIOD_S)
    assert _resets_after_denial(balancer, 102.0) == resets


# Guards against resets of open flows by a balancer whose clock is behind: side
# processes that have not restarted seemed to have started after it.
@pytest.mark.parametrize(
    ("ahead_ms", "predecessor_ahead_ms", "expected"),
    [
        (8_000, None, True),
        (60_000, None, False),
        (-60_000, None, False),
        (0, 1, False),
    ],
)
def test_only_processes_that_started_together_count_as_restarted(
    balancer, ahead_ms, predecessor_ahead_ms, expected
):
    gossiper = balancer.node.gossiper
    started_ms = gossiper.own.incarnation
    if predecessor_ahead_ms is not None:
        gossiper.raise_incarnation_above(
            dataclasses.replace(
                SIDE, incarnation=started_ms + predecessor_ahead_ms
            )
        )
    side = dataclasses.replace(SIDE, incarnation=started_ms + ahead_ms)
    _merge_record(balancer, side, 99.0)
    assert balancer._view._all_restarted_together() is expected


# Guards against resets of flows whose side process died while this process had
# peers and had not joined: it waited for 5 s in place of the return window.
def test_no_reset_while_a_side_process_that_died_during_the_join_may_return(
    balancer,
):
    _merge_record(balancer, _other(records.State.READY), 99.0)
    dead = _other(records.State.READY, records.Health.DEAD)
    _merge_record(balancer, dead, 99.9)
    _join(balancer, 100.0)
    assert _resets_after_denial(balancer, 110.0) == 0
    assert _resets_after_denial(balancer, 120.1) == 1


# Guards against an overloaded balancer that stays in the rotation as long as no
# balancer of its zone changes, because of one that ended two hours ago.
def test_balancer_may_leave_once_an_ended_one_is_forgotten(balancer):
    balancer.node.announce()
    gone = dataclasses.replace(PEER, id="gone", health=records.Health.DEAD)
    _merge_record(balancer, PEER, 100.0)
    _merge_record(balancer, gone, 100.0)
    balancer.on_tick(100.1)
    assert not balancer.steering.overload.may_leave
    later = 100.0 + members.TOMBSTONE_LIFETIME_S
    balancer.node.gossiper.table.expire(later)
    balancer.on_tick(later)
    assert balancer.steering.overload.may_leave


def _is_abandoned_when_unresponsive(balancer, record):
    """Returns whether a cold side process without replies is abandoned."""
    _merge_record(balancer, record, 100.0)
    side_directory = balancer.steering._directory
    for queried_at in (100.0, 100.2):
        side_directory.responsiveness.record_query(
            record.data_address, queried_at
        )
    now = 100.1 + directory.ABANDON_AFTER_S
    return side_directory.is_abandoned(record.data_address, now)


def test_unresponsive_cold_process_without_predecessor_is_abandoned(balancer):
    assert _is_abandoned_when_unresponsive(balancer, _other(records.State.COLD))


def test_unresponsive_cold_successor_is_not_abandoned(balancer):
    _merge_record(balancer, _other(records.State.READY), 90.0)
    restarted = dataclasses.replace(_other(records.State.COLD), incarnation=2)
    assert not _is_abandoned_when_unresponsive(balancer, restarted)


def test_key_contains_the_count_of_a_large_cluster(balancer):
    many = 300
    for number in range(many):
        side = dataclasses.replace(SIDE, id=f"s{number}")
        balancer.node.gossiper.merge((side,), 100.0)
    _join(balancer, 100.0)
    _read_key_with_count(balancer, many + 1)
    balancer.on_tick(100.0 + completeness.SETTLE_TIME_S + 0.1)
    contact = balancer._contact_holder._contact(110.0)
    assert contact.side_count == many + 1  # including SIDE
    assert len(contact.side_addresses) == contact_keys.MAX_NAMED_SIDES


def test_batch_runs_at_the_earliest_scheduled_time(balancer):
    # The programs run on uvloop, whose handles of call_later with a delay of 0
    # have no time.
    async def schedule():
        balancer._loop = asyncio.get_running_loop()
        run_times = []
        balancer._process_batch = lambda: run_times.append(
            balancer._loop.time()
        )
        started_at = balancer._loop.time()
        for pause_s in (0.05, 0.0, 0.05, 0.0):
            balancer._schedule_batch(pause_s)
        await asyncio.sleep(0.02)
        balancer._schedule_batch(0.0)
        balancer._schedule_batch(0.0)
        await asyncio.sleep(0.1)
        return started_at, run_times

    started_at, run_times = uvloop.run(schedule())
    assert len(run_times) == 2
    assert run_times[0] < started_at + 0.05


# Guards against a balancer that reads closed sockets until it is killed, since
# a search or a placement was pending when it was stopped (review/2).
def test_nothing_is_due_after_a_stop_with_a_pending_search():
    async def stop_while_searching():
        settings = msgspec.structs.replace(
            samples.settings("b"), data_port=0, control_port=0, http_port=0
        )
        balancer = relay_balancer.RelayBalancer(
            settings,
            ("127.0.0.1", 0),
            network.Format(),
            EmptySource(),
            samples.UnavailableContactKeys(),
            sockets.PreboundSockets(),
        )
        balancer.node.routes.adopt(
            routes.RoutingTable(1, (ROUTE,), 60.0), "test"
        )
        stopping = asyncio.Event()
        running = asyncio.create_task(balancer.run(stopping))
        await asyncio.sleep(0.1)
        _merge_record(balancer, SIDE, time.monotonic())
        stopping.set()
        while not running.done():
            # Packets of unknown flows keep a search pending until the end.
            key = network.flow_key(1)
            balancer.steering.on_packet(
                network.packet(key, length=10), time.monotonic()
            )
            balancer._schedule_batch(0.004)
            await asyncio.sleep(0.001)
        await running
        batches = []
        balancer._process_batch = lambda: batches.append(1)
        await asyncio.sleep(0.05)
        return batches

    async def with_timeout():
        async with asyncio.timeout(10.0):
            return await stop_while_searching()

    assert not uvloop.run(with_timeout())
