"""Tests of the limit of admission on the packet path."""

from balsamshed.edge.explanations import explain_refusal
from balsamshed.edge.state import create_edge
from balsamshed.edge.tests.builders import (
    LISTENER,
    always_zero,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.endpoints.directory import apply_view
from balsamshed.peers.table import PeerTable
from balsamshed.placement.in_flight import record_unanswered_packet
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.options import EdgeOptions
from balsamshed.steering.overload import (
    count_held_requests,
    learn_from_answer,
    learn_from_silence,
    list_limited_services,
    sample_candidates,
)
from balsamshed.steering.packets import ForwardFlow, LimitedLoad, ResetFlow
from balsamshed.steering.requests import end_request, record_opening
from balsamshed.steering.state import create_steering, replace_routes

ENDPOINTS = tuple(build_endpoint(number) for number in range(1, 6))
NOW = 100.0


def build_steering():
    steering = create_steering(
        'a',
        60,
        PeerTable('10.9.0.1'),
        always_zero,
        EdgeOptions(limits_admission=True),
    )
    apply_view(steering.directory, build_view(1, *ENDPOINTS), 0)
    replace_routes(steering, build_table(1, p443='web'))
    for number in range(30):
        flow_key = (100 + number).to_bytes(12, 'big')
        cookie = ENDPOINTS[number % 5].cookie
        record_opening(steering.requests, flow_key, cookie, NOW, LISTENER)
    return steering


def answer(steering, seconds):
    route = steering.routes.routes[LISTENER]
    learn_from_answer(steering.overload, 'web', seconds, 600, route, NOW)


def build_overloaded_steering():
    """Return a balancer whose limit has fallen below what is in flight."""
    steering = build_steering()
    for seconds in (0.02,) * 10 + (0.2,) * 10:
        answer(steering, seconds)
    learn_from_silence(steering.overload, 'web', NOW)
    return steering


def test_unanswered_openings_limit_nothing_while_no_requests_queue():
    """Guards against refusals because single endpoints are down."""
    steering = build_steering()
    for _ in range(20):
        answer(steering, 0.02)
    learn_from_silence(steering.overload, 'web', NOW)
    assert not list_limited_services(steering.overload)
    effect = steer_packet(steering, build_packet(), NOW)
    assert isinstance(effect, ForwardFlow)


def test_opening_over_the_limit_is_reset_and_explained():
    """Guards against refused callers that wait, and against silent refusals."""
    steering = build_overloaded_steering()
    assert list_limited_services(steering.overload) == ['web']
    for number in range(20):
        effect = steer_packet(steering, build_packet(flow=number + 1), NOW)
    assert isinstance(effect, ResetFlow)
    assert effect.reason == 'over_limit'
    assert effect.load.in_flight >= effect.load.limit
    assert steering.overload.counts['opening_refused_priority_0']


def test_requests_at_a_silent_endpoint_are_not_counted():
    """Guards against a limit that is used up by requests that are lost."""
    steering = build_overloaded_steering()
    cookie = ENDPOINTS[0].cookie
    assert count_held_requests(steering.overload, 'web') == 30
    record_unanswered_packet(steering.load_tracker, cookie, b'flow', NOW)
    assert count_held_requests(steering.overload, 'web') == 24
    apply_view(steering.directory, build_view(2, *ENDPOINTS[2:]), NOW)
    assert count_held_requests(steering.overload, 'web') == 18


def test_overloaded_service_gets_few_random_candidates():
    """Guards against all balancers choosing the same idle endpoint."""
    calm, busy = build_steering(), build_overloaded_steering()
    for steering, amount in ((calm, 5), (busy, 2)):
        candidates = sample_candidates(
            steering.overload, 'web', ENDPOINTS, None, always_zero, NOW
        )
        assert len({endpoint.cookie for endpoint in candidates}) == amount


def test_candidates_are_usable_while_some_are():
    """Guards against openings to endpoints that leave them unanswered."""
    steering = build_overloaded_steering()
    for endpoint in ENDPOINTS[1:3]:
        record_unanswered_packet(
            steering.load_tracker, endpoint.cookie, b'flow', NOW
        )
    candidates = sample_candidates(
        steering.overload,
        'web',
        ENDPOINTS,
        ENDPOINTS[0].cookie,
        always_zero,
        NOW,
    )
    assert set(candidates) == set(ENDPOINTS[3:])


def test_counts_by_listener_follow_the_requests():
    """Guards against a limit on requests that have ended."""
    steering = build_steering()
    assert steering.requests.listener_counts == {LISTENER: 30}
    for flow_key in tuple(steering.requests.pending):
        end_request(steering.requests, flow_key)
    assert not steering.requests.listener_counts


def test_limits_of_removed_services_are_forgotten():
    """Guards against memory that grows with each new name of a service."""
    steering = build_overloaded_steering()
    replace_routes(steering, build_table(2, p443='files'))
    assert not steering.overload.limits


def test_refusal_by_the_limit_is_explained():
    """Guards against log lines that do not say why a caller was refused."""
    options = EdgeOptions(limits_admission=True)
    edge = create_edge('a', '10.9.0.1', 60, 6, False, always_zero, 0, options)
    refusal = ResetFlow('over_limit', LimitedLoad('web', 1, 3.2, 2.5, 0.1))
    fields = explain_refusal(edge, build_packet(), 'flow', refusal, 1)
    assert fields['service'] == 'web'
    assert fields['in_flight'] > fields['limit']
