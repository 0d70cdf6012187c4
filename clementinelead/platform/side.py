"""Program of a ``side`` machine: the relaying side process."""

import sys

import loguru

from clementinelead import exceptions
from clementinelead.platform import heartbeats
from clementinelead.platform import packets
from clementinelead.platform import settings
from clementinelead.platform import store
from clementinelead.processes import http_site
from clementinelead.processes import lifetime
from clementinelead.processes import relay_side

__all__ = ["main"]

EXIT_SETTINGS = 2


def main() -> int:
    """Runs the program; returns its exit code."""
    try:
        loaded = settings.load()
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if loaded.target is None or loaded.answers is None:
        print(
            "settings: a side process needs app and outbound", file=sys.stderr
        )
        return EXIT_SETTINGS
    side = relay_side.RelaySide(
        loaded.relay,
        loaded.service,
        loaded.target,
        loaded.answers,
        packets.PlatformFormat(loaded.caller_port),
        store.ContactStore(store.Store(loaded.store)),
    )
    sites = []
    if loaded.control is not None:
        control = http_site.HttpSite()
        heartbeats.HeartbeatHandlers(side).add_to(control)
        sites.append((control, loaded.control))
    metrics = http_site.HttpSite()
    metrics.add("GET", "/metrics", side.metrics.respond)
    sites.append((metrics, (loaded.relay.address, loaded.relay.metrics_port)))
    return lifetime.run(loaded.relay.id, side.run, sites, lambda: reload(side))


def reload(side: relay_side.RelaySide) -> None:
    """Takes over what may change in the settings of a running process."""
    try:
        changed = settings.load()
    except exceptions.SettingsError as error:
        loguru.logger.error("settings not reloaded: {}", error)
        return
    side.node.add_seeds(changed.relay.seeds)
    loguru.logger.bind(seeds=changed.relay.seeds).info("settings reloaded")


if __name__ == "__main__":
    sys.exit(main())
