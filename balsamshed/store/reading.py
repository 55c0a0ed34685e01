"""Decisions about when to read the store.

A watch that stays silent does not prove that nothing changed, since the store
may drop its history while the watch waits. What a balancer believes is
therefore read again at a fixed interval, so that its age is bounded.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

#: Time between two reads of one source. With the call's own time it stays far
#: below the 3 s in which a drain has to be in force.
READ_INTERVAL_SECONDS: Final = 1.0
#: A read without a response is given up after this time. A slow store takes
#: 60 times its usual 4 ms.
READ_TIMEOUT_SECONDS: Final = 1.0
#: First wait after a failed read, doubled for each further one.
FIRST_RETRY_SECONDS: Final = 0.1
LONGEST_RETRY_SECONDS: Final = 0.8


class Source(StrEnum):
    """What is read from the store."""

    ENDPOINTS = 'endpoints'
    ROUTES = 'routes'


@dataclass(slots=True)
class SourceState:
    """Reads of one source.

    Attributes
    ----------
    due_at : float
        Monotonic seconds of the next read.
    started_at : float or None
        Start of the read in progress.
    confirmed_at : float or None
        Start of the last read that succeeded: what is believed was true then.
    failures : int
        Failed reads since then.
    """

    due_at: float = 0
    started_at: float | None = None
    confirmed_at: float | None = None
    failures: int = 0


@dataclass(slots=True)
class ReadSchedule:
    """Reads of all sources.

    Attributes
    ----------
    sources : dict of Source to SourceState
        One entry for each source.
    """

    sources: dict[Source, SourceState] = field(
        default_factory=lambda: {source: SourceState() for source in Source},
    )


def take_due_reads(schedule: ReadSchedule, now: float) -> tuple[Source, ...]:
    """Return the sources to read now, and note that their reads start."""
    due = tuple(
        source
        for source, state in schedule.sources.items()
        if state.started_at is None and state.due_at <= now
    )
    for source in due:
        schedule.sources[source].started_at = now
    return due


def note_read(schedule: ReadSchedule, source: Source) -> bool:
    """Note that a read succeeded.

    Returns
    -------
    bool
        Whether the store had failed before, so that contact is regained.
    """
    state = schedule.sources[source]
    started_at = state.started_at or 0
    was_failing = state.failures > 0
    state.confirmed_at = started_at
    state.due_at = started_at + READ_INTERVAL_SECONDS
    state.started_at = None
    state.failures = 0
    return was_failing


def note_read_failed(
    schedule: ReadSchedule,
    source: Source,
    now: float,
    draw: Callable[[int], int],
) -> bool:
    """Note that a read failed, and choose when it is repeated.

    Parameters
    ----------
    schedule : ReadSchedule
        Changed in place.
    source : Source
        What was read.
    now : float
        Monotonic seconds.
    draw : callable
        Returns a random integer from 0 to below its argument; spreads the
        repetitions of balancers that failed together.

    Returns
    -------
    bool
        Whether this is the first failure since a read succeeded.
    """
    state = schedule.sources[source]
    state.started_at = None
    wait = min(
        FIRST_RETRY_SECONDS * (1 << min(state.failures, 8)),
        LONGEST_RETRY_SECONDS,
    )
    state.due_at = now + wait * (0.5 + draw(512) / 1024)
    state.failures += 1
    return state.failures == 1


def get_age(schedule: ReadSchedule, source: Source, now: float) -> float:
    """Return the age of what is believed, in seconds; infinite before it."""
    confirmed_at = schedule.sources[source].confirmed_at
    return float('inf') if confirmed_at is None else now - confirmed_at
