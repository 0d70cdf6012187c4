import asyncio
import base64
import json

import pytest

from clementinelead.platform import store
from clementinelead.processes import contact_keys
from clementinelead.processes import http_site
from clementinelead.processes import route_watch
from clementinelead.processes import sockets

HOST = "127.0.0.1"
CONTACT = contact_keys.Contact("10.0.0.1", 5)


class StandIn:
    """Answers the store's calls from what a test sets."""

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
        number = len(self.leases) + 1
        self.leases[number] = content["ttl_ms"]
        return 200, {"lease": number, "ttl_ms": content["ttl_ms"]}

    def kv_keep(self, request, _):
        known = int(request.path.rsplit("/", 1)[1]) in self.leases
        return (200, {"ttl_ms": 1}) if known else (404, {})

    def kv_txn(self, _, content):
        for entry in content["writes"]:
            self.items[entry["key"]] = {**entry, "revision": 8}
        return 200, {"revision": 8}


def _run(exchange):
    async def served():
        stand_in = StandIn()
        site = http_site.HttpSite()
        for method in ("GET", "POST"):
            site.add_handler(method, "/", stand_in.respond)
        await site.start(sockets.PreboundSockets().claim_tcp((HOST, 0)))
        try:
            client = store.Store((HOST, site.port))
            return await exchange(stand_in, client)
        finally:
            await site.stop()

    return asyncio.run(served())


def _config(version):
    return json.dumps({"version": version, "routes": []}).encode()


def test_configuration_is_read_then_watched():
    async def exchange(stand_in, client):
        source = store.ConfigSource(client)
        stand_in.put("op/config", _config(3))
        first = await source.next()
        stand_in.put("op/config", _config(5))
        return first, await source.next(), stand_in.calls

    first, second, calls = _run(exchange)
    assert first.table.version == 3
    assert second.table.version == 5
    assert [path for _, path in calls] == ["/kv-key", "/kv-watch"]


def test_lost_history_leads_to_a_new_read():
    async def exchange(stand_in, client):
        source = store.ConfigSource(client)
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
def test_answers_of_an_ill_store_are_failures(response):
    async def exchange(stand_in, client):
        stand_in.response = response
        return await store.ConfigSource(client).next()

    assert isinstance(_run(exchange), route_watch.Failed)


@pytest.mark.parametrize("value", [b"garbage", b'{"version": "x"}', b""])
def test_value_that_cannot_be_read_changes_nothing(value):
    async def exchange(stand_in, client):
        stand_in.put("op/config", value)
        return await store.ConfigSource(client).next()

    assert isinstance(_run(exchange), route_watch.Unchanged)


def test_key_of_somebody_else_is_no_configuration():
    async def exchange(stand_in, client):
        source = store.ConfigSource(client)
        stand_in.put("op/config", _config(3))
        await source.next()
        del stand_in.items["op/config"]
        stand_in.put("op/config-old", _config(9))
        return await source.next()

    assert isinstance(_run(exchange), route_watch.Unchanged)


def test_contact_key_is_taken_then_renewed_then_taken_anew():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        for _ in range(2):
            assert await keys.hold("b1", CONTACT, 60.0) is None
        stand_in.leases.clear()
        assert await keys.hold("b1", CONTACT, 60.0) is None
        return await keys.find(), stand_in.calls

    found, calls = _run(exchange)
    assert found == (CONTACT,)
    assert [path for _, path in calls] == [
        "/kv-lease",
        "/kv-txn",
        "/kv-keep/1",
        "/kv-keep/1",
        "/kv-lease",
        "/kv-txn",
        "/kv-range",
    ]


def test_contact_key_that_changes_is_written_under_its_lease():
    changed = contact_keys.Contact(CONTACT.address, 6)

    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        assert await keys.hold("b1", CONTACT, 60.0) is None
        assert await keys.hold("b1", changed, 60.0) is None
        return await keys.find(), len(stand_in.leases)

    assert _run(exchange) == ((changed,), 1)


def test_contact_key_names_side_processes():
    named = (("10.0.0.3", 7001), ("10.0.0.4", 7001))
    contact = contact_keys.Contact("10.0.0.1", 2, named)

    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        assert await keys.hold("b1", contact, 60.0) is None
        return await keys.find()

    assert _run(exchange) == (contact,)


def test_contact_keys_with_garbage_name_nobody():
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
def test_contact_keys_of_an_ill_store_are_failures(response):
    async def exchange(stand_in, client):
        stand_in.response = response
        keys = store.ContactStore(client)
        return await keys.find(), await keys.hold("b1", CONTACT, 60.0)

    for outcome in _run(exchange):
        assert isinstance(outcome, contact_keys.Failed)


