"""Relaying balancer on this platform, loaded by ``launch``."""

import random

from clementinelead.platform import config_source
from clementinelead.platform import packets
from clementinelead.platform import programs
from clementinelead.platform import settings
from clementinelead.platform import store
from clementinelead.processes import http_site
from clementinelead.processes import lifetime
from clementinelead.processes import long_polls
from clementinelead.processes import relay_balancer
from clementinelead.processes import sockets

__all__ = ["build", "main"]


def build(
    node_settings: settings.NodeSettings, bound_sockets: sockets.PreboundSockets
) -> tuple[relay_balancer.RelayBalancer, list[lifetime.Site]]:
    """Creates the balancer.

    Args:
        node_settings: Settings of this process.
        bound_sockets: Sockets that were bound before this module was loaded.

    Returns:
        The balancer, and the HTTP sites to serve with their addresses.
    """
    client = store.StoreClient(node_settings.store_endpoint)
    balancer = relay_balancer.RelayBalancer(
        node_settings.relay,
        node_settings.fabric_endpoint,
        packets.PlatformFormat(node_settings.caller_port),
        config_source.ConfigSource(
            client,
            node_settings.zones,
            long_polls.LongPollSchedule(
                node_settings.change_bound_s,
                random.Random(node_settings.relay.id),
            ),
        ),
        store.ContactStore(client),
        bound_sockets,
    )
    sites = []
    if node_settings.readiness_endpoint is not None:
        site = http_site.HttpSite()
        site.add_handler("GET", "/readiness", balancer.serve_readiness)
        sites.append((site, node_settings.readiness_endpoint))
    return balancer, sites


def main(
    node_settings: settings.NodeSettings, bound_sockets: sockets.PreboundSockets
) -> int:
    """Runs the balancer until it is stopped.

    Args:
        node_settings: Settings of this process.
        bound_sockets: Sockets that were bound before this module was loaded.

    Returns:
        The exit code of the process.
    """
    program, sites = build(node_settings, bound_sockets)
    return programs.run(node_settings, bound_sockets, program, sites)
