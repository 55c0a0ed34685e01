"""Tests of load estimates and of ejection."""

import pytest

from balsamshed.configuration.resources import ListenerKind
from balsamshed.placement.ejection import get_ejection_bound
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
    """Guards against stale reports that outweigh own observations."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 6, 2, 0), 100)
    host_load = tracker.hosts[HOST]
    assert estimate_requests(tracker, host_load, 100) == pytest.approx(4)
    assert estimate_requests(tracker, host_load, 101) == pytest.approx(2)
    assert estimate_requests(tracker, host_load, 103) == pytest.approx(0.5)
    assert estimate_requests(tracker, host_load, 110) == 0


def test_age_of_a_report_counts_from_when_it_was_made():
    """Guards against treating a report that gossip delayed as fresh."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 8, 0, 2), 100)
    assert estimate_requests(
        tracker, tracker.hosts[HOST], 100
    ) == pytest.approx(1)


def test_older_report_does_not_replace_a_newer_one():
    """Guards against old loads from reports that arrive out of order."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 8, 0, 0), 100)
    record_report(tracker, LoadReport(HOST, 0, 0, 3), 101)
    assert tracker.hosts[HOST].reported_requests == 8


def test_own_requests_are_scaled_by_the_number_of_balancers():
    """Guards against ignoring the other balancers' flows without reports."""
    tracker = make_tracker()
    record_opened(tracker, HOST, REQUEST)
    assert estimate_requests(tracker, tracker.hosts[HOST], 0) == 8


def test_idle_report_despite_open_requests_is_ignored():
    """Guards against a host that attracts work by falsely reporting idle."""
    tracker = make_tracker()
    for now in range(100, 103):
        record_report(tracker, LoadReport(HOST, 0, 0, 0), now)
        record_opened(tracker, HOST, REQUEST)
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 103)
    assert estimate_requests(tracker, tracker.hosts[HOST], 103) == 24


def test_correct_report_is_not_ignored_for_one_new_request():
    """Guards against ignoring reports made before a request was sent."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 100)
    record_opened(tracker, HOST, REQUEST)
    record_report(tracker, LoadReport(HOST, 0, 0, 0.5), 100.6)
    assert tracker.hosts[HOST].reports_ignored_until < 100


def test_slow_host_that_reports_idle_is_avoided():
    """Guards against preferring a faulty host for its short queues."""
    tracker = make_tracker()
    for host, duration in ((HOST, 0.4), (OTHER, 0.04)):
        record_opened(tracker, host, REQUEST)
        record_closed(tracker, host, REQUEST, 100, duration)
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 100)
    assert score_requests(tracker, HOST, 100) > 9 * score_requests(
        tracker, OTHER, 100
    )
    assert estimate_slowness(tracker, tracker.hosts[HOST], 400) < 1.01


def test_refusals_raise_the_score_of_a_host_for_some_seconds():
    """Guards against preferring a host that sheds and so has no requests."""
    tracker = make_tracker()
    record_report(tracker, LoadReport(HOST, 0, 0, 0), 100)
    record_refused(tracker, HOST, 100)
    assert score_requests(tracker, HOST, 100) >= 5 * score_requests(
        tracker, OTHER, 100
    )
    assert tracker.hosts[HOST].reports_ignored_until > 100
    assert not tracker.hosts[HOST].is_ejected


def test_at_most_a_third_is_ejected():
    """Guards against ejecting a whole service in a fault of all hosts."""
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
    """Guards against drains and ejections that leave too few hosts."""
    tracker = make_tracker()
    fail(tracker, HOST, 100)
    fail(tracker, OTHER, 100)
    update_servers(tracker, 'creneau', SERVERS[:3], 101)
    assert count_ejected(tracker, 'creneau') == 1
    update_servers(tracker, 'creneau', SERVERS[:1], 102)
    assert count_ejected(tracker, 'creneau') == 0


def test_host_that_answers_is_not_ejected():
    """Guards against ejecting working hosts by SYNs never completed."""
    tracker = make_tracker()
    record_accepted(tracker, HOST, 99.5)
    fail(tracker, HOST, 100, times=20)
    assert not tracker.hosts[HOST].is_ejected


def test_one_trial_runs_at_a_time_and_its_delay_doubles():
    """Guards against trials that fail several callers at a time."""
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
    """Guards against a lost trial flow that blocks the readmission."""
    tracker = make_tracker()
    fail(tracker, HOST, 100)
    assert claim_trial(tracker, HOST, 102)
    assert not claim_trial(tracker, HOST, 106)
    assert claim_trial(tracker, HOST, 107)


def test_only_new_hosts_get_a_slow_start():
    """Guards against sending a cold host its full share at once."""
    tracker = make_tracker(SERVERS[:6])
    assert get_slow_start_share(tracker.hosts[HOST], 0) == 1
    update_servers(tracker, 'creneau', SERVERS, 50)
    cold = tracker.hosts[SERVERS[6].host]
    assert get_slow_start_share(cold, 50) == pytest.approx(0.1)
    assert get_slow_start_share(cold, 55) == pytest.approx(0.5)
    assert get_slow_start_share(cold, 60) == 1
    assert get_slow_start_share(tracker.hosts[HOST], 50) == 1


def test_entry_of_a_removed_host_is_deleted_with_its_last_flow():
    """Guards against memory growth by replaced backend servers."""
    tracker = make_tracker()
    record_opened(tracker, HOST, REQUEST)
    update_servers(tracker, 'creneau', SERVERS[2:], 1)
    assert OTHER not in tracker.hosts
    record_closed(tracker, HOST, REQUEST, 2)
    assert HOST not in tracker.hosts
