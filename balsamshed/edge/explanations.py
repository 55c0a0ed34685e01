"""Log fields that explain decisions about packets."""

from collections.abc import Mapping

from balsamshed.edge.state import Edge
from balsamshed.placement.in_flight import (
    EndpointLoadTracker,
    is_suspected,
    score_endpoint,
)
from balsamshed.steering.packets import (
    DropPacket,
    ExpectedLoad,
    FlowPacket,
    ForwardFlow,
    LimitedLoad,
    ResetFlow,
)
from balsamshed.store.polling import get_view_age
from balsamshed.store.revisions import format_revision


def explain_opening(
    edge: Edge,
    packet: FlowPacket,
    flow: str,
    effect: ForwardFlow,
    now: float,
) -> Mapping[str, object]:
    """Return the log fields for an opening packet that was forwarded."""
    tracker = edge.steering.load_tracker
    endpoint = effect.endpoint
    return {
        'flow': flow,
        'attempt': packet.attempt,
        'endpoint': f'{endpoint.instance:x}',
        'cookie': f'{effect.cookie:08x}',
        'endpoint_data_centre': endpoint.data_centre,
        'own_requests': tracker.own_in_flight.get(effect.cookie, 0),
        'peer_requests': tracker.peer_in_flight.get(effect.cookie, 0),
        'score': round(score_endpoint(tracker, endpoint, now), 2),
        'is_suspected': is_suspected(tracker, effect.cookie, now),
        **_describe_speed(tracker, effect.cookie),
        **_describe_view(edge, now),
    }


def explain_refusal(
    edge: Edge,
    packet: FlowPacket,
    flow: str,
    effect: ResetFlow | DropPacket,
    now: float,
) -> Mapping[str, object]:
    """Return the log fields for a packet that was reset or dropped."""
    return {
        'flow': flow,
        'reason': effect.reason,
        'kind': packet.kind.name.lower(),
        'attempt': packet.attempt,
        'cookie': f'{packet.cookie:08x}',
        **_describe_load(effect.load),
        **_describe_view(edge, now),
    }


def _describe_load(
    load: ExpectedLoad | LimitedLoad | None,
) -> Mapping[str, object]:
    if load is None:
        return {}
    if isinstance(load, ExpectedLoad):
        return {
            'requests_per_slot': round(load.requests_per_slot, 2),
            'expected_seconds': round(load.expected_seconds, 3),
            'goal_seconds': load.latency_goal_seconds,
        }
    return {
        'service': load.service,
        'priority': load.priority,
        'in_flight': round(load.in_flight, 2),
        'limit': round(load.limit, 2),
        'mean_seconds': round(load.mean_seconds, 3),
    }


def _describe_speed(
    tracker: EndpointLoadTracker, cookie: int
) -> Mapping[str, object]:
    if tracker.relative_durations is None:
        return {}
    return {'relative_duration': tracker.relative_durations.get(cookie, 1)}


def _describe_view(edge: Edge, now: float) -> Mapping[str, object]:
    return {
        'version': edge.steering.routes.version,
        'revision': format_revision(edge.reads.revision),
        'age_seconds': round(get_view_age(edge.reads, now), 3),
    }
