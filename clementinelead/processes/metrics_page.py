"""The metrics page; OpenTelemetry is loaded when it is first asked for."""

import collections.abc
import typing

from clementinelead.processes import http_site
from clementinelead.telemetry import counters

if typing.TYPE_CHECKING:
    from clementinelead.telemetry import metrics

__all__ = ["MetricsPage"]


class MetricsPage:
    """Collects what a process measures, and shows it on request.

    Loading the libraries takes longer than starting the rest of a side
    process, so that waits until somebody asks.
    """

    def __init__(self, node: str, role: str):
        self._node = node
        self._role = role
        self._sets: list[tuple[str, counters.CounterSet, str]] = []
        self._gauges: list[
            tuple[str, collections.abc.Callable[[], float], str]
        ] = []
        self._histograms: list[tuple[str, counters.Histogram, str]] = []
        self._metrics: metrics.Metrics | None = None

    def count(
        self, name: str, counted: counters.CounterSet, description: str
    ) -> None:
        """Publishes a set of counters."""
        self._sets.append((name, counted, description))

    def gauge(
        self,
        name: str,
        value: collections.abc.Callable[[], float],
        description: str,
    ) -> None:
        """Publishes a value that is read on demand."""
        self._gauges.append((name, value, description))

    def histogram(
        self, name: str, observed: counters.Histogram, description: str
    ) -> None:
        """Publishes a histogram."""
        self._histograms.append((name, observed, description))

    def respond(self, _: http_site.Request) -> http_site.Response:
        """Returns the page in the Prometheus text format."""
        if self._metrics is None:
            self._metrics = self._published()
        body = self._metrics.exposition()
        return http_site.Response(
            http_site.OK, body, "text/plain; version=0.0.4"
        )

    def _published(self) -> "metrics.Metrics":
        from clementinelead.telemetry import metrics

        published = metrics.Metrics(self._node, self._role)
        for name, counted, description in self._sets:
            published.add_counters(name, counted, description)
        for name, value, description in self._gauges:
            published.add_gauge(name, value, description)
        for name, observed, description in self._histograms:
            published.add_histogram(name, observed, description)
        return published
