"""Tests of how an edge balancer learns that an endpoint is warming up."""

from balsamshed.edge.effects import LogEvent
from balsamshed.edge.lifecycle import create_report, handle_tick
from balsamshed.edge.peer_views import (
    create_view_for_peer,
    handle_peer_view,
)
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_view,
)
from balsamshed.edge.views import handle_endpoints, handle_routes
from balsamshed.peers.report import PeerReport
from balsamshed.peers.table import add_peer_addresses, record_report
from balsamshed.routes.table import ServicePolicy, create_route_table
from balsamshed.steering.options import ColdStartLimit, EdgeOptions

OPTIONS = EdgeOptions(cold_start_limit=ColdStartLimit(1.5, 5))
FIRST = build_endpoint(1)
SECOND = build_endpoint(2)


def build_balancer(*endpoints, options=OPTIONS, rate=10.0):
    """Return a balancer with a first view; a warm-up takes two seconds."""
    edge = build_edge(options=options)
    policies = {'web': ServicePolicy(2.0, rate)}
    handle_endpoints(edge, build_view(1, *endpoints), 0)
    handle_routes(edge, create_route_table(1, (), {'web'}, policies), 0)
    return edge


def list_events(effects, name):
    """Return the events of one name."""
    return [
        effect
        for effect in effects
        if isinstance(effect, LogEvent) and effect.name == name
    ]


def test_endpoints_of_the_first_view_are_not_taken_for_new():
    """Guards against a balancer that starts and avoids all endpoints."""
    edge = build_balancer(FIRST)
    assert not edge.steering.cold_starts.until


def test_new_endpoint_is_cold_for_the_warm_up_of_its_service():
    """Guards against trust in an entry written late in the warm-up."""
    edge = build_balancer(FIRST)
    new = build_endpoint(2, warm_up_seconds=0.5)
    effects = handle_endpoints(edge, build_view(2, FIRST, new), 10)
    cold_starts = edge.steering.cold_starts
    assert cold_starts.until == {new.cookie: 12}
    assert cold_starts.bounds == {new.cookie: 20}
    (event,) = list_events(effects, 'endpoint_cold')
    assert event.fields['openings_per_second'] == 20
    assert not list_events(handle_tick(edge, 11.9), 'endpoint_warm')
    assert list_events(handle_tick(edge, 12), 'endpoint_warm')


def test_restart_under_the_same_id_is_cold():
    """Guards against an endpoint that restarts within its entry's lifetime."""
    edge = build_balancer(FIRST)
    restarted = build_endpoint(1, started_at_ms=2)
    handle_endpoints(edge, build_view(2, restarted), 10)
    assert edge.steering.cold_starts.until == {FIRST.cookie: 12}


def test_entry_that_becomes_cold_without_a_restart_is_limited():
    """Guards against endpoints that return cold from an evacuation."""
    edge = build_balancer(FIRST)
    cold = build_endpoint(1, warm_up_seconds=1.5, sequence=9)
    handle_endpoints(edge, build_view(2, cold), 10)
    assert edge.steering.cold_starts.until == {FIRST.cookie: 11.5}


def test_same_entry_in_later_views_extends_no_warm_up():
    """Guards against an endpoint that stays limited by an old entry."""
    cold = build_endpoint(1, warm_up_seconds=1.5)
    edge = build_balancer(cold)
    handle_endpoints(edge, build_view(2, cold, SECOND), 1)
    assert edge.steering.cold_starts.until[FIRST.cookie] == 1.5


def test_new_routes_change_the_limits_of_cold_endpoints():
    """Guards against the rate of an earlier version of the configuration."""
    edge = build_balancer(build_endpoint(1, warm_up_seconds=9))
    assert edge.steering.cold_starts.bounds == {FIRST.cookie: 20}
    handle_routes(edge, create_route_table(2, (), {'web'}), 1)
    assert edge.steering.cold_starts.bounds == {FIRST.cookie: 5}


def test_reports_share_silent_addresses_only_with_the_limit():
    """Guards against other bytes in reports while the part is off."""
    for options, shared in ((OPTIONS, ('10.9.0.2',)), (EdgeOptions(), ())):
        edge = build_balancer(FIRST, options=options)
        add_peer_addresses(edge.peer_table, ['10.9.0.3'], 0)
        report = PeerReport('a', 1, 0, (), ())
        record_report(edge.peer_table, '10.9.0.2', report, 0)
        handle_tick(edge, 5)
        assert create_report(edge, 5).peers == shared


def test_without_the_option_nothing_is_limited():
    """Guards against a part that is on although its option is off."""
    edge = build_balancer(FIRST, options=EdgeOptions())
    handle_endpoints(edge, build_view(2, build_endpoint(2)), 1)
    assert edge.steering.cold_starts is None


def test_peers_learn_that_a_running_endpoint_has_become_cold():
    """Guards against a return from an evacuation that only readers know."""
    reader, peer = build_balancer(FIRST), build_balancer(FIRST)
    cold = build_endpoint(1, warm_up_seconds=1.5, sequence=9)
    handle_endpoints(reader, build_view(2, cold), 10)
    reader.reads.revision = 2
    handle_peer_view(peer, create_view_for_peer(reader, 1, 1), 10)
    assert peer.steering.cold_starts.until == {FIRST.cookie: 11.5}
