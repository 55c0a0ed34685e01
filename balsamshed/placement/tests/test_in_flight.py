"""Tests of placement by requests in flight."""

from balsamshed.edge.tests.builders import always_zero, build_endpoint
from balsamshed.placement.in_flight import (
    FIRST_SUSPICION_SECONDS,
    LONGEST_SUSPICION_SECONDS,
    REMOTE_PENALTY_REQUESTS,
    InFlightBoard,
    choose_least_busy,
    is_suspected,
    note_answered,
    note_unanswered,
)

NEAR = build_endpoint(1)
SECOND = build_endpoint(2)
FAR = build_endpoint(3, data_centre='b')


def build_board(own=None, peers=None, suspecting=None):
    return InFlightBoard('a', own or {}, peers or {}, suspecting or {})


def choose(board, *candidates, avoided=None, now=0):
    return choose_least_busy(board, candidates, avoided, always_zero, now)


def test_requests_at_peers_count_like_own_ones():
    """Guards against balancers that all choose the same endpoint."""
    board = build_board(own={NEAR.cookie: 1}, peers={SECOND.cookie: 3})
    assert choose(board, NEAR, SECOND) == NEAR


def test_endpoint_with_more_slots_takes_more():
    """Guards against equal shares for unequal endpoints."""
    large = build_endpoint(2, slots=8)
    board = build_board(own={NEAR.cookie: 1, large.cookie: 2})
    assert choose(board, NEAR, large) == large


def test_another_data_centre_helps_only_when_the_own_one_is_busy():
    """Guards against flows that a partition cuts without need."""
    board = build_board(own={NEAR.cookie: int(REMOTE_PENALTY_REQUESTS)})
    assert choose(board, NEAR, FAR) == NEAR
    board = build_board(own={NEAR.cookie: int(REMOTE_PENALTY_REQUESTS) + 1})
    assert choose(board, NEAR, FAR) == FAR


def test_warming_endpoint_gets_less():
    """Guards against callers that meet a cold endpoint."""
    board = build_board()
    board.warm_until[NEAR.cookie] = 5
    assert choose(board, NEAR, SECOND, now=4) == SECOND
    assert choose(board, NEAR, SECOND, now=6) == NEAR


def test_suspected_endpoint_is_avoided_for_longer_each_time():
    """Guards against openings that keep going to an endpoint that is down."""
    board = build_board()
    note_unanswered(board, NEAR.cookie, 0)
    assert choose(board, NEAR, SECOND) == SECOND
    assert choose(board, NEAR, SECOND, now=FIRST_SUSPICION_SECONDS) == NEAR
    now = 1
    for _ in range(10):
        note_unanswered(board, NEAR.cookie, now)
        now = board.suspicions[NEAR.cookie].until
    assert is_suspected(board, NEAR.cookie, now - 0.1)
    note_unanswered(board, NEAR.cookie, now)
    until = board.suspicions[NEAR.cookie].until
    assert until - now == LONGEST_SUSPICION_SECONDS
    note_answered(board, NEAR.cookie)
    assert not is_suspected(board, NEAR.cookie, now)


def test_many_openings_lost_together_count_once():
    """Guards against a long suspicion after one short interruption."""
    board = build_board()
    for _ in range(10):
        note_unanswered(board, NEAR.cookie, 0)
    assert board.suspicions[NEAR.cookie].failures == 1


def test_service_whose_endpoints_are_all_suspected_is_still_tried():
    """Guards against refusing everybody because of the own network."""
    board = build_board()
    note_unanswered(board, NEAR.cookie, 0)
    note_unanswered(board, SECOND.cookie, 0)
    assert choose(board, NEAR, SECOND) is not None


def test_suspicion_of_a_peer_alone_takes_no_endpoint_out():
    """Guards against one wrong witness that empties a service."""
    board = build_board(suspecting={NEAR.cookie: 1})
    assert choose(board, NEAR, SECOND) == SECOND
    assert choose(board, NEAR) == NEAR


def test_no_candidates_give_no_choice():
    """Guards against a failure when a service has no endpoints."""
    assert choose(build_board()) is None
