"""Program of an ``edge`` machine: the relaying balancer on this platform."""

import sys

from clementinelead.platform import packets
from clementinelead.platform import programs
from clementinelead.platform import settings
from clementinelead.platform import store
from clementinelead.processes import http_site
from clementinelead.processes import lifetime
from clementinelead.processes import relay_balancer

__all__ = ["build"]


def build(
    loaded: settings.NodeSettings,
) -> tuple[relay_balancer.RelayBalancer, list[lifetime.Site]]:
    """Returns the program and the sites that it serves.

    Args:
        loaded: Settings.
    """
    kept = store.Store(loaded.store)
    balancer = relay_balancer.RelayBalancer(
        loaded.relay,
        loaded.packets,
        packets.PlatformFormat(loaded.caller_port),
        store.ConfigSource(kept),
        store.ContactStore(kept),
    )
    sites = []
    if loaded.ready is not None:
        site = http_site.HttpSite()
        site.add("GET", "/readiness", balancer.respond_ready)
        sites.append((site, loaded.ready))
    return balancer, sites


if __name__ == "__main__":
    sys.exit(programs.run(build))
