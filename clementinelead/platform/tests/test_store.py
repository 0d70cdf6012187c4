import asyncio
import base64
import json
import random

import pytest

from clementinelead.platform import config_source
from clementinelead.platform import store
from clementinelead.processes import contact_keys
from clementinelead.processes import http_site
from clementinelead.processes import long_polls
from clementinelead.processes import route_watch
from clementinelead.processes import sockets

HOST = "127.0.0.1"
ZONES = frozenset(("north-a", "north-b"))
CONTACT = contact_keys.Contact("10.0.0.1", 5)


class StandIn:
    """Serves the store's calls from state that a test sets.

    Attributes:
        items: Items by key.
        leases: Durations of the leases, milliseconds, by lease number.
        response: Response to all calls; None to serve the state.
        calls: Method and path of each call.
        era: Store era that responses name, None for none.
    """

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.response = None
        self.calls = []
        self.era = None

    def respond(self, request):
        self.calls.append((request.method, request.path))
        if self.response is not None:
            return self.response
        content = json.loads(request.body) if request.body else {}
        handler = getattr(self, request.path.split("/")[1].replace("-", "_"))
        status, answer = handler(request, content)
        headers = ()
        if self.era is not None:
            headers = (("Store-Era", str(self.era)),)
        body = json.dumps(answer).encode()
        return http_site.Response(status, body, headers=headers)

    def put(self, key, value):
        encoded = base64.b64encode(value).decode()
        self.items[key] = {"key": key, "value": encoded, "revision": 7}

    def kv_key(self, request, _):
        item = self.items.get(request.query["key"])
        return (200, {**item, "current_rev": 9}) if item else (404, {})

    def kv_watch(self, request, _):
        items = [
            item
            for key, item in self.items.items()
            if key.startswith(request.query["prefix"])
        ]
        return 200, {"events": items, "current_rev": 12}

    def kv_range(self, request, _):
        items = [
            item
            for key, item in self.items.items()
            if key.startswith(request.query["prefix"])
        ]
        return 200, {"items": items, "has_more": False, "current_rev": 12}

    def kv_lease(self, _, content):
        lease = len(self.leases) + 1
        self.leases[lease] = content["ttl_ms"]
        return 200, {"lease": lease, "ttl_ms": content["ttl_ms"]}

    def kv_keep(self, request, _):
        lease_exists = int(request.path.rsplit("/", 1)[1]) in self.leases
        return (200, {"ttl_ms": 1}) if lease_exists else (404, {})

    def kv_txn(self, _, content):
        for entry in content["writes"]:
            self.items[entry["key"]] = {**entry, "revision": 8}
        return 200, {"revision": 8}


def _run(exchange):
    """Returns the result of a coroutine that gets a stand-in and a client."""

    async def run_with_server():
        stand_in = StandIn()
        site = http_site.HttpSite()
        for method in ("GET", "POST"):
            site.add_handler(
                method, "/", lambda request: stand_in.respond(request)
            )
        await site.start(sockets.PreboundSockets().claim_tcp((HOST, 0)))
        try:
            client = store.StoreClient((HOST, site.port))
            return await exchange(stand_in, client)
        finally:
            await site.stop()

    return asyncio.run(run_with_server())


def _source(client):
    schedule = long_polls.LongPollSchedule(3.0, random.Random(1))
    return config_source.ConfigSource(client, ZONES, schedule)


def _config(version):
    return json.dumps({"version": version, "routes": []}).encode()


def test_configuration_is_read_then_watched():
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.put("op/config", _config(3))
        first = await source.next()
        stand_in.put("op/config", _config(5))
        return first, await source.next(), stand_in.calls

    first, second, calls = _run(exchange)
    assert first.table.version == 3
    assert second.table.version == 5
    paths = [path for _, path in calls]
    assert sorted(paths[:2]) == ["/kv-key", "/kv-range"]
    assert paths[2:] == ["/kv-watch"]


def test_configuration_is_read_again_after_a_watch_is_gone():
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.put("op/config", _config(3))
        await source.next()
        stand_in.response = http_site.Response(410)
        await source.next()
        stand_in.response = None
        stand_in.put("op/config", _config(4))
        return await source.next()

    assert _run(exchange).table.version == 4


@pytest.mark.parametrize(
    "response",
    [
        http_site.Response(503),
        http_site.Response(429),
        http_site.Response(404),
        http_site.Response(200, b"<html>"),
        http_site.Response(200, b'{"value": 3, "current_rev": "x"}'),
    ],
)
def test_unusable_answers_to_a_read_are_failures(response):
    async def exchange(stand_in, client):
        stand_in.response = response
        return await _source(client).next()

    assert isinstance(_run(exchange), route_watch.Failed)


