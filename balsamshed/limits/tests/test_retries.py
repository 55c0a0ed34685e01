"""Tests of the retry budget: retries must not add to an overload."""

from balsamshed.limits.retries import RetryBudget, record_success, take_retry


def test_reserve_is_ten_retries():
    """Guards against sending each flow three times when all servers fail."""
    budget = RetryBudget()
    assert sum(take_retry(budget) for _flow in range(100)) == 10


def test_ten_successes_allow_one_retry():
    """Guards against retries above a tenth of the successful connections."""
    budget = RetryBudget(credits=0)
    for _connection in range(9):
        record_success(budget)
    assert not take_retry(budget)
    record_success(budget)
    assert take_retry(budget)
    assert not take_retry(budget)


def test_successes_during_low_load_are_not_saved():
    """Guards against a burst of retries after a long time of low load."""
    budget = RetryBudget()
    for _connection in range(10_000):
        record_success(budget)
    assert sum(take_retry(budget) for _flow in range(100)) == 10
