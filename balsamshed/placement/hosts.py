"""Load and health of one backend server."""

from dataclasses import dataclass
from math import exp2, inf
from typing import Final

#: Half-life of the penalty for refusals and unanswered SYNs.
PENALTY_HALF_LIFE_SECONDS: Final = 2.0

#: Weight of a new duration in the exponentially weighted moving average.
DURATION_WEIGHT: Final = 0.2


@dataclass(slots=True)
class HostLoad:
    """Load and health of one backend server, as tracked by one balancer.

    Attributes
    ----------
    service : str
        Service of the backend server; empty until it has been a candidate.
    slots : int
        Number of requests that it runs concurrently.
    open_requests, open_feeds : int
        Number of open flows of this balancer.
    reported_requests : int
        Requests in flight and queued according to the last report.
    reported_at : float
        Monotonic time at which the last report was made.
    open_requests_at_report : int
        Open requests of this balancer when the last report arrived.
    min_open_requests, previous_min_open_requests : int
        Minimum number of open requests of this balancer since the last
        report arrived, and between the two reports before.
    reports_ignored_until : float
        Monotonic time until which reports are ignored.
    penalty, penalty_at : float
        Penalty for refusals and unanswered SYNs, in requests, and the
        monotonic time of that value; it decays from then on.
    duration_seconds, duration_at : float
        Moving average of the durations of this balancer's requests and the
        monotonic time of the last one; a duration of zero means that none
        has finished.
    failures : int
        Number of unanswered SYNs since the last answered one.
    answered_at : float
        Monotonic time of the last answered SYN.
    is_ejected : bool
        Whether the host gets no new flows except trials.
    ejections : int
        Number of consecutive ejections; each doubles the delay before the
        next trial.
    ejected_until : float
        Monotonic time from which the next trial may run.
    trial_at : float
        Monotonic start of the running trial; minus infinity if none runs.
    slow_start_at : float
        Monotonic time at which the host was added or readmitted.
    """

    service: str = ''
    slots: int = 1
    open_requests: int = 0
    open_feeds: int = 0
    reported_requests: int = 0
    reported_at: float = -inf
    open_requests_at_report: int = 0
    min_open_requests: int = 0
    previous_min_open_requests: int = 0
    reports_ignored_until: float = -inf
    penalty: float = 0
    penalty_at: float = -inf
    duration_seconds: float = 0
    duration_at: float = -inf
    failures: int = 0
    answered_at: float = -inf
    is_ejected: bool = False
    ejections: int = 0
    ejected_until: float = -inf
    trial_at: float = -inf
    slow_start_at: float = -inf


def get_penalty(host_load: HostLoad, now: float) -> float:
    """Return the decayed penalty, in requests."""
    if not host_load.penalty:
        return 0
    age = now - host_load.penalty_at
    return host_load.penalty * exp2(-age / PENALTY_HALF_LIFE_SECONDS)


def add_penalty(host_load: HostLoad, requests: float, now: float) -> None:
    """Increase the penalty by a number of requests."""
    host_load.penalty = get_penalty(host_load, now) + requests
    host_load.penalty_at = now


def record_duration(
    host_load: HostLoad,
    duration_seconds: float,
    now: float,
) -> None:
    """Update the moving average with the duration of a finished request."""
    if host_load.duration_seconds:
        change = duration_seconds - host_load.duration_seconds
        host_load.duration_seconds += DURATION_WEIGHT * change
    else:
        host_load.duration_seconds = duration_seconds
    host_load.duration_at = now
