"""Results of a soak run, and the reduction of a failing schedule."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault of a schedule.

    Parameters
    ----------
    starts_at : float
        Seconds since the start of the run.
    kind : str
        Kind of the fault.
    target : int
        Number of the balancer or endpoint that the fault affects.
    duration_seconds : float
        Duration of the fault.
    """

    starts_at: float
    kind: str
    target: int
    duration_seconds: float


class OutcomeKind(StrEnum):
    """How a flow was served."""

    SERVED = 'served'
    LATE = 'late'
    NOT_SERVED = 'not served'


@dataclass(frozen=True, slots=True)
class FlowOutcome:
    """Outcome of one flow.

    Parameters
    ----------
    started_at : float
        Seconds between the start of the run and the first opening packet.
    kind : OutcomeKind
        ``LATE`` means that the opening packet had to be sent again.
    """

    started_at: float
    kind: OutcomeKind


@dataclass(frozen=True, slots=True)
class SeedResult:
    """Result of one seed.

    Parameters
    ----------
    seed : int
        The seed.
    faults : tuple of ScheduledFault
        Schedule of the seed.
    outcomes : tuple of FlowOutcome
        Outcomes of the flows, in any order.
    violations : tuple of str
        Descriptions of the violations.
    """

    seed: int
    faults: tuple[ScheduledFault, ...]
    outcomes: tuple[FlowOutcome, ...]
    violations: tuple[str, ...]


def shrink_schedule(
    faults: tuple[ScheduledFault, ...],
    still_fails: Callable[[tuple[ScheduledFault, ...]], bool],
) -> tuple[ScheduledFault, ...]:
    """Remove, one by one, the faults that a failure does not need.

    Parameters
    ----------
    faults : tuple of ScheduledFault
        A schedule that failed.
    still_fails : callable
        Runs a schedule and returns whether it fails.

    Returns
    -------
    tuple of Fault
        Remaining faults; all of them if no shorter schedule fails.
    """
    needed = faults
    for fault in faults:
        shorter = tuple(other for other in needed if other is not fault)
        if still_fails(shorter):
            needed = shorter
    return needed
