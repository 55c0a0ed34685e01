"""Tests of the limit of hedged openings and of their delay."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamshed.limits.hedging import (
    MAX_DELAY_SECONDS,
    MIN_DELAY_SECONDS,
    MIN_SAMPLES,
    SILENCE_SECONDS,
    Hedging,
    SentHedge,
    may_send_hedge,
    record_opened,
    record_sent,
    record_taken_up,
    take_silent,
)
from balsamshed.steering.options import HedgeLimit

FLOW = b'flow'


def create_hedging(share=0.1, burst=2):
    return Hedging(HedgeLimit(share, burst))


def learn(hedging, *durations):
    for seconds in durations:
        record_taken_up(hedging, FLOW, 1, seconds)


@given(
    st.floats(0, 1),
    st.integers(0, 5),
    st.lists(st.booleans(), max_size=300),
)
def test_hedges_are_a_share_of_the_openings_and_one_burst(share, burst, wishes):
    """Guards against more work for the endpoints than the operator allows,
    over any stretch of openings."""
    hedging = create_hedging(share, burst)
    sent = []
    for is_wished in wishes:
        record_opened(hedging)
        is_sent = is_wished and may_send_hedge(hedging)
        if is_sent:
            record_sent(hedging, SentHedge(FLOW, 1, 2, 0))
        sent.append(is_sent)
    for start in range(0, len(sent), 7):
        stretch = sent[start:]
        assert sum(stretch) <= share * len(stretch) + burst + 1e-6


def test_nothing_is_hedged_before_enough_openings():
    """Guards against hedges after a delay that nothing supports."""
    hedging = create_hedging()
    learn(hedging, *[0.003] * (MIN_SAMPLES - 1))
    assert hedging.delay_seconds is None
    learn(hedging, 0.003)
    assert hedging.delay_seconds == MIN_DELAY_SECONDS


def test_delay_follows_what_most_openings_take():
    """Guards against hedges for openings that are not late, and against a
    delay that a few late ones move."""
    hedging = create_hedging()
    learn(hedging, *[0.02] * 97, *[0.6] * 3)
    assert hedging.delay_seconds == pytest.approx(0.04)
    learn(hedging, *[0.15] * 100)
    assert hedging.delay_seconds == MAX_DELAY_SECONDS


def test_a_hedged_opening_teaches_no_delay():
    """Guards against a delay that grows with each hedge that was needed."""
    hedging = create_hedging()
    learn(hedging, *[0.01] * MIN_SAMPLES)
    for _ in range(50):
        record_sent(hedging, SentHedge(FLOW, 1, 2, 0))
        assert record_taken_up(hedging, FLOW, 2, 0.09)
    learn(hedging, *[0.01] * 10)
    assert hedging.delay_seconds == pytest.approx(0.02)


def test_only_the_second_endpoint_wins_a_hedge():
    """Guards against a first endpoint that is suspected though it answered."""
    hedging = create_hedging()
    hedge = SentHedge(FLOW, 1, 2, opened_at=5)
    record_sent(hedging, hedge)
    assert not record_taken_up(hedging, FLOW, 1, 0.1)
    assert take_silent(hedging, 5 + SILENCE_SECONDS) == ()
    record_sent(hedging, hedge)
    assert record_taken_up(hedging, FLOW, 2, 0.1)
    assert take_silent(hedging, 5.1) == ()
    assert take_silent(hedging, 5 + SILENCE_SECONDS) == (hedge,)
    assert take_silent(hedging, 5 + SILENCE_SECONDS) == ()


def test_unanswered_hedges_are_forgotten():
    """Guards against a table that grows with each endpoint that stops."""
    hedging = create_hedging()
    record_sent(hedging, SentHedge(FLOW, 1, 2, opened_at=5))
    assert take_silent(hedging, 6) == ()
    assert hedging.sent == {}
