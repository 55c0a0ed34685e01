"""Tests of flows whose endpoint no longer responds."""

from itertools import pairwise

import pytest

from balsamshed.edge.tests.builders import (
    ADDRESS,
    PORT,
    always_zero,
    build_endpoint,
    build_packet,
    build_view,
)
from balsamshed.endpoints.directory import apply_view
from balsamshed.peers.report import EndpointReport, PeerReport
from balsamshed.peers.table import PeerTable, record_report
from balsamshed.placement.in_flight import is_suspected
from balsamshed.routes.table import Route, ServiceShare, create_route_table
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.packets import ForwardFlow, PacketKind, ResetFlow
from balsamshed.steering.requests import record_opening, track_packet
from balsamshed.steering.state import create_steering, replace_routes

RESET = ResetFlow('endpoint_unresponsive')
FLOW = 1
OTHER_FLOW = 2
OTHER_COOKIE = 99
#: Times at which a caller sends a request that nobody acknowledges.
COPY_TIMES = (10.0, 10.2, 10.6)


def build_steering(
    is_idempotent=True,
    peer_table=None,
    is_path_reliable=True,
):
    """Return a balancer with one endpoint and one route to it.

    Other endpoints have answered its requests if its path is reliable.
    """
    peer_table = peer_table or PeerTable('10.9.0.1')
    steering = create_steering('a', 60, peer_table, always_zero)
    apply_view(steering.directory, build_view(1, build_endpoint(1)), 0)
    shares = (ServiceShare('web'),)
    route = Route('r', ADDRESS, PORT, shares, 1, is_idempotent)
    replace_routes(steering, create_route_table(1, [route], ['web']))
    if is_path_reliable:
        answer_others(steering)
    return steering


def answer_opening(steering, sent_at, answered_at):
    """Let another endpoint answer an opening packet."""
    requests, flow = steering.requests, 500
    opening = build_packet(flow=flow)
    record_opening(requests, opening.flow_key, OTHER_COOKIE, sent_at)
    answer = build_packet(PacketKind.ACKNOWLEDGEMENT, flow)
    track_packet(requests, answer, OTHER_COOKIE, answered_at)


def open_flow(steering, flow=FLOW, now=9.0):
    """Open a flow and return its cookie."""
    cookie = steer_packet(steering, build_packet(flow=flow), now).cookie
    acknowledge(steering, cookie, flow, now)
    return cookie


def acknowledge(steering, cookie, flow, now, acknowledged=0):
    packet = build_packet(
        PacketKind.ACKNOWLEDGEMENT,
        flow,
        cookie=cookie,
        acknowledged=acknowledged,
    )
    return steer_packet(steering, packet, now)


def send_request(steering, cookie, now, sequence=100):
    packet = build_packet(
        PacketKind.DATA, FLOW, cookie=cookie, sequence=sequence
    )
    return steer_packet(steering, packet, now)


def suspect(steering, now=10.0, is_path_working=True):
    """Leave two openings of another flow unanswered."""
    opening = build_packet(flow=OTHER_FLOW)
    steer_packet(steering, opening, now)
    if is_path_working:
        answer_opening(steering, now + 0.05, now + 0.1)
    repeated = build_packet(flow=OTHER_FLOW, attempt=1)
    steer_packet(steering, repeated, now + 0.2)


def answer_others(steering, count=40, repeated=0, now=9.9):
    """Let other endpoints answer requests, some of them after a repetition."""
    for number in range(count):
        flow = 1000 + number
        request = build_packet(PacketKind.DATA, flow, cookie=OTHER_COOKIE)
        track_packet(steering.requests, request, OTHER_COOKIE, now - 0.5)
        if number < repeated:
            track_packet(steering.requests, request, OTHER_COOKIE, now - 0.3)
        answer = build_packet(PacketKind.ACKNOWLEDGEMENT, flow, acknowledged=50)
        track_packet(steering.requests, answer, OTHER_COOKIE, now)


def send_copies(steering, cookie, times=COPY_TIMES, is_path_working=True):
    """Send copies of a request and return the last effect.

    Other endpoints answer two openings between each two copies if the path
    works.
    """
    effect = send_request(steering, cookie, times[0])
    for previous, now in pairwise(times):
        for _ in range(2 * is_path_working):
            answer_opening(steering, previous, now)
        effect = send_request(steering, cookie, now)
    return effect


def test_flow_of_a_silent_and_suspected_endpoint_is_reset():
    """Guards against callers that wait for their deadline although an endpoint
    has crashed."""
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering)
    assert send_copies(steering, cookie) == RESET


