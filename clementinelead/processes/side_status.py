"""Status page and metrics of a side process."""

from aiohttp import web

from clementinelead.flows import decisions
from clementinelead.processes import node as node_module
from clementinelead.processes import packet_path
from clementinelead.processes import target_life

__all__ = ["SideStatus"]


class SideStatus:
    """Tells how a side process and its target fare."""

    def __init__(
        self,
        node: node_module.Node,
        decider: decisions.Decider,
        path: packet_path.PacketPath,
        life: target_life.TargetLife,
    ):
        """Adds the page and the metrics to the node's HTTP application."""
        self._node = node
        self._decider = decider
        self._path = path
        self._life = life
        node.application.router.add_get("/status", self._on_status)
        self._add_metrics()

    def _add_metrics(self) -> None:
        published, path = self._node.metrics, self._path
        flows, load = self._decider.flows, self._decider.load
        published.count("packets_dropped", path.drops, "Packets dropped")
        published.gauge("flows_held", lambda: len(flows), "Flows held")
        published.gauge(
            "flows_working", lambda: load.active_flows, "Flows at work"
        )
        published.gauge(
            "locators", lambda: len(self._decider.locators), "Locators held"
        )
        published.gauge(
            "service_time_s", lambda: load.service_s, "Time of one request"
        )
        published.gauge(
            "packets_delivered", lambda: path.delivered, "Packets delivered"
        )
        published.gauge("flows_refused", lambda: path.refused, "Flows refused")

    async def _on_status(self, _: web.Request) -> web.Response:
        load, path = self._decider.load, self._path
        content = {
            "id": self._decider.identifier,
            "state": self._life.state,
            "revision": self._node.adopted.revision,
            "flows": len(self._decider.flows),
            "working": load.active_flows,
            "held": load.open_flows,
            "locators": len(self._decider.locators),
            "service_time_s": load.service_s,
            "delivered": path.delivered,
            "passed_on": path.passed_on,
            "refused": path.refused,
            "resets": path.resets,
            "dropped": dict(path.drops.by_cause),
            "control": dict(self._node.channel.counters.by_cause),
        }
        return web.json_response(content)
