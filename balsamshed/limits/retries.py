"""Retry budget: how many refused flows may be tried elsewhere."""

from dataclasses import dataclass
from typing import Final

#: Retries for each successful connection, as one in this number. Counted in
#: whole credits, so that no rounding error adds up.
SUCCESSES_PER_RETRY: Final = 10

#: Retries that a new budget allows, and the most that it keeps: successes
#: of quiet times must not pay for a burst of retries during overload.
MAX_SAVED_RETRIES: Final = 10


@dataclass(slots=True)
class RetryBudget:
    """Retries that are left, in tenths of a retry.

    Attributes
    ----------
    credits : int
        Ten for each retry that is left.
    """

    credits: int = MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY


def record_success(budget: RetryBudget) -> None:
    """Add a tenth of a retry for a successful connection.

    Parameters
    ----------
    budget : RetryBudget
        Changed in place, up to the reserve.
    """
    budget.credits = min(
        budget.credits + 1,
        MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY,
    )


def take_retry(budget: RetryBudget) -> bool:
    """Take one retry from the budget if one is left.

    Parameters
    ----------
    budget : RetryBudget
        Changed in place if a retry is left.

    Returns
    -------
    bool
        Whether the flow may be tried on another backend server.
    """
    if budget.credits < SUCCESSES_PER_RETRY:
        return False
    budget.credits -= SUCCESSES_PER_RETRY
    return True
