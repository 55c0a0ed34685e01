"""End of flows: release of their limits, load and backup copies."""

from balsamshed.configuration.routing import Route
from balsamshed.flows.copies import queue_copy
from balsamshed.flows.messages import FlowCopy
from balsamshed.flows.table import remove_flow
from balsamshed.limits.limiter import (
    FlowOutcome,
    Limiter,
    create_limiter,
    record_admitted,
    release,
)
from balsamshed.members.ownership import get_hash_slot
from balsamshed.node.state import Node
from balsamshed.placement.load_tracker import record_closed, record_opened


def find_route(node: Node, flow_key: bytes) -> Route | None:
    """Return the route of a flow if it is still declared.

    Parameters
    ----------
    node : Node
        State that holds the routing table.
    flow_key : bytes
        Key of the flow.

    Returns
    -------
    Route or None
        Route of the listener that the flow was opened on.
    """
    address = int.from_bytes(flow_key[4:8])
    port = int.from_bytes(flow_key[10:12])
    return node.routing.listeners.get((address, port))


def get_limiter(node: Node, route: Route) -> Limiter:
    """Return the limiter of a route, which is created on first use."""
    limiter = node.limiters.get(route.name)
    if limiter is None:
        slots = sum(server.slots for server in route.backend_servers)
        limiter = create_limiter(
            route.listener.kind, slots / max(len(node.reachable), 1)
        )
        node.limiters[route.name] = limiter
    return limiter


def record_feed_takeover(node: Node, flow_key: bytes, now: float) -> None:
    """Count an open feed that this owner took over from another member.

    Requests are not counted: the backup keeps the entry of an ended request
    for a while, and an ended request that is counted would occupy the limit
    until its entry expires.

    Parameters
    ----------
    node : Node
        Changed in place; it owns the flow.
    flow_key : bytes
        Key of a flow in the table.
    now : float
        Monotonic seconds.
    """
    placement = node.flows.placements[flow_key]
    route = find_route(node, flow_key)
    if not placement.is_feed or route is None:
        return
    if flow_key not in node.flows.opened_at:
        node.flows.opened_at[flow_key] = now
        record_opened(node.load_tracker, placement.host, route.listener.kind)
        record_admitted(get_limiter(node, route))


def release_flow(
    node: Node,
    flow_key: bytes,
    outcome: FlowOutcome,
    now: float,
) -> None:
    """Release the place of a flow in limiter and load tracker once.

    Parameters
    ----------
    node : Node
        Changed in place.
    flow_key : bytes
        Key of a flow in the table.
    outcome : FlowOutcome
        How the flow ended.
    now : float
        Monotonic seconds.
    """
    opened_at = node.flows.opened_at.pop(flow_key, None)
    route = find_route(node, flow_key)
    if opened_at is None or route is None:
        return
    placement = node.flows.placements[flow_key]
    duration = now - opened_at
    record_closed(
        node.load_tracker,
        placement.host,
        route.listener.kind,
        now,
        duration if outcome is FlowOutcome.FINISHED else None,
    )
    release(get_limiter(node, route), duration, outcome, now)


def discard_flow(
    node: Node,
    flow_key: bytes,
    outcome: FlowOutcome,
    now: float,
) -> None:
    """Remove the entry of a flow here and at the backup.

    Parameters
    ----------
    node : Node
        Changed in place.
    flow_key : bytes
        Key of a flow in the table.
    outcome : FlowOutcome
        How the flow ended; unused if it was released before.
    now : float
        Monotonic seconds.
    """
    release_flow(node, flow_key, outcome, now)
    placement = remove_flow(node.flows, flow_key)
    if placement is None or not placement.is_copied:
        return
    slot = get_hash_slot(flow_key)
    if node.ownership.owners[slot] == node.name:
        backup = node.ownership.backups[slot]
        queue_copy(node.copy_queue, backup, FlowCopy(flow_key, 0))
