"""Tests of the limiter: limits must not starve a service or let queues grow."""

from math import inf

import pytest

from balsamshed.configuration.resources import ListenerKind
from balsamshed.limits.limiter import (
    REFUSED_BY_LIMIT,
    FlowOutcome,
    admit,
    create_limiter,
    record_admitted,
    release,
    reset_limiter,
)
from balsamshed.limits.verdicts import ADMITTED


def make_limiter(slot_share=1.75, kind=ListenerKind.REQUEST):
    return create_limiter(kind, slot_share)


def run_requests(limiter, duration, count, start=0.0):
    """Run requests one after another, with the limit always in use."""
    now = start
    for _request in range(count):
        is_admitted = True
        while is_admitted:
            is_admitted = admit(limiter, now) is ADMITTED
        now += duration / limiter.limit
        release(limiter, duration, FlowOutcome.FINISHED, now)
    return now


def test_first_limit_is_four_times_the_share_of_slots():
    """Guards against overloading or idling backend servers at the start."""
    limiter = make_limiter()
    outcomes = [admit(limiter, 0) for _flow in range(8)]
    assert outcomes == [ADMITTED] * 7 + [REFUSED_BY_LIMIT]
    assert limiter.open_count == 7


def test_limit_never_falls_below_one():
    """Guards against a route that can never detect the end of an overload."""
    limiter = make_limiter(slot_share=0.01)
    for second in range(100):
        assert admit(limiter, second) is ADMITTED
        release(limiter, 0.01, FlowOutcome.SHED, second)
    assert limiter.limit == 1


def test_limit_rises_while_durations_are_short():
    """Guards against holding a service with free slots at its first limit."""
    limiter = make_limiter()
    run_requests(limiter, 0.04, 500)
    assert limiter.limit > 10


def test_limit_falls_when_durations_double():
    """Guards against queues at backend servers growing with the callers."""
    limiter = make_limiter(slot_share=5)
    now = run_requests(limiter, 0.04, 20)
    limit = limiter.limit
    run_requests(limiter, 0.1, 40, now)
    assert limiter.limit < 0.7 * limit


def test_changed_service_time_is_learned():
    """Guards against limiting a release three times slower forever."""
    limiter = make_limiter(slot_share=2)
    now = run_requests(limiter, 0.04, 50)
    now = run_requests(limiter, 0.12, 2000, now)
    assert limiter.baseline.seconds > 0.06
    assert limiter.limit > 4


def test_sheds_of_one_moment_decrease_the_limit_once():
    """Guards against one full queue reducing the limit to one."""
    limiter = make_limiter(slot_share=5)
    for _flow in range(10):
        admit(limiter, 5)
        release(limiter, 0.001, FlowOutcome.SHED, 5)
    assert limiter.limit == pytest.approx(16)


def test_feeds_are_limited_only_after_sheds():
    """Guards against limiting feeds by their lifetime."""
    limiter = make_limiter(kind=ListenerKind.FEED)
    for _feed in range(2000):
        assert admit(limiter, 0) is ADMITTED
    release(limiter, 86400, FlowOutcome.FINISHED, 0)
    assert limiter.limit == inf
    release(limiter, 0.001, FlowOutcome.SHED, 10)
    assert limiter.limit == 1998
    assert admit(limiter, 10) is REFUSED_BY_LIMIT
    assert admit(limiter, 11) is ADMITTED


def test_cancelled_and_unknown_flows_are_released():
    """Guards against cancelled flows using up the limit."""
    limiter = make_limiter()
    limit = limiter.limit
    for outcome in (FlowOutcome.CANCELLED, FlowOutcome.UNKNOWN):
        admit(limiter, 0)
        release(limiter, 0.5, outcome, 1)
    assert limiter.open_count == 0
    assert limiter.limit == limit


def test_reset_keeps_open_flows():
    """Guards against a wrong count of open flows after a process pause."""
    limiter = make_limiter()
    record_admitted(limiter)
    run_requests(limiter, 0.04, 100)
    count = limiter.open_count
    reset_limiter(limiter, 1.75)
    assert limiter.limit == 7
    assert limiter.open_count == count
