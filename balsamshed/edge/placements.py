"""Explanation of where a new flow would go now, without sending anything.

The decision functions of the packet path run on a copy of the state that they
change, so an explanation follows the same rules and leaves no trace.
"""

from copy import deepcopy
from dataclasses import dataclass, replace
from typing import Final

from balsamshed.edge.state import Edge
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.evacuations.state import is_evacuated
from balsamshed.placement.cold_starts import may_open
from balsamshed.placement.in_flight import is_suspected, score_endpoint
from balsamshed.routes.table import Route
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.hedged_openings import get_hedge_delay
from balsamshed.steering.packets import (
    DropPacket,
    FlowPacket,
    ForwardFlow,
    PacketKind,
    ResetFlow,
    SteeringEffect,
)
from balsamshed.steering.state import Steering
from balsamshed.store.polling import get_view_age
from balsamshed.store.revisions import format_revision

#: Key of no flow: a caller's port is never 0.
_NO_FLOW: Final = bytes(12)


@dataclass(frozen=True, slots=True)
class UnknownName:
    """Sentinel for a route or a data centre that does not exist.

    Parameters
    ----------
    kind : str
        ``route`` or ``data centre``.
    name : str
        The unknown name.
    known : tuple of str
        Names that exist, sorted.
    """

    kind: str
    name: str
    known: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CandidateExplanation:
    """An endpoint of a route, and what placement knows of it.

    Parameters
    ----------
    endpoint : str
        Instance ID in hexadecimal.
    service, data_centre : str
        Service that it serves, and where it runs.
    score : float
        Load that a new request would meet; placement prefers low ones.
    own_requests, peer_requests : int
        Requests in flight from this balancer and from its peers.
    slots : int
        Requests that it processes concurrently.
    suspecting_peers : int
        Peers that suspect it.
    excluded_by : str
        ``draining``, ``evacuated``, ``warming_up`` or ``suspected``; empty if
        none of these applies. The balance of data centres and a limit of
        admission may still leave it out.
    """

    endpoint: str
    service: str
    data_centre: str
    score: float
    own_requests: int
    peer_requests: int
    slots: int
    suspecting_peers: int
    excluded_by: str


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """What would happen to a new flow of a route.

    Parameters
    ----------
    route : str
        Name of the route.
    data_centre : str
        Data centre of the balancer that decides.
    decision : str
        ``forwarded``, ``postponed`` or ``refused``.
    reason : str
        Why it is postponed or refused; empty if it is forwarded.
    endpoint : str
        Instance ID of the chosen endpoint; of several equal ones, any.
    hedged_after_seconds : float or None
        Time after which the opening would go to a second endpoint as well.
    version : int
        Version of the routes in force.
    revision : str
        Store revision of the view.
    age_seconds : float or None
        Age of the view; None if it was never confirmed.
    candidates : tuple of CandidateExplanation
        Endpoints of the route's services: those that may be chosen first, by
        score.
    """

    route: str
    data_centre: str
    decision: str
    reason: str
    endpoint: str
    hedged_after_seconds: float | None
    version: int
    revision: str
    age_seconds: float | None
    candidates: tuple[CandidateExplanation, ...]


def explain_placement(
    edge: Edge, route_name: str, data_centre: str, now: float
) -> PlacementExplanation | UnknownName:
    """Explain where a new flow of a route would go.

    Parameters
    ----------
    edge : Edge
        State of the balancer; left as it is.
    route_name : str
        Name of the route.
    data_centre : str
        Data centre of the balancer that decides; empty for this one's. What
        that balancer has sent itself is not known here.
    now : float
        Seconds of the balancer's clock.

    Returns
    -------
    PlacementExplanation or UnknownName
        The explanation, or the name that does not exist.
    """
    listeners = {
        route.name: listener
        for listener, route in edge.steering.routes.routes.items()
    }
    if route_name not in listeners:
        return UnknownName('route', route_name, tuple(sorted(listeners)))
    known = _list_data_centres(edge)
    if data_centre and data_centre not in known:
        return UnknownName('data centre', data_centre, tuple(sorted(known)))
    steering = _copy_steering(edge.steering, data_centre or edge.data_centre)
    listener = listeners[route_name]
    packet = FlowPacket(PacketKind.OPENING, _NO_FLOW, listener, 0, 0, 0, 0, b'')
    route = steering.routes.routes[listener]
    # Before the decision, which counts the flow as one more request.
    candidates = _explain_candidates(steering, route, now)
    effect = steer_packet(steering, packet, now)
    is_forwarded = isinstance(effect, ForwardFlow)
    has_age = edge.reads.confirmed_at is not None
    return PlacementExplanation(
        route=route_name,
        data_centre=steering.load_tracker.data_centre,
        decision=_name_decision(effect),
        reason='' if isinstance(effect, ForwardFlow) else effect.reason,
        endpoint=(
            f'{effect.endpoint.instance:x}'
            if isinstance(effect, ForwardFlow)
            else ''
        ),
        hedged_after_seconds=(
            get_hedge_delay(steering, packet) if is_forwarded else None
        ),
        version=steering.routes.version,
        revision=format_revision(edge.reads.revision),
        age_seconds=get_view_age(edge.reads, now) if has_age else None,
        candidates=candidates,
    )


