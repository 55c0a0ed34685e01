"""Tests of updates from views of the store and of peers."""

from dataclasses import replace

from balsamshed.edge.effects import (
    AcceptPackets,
    DiscardPackets,
    FetchView,
    LogEvent,
    ReadSource,
)
from balsamshed.edge.lifecycle import handle_tick
from balsamshed.edge.peer_views import (
    create_view_for_peer,
    handle_peer_view,
    handle_report,
)
from balsamshed.edge.state import accepts_traffic
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.edge.views import (
    apply_routes,
    handle_endpoints,
    handle_read_failed,
    handle_revision,
    handle_routes,
)
from balsamshed.endpoints.digests import calculate_digest
from balsamshed.endpoints.directory import list_available_endpoints
from balsamshed.endpoints.history import EndpointChanges
from balsamshed.peers.report import PeerReport
from balsamshed.peers.view import StoreView
from balsamshed.store.polling import Source, get_view_age, start_read

#: Report of a peer that confirms revision 1.
REPORT_OF_A_READ = PeerReport('a', 1, 0.1, (), (), read_number=7)


def read_store(edge, view, table, now):
    start_read(edge.reads, now)
    # Treated as a confirmed read: most tests do not cover the start.
    edge.reads.may_be_stale = False
    effects = handle_endpoints(edge, view, now)
    if ReadSource(Source.ROUTES) in effects:
        handle_routes(edge, table, now)


def list_events(effects):
    return [effect.name for effect in effects if isinstance(effect, LogEvent)]


def list_fetches(effects):
    return [effect.host for effect in effects if isinstance(effect, FetchView)]


def tick_and_report(edge, host, report, now):
    edge.last_tick_at = now
    return handle_report(edge, host, report, now)


def test_balancer_is_ready_once_it_knows_routes_and_endpoints():
    """Guards against traffic for a balancer without routes or endpoints."""
    edge = build_edge()
    start_read(edge.reads, 0)
    handle_endpoints(edge, build_view(1, build_endpoint(1)), 0)
    assert not accepts_traffic(edge)
    assert 'ready' in list_events(handle_routes(edge, build_table(1), 0))
    assert accepts_traffic(edge)


def test_balancer_stays_ready_when_every_endpoint_leaves():
    """Guards against open flows cut because no endpoint takes new ones."""
    edge = build_edge()
    read_store(edge, build_view(1, build_endpoint(1)), build_table(1), 0)
    draining = build_endpoint(1, is_draining=True)
    read_store(edge, build_view(2, draining), build_table(1), 1)
    assert accepts_traffic(edge)


def test_balancer_without_endpoints_is_not_ready():
    """Guards against callers refused by a balancer without endpoints."""
    edge = build_edge()
    read_store(edge, build_view(1), build_table(1), 0)
    assert not accepts_traffic(edge)


def test_newer_view_is_fetched_from_a_peer_once():
    """Guards against a group in which every balancer reads every change."""
    edge = build_edge()
    read_store(edge, build_view(1, build_endpoint(1)), build_table(1), 0)
    report = PeerReport('a', 2, 0.1, (), ())
    assert list_fetches(tick_and_report(edge, '10.9.0.2', report, 1)) == [
        '10.9.0.2'
    ]
    assert list_fetches(tick_and_report(edge, '10.9.0.3', report, 1)) == []
    draining = build_endpoint(1, is_draining=True)
    handle_peer_view(
        edge, StoreView(build_view(2, draining), build_table(2)), 1.1
    )
    assert list_available_endpoints(edge.steering.directory, 'web') == ()
    assert edge.steering.routes.version == 2
    assert create_view_for_peer(edge).endpoints.revision == 2


def test_failed_fetch_is_retried():
    """Guards against a balancer that waits for a dead peer forever."""
    edge = build_edge()
    read_store(edge, build_view(1, build_endpoint(1)), build_table(1), 0)
    report = PeerReport('a', 2, 0.1, (), ())
    tick_and_report(edge, '10.9.0.2', report, 1)
    handle_read_failed(edge, Source.PEER_VIEW, 'timed_out', 1.5)
    assert list_fetches(tick_and_report(edge, '10.9.0.2', report, 1.6))