def test_flow_of_a_silent_endpoint_whose_entry_is_gone_is_reset():
    """Guards against flows that wait for an endpoint that left for good."""
    steering = build_steering()
    cookie = open_flow(steering)
    apply_view(steering.directory, build_view(2, build_endpoint(2)), 9.5)
    assert send_copies(steering, cookie) == RESET


def test_two_silent_flows_witness_against_their_endpoint():
    """Guards against callers that wait for their deadline where no new flow
    was opened to show that an endpoint has crashed."""
    steering = build_steering()
    cookie = open_flow(steering)
    open_flow(steering, flow=3)
    for now in (10.0, 10.2):
        answer_opening(steering, now - 0.1, now)
        other = build_packet(PacketKind.DATA, 3, cookie=cookie)
        assert isinstance(steer_packet(steering, other, now), ForwardFlow)
    assert send_copies(steering, cookie) == RESET


def test_repeated_request_makes_its_endpoint_suspected():
    """Guards against new flows at an endpoint that answers nothing."""
    steering = build_steering()
    cookie = open_flow(steering)
    send_request(steering, cookie, 10.0)
    assert not is_suspected(steering.load_tracker, cookie, 10.0)
    send_request(steering, cookie, 10.2)
    assert is_suspected(steering.load_tracker, cookie, 10.2)


def test_suspicion_of_a_peer_is_a_second_witness():
    """Guards against callers that wait although another balancer knows that
    their endpoint has crashed."""
    peer_table = PeerTable('10.9.0.1')
    steering = build_steering(peer_table=peer_table)
    cookie = open_flow(steering)
    endpoints = (EndpointReport(cookie, 1, is_suspected=True),)
    report = PeerReport('a', 1, 0, endpoints, ())
    record_report(peer_table, '10.9.0.2', report, 10)
    assert send_copies(steering, cookie) == RESET


def test_requests_that_may_run_once_only_are_never_given_up():
    """Guards against a reset while the answer may still come."""
    steering = build_steering(is_idempotent=False)
    cookie = open_flow(steering)
    suspect(steering)
    assert isinstance(send_copies(steering, cookie), ForwardFlow)


def test_silence_of_one_flow_alone_resets_nothing():
    """Guards against a flow given up because its packets were lost."""
    steering = build_steering()
    cookie = open_flow(steering)
    assert isinstance(send_copies(steering, cookie), ForwardFlow)


def test_missing_entry_alone_resets_nothing():
    """Guards against running work that is given up because an endpoint was
    silent towards the store for a while."""
    steering = build_steering()
    cookie = open_flow(steering)
    apply_view(steering.directory, build_view(2, build_endpoint(2)), 9.5)
    for now in (10.0, 10.2):
        assert isinstance(send_request(steering, cookie, now), ForwardFlow)
    acknowledge(steering, cookie, FLOW, 10.3, acknowledged=50)
    assert isinstance(
        send_request(steering, cookie, 10.6, sequence=200), ForwardFlow
    )


def test_endpoint_that_answers_other_flows_keeps_this_one():
    """Guards against a reset by an endpoint that is slow, not gone."""
    steering = build_steering()
    cookie = open_flow(steering)
    third = open_flow(steering, flow=3, now=9.9)
    suspect(steering)
    send_request(steering, cookie, 10.0)
    request = build_packet(PacketKind.DATA, 3, cookie=third)
    steer_packet(steering, request, 10.1)
    acknowledge(steering, third, 3, 10.3, acknowledged=50)
    assert isinstance(
        send_copies(steering, cookie, times=(10.2, 10.6)), ForwardFlow
    )


def test_old_suspicion_resets_nothing():
    """Guards against a suspicion that ended long ago and was never refuted."""
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering, now=3.0)
    assert isinstance(send_copies(steering, cookie), ForwardFlow)


@pytest.mark.parametrize(
    'times',
    [
        (10.0, 10.01, 10.02),
        (10.0, 12.0),
        (10.0, 10.2, 10.25),
        (10.0, 13.9, 13.9),
        (10.0, 10.59, 10.6),
    ],
)
def test_copies_that_were_queued_count_once(times):
    """Guards against resets after a pause, when copies of a request arrive
    together, or by packets that the network duplicated."""
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering)
    assert isinstance(send_copies(steering, cookie, times=times), ForwardFlow)


def test_segments_of_a_long_request_are_no_copies():
    """Guards against an upload that is taken for retransmissions."""
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering)
    for sequence, now in enumerate(COPY_TIMES, start=1):
        effect = send_request(steering, cookie, now, sequence=sequence)
        assert isinstance(effect, ForwardFlow)


