"""Runs a program of this platform with its metrics page and reload handler."""

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
    """A balancer or side process of this platform.

    Attributes:
        node: Membership and routes of the process.
        metrics: Page that serves the metrics of the process.
    """

    node: relay_node.RelayNode
    metrics: metrics_page.MetricsPage

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until an event is set.

        Args:
            stopping: Set when the process is to stop.
        """


Sites = collections.abc.Sequence[lifetime.Site]


def run(
    node_settings: settings.NodeSettings,
    bound_sockets: sockets.PreboundSockets,
    program: Program,
    sites: Sites,
) -> int:
    """Runs a program and serves its metrics until it is stopped.

    A reload of the settings adds the seeds that they name.

    Args:
        node_settings: Settings of this process.
        bound_sockets: Sockets that were bound before the program was loaded.
        program: The program.
        sites: Other HTTP sites to serve, with their addresses.

    Returns:
        The exit code of the process.
    """
    metrics_site = http_site.HttpSite()
    metrics_site.add_handler("GET", "/metrics", program.metrics.respond)
    metrics_address = (
        node_settings.relay.address,
        node_settings.relay.metrics_port,
    )
    return lifetime.run(
        node_settings.relay.id,
        _run_with_warnings(program, node_settings.warnings),
        [*sites, (metrics_site, metrics_address)],
        bound_sockets,
        lambda: _reload(program.node),
    )


def _run_with_warnings(
    program: Program, warnings: tuple[str, ...]
) -> lifetime.Main:
    """Returns a function that logs warnings and runs a program.

    The log is not configured before.

    Args:
        program: The program.
        warnings: Settings that are ignored, with the reason.
    """

    async def run_program(stopping: asyncio.Event) -> None:
        for warning in warnings:
            loguru.logger.warning("setting ignored: {}", warning)
        await program.run(stopping)

    return run_program


def _reload(node: relay_node.RelayNode) -> None:
    """Adds the seeds of the settings file to those of a running process."""
    try:
        reloaded = settings.load()
    except exceptions.SettingsError as error:
        loguru.logger.error("settings not reloaded: {}", error)
        return
    node.add_seeds(reloaded.relay.seeds)
    loguru.logger.bind(seeds=reloaded.relay.seeds).info("settings reloaded")
