import base64

import pytest

from clementinelead.memberships import evacuations
from clementinelead.platform import evacuation_keys
from clementinelead.platform import items

_KNOWN = frozenset(("a", "b"))


def _item(zone, revision, value=b"{}", deleted=False):
    encoded = "" if deleted else base64.b64encode(value).decode()
    key = evacuation_keys.PREFIX + zone
    return items.Item(key, revision, encoded, deleted)


def _keys():
    return evacuation_keys.EvacuationKeys(_KNOWN)


def test_events_after_a_read_apply_in_the_order_of_their_revisions():
    keys = _keys()
    assert keys.on_read([_item("a", 4)], 1, 9).zones == {"a"}
    events = [_item("a", 12), _item("b", 13), _item("a", 11, deleted=True)]
    state = keys.on_events(events, 1)
    assert state == evacuations.EvacuationState(1, 13, _KNOWN)


def test_key_that_is_written_twice_and_deleted_once_is_gone():
    keys = _keys()
    keys.on_read([], 1, 9)
    events = [_item("a", 10), _item("a", 11), _item("a", 12, deleted=True)]
    assert keys.on_events(events, 1).zones == frozenset()


def test_events_of_other_keys_are_no_change():
    keys = _keys()
    keys.on_read([], 1, 9)
    assert keys.on_events([items.Item("op/config", 10)], 1) is None


@pytest.mark.parametrize("value", [b"", b"\xff", b"[1]", b"null", b'"x"'])
def test_unreadable_value_evacuates_the_zone(value):
    assert _keys().on_read([_item("a", 4, value)], 1, 9).zones == {"a"}


def test_value_that_is_not_base64_evacuates_the_zone():
    item = items.Item(evacuation_keys.PREFIX + "a", 4, "&&&")
    assert _keys().on_read([item], 1, 9).zones == {"a"}


@pytest.mark.parametrize("zone", ["", "z" * 100])
def test_invalid_name_is_left_out(zone):
    state = _keys().on_read([_item(zone, 4), _item("b", 5)], 1, 9)
    assert state.zones == {"b"}


def test_unknown_zones_do_not_displace_known_ones():
    written = [_item(f"0-{number:03}", number + 1) for number in range(300)]
    state = _keys().on_read([*written, _item("b", 400)], 1, 401)
    assert len(state.zones) == evacuations.MAX_ZONES
    assert "b" in state.zones
