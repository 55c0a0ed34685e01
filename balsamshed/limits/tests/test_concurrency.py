"""Tests of the learned limit of the requests in flight to a service."""

import pytest

from balsamshed.limits.baseline import WINDOW_REQUESTS
from balsamshed.limits.concurrency import (
    CALM_SECONDS,
    POSTPONED_BY_LIMIT,
    REFUSED_BY_LIMIT,
    ConcurrencyLimit,
    LimitedOpening,
    admit_within_limit,
    decrease_limit,
    is_active,
    is_queueing,
    record_answer,
    record_priority,
    smooth_in_flight,
)
from balsamshed.limits.verdicts import ADMITTED

GOAL_SECONDS = 0.5
ANSWER_BYTES = 600
NOW = 100.0
URGENT, OTHER = 0, 1


def answer(limit, seconds, amount=ANSWER_BYTES, priority=OTHER):
    """Record an answer, and return whether it shows an overload."""
    return record_answer(limit, seconds, GOAL_SECONDS, priority, amount)


def build_limit(in_flight=10):
    """Return the limit of a service that is overloaded since a moment ago."""
    limit = ConcurrencyLimit()
    for _ in range(WINDOW_REQUESTS):
        answer(limit, 0.02)
    for priority in (URGENT, OTHER):
        record_priority(limit, priority, NOW)
    if in_flight:
        decrease_limit(limit, in_flight, 1, NOW)
    return limit


def build_opening(**changes):
    fields = {
        'in_flight': 0,
        'priority': OTHER,
        'attempt': 0,
        'latency_goal_seconds': GOAL_SECONDS,
        **changes,
    }
    return LimitedOpening(**fields)


def test_nothing_is_limited_without_overload():
    """Guards against refusals on ordinary days, however many requests run."""
    limit = build_limit(in_flight=0)
    opening = build_opening(in_flight=10_000)
    assert admit_within_limit(limit, opening, NOW) == ADMITTED


def test_opening_over_the_limit_is_refused():
    """Guards against more requests than the endpoints answer in time."""
    limit = build_limit()
    opening = build_opening(in_flight=8, attempt=1)
    assert admit_within_limit(limit, opening, NOW) == REFUSED_BY_LIMIT
    opening = build_opening(in_flight=7, attempt=1)
    assert admit_within_limit(limit, opening, NOW) == ADMITTED


@pytest.mark.parametrize(
    ('goal_seconds', 'attempt', 'verdict'),
    [
        (0.5, 0, POSTPONED_BY_LIMIT),
        (0.5, 1, REFUSED_BY_LIMIT),
        (0.3, 0, REFUSED_BY_LIMIT),
        (0, 0, REFUSED_BY_LIMIT),
    ],
)
def test_opening_waits_only_if_it_can_still_be_in_time(
    goal_seconds, attempt, verdict
):
    """Guards against waiting callers whose requests are late when they run."""
    opening = build_opening(
        in_flight=20, latency_goal_seconds=goal_seconds, attempt=attempt
    )
    assert admit_within_limit(build_limit(), opening, NOW) == verdict


def test_most_urgent_requests_have_room_above_the_limit():
    """Guards against urgent requests refused with the others in a flood."""
    limit = build_limit()
    opening = build_opening(in_flight=12, priority=URGENT)
    assert admit_within_limit(limit, opening, NOW) == ADMITTED
    opening = build_opening(in_flight=13, priority=URGENT, attempt=1)
    assert admit_within_limit(limit, opening, NOW) == REFUSED_BY_LIMIT


def test_no_kind_starves():
    """Guards against a flood of urgent requests that shuts out all others."""
    limit = build_limit()
    verdicts = []
    for _ in range(100):
        opening = build_opening(priority=URGENT)
        admit_within_limit(limit, opening, NOW)
        opening = build_opening(in_flight=8, attempt=1)
        verdicts.append(admit_within_limit(limit, opening, NOW))
    assert 10 <= verdicts.count(ADMITTED) <= 12


def test_limit_rises_with_answers_in_time_and_ends_with_the_overload():
    """Guards against refusals that go on after the overload."""
    limit = build_limit()
    before = limit.limit
    assert not answer(limit, 0.02)
    assert limit.limit > before
    later = NOW + CALM_SECONDS + 0.01
    assert admit_within_limit(limit, build_opening(), later) == ADMITTED
    assert not is_active(limit)


def test_limit_falls_when_answers_are_nearly_late():
    """Guards against queues so long that their requests miss their goal."""
    limit = build_limit(in_flight=0)
    verdicts = [answer(limit, 0.4) for _ in range(8)]
    assert not verdicts[0]
    assert verdicts[-1]
    assert is_queueing(limit)


def test_slow_work_without_a_queue_is_no_overload():
    """Guards against a limit where requests simply take long."""
    limit = ConcurrencyLimit()
    for _ in range(5 * WINDOW_REQUESTS):
        assert not answer(limit, 0.4)


def test_limit_falls_once_for_the_openings_of_one_moment():
    """Guards against a limit that collapses on a single full endpoint."""
    limit = build_limit()
    for _ in range(10):
        decrease_limit(limit, 10, 1, NOW + 0.01)
    assert limit.limit == pytest.approx(8)


def test_limit_stays_above_an_equal_share():
    """Guards against idle slots while callers are refused."""
    limit = build_limit()
    for second in range(100):
        decrease_limit(limit, 10, 2.5, NOW + second)
    assert limit.limit == pytest.approx(2.5)


def test_rejections_are_signs_of_overload():
    """Guards against a limit that rises with the quick answers of full
    endpoints.
    """
    limit = build_limit(in_flight=0)
    for _ in range(10):
        answer(limit, 0.1)
    before = limit.mean_seconds
    assert answer(limit, 0.001, 100)
    assert limit.mean_seconds == before


def test_answers_that_became_shorter_are_rejections_no_longer():
    """Guards against a limit that falls for ever after a release."""
    limit = build_limit(in_flight=0)
    for _ in range(200):
        answer(limit, 0.1, 100)
    assert not answer(limit, 0.1, 100)


@pytest.mark.parametrize(('answers', 'held'), [(1, 2), (4, 10)])
def test_long_flows_do_not_enter_in_short_pauses(answers, held):
    """Guards against open flows that add up to more than can be answered."""
    limit = build_limit(in_flight=0)
    opening = build_opening()
    for _ in range(50):
        admit_within_limit(limit, opening, NOW)
        for _ in range(answers):
            answer(limit, 0.1)
    smooth_in_flight(limit, 10, OTHER, NOW)
    in_flight = smooth_in_flight(limit, 2, OTHER, NOW + 0.001)
    assert in_flight == pytest.approx(held, rel=0.01)
