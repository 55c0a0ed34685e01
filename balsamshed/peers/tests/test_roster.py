"""Tests of the roster of balancers."""

from balsamshed.edge.tests.builders import draw_lowest
from balsamshed.peers.report import EndpointReport, Report
from balsamshed.peers.roster import (
    ADDRESS_LIFETIME_SECONDS,
    MOST_TARGETS,
    PASSED_ON,
    REPORT_LIFETIME_SECONDS,
    Roster,
    add_addresses,
    choose_passed_on,
    choose_targets,
    expire_peers,
    list_holders,
    note_report,
    rank_reader,
)


def build_report(revision=1, data_centre='a', loads=(), peers=()):
    endpoints = tuple(EndpointReport(*load) for load in loads)
    return Report(data_centre, revision, 0.1, endpoints, peers)


def test_newer_report_replaces_the_load_of_the_older_one():
    """Guards against load that is counted twice."""
    roster = Roster('10.0.0.9')
    note_report(roster, '10.0.0.1', build_report(loads=[(7, 3, True)]), 0)
    note_report(roster, '10.0.0.2', build_report(loads=[(7, 2, True)]), 0)
    assert roster.in_flight == {7: 5}
    assert roster.suspecting == {7: 2}
    note_report(roster, '10.0.0.1', build_report(loads=[(7, 1, False)]), 1)
    assert roster.in_flight == {7: 3}
    assert roster.suspecting == {7: 1}


def test_silent_peer_counts_no_longer():
    """Guards against load and suspicions of a balancer that is gone."""
    roster = Roster('10.0.0.9')
    note_report(roster, '10.0.0.1', build_report(loads=[(7, 3, True)]), 0)
    assert expire_peers(roster, REPORT_LIFETIME_SECONDS + 0.1) == ('10.0.0.1',)
    assert roster.in_flight == {}
    assert roster.suspecting == {}
    assert rank_reader(roster) == 0
    # Its address is still tried: it may be cut off and come back.
    assert choose_targets(roster) == ('10.0.0.1',)
    expire_peers(roster, ADDRESS_LIFETIME_SECONDS + 1)
    assert choose_targets(roster) == ()


def test_addresses_spread_from_peer_to_peer():
    """Guards against groups that know each other only through seeds."""
    roster = Roster('10.0.0.9')
    passed_on = ('10.0.0.2', '10.0.0.9')
    assert note_report(roster, '10.0.0.1', build_report(peers=passed_on), 0)
    assert set(roster.peers) == {'10.0.0.1', '10.0.0.2'}
    assert choose_passed_on(roster, draw_lowest) == ('10.0.0.1',)


def test_own_report_that_comes_back_is_ignored():
    """Guards against own load that counts as a peer's."""
    roster = Roster('10.0.0.9')
    report = build_report(loads=[(7, 3, True)])
    assert not note_report(roster, '10.0.0.9', report, 0)
    assert roster.in_flight == {}


def test_reports_reach_every_peer_of_a_large_group_in_turn():
    """Guards against peers that are never told, and against too much traffic."""
    roster = Roster('10.0.0.1')
    hosts = {f'10.0.1.{number}' for number in range(100)}
    add_addresses(roster, hosts, 0)
    reached = set()
    for _ in range(9):
        targets = choose_targets(roster)
        assert len(targets) == MOST_TARGETS
        reached.update(targets)
    assert reached == hosts


def test_report_passes_on_few_addresses():
    """Guards against reports that grow with the group."""
    roster = Roster('10.0.0.9')
    for number in range(20):
        note_report(roster, f'10.0.1.{number}', build_report(), 0)
    assert len(choose_passed_on(roster, draw_lowest)) == PASSED_ON


def test_live_peers_rank_readers_without_agreement():
    """Guards against a whole group that reads the store."""
    hosts = ['10.0.0.1', '10.0.0.2', '10.0.0.3']
    ranks = []
    for own in hosts:
        roster = Roster(own)
        for host in hosts:
            note_report(roster, host, build_report(), 0)
        ranks.append(rank_reader(roster))
    assert sorted(ranks) == [0, 1, 2]


def test_newer_view_is_fetched_nearby():
    """Guards against views that cross data centres without need."""
    roster = Roster('10.0.0.9')
    note_report(roster, '10.0.0.1', build_report(5, 'b'), 0)
    assert list_holders(roster, 4, 'a') == ['10.0.0.1']
    note_report(roster, '10.0.0.2', build_report(5, 'a'), 0)
    note_report(roster, '10.0.0.3', build_report(4, 'a'), 0)
    assert list_holders(roster, 4, 'a') == ['10.0.0.2']
    assert list_holders(roster, 5, 'a') == []
