"""Tests of the exchange of the speeds of endpoints."""

from random import Random

import pytest

from balsamshed.edge.effects import LogEvent, SendSupplement
from balsamshed.edge.lifecycle import handle_tick
from balsamshed.edge.packets import handle_packet
from balsamshed.edge.peer_views import handle_report
from balsamshed.edge.speeds import handle_supplement
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.tests.test_views import read_store
from balsamshed.peers.report import EndpointReport, PeerReport
from balsamshed.peers.supplement import Supplement
from balsamshed.placement.speeds import SpeedReport
from balsamshed.steering.options import EdgeOptions
from balsamshed.steering.packets import ForwardFlow, PacketKind

OPTIONS = EdgeOptions(balances_by_speed=True)
ENDPOINTS = tuple(map(build_endpoint, range(1, 7)))
SLOW = ENDPOINTS[0]
PEER = '10.9.0.2'
REPORT = PeerReport('a', 1, 0.1, (), ())


def build_serving_edge(options=OPTIONS):
    edge = build_edge(options=options)
    read_store(edge, build_view(1, *ENDPOINTS), build_table(1), 0)
    return edge


def serve(edge, *, until, answers=True):
    """Let callers send one request at a time; return the effects of ticks."""
    effects, now, flow = [], 0.0, 0
    while now < until:
        flow += 1
        opening = handle_packet(edge, build_packet(flow=flow), now)
        assert isinstance(opening, ForwardFlow)
        cookie = opening.cookie
        data = build_packet(PacketKind.DATA, flow, cookie=cookie)
        handle_packet(edge, data, now + 0.002)
        is_slow = cookie == SLOW.cookie
        now += 0.06 if is_slow else 0.02
        if answers or not is_slow:
            acknowledgement = build_packet(
                PacketKind.ACKNOWLEDGEMENT,
                flow,
                cookie=cookie,
                acknowledged=600,
            )
            handle_packet(edge, acknowledgement, now)
        if now - edge.last_tick_at >= 0.1:
            handle_report(edge, PEER, REPORT, now)
            effects.extend(handle_tick(edge, now))
    return effects


def list_names(effects):
    return {effect.name for effect in effects if isinstance(effect, LogEvent)}


def list_supplements(effects):
    return [effect for effect in effects if isinstance(effect, SendSupplement)]


def vary(edge):
    edge.steering.randbelow = Random(1).randrange
    return edge


def test_slow_endpoint_is_found_logged_and_reported():
    """Guards against a balancer that learns the speeds but tells nobody."""
    edge = vary(build_serving_edge())
    effects = serve(edge, until=10)
    assert edge.steering.speeds.relative_durations[SLOW.cookie] > 1.5
    assert 'endpoint_slow' in list_names(effects)
    supplements = list_supplements(effects)
    assert {effect.host for effect in supplements} == {PEER}
    last = supplements[-1].supplement.speeds
    by_cookie = {report.cookie: report.octaves for report in last}
    assert by_cookie[SLOW.cookie] == max(by_cookie.values())


def test_endpoint_that_answers_nothing_is_slow():
    """Guards against an endpoint that looks equal to the others since none of
    its answers was ever measured."""
    edge = vary(build_serving_edge())
    serve(edge, until=15, answers=False)
    assert edge.steering.speeds.relative_durations[SLOW.cookie] > 1


def test_started_balancer_knows_slow_endpoints_before_its_first_view():
    """Guards against a herd of started balancers that load slow endpoints."""
    edge = build_edge(options=OPTIONS)
    reports = [SpeedReport(known.cookie, 0, 4) for known in ENDPOINTS[1:]]
    reports.append(SpeedReport(SLOW.cookie, 1.2, 4))
    for _ in range(3):
        handle_supplement(edge, Supplement(tuple(reports)), 0)
    read_store(edge, build_view(1, *ENDPOINTS), build_table(1), 0.1)
    effects = handle_tick(edge, 0.5)
    assert 'endpoint_slow' in list_names(effects)
    assert edge.steering.speeds.relative_durations[SLOW.cookie] > 1.5


@pytest.mark.parametrize(
    ('peer_requests', 'is_learned'), [(0, True), (9, False)]
)
def test_durations_at_busy_endpoints_are_not_learned(peer_requests, is_learned):
    """Guards against a queue that is taken for a slow endpoint."""
    edge = build_serving_edge()
    loads = tuple(
        EndpointReport(known.cookie, peer_requests, is_suspected=False)
        for known in ENDPOINTS
    )
    handle_report(edge, PEER, PeerReport('a', 1, 0.1, loads, ()), 0)
    serve(edge, until=0.01)
    assert bool(edge.steering.speeds.routes) is is_learned


def test_removed_endpoint_is_forgotten():
    """Guards against a new endpoint that inherits the speed of another."""
    edge = build_serving_edge()
    reports = (SpeedReport(SLOW.cookie, 1.2, 4),)
    handle_supplement(edge, Supplement(reports), 0)
    read_store(edge, build_view(2, *ENDPOINTS[1:]), build_table(1), 0.1)
    assert SLOW.cookie not in edge.steering.speeds.estimates


def test_balancer_without_the_part_sends_and_learns_nothing():
    """Guards against bytes and state of a part that is off."""
    edge = vary(build_serving_edge(EdgeOptions()))
    handle_supplement(edge, Supplement((SpeedReport(1, 1, 4),)), 0)
    effects = serve(edge, until=3)
    assert not list_supplements(effects)
    assert edge.steering.speeds is None
    assert not edge.supplements.new_peers
