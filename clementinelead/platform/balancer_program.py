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
    loaded: settings.NodeSettings, bound: sockets.PreboundSockets
) -> tuple[relay_balancer.RelayBalancer, list[lifetime.Site]]:
    """Returns the program and the sites that it serves.

    Args:
        loaded: Settings.
        bound: Sockets that have been bound already.
    """
    kept = store.Store(loaded.store)
    balancer = relay_balancer.RelayBalancer(
        loaded.relay,
        loaded.packets,
        packets.PlatformFormat(loaded.caller_port),
        store.ConfigSource(kept),
        store.ContactStore(kept),
        bound,
    )
    sites = []
    if loaded.ready is not None:
        site = http_site.HttpSite()
        site.add_handler("GET", "/readiness", balancer.respond_ready)
        sites.append((site, loaded.ready))
    return balancer, sites


def main(loaded: settings.NodeSettings, bound: sockets.PreboundSockets) -> int:
    """Runs the program; returns its exit code.

    Args:
        loaded: Settings.
        bound: Sockets that have been bound already.
    """
    program, sites = build(loaded, bound)
    return programs.run(loaded, bound, program, sites)