@pytest.mark.parametrize("value", [b"garbage", b'{"version": "x"}', b""])
def test_malformed_configuration_is_reported_as_unchanged(value):
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.put("op/config", value)
        return await source.next(), await source.next()

    read, watched = _run(exchange)
    assert read.table is None
    assert read.evacuated.is_known
    assert isinstance(watched, route_watch.Unchanged)


def test_evacuated_zones_are_read_then_watched():
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.put("op/config", _config(3))
        stand_in.put("op/evacuate/north-a", b"{}")
        first = await source.next()
        deleted = {"key": "op/evacuate/north-a", "revision": 13}
        events = [{**deleted, "deleted": True}]
        stand_in.kv_watch = lambda *_: (
            200,
            {"events": events, "current_rev": 15},
        )
        return first, await source.next()

    first, second = _run(exchange)
    assert first.evacuated.zones == {"north-a"}
    assert first.evacuated.revision == 12
    assert second.table is None
    assert second.evacuated.zones == frozenset()
    assert second.evacuated.revision == 13


def test_watch_continues_from_the_older_of_both_reads():
    # An evacuation between the reads must not be missed.
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.put("op/config", _config(3))
        await source.next()
        watched_after = []

        def watch(request, _):
            watched_after.append(int(request.query["after"]))
            return 200, {"events": [], "current_rev": 20}

        stand_in.kv_watch = watch
        await source.next()
        return watched_after

    assert _run(exchange) == [9]


def test_reads_of_different_eras_are_a_failure():
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.put("op/config", _config(3))
        eras = iter((1, 2))
        respond = stand_in.respond

        def respond_in_next_era(request):
            stand_in.era = next(eras, 2)
            return respond(request)

        stand_in.respond = respond_in_next_era
        return await source.next(), await source.next()

    first, second = _run(exchange)
    assert isinstance(first, route_watch.Failed)
    assert second.evacuated.era == 2


def test_other_key_with_the_same_prefix_is_ignored():
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.put("op/config", _config(3))
        await source.next()
        del stand_in.items["op/config"]
        stand_in.put("op/config-old", _config(9))
        return await source.next()

    assert isinstance(_run(exchange), route_watch.Unchanged)


def test_contact_key_is_created_renewed_and_created_again():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        for _ in range(2):
            assert await keys.hold("b1", CONTACT, 60.0) is None
        stand_in.leases.clear()
        assert await keys.hold("b1", CONTACT, 60.0) is None
        return await keys.find(), stand_in.calls

    contacts, calls = _run(exchange)
    assert contacts == (CONTACT,)
    assert [path for _, path in calls] == [
        "/kv-lease",
        "/kv-txn",
        "/kv-keep/1",
        "/kv-keep/1",
        "/kv-lease",
        "/kv-txn",
        "/kv-range",
    ]


def test_changed_contact_is_written_under_the_same_lease():
    changed = contact_keys.Contact(CONTACT.address, 6)

    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        assert await keys.hold("b1", CONTACT, 60.0) is None
        assert await keys.hold("b1", changed, 60.0) is None
        return await keys.find(), len(stand_in.leases)

    assert _run(exchange) == ((changed,), 1)


def test_contact_key_holds_endpoints_of_side_processes():
    named = (("10.0.0.3", 7001), ("10.0.0.4", 7001))
    contact = contact_keys.Contact("10.0.0.1", 2, named)

    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        assert await keys.hold("b1", contact, 60.0) is None
        return await keys.find()

    assert _run(exchange) == (contact,)


def test_malformed_contact_keys_are_left_out():
    async def exchange(stand_in, client):
        stand_in.put(store.CONTACT_PREFIX + "x", b"\xff\xfe")
        stand_in.put(store.CONTACT_PREFIX + "y", b"not an address")
        stand_in.put(store.CONTACT_PREFIX + "z", b"10.0.0.9 3")
        stand_in.put(store.CONTACT_PREFIX + "w", b"10.0.0.8 many")
        stand_in.put(store.CONTACT_PREFIX + "v", b"10.0.0.7")
        stand_in.put(store.CONTACT_PREFIX + "u", b"10.0.0.6 3 10.0.0.5")
        stand_in.put(store.CONTACT_PREFIX + "t", b"10.0.0.6 3 10.0.0.5:0")
        return await store.ContactStore(client).find()

    assert _run(exchange) == (contact_keys.Contact("10.0.0.9", 3),)


