"""Opening of flows: admission, placement, refusals and retries."""

from typing import Final

from balsamshed.configuration.quiet_periods import takes_new_work
from balsamshed.configuration.resources import BackendServer, ListenerKind
from balsamshed.configuration.routing import Route
from balsamshed.flows.copies import has_allowance, queue_copy
from balsamshed.flows.messages import FlowCopy
from balsamshed.flows.packets import Packet, build_flow_key
from balsamshed.flows.table import (
    Opening,
    add_flow,
    get_placement,
    is_late_copy,
)
from balsamshed.limits.limiter import (
    FlowOutcome,
    admit,
    record_admitted,
    release,
)
from balsamshed.limits.retries import (
    RetryBudget,
    record_success,
    take_retry,
)
from balsamshed.limits.verdicts import Refused
from balsamshed.members.ownership import get_hash_slot
from balsamshed.node.effects import (
    CountEvent,
    DropPacket,
    Effect,
    ForwardPacket,
    RefuseFlow,
    ReturnPacket,
)
from balsamshed.node.flow_release import discard_flow, get_limiter, release_flow
from balsamshed.node.state import Node
from balsamshed.placement.load_tracker import (
    record_accepted,
    record_opened,
    record_refused,
)
from balsamshed.placement.policy import NoBackendServer

#: Maximum number of further backend servers that a refused SYN is sent to.
MAX_RETRIES: Final = 2

Effects = tuple[Effect, ...]


def open_flow(
    node: Node,
    packet: Packet,
    route: Route,
    now: float,
) -> Effects:
    """Place a new flow, or refuse it before forwarding anything.

    Parameters
    ----------
    node : Node
        Changed in place; it owns the flow.
    packet : Packet
        The SYN.
    route : Route
        Route of the listener that it was sent to.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        The forwarded SYN, or the refusal of the flow.
    """
    if route.listener.work_class in node.overload.refused:
        return (RefuseFlow(packet), CountEvent('refused_overload'))
    limiter = get_limiter(node, route)
    admission = admit(limiter, now)
    if isinstance(admission, Refused):
        return (RefuseFlow(packet), CountEvent('refused_limit'))
    wall_time = now + node.wall_offset_seconds
    choice = node.policy(route, packet.flow_key, now, wall_time)
    if isinstance(choice, NoBackendServer):
        release(limiter, 0, FlowOutcome.CANCELLED, now)
        return (RefuseFlow(packet), CountEvent('refused_no_backend_server'))
    server = choice.candidates[0]
    opening = Opening(packet, (server.host,), now)
    return _place_flow(node, route, server, opening, choice.is_default)


def handle_repeated_syn(
    node: Node,
    packet: Packet,
    route: Route,
    now: float,
) -> Effects:
    """Forward a repeated SYN to the backend server of the first one.

    If that one has not answered for 1 s and is no longer a candidate, the SYN
    is retried on another one. After the flow has ended, a SYN with the same
    key opens a new flow, which is placed again: the previous backend server
    may no longer take new work. A late copy of its own SYN is dropped.

    Parameters
    ----------
    node : Node
        Changed in place; it holds the entry of the flow.
    packet : Packet
        The SYN.
    route : Route
        Route of the listener that it was sent to.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        The forwarded SYN, or the refusal of the flow.
    """
    flow_key = packet.flow_key
    if is_late_copy(node.flows, packet):
        return (DropPacket('late_copy_of_opening'),)
    if flow_key in node.flows.ended:
        discard_flow(node, flow_key, FlowOutcome.UNKNOWN, now)
        return open_flow(node, packet, route, now)
    opening = node.flows.openings.get(flow_key)
    if opening is not None and now - opening.started_at > 1:
        retried = _retry_unanswered(node, opening, route, now)
        if retried:
            return retried
    return (ForwardPacket(packet, node.flows.placements[flow_key].host),)


def record_handshake(
    node: Node,
    flow_key: bytes,
    route: Route,
    now: float,
) -> None:
    """Record that the handshake of a flow is complete.

    Parameters
    ----------
    node : Node
        Changed in place.
    flow_key : bytes
        Key of a flow whose opening is in the table.
    route : Route
        Route of the flow.
    now : float
        Monotonic seconds.
    """
    node.flows.openings.pop(flow_key)
    host = node.flows.placements[flow_key].host
    record_accepted(node.load_tracker, host, now)
    record_success(_get_retry_budget(node, route))


