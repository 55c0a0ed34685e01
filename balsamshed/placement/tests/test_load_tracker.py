"""Guards against estimates that lie or lag, and unbounded ejection."""

import pytest

from balsamshed.configuration.resources import ListenerKind
from balsamshed.placement.estimates import (
    estimate_requests,
    estimate_slowness,
    get_slow_start_share,
    score_requests,
)
from balsamshed.placement.load_tracker import (
    HostLoadTracker,
    claim_trial,
    count_ejected,
    get_ejection_bound,
    record_accepted,
    record_closed,
    record_opened,
    record_refused,
    record_report,
    record_unanswered,
    set_member_count,
    update_servers,
)
from balsamshed.placement.messages import LoadReport
from balsamshed.placement.tests.routes import make_server

REQUEST = ListenerKind.REQUEST
SERVERS = tuple(make_server(number) for number in range(7))
HOST = SERVERS[0].host
OTHER = SERVERS[1].host


def make_tracker(servers=SERVERS):
    tracker = HostLoadTracker()
    set_member_count(tracker, 8)
    update_servers(tracker, 'creneau', servers, 0)
    return tracker


def fail(tracker, host, now, times=3):
    for _attempt in range(times):
        record_unanswered(tracker, host, now)


def test_report_loses_half_its_weight_each_second():
    """A report that lags must not outweigh what the balancer sees."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 6, 2, 0), 100)
    host_load = tracker.hosts[HOST]
    assert estimate_requests(tracker, host_load, 100) == pytest.approx(4)
    assert estimate_requests(tracker, host_load, 101) == pytest.approx(2)
    assert estimate_requests(tracker, host_load, 103) == pytest.approx(0.5)
    assert estimate_requests(tracker, host_load, 110) == 0


def test_age_of_a_report_counts_from_when_it_was_true():
    """A report spread late between members must not look fresh."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 8, 0, 2), 100)
    assert estimate_requests(
        tracker, tracker.hosts[HOST], 100
    ) == pytest.approx(1)


def test_older_report_does_not_replace_a_newer_one():
    """Reports that arrive out of order must not bring old load back."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 8, 0, 0), 100)
    record_report(tracker, LoadReport(HOST, 0, 0, 3), 101)
    assert tracker.hosts[HOST].reported_requests == 8


def test_own_requests_are_scaled_by_the_number_of_balancers():
    """Without reports the other balancers' flows must not be forgotten."""
    tracker = make_tracker()
    record_opened(tracker, HOST, REQUEST)
    assert estimate_requests(tracker, tracker.hosts[HOST], 0) == 8


def test_idle_report_against_open_requests_is_distrusted():
    """A host that claims to be idle must not attract work."""
    tracker = make_tracker()
    for now in range(100, 103):
        record_report(tracker, LoadReport(HOST, 0, 0, 0), now)
        record_opened(tracker, HOST, REQUEST)
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 103)
    assert estimate_requests(tracker, tracker.hosts[HOST], 103) == 24


def test_honest_report_is_not_distrusted_for_one_new_request():
    """A request sent just after a report must not count as a lie."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 100)
    record_opened(tracker, HOST, REQUEST)
    record_report(tracker, LoadReport(HOST, 0, 0, 0.5), 100.6)
    assert tracker.hosts[HOST].distrusted_until < 100


def test_slow_host_that_says_it_is_idle_is_avoided():
    """A sick host with short queues must not look like the best one."""
    tracker = make_tracker()
    for host, duration in ((HOST, 0.4), (OTHER, 0.04)):
        record_opened(tracker, host, REQUEST)
        record_closed(tracker, host, REQUEST, 100, duration)
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 100)
    assert score_requests(tracker, HOST, 100) > 9 * score_requests(
        tracker, OTHER, 100
    )
    assert estimate_slowness(tracker, tracker.hosts[HOST], 400) < 1.01


def test_refusals_make_a_host_unattractive_for_some_seconds():
    """A host that sheds at once looks idle by its open requests."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 100)
    record_refused(tracker, HOST, 100)
    assert score_requests(tracker, HOST, 100) >= 5 * score_requests(
        tracker, OTHER, 100
    )
    assert tracker.hosts[HOST].distrusted_until > 100
    assert not tracker.hosts[HOST].is_ejected


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
    tracker = make_tracker()
    for server in SERVERS:
        fail(tracker, server.host, 100)
    assert count_ejected(tracker, 'creneau') == 2


def test_fewer_usable_hosts_lower_the_bound():
    """Drains together with ejections must leave enough hosts."""
    tracker = make_tracker()
    fail(tracker, HOST, 100)
    fail(tracker, OTHER, 100)
    update_servers(tracker, 'creneau', SERVERS[:3], 101)
    assert count_ejected(tracker, 'creneau') == 1
    update_servers(tracker, 'creneau', SERVERS[:1], 102)
    assert count_ejected(tracker, 'creneau') == 0


def test_host_that_answers_is_not_ejected():
    """SYNs that callers never complete must not eject a working host."""
    tracker = make_tracker()
    record_accepted(tracker, HOST, 99.5)
    fail(tracker, HOST, 100, times=20)
    assert not tracker.hosts[HOST].is_ejected


def test_trial_is_single_and_its_wait_doubles():
    """An ejected host must not cost more than one caller at a time."""
    tracker = make_tracker()
    fail(tracker, HOST, 100)
    assert not claim_trial(tracker, HOST, 101.9)
    now = 102
    for wait in (4, 8, 16):
        assert claim_trial(tracker, HOST, now)
        assert not claim_trial(tracker, HOST, now)
        record_unanswered(tracker, HOST, now)
        assert not claim_trial(tracker, HOST, now + wait - 0.1)
        now += wait
    assert claim_trial(tracker, HOST, now)
    record_accepted(tracker, HOST, now)
    assert not tracker.hosts[HOST].is_ejected
    assert get_slow_start_share(tracker.hosts[HOST], now) == pytest.approx(0.1)


def test_trial_without_outcome_is_replaced():
    """A trial flow that was never forwarded must not block the return."""
    tracker = make_tracker()
    fail(tracker, HOST, 100)
    assert claim_trial(tracker, HOST, 102)
    assert not claim_trial(tracker, HOST, 106)
    assert claim_trial(tracker, HOST, 107)


def test_new_host_ramps_up_and_known_ones_do_not():
    """A cold host must not get its full share at once."""
    tracker = make_tracker(SERVERS[:6])
    assert get_slow_start_share(tracker.hosts[HOST], 0) == 1
    update_servers(tracker, 'creneau', SERVERS, 50)
    cold = tracker.hosts[SERVERS[6].host]
    assert get_slow_start_share(cold, 50) == pytest.approx(0.1)
    assert get_slow_start_share(cold, 55) == pytest.approx(0.5)
    assert get_slow_start_share(cold, 60) == 1
    assert get_slow_start_share(tracker.hosts[HOST], 50) == 1


def test_removed_host_is_forgotten_once_its_flows_are_closed():
    """Replaced backend servers must not fill the memory."""
    tracker = make_tracker()
    record_opened(tracker, HOST, REQUEST)
    update_servers(tracker, 'creneau', SERVERS[2:], 1)
    assert OTHER not in tracker.hosts
    record_closed(tracker, HOST, REQUEST, 2)
    assert HOST not in tracker.hosts
