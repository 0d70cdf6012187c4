"""Odd values in the store: each is left out, and the watch goes on."""

import asyncio
import base64
import json

import pytest

from clementinelead import exceptions
from clementinelead.messages import compression
from clementinelead.platform import configs
from clementinelead.platform.tests import watching
from clementinelead.processes.tests import virtual_time
from clementinelead.relays import route_patches

APPLY_BOUND_S = 3.0
"""``config_apply_ms`` of the strictest deployment, seconds."""

STAY_S = 60.0
"""Time for which an odd value stays, seconds."""

NESTED = b"[" * 20_000 + b"]" * 20_000
ROUTE = {"name": "r", "host": "198.18.0.1", "prefix": "/80/", "service": "s"}


def _config(**fields):
    content = {"version": 9, "routes": [ROUTE], **fields}
    return json.dumps(content).encode()


ODD_CONFIGS = [
    b'{"version":9,"routes":[],"unknown":' + NESTED + b"}",
    b'{"version":9,"routes":[],"services":[' + NESTED + b"]}",
    b'{"version":9,"routes":' + NESTED + b"}",
    b"\xff\xfe",
    b'{"version":9,"routes":[],"limits":{"idle_timeout_ms":1e400}}',
    _config(version=2**80),
    _config(version=2**64 - 1),
    _config(version=-1),
    _config(routes=[{**ROUTE, "prefix": "/99999/"}]),
    _config(routes=[{**ROUTE, "prefix": "/" + "9" * 5000 + "/"}]),
    _config(routes=[{**ROUTE, "host": "198.18.0.256"}]),
    _config(routes=[{**ROUTE, "timeout_ms": 1e300}]),
    _config(routes=[{**ROUTE, "target_latency_ms": 2**80}]),
    _config(
        routes=[{**ROUTE, "backends": [{"service": "s", "weight": 2**80}]}]
    ),
    _config(limits={"idle_timeout_ms": 2**80}),
]


async def _watch_through(begin_odd, end_odd):
    """Leaves an odd value in the store for some time, then a sound change.

    The watch must not end, and the change must be in force in time.
    """
    node, store, watch = await watching.start(APPLY_BOUND_S)
    begin_odd(store)
    store.change()
    await asyncio.sleep(STAY_S)
    assert not watch.done(), watch.exception()
    end_odd(store)
    version = store.change()
    await asyncio.sleep(APPLY_BOUND_S)
    assert not watch.done(), watch.exception()
    assert node.routes.table.version == version
    calls = store.calls
    watch.cancel()
    return calls


# Guards against processes that end again and again, or stop following the
# configuration, because of one value that another writer has left.
@pytest.mark.parametrize("content", ODD_CONFIGS)
def test_odd_configuration_does_not_end_the_watch(content, monkeypatch):
    def begin_odd(store):
        store.content = content

    def end_odd(store):
        store.content = None

    calls = virtual_time.run(_watch_through(begin_odd, end_odd), monkeypatch)
    assert calls < STAY_S  # it is not read again and again


@pytest.mark.parametrize("value", [NESTED, b"\xff", b"2" * 5000])
def test_odd_evacuation_key_does_not_end_the_watch(value, monkeypatch):
    def begin_odd(store):
        item = {
            "key": "op/evacuate/z",
            "value": base64.b64encode(value).decode(),
            "revision": 2,
        }
        store.items = [item]

    def end_odd(store):
        store.items = []

    virtual_time.run(_watch_through(begin_odd, end_odd), monkeypatch)


@pytest.mark.parametrize(
    "body", [NESTED, b"\xff", b'{"events":[],"current_rev":' + b"9" * 30 + b"}"]
)
def test_odd_answers_do_not_end_the_watch(body, monkeypatch):
    def begin_odd(store):
        store.body = body

    def end_odd(store):
        store.body = None

    virtual_time.run(_watch_through(begin_odd, end_odd), monkeypatch)


@pytest.mark.parametrize("content", ODD_CONFIGS)
def test_odd_configuration_raises_value_error(content):
    with pytest.raises(ValueError):
        configs.decode(content)


@pytest.mark.parametrize(
    "content",
    [
        NESTED,
        b'{"since":0,"version":9,"changed":[],"removed":[],'
        b'"idle_timeout_s":1.0,"unknown":' + NESTED + b"}",
        b'{"since":0,"version":18446744073709551616,"changed":[],'
        b'"removed":[],"idle_timeout_s":1.0}',
        b'{"since":0,"version":9,"removed":[],"idle_timeout_s":1.0,"changed":'
        b'[{"name":"r","address":"YQ==","shares":[],"objective_ms":1e12}]}',
    ],
)
def test_odd_patch_of_a_peer_is_malformed(content):
    with pytest.raises(exceptions.MalformedMessageError):
        route_patches.decode(compression.compress(content))
