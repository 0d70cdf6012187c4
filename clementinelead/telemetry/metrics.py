"""Metrics by OpenTelemetry, read in the Prometheus text format."""

import collections.abc
import itertools

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

from clementinelead.telemetry import counters

__all__ = ["Metrics"]


def _observations(
    counted: counters.CounterSet,
) -> list[otel_metrics.Observation]:
    """Returns the counts of a set as OpenTelemetry reads them."""
    return [
        otel_metrics.Observation(number, {"cause": cause})
        for cause, number in counted.by_cause.items()
    ]


class Metrics:
    """The metrics of one process."""

    def __init__(self, node: str, role: str):
        reader = prometheus.PrometheusMetricReader()
        resource = resources.Resource.create(
            {
                "service.name": f"clementinelead-{role}",
                "service.instance.id": node,
            }
        )
        provider = sdk_metrics.MeterProvider(
            metric_readers=[reader], resource=resource
        )
        self._meter = provider.get_meter("clementinelead")

    def add_counters(
        self, name: str, counted: counters.CounterSet, description: str
    ) -> None:
        """Publishes a set of counters.

        Args:
            name: Name of the metric.
            counted: The counters.
            description: What they count.
        """
        self._meter.create_observable_counter(
            name, [lambda _: _observations(counted)], description=description
        )

    def add_gauge(
        self,
        name: str,
        value: collections.abc.Callable[[], float],
        description: str,
    ) -> None:
        """Publishes a value that is read on demand.

        Args:
            name: Name of the metric.
            value: Returns the present value.
            description: What it measures, with its unit.
        """
        self._meter.create_observable_gauge(
            name,
            [lambda _: [otel_metrics.Observation(value())]],
            description=description,
        )

    def add_histogram(
        self, name: str, observed: counters.Histogram, description: str
    ) -> None:
        """Publishes a histogram as counts by upper bound, and its sum.

        Args:
            name: Name of the metric.
            observed: The histogram.
            description: What it measures, with its unit.
        """

        def buckets(
            _: otel_metrics.CallbackOptions,
        ) -> list[otel_metrics.Observation]:
            bounds = [*(str(bound) for bound in observed.bounds), "+Inf"]
            running = itertools.accumulate(observed.counts)
            return [
                otel_metrics.Observation(number, {"le": bound})
                for bound, number in zip(bounds, running, strict=True)
            ]

        self._meter.create_observable_counter(
            f"{name}_bucket", [buckets], description=description
        )
        self.add_gauge(f"{name}_sum", lambda: observed.total, description)

    @staticmethod
    def exposition() -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()
