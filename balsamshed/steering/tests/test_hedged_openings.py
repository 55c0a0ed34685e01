"""Tests of openings that are sent to a second endpoint."""

from dataclasses import replace

import pytest

from balsamshed.edge.tests.builders import (
    always_zero,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.endpoints.directory import apply_view
from balsamshed.limits.hedging import SILENCE_SECONDS
from balsamshed.peers.table import PeerTable
from balsamshed.placement.in_flight import is_suspected
from balsamshed.routes.table import RouteTable
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.hedged_openings import (
    WithheldHedge,
    get_hedge_delay,
    hedge_opening,
    review_hedges,
)
from balsamshed.steering.options import EdgeOptions, HedgeLimit
from balsamshed.steering.packets import ForwardFlow, PacketKind
from balsamshed.steering.path_loss import record_loss
from balsamshed.steering.state import create_steering, replace_routes

FIRST, SECOND = build_endpoint(1), build_endpoint(2)
OPENING = build_packet()
DELAY = 0.02
#: Time at which the caller of an opening at 1 s has repeated it.
AFTER_SILENCE = 1.05 + SILENCE_SECONDS


def build_steering(*endpoints, share=1.0, is_idempotent=True):
    options = EdgeOptions(hedge_limit=HedgeLimit(share, burst=1))
    steering = create_steering(
        'a', 60, PeerTable('10.9.0.1'), always_zero, options
    )
    apply_view(steering.directory, build_view(1, *endpoints), 0)
    table = build_table(1)
    routes = {
        listener: replace(route, is_idempotent=is_idempotent)
        for listener, route in table.routes.items()
    }
    replace_routes(steering, RouteTable(1, routes, table.services))
    steering.hedging.delay_seconds = DELAY
    for endpoint in endpoints:
        steering.requests.answered_at[endpoint.cookie] = 0
    return steering


def open_flow(steering, now=1.0):
    effect = steer_packet(steering, OPENING, now)
    assert isinstance(effect, ForwardFlow)
    return effect


def take_up(steering, effect, now):
    packet = build_packet(PacketKind.DATA, cookie=effect.cookie, sequence=1)
    return steer_packet(steering, packet, now)


def test_an_opening_without_an_answer_goes_to_a_second_endpoint():
    """Guards against callers that wait 200 ms for one lost packet."""
    steering = build_steering(FIRST, SECOND)
    first = open_flow(steering)
    assert get_hedge_delay(steering, OPENING) == DELAY
    second = hedge_opening(steering, OPENING, 1 + DELAY)
    assert second.endpoint != first.endpoint
    assert second.cookie == second.endpoint.cookie
    assert take_up(steering, second, 1.03) == second


def test_an_answered_opening_is_not_hedged():
    """Guards against extra work for callers that do not wait."""
    steering = build_steering(FIRST, SECOND)
    take_up(steering, open_flow(steering), 1.003)
    assert hedge_opening(steering, OPENING, 1 + DELAY) is None


def test_no_part_of_a_request_that_may_run_once_is_sent_twice():
    """Guards against a request that is not idempotent at two endpoints."""
    steering = build_steering(FIRST, SECOND, is_idempotent=False)
    open_flow(steering)
    assert get_hedge_delay(steering, OPENING) is None


def test_a_repeated_opening_is_not_hedged():
    """Guards against hedges beside the caller's own repetition."""
    steering = build_steering(FIRST, SECOND)
    open_flow(steering)
    assert get_hedge_delay(steering, replace(OPENING, attempt=1)) is None
    assert hedge_opening(steering, OPENING, AFTER_SILENCE) is None


def test_a_repetition_is_not_hedged_after_a_pause():
    """Guards against a hedge beside the endpoint that the repetition went to,
    sent by the late timer of the first copy."""
    steering = build_steering(FIRST, SECOND)
    open_flow(steering)
    steer_packet(steering, replace(OPENING, attempt=1), 1.3)
    assert hedge_opening(steering, OPENING, 1.35) is None


def test_request_counts_at_the_endpoint_that_won():
    """Guards against load reported for an endpoint that was silent."""
    steering = build_steering(FIRST, SECOND)
    first = open_flow(steering)
    second = hedge_opening(steering, OPENING, 1 + DELAY)
    packet = build_packet(PacketKind.ACKNOWLEDGEMENT, cookie=second.cookie)
    steer_packet(steering, packet, 1.03)
    assert steering.requests.counts == {second.cookie: 1}
    assert first.cookie != second.cookie


def test_nothing_is_hedged_while_the_option_is_off():
    """Guards against a part that changes sites whose settings do not ask."""
    steering = create_steering('a', 60, PeerTable('10.9.0.1'), always_zero)
    assert get_hedge_delay(steering, OPENING) is None
    assert hedge_opening(steering, OPENING, 1) is None
    assert review_hedges(steering, 2) == ()


def test_limit_withholds_a_hedge():
    """Guards against more hedges than the operator allows."""
    steering = build_steering(FIRST, SECOND, share=0.5)
    open_flow(steering)
    outcome = hedge_opening(steering, OPENING, 1 + DELAY)
    assert outcome is WithheldHedge.OVER_LIMIT


def test_busy_endpoints_get_no_hedge():
    """Guards against hedges that delay the requests of other callers."""
    steering = build_steering(FIRST, SECOND)
    first = open_flow(steering)
    other = SECOND if first.endpoint == FIRST else FIRST
    steering.load_tracker.peer_in_flight[other.cookie] = other.slots
    outcome = hedge_opening(steering, OPENING, 1 + DELAY)
    assert outcome is WithheldHedge.ENDPOINTS_BUSY


def test_a_full_link_gets_no_hedge():
    """Guards against more packets on a link that loses them already."""
    steering = build_steering(FIRST, SECOND)
    open_flow(steering)
    for _ in range(5):
        record_loss(steering.requests.path_loss, 1)
    outcome = hedge_opening(steering, OPENING, 1 + DELAY)
    assert outcome is WithheldHedge.PATH_LOSSY


@pytest.mark.parametrize('others', [(), (build_endpoint(3, is_draining=True),)])
def test_hedge_needs_another_endpoint_that_takes_flows(others):
    """Guards against a hedge to the same or to a draining endpoint."""
    steering = build_steering(FIRST, *others)
    open_flow(steering)
    outcome = hedge_opening(steering, OPENING, 1 + DELAY)
    assert outcome is WithheldHedge.NO_OTHER_ENDPOINT


def test_hedge_needs_an_endpoint_that_has_answered_lately():
    """Guards against the reset of an endpoint that no longer listens, which
    would end an opening that the first one is about to answer."""
    steering = build_steering(FIRST, SECOND)
    steering.requests.answered_at.clear()
    open_flow(steering)
    outcome = hedge_opening(steering, OPENING, 1 + DELAY)
    assert outcome is WithheldHedge.NO_OTHER_ENDPOINT


def test_silent_first_endpoint_is_suspected_after_a_won_hedge():
    """Guards against an endpoint that has stopped, goes on to get openings,
    and uses up the limit, as the caller no longer repeats them."""
    steering = build_steering(FIRST, SECOND)
    first = open_flow(steering)
    second = hedge_opening(steering, OPENING, 1 + DELAY)
    take_up(steering, second, 1.03)
    assert review_hedges(steering, 1.1) == ()
    (hedge,) = review_hedges(steering, AFTER_SILENCE)
    assert hedge.first_cookie == first.cookie
    tracker = steering.load_tracker
    assert is_suspected(tracker, first.cookie, AFTER_SILENCE)


def test_first_endpoint_that_answers_others_is_not_suspected():
    """Guards against a suspicion for one lost packet."""
    steering = build_steering(FIRST, SECOND)
    first = open_flow(steering)
    second = hedge_opening(steering, OPENING, 1 + DELAY)
    take_up(steering, second, 1.03)
    steering.requests.answered_at[first.cookie] = 1.1
    assert len(review_hedges(steering, AFTER_SILENCE)) == 1
    assert not is_suspected(steering.load_tracker, first.cookie, 1.3)