def test_contact_keys_come_in_the_order_of_writing():
    async def exchange(stand_in, client):
        for name, revision in (("a", 9), ("b", 7), ("c", 8)):
            key = store.CONTACT_PREFIX + name
            stand_in.put(key, f"10.0.0.{revision} 3".encode())
            stand_in.items[key]["revision"] = revision
        return await store.ContactStore(client).find()

    found = [one.address for one in _run(exchange)]
    assert found == ["10.0.0.7", "10.0.0.8", "10.0.0.9"]


def test_change_behind_revisions_given_out_again_is_read():
    # The copy's revisions have passed the remembered one before the next
    # watch, so the store does not answer 410 and has no event to tell.
    async def exchange(stand_in, client):
        source = store.ConfigSource(client)
        stand_in.era = 1
        stand_in.put("op/config", _config(3))
        await source.next()
        stand_in.era = 2
        stand_in.put("op/config", _config(4))
        stand_in.kv_watch = lambda *_: (200, {"events": [], "current_rev": 40})
        await source.next()
        return await source.next()

    assert _run(exchange).table.version == 4


def test_era_learned_by_another_call_leads_to_a_new_read():
    async def exchange(stand_in, client):
        source = store.ConfigSource(client)
        keys = store.ContactStore(client)
        stand_in.era = 1
        stand_in.put("op/config", _config(3))
        await source.next()
        stand_in.era = 2
        await keys.find()
        stand_in.put("op/config", _config(4))
        return await source.next(), stand_in.calls

    found, calls = _run(exchange)
    assert found.table.version == 4
    assert "/kv-watch" not in [path for _, path in calls]


def test_lease_number_given_out_again_is_not_taken_for_the_own_one():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        stand_in.era = 1
        await keys.hold("b1", CONTACT, 60.0)
        stand_in.items.clear()
        stand_in.leases = {1: 1000}  # another holder's, after the return
        stand_in.era = 2
        await keys.hold("b1", CONTACT, 60.0)
        return await keys.find(), stand_in.leases, keys.lost

    found, leases, lost = _run(exchange)
    assert found == (CONTACT,)
    assert len(leases) == 2
    assert not lost


def test_lost_key_is_noticed_by_any_call():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        stand_in.era = 1
        await keys.hold("b1", CONTACT, 60.0)
        before = keys.lost
        stand_in.era = 2
        stand_in.put("op/config", _config(3))
        await store.ConfigSource(client).next()
        return before, keys.lost

    assert _run(exchange) == (False, True)


def test_lease_of_an_era_that_ended_before_the_write_is_not_kept():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        stand_in.era = 1
        write = stand_in.kv_txn

        def return_from_copy(request, content):
            stand_in.era = 2
            return write(request, content)

        stand_in.kv_txn = return_from_copy
        first = await keys.hold("b1", CONTACT, 60.0)
        stand_in.kv_txn = write
        return first, await keys.hold("b1", CONTACT, 60.0), keys.lost

    first, second, lost = _run(exchange)
    assert isinstance(first, contact_keys.Failed)
    assert second is None
    assert not lost


def test_late_answer_of_an_older_era_is_not_used():
    async def exchange(stand_in, client):
        source = store.ConfigSource(client)
        stand_in.era = 2
        stand_in.put("op/config", _config(5))
        await source.next()
        stand_in.era = 1
        stand_in.put("op/config", _config(9))
        late = await source.next()
        return late, client.eras.era

    late, era = _run(exchange)
    assert isinstance(late, route_watch.Failed)
    assert era == 2


@pytest.mark.parametrize("garbage", ["", "x", "-1", "3.0", "9" * 40])
def test_era_that_cannot_be_read_changes_nothing(garbage):
    async def exchange(stand_in, client):
        source = store.ConfigSource(client)
        stand_in.era = 1
        stand_in.put("op/config", _config(3))
        await source.next()
        stand_in.era = garbage
        stand_in.put("op/config", _config(4))
        return await source.next(), client.eras.era

    found, era = _run(exchange)
    assert found.table.version == 4
    assert era == 1


def test_store_without_eras_works_as_before():
    async def exchange(stand_in, client):
        keys = store.ContactStore(client)
        await keys.hold("b1", CONTACT, 60.0)
        return client.eras.era, keys.lost

    assert _run(exchange) == (0, False)
