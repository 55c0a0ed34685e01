"""Tests of least-loaded placement by requests in flight."""

from balsamshed.edge.tests.builders import always_zero, build_endpoint
from balsamshed.placement.in_flight import (
    MAX_SUSPICION_SECONDS,
    MIN_SUSPICION_SECONDS,
    REMOTE_PENALTY_REQUESTS,
    EndpointLoadTracker,
    choose_least_loaded,
    is_suspected,
    record_answered_opening,
    record_unanswered_packet,
)

NEAR = build_endpoint(1)
SECOND = build_endpoint(2)
FAR = build_endpoint(3, data_centre='b')


def build_tracker(own=None, peers=None, suspecting=None):
    return EndpointLoadTracker('a', own or {}, peers or {}, suspecting or {})


def choose(tracker, *candidates, avoided_cookie=None, now=0):
    return choose_least_loaded(
        tracker, candidates, avoided_cookie, always_zero, now
    )


def test_requests_at_peers_count_like_own_ones():
    """Guards against all balancers choosing the same endpoint."""
    tracker = build_tracker(own={NEAR.cookie: 1}, peers={SECOND.cookie: 3})
    assert choose(tracker, NEAR, SECOND) == NEAR


def test_endpoint_with_more_slots_takes_more():
    """Guards against equal shares for unequal endpoints."""
    large = build_endpoint(2, slots=8)
    tracker = build_tracker(own={NEAR.cookie: 1, large.cookie: 2})
    assert choose(tracker, NEAR, large) == large


def test_another_data_centre_helps_only_when_the_own_one_is_busy():
    """Guards against needless flows that a partition would break."""
    tracker = build_tracker(own={NEAR.cookie: int(REMOTE_PENALTY_REQUESTS)})
    assert choose(tracker, NEAR, FAR) == NEAR
    tracker = build_tracker(own={NEAR.cookie: int(REMOTE_PENALTY_REQUESTS) + 1})
    assert choose(tracker, NEAR, FAR) == FAR


def test_warming_endpoint_gets_less():
    """Guards against sending callers to a cold endpoint."""
    tracker = build_tracker()
    tracker.warm_until[NEAR.cookie] = 5
    assert choose(tracker, NEAR, SECOND, now=4) == SECOND
    assert choose(tracker, NEAR, SECOND, now=6) == NEAR


def test_suspected_endpoint_is_avoided_for_longer_each_time():
    """Guards against repeatedly opening flows at an endpoint that is down."""
    tracker = build_tracker()
    record_unanswered_packet(tracker, NEAR.cookie, b'flow', 0)
    assert choose(tracker, NEAR, SECOND) == SECOND
    assert choose(tracker, NEAR, SECOND, now=MIN_SUSPICION_SECONDS) == NEAR
    now = 1
    for _ in range(10):
        record_unanswered_packet(tracker, NEAR.cookie, b'flow', now)
        now = tracker.suspicions[NEAR.cookie].until
    assert is_suspected(tracker, NEAR.cookie, now - 0.1)
    record_unanswered_packet(tracker, NEAR.cookie, b'flow', now)
    until = tracker.suspicions[NEAR.cookie].until
    assert until - now == MAX_SUSPICION_SECONDS
    record_answered_opening(tracker, NEAR.cookie)
    assert not is_suspected(tracker, NEAR.cookie, now)


def test_many_openings_lost_together_count_once():
    """Guards against a long suspicion after one short interruption."""
    tracker = build_tracker()
    for _ in range(10):
        record_unanswered_packet(tracker, NEAR.cookie, b'flow', 0)
    assert tracker.suspicions[NEAR.cookie].failures == 1


def test_service_whose_endpoints_are_all_suspected_is_still_tried():
    """Guards against refusing all flows when this balancer's network fails."""
    tracker = build_tracker()
    record_unanswered_packet(tracker, NEAR.cookie, b'flow', 0)
    record_unanswered_packet(tracker, SECOND.cookie, b'flow', 0)
    assert choose(tracker, NEAR, SECOND) is not None


def test_endpoint_suspected_by_a_peer_alone_stays_in_service():
    """Guards against a wrong suspicion of one peer emptying a service."""
    tracker = build_tracker(suspecting={NEAR.cookie: 1})
    assert choose(tracker, NEAR, SECOND) == SECOND
    assert choose(tracker, NEAR) == NEAR


def test_no_candidates_give_no_choice():
    """Guards against an exception when a service has no endpoints."""
    assert choose(build_tracker()) is None
