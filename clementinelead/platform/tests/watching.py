"""A node that watches the virtual store."""

import asyncio

from clementinelead.memberships import records
from clementinelead.platform import config_source
from clementinelead.platform.tests import virtual_store
from clementinelead.processes import long_polls
from clementinelead.processes import relay_node
from clementinelead.processes import route_watch
from clementinelead.processes import sockets
from clementinelead.processes.tests import samples


async def start(apply_bound_s):
    """Starts a node, and waits until the first configuration is in force.

    Args:
        apply_bound_s: Bound on the time until a change is in force, seconds.

    Returns:
        The node, the store and the task of the watch.
    """
    node = relay_node.RelayNode(
        samples.settings("b1"),
        records.Role.BALANCER,
        (),
        samples.Subscriber(),
        sockets.PreboundSockets(),
    )
    node.random.seed(1)
    store = virtual_store.Store()
    schedule = long_polls.LongPollSchedule(apply_bound_s, node.random)
    source = config_source.ConfigSource(store, frozenset(), schedule)
    watch = asyncio.create_task(route_watch.RouteWatch(node, source).run())
    while not node.routes.table.version:
        await asyncio.sleep(virtual_store.ANSWER_DELAY_S)
    return node, store, watch
