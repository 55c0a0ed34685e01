"""What a run of the soak shows, and which of its faults a failure needs."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One entry of a schedule.

    Parameters
    ----------
    starts_at : float
        Seconds since the start.
    kind : str
        Name of the fault.
    target : int
        Balancer or endpoint.
    duration_seconds : float
        How long it lasts.
    """

    starts_at: float
    kind: str
    target: int
    duration_seconds: float


class OutcomeKind(StrEnum):
    """What came of a flow."""

    SERVED = 'served'
    LATE = 'late'
    NOT_SERVED = 'not served'


@dataclass(frozen=True, slots=True)
class FlowOutcome:
    """What came of one flow.

    Parameters
    ----------
    started_at : float
        Seconds since the start at which its caller began.
    kind : OutcomeKind
        Late means that an opening packet had to be repeated.
    """

    started_at: float
    kind: OutcomeKind


@dataclass(frozen=True, slots=True)
class SeedResult:
    """One played seed.

    Parameters
    ----------
    seed : int
        The seed.
    faults : tuple of ScheduledFault
        Its schedule.
    outcomes : tuple of FlowOutcome
        Flows, in any order.
    violations : tuple of str
        Every broken promise, in words.
    """

    seed: int
    faults: tuple[ScheduledFault, ...]
    outcomes: tuple[FlowOutcome, ...]
    violations: tuple[str, ...]


def shrink_schedule(
    faults: tuple[ScheduledFault, ...],
    still_fails: Callable[[tuple[ScheduledFault, ...]], bool],
) -> tuple[ScheduledFault, ...]:
    """Leave out, one by one, the faults without which a run still fails.

    Parameters
    ----------
    faults : tuple of ScheduledFault
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