def test_failed_fetches_are_retried_with_backoff():
    """Guards against a fetch at every report after a failure. After the loss
    of 302 balancers, so many fetches of whole views ran at once that none was
    complete in time."""
    edge = build_edge()
    read_store(edge, build_view(1, build_endpoint(1)), build_table(1), 0)
    report = PeerReport('a', 2, 0.1, (), ())
    fetches, now = [], 1.0
    while now < 9:
        if list_fetches(tick_and_report(edge, '10.9.0.2', report, now)):
            fetches.append(now)
            handle_read_failed(edge, Source.PEER_VIEW, 'timed_out', now)
        now += 0.02
    assert len(fetches) < 40
    assert fetches[1] - fetches[0] < 0.1
    view = StoreView(build_view(3, build_endpoint(1)), None)
    handle_peer_view(edge, view, now)
    assert edge.fetch_failures == 0


def test_peer_view_that_is_older_changes_nothing():
    """Guards against a configuration or a drain that is reverted."""
    edge = build_edge()
    draining = build_endpoint(1, is_draining=True)
    read_store(edge, build_view(5, draining), build_table(5), 0)
    older = StoreView(build_view(4, build_endpoint(1)), build_table(4))
    handle_peer_view(edge, older, 1)
    assert list_available_endpoints(edge.steering.directory, 'web') == ()
    assert edge.steering.routes.version == 5


def test_newer_routes_are_fetched_at_the_same_revision():
    """Guards against a version that stays behind on a balancer that started
    from an older copy of the store, although its peers have a newer one."""
    edge = build_edge()
    read_store(edge, build_view(5, build_endpoint(1)), build_table(5), 0)
    report = PeerReport('a', 5, 0.1, (), (), version=6, read_number=7)
    assert list_fetches(tick_and_report(edge, '10.9.0.2', report, 1))
    # A view with older routes is not confirmed.
    assert get_view_age(edge.reads, 1) == 1
    newer = StoreView(EndpointChanges(5, 5, (), ()), build_table(6))
    handle_peer_view(edge, newer, 1.1)
    assert edge.steering.routes.version == 6
    tick_and_report(edge, '10.9.0.2', report, 1.2)
    assert get_view_age(edge.reads, 1.2) < 0.2


def test_fetch_without_news_is_repeated_with_backoff():
    """Guards against a fetch at every report of a peer that has restarted."""
    edge = build_edge()
    read_store(edge, build_view(5, build_endpoint(1)), build_table(5), 0)
    report = PeerReport('a', 5, 0.1, (), (), version=6)
    tick_and_report(edge, '10.9.0.2', report, 1)
    older = StoreView(build_view(4), None)
    handle_peer_view(edge, older, 1)
    assert not list_fetches(tick_and_report(edge, '10.9.0.2', report, 1))
    assert list_fetches(tick_and_report(edge, '10.9.0.2', report, 2))


def test_report_queued_during_a_pause_confirms_nothing():
    """Guards against a view age that lacks the length of the pause."""
    edge = build_edge()
    read_store(edge, build_view(1, build_endpoint(1)), build_table(1), 0)
    edge.stale_reports_until = 10
    tick_and_report(edge, '10.9.0.2', REPORT_OF_A_READ, 9)
    assert get_view_age(edge.reads, 9) == 9
    tick_and_report(edge, '10.9.0.2', REPORT_OF_A_READ, 10)
    assert get_view_age(edge.reads, 10) < 0.2


def test_report_read_before_the_first_tick_after_a_pause_confirms_nothing():
    """Guards against an undetected pause: the loop serves sockets first."""
    edge = build_edge()
    read_store(edge, build_view(1, build_endpoint(1)), build_table(1), 0)
    edge.last_tick_at = 0.1
    handle_report(edge, '10.9.0.2', REPORT_OF_A_READ, 9)
    assert get_view_age(edge.reads, 9) == 9


def test_expired_entries_do_not_refuse_callers():
    """Guards against two seconds of resets after an outage of the store."""
    edge = build_edge()
    endpoint = build_endpoint(1)
    read_store(edge, build_view(1, endpoint), build_table(1), 0)
    events = list_events(
        handle_read_failed(edge, Source.ENDPOINTS, 'status_503', 5)
    )
    assert events == ['store_lost']
    assert handle_read_failed(edge, Source.ENDPOINTS, 'status_503', 5.5) == []
    read_store(edge, build_view(9), build_table(1), 6)
    assert list_available_endpoints(edge.steering.directory, 'web') == (
        endpoint,
    )


