"""Tests of the explanation of a placement."""

from copy import deepcopy
from dataclasses import replace

from balsamshed.edge.evacuations import apply_known_evacuations
from balsamshed.edge.placements import UnknownName, explain_placement
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.views import handle_endpoints, handle_routes
from balsamshed.evacuations.view import EvacuationView
from balsamshed.limits.hedging import MIN_DELAY_SECONDS
from balsamshed.placement.in_flight import record_unanswered_packet
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.options import (
    ColdStartLimit,
    EdgeOptions,
    HedgeLimit,
)

ROUTE = 'p443'
NOW = 1.0
OPTIONS = EdgeOptions(
    follows_evacuations=True,
    cold_start_limit=ColdStartLimit(1.5, 5),
    balances_by_speed=True,
    balances_data_centres=True,
    limits_admission=True,
    hedge_limit=HedgeLimit(0.1, 2),
)


def build_serving_edge(*endpoints, options=OPTIONS):
    edge = build_edge(options=options)
    edge.reads.started_at = 0
    handle_endpoints(edge, build_view(1, *endpoints), 0)
    handle_routes(edge, build_table(1), 0, 1)
    return edge


def test_explanation_names_the_endpoint_that_a_flow_gets():
    """Guards against an explanation by rules other than those in force."""
    busy, idle = build_endpoint(1), build_endpoint(2)
    edge = build_serving_edge(busy, idle)
    edge.peer_table.in_flight[busy.cookie] = 3
    found = explain_placement(edge, ROUTE, '', NOW)
    effect = steer_packet(edge.steering, build_packet(), NOW)
    assert found.decision == 'forwarded'
    assert found.endpoint == f'{effect.endpoint.instance:x}'
    assert [row.endpoint for row in found.candidates] == ['1002', '1001']
    assert [row.peer_requests for row in found.candidates] == [0, 3]


def test_explanation_changes_nothing():
    """Guards against an explanation that counts as a flow, uses up a limit or
    makes a service look loaded."""
    edge = build_serving_edge(build_endpoint(1, warm_up_seconds=9))
    before = deepcopy(edge)
    for data_centre in ('', 'a'):
        explain_placement(edge, ROUTE, data_centre, NOW)
    assert edge == before


def test_exclusions_are_named():
    """Guards against endpoints that get nothing without a visible reason."""
    silent = build_endpoint(3)
    edge = build_serving_edge(
        build_endpoint(1, is_draining=True),
        build_endpoint(2, data_centre='b'),
        silent,
        build_endpoint(4, warm_up_seconds=9),
        build_endpoint(5),
    )
    apply_known_evacuations(edge, EvacuationView(2, {'b': 2}), 0)
    tracker = edge.steering.load_tracker
    record_unanswered_packet(tracker, silent.cookie, b'flow', NOW)
    found = explain_placement(edge, ROUTE, '', NOW)
    assert {row.endpoint: row.excluded_by for row in found.candidates} == {
        '1001': 'draining',
        '1002': 'evacuated',
        '1003': 'suspected',
        '1004': 'warming_up',
        '1005': '',
    }
    assert found.candidates[0].endpoint == found.endpoint == '1005'


def test_refusal_gives_its_reason():
    """Guards against a refused caller whose operator sees no cause."""
    edge = build_serving_edge(build_endpoint(1, data_centre='b'))
    apply_known_evacuations(edge, EvacuationView(2, {'b': 2}), 0)
    found = explain_placement(edge, ROUTE, '', NOW)
    assert (found.decision, found.reason) == (
        'refused',
        'data_centre_evacuated',
    )


def test_another_data_centre_prefers_its_own_endpoints():
    """Guards against an explanation for the wrong balancer."""
    near, far = build_endpoint(1), build_endpoint(2, data_centre='b')
    edge = build_serving_edge(near, far)
    assert explain_placement(edge, ROUTE, '', NOW).endpoint == '1001'
    assert explain_placement(edge, ROUTE, 'b', NOW).endpoint == '1002'


def test_hedge_is_shown_for_idempotent_routes_only():
    """Guards against an operator who expects hedges that are never sent."""
    edge = build_serving_edge(build_endpoint(1))
    edge.steering.hedging.delay_seconds = MIN_DELAY_SECONDS
    assert explain_placement(edge, ROUTE, '', NOW).hedged_after_seconds is None
    routes = edge.steering.routes.routes
    for listener, route in routes.items():
        routes[listener] = replace(route, is_idempotent=True)
    found = explain_placement(edge, ROUTE, '', NOW)
    assert found.hedged_after_seconds == MIN_DELAY_SECONDS


def test_unknown_names_are_told_with_the_known_ones():
    """Guards against a misspelt name that reads as a refusal."""
    edge = build_serving_edge(build_endpoint(1, data_centre='b'))
    assert explain_placement(edge, 'p80', '', NOW) == UnknownName(
        'route', 'p80', (ROUTE,)
    )
    assert explain_placement(edge, ROUTE, 'c', NOW) == UnknownName(
        'data centre', 'c', ('a', 'b')
    )
