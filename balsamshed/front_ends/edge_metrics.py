"""Metrics of an edge balancer; imported by the first request for them."""

from functools import cache
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from balsamshed.front_ends.edge_context import EdgeProcess, read_clock
from balsamshed.placement.in_flight import is_suspected
from balsamshed.steering.overload import list_limited_services
from balsamshed.store.polling import get_view_age
from balsamshed.store.revisions import get_era, get_number

#: Upper bounds of the histogram buckets, from the duration of one packet to
#: that of a store call without a response.
DURATION_BUCKETS_SECONDS: Final = (
    0.00002,
    0.00005,
    0.0001,
    0.0005,
    0.002,
    0.005,
    0.02,
    0.1,
    0.3,
    1,
    3,
)
_TEXT_FORMAT: Final = ('text/plain',)


class EdgeMetrics:
    """Prometheus collectors of one process."""

    def __init__(self) -> None:
        """Create the collectors."""
        self.registry = Registry()
        self.events = Counter(
            'balsamshed_edge_events_total',
            'Events and packets by name.',
        )
        self.durations = Histogram(
            'balsamshed_edge_duration_seconds',
            'Durations by what was measured; a sample of the packets.',
            buckets=list(DURATION_BUCKETS_SECONDS),
        )
        self.gauges = Gauge(
            'balsamshed_edge_state',
            'State of the balancer by name.',
        )
        for collector in (self.events, self.durations, self.gauges):
            self.registry.register(collector)


@cache
def get_metrics() -> EdgeMetrics:
    """Return the collectors of this process."""
    return EdgeMetrics()


def render_metrics(process: EdgeProcess) -> bytes:
    """Return all metrics in the Prometheus text format."""
    metrics = get_metrics()
    for name, count in process.counts.items():
        metrics.events.set({'event': name}, count)
    overload = process.edge.steering.overload
    if overload is not None:
        for name, count in overload.counts.items():
            metrics.events.set({'event': name}, count)
    for name, seconds in process.durations.items():
        while seconds:
            metrics.durations.observe({'of': name}, seconds.popleft())
    _observe_latencies(metrics, process)
    for name, amount in _list_gauges(process).items():
        metrics.gauges.set({'name': name}, amount)
    content, _headers = render(metrics.registry, _TEXT_FORMAT)
    return bytes(content)


def _observe_latencies(metrics: EdgeMetrics, process: EdgeProcess) -> None:
    samples = process.edge.steering.latency_samples
    while samples:
        sample = samples.popleft()
        for name, seconds in (
            ('opening', sample.connect_seconds),
            ('answer', sample.response_seconds),
        ):
            if seconds is not None:
                metrics.durations.observe({'of': name}, seconds)


def _list_gauges(process: EdgeProcess) -> dict[str, float]:
    edge, now = process.edge, read_clock()
    steering = edge.steering
    endpoints = steering.directory.endpoints.values()
    overload = steering.overload
    return {
        'is_ready': int(edge.has_been_ready and edge.stop_requested_at is None),
        'routes_version': steering.routes.version,
        'routes': len(steering.routes.routes),
        'store_revision': get_number(edge.reads.revision),
        'store_era': get_era(edge.reads.revision),
        'view_age_seconds': get_view_age(edge.reads, now),
        'peers': sum(
            peer.report is not None for peer in edge.peer_table.peers.values()
        ),
        'endpoints_ready': sum(not known.is_draining for known in endpoints),
        'endpoints_draining': sum(known.is_draining for known in endpoints),
        'data_centres_evacuated': len(steering.evacuations.in_force),
        'endpoints_missing': len(steering.directory.missing_since),
        'endpoints_suspected': sum(
            is_suspected(steering.load_tracker, cookie, now)
            for cookie in steering.load_tracker.suspicions
        ),
        **_count_cold_starts(process),
        'services_limited': (
            0 if overload is None else len(list_limited_services(overload))
        ),
        'endpoints_slow': sum(
            factor > 1
            for factor in (
                steering.load_tracker.relative_durations or {}
            ).values()
        ),
        'services_busy': len(edge.busy_services),
        'requests_in_flight': len(steering.requests.pending),
        'log_lines_waiting': len(process.log_lines.lines),
    }


def _count_cold_starts(process: EdgeProcess) -> dict[str, float]:
    cold_starts = process.edge.steering.cold_starts
    if cold_starts is None:
        return {}
    return {
        'endpoints_warming_up': len(cold_starts.until),
        'openings_withheld': cold_starts.openings_withheld,
    }
