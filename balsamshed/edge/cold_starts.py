"""Endpoints that warm up, as views of the store and evacuations show them."""

from collections.abc import Mapping

from balsamshed.edge.effects import LogEvent
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.placement.cold_starts import ColdStarts, start_warm_up
from balsamshed.routes.table import NO_POLICY, ServicePolicy
from balsamshed.steering.state import Steering


def limit_cold_starts(
    steering: Steering,
    former: Mapping[int, Endpoint] | None,
    now: float,
) -> list[LogEvent]:
    """Limit the openings of endpoints that a view shows to be cold.

    Parameters
    ----------
    steering : Steering
        Changed in place.
    former : mapping of int to Endpoint or None
        Endpoints of the view before, by instance ID; None if this is the
        first view, in which warm endpoints are not new.
    now : float
        Monotonic seconds.
    """
    cold_starts = steering.cold_starts
    if cold_starts is None:
        return []
    events: list[LogEvent] = []
    for instance, endpoint in steering.directory.endpoints.items():
        previous = None if former is None else former.get(instance)
        if previous is not None and _is_same_report(previous, endpoint):
            continue
        policy = _get_policy(steering, endpoint)
        seconds = endpoint.warm_up_seconds
        if former is not None and _is_new_start(previous, endpoint):
            seconds = max(seconds, policy.warm_up_seconds)
        events.extend(_start(cold_starts, endpoint, seconds, policy, now))
    return events


def limit_returned_endpoints(
    steering: Steering, data_centre: str, now: float
) -> list[LogEvent]:
    """Limit the openings of endpoints whose evacuation has ended.

    They may have become cold without load, and their entries need not show it
    yet.
    """
    cold_starts = steering.cold_starts
    if cold_starts is None:
        return []
    events: list[LogEvent] = []
    for endpoint in steering.directory.endpoints.values():
        if endpoint.data_centre == data_centre:
            policy = _get_policy(steering, endpoint)
            seconds = max(endpoint.warm_up_seconds, policy.warm_up_seconds)
            events.extend(_start(cold_starts, endpoint, seconds, policy, now))
    return events


def update_cold_start_bounds(steering: Steering) -> None:
    """Apply the policies of new routes to the endpoints that are cold."""
    cold_starts = steering.cold_starts
    if cold_starts is None:
        return
    for endpoint in steering.directory.endpoints.values():
        if endpoint.cookie in cold_starts.until:
            policy = _get_policy(steering, endpoint)
            # The end of the warm-up stays.
            start_warm_up(cold_starts, (endpoint,), 0, policy.warm_up_rate, 0)


def _get_policy(steering: Steering, endpoint: Endpoint) -> ServicePolicy:
    return steering.routes.policies.get(endpoint.service, NO_POLICY)


def _start(
    cold_starts: ColdStarts,
    endpoint: Endpoint,
    seconds: float,
    policy: ServicePolicy,
    now: float,
) -> list[LogEvent]:
    if seconds <= 0:
        return []
    started = start_warm_up(
        cold_starts, (endpoint,), seconds, policy.warm_up_rate, now
    )
    return [
        LogEvent(
            'endpoint_cold',
            {
                'endpoint': f'{cold.instance:x}',
                'cookie': f'{cold.cookie:08x}',
                'for_seconds': round(seconds, 3),
                'openings_per_second': cold_starts.bounds[cold.cookie],
            },
        )
        for cold in started
    ]


def _is_new_start(previous: Endpoint | None, endpoint: Endpoint) -> bool:
    return previous is None or previous.started_at_ms != endpoint.started_at_ms


def _is_same_report(previous: Endpoint, endpoint: Endpoint) -> bool:
    return previous is endpoint or (
        previous.sequence == endpoint.sequence
        and previous.started_at_ms == endpoint.started_at_ms
    )
