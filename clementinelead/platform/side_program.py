"""Program of a ``side`` machine: the relaying side process."""

from clementinelead import exceptions
from clementinelead.platform import heartbeats
from clementinelead.platform import packets
from clementinelead.platform import programs
from clementinelead.platform import settings
from clementinelead.platform import store
from clementinelead.processes import http_site
from clementinelead.processes import lifetime
from clementinelead.processes import relay_side
from clementinelead.processes import sockets

__all__ = ["build", "main"]


def build(
    loaded: settings.NodeSettings, bound: sockets.PreboundSockets
) -> tuple[relay_side.RelaySide, list[lifetime.Site]]:
    """Returns the program and the sites that it serves.

    Args:
        loaded: Settings.
        bound: Sockets that have been bound already.

    Raises:
        exceptions.SettingsError: The settings name no target.
    """
    if loaded.target is None or loaded.answers is None:
        raise exceptions.SettingsError("app and outbound are needed")
    side = relay_side.RelaySide(
        loaded.relay,
        loaded.service,
        loaded.target,
        loaded.answers,
        packets.PlatformFormat(loaded.caller_port),
        store.ContactStore(store.Store(loaded.store)),
        bound,
    )
    sites = []
    if loaded.control is not None:
        control = http_site.HttpSite()
        heartbeats.HeartbeatHandlers(side).add_to(control)
        sites.append((control, loaded.control))
    return side, sites


def main(loaded: settings.NodeSettings, bound: sockets.PreboundSockets) -> int:
    """Runs the program; returns its exit code.

    Args:
        loaded: Settings.
        bound: Sockets that have been bound already.
    """
    program, sites = build(loaded, bound)
    return programs.run(loaded, bound, program, sites)
