"""Tests of evacuations in an edge balancer."""

from dataclasses import replace

from balsamshed.edge.effects import LogEvent, ReadSource
from balsamshed.edge.evacuations import (
    apply_known_evacuations,
    handle_evacuations,
    handle_unreadable_evacuations,
    is_evacuation_read_due,
)
from balsamshed.edge.lifecycle import handle_tick
from balsamshed.edge.peer_views import create_view_for_peer, handle_peer_view
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.edge.views import (
    handle_endpoints,
    handle_read_failed,
    handle_revision,
    handle_routes,
)
from balsamshed.endpoints.directory import EndpointView
from balsamshed.evacuations.view import EvacuationView
from balsamshed.peers.view import StoreView
from balsamshed.routes.table import ServicePolicy
from balsamshed.steering.options import ColdStartLimit, EdgeOptions
from balsamshed.store.polling import READ_INTERVAL_SECONDS, Source

OPTIONS = EdgeOptions(follows_evacuations=True)
EVACUATED = {'b': 5}


def build_following_edge(**changes):
    return build_edge(options=OPTIONS, **changes)


def list_reads(effects):
    return [effect.source for effect in effects if type(effect) is ReadSource]


def list_events(effects):
    return [effect.name for effect in effects if type(effect) is LogEvent]


def start_with_view(edge, revision, now=0):
    """Let a balancer read its first view, without evacuations."""
    handle_tick(edge, now)
    handle_evacuations(edge, EvacuationView(revision), now)
    handle_endpoints(edge, build_view(revision, build_endpoint(1)), now)
    handle_routes(edge, build_table(1), now, revision)
    assert edge.reads.revision == revision


def test_first_read_begins_with_evacuations():
    """Guards against openings to an evacuated data centre right after a
    start."""
    edge = build_following_edge()
    effects = handle_tick(edge, 0)
    assert ReadSource(Source.EVACUATIONS, may_be_stale=True) in effects
    effects = handle_evacuations(edge, EvacuationView(5, EVACUATED), 0.1)
    assert list_events(effects) == ['evacuation_begun']
    assert ReadSource(Source.ENDPOINTS, may_be_stale=True) in effects


def test_poll_reads_evacuations_in_place_of_the_revision():
    """Guards against a further call of the store in each poll."""
    edge = build_following_edge()
    start_with_view(edge, 3)
    assert list_reads(handle_tick(edge, 5)) == [Source.EVACUATIONS]
    assert not list_reads(handle_evacuations(edge, EvacuationView(3), 5))
    assert edge.reads.started_at is None
    assert edge.reads.confirmed_at == 5


def test_removal_beside_that_of_an_endpoint_is_noticed():
    """Guards against an evacuation that goes on, since the removal of another
    entry seemed to account for the new revision."""
    edge = build_following_edge()
    start_with_view(edge, 5)
    handle_tick(edge, 5)
    handle_evacuations(edge, EvacuationView(6, {'b': 6}), 5)
    handle_endpoints(edge, build_view(6, build_endpoint(1)), 5)
    handle_routes(edge, build_table(1), 5, 6)
    handle_tick(edge, 7)
    effects = handle_evacuations(edge, EvacuationView(8), 7)
    assert list_events(effects) == ['evacuation_ended']
    assert not edge.steering.evacuations.in_force


def test_evacuation_between_two_calls_of_a_read_is_not_skipped():
    """Guards against a balancer that reports a revision whose evacuations it
    has not read."""
    edge = build_following_edge()
    start_with_view(edge, 3)
    handle_tick(edge, 5)
    handle_evacuations(edge, EvacuationView(4), 5)
    # The evacuation was written at revision 5, after the list was read.
    handle_endpoints(edge, build_view(5, build_endpoint(1)), 5)
    handle_routes(edge, build_table(1), 5, 5)
    assert edge.reads.revision == 4
    assert create_view_for_peer(edge).endpoints.revision == 4


def test_change_of_an_endpoint_within_a_read_costs_no_second_read():
    """Guards against reads of the store in which balancers that wait too long
    for a slow one all join, since changes of endpoints seemed to hide others.
    """
    edge = build_following_edge()
    start_with_view(edge, 3)
    handle_tick(edge, 5)
    handle_evacuations(edge, EvacuationView(4), 5)
    view = EndpointView(
        5,
        (build_endpoint(1), build_endpoint(2)),
        5,
        frozenset((4, 5)),
    )
    assert not list_reads(handle_endpoints(edge, view, 5))
    assert edge.reads.revision == 5
    assert create_view_for_peer(edge).evacuations.revision == 5


