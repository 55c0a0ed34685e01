"""Least-loaded placement by requests in flight.

The score of an endpoint is the load that the next request would meet there,
in requests per slot. If relative durations of the endpoints are known, it is
the time until the next request is answered, in relation to that of one request
at an endpoint with one slot.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.random_numbers import RandBelow

#: A flow to another data centre breaks when that one is partitioned off, and
#: it costs a round trip of about 2 ms for each request and traffic between
#: data centres.
REMOTE_PENALTY_REQUESTS: Final = 2.0
#: Requests take longer at an endpoint that is warming up.
WARM_UP_PENALTY_REQUESTS: Final = 1.0
#: An endpoint that a peer suspects is avoided while others are idle, but a
#: single peer cannot take an endpoint out of service for all balancers.
SUSPECTED_PENALTY_REQUESTS: Final = 4.0
#: Duration of a first suspicion; it doubles with each further one. An opening
#: packet is answered within a few milliseconds, so one that the caller
#: retransmits after 200 ms was lost, or the endpoint is down or full.
MIN_SUSPICION_SECONDS: Final = 0.5
#: Entries of crashed endpoints disappear after three missed reports; the
#: suspicion must last until then.
MAX_SUSPICION_SECONDS: Final = 4.0
#: One of this many placements tries an idle endpoint that is known to be slow,
#: if the first one compared is one, so that its recovery is noticed.
PLACEMENTS_PER_TRIAL: Final = 64
#: Bounds the cost of one placement in a large service.
MAX_COMPARED_ENDPOINTS: Final = 32


@dataclass(slots=True)
class Suspicion:
    """Suspicion of an endpoint that left packets unanswered.

    Attributes
    ----------
    failures : int
        Number of suspicions since the last answered opening packet.
    until : float
        Monotonic seconds until which the endpoint is avoided.
    witnesses : set of bytes
        Keys of the flows whose packets were not answered, since the last
        suspicion began.
    """

    failures: int = 0
    until: float = 0
    witnesses: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class EndpointLoadTracker:
    """Load and health of endpoints, as tracked by one balancer.

    Attributes
    ----------
    data_centre : str
        Data centre of this balancer.
    own_in_flight : mapping of int to int
        Requests in flight that this balancer tracks, by cookie.
    peer_in_flight : mapping of int to int
        Requests in flight that the peers report, by cookie.
    suspecting_peers : mapping of int to int
        Number of peers that suspect an endpoint, by cookie.
    suspicions : dict of int to Suspicion
        Suspicions by cookie, for endpoints with unanswered packets.
    warm_until : dict of int to float
        Monotonic time at which the warm-up of an endpoint ends, by cookie.
    relative_durations : mapping of int to float, or None
        Factor of the durations of endpoints that are slower or faster than
        others, by cookie; None if placement does not use it.
    """

    data_centre: str
    own_in_flight: Mapping[int, int]
    peer_in_flight: Mapping[int, int]
    suspecting_peers: Mapping[int, int]
    suspicions: dict[int, Suspicion] = field(default_factory=dict)
    warm_until: dict[int, float] = field(default_factory=dict)
    relative_durations: Mapping[int, float] | None = None


def choose_least_loaded(
    tracker: EndpointLoadTracker,
    candidates: Sequence[Endpoint],
    avoided_cookie: int | None,
    randbelow: RandBelow,
    now: float,
) -> Endpoint | None:
    """Choose the endpoint with the lowest score of those compared.

    Suspected endpoints are left out while there are others, and now and then
    an idle slow one is tried.

    Parameters
    ----------
    tracker : EndpointLoadTracker
        Load and suspicions of the endpoints.
    candidates : sequence of Endpoint
        Endpoints of one service that take new flows.
    avoided_cookie : int or None
        Cookie of an endpoint that did not answer this flow's last opening
        packet; chosen only if there is no other.
    randbelow : callable
        Returns a random integer from 0 to below its argument; chooses which
        endpoint is compared first, and when to try a slow one.
    now : float
        Monotonic seconds.

    Returns
    -------
    Endpoint or None
        None if there are no candidates.
    """
    count = len(candidates)
    if not count:
        return None
    best: Endpoint | None = None
    best_score = float('inf')
    start = randbelow(count)
    if tracker.relative_durations and not randbelow(PLACEMENTS_PER_TRIAL):
        endpoint = candidates[start]
        if endpoint.cookie != avoided_cookie and _may_be_tried(
            tracker, endpoint, now
        ):
            return endpoint
    for offset in range(min(count, MAX_COMPARED_ENDPOINTS)):
        endpoint = candidates[(start + offset) % count]
        cookie = endpoint.cookie
        if cookie == avoided_cookie or is_suspected(tracker, cookie, now):
            continue
        score = score_endpoint(tracker, endpoint, now)
        if score < best_score:
            best, best_score = endpoint, score
    if best is None:
        # All compared endpoints are suspected or avoided; one may have
        # recovered.
        return candidates[start]
    return best


def score_endpoint(
    tracker: EndpointLoadTracker,
    endpoint: Endpoint,
    now: float,
) -> float:
    """Return the score of an endpoint for a new request; lower is better."""
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
    if tracker.relative_durations is None:
        return (load + penalty) / endpoint.slots
    duration = tracker.relative_durations.get(cookie, 1)
    return ((load + 1) * duration + penalty) / endpoint.slots


def get_requests_per_slot(
    tracker: EndpointLoadTracker, endpoint: Endpoint
) -> float:
    """Return the requests in flight at an endpoint, for each of its slots."""
    cookie = endpoint.cookie
    own = tracker.own_in_flight.get(cookie, 0)
    return (own + tracker.peer_in_flight.get(cookie, 0)) / endpoint.slots


def is_suspected(tracker: EndpointLoadTracker, cookie: int, now: float) -> bool:
    """Return whether this balancer suspects an endpoint at present."""
    suspicion = tracker.suspicions.get(cookie)
    return suspicion is not None and suspicion.until > now


def _may_be_tried(
    tracker: EndpointLoadTracker, endpoint: Endpoint, now: float
) -> bool:
    """Tell whether an endpoint is slow, idle and not suspected."""
    cookie = endpoint.cookie
    durations = tracker.relative_durations or {}
    return (
        durations.get(cookie, 1) > 1
        and endpoint.data_centre == tracker.data_centre
        and cookie not in tracker.own_in_flight
        and cookie not in tracker.peer_in_flight
        and cookie not in tracker.suspecting_peers
        and not is_suspected(tracker, cookie, now)
    )


def record_unanswered_packet(
    tracker: EndpointLoadTracker,
    cookie: int,
    flow_key: bytes | None,
    now: float,
) -> Suspicion:
    """Record that an endpoint left a packet of a flow unanswered.

    Parameters
    ----------
    tracker : EndpointLoadTracker
        Changed in place.
    cookie : int
        Cookie of the endpoint.
    flow_key : bytes or None
        Key of the flow whose caller repeated an opening packet or a request;
        None if its packets may have been lost before they left this balancer.
    now : float
        Monotonic seconds.

    Returns
    -------
    Suspicion
        The current suspicion.
    """
    suspicion = tracker.suspicions.setdefault(cookie, Suspicion())
    if suspicion.until <= now:
        suspicion.witnesses.clear()
        # Openings lost together count once: none is counted during a
        # suspicion.
        suspicion.failures += 1
        doublings = min(suspicion.failures - 1, 8)
        length = MIN_SUSPICION_SECONDS * (1 << doublings)
        suspicion.until = now + min(length, MAX_SUSPICION_SECONDS)
    if flow_key is not None:
        suspicion.witnesses.add(flow_key)
    return suspicion


def record_answered_opening(tracker: EndpointLoadTracker, cookie: int) -> None:
    """Record that an endpoint answered an opening packet."""
    tracker.suspicions.pop(cookie, None)


def forget_endpoint(tracker: EndpointLoadTracker, cookie: int) -> None:
    """Remove the state of an endpoint that left or was restarted."""
    tracker.suspicions.pop(cookie, None)
    tracker.warm_until.pop(cookie, None)
