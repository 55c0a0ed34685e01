"""Exchange of the speeds of endpoints with the peers of an edge balancer."""

from typing import Final

from balsamshed.edge.effects import EdgeEffect, LogEvent, SendSupplement
from balsamshed.edge.state import Edge
from balsamshed.peers.supplement import (
    MAX_SPEEDS,
    Supplement,
    is_supplement_due,
    pick_supplement_target,
)
from balsamshed.placement.speeds import (
    EndpointSpeeds,
    join_reports,
    pick_reports,
    refresh_durations,
)

#: Interval at which placement gets new factors.
REFRESH_SECONDS: Final = 0.5


def handle_supplement(edge: Edge, supplement: Supplement, now: float) -> None:
    """Join what a peer observed; ignored if speeds are not balanced."""
    if edge.steering.speeds is not None:
        join_reports(edge.steering.speeds, supplement.speeds, now)


def queue_first_supplement(edge: Edge, host: str) -> None:
    """Queue a peer that was just found for the next supplement."""
    if edge.steering.speeds is not None:
        edge.supplements.new_peers.append(host)


def share_speeds(edge: Edge, now: float) -> list[EdgeEffect]:
    """Refresh the speeds of endpoints, and send a supplement if one is due."""
    speeds = edge.steering.speeds
    if speeds is None:
        return []
    effects: list[EdgeEffect] = []
    if now - edge.speeds_refreshed_at >= REFRESH_SECONDS:
        edge.speeds_refreshed_at = now
        effects.extend(_refresh_speeds(edge, speeds, now))
    if not is_supplement_due(edge.supplements, now):
        return effects
    reports = pick_reports(speeds, MAX_SPEEDS, now)
    if not reports:
        return effects
    supplement = Supplement(reports)
    host = pick_supplement_target(
        edge.supplements, edge.peer_table, supplement, now
    )
    if host is not None:
        effects.append(SendSupplement(supplement, host))
    return effects


def _refresh_speeds(
    edge: Edge, speeds: EndpointSpeeds, now: float
) -> list[EdgeEffect]:
    services: dict[str, list[int]] = {}
    for endpoint in edge.steering.directory.endpoints.values():
        services.setdefault(endpoint.service, []).append(endpoint.cookie)
    changes = refresh_durations(speeds, services, now)
    effects: list[EdgeEffect] = [
        LogEvent(
            'endpoint_slow',
            {
                'cookie': f'{cookie:08x}',
                'relative_duration': round(
                    speeds.relative_durations[cookie], 2
                ),
                'own_samples': round(speeds.estimates[cookie].own.samples, 1),
                'samples': round(speeds.estimates[cookie].joined.samples, 1),
            },
        )
        for cookie in changes.slow
    ]
    effects.extend(
        LogEvent('endpoint_no_longer_slow', {'cookie': f'{cookie:08x}'})
        for cookie in changes.no_longer_slow
    )
    return effects
