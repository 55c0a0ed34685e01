"""Tests of the admission of new flows by latency goal."""

import pytest

from balsamshed.limits.admission import (
    BUSY_REQUESTS_PER_SLOT,
    OVERLOAD_SECONDS,
    POSTPONED_BY_LOAD,
    REFUSED_BY_LOAD,
    OpeningRequest,
    ServiceLoad,
    admit_opening,
    estimate_seconds,
    record_duration,
)
from balsamshed.limits.baseline import WINDOW_REQUESTS
from balsamshed.limits.verdicts import ADMITTED

SERVICE_SECONDS = 0.02
URGENT = 1


def build_load():
    """Return the load of a service whose requests take 20 ms."""
    load = ServiceLoad()
    for _ in range(WINDOW_REQUESTS):
        record_duration(load, SERVICE_SECONDS)
    return load


def build_opening(**changes):
    """Return a less urgent opening that would miss its goal of 100 ms."""
    fields = {
        'requests_per_slot': 5,
        'latency_goal_seconds': 0.1,
        'timeout_seconds': 2,
        'priority': 2,
        'attempt': 0,
        **changes,
    }
    return OpeningRequest(**fields)


def decide_under_overload(load, **changes):
    """Return the verdict on an opening once the overload has lasted."""
    for tenth in range(int(OVERLOAD_SECONDS * 10) + 2):
        now = 10 + tenth / 10
        admit_opening(load, build_opening(priority=URGENT), now)
        verdict = admit_opening(load, build_opening(**changes), now)
    return verdict


def test_opening_waits_while_its_caller_will_repeat_it():
    """Guards against requests refused although a slot may come free in time."""
    assert decide_under_overload(build_load()) == POSTPONED_BY_LOAD


@pytest.mark.parametrize(
    ('timeout_seconds', 'attempt'),
    [(2, 2), (0.8, 1), (0.8, 2), (0.3, 0), (0, 0)],
)
def test_opening_does_not_wait_for_most_of_its_time(timeout_seconds, attempt):
    """Guards against callers that learn too late that they are refused."""
    verdict = decide_under_overload(
        build_load(), timeout_seconds=timeout_seconds, attempt=attempt
    )
    assert verdict == REFUSED_BY_LOAD


@pytest.mark.parametrize(
    'changes',
    [
        {'priority': URGENT},
        {'latency_goal_seconds': 0},
        {'latency_goal_seconds': 0.2},
        {'requests_per_slot': BUSY_REQUESTS_PER_SLOT - 0.1},
    ],
)
def test_flows_that_are_urgent_or_in_time_are_admitted(changes):
    """Guards against an overload that turns away what can be served."""
    assert decide_under_overload(build_load(), **changes) == ADMITTED


def test_work_without_more_urgent_work_is_admitted():
    """Guards against slots kept for routes that nobody uses."""
    load = build_load()
    admit_opening(load, build_opening(priority=URGENT), 0)
    for tenth in range(100):
        verdict = admit_opening(load, build_opening(), 10 + tenth / 10)
    assert verdict == ADMITTED


def test_only_the_least_urgent_work_gives_way():
    """Guards against urgent requests refused for a route of higher priority
    that hardly anyone uses."""
    load = build_load()
    for tenth in range(20):
        now = 10 + tenth / 10
        for priority in (0, 2):
            admit_opening(load, build_opening(priority=priority), now)
        verdict = admit_opening(load, build_opening(priority=URGENT), now)
    assert verdict == ADMITTED
    assert admit_opening(load, build_opening(), 12) == POSTPONED_BY_LOAD


def test_unknown_durations_refuse_nothing():
    """Guards against refusals by a balancer that has just started."""
    assert decide_under_overload(ServiceLoad()) == ADMITTED


def test_short_peak_is_admitted():
    """Guards against peaks that the queues of the endpoints can hold."""
    load = build_load()
    idle = build_opening(requests_per_slot=0)
    assert admit_opening(load, idle, 10) == ADMITTED
    peak = build_opening(attempt=2)
    assert admit_opening(load, peak, 10 + 0.9 * OVERLOAD_SECONDS) == ADMITTED


def test_time_without_openings_is_no_overload():
    """Guards against refusals after a pause of the process or of the load."""
    load = build_load()
    decide_under_overload(load)
    assert admit_opening(load, build_opening(), 20) == ADMITTED


def test_free_slot_ends_the_overload():
    """Guards against a service that stays closed after a flood."""
    load = build_load()
    decide_under_overload(load)
    idle = build_opening(requests_per_slot=0.5)
    assert admit_opening(load, idle, 10.8) == ADMITTED
    assert admit_opening(load, build_opening(), 10.9) == ADMITTED


def test_estimate_counts_the_request_itself():
    """Guards against an estimate of zero at an idle endpoint."""
    load = build_load()
    assert estimate_seconds(load, 0) == pytest.approx(SERVICE_SECONDS)
    assert estimate_seconds(load, 4) == pytest.approx(5 * SERVICE_SECONDS)
