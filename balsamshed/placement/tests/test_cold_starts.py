"""Tests of the limit of the openings at endpoints that are warming up."""

import pytest

from balsamshed.edge.tests.builders import build_endpoint
from balsamshed.peers.report import PeerReport
from balsamshed.peers.table import (
    PeerTable,
    add_peer_addresses,
    expire_peers,
    record_report,
)
from balsamshed.placement.cold_starts import (
    ISOLATION_SECONDS,
    SETTLE_SECONDS,
    WINDOW_SECONDS,
    ColdStarts,
    calculate_part,
    end_warm_ups,
    may_open,
    record_cold_opening,
    start_warm_up,
    update_fleet,
)
from balsamshed.steering.options import ColdStartLimit

OWN_HOST = '10.9.0.1'
PEER = '10.9.0.2'
THIRD = '10.9.0.3'
COLD = build_endpoint(1)


def build_state(peers=(), heard=(), now=0):
    """Return a balancer's state and the table of its peers."""
    table = PeerTable(OWN_HOST)
    add_peer_addresses(table, peers, now)
    for host in heard:
        record_report(table, host, PeerReport('a', 1, 0, (), ()), now)
    state = ColdStarts(ColdStartLimit(1.5, 5), OWN_HOST)
    start_warm_up(state, (COLD,), 1000, 0, now)
    update_fleet(state, table, now)
    return state, table


@pytest.mark.parametrize('count', [1, 3, 5, 17, 64])
@pytest.mark.parametrize('bound', [0, 4, 5, 35, 200])
def test_parts_add_up_to_the_bound(count, bound):
    """Guards against openings that no balancer or two of them may use."""
    fleet = [f'10.9.0.{number}' for number in range(count)]
    parts = [calculate_part(bound, 7, host, fleet) for host in fleet]
    assert sum(parts) == bound


def test_part_never_grows_with_the_fleet():
    """Guards against a new balancer that raises the part of an old one."""
    fleet, parts = [OWN_HOST], []
    for number in range(2, 90):
        parts.append(calculate_part(35, 7, OWN_HOST, fleet))
        fleet.append(f'10.9.0.{number}')
    assert parts == sorted(parts, reverse=True)


def test_new_balancer_waits_until_the_others_know_it():
    """Guards against parts of a balancer that has just started."""
    state, table = build_state([PEER], [PEER])
    update_fleet(state, table, SETTLE_SECONDS - 0.1)
    assert not may_open(state, COLD.cookie, SETTLE_SECONDS - 0.1)
    update_fleet(state, table, SETTLE_SECONDS)
    assert may_open(state, COLD.cookie, SETTLE_SECONDS)


def test_balancer_that_starts_cut_off_opens_nothing():
    """Guards against a balancer that does not know the far side of a cut."""
    state, table = build_state([PEER])
    update_fleet(state, table, SETTLE_SECONDS)
    assert not may_open(state, COLD.cookie, SETTLE_SECONDS)


def test_isolated_balancer_stops_before_others_forget_it():
    """Guards against a balancer that thinks itself alone after a long cut."""
    state, table = build_state([PEER, '10.9.0.3'], [PEER, '10.9.0.3'])
    update_fleet(state, table, SETTLE_SECONDS)
    assert state.is_admitted
    table.peers.clear()
    for now in (SETTLE_SECONDS + 1, SETTLE_SECONDS + ISOLATION_SECONDS + 1):
        update_fleet(state, table, now)
    assert not may_open(state, COLD.cookie, now)
    assert len(state.fleet) == 3


def test_window_slides():
    """Guards against twice the part around the edge of a fixed second."""
    state, table = build_state()
    update_fleet(state, table, 10)
    for number in range(5):
        assert may_open(state, COLD.cookie, 10 + number / 10)
        record_cold_opening(state, COLD.cookie, 10 + number / 10)
    assert not may_open(state, COLD.cookie, 10 + WINDOW_SECONDS - 0.1)
    assert may_open(state, COLD.cookie, 10.01 + WINDOW_SECONDS)
    assert len(state.sent_at[COLD.cookie]) == 4


def test_warm_endpoint_has_no_limit():
    """Guards against a limit that outlives the warm-up."""
    state, _ = build_state()
    assert not may_open(state, COLD.cookie, 999)
    assert may_open(state, COLD.cookie, 1000)
    assert end_warm_ups(state, 1000) == [COLD.cookie]
    assert not state.until
    assert not state.bounds


def test_balancer_that_others_hear_stays_in_the_fleet():
    """Guards against parts that grow beyond the bound each minute while two
    balancers are cut off from each other, but not from the third."""
    state, table = build_state([PEER, THIRD], [PEER, THIRD])
    for now in range(1, 200):
        # The peer goes on to pass the third one's address on.
        report = PeerReport('a', 1, 0, (), (THIRD,))
        record_report(table, PEER, report, now)
        expire_peers(table, now)
        update_fleet(state, table, now)
        assert THIRD in state.fleet
    for now in range(200, 400):
        record_report(table, PEER, PeerReport('a', 1, 0, (), ()), now)
        expire_peers(table, now)
        update_fleet(state, table, now)
    assert state.fleet == {OWN_HOST, PEER}
    assert state.known_at.keys() == state.fleet