def test_pause_does_not_shorten_the_retention_of_missing_endpoints():
    """Guards against refusals of opening packets that were queued while the
    balancer was paused, after an outage of the store (soak seeds 402 and
    517)."""
    edge = build_edge()
    endpoint = build_endpoint(1)
    read_store(edge, build_view(1, endpoint), build_table(1), 0)
    handle_tick(edge, 5)
    handle_read_failed(edge, Source.ENDPOINTS, 'status_503', 5)
    read_store(edge, build_view(9), build_table(1), 5)
    handle_tick(edge, 9)
    assert list_available_endpoints(edge.steering.directory, 'web') == (
        endpoint,
    )
    handle_tick(edge, 9.5)
    handle_tick(edge, 10)
    handle_tick(edge, 10.5)
    handle_tick(edge, 11)
    handle_tick(edge, 11.5)
    assert list_available_endpoints(edge.steering.directory, 'web') == ()


def test_pause_counts_as_an_outage():
    """Guards against the removal of live endpoints whose entries expired in
    an outage of the store that a paused balancer did not observe."""
    edge = build_edge()
    endpoint = build_endpoint(1)
    read_store(edge, build_view(1, endpoint), build_table(1), 0)
    handle_tick(edge, 9)
    view = StoreView(build_view(9), None)
    handle_peer_view(edge, view, 9.4)
    assert list_available_endpoints(edge.steering.directory, 'web') == (
        endpoint,
    )


def test_retained_endpoint_is_not_sent_to_peers():
    """Guards against a peer that retains a permanently removed endpoint."""
    edge = build_edge()
    first, second = build_endpoint(1), build_endpoint(2)
    read_store(edge, build_view(1, first, second), build_table(1), 0)
    handle_read_failed(edge, Source.ENDPOINTS, 'status_503', 5)
    read_store(edge, build_view(9, second), build_table(1), 6)
    assert set(edge.steering.directory.endpoints.values()) == {first, second}
    assert create_view_for_peer(edge).endpoints == build_view(9, second)


def test_peer_receives_only_changes():
    """Guards against a whole view of 8 KB per balancer and change."""
    edge = build_edge()
    first, second = build_endpoint(1), build_endpoint(2)
    read_store(edge, build_view(1, first, second), build_table(1), 0)
    draining = build_endpoint(2, is_draining=True)
    read_store(edge, build_view(2, draining), build_table(1), 1)
    digest = calculate_digest([draining])
    removed = (first.instance,)
    changes = EndpointChanges(1, 2, (draining,), removed, 2, digest)
    assert create_view_for_peer(edge, 1, 1) == StoreView(changes, None)
    assert create_view_for_peer(edge, 1, 0).routes == build_table(1)
    assert create_view_for_peer(edge, 0, 1).endpoints == build_view(2, draining)


def test_changes_since_an_unknown_view_are_refused():
    """Guards against changes applied to a view older than their base."""
    edge = build_edge()
    read_store(edge, build_view(1, build_endpoint(1)), build_table(1), 0)
    changes = EndpointChanges(2, 3, (), ())
    effects = handle_peer_view(edge, StoreView(changes, None), 1)
    assert list_events(effects) == ['peer_view_failed']
    assert create_view_for_peer(edge).endpoints.revision == 1


def test_unchanged_revision_ends_a_read_at_once():
    """Guards against paginated lists that return no change."""
    edge = build_edge()
    read_store(edge, build_view(4, build_endpoint(1)), build_table(1), 0)
    start_read(edge.reads, 1)
    assert handle_revision(edge, 4) == []
    assert get_view_age(edge.reads, 1.5) == 0.5
    start_read(edge.reads, 2)
    assert handle_revision(edge, 5) == [ReadSource(Source.ENDPOINTS)]
    assert get_view_age(edge.reads, 2.5) == 1.5


def test_stale_view_is_used_at_once():
    """Guards against a start that waits for the store's rate limit."""
    edge = build_edge()
    start_read(edge.reads, 0)
    effects = handle_endpoints(edge, build_view(4, build_endpoint(1)), 0)
    assert ReadSource(Source.ROUTES, may_be_stale=True) in effects
    handle_routes(edge, build_table(1), 0)
    assert accepts_traffic(edge)


def test_stale_routes_do_not_count_as_those_of_newer_endpoints():
    """Guards against an older version that counts as current: the replica
    that lists the routes may lag more than the one that lists endpoints."""
    edge = build_edge()
    start_read(edge.reads, 0)
    handle_endpoints(edge, build_view(9, build_endpoint(1)), 0)
    handle_routes(edge, build_table(1), 0, revision=7)
    assert accepts_traffic(edge)
    report = PeerReport('a', 9, 0.1, (), ())
    effects = tick_and_report(edge, '10.9.0.2', report, 0.1)
    assert list_fetches(effects)
    assert get_view_age(edge.reads, 0.1) == float('inf')
    start_read(edge.reads, 0.4)
    handle_revision(edge, 9)
    view = replace(
        build_view(9, build_endpoint(1)), change_revisions=frozenset((9,))
    )
    assert ReadSource(Source.ROUTES) in handle_endpoints(edge, view, 0.4)