def _list_data_centres(edge: Edge) -> set[str]:
    known = {edge.data_centre}
    known.update(
        endpoint.data_centre
        for endpoint in edge.steering.directory.endpoints.values()
    )
    reports = (peer.report for peer in edge.peer_table.peers.values())
    known.update(report.data_centre for report in reports if report)
    return known


def _copy_steering(steering: Steering, data_centre: str) -> Steering:
    """Copy the state that a decision about an opening changes."""
    requests = replace(
        steering.requests,
        pending={},
        counts=dict(steering.requests.counts),
        listener_counts=dict(steering.requests.listener_counts),
        path_loss=deepcopy(steering.requests.path_loss),
    )
    load_tracker = replace(
        steering.load_tracker,
        data_centre=data_centre,
        own_in_flight=requests.counts,
        suspicions=deepcopy(steering.load_tracker.suspicions),
    )
    overload = steering.overload
    if overload is not None:
        overload = replace(
            overload,
            requests=requests,
            load_tracker=load_tracker,
            limits=deepcopy(overload.limits),
            counts=overload.counts.copy(),
        )
    own_data_centre = steering.load_tracker.data_centre
    is_own = data_centre == own_data_centre
    return replace(
        steering,
        requests=requests,
        load_tracker=load_tracker,
        overload=overload,
        service_loads=deepcopy(steering.service_loads),
        evacuations=deepcopy(steering.evacuations),
        cold_starts=deepcopy(steering.cold_starts),
        spreads=deepcopy(steering.spreads) if is_own else {},
        reporting_data_centres={
            **steering.reporting_data_centres,
            own_data_centre: 1,
        },
        hedging=deepcopy(steering.hedging),
    )


def _explain_candidates(
    steering: Steering, route: Route, now: float
) -> tuple[CandidateExplanation, ...]:
    services = {share.service for share in route.shares}
    explained = [
        _explain_candidate(steering, endpoint, now)
        for endpoint in steering.directory.endpoints.values()
        if endpoint.service in services
    ]
    return tuple(sorted(explained, key=_get_order))


def _explain_candidate(
    steering: Steering, endpoint: Endpoint, now: float
) -> CandidateExplanation:
    tracker, cookie = steering.load_tracker, endpoint.cookie
    return CandidateExplanation(
        endpoint=f'{endpoint.instance:x}',
        service=endpoint.service,
        data_centre=endpoint.data_centre,
        score=round(score_endpoint(tracker, endpoint, now), 3),
        own_requests=tracker.own_in_flight.get(cookie, 0),
        peer_requests=tracker.peer_in_flight.get(cookie, 0),
        slots=endpoint.slots,
        suspecting_peers=tracker.suspecting_peers.get(cookie, 0),
        excluded_by=_find_exclusion(steering, endpoint, now),
    )


def _find_exclusion(steering: Steering, endpoint: Endpoint, now: float) -> str:
    if endpoint.is_draining:
        return 'draining'
    if is_evacuated(steering.evacuations, endpoint):
        return 'evacuated'
    cold_starts = steering.cold_starts
    if cold_starts and not may_open(cold_starts, endpoint.cookie, now):
        return 'warming_up'
    if is_suspected(steering.load_tracker, endpoint.cookie, now):
        return 'suspected'
    return ''


def _get_order(candidate: CandidateExplanation) -> tuple[bool, float, str]:
    return (
        bool(candidate.excluded_by),
        candidate.score,
        candidate.endpoint,
    )


def _name_decision(effect: SteeringEffect) -> str:
    if isinstance(effect, ResetFlow):
        return 'refused'
    return 'postponed' if isinstance(effect, DropPacket) else 'forwarded'
