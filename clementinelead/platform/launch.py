"""Start of a program: its sockets first, then everything else."""

import importlib
import sys
import typing

from clementinelead import exceptions
from clementinelead.platform import settings
from clementinelead.processes import sockets

__all__ = ["EXIT_PORT_TAKEN", "EXIT_SETTINGS", "launch"]

EXIT_SETTINGS = 2
EXIT_PORT_TAKEN = 3


class _Program(typing.Protocol):
    """What a module of a program has."""

    def main(
        self, loaded: settings.NodeSettings, bound: sockets.PreboundSockets
    ) -> int:
        """Runs the program; returns its exit code."""


def launch(module: str) -> int:
    """Binds the sockets of a program, loads and runs it.

    Args:
        module: Name of the program's module.

    Returns:
        The exit code.
    """
    try:
        loaded = settings.load()
        bound = _bind(loaded)
        program: _Program = importlib.import_module(module)
        return program.main(loaded, bound)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    except OSError as error:
        print(f"can't start: {error}", file=sys.stderr)
        return EXIT_PORT_TAKEN


def _bind(loaded: settings.NodeSettings) -> sockets.PreboundSockets:
    """Returns the sockets that a program of these settings uses."""
    bound = sockets.PreboundSockets()
    relay = loaded.relay
    for port in (relay.data_port, relay.control_port):
        bound.open_udp((relay.address, port))
    bound.open_tcp((relay.address, relay.http_port))
    if loaded.answers is None:
        bound.open_udp(loaded.packets)
        served = loaded.ready
    else:
        bound.open_udp(loaded.answers)
        served = loaded.control
    if served is not None:
        bound.open_tcp(served)
    return bound
