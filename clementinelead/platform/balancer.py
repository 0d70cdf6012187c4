"""Program of an ``edge`` machine: the relaying balancer on this platform."""

import sys

import loguru

from clementinelead import exceptions
from clementinelead.platform import packets
from clementinelead.platform import settings
from clementinelead.platform import store
from clementinelead.processes import http_site
from clementinelead.processes import lifetime
from clementinelead.processes import relay_balancer

__all__ = ["main"]

EXIT_SETTINGS = 2


def main() -> int:
    """Runs the program; returns its exit code."""
    try:
        loaded = settings.load()
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
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
    metrics = http_site.HttpSite()
    metrics.add("GET", "/metrics", balancer.metrics.respond)
    sites.append((metrics, (loaded.relay.address, loaded.relay.metrics_port)))
    return lifetime.run(
        loaded.relay.id,
        balancer.run,
        sites,
        lambda: reload(balancer),
    )


def reload(balancer: relay_balancer.RelayBalancer) -> None:
    """Takes over what may change in the settings of a running process."""
    try:
        changed = settings.load()
    except exceptions.SettingsError as error:
        loguru.logger.error("settings not reloaded: {}", error)
        return
    balancer.node.add_seeds(changed.relay.seeds)
    loguru.logger.bind(seeds=changed.relay.seeds).info("settings reloaded")


if __name__ == "__main__":
    sys.exit(main())
