"""Settings and contact keys for tests of processes without open sockets."""

from clementinelead.processes import contact_keys
from clementinelead.processes import relay_settings

__all__ = ["Subscriber", "UnavailableContactKeys", "settings"]


class Subscriber:
    """Ignores the events of a node."""

    def on_members(self, changes, now):
        pass

    def on_routes(self, table, now):
        pass

    def on_evacuations(self, zones, now):
        pass

    def on_tick(self, now):
        pass


class UnavailableContactKeys:
    """A store of contact keys whose every call fails."""

    async def hold(self, identifier, contact, lease_s):
        return contact_keys.Failed("none")

    async def find(self):
        return contact_keys.Failed("none")


def settings(identifier):
    """Returns settings of a process with a given identifier."""
    return relay_settings.RelaySettings(
        id=identifier,
        cluster="test",
        region="r",
        zone="z",
        address="127.0.0.1",
        data_port=1,
        control_port=2,
        http_port=3,
        metrics_port=0,
        seeds=(),
        stop_s=1.0,
        heartbeat_s=1.0,
    )