@pytest.mark.parametrize(('count', 'repeated'), [(40, 3), (40, 40)])
def test_balancer_that_loses_packets_itself_resets_nothing(count, repeated):
    """Guards against flows given up by a balancer whose own link is full, so
    that all endpoints seem to be silent.

    A VM with a link of 5 Mbit/s reset 19 open flows whose endpoints served.
    """
    steering = build_steering(is_path_reliable=False)
    answer_others(steering, count, repeated)
    cookie = open_flow(steering)
    suspect(steering)
    assert isinstance(send_copies(steering, cookie), ForwardFlow)


def test_balancer_without_answers_resets_nothing():
    """Guards against flows given up by a balancer that is cut off itself."""
    steering = build_steering(is_path_reliable=False)
    cookie = open_flow(steering)
    suspect(steering, is_path_working=False)
    effect = send_copies(steering, cookie, is_path_working=False)
    assert isinstance(effect, ForwardFlow)


def test_few_answers_reset_nothing():
    """Guards against flows given up after two answers, which pass a link that
    loses most packets."""
    steering = build_steering(is_path_reliable=False)
    cookie = open_flow(steering)
    suspect(steering, now=9.7)
    send_request(steering, cookie, 10.0)
    answer_opening(steering, 10.1, 10.2)
    send_request(steering, cookie, 10.2)
    answer_opening(steering, 10.3, 10.4)
    assert isinstance(send_request(steering, cookie, 10.6), ForwardFlow)


def test_answers_before_a_silence_prove_nothing_about_it():
    """Guards against flows reset by a balancer whose link is full: all packets
    wait, and only the answers of the second before have arrived.

    Open flows were reset while their endpoints served, as soon as a balancer
    sent a large table of routes to its peers.
    """
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering, is_path_working=False)
    effect = send_copies(steering, cookie, is_path_working=False)
    assert isinstance(effect, ForwardFlow)


def test_answers_to_packets_sent_before_a_silence_prove_nothing():
    """Guards against a proof by packets that passed a link before it was
    full, and were answered later."""
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering)
    send_request(steering, cookie, 10.0)
    for flow, now in enumerate((10.1, 10.15, 10.3, 10.5), start=30):
        request = build_packet(PacketKind.DATA, flow, cookie=OTHER_COOKIE)
        track_packet(steering.requests, request, OTHER_COOKIE, 9.9)
        answer = build_packet(PacketKind.ACKNOWLEDGEMENT, flow, acknowledged=50)
        track_packet(steering.requests, answer, OTHER_COOKIE, now)
    effect = send_copies(
        steering, cookie, times=(10.2, 10.6), is_path_working=False
    )
    assert isinstance(effect, ForwardFlow)


def test_suspicion_of_a_balancer_with_a_full_link_is_no_witness():
    """Guards against a second witness that saw the same full link."""
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering, is_path_working=False)
    assert is_suspected(steering.load_tracker, cookie, 10.3)
    effect = send_copies(steering, cookie, times=(10.3, 10.5, 10.9))
    assert isinstance(effect, ForwardFlow)


def test_copies_count_from_the_time_at_which_the_path_works():
    """Guards against callers that wait for their deadline since their first
    copy met a full link."""
    steering = build_steering()
    cookie = open_flow(steering)
    for now in (10.0, 10.2):
        send_request(steering, cookie, now)
    answer_opening(steering, 10.3, 10.4)
    send_request(steering, cookie, 10.6)
    for now in (10.7, 10.8, 10.9):
        answer_opening(steering, now, now + 0.1)
    suspect(steering, now=11.0)
    assert send_request(steering, cookie, 11.4) == RESET


def test_loss_that_has_ended_is_forgotten():
    """Guards against callers that wait for their deadline long after a
    balancer lost packets."""
    steering = build_steering(is_path_reliable=False)
    answer_others(steering, repeated=40, now=5)
    answer_others(steering)
    cookie = open_flow(steering)
    suspect(steering)
    assert send_copies(steering, cookie) == RESET


def test_repetition_at_an_endpoint_that_answers_others_is_a_loss():
    """Guards against a reset before the first repeated request is answered."""
    steering = build_steering()
    cookie = open_flow(steering)
    suspect(steering)
    for flow in (3, 4, 5):
        steer_packet(steering, build_packet(flow=flow), 10.0)
    steering.requests.answered_at[cookie] = 10.1
    for flow in (3, 4, 5):
        steer_packet(steering, build_packet(flow=flow, attempt=1), 10.2)
    assert isinstance(
        send_copies(steering, cookie, times=(10.3, 10.5, 10.9)), ForwardFlow
    )


def test_single_loss_does_not_keep_flows_of_a_silent_endpoint():
    """Guards against callers that wait for their deadline because the network
    lost one packet of another flow."""
    steering = build_steering(is_path_reliable=False)
    answer_others(steering, count=10, repeated=1)
    cookie = open_flow(steering)
    suspect(steering)
    assert send_copies(steering, cookie) == RESET
