"""Start of a program, which binds its sockets before it loads the program.

Datagrams and connections that arrive during the load wait in the sockets.
"""

import gc
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
    """Module of a program."""

    def main(
        self,
        node_settings: settings.NodeSettings,
        bound_sockets: sockets.PreboundSockets,
    ) -> int:
        """Runs the program and returns its exit code."""


def launch(module: str) -> int:
    """Binds the sockets of a program, then loads and runs it.

    Args:
        module: Name of the module of the program.

    Returns:
        The exit code of the program; ``EXIT_SETTINGS_ERROR`` if the settings
        can't be used, ``EXIT_CANNOT_BIND`` if a socket can't be bound or the
        program ends with another error of the operating system.
    """
    try:
        node_settings = settings.load()
        bound_sockets = _bind(node_settings)
        program: _Program = importlib.import_module(module)
        gc.freeze()
        gc.enable()
        return program.main(node_settings, bound_sockets)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS_ERROR
    except OSError as error:
        print(f"can't start: {error}", file=sys.stderr)
        return EXIT_CANNOT_BIND


def _bind(node_settings: settings.NodeSettings) -> sockets.PreboundSockets:
    """Returns the bound sockets of a program, except the one for metrics.

    Only the settings of a side process have an outbound endpoint.

    Raises:
        OSError: A port is in use.
    """
    bound_sockets = sockets.PreboundSockets()
    relay = node_settings.relay
    for port in (relay.data_port, relay.control_port):
        bound_sockets.open_udp((relay.address, port))
    bound_sockets.open_tcp((relay.address, relay.http_port))
    if node_settings.outbound_endpoint is None:
        bound_sockets.open_udp(node_settings.fabric_endpoint)
        http_endpoint = node_settings.readiness_endpoint
    else:
        bound_sockets.open_udp(node_settings.outbound_endpoint)
        http_endpoint = node_settings.heartbeat_endpoint
    if http_endpoint is not None:
        bound_sockets.open_tcp(http_endpoint)
    return bound_sockets