def count_accepts(effects):
    return sum(isinstance(effect, AcceptPackets) for effect in effects)


def test_packets_are_read_once_routes_and_endpoints_are_known():
    """Guards against packets that are dropped because they arrived during the
    start; their callers would wait for the next copy."""
    edge = build_edge()
    start_read(edge.reads, 0)
    endpoints = build_view(1, build_endpoint(1))
    assert count_accepts(handle_endpoints(edge, endpoints, 0.1)) == 0
    assert count_accepts(handle_routes(edge, build_table(1), 0.1)) == 1
    later = build_view(2, build_endpoint(1), build_endpoint(2))
    start_read(edge.reads, 1)
    assert count_accepts(handle_endpoints(edge, later, 1)) == 0


def test_packets_are_read_although_no_endpoint_is_left():
    """Guards against callers that wait instead of being refused at once."""
    edge = build_edge()
    start_read(edge.reads, 0)
    handle_endpoints(edge, build_view(1), 0.1)
    assert count_accepts(handle_routes(edge, build_table(1), 0.1)) == 1
    assert not accepts_traffic(edge)


def list_discards(edge, until):
    """Return the ticks at which waiting packets are discarded."""
    ticks = [tick / 10 for tick in range(int(until * 10) + 1)]
    return [now for now in ticks if DiscardPackets() in handle_tick(edge, now)]


def test_packets_wait_for_the_first_view_no_longer_than_a_second():
    """Guards against flows opened for callers that have given up, and against
    new packets that are discarded together with old ones."""
    assert list_discards(build_edge(), until=3.5) == [1, 2, 3]


def test_packets_are_not_discarded_after_the_first_view():
    """Guards against openings lost on a running balancer."""
    edge = build_edge()
    start_read(edge.reads, 0)
    handle_endpoints(edge, build_view(1, build_endpoint(1)), 0)
    handle_routes(edge, build_table(1), 0)
    assert list_discards(edge, until=3.5) == []


def test_changes_of_unknown_routes_are_replaced_by_all_routes():
    """Guards against a view with the routes of another version, and against
    a balancer that never gets the routes of a peer that skipped a version."""
    edge = build_edge()
    read_store(edge, build_view(1), build_table(1, p443='web'), 0)
    read_store(edge, build_view(2), build_table(2, p444='web'), 0)
    holder = build_edge()
    read_store(holder, build_view(1), build_table(1, p443='web'), 0)
    table = build_table(3, p443='web', p445='web')
    read_store(holder, build_view(3, build_endpoint(1)), table, 0)
    report = PeerReport('a', 3, 0.1, (), (), 3)
    effects = tick_and_report(edge, '10.9.0.2', report, 1)
    assert effects[-1] == FetchView('10.9.0.2', 2, 2)
    view = create_view_for_peer(holder, 2, 2, takes_route_changes=True)
    effects = handle_peer_view(edge, view, 1)
    assert list_events(effects) == ['peer_view_failed']
    assert effects[-1] == FetchView('10.9.0.2', 2, -1)
    assert edge.reads.revision == 2
    assert edge.steering.routes.version == 2
    view = create_view_for_peer(holder, 2, -1, takes_route_changes=True)
    handle_peer_view(edge, view, 1)
    assert edge.steering.routes == table
    assert edge.reads.revision == 3
    assert not edge.needs_all_routes


def test_older_changes_of_routes_are_no_mismatch():
    """Guards against a view that is discarded, since a read of the store had
    brought newer routes while its changes were under way."""
    edge, holder = build_edge(), build_edge()
    for balancer in (edge, holder):
        read_store(balancer, build_view(1), build_table(1, p443='web'), 0)
    table = build_table(2, p444='web')
    read_store(holder, build_view(2, build_endpoint(1)), table, 0)
    view = create_view_for_peer(holder, 1, 1, takes_route_changes=True)
    newer = build_table(3, p445='web')
    apply_routes(edge, newer, 1)
    events = list_events(handle_peer_view(edge, view, 1))
    assert events == ['endpoint_added', 'ready']
    assert edge.steering.routes == newer
    assert not edge.needs_all_routes
