"""Placement by requests in flight.

Scores are in requests per slot: the load that the next request would meet.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.endpoint import Endpoint

#: A flow to another data centre ends when that is cut off, and costs a round
#: trip of about 2 ms a request and traffic between data centres.
REMOTE_PENALTY_REQUESTS: Final = 2.0
#: An endpoint that warms up takes longer for each request.
WARM_UP_PENALTY_REQUESTS: Final = 1.0
#: What another balancer suspects is avoided while others are idle, but one
#: witness does not take an endpoint out of service for all.
SUSPECTED_PENALTY_REQUESTS: Final = 4.0
#: An opening packet is answered in a few milliseconds, so one that its caller
#: repeats after 200 ms was lost or met an endpoint that is down or full.
MIN_SUSPICION_SECONDS: Final = 0.5
#: Entries of endpoints that crashed vanish after three missed reports, and
#: the suspicion has to last until then.
MAX_SUSPICION_SECONDS: Final = 4.0
#: Candidates that one placement compares at most.
MAX_COMPARED_ENDPOINTS: Final = 32

#: Returns a random integer from 0 to below its argument.
PickNumber = Callable[[int], int]


@dataclass(slots=True)
class Suspicion:
    """Openings that an endpoint left unanswered.

    Attributes
    ----------
    failures : int
        Unanswered openings since the last one that was answered.
    until : float
        Monotonic seconds until which the endpoint is avoided.
    """

    failures: int = 0
    until: float = 0


@dataclass(slots=True)
class EndpointLoadTracker:
    """What placement knows about endpoints.

    Attributes
    ----------
    data_centre : str
        Data centre of this balancer.
    own_in_flight : mapping of int to int
        Requests in flight that this balancer sees, by cookie.
    peer_in_flight : mapping of int to int
        Requests in flight that other balancers see, by cookie.
    suspecting_peers : mapping of int to int
        Other balancers that suspect an endpoint, by cookie.
    suspicions : dict of int to Suspicion
        By cookie; only endpoints with unanswered openings.
    warm_until : dict of int to float
        Monotonic seconds at which an endpoint is no longer cold.
    """

    data_centre: str
    own_in_flight: Mapping[int, int]
    peer_in_flight: Mapping[int, int]
    suspecting_peers: Mapping[int, int]
    suspicions: dict[int, Suspicion] = field(default_factory=dict)
    warm_until: dict[int, float] = field(default_factory=dict)


def choose_least_loaded(
    tracker: EndpointLoadTracker,
    candidates: Sequence[Endpoint],
    avoided_cookie: int | None,
    pick_number: PickNumber,
    now: float,
) -> Endpoint | None:
    """Choose the endpoint with the fewest requests in flight for its slots.

    Parameters
    ----------
    tracker : EndpointLoadTracker
        Load and suspicions.
    candidates : sequence of Endpoint
        Endpoints of one service that take new flows.
    avoided_cookie : int or None
        Cookie of an endpoint that did not answer this flow's last opening
        packet; taken only if there is no other.
    pick_number : callable
        Random source, which decides between equal scores.
    now : float
        Monotonic seconds.

    Returns
    -------
    Endpoint or None
        None without candidates.
    """
    count = len(candidates)
    if not count:
        return None
    best: Endpoint | None = None
    best_score = float('inf')
    start = pick_number(count)
    for offset in range(min(count, MAX_COMPARED_ENDPOINTS)):
        endpoint = candidates[(start + offset) % count]
        cookie = endpoint.cookie
        if cookie == avoided_cookie or is_suspected(tracker, cookie, now):
            continue
        score = score_endpoint(tracker, endpoint, now)
        if score < best_score:
            best, best_score = endpoint, score
    if best is None:
        # Every endpoint is suspected: one of them may have come back.
        return candidates[start]
    return best


def score_endpoint(
    tracker: EndpointLoadTracker,
    endpoint: Endpoint,
    now: float,
) -> float:
    """Return the load that a new request would meet, in requests per slot."""
    cookie = endpoint.cookie
    load = tracker.own_in_flight.get(cookie, 0) + tracker.peer_in_flight.get(
        cookie, 0
    )
    penalty: float = 0
    if endpoint.data_centre != tracker.data_centre:
        penalty += REMOTE_PENALTY_REQUESTS
    if tracker.warm_until.get(cookie, 0) > now:
        penalty += WARM_UP_PENALTY_REQUESTS
    if cookie in tracker.suspecting_peers:
        penalty += SUSPECTED_PENALTY_REQUESTS
    return (load + penalty) / endpoint.slots


def is_suspected(tracker: EndpointLoadTracker, cookie: int, now: float) -> bool:
    """Tell whether an endpoint is avoided at the moment."""
    suspicion = tracker.suspicions.get(cookie)
    return suspicion is not None and suspicion.until > now


def record_unanswered_opening(
    tracker: EndpointLoadTracker,
    cookie: int,
    now: float,
) -> Suspicion:
    """Note that an endpoint left an opening packet unanswered."""
    suspicion = tracker.suspicions.setdefault(cookie, Suspicion())
    if suspicion.until <= now:
        # Openings sent before the suspicion began count once.
        suspicion.failures += 1
        doublings = min(suspicion.failures - 1, 8)
        length = MIN_SUSPICION_SECONDS * (1 << doublings)
        suspicion.until = now + min(length, MAX_SUSPICION_SECONDS)
    return suspicion


def record_answered_opening(tracker: EndpointLoadTracker, cookie: int) -> None:
    """Note that an endpoint answered an opening packet."""
    tracker.suspicions.pop(cookie, None)


def forget_endpoint(tracker: EndpointLoadTracker, cookie: int) -> None:
    """Forget what was known about an endpoint that left or started again."""
    tracker.suspicions.pop(cookie, None)
    tracker.warm_until.pop(cookie, None)
