"""Guards against estimates that lie or lag, and unbounded ejection."""

import pytest

from balsamshed.configuration.resources import ListenerKind
from balsamshed.placement.board import (
    LoadBoard,
    count_ejected,
    get_ejection_bound,
    observe_servers,
    record_accepted,
    record_closed,
    record_opened,
    record_refused,
    record_report,
    record_unanswered,
    set_member_count,
    take_trial,
)
from balsamshed.placement.estimates import (
    estimate_requests,
    estimate_slowness,
    get_ramp_share,
    score_requests,
)
from balsamshed.placement.messages import LoadReport
from balsamshed.placement.tests.routes import make_server

REQUEST = ListenerKind.REQUEST
SERVERS = tuple(make_server(number) for number in range(7))
HOST = SERVERS[0].host
OTHER = SERVERS[1].host


def make_board(servers=SERVERS):
    board = LoadBoard()
    set_member_count(board, 8)
    observe_servers(board, 'creneau', servers, 0)
    return board


def fail(board, host, now, times=3):
    for _attempt in range(times):
        record_unanswered(board, host, now)


def test_report_loses_half_its_weight_each_second():
    """A report that lags must not outweigh what the balancer sees."""
    board = make_board()
    record_report(board, LoadReport(HOST, 6, 2, 0), 100)
    host_load = board.hosts[HOST]
    assert estimate_requests(board, host_load, 100) == pytest.approx(4)
    assert estimate_requests(board, host_load, 101) == pytest.approx(2)
    assert estimate_requests(board, host_load, 103) == pytest.approx(0.5)
    assert estimate_requests(board, host_load, 110) == 0


def test_age_of_a_report_counts_from_when_it_was_true():
    """A report spread late between members must not look fresh."""
    board = make_board()
    record_report(board, LoadReport(HOST, 8, 0, 2), 100)
    assert estimate_requests(board, board.hosts[HOST], 100) == pytest.approx(1)


def test_older_report_does_not_replace_a_newer_one():
    """Reports that arrive out of order must not bring old load back."""
    board = make_board()
    record_report(board, LoadReport(HOST, 8, 0, 0), 100)
    record_report(board, LoadReport(HOST, 0, 0, 3), 101)
    assert board.hosts[HOST].reported == 8


def test_own_requests_are_scaled_by_the_number_of_balancers():
    """Without reports the other balancers' flows must not be forgotten."""
    board = make_board()
    record_opened(board, HOST, REQUEST)
    assert estimate_requests(board, board.hosts[HOST], 0) == 8


def test_idle_report_against_open_requests_is_distrusted():
    """A host that claims to be idle must not attract work."""
    board = make_board()
    for now in range(100, 103):
        record_report(board, LoadReport(HOST, 0, 0, 0), now)
        record_opened(board, HOST, REQUEST)
    record_report(board, LoadReport(HOST, 0, 0, 0), 103)
    assert estimate_requests(board, board.hosts[HOST], 103) == 24


def test_honest_report_is_not_distrusted_for_one_new_request():
    """A request sent just after a report must not count as a lie."""
    board = make_board()
    record_report(board, LoadReport(HOST, 0, 0, 0), 100)
    record_opened(board, HOST, REQUEST)
    record_report(board, LoadReport(HOST, 0, 0, 0.5), 100.6)
    assert board.hosts[HOST].distrusted_until < 100


def test_slow_host_that_says_it_is_idle_is_avoided():
    """A sick host with short queues must not look like the best one."""
    board = make_board()
    for host, duration in ((HOST, 0.4), (OTHER, 0.04)):
        record_opened(board, host, REQUEST)
        record_closed(board, host, REQUEST, 100, duration)
    record_report(board, LoadReport(HOST, 0, 0, 0), 100)
    assert score_requests(board, HOST, 100) > 9 * score_requests(
        board, OTHER, 100
    )
    assert estimate_slowness(board, board.hosts[HOST], 400) < 1.01


def test_refusals_make_a_host_unattractive_for_some_seconds():
    """A host that sheds at once looks idle by its open requests."""
    board = make_board()
    record_report(board, LoadReport(HOST, 0, 0, 0), 100)
    record_refused(board, HOST, 100)
    assert score_requests(board, HOST, 100) >= 5 * score_requests(
        board, OTHER, 100
    )
    assert board.hosts[HOST].distrusted_until > 100
    assert not board.hosts[HOST].is_ejected


def test_at_most_a_third_is_ejected():
    """A fault that hits all hosts must not take the service away."""
    assert [get_ejection_bound(count) for count in range(8)] == [
        0,
        0,
        1,
        1,
        1,
        1,
        2,
        2,
    ]
    board = make_board()
    for server in SERVERS:
        fail(board, server.host, 100)
    assert count_ejected(board, 'creneau') == 2


def test_fewer_usable_hosts_lower_the_bound():
    """Drains together with ejections must leave enough hosts."""
    board = make_board()
    fail(board, HOST, 100)
    fail(board, OTHER, 100)
    observe_servers(board, 'creneau', SERVERS[:3], 101)
    assert count_ejected(board, 'creneau') == 1
    observe_servers(board, 'creneau', SERVERS[:1], 102)
    assert count_ejected(board, 'creneau') == 0


def test_host_that_answers_is_not_ejected():
    """SYNs that callers never complete must not eject a working host."""
    board = make_board()
    record_accepted(board, HOST, 99.5)
    fail(board, HOST, 100, times=20)
    assert not board.hosts[HOST].is_ejected


def test_trial_is_single_and_its_wait_doubles():
    """An ejected host must not cost more than one caller at a time."""
    board = make_board()
    fail(board, HOST, 100)
    assert not take_trial(board, HOST, 101.9)
    now = 102
    for wait in (4, 8, 16):
        assert take_trial(board, HOST, now)
        assert not take_trial(board, HOST, now)
        record_unanswered(board, HOST, now)
        assert not take_trial(board, HOST, now + wait - 0.1)
        now += wait
    assert take_trial(board, HOST, now)
    record_accepted(board, HOST, now)
    assert not board.hosts[HOST].is_ejected
    assert get_ramp_share(board.hosts[HOST], now) == pytest.approx(0.1)


def test_trial_without_outcome_is_replaced():
    """A trial flow that was never forwarded must not block the return."""
    board = make_board()
    fail(board, HOST, 100)
    assert take_trial(board, HOST, 102)
    assert not take_trial(board, HOST, 106)
    assert take_trial(board, HOST, 107)


def test_new_host_ramps_up_and_known_ones_do_not():
    """A cold host must not get its full share at once."""
    board = make_board(SERVERS[:6])
    assert get_ramp_share(board.hosts[HOST], 0) == 1
    observe_servers(board, 'creneau', SERVERS, 50)
    cold = board.hosts[SERVERS[6].host]
    assert get_ramp_share(cold, 50) == pytest.approx(0.1)
    assert get_ramp_share(cold, 55) == pytest.approx(0.5)
    assert get_ramp_share(cold, 60) == 1
    assert get_ramp_share(board.hosts[HOST], 50) == 1


def test_removed_host_is_forgotten_once_its_flows_are_closed():
    """Replaced backend servers must not fill the memory."""
    board = make_board()
    record_opened(board, HOST, REQUEST)
    observe_servers(board, 'creneau', SERVERS[2:], 1)
    assert OTHER not in board.hosts
    record_closed(board, HOST, REQUEST, 2)
    assert HOST not in board.hosts
