"""Load estimates and placement scores of backend servers.

The score of a host is the load that the next flow would meet there, divided
by the host's slots, so that the scores of a service's hosts are comparable.
"""

from math import exp2
from typing import Final

from balsamshed.placement.hosts import HostLoad, get_penalty
from balsamshed.placement.load_tracker import (
    HostLoadTracker,
    get_fastest_duration,
)

#: Weight of a new report relative to this balancer's own open requests. A
#: weight of 1 raised the 99th percentile of the latency by 4% to 18%: all
#: balancers act on the same report, while their own counts differ.
FRESH_REPORT_WEIGHT: Final = 0.5

#: Half-life of the weight of a report, and the age from which it is ignored.
REPORT_HALF_LIFE_SECONDS: Final = 1.0
REPORT_LIFETIME_SECONDS: Final = 10.0

#: Slow start: time in which a host's share rises from the minimum to 1.
SLOW_START_SECONDS: Final = 10.0
SLOW_START_MIN_SHARE: Final = 0.1

#: Slowness decays while a host gets no requests. With a half-life of 5 s and a
#: maximum of 10, an endpoint that was 10 times slower got work again so soon
#: that the 99th percentile was its service time.
SLOWNESS_HALF_LIFE_SECONDS: Final = 30.0
MAX_SLOWNESS: Final = 30.0


def get_slow_start_share(host_load: HostLoad, now: float) -> float:
    """Return the share of its regular work that a host gets in slow start.

    Parameters
    ----------
    host_load : HostLoad
        The host.
    now : float
        Monotonic seconds.

    Returns
    -------
    float
        Rises from 0.1 to 1 within 10 s after the host was added or readmitted.
    """
    elapsed = now - host_load.slow_start_at
    if elapsed >= SLOW_START_SECONDS:
        return 1
    return max(SLOW_START_MIN_SHARE, elapsed / SLOW_START_SECONDS)


def estimate_requests(
    tracker: HostLoadTracker,
    host_load: HostLoad,
    now: float,
) -> float:
    """Estimate the number of running and queued requests of a host.

    Parameters
    ----------
    tracker : HostLoadTracker
        The tracker that the host belongs to.
    host_load : HostLoad
        The host.
    now : float
        Monotonic seconds.

    Returns
    -------
    float
        Weighted mean of the last report and this balancer's open requests
        times the number of balancers.
    """
    open_requests = host_load.open_requests
    scaled = open_requests * tracker.member_count
    age = now - host_load.reported_at
    if age >= REPORT_LIFETIME_SECONDS or now < host_load.reports_ignored_until:
        return scaled
    weight = FRESH_REPORT_WEIGHT * exp2(-age / REPORT_HALF_LIFE_SECONDS)
    change = open_requests - host_load.open_requests_at_report
    # A host has at least the requests that this balancer has open on it.
    reported = max(host_load.reported_requests + change, open_requests)
    return weight * reported + (1 - weight) * scaled


def estimate_slowness(
    tracker: HostLoadTracker,
    host_load: HostLoad,
    now: float,
) -> float:
    """Estimate the slowness of a host relative to the fastest of its service.

    Parameters
    ----------
    tracker : HostLoadTracker
        The tracker that the host belongs to.
    host_load : HostLoad
        The host.
    now : float
        Monotonic seconds.

    Returns
    -------
    float
        Factor from 1 to 30; decays to 1 while the host gets no requests.
    """
    duration = host_load.duration_seconds
    fastest = get_fastest_duration(tracker, host_load.service)
    if duration <= fastest:
        return 1
    slowness = min(MAX_SLOWNESS, duration / fastest)
    age = now - host_load.duration_at
    return 1 + (slowness - 1) * exp2(-age / SLOWNESS_HALF_LIFE_SECONDS)


def score_requests(tracker: HostLoadTracker, host: int, now: float) -> float:
    """Return the score of a host for a new request; lower is better."""
    host_load = tracker.hosts[host]
    load = estimate_requests(tracker, host_load, now)
    load += get_penalty(host_load, now) + 1
    return load * estimate_slowness(tracker, host_load, now) / host_load.slots


def score_feeds(tracker: HostLoadTracker, host: int, now: float) -> float:
    """Return the score of a host for a new feed; lower is better."""
    host_load = tracker.hosts[host]
    load = host_load.open_feeds * tracker.member_count + 1
    avoidance = 1 + get_penalty(host_load, now) / host_load.slots
    return load * avoidance / host_load.slots
