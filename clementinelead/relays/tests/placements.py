"""Sample placements for tests."""

from clementinelead.relays import pending_flows
from clementinelead.relays import routes

__all__ = ["placement"]


def placement(
    load_by_address, objective_ms=200, service="s", began_at=100.0, **fields
):
    """Returns a pending flow with the loads that targets have reported."""
    route = routes.Route(
        "r", b"a", (routes.Share(service, 1),), objective_ms=objective_ms
    )
    fields = {"tried": [], "busy": set(), **fields}
    return pending_flows.Placement(
        route=route,
        service=service,
        number=1,
        packet=b"",
        began_at=began_at,
        deadline=began_at + 1,
        queried=list(load_by_address),
        awaiting_reply=set(),
        load_by_address=load_by_address,
        **fields,
    )
