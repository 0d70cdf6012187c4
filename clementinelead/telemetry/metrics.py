"""OpenTelemetry metrics, exported in the Prometheus text format."""

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
    counter_set: counters.CounterSet,
) -> list[otel_metrics.Observation]:
    """Returns an OpenTelemetry observation for each cause of a set."""
    return [
        otel_metrics.Observation(number, {"cause": cause})
        for cause, number in counter_set.by_cause.items()
    ]


class Metrics:
    """Metrics of a process.

    Args:
        node: Identifier of the process.
        role: Kind of the process, part of the service name.
    """

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
        self, name: str, counter_set: counters.CounterSet, description: str
    ) -> None:
        """Publishes a set of counters with the label ``cause``.

        Args:
            name: Name of the metric.
            counter_set: The counters.
            description: What the counters count.
        """
        self._meter.create_observable_counter(
            name,
            [lambda _: _observations(counter_set)],
            description=description,
        )

    def add_gauge(
        self,
        name: str,
        value: collections.abc.Callable[[], float],
        description: str,
    ) -> None:
        """Publishes a value that is read when metrics are requested.

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
        self, name: str, histogram: counters.Histogram, description: str
    ) -> None:
        """Publishes a histogram as ``NAME_bucket`` and ``NAME_sum``.

        Args:
            name: Name of the metric.
            histogram: The histogram.
            description: What it measures, with its unit.
        """

        def bucket_observations(
            _: otel_metrics.CallbackOptions,
        ) -> list[otel_metrics.Observation]:
            bounds = [*(str(bound) for bound in histogram.bounds), "+Inf"]
            cumulative_counts = itertools.accumulate(histogram.counts)
            return [
                otel_metrics.Observation(number, {"le": bound})
                for bound, number in zip(bounds, cumulative_counts, strict=True)
            ]

        self._meter.create_observable_counter(
            f"{name}_bucket", [bucket_observations], description=description
        )
        self.add_gauge(f"{name}_sum", lambda: histogram.total, description)

    @staticmethod
    def exposition() -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()
