import asyncio
import socket

import pytest

from clementinelead.processes import target_presence

HOST = "127.0.0.1"


def _bound(listening):
    bound = socket.socket()
    bound.bind((HOST, 0))
    if listening:
        bound.listen()
    return bound


def test_address_where_nothing_listens_has_no_target():
    with _bound(listening=False) as bound:
        address = bound.getsockname()
        assert asyncio.run(target_presence.is_absent(address))


def test_target_that_listens_is_there_even_if_it_accepts_nothing():
    with _bound(listening=True) as bound:
        address = bound.getsockname()
        assert not asyncio.run(target_presence.is_absent(address))


def test_target_that_listens_at_the_second_attempt_is_there():
    async def exchange():
        with _bound(listening=False) as bound:
            address = bound.getsockname()
            loop = asyncio.get_running_loop()
            loop.call_later(
                target_presence.ATTEMPT_INTERVAL_S / 2, bound.listen
            )
            return await target_presence.is_absent(address)

    assert not asyncio.run(exchange())


async def _hang(*_):
    await asyncio.sleep(60.0)


async def _reset(*_):
    raise ConnectionResetError


@pytest.mark.parametrize("connect", [_hang, _reset])
def test_attempt_that_is_not_refused_tells_nothing(monkeypatch, connect):
    monkeypatch.setattr(asyncio, "open_connection", connect)
    monkeypatch.setattr(target_presence, "ATTEMPT_TIMEOUT_S", 0.05)
    assert not asyncio.run(target_presence.is_absent((HOST, 9)))
