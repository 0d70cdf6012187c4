"""Side process on this platform, loaded by ``launch``."""

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
    node_settings: settings.NodeSettings, bound_sockets: sockets.PreboundSockets
) -> tuple[relay_side.RelaySide, list[lifetime.Site]]:
    """Creates the side process.

    Args:
        node_settings: Settings of this process.
        bound_sockets: Sockets that were bound before this module was loaded.

    Returns:
        The side process, and the HTTP sites to serve with their addresses.

    Raises:
        exceptions.SettingsError: The settings lack the address of the target
            or the address that the target sends its packets to.
    """
    if (
        node_settings.target_endpoint is None
        or node_settings.outbound_endpoint is None
    ):
        raise exceptions.SettingsError(
            "app and listen.outbound must be set for a side process"
        )
    side = relay_side.RelaySide(
        node_settings.relay,
        node_settings.service,
        node_settings.target_endpoint,
        node_settings.outbound_endpoint,
        packets.PlatformFormat(node_settings.caller_port),
        store.ContactStore(store.StoreClient(node_settings.store_endpoint)),
        bound_sockets,
    )
    sites = []
    if node_settings.heartbeat_endpoint is not None:
        heartbeat_site = http_site.HttpSite()
        place = heartbeats.TargetPlace(
            node_settings.target_endpoint, node_settings.relay.zone
        )
        handlers = heartbeats.HeartbeatHandlers(side, place)
        handlers.register_routes(heartbeat_site)
        sites.append((heartbeat_site, node_settings.heartbeat_endpoint))
    return side, sites


def main(
    node_settings: settings.NodeSettings, bound_sockets: sockets.PreboundSockets
) -> int:
    """Runs the side process until it is stopped.

    Args:
        node_settings: Settings of this process.
        bound_sockets: Sockets that were bound before this module was loaded.

    Returns:
        The exit code of the process.
    """
    program, sites = build(node_settings, bound_sockets)
    return programs.run(node_settings, bound_sockets, program, sites)
