import asyncio
import socket

import pytest

from clementinelead.processes import target_presence

HOST = "127.0.0.1"


def _bound_socket(listening):
    bound = socket.socket()
    bound.bind((HOST, 0))
    if listening:
        bound.listen()
    return bound


def test_target_is_absent_if_its_port_refuses_connections():
    with _bound_socket(listening=False) as bound:
        address = bound.getsockname()
        assert asyncio.run(target_presence.is_absent(address))


def test_target_that_listens_without_accepting_is_present():
    with _bound_socket(listening=True) as bound:
        address = bound.getsockname()
        assert not asyncio.run(target_presence.is_absent(address))


def test_target_that_listens_before_the_second_attempt_is_present():
    async def check():
        with _bound_socket(listening=False) as bound:
            address = bound.getsockname()
            loop = asyncio.get_running_loop()
            loop.call_later(
                target_presence.ATTEMPT_INTERVAL_S / 2, bound.listen
            )
            return await target_presence.is_absent(address)

    assert not asyncio.run(check())


async def _hang(*_):
    await asyncio.sleep(60.0)


async def _reset(*_):
    raise ConnectionResetError


@pytest.mark.parametrize("connect", [_hang, _reset])
def test_timeout_and_reset_do_not_make_the_target_absent(monkeypatch, connect):
    monkeypatch.setattr(asyncio, "open_connection", connect)
    monkeypatch.setattr(target_presence, "ATTEMPT_TIMEOUT_S", 0.05)
    assert not asyncio.run(target_presence.is_absent((HOST, 9)))
