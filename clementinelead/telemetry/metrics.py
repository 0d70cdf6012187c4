"""Metrics by OpenTelemetry, read in the Prometheus text format."""

import collections
import collections.abc

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client

__all__ = ["CounterSet", "Metrics"]


class CounterSet:
    """Counts by cause, cheap enough for each packet.

    OpenTelemetry reads the counts when it is asked to, so counting costs one
    dictionary update.
    """

    def __init__(self) -> None:
        self.by_cause: collections.Counter[str] = collections.Counter()

    def add(self, cause: str, number: int = 1) -> None:
        """Adds to the count of a cause."""
        self.by_cause[cause] += number

    def observations(self) -> list[otel_metrics.Observation]:
        """Returns the counts as OpenTelemetry reads them."""
        return [
            otel_metrics.Observation(number, {"cause": cause})
            for cause, number in self.by_cause.items()
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

    def count(self, name: str, counters: CounterSet, description: str) -> None:
        """Publishes a set of counters.

        Args:
            name: Name of the metric.
            counters: The counters.
            description: What they count.
        """
        self._meter.create_observable_counter(
            name, [lambda _: counters.observations()], description=description
        )

    def gauge(
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

    @staticmethod
    def exposition() -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest()
