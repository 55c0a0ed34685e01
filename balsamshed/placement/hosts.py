"""What a balancer knows of the load and health of one backend server."""

from dataclasses import dataclass
from math import exp2, inf
from typing import Final

#: Half-life of the penalty for refusals and unanswered SYNs.
PENALTY_HALF_LIFE_SECONDS: Final = 2.0

#: Weight of a new duration in the smoothed one.
DURATION_WEIGHT: Final = 0.2


@dataclass(slots=True)
class HostLoad:
    """Load and health of one backend server, as one balancer sees them.

    Attributes
    ----------
    service : str
        Service that it belongs to; empty until it has been a candidate.
    slots : int
        Requests that it runs at the same time.
    open_requests, open_feeds : int
        Flows of this balancer that are open on it.
    reported_requests : int
        Requests in flight and queued by its last report.
    reported_at : float
        Monotonic time at which the last report was true.
    open_requests_at_report : int
        Own open requests when the last report came in.
    min_open_requests, previous_min_open_requests : int
        Lowest number of own open requests since the last report came in,
        and between the two reports before.
    distrusted_until : float
        Its reports are ignored until this monotonic time.
    penalty, penalty_at : float
        Load in requests added for refusals and unanswered SYNs, as of a
        monotonic time.
    duration_seconds, duration_at : float
        Smoothed duration of own requests and the time of the last one;
        a duration of zero means that none has finished.
    failures : int
        Unanswered SYNs since the last answered one.
    answered_at : float
        Monotonic time of the last answered SYN.
    is_ejected : bool
        Whether it gets no new flows but a trial.
    ejections : int
        Ejections in a row; each doubles the time to the next trial.
    ejected_until : float
        Monotonic time of the next trial while ejected.
    trial_at : float
        Monotonic time of the running trial; minus infinity if none runs.
    slow_start_at : float
        Monotonic time at which it was new or came back.
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
    distrusted_until: float = -inf
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
    """Return the penalty that is left, in requests."""
    if not host_load.penalty:
        return 0
    age = now - host_load.penalty_at
    return host_load.penalty * exp2(-age / PENALTY_HALF_LIFE_SECONDS)


def add_penalty(host_load: HostLoad, requests: float, now: float) -> None:
    """Add a number of requests to the penalty."""
    host_load.penalty = get_penalty(host_load, now) + requests
    host_load.penalty_at = now


def record_duration(
    host_load: HostLoad,
    duration_seconds: float,
    now: float,
) -> None:
    """Take the duration of a finished request into the smoothed one."""
    if host_load.duration_seconds:
        change = duration_seconds - host_load.duration_seconds
        host_load.duration_seconds += DURATION_WEIGHT * change
    else:
        host_load.duration_seconds = duration_seconds
    host_load.duration_at = now