def handle_refusal(node: Node, packet: Packet, now: float) -> Effects:
    """Handle the RST of a backend server that refuses a SYN.

    The backend server has not processed anything, so the SYN may be sent to
    another one.

    Parameters
    ----------
    node : Node
        Changed in place; it owns the flow.
    packet : Packet
        The RST.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of Effect
        The SYN for another backend server, or the RST for the caller.
    """
    route = node.routing.endpoints.get((packet.source, packet.source_port))
    if route is None:
        return (DropPacket('no_route_for_refusal'),)
    flow_key = build_flow_key(
        packet.destination,
        route.service.address,
        packet.destination_port,
        packet.source_port,
    )
    placement = node.flows.placements.get(flow_key)
    if placement is None or placement.host != packet.source:
        # Late refusal of a SYN that was since sent to another backend
        # server.
        return (DropPacket('refusal_out_of_date'),)
    returned = ReturnPacket(packet, route.service.address)
    opening = node.flows.openings.get(flow_key)
    if opening is None:
        # The handshake may be complete. The entry is kept, since an open
        # connection ignores this RST; a caller that still waits for the
        # handshake treats it as a refusal.
        return (returned,)
    record_refused(node.load_tracker, packet.source, now)
    retried = _retry_opening(node, opening, route, now)
    if retried:
        return retried
    discard_flow(node, flow_key, FlowOutcome.SHED, now)
    return (returned, CountEvent('refused_by_backend_server'))


def _retry_opening(
    node: Node,
    opening: Opening,
    route: Route,
    now: float,
) -> Effects:
    is_late = now - opening.started_at > route.listener.deadline_seconds
    if is_late or len(opening.tried_hosts) > MAX_RETRIES:
        return ()
    server = _pick_untried_server(node, opening, route, now)
    if server is None or not take_retry(_get_retry_budget(node, route)):
        return ()
    flow_key = opening.packet.flow_key
    release_flow(node, flow_key, FlowOutcome.SHED, now)
    record_admitted(get_limiter(node, route))
    retry = Opening(
        opening.packet,
        (*opening.tried_hosts, server.host),
        opening.started_at,
    )
    effects = _place_flow(node, route, server, retry, is_default=False)
    return (*effects, CountEvent('opening_retried'))


def _retry_unanswered(
    node: Node,
    opening: Opening,
    route: Route,
    now: float,
) -> Effects:
    wall_time = now + node.wall_offset_seconds
    choice = node.policy(route, opening.packet.flow_key, now, wall_time)
    if isinstance(choice, NoBackendServer):
        return ()
    candidates = {server.host for server in choice.candidates}
    if opening.tried_hosts[-1] in candidates:
        return ()
    return _retry_opening(node, opening, route, now)


def _pick_untried_server(
    node: Node,
    opening: Opening,
    route: Route,
    now: float,
) -> BackendServer | None:
    wall_time = now + node.wall_offset_seconds
    choice = node.policy(route, opening.packet.flow_key, now, wall_time)
    if isinstance(choice, NoBackendServer):
        return None
    for server in choice.candidates:
        is_tried = server.host in opening.tried_hosts
        if not is_tried and takes_new_work(server, wall_time):
            return server
    return None


def _place_flow(
    node: Node,
    route: Route,
    server: BackendServer,
    opening: Opening,
    is_default: bool,
) -> Effects:
    flow_key = opening.packet.flow_key
    is_feed = route.listener.kind is ListenerKind.FEED
    # A request on its default endpoint can be derived from its key.
    needs_copy = is_feed or not is_default
    is_copied = needs_copy and (is_feed or has_allowance(node.copy_queue))
    placement = get_placement(
        server.host,
        is_feed=is_feed,
        is_copied=is_copied,
    )
    add_flow(node.flows, flow_key, placement, opening)
    record_opened(node.load_tracker, server.host, route.listener.kind)
    forwarded = ForwardPacket(opening.packet, server.host)
    if is_copied:
        backup = node.ownership.backups[get_hash_slot(flow_key)]
        queue_copy(node.copy_queue, backup, FlowCopy(flow_key, server.host))
    elif needs_copy:
        return (forwarded, CountEvent('flow_unprotected'))
    return (forwarded,)


def _get_retry_budget(node: Node, route: Route) -> RetryBudget:
    budget = node.retry_budgets.get(route.name)
    if budget is None:
        budget = RetryBudget()
        node.retry_budgets[route.name] = budget
    return budget
