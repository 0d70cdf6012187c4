"""What the programs of this platform have in common."""

import asyncio
import collections.abc
import typing

import loguru

from clementinelead import exceptions
from clementinelead.platform import settings
from clementinelead.processes import http_site
from clementinelead.processes import lifetime
from clementinelead.processes import metrics_page
from clementinelead.processes import relay_node
from clementinelead.processes import sockets

__all__ = ["Program", "run"]


class Program(typing.Protocol):
    """A program of this platform.

    Attributes:
        node: Gossip and routes.
        metrics: Its metrics.
    """

    node: relay_node.RelayNode
    metrics: metrics_page.MetricsPage

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until asked to stop."""


Sites = collections.abc.Sequence[lifetime.Site]


def run(
    loaded: settings.NodeSettings,
    bound: sockets.PreboundSockets,
    program: Program,
    sites: Sites,
) -> int:
    """Runs a program; returns its exit code.

    Args:
        loaded: Settings.
        bound: Sockets that have been bound already.
        program: The program.
        sites: HTTP sites to serve, with their addresses.
    """
    metrics = http_site.HttpSite()
    metrics.add_handler("GET", "/metrics", program.metrics.respond)
    address = (loaded.relay.address, loaded.relay.metrics_port)
    return lifetime.run(
        loaded.relay.id,
        program.run,
        [*sites, (metrics, address)],
        bound,
        lambda: _reload(program.node),
    )


def _reload(node: relay_node.RelayNode) -> None:
    """Takes over what may change in the settings of a running process."""
    try:
        changed = settings.load()
    except exceptions.SettingsError as error:
        loguru.logger.error("settings not reloaded: {}", error)
        return
    node.add_seeds(changed.relay.seeds)
    loguru.logger.bind(seeds=changed.relay.seeds).info("settings reloaded")
