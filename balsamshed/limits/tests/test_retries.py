"""Guards against retries that add to an overload."""

from balsamshed.limits.retries import RetryBudget, record_success, take_retry


def test_reserve_is_ten_retries():
    """A dead fleet must not be sent every flow three times."""
    budget = RetryBudget()
    assert sum(take_retry(budget) for _flow in range(100)) == 10


def test_ten_successes_allow_one_retry():
    """Retries must stay at a tenth of the successful connections."""
    budget = RetryBudget(credits=0)
    for _connection in range(9):
        record_success(budget)
    assert not take_retry(budget)
    record_success(budget)
    assert take_retry(budget)
    assert not take_retry(budget)


def test_successes_of_quiet_times_are_not_saved():
    """A long quiet time must not pay for a burst of retries."""
    budget = RetryBudget()
    for _connection in range(10_000):
        record_success(budget)
    assert sum(take_retry(budget) for _flow in range(100)) == 10
