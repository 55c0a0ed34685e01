"""Tests of the roster of balancers."""

from collections import Counter

import pytest

from balsamshed.edge.tests.builders import draw_lowest
from balsamshed.peers.report import EndpointReport, Report
from balsamshed.peers.roster import (
    ADDRESS_LIFETIME_SECONDS,
    PASSED_ON,
    REPORT_BYTES_PER_SECOND,
    REPORT_LIFETIME_ROUNDS,
    REPORT_LIFETIME_SECONDS,
    SAVED_SECONDS,
    START_BYTES,
    Roster,
    add_addresses,
    choose_passed_on,
    choose_targets,
    expire_peers,
    list_holders,
    note_report,
    rank_reader,
)

#: A report with some endpoints, in bytes on the network.
REPORT_BYTES = 80
REPORT = Report('a', 1, 0.1, (), ())


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
    assert choose_targets(roster, REPORT_BYTES, 2) == ('10.0.0.1',)
    expire_peers(roster, ADDRESS_LIFETIME_SECONDS + 1)
    assert choose_targets(roster, REPORT_BYTES, 99) == ()


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


@pytest.mark.parametrize('size', [1, 12, 100, 300])
def test_reports_reach_every_peer_within_the_budget(size):
    """Guards against peers that are never told, and against control traffic
    that grows with the group."""
    roster = Roster('10.0.0.1')
    hosts = {f'10.0.{number // 250}.{number % 250}' for number in range(size)}
    add_addresses(roster, hosts - {'10.0.0.1'}, 0)
    reached, sent = set(), 0
    for tick in range(1, 101):
        targets = choose_targets(roster, REPORT_BYTES, tick / 10)
        assert len(set(targets)) == len(targets)
        reached.update(targets)
        sent += len(targets) * REPORT_BYTES
    assert reached == hosts - {'10.0.0.1'}
    budget = 10 * REPORT_BYTES_PER_SECOND + START_BYTES
    assert sent <= budget


def test_peers_in_the_same_data_centre_are_told_more_often():
    """Guards against placement that hears of a neighbour's load too late."""
    roster = Roster('10.0.0.1', 'a', saved_bytes=0)
    for number in range(12):
        report = build_report(data_centre='a' if number < 3 else 'b')
        note_report(roster, f'10.0.1.{number}', report, 0)
    told = Counter()
    for tick in range(1, 101):
        told.update(choose_targets(roster, REPORT_BYTES, tick / 10))
    near = [told[f'10.0.1.{number}'] for number in range(3)]
    far = [told[f'10.0.1.{number}'] for number in range(3, 12)]
    assert min(near) > 2 * max(far)
    assert min(far) >= 10
    assert max(far) - min(far) <= 1


def test_start_is_told_to_every_peer_at_once():
    """Guards against a whole group that starts and places flows blindly."""
    roster = Roster('10.0.0.1', 'a')
    hosts = [f'10.0.1.{number}' for number in range(12)]
    add_addresses(roster, hosts, 0)
    for tick in range(1, 11):
        assert set(choose_targets(roster, REPORT_BYTES, tick / 10)) == {*hosts}


def test_pause_does_not_end_in_a_burst_of_reports():
    """Guards against a link that is filled when a machine wakes."""
    roster = Roster('10.0.0.1', saved_bytes=0)
    add_addresses(roster, [f'10.0.1.{number}' for number in range(200)], 0)
    targets = choose_targets(roster, REPORT_BYTES, 60)
    assert (
        len(targets) <= REPORT_BYTES_PER_SECOND * SAVED_SECONDS / REPORT_BYTES
    )


def test_peers_of_a_large_group_are_not_lost_between_their_reports():
    """Guards against ranks of readers that change with each round."""
    roster = Roster('10.0.0.1')
    for number in range(300):
        note_report(roster, f'10.1.{number // 250}.{number % 250}', REPORT, 0)
    choose_targets(roster, REPORT_BYTES, 0.1)
    assert roster.round_seconds > REPORT_LIFETIME_SECONDS
    assert expire_peers(roster, 2 * roster.round_seconds) == ()
    late = REPORT_LIFETIME_ROUNDS * roster.round_seconds + 0.1
    assert len(expire_peers(roster, late)) == 300


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
