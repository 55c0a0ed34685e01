"""Tests of flows that leave their data centre."""

from random import Random

from balsamshed.edge.effects import LogEvent
from balsamshed.edge.lifecycle import handle_tick
from balsamshed.edge.packets import handle_packet
from balsamshed.edge.peer_views import handle_report
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.tests.test_views import read_store
from balsamshed.evacuations.state import apply_evacuations
from balsamshed.evacuations.view import EvacuationView
from balsamshed.peers.report import EndpointReport, PeerReport
from balsamshed.steering.options import EdgeOptions
from balsamshed.steering.state import replace_routes

NEAR = tuple(map(build_endpoint, range(1, 4)))
FAR = tuple(build_endpoint(number, data_centre='b') for number in range(4, 7))
NEAR_PEER, FAR_PEER = '10.9.0.2', '10.9.0.3'


def build_serving_edge():
    options = EdgeOptions(balances_data_centres=True)
    edge = build_edge(options=options)
    edge.steering.randbelow = Random(1).randrange
    read_store(edge, build_view(1, *NEAR, *FAR), build_table(1), 0)
    return edge


def report(edge, host, data_centre, endpoints, requests, now):
    loads = tuple(
        EndpointReport(endpoint.cookie, requests, is_suspected=False)
        for endpoint in endpoints
    )
    peer_report = PeerReport(data_centre, 1, 0.1, loads, ())
    handle_report(edge, host, peer_report, now)


def open_flows(edge, now, amount=5):
    effects = [
        handle_packet(edge, build_packet(flow=int(now * 1000) + number), now)
        for number in range(amount)
    ]
    return [effect.endpoint.data_centre for effect in effects]


def test_excess_leaves_until_the_other_side_is_cut_off():
    """Guards against flows sent across a cut to endpoints that seem idle since
    nobody reports their load any more."""
    edge = build_serving_edge()
    report(edge, NEAR_PEER, 'a', NEAR, 9, 0)
    report(edge, FAR_PEER, 'b', FAR, 0, 0)
    assert 'b' in open_flows(edge, 0)
    for tick in range(1, 16):
        report(edge, NEAR_PEER, 'a', NEAR, 9, tick / 10)
        handle_tick(edge, tick / 10)
    assert set(open_flows(edge, 1.6)) == {'a'}
    report(edge, FAR_PEER, 'b', FAR, 0, 1.7)
    assert 'b' in open_flows(edge, 1.7)


def test_busy_data_centre_is_logged():
    """Guards against flows in other data centres that no log explains."""
    edge = build_serving_edge()
    report(edge, NEAR_PEER, 'a', NEAR, 9, 0)
    open_flows(edge, 0)
    effects = handle_tick(edge, 0.1)
    (event,) = [
        effect
        for effect in effects
        if isinstance(effect, LogEvent) and effect.name == 'data_centre_busy'
    ]
    assert event.fields['service'] == 'web'
    assert event.fields['requests_per_slot_a'] > 4


def test_excess_does_not_leave_for_an_evacuated_data_centre():
    """Guards against room that is counted at endpoints without new flows."""
    edge = build_serving_edge()
    report(edge, NEAR_PEER, 'a', NEAR, 9, 0)
    report(edge, FAR_PEER, 'b', FAR, 0, 0)
    assert 'b' in open_flows(edge, 0)
    view = EvacuationView(1, {'b': 1})
    apply_evacuations(edge.steering.evacuations, view)
    assert set(open_flows(edge, 0.01)) == {'a'}


def test_spread_of_a_removed_service_is_forgotten():
    """Guards against spreads that pile up as services come and go."""
    edge = build_serving_edge()
    open_flows(edge, 0)
    assert edge.steering.spreads
    replace_routes(edge.steering, build_table(2, p443='other'))
    assert not edge.steering.spreads
