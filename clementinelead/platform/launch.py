"""Start of a program: its sockets first, then everything else."""

import importlib
import sys
import typing

from clementinelead import exceptions
from clementinelead.platform import settings
from clementinelead.processes import sockets

__all__ = ["EXIT_CANNOT_BIND", "EXIT_SETTINGS_ERROR", "launch"]

EXIT_SETTINGS_ERROR = 2
EXIT_CANNOT_BIND = 3


class _Program(typing.Protocol):
    """What a module of a program has."""

    def main(
        self, node_settings: settings.NodeSettings, bound: sockets.Sockets
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
        node_settings = settings.load()
        bound = _bind(node_settings)
        program: _Program = importlib.import_module(module)
        return program.main(node_settings, bound)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS_ERROR
    except OSError as error:
        print(f"can't start: {error}", file=sys.stderr)
        return EXIT_CANNOT_BIND


def _bind(node_settings: settings.NodeSettings) -> sockets.Sockets:
    """Returns the sockets that a program of these settings uses."""
    bound = sockets.Sockets()
    relay = node_settings.relay
    for port in (relay.data_port, relay.control_port):
        bound.open_udp((relay.address, port))
    bound.open_tcp((relay.address, relay.http_port))
    if node_settings.outbound_endpoint is None:
        bound.open_udp(node_settings.fabric_endpoint)
        served = node_settings.readiness_endpoint
    else:
        bound.open_udp(node_settings.outbound_endpoint)
        served = node_settings.heartbeat_endpoint
    if served is not None:
        bound.open_tcp(served)
    return bound
