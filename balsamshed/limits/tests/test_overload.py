"""Tests of load shedding: order of the work classes, and hysteresis."""

from balsamshed.configuration.resources import WorkClass
from balsamshed.limits.overload import OverloadState, record_loop_delay

BULK = frozenset((WorkClass.BULK,))
BOTH = frozenset((WorkClass.BULK, WorkClass.URGENT))


def test_least_urgent_class_is_refused_first():
    """Guards against refusing urgent work while bulk work is admitted."""
    state = OverloadState()
    assert record_loop_delay(state, 0.049, 0) == frozenset()
    assert record_loop_delay(state, 0.05, 1) == BULK
    assert record_loop_delay(state, 0.199, 2) == BULK
    assert record_loop_delay(state, 0.2, 3) == BOTH


def test_feeds_are_never_refused():
    """Guards against refusing feeds when the balancer is overloaded."""
    state = OverloadState()
    assert WorkClass.FEED not in record_loop_delay(state, 60, 0)


def test_class_stays_refused_between_the_thresholds():
    """Guards against flapping: refusing work itself lowers the delay."""
    state = OverloadState()
    record_loop_delay(state, 0.06, 0)
    assert record_loop_delay(state, 0.03, 5) == BULK
    assert record_loop_delay(state, 0.01, 5.5) == BULK
    assert record_loop_delay(state, 0.01, 6) == frozenset()
    assert record_loop_delay(state, 0.03, 7) == frozenset()


def test_single_low_sample_does_not_end_the_refusal():
    """Guards against readmitting a flood after one low sample by chance."""
    state = OverloadState()
    record_loop_delay(state, 0.3, 0)
    assert record_loop_delay(state, 0, 0.1) == BOTH
    assert record_loop_delay(state, 0.11, 0.2) == BOTH
    assert record_loop_delay(state, 0, 1.1) == BOTH
    assert record_loop_delay(state, 0, 1.2) == frozenset()
