"""Metrics page that loads OpenTelemetry on the first request."""

import collections.abc
import typing

from clementinelead.processes import http_site
from clementinelead.telemetry import counters

if typing.TYPE_CHECKING:
    from clementinelead.telemetry import metrics

__all__ = ["MetricsPage"]


class MetricsPage:
    """Registers the metrics of a process and renders them on request.

    Loading the libraries takes longer than starting the rest of a side
    process, so they are loaded on the first request.
    """

    def __init__(self, node: str, role: str):
        self._node = node
        self._role = role
        self._counter_sets: list[tuple[str, counters.CounterSet, str]] = []
        self._gauges: list[
            tuple[str, collections.abc.Callable[[], float], str]
        ] = []
        self._histograms: list[tuple[str, counters.Histogram, str]] = []
        self._metrics: metrics.Metrics | None = None

    def count(
        self, name: str, counted: counters.CounterSet, description: str
    ) -> None:
        """Registers a set of counters.

        Args:
            name: Name of the metric.
            counted: Counters by cause.
            description: Help text of the metric.
        """
        self._counter_sets.append((name, counted, description))

    def gauge(
        self,
        name: str,
        value: collections.abc.Callable[[], float],
        description: str,
    ) -> None:
        """Registers a gauge.

        Args:
            name: Name of the metric.
            value: Returns the present value; called on each request.
            description: Help text of the metric.
        """
        self._gauges.append((name, value, description))

    def histogram(
        self, name: str, observed: counters.Histogram, description: str
    ) -> None:
        """Registers a histogram.

        Args:
            name: Name of the metric.
            observed: Buckets and their counts.
            description: Help text of the metric.
        """
        self._histograms.append((name, observed, description))

    def respond(self, _: http_site.Request) -> http_site.Response:
        """Returns the page in the Prometheus text format."""
        if self._metrics is None:
            self._metrics = self._publish()
        body = self._metrics.exposition()
        return http_site.Response(
            http_site.OK, body, "text/plain; version=0.0.4"
        )

    def _publish(self) -> "metrics.Metrics":
        """Loads OpenTelemetry and publishes the registered metrics."""
        from clementinelead.telemetry import metrics

        published = metrics.Metrics(self._node, self._role)
        for name, counted, description in self._counter_sets:
            published.count(name, counted, description)
        for name, value, description in self._gauges:
            published.gauge(name, value, description)
        for name, observed, description in self._histograms:
            published.histogram(name, observed, description)
        return published
