"""Tests of the peer table."""

from collections import Counter

import pytest

from balsamshed.edge.tests.builders import always_zero
from balsamshed.peers.report import EndpointReport, PeerReport
from balsamshed.peers.table import (
    ADDRESS_LIFETIME_SECONDS,
    BURST_SECONDS,
    INITIAL_BUDGET_BYTES,
    MAX_SHARED_ADDRESSES,
    REPORT_BYTES_PER_SECOND,
    REPORT_LIFETIME_ROUNDS,
    REPORT_LIFETIME_SECONDS,
    PeerTable,
    add_peer_addresses,
    expire_peers,
    get_reader_rank,
    list_peers_with_newer_view,
    pick_report_targets,
    pick_shared_addresses,
    record_report,
)

#: Size on the network of a report with some endpoints.
REPORT_BYTES = 80
REPORT = PeerReport('a', 1, 0.1, (), ())


def build_report(revision=1, data_centre='a', loads=(), peers=()):
    endpoints = tuple(EndpointReport(*load) for load in loads)
    return PeerReport(data_centre, revision, 0.1, endpoints, peers)


def test_newer_report_replaces_the_load_of_the_previous_one():
    """Guards against load that is counted twice."""
    table = PeerTable('10.0.0.9')
    record_report(table, '10.0.0.1', build_report(loads=[(7, 3, True)]), 0)
    record_report(table, '10.0.0.2', build_report(loads=[(7, 2, True)]), 0)
    assert table.in_flight == {7: 5}
    assert table.suspecting_peers == {7: 2}
    record_report(table, '10.0.0.1', build_report(loads=[(7, 1, False)]), 1)
    assert table.in_flight == {7: 3}
    assert table.suspecting_peers == {7: 1}


def test_report_of_a_silent_peer_expires():
    """Guards against load and suspicions of a dead balancer."""
    table = PeerTable('10.0.0.9')
    record_report(table, '10.0.0.1', build_report(loads=[(7, 3, True)]), 0)
    assert expire_peers(table, REPORT_LIFETIME_SECONDS + 0.1) == ('10.0.0.1',)
    assert table.in_flight == {}
    assert table.suspecting_peers == {}
    assert get_reader_rank(table) == 0
    # Reports still go to its address: it may be behind a partition.
    assert pick_report_targets(table, REPORT_BYTES, 2) == ('10.0.0.1',)
    expire_peers(table, ADDRESS_LIFETIME_SECONDS + 1)
    assert pick_report_targets(table, REPORT_BYTES, 99) == ()


def test_peer_addresses_are_shared_in_reports():
    """Guards against balancers that only know the seeds of their group."""
    table = PeerTable('10.0.0.9')
    shared = ('10.0.0.2', '10.0.0.9')
    assert record_report(table, '10.0.0.1', build_report(peers=shared), 0)
    assert set(table.peers) == {'10.0.0.1', '10.0.0.2'}
    assert pick_shared_addresses(table, always_zero) == ('10.0.0.1',)


def test_own_report_is_ignored():
    """Guards against a balancer's own load counted as that of a peer."""
    table = PeerTable('10.0.0.9')
    report = build_report(loads=[(7, 3, True)])
    assert not record_report(table, '10.0.0.9', report, 0)
    assert table.in_flight == {}


@pytest.mark.parametrize('size', [1, 12, 100, 300])
def test_reports_reach_every_peer_within_the_budget(size):
    """Guards against peers that receive no report, and against control
    traffic that grows with the group."""
    table = PeerTable('10.0.0.1')
    hosts = {f'10.0.{number // 250}.{number % 250}' for number in range(size)}
    add_peer_addresses(table, hosts - {'10.0.0.1'}, 0)
    reached, sent = set(), 0
    for tick in range(1, 101):
        targets = pick_report_targets(table, REPORT_BYTES, tick / 10)
        assert len(set(targets)) == len(targets)
        reached.update(targets)
        sent += len(targets) * REPORT_BYTES
    assert reached == hosts - {'10.0.0.1'}
    budget = 10 * REPORT_BYTES_PER_SECOND + INITIAL_BUDGET_BYTES
    assert sent <= budget


