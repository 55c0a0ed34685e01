"""Retry budget for flows that a backend server refused."""

from dataclasses import dataclass
from typing import Final

#: Successful connections that pay for one retry, at one credit each. Credits
#: are integers, so that no rounding error accumulates.
SUCCESSES_PER_RETRY: Final = 10

#: Initial and maximum balance of a budget: successes during low load must not
#: pay for a burst of retries during overload.
MAX_SAVED_RETRIES: Final = 10


@dataclass(slots=True)
class RetryBudget:
    """Balance of a retry budget.

    Attributes
    ----------
    credits : int
        Remaining credits; a retry costs `SUCCESSES_PER_RETRY`.
    """

    credits: int = MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY


def record_success(budget: RetryBudget) -> None:
    """Add a credit for a successful connection.

    Parameters
    ----------
    budget : RetryBudget
        Changed in place, up to `MAX_SAVED_RETRIES`.
    """
    budget.credits = min(
        budget.credits + 1,
        MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY,
    )


def take_retry(budget: RetryBudget) -> bool:
    """Pay for one retry if the budget allows it.

    Parameters
    ----------
    budget : RetryBudget
        Changed in place if the retry is allowed.

    Returns
    -------
    bool
        Whether the flow may be retried on another backend server.
    """
    if budget.credits < SUCCESSES_PER_RETRY:
        return False
    budget.credits -= SUCCESSES_PER_RETRY
    return True
