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
    node_settings: settings.NodeSettings, bound: sockets.Sockets
) -> tuple[relay_side.RelaySide, list[lifetime.Site]]:
    """Returns the program and the sites that it serves.

    Args:
        node_settings: Settings.
        bound: Sockets that have been bound already.

    Raises:
        exceptions.SettingsError: The settings name no target.
    """
    if (
        node_settings.target_endpoint is None
        or node_settings.outbound_endpoint is None
    ):
        raise exceptions.SettingsError("app and outbound are needed")
    side = relay_side.RelaySide(
        node_settings.relay,
        node_settings.service,
        node_settings.target_endpoint,
        node_settings.outbound_endpoint,
        packets.PlatformFormat(node_settings.caller_port),
        store.ContactStore(store.StoreClient(node_settings.store_endpoint)),
        bound,
    )
    sites = []
    if node_settings.heartbeat_endpoint is not None:
        control = http_site.HttpSite()
        heartbeats.HeartbeatHandlers(side).register_routes(control)
        sites.append((control, node_settings.heartbeat_endpoint))
    return side, sites


def main(node_settings: settings.NodeSettings, bound: sockets.Sockets) -> int:
    """Runs the program; returns its exit code.

    Args:
        node_settings: Settings.
        bound: Sockets that have been bound already.
    """
    program, sites = build(node_settings, bound)
    return programs.run(node_settings, bound, program, sites)