def test_peers_in_the_same_data_centre_get_more_reports():
    """Guards against placement with outdated load of nearby balancers."""
    table = PeerTable('10.0.0.1', 'a', budget_bytes=0)
    for number in range(12):
        report = build_report(data_centre='a' if number < 3 else 'b')
        record_report(table, f'10.0.1.{number}', report, 0)
    report_counts = Counter()
    for tick in range(1, 101):
        report_counts.update(
            pick_report_targets(table, REPORT_BYTES, tick / 10)
        )
    local = [report_counts[f'10.0.1.{number}'] for number in range(3)]
    remote = [report_counts[f'10.0.1.{number}'] for number in range(3, 12)]
    assert min(local) > 2 * max(remote)
    assert min(remote) >= 10
    assert max(remote) - min(remote) <= 1


def test_starting_balancer_reports_to_every_peer_at_once():
    """Guards against flows placed without the load of peers after a start."""
    table = PeerTable('10.0.0.1', 'a')
    hosts = [f'10.0.1.{number}' for number in range(12)]
    add_peer_addresses(table, hosts, 0)
    for tick in range(1, 11):
        assert set(pick_report_targets(table, REPORT_BYTES, tick / 10)) == {
            *hosts
        }


def test_pause_is_not_followed_by_a_burst_of_reports():
    """Guards against a congested link when a process resumes."""
    table = PeerTable('10.0.0.1', budget_bytes=0)
    add_peer_addresses(table, [f'10.0.1.{number}' for number in range(200)], 0)
    targets = pick_report_targets(table, REPORT_BYTES, 60)
    assert (
        len(targets) <= REPORT_BYTES_PER_SECOND * BURST_SECONDS / REPORT_BYTES
    )


def test_peers_of_a_large_group_do_not_expire_between_reports():
    """Guards against reader ranks that change in each report round."""
    table = PeerTable('10.0.0.1')
    for number in range(300):
        record_report(table, f'10.1.{number // 250}.{number % 250}', REPORT, 0)
    pick_report_targets(table, REPORT_BYTES, 0.1)
    assert table.round_seconds > REPORT_LIFETIME_SECONDS
    assert expire_peers(table, 2 * table.round_seconds) == ()
    late = REPORT_LIFETIME_ROUNDS * table.round_seconds + 0.1
    assert len(expire_peers(table, late)) == 300


def test_report_shares_a_limited_number_of_addresses():
    """Guards against reports whose size grows with the group."""
    table = PeerTable('10.0.0.9')
    for number in range(20):
        record_report(table, f'10.0.1.{number}', build_report(), 0)
    assert (
        len(pick_shared_addresses(table, always_zero)) == MAX_SHARED_ADDRESSES
    )


def test_every_live_peer_has_a_distinct_reader_rank():
    """Guards against a group in which every balancer reads the store."""
    hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3']
    ranks = []
    for own in hosts:
        table = PeerTable(own)
        for host in hosts:
            record_report(table, host, build_report(), 0)
        ranks.append(get_reader_rank(table))
    assert sorted(ranks) == [0, 1, 2]


def test_newer_view_is_fetched_from_the_same_data_centre():
    """Guards against unnecessary traffic between data centres."""
    table = PeerTable('10.0.0.9')
    record_report(table, '10.0.0.1', build_report(5, 'b'), 0)
    assert list_peers_with_newer_view(table, 4, 0, 'a') == ['10.0.0.1']
    record_report(table, '10.0.0.2', build_report(5, 'a'), 0)
    record_report(table, '10.0.0.3', build_report(4, 'a'), 0)
    assert list_peers_with_newer_view(table, 4, 0, 'a') == ['10.0.0.2']
    assert list_peers_with_newer_view(table, 5, 0, 'a') == []
