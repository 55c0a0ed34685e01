"""What a run of the soak shows, and which of its faults a failure needs."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Fault:
    """One entry of a schedule.

    Parameters
    ----------
    at : float
        Seconds since the start.
    kind : str
        Name of the fault.
    target : int
        Balancer or endpoint.
    seconds : float
        How long it lasts.
    """

    at: float
    kind: str
    target: int
    seconds: float


class OutcomeKind(StrEnum):
    """What came of a flow."""

    SERVED = 'served'
    LATE = 'late'
    NOT_SERVED = 'not served'


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one flow.

    Parameters
    ----------
    at : float
        Seconds since the start at which its caller began.
    kind : OutcomeKind
        Late means that an opening packet had to be repeated.
    """

    at: float
    kind: OutcomeKind


@dataclass(frozen=True, slots=True)
class Run:
    """One played seed.

    Parameters
    ----------
    seed : int
        The seed.
    faults : tuple of Fault
        Its schedule.
    outcomes : tuple of Outcome
        Flows, in any order.
    violations : tuple of str
        Every broken promise, in words.
    """

    seed: int
    faults: tuple[Fault, ...]
    outcomes: tuple[Outcome, ...]
    violations: tuple[str, ...]


def shrink(
    faults: tuple[Fault, ...],
    still_fails: Callable[[tuple[Fault, ...]], bool],
) -> tuple[Fault, ...]:
    """Leave out, one by one, the faults without which a run still fails.

    Parameters
    ----------
    faults : tuple of Fault
        A schedule that failed.
    still_fails : callable
        Plays a schedule again.

    Returns
    -------
    tuple of Fault
        What is left; all of it if no shorter schedule failed again.
    """
    needed = faults
    for fault in faults:
        shorter = tuple(other for other in needed if other is not fault)
        if still_fails(shorter):
            needed = shorter
    return needed
