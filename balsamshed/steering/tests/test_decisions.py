"""Tests of the steering decisions."""

from dataclasses import replace

from balsamshed.edge.tests.builders import (
    ADDRESS,
    LISTENER,
    PORT,
    always_zero,
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.views import handle_endpoints, handle_routes
from balsamshed.endpoints.directory import apply_view
from balsamshed.evacuations.state import apply_evacuations
from balsamshed.evacuations.view import EvacuationView
from balsamshed.limits.admission import ServiceLoad
from balsamshed.peers.table import PeerTable
from balsamshed.placement.cold_starts import update_fleet
from balsamshed.placement.in_flight import is_suspected
from balsamshed.routes.table import (
    Route,
    ServiceShare,
    create_route_table,
    make_listener_key,
)
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.options import ColdStartLimit, EdgeOptions
from balsamshed.steering.packets import (
    DropPacket,
    ForwardFlow,
    PacketKind,
    ResetFlow,
)
from balsamshed.steering.requests import record_opening
from balsamshed.steering.state import create_steering, is_ready, replace_routes

OTHER_LISTENER = make_listener_key(ADDRESS, 80)
FIRST = build_endpoint(1)
SECOND = build_endpoint(2)


def build_steering(*endpoints, table=None):
    steering = create_steering('a', 60, PeerTable('10.9.0.1'), always_zero)
    apply_view(steering.directory, build_view(1, *endpoints), 0)
    replace_routes(steering, table or build_table(1))
    return steering


def test_any_balancer_takes_a_packet_to_the_endpoint_in_its_cookie():
    """Guards against flows broken when the routers rehash them."""
    opener, other = build_steering(FIRST, SECOND), build_steering(FIRST, SECOND)
    effect = steer_packet(opener, build_packet(), 0)
    assert isinstance(effect, ForwardFlow)
    data = build_packet(PacketKind.DATA, cookie=effect.cookie)
    assert steer_packet(other, data, 1) == effect


def test_balancer_that_knows_nothing_resets_no_flow():
    """Guards against resets by a balancer that has just started."""
    steering = create_steering('a', 60, PeerTable('10.9.0.1'), always_zero)
    assert not is_ready(steering)
    for kind in PacketKind:
        effect = steer_packet(steering, build_packet(kind, cookie=9), 0)
        assert effect == DropPacket('not_ready')


def test_route_that_another_balancer_knows_already_is_not_reset():
    """Guards against resets while this balancer has an older version."""
    steering = build_steering(FIRST)
    data = build_packet(PacketKind.DATA, listener=1, cookie=FIRST.cookie)
    assert steer_packet(steering, data, 0) == DropPacket('unknown_route')
    opening = build_packet(listener=1)
    assert steer_packet(steering, opening, 0) == ResetFlow('no_route')


def test_flow_of_a_removed_route_is_reset_until_the_route_is_back():
    """Guards against forwarding on a route removed from the configuration."""
    steering = build_steering(FIRST)
    data = build_packet(PacketKind.DATA, cookie=FIRST.cookie)
    replace_routes(steering, build_table(2, p80='web'))
    assert steer_packet(steering, data, 0) == ResetFlow('route_removed')
    replace_routes(steering, build_table(3))
    assert isinstance(steer_packet(steering, data, 0), ForwardFlow)


def test_older_routes_are_not_put_in_force():
    """Guards against reverting to an older configuration."""
    steering = build_steering(FIRST, table=build_table(5, p80='web'))
    assert not replace_routes(steering, build_table(4))
    assert steer_packet(steering, build_packet(), 0) == ResetFlow('no_route')


def test_repeated_opening_goes_to_another_endpoint():
    """Guards against retransmissions to an endpoint that is down."""
    steering = build_steering(FIRST, SECOND)
    first = steer_packet(steering, build_packet(), 0)
    second = steer_packet(steering, build_packet(attempt=1), 0.2)
    assert {first.endpoint, second.endpoint} == {FIRST, SECOND}
    assert is_suspected(steering.load_tracker, first.endpoint.cookie, 0.2)


def test_opening_duplicated_by_the_network_stays_at_its_endpoint():
    """Guards against splitting a flow between two endpoints."""
    steering = build_steering(FIRST, SECOND)
    first = steer_packet(steering, build_packet(), 0)
    assert steer_packet(steering, build_packet(), 0.05) == first


def test_answered_opening_clears_the_suspicion():
    """Guards against avoiding an endpoint after a single lost packet."""
    steering = build_steering(FIRST)
    steer_packet(steering, build_packet(), 0)
    again = steer_packet(steering, build_packet(attempt=1), 0.2)
    assert again.endpoint == FIRST
    ack = build_packet(PacketKind.ACKNOWLEDGEMENT, cookie=FIRST.cookie)
    steer_packet(steering, ack, 0.21)
    assert not is_suspected(steering.load_tracker, FIRST.cookie, 0.21)


def test_opening_without_an_endpoint_is_refused_at_once():
    """Guards against callers that wait for a timeout without an endpoint."""
    steering = build_steering(build_endpoint(1, is_draining=True))
    assert steer_packet(steering, build_packet(), 0) == ResetFlow('no_endpoint')


def test_unknown_cookie_is_dropped_and_not_reset():
    """Guards against resets of live flows at endpoints not known here yet."""
    steering = build_steering(FIRST)
    data = build_packet(PacketKind.DATA, cookie=12345)
    assert steer_packet(steering, data, 0) == DropPacket('unknown_cookie')


def build_weighted_table(version, **weights):
    shares = tuple(
        ServiceShare(service, weight) for service, weight in weights.items()
    )
    route = Route('r', ADDRESS, PORT, shares, 1)
    return create_route_table(version, [route], weights)


def test_open_flow_survives_a_zero_weight_of_its_service():
    """Guards against open flows cut by a change of the weights."""
    other = build_endpoint(3, service='next')
    table = build_weighted_table(1, web=0, next=1)
    steering = build_steering(FIRST, other, table=table)
    data = build_packet(PacketKind.DATA, cookie=FIRST.cookie)
    assert steer_packet(steering, data, 0).endpoint == FIRST
    assert steer_packet(steering, build_packet(), 0).endpoint == other


def test_open_flow_survives_a_new_service_of_its_route():
    """Guards against open flows cut by a change of the route's service."""
    other = build_endpoint(3, service='next')
    steering = build_steering(FIRST, other)
    replace_routes(steering, build_table(2, p443='next'))
    data = build_packet(PacketKind.DATA, cookie=FIRST.cookie)
    assert steer_packet(steering, data, 0).endpoint == FIRST
    assert steer_packet(steering, build_packet(), 0).endpoint == other


def test_route_whose_weights_are_all_zero_is_refused():
    """Guards against an exception on a route that is switched off."""
    table = build_weighted_table(1, web=0)
    steering = build_steering(FIRST, table=table)
    assert steer_packet(steering, build_packet(), 0) == ResetFlow('no_endpoint')


def test_open_flow_reaches_its_endpoint_through_a_balancer_started_later():
    """Guards against dropped packets of open flows at a balancer that never
    saw the version under which they were opened."""
    other = build_endpoint(3, service='next')
    steering = build_steering(FIRST, other, table=build_table(2, p443='next'))
    data = build_packet(PacketKind.DATA, cookie=FIRST.cookie)
    assert steer_packet(steering, data, 0) == ForwardFlow(FIRST, FIRST.cookie)


def test_opening_does_not_follow_the_cookie_of_another_service():
    """Guards against new flows at a service to which no route sends them.

    A forged cookie on a later packet opens nothing: the endpoint resets
    packets of flows that it does not hold.
    """
    other = build_endpoint(3, service='files')
    table = build_table(1, p443='web', p80='files')
    steering = build_steering(FIRST, other, table=table)
    opening = build_packet(cookie=other.cookie)
    assert steer_packet(steering, opening, 0).endpoint == FIRST
    alone = build_steering(other, table=table)
    assert steer_packet(alone, opening, 0) == ResetFlow('no_endpoint')


def share_cookie(endpoint, other):
    """Return an endpoint whose ID leads to the cookie of another one."""
    object.__setattr__(endpoint, 'cookie', other.cookie)
    return endpoint


def test_cookie_of_endpoints_of_two_other_services_is_not_followed():
    """Guards against packets of one service reaching another service, whose
    endpoint would reset the flow."""
    files = build_endpoint(3, service='files')
    texts = share_cookie(build_endpoint(4, service='texts'), files)
    steering = build_steering(FIRST, files, texts)
    data = build_packet(PacketKind.DATA, cookie=files.cookie)
    assert steer_packet(steering, data, 0) == DropPacket('unknown_cookie')


def test_cookie_shared_with_another_service_stays_on_the_route():
    """Guards against packets of one service reaching another service where
    the cookie names an endpoint of each."""
    twin = share_cookie(build_endpoint(4, service='files'), FIRST)
    steering = build_steering(twin, FIRST)
    data = build_packet(PacketKind.DATA, cookie=FIRST.cookie)
    assert steer_packet(steering, data, 0).endpoint == FIRST


def evacuate(steering, *data_centres):
    revision = steering.evacuations.revision + 1
    view = EvacuationView(revision, dict.fromkeys(data_centres, revision))
    apply_evacuations(steering.evacuations, view)


def test_evacuated_data_centre_gets_no_opening_and_keeps_its_flows():
    """Guards against new flows in an evacuated data centre, and against open
    flows that are moved."""
    far = build_endpoint(3, data_centre='b')
    steering = build_steering(FIRST, far)
    evacuate(steering, 'a')
    for flow in range(2, 8):
        effect = steer_packet(steering, build_packet(flow=flow), 0)
        assert effect.endpoint == far
    data = build_packet(PacketKind.DATA, cookie=FIRST.cookie)
    assert steer_packet(steering, data, 0).endpoint == FIRST
    evacuate(steering)
    effect = steer_packet(steering, build_packet(flow=9), 0)
    assert effect.endpoint == FIRST


def test_repeated_opening_leaves_an_evacuated_data_centre():
    """Guards against copies of an opening that follow the first one into a
    data centre that is evacuated by then."""
    far = build_endpoint(3, data_centre='b')
    steering = build_steering(FIRST, far)
    assert steer_packet(steering, build_packet(), 0).endpoint == FIRST
    evacuate(steering, 'a')
    duplicate = steer_packet(steering, build_packet(), 0.05)
    assert duplicate.endpoint == far
    repeated = steer_packet(steering, build_packet(attempt=1), 0.3)
    assert repeated.endpoint == far


def test_opening_is_refused_at_once_if_all_data_centres_are_evacuated():
    """Guards against callers that wait while no endpoint may take them."""
    steering = build_steering(FIRST, build_endpoint(3, data_centre='b'))
    evacuate(steering, 'a', 'b')
    effect = steer_packet(steering, build_packet(), 0)
    assert effect == ResetFlow('data_centre_evacuated')
    assert not steering.requests.pending


def build_busy_steering():
    """Return a balancer whose only endpoint has had no free slot for long."""
    steering = build_steering(build_endpoint(1))
    table = build_table(2, p443='web', p80='web').routes
    routes = [
        replace(table[LISTENER], latency_goal_seconds=0.1, priority=2),
        replace(table[OTHER_LISTENER], latency_goal_seconds=0.1, priority=1),
    ]
    replace_routes(steering, create_route_table(2, routes, ['web']))
    load = steering.service_loads.setdefault('web', ServiceLoad())
    load.baseline.seconds = 0.02
    cookie = build_endpoint(1).cookie
    for number in range(20):
        flow_key = (100 + number).to_bytes(12, 'big')
        record_opening(steering.requests, flow_key, cookie, 0)
    for tenth in range(10):
        for flow, listener in enumerate((LISTENER, OTHER_LISTENER), start=200):
            packet = build_packet(flow=flow, listener=listener)
            steer_packet(steering, packet, tenth / 10)
    return steering


def test_overloaded_service_postpones_and_then_refuses_openings():
    """Guards against queues in which requests of all routes are late."""
    steering = build_busy_steering()
    postponed = steer_packet(steering, build_packet(flow=2), 1)
    assert isinstance(postponed, DropPacket)
    assert postponed.reason == 'waits_for_slot'
    last = build_packet(flow=2, attempt=2)
    refused = steer_packet(steering, last, 1.1)
    assert isinstance(refused, ResetFlow)
    assert refused.reason == 'overloaded'
    assert refused.load.expected_seconds > refused.load.latency_goal_seconds
    assert last.flow_key not in steering.requests.pending


def test_most_urgent_route_to_an_overloaded_service_is_admitted():
    """Guards against urgent requests that less urgent ones turn away."""
    steering = build_busy_steering()
    urgent = build_packet(flow=2, listener=OTHER_LISTENER, attempt=2)
    assert isinstance(steer_packet(steering, urgent, 1), ForwardFlow)


def test_load_of_services_without_routes_is_forgotten():
    """Guards against memory that grows with each new name of a service."""
    steering = build_busy_steering()
    replace_routes(steering, build_table(3, p443='files'))
    assert not steering.service_loads


def build_cold_steering(**endpoint_changes):
    """Return a balancer whose first endpoint is cold, with a part of five."""
    edge = build_edge(
        options=EdgeOptions(cold_start_limit=ColdStartLimit(1.5, 5))
    )
    handle_endpoints(
        edge, build_view(1, build_endpoint(1, warm_up_seconds=99)), 0
    )
    handle_routes(edge, build_table(1), 0)
    update_fleet(edge.steering.cold_starts, edge.peer_table, 0)
    update_fleet(edge.steering.cold_starts, edge.peer_table, 10)
    return edge


def test_openings_over_the_limit_of_a_cold_endpoint_wait_or_are_refused():
    """Guards against more openings than a cold endpoint bears."""
    edge = build_cold_steering()
    effects = [
        steer_packet(edge.steering, build_packet(flow=flow), 10)
        for flow in range(1, 7)
    ]
    assert all(isinstance(effect, ForwardFlow) for effect in effects[:5])
    assert effects[5] == DropPacket('waits_for_warm_up')
    late = build_packet(flow=9, attempt=2)
    refusal = steer_packet(edge.steering, late, 10)
    assert refusal == ResetFlow('endpoints_warming_up')
    assert edge.steering.cold_starts.openings_withheld == 2


def test_duplicates_of_an_opening_count_against_the_limit():
    """Guards against duplicated packets beyond the limit."""
    edge = build_cold_steering()
    packet = build_packet(flow=1)
    effects = [steer_packet(edge.steering, packet, 10) for _ in range(6)]
    assert sum(isinstance(effect, ForwardFlow) for effect in effects) == 5


def test_what_a_cold_endpoint_may_not_take_goes_to_others():
    """Guards against refusals while another endpoint is there."""
    edge = build_cold_steering()
    view = build_view(
        2, build_endpoint(1, warm_up_seconds=99), build_endpoint(2)
    )
    handle_endpoints(edge, view, 10)
    effects = [
        steer_packet(edge.steering, build_packet(flow=flow), 10)
        for flow in range(1, 40)
    ]
    assert all(isinstance(effect, ForwardFlow) for effect in effects)
    cold = build_endpoint(1).cookie
    assert sum(effect.cookie == cold for effect in effects) <= 5