@pytest.mark.parametrize(
    "response", [http_site.Response(503), http_site.Response(200, b"<html>")]
)
def test_unusable_answers_to_contact_calls_are_failures(response):
    async def exchange(stand_in, client):
        stand_in.response = response
        keys = store.ContactStore(client)
        return await keys.find(), await keys.hold("b1", CONTACT, 60.0)

    for outcome in _run(exchange):
        assert isinstance(outcome, contact_keys.Failed)


def test_contact_keys_are_returned_in_the_order_of_their_revisions():
    async def exchange(stand_in, client):
        for name, revision in (("a", 9), ("b", 7), ("c", 8)):
            key = store.CONTACT_PREFIX + name
            stand_in.put(key, f"10.0.0.{revision} 3".encode())
            stand_in.items[key]["revision"] = revision
        return await store.ContactStore(client).find()

    addresses = [contact.address for contact in _run(exchange)]
    assert addresses == ["10.0.0.7", "10.0.0.8", "10.0.0.9"]


def test_change_hidden_by_reassigned_revisions_is_read():
    # The revisions of the restored copy exceed the last one before the next
    # watch, so the store does not answer 410 and has no event for the watch.
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.era = 1
        stand_in.put("op/config", _config(3))
        await source.next()
        stand_in.era = 2
        stand_in.put("op/config", _config(4))
        stand_in.kv_watch = lambda *_: (200, {"events": [], "current_rev": 40})
        await source.next()
        return await source.next()

    assert _run(exchange).table.version == 4


def test_era_change_in_another_call_causes_a_new_read():
    async def exchange(stand_in, client):
        source = _source(client)
        keys = store.ContactStore(client)
        stand_in.era = 1
        stand_in.put("op/config", _config(3))
        await source.next()
        stand_in.era = 2
        await keys.find()
        stand_in.put("op/config", _config(4))
        return await source.next(), stand_in.calls

    update, calls = _run(exchange)
    assert update.table.version == 4
    assert "/kv-watch" not in [path for _, path in calls]


def test_reassigned_lease_number_is_not_renewed():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        stand_in.era = 1
        await keys.hold("b1", CONTACT, 60.0)
        stand_in.items.clear()
        stand_in.leases = {1: 1000}  # another holder's, after the restore
        stand_in.era = 2
        await keys.hold("b1", CONTACT, 60.0)
        return await keys.find(), stand_in.leases, keys.lost

    contacts, leases, lost = _run(exchange)
    assert contacts == (CONTACT,)
    assert len(leases) == 2
    assert not lost


def test_era_change_in_any_call_marks_the_key_as_lost():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        stand_in.era = 1
        await keys.hold("b1", CONTACT, 60.0)
        before = keys.lost
        stand_in.era = 2
        stand_in.put("op/config", _config(3))
        await _source(client).next()
        return before, keys.lost

    assert _run(exchange) == (False, True)


def test_lease_from_before_an_era_change_is_discarded_after_the_write():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        stand_in.era = 1
        write = stand_in.kv_txn

        def restore_from_copy(request, content):
            stand_in.era = 2
            return write(request, content)

        stand_in.kv_txn = restore_from_copy
        first = await keys.hold("b1", CONTACT, 60.0)
        stand_in.kv_txn = write
        return first, await keys.hold("b1", CONTACT, 60.0), keys.lost

    first, second, lost = _run(exchange)
    assert isinstance(first, contact_keys.Failed)
    assert second is None
    assert not lost


def test_delayed_answer_of_an_older_era_is_rejected():
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.era = 2
        stand_in.put("op/config", _config(5))
        await source.next()
        stand_in.era = 1
        stand_in.put("op/config", _config(9))
        delayed = await source.next()
        return delayed, client.era_tracker.era

    delayed, era = _run(exchange)
    assert isinstance(delayed, route_watch.Failed)
    assert era == 2


@pytest.mark.parametrize("invalid_era", ["", "x", "-1", "3.0", "9" * 40])
def test_invalid_era_is_ignored(invalid_era):
    async def exchange(stand_in, client):
        source = _source(client)
        stand_in.era = 1
        stand_in.put("op/config", _config(3))
        await source.next()
        stand_in.era = invalid_era
        stand_in.put("op/config", _config(4))
        return await source.next(), client.era_tracker.era

    update, era = _run(exchange)
    assert update.table.version == 4
    assert era == 1


def test_store_that_names_no_era_has_era_0_and_loses_no_key():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        await keys.hold("b1", CONTACT, 60.0)
        return client.era_tracker.era, keys.lost

    assert _run(exchange) == (0, False)
