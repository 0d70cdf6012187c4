"""Program of an ``edge`` machine: the relaying balancer on this platform."""

from clementinelead.platform import packets
from clementinelead.platform import programs
from clementinelead.platform import settings
from clementinelead.platform import store
from clementinelead.processes import http_site
from clementinelead.processes import lifetime
from clementinelead.processes import relay_balancer
from clementinelead.processes import sockets

__all__ = ["build", "main"]


def build(
    node_settings: settings.NodeSettings, bound: sockets.Sockets
) -> tuple[relay_balancer.RelayBalancer, list[lifetime.Site]]:
    """Returns the program and the sites that it serves.

    Args:
        node_settings: Settings.
        bound: Sockets that have been bound already.
    """
    kept = store.StoreClient(node_settings.store_endpoint)
    balancer = relay_balancer.RelayBalancer(
        node_settings.relay,
        node_settings.fabric_endpoint,
        packets.PlatformFormat(node_settings.caller_port),
        store.ConfigSource(kept),
        store.ContactStore(kept),
        bound,
    )
    sites = []
    if node_settings.readiness_endpoint is not None:
        site = http_site.HttpSite()
        site.add("GET", "/readiness", balancer.respond_ready)
        sites.append((site, node_settings.readiness_endpoint))
    return balancer, sites


def main(node_settings: settings.NodeSettings, bound: sockets.Sockets) -> int:
    """Runs the program; returns its exit code.

    Args:
        node_settings: Settings.
        bound: Sockets that have been bound already.
    """
    program, sites = build(node_settings, bound)
    return programs.run(node_settings, bound, program, sites)