def test_removal_of_an_endpoint_does_not_explain_that_of_an_evacuation():
    """Guards against a balancer that keeps an evacuation whose entry was
    removed together with that of an endpoint, between the calls of a read."""
    edge = build_following_edge()
    start_with_view(edge, 3)
    handle_tick(edge, 5)
    handle_evacuations(edge, EvacuationView(4), 5)
    # The endpoint was removed at revision 4, the evacuation at revision 5.
    effects = handle_endpoints(edge, build_view(5), 5)
    assert list_reads(effects) == [Source.ROUTES]
    handle_routes(edge, build_table(1), 5, 5)
    assert edge.reads.revision == 4


def test_peer_view_brings_evacuations():
    """Guards against a balancer that starts while the store is down and sends
    openings to an evacuated data centre."""
    holder = build_following_edge(host='10.9.0.2')
    start_with_view(holder, 3)
    handle_tick(holder, 5)
    handle_evacuations(holder, EvacuationView(5, EVACUATED), 5)
    handle_endpoints(holder, build_view(5, build_endpoint(1)), 5)
    handle_routes(holder, build_table(1), 5, 5)
    edge = build_following_edge(now=6)
    handle_tick(edge, 6)
    handle_read_failed(edge, Source.EVACUATIONS, 'timed_out', 6.1)
    handle_peer_view(edge, create_view_for_peer(holder), 6.2)
    assert edge.steering.evacuations.in_force == {'b'}
    assert not is_evacuation_read_due(edge, 60)
    older = StoreView(build_view(4), None, EvacuationView(4))
    handle_peer_view(edge, older, 6.3)
    assert edge.steering.evacuations.in_force == {'b'}


def test_view_of_an_older_build_is_completed_from_the_store():
    """Guards against a balancer that takes evacuations as absent, since its
    peers do not know them during a rolling update."""
    edge = build_following_edge()
    start_with_view(edge, 3)
    handle_peer_view(edge, StoreView(build_view(5), None), 0.2)
    assert edge.reads.revision == 5
    assert not is_evacuation_read_due(edge, 0.3)
    assert is_evacuation_read_due(edge, READ_INTERVAL_SECONDS)
    assert list_reads(handle_tick(edge, READ_INTERVAL_SECONDS)) == [
        Source.EVACUATIONS
    ]
    handle_evacuations(edge, EvacuationView(5, EVACUATED), 1)
    assert edge.steering.evacuations.in_force == {'b'}
    assert not is_evacuation_read_due(edge, 60)


def test_returned_endpoints_are_limited_as_cold_ones():
    """Guards against all openings that go to a data centre right after its
    return, where the endpoints have become cold without load."""
    options = EdgeOptions(True, cold_start_limit=ColdStartLimit(1.5, 5))
    edge = build_edge(options=options)
    start_with_view(edge, 3)
    policies = {'web': ServicePolicy(warm_up_seconds=2)}
    edge.steering.routes = replace(edge.steering.routes, policies=policies)
    evacuated = EvacuationView(4, {'a': 4})
    apply_known_evacuations(edge, evacuated, 5)
    effects = apply_known_evacuations(edge, EvacuationView(5), 9)
    assert list_events(effects) == ['evacuation_ended', 'endpoint_cold']
    cookie = build_endpoint(1).cookie
    assert edge.steering.cold_starts.until[cookie] == 11


def test_list_that_cannot_be_read_stops_no_other_change():
    """Guards against one bad entry that keeps a balancer from drains and
    routes, or makes it read the store without a pause."""
    edge = build_following_edge()
    start_with_view(edge, 3)
    handle_tick(edge, 5)
    effects = handle_unreadable_evacuations(edge)
    assert effects == [ReadSource(Source.REVISION)]
    assert handle_revision(edge, 4) == [ReadSource(Source.ENDPOINTS)]
    handle_endpoints(edge, build_view(4, build_endpoint(2)), 5)
    handle_routes(edge, build_table(2), 5, 4)
    assert edge.reads.revision == 4
    assert not is_evacuation_read_due(edge, 60)


def test_balancer_without_the_option_reads_and_sends_as_before():
    """Guards against calls or bytes of a part that is off."""
    edge = build_edge()
    assert list_reads(handle_tick(edge, 0)) == [Source.ENDPOINTS]
    handle_endpoints(edge, build_view(3, build_endpoint(1)), 0)
    handle_routes(edge, build_table(1), 0, 3)
    assert list_reads(handle_tick(edge, 5)) == [Source.REVISION]
    view = StoreView(build_view(5), None, EvacuationView(5, EVACUATED))
    handle_peer_view(edge, view, 5)
    assert not edge.steering.evacuations.in_force
    assert create_view_for_peer(edge).evacuations is None
    assert not is_evacuation_read_due(edge, 60)
