import dataclasses

import hypothesis
from hypothesis import strategies

from clementinelead.memberships import records
from clementinelead.memberships import watchers
from clementinelead.memberships.tests import samples


def _balancer(number, store_lost):
    return dataclasses.replace(
        samples.SIDE,
        id=f"balancer{number}",
        role=records.Role.BALANCER,
        services=(),
        store_lost=store_lost,
    )


def _watchers(balancers):
    return [
        own
        for own in balancers
        if watchers.is_watcher(
            own, [other for other in balancers if other is not own]
        )
    ]


@hypothesis.given(strategies.lists(strategies.booleans(), max_size=20))
def test_balancers_that_the_store_answers_replace_those_it_does_not(lost):
    # All balancers are candidates up to the limit.
    balancers = [
        _balancer(number, store_lost) for number, store_lost in enumerate(lost)
    ]
    selected = _watchers(balancers)
    answered = [own for own in selected if not own.store_lost]
    if len(balancers) <= watchers.MAX_CANDIDATES:
        available = len(balancers) - sum(lost)
        assert len(answered) == min(watchers.WATCHERS_PER_ZONE, available)
    assert len(selected) <= watchers.MAX_CANDIDATES


def test_first_watchers_go_on_to_try_while_the_store_does_not_answer():
    answered = [_balancer(number, False) for number in range(6)]
    first = {own.id for own in _watchers(answered)}
    lost = [
        dataclasses.replace(own, store_lost=own.id in first) for own in answered
    ]
    selected = {own.id for own in _watchers(lost)}
    assert first < selected
    assert len(selected) == 2 * watchers.WATCHERS_PER_ZONE


def test_balancers_of_other_zones_do_not_count():
    own = _balancer(0, False)
    others = [
        dataclasses.replace(_balancer(number, False), zone="other")
        for number in range(1, 20)
    ]
    assert watchers.is_watcher(own, others)
