"""Status page and metrics of a side process."""

from aiohttp import web

from clementinelead.flows import decisions
from clementinelead.processes import node as node_module
from clementinelead.processes import packet_path
from clementinelead.processes import target_life

__all__ = ["SideStatus"]


class SideStatus:
    """Publishes counters and state of a side process and its target."""

    def __init__(
        self,
        node: node_module.Node,
        decider: decisions.Decider,
        path: packet_path.PacketPath,
        life: target_life.TargetLife,
    ):
        """Adds ``/status`` and the metrics to a node.

        Args:
            node: Gossip, configuration and HTTP of the process.
            decider: Decisions about flows, with the load estimate.
            path: Packet path, for its counters.
            life: State of the target.
        """
        self._node = node
        self._decider = decider
        self._path = path
        self._life = life
        node.application.router.add_get("/status", self._on_status)
        self._add_metrics()

    def _add_metrics(self) -> None:
        metrics, path = self._node.metrics, self._path
        flows, load = self._decider.flows, self._decider.load
        metrics.count("packets_dropped", path.drops, "Packets dropped")
        metrics.gauge("flows_held", lambda: len(flows), "Flows held")
        metrics.gauge(
            "flows_working", lambda: load.active_flows, "Flows at work"
        )
        metrics.gauge(
            "locators", lambda: len(self._decider.locators), "Locators held"
        )
        metrics.gauge(
            "service_time_s", lambda: load.service_s, "Time of one request"
        )
        metrics.gauge(
            "packets_delivered", lambda: path.delivered, "Packets delivered"
        )
        metrics.gauge("flows_refused", lambda: path.refused, "Flows refused")

    async def _on_status(self, _: web.Request) -> web.Response:
        load, path = self._decider.load, self._path
        status = {
            "id": self._decider.identifier,
            "state": self._life.state,
            "revision": self._node.configuration.revision,
            "flows": len(self._decider.flows),
            "working": load.active_flows,
            "held": load.open_flows,
            "locators": len(self._decider.locators),
            "service_time_s": load.service_s,
            "delivered": path.delivered,
            "passed_on": path.forwarded,
            "refused": path.refused,
            "resets": path.resets,
            "dropped": dict(path.drops.by_cause),
            "control": dict(self._node.channel.counters.by_cause),
        }
        return web.json_response(status)
