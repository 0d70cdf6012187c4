"""Sets of addresses that share a table."""

import hypothesis
from hypothesis import strategies

from clementinelead.relays import address_sets

_ADDRESSES = strategies.integers(0, 100).map(lambda n: (f"s{n}", 1))


@hypothesis.given(
    strategies.sets(_ADDRESSES),
    strategies.sets(_ADDRESSES),
    strategies.sets(_ADDRESSES),
)
def test_address_set_equals_a_set(first, second, removed):
    table = address_sets.AddressTable()
    other = address_sets.AddressSet(table)
    other |= second
    found = address_sets.AddressSet(table)
    found |= first
    found |= other
    for address in removed:
        found.discard(address)
    expected = (first | second) - removed
    assert set(found) == expected
    assert len(found) == len(expected) and bool(found) == bool(expected)
    assert all(
        (address in found) == (address in expected)
        for address in first | second | removed
    )


def test_sets_of_different_tables_can_be_joined():
    first, second = (
        address_sets.AddressSet(address_sets.AddressTable()) for _ in range(2)
    )
    first.add(("a", 1))
    second.add(("b", 1))
    first |= second
    assert set(first) == {("a", 1), ("b", 1)}
