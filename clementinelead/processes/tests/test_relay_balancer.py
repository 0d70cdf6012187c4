import asyncio
import dataclasses

import pytest
import uvloop

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


class NoSource:
    async def next(self):
        return route_watch.Unchanged()


@pytest.fixture(name="balancer")
def _balancer():
    balancer = relay_balancer.RelayBalancer(
        samples.settings("b"),
        ("127.0.0.1", 4),
        network.Format(),
        NoSource(),
        samples.UnavailableContactKeys(),
        sockets.PreboundSockets(),
    )
    balancer.node.routes.adopt(routes.RoutingTable(1, (ROUTE,), 60.0), "test")
    return balancer


def _learn(balancer, record, now):
    change = balancer.node.gossiper.table.merge(record, now)
    balancer.on_members([change], now)


def _resets_after_denial(balancer, now):
    """Lets the only side process deny a flow; counts the resets."""
    key = network.flow_key(int(now * 1000))
    balancer.steering.on_packet(network.packet(key, length=10), now)
    balancer.steering.on_tick(now + 0.01)
    denial = frames.encode(
        frames.Kind.ABSENT, frames.service_number(network.SERVICE), key, key
    )
    sends = balancer.steering.on_frame(denial, SIDE.data_address, now + 0.02)
    return sum(isinstance(send, outcomes.ToCaller) for send in sends)


def _joined_with(balancer, now):
    _learn(balancer, SIDE, now)
    balancer.node.joining.joined = True
    balancer.on_tick(now)


def test_denied_flow_is_reset_when_the_view_is_old_enough(balancer):
    _joined_with(balancer, 100.0)
    late = 100.0 + completeness.SETTLE_TIME_S + 0.1
    assert _resets_after_denial(balancer, late) == 1


def test_no_reset_soon_after_joining(balancer):
    _joined_with(balancer, 100.0)
    assert _resets_after_denial(balancer, 103.0) == 0


def test_no_reset_while_more_side_processes_may_appear(balancer):
    _joined_with(balancer, 100.0)
    other = dataclasses.replace(SIDE, id="side1", address="10.0.0.3")
    _learn(balancer, other, 110.0)
    gone = dataclasses.replace(other, sequence=2, state=records.State.LEAVING)
    _learn(balancer, gone, 110.1)
    assert _resets_after_denial(balancer, 111.0) == 0


def test_no_reset_soon_after_a_death(balancer):
    _joined_with(balancer, 100.0)
    other = dataclasses.replace(SIDE, id="side1", address="10.0.0.3")
    _learn(balancer, other, 101.0)
    dead = dataclasses.replace(other, health=records.Health.DEAD)
    _learn(balancer, dead, 110.0)
    assert _resets_after_denial(balancer, 120.0) == 0


def test_process_without_routes_is_not_ready(balancer):
    _joined_with(balancer, 100.0)
    assert balancer.ready
    balancer.node.routes.table = routes.EMPTY
    assert not balancer.ready


def test_process_that_knows_nobody_is_not_ready(balancer):
    balancer.node.joining.joined = True
    assert not balancer.ready


def _keys_say(balancer, sides):
    told = (contact_keys.Contact("10.0.0.9", sides),)
    balancer._side_count.told(told)


def test_reset_soon_after_the_loss_of_all_when_all_are_back(balancer):
    _keys_say(balancer, 1)
    _joined_with(balancer, 100.0)
    assert _resets_after_denial(balancer, 100.1) == 1


def test_no_reset_after_the_loss_of_all_while_one_is_not_back(balancer):
    _keys_say(balancer, 2)
    _joined_with(balancer, 100.0)
    assert _resets_after_denial(balancer, 103.0) == 0


def _other(state, health=records.Health.ALIVE):
    return dataclasses.replace(
        SIDE, id="side1", address="10.0.0.3", state=state, health=health
    )


def test_death_of_one_without_a_target_does_not_put_off_resets(balancer):
    _joined_with(balancer, 100.0)
    idle = _other(records.State.LEAVING)
    _learn(balancer, idle, 100.1)
    dead = dataclasses.replace(idle, health=records.Health.DEAD)
    _learn(balancer, dead, 106.0)
    late = 100.0 + completeness.SETTLE_TIME_S + 1.1
    assert _resets_after_denial(balancer, late) == 1


def test_death_of_one_with_a_target_puts_off_resets(balancer):
    _joined_with(balancer, 100.0)
    _learn(balancer, _other(records.State.READY), 100.1)
    dead = _other(records.State.READY, records.Health.DEAD)
    _learn(balancer, dead, 106.0)
    late = 100.0 + completeness.SETTLE_TIME_S + 1.1
    assert _resets_after_denial(balancer, late) == 0


def test_keys_get_the_own_count_once_all_are_known(balancer):
    _keys_say(balancer, 2)
    _joined_with(balancer, 100.0)
    assert balancer._side_count.publishable(1) == 2
    balancer.on_tick(100.0 + completeness.SETTLE_TIME_S + 0.1)
    assert balancer._side_count.publishable(1) == 1


def test_no_reset_while_one_may_come_back_that_died_before_the_join(balancer):
    # One that is frozen for long has been declared dead, and has its flows.
    frozen = _other(records.State.READY, records.Health.DEAD)
    balancer.node.gossiper.merge((frozen,), 99.0)
    _joined_with(balancer, 100.0)
    assert _resets_after_denial(balancer, 110.0) == 0
    assert _resets_after_denial(balancer, 120.1) == 1


def _silent_while_cold(balancer, record):
    """Lets a side process that has just started fall silent; is it given up?"""
    _learn(balancer, record, 100.0)
    known = balancer.steering._directory
    known.responsiveness.record_query(record.data_address, 100.0)
    now = 100.1 + directory.ABANDON_AFTER_S
    return known.is_abandoned(record.data_address, now)


def test_silent_process_that_starts_beside_no_target_is_given_up(balancer):
    assert _silent_while_cold(balancer, _other(records.State.COLD))


def test_silent_process_that_replaced_a_serving_one_is_waited_for(balancer):
    _learn(balancer, _other(records.State.READY), 90.0)
    again = dataclasses.replace(_other(records.State.COLD), incarnation=2)
    assert not _silent_while_cold(balancer, again)


def test_count_is_made_in_a_fleet_of_any_size(balancer):
    many = 300
    for number in range(many):
        side = dataclasses.replace(SIDE, id=f"s{number}")
        balancer.node.gossiper.merge((side,), 100.0)
    _joined_with(balancer, 100.0)
    _keys_say(balancer, many + 1)
    balancer.on_tick(100.0 + completeness.SETTLE_TIME_S + 0.1)
    contact = balancer._holder._contact(110.0)
    assert contact.sides == many + 1  # with the one of the fixture
    assert len(contact.named) == contact_keys.NAMED_SIDES


def test_turn_is_taken_at_the_earliest_time_planned(balancer):
    # The programs run on uvloop, whose handles for now have no time.
    async def planned():
        balancer._loop = asyncio.get_running_loop()
        turns = []
        balancer._take_turn = lambda: turns.append(balancer._loop.time())
        begun = balancer._loop.time()
        for pause_s in (0.05, 0.0, 0.05, 0.0):
            balancer._plan_turn(pause_s)
        await asyncio.sleep(0.02)
        balancer._plan_turn(0.0)
        balancer._plan_turn(0.0)
        await asyncio.sleep(0.1)
        return begun, turns

    begun, turns = uvloop.run(planned())
    assert len(turns) == 2
    assert turns[0] < begun + 0.05
