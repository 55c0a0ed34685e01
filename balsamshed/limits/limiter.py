"""Limiter: concurrency limit of one route at one owner.

The limit follows from what is observed. Like gradient limiters it compares
the present mean duration with the lowest recent one, and like TCP it rises
additively and falls multiplicatively.
"""

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Final

from balsamshed.configuration.resources import ListenerKind

#: The first limit in relation to the owner's share of the slots. With eight
#: owners a share is one or two slots, and the arrivals at one owner vary more
#: than those at all: a factor of 2 refused up to 1% of ordinary work.
INITIAL_LIMIT_FACTOR: Final = 4.0

#: Requests whose mean duration is compared. Single durations vary too much:
#: the shortest of many says nothing about queueing.
WINDOW_REQUESTS: Final = 10

#: Mean durations above this multiple of the lowest one mean queueing.
QUEUEING_FACTOR: Final = 2.0

#: Part of the limit that is left after a decrease.
DECREASE_FACTOR: Final = 0.8

#: Rise of the lowest duration towards the present one for each window, and
#: the same while the limit is at its least, where the present duration can
#: hardly be due to the limit.
AGING_WEIGHT: Final = 0.01
FAST_AGING_WEIGHT: Final = 0.2

#: Rise of a feed listener's limit after sheds, as a part of it per second.
FEED_INCREASE_PER_SECOND: Final = 0.01

#: One congestion is answered by one decrease.
DECREASE_INTERVAL_SECONDS: Final = 0.1


class FlowOutcome(Enum):
    """How a flow that was admitted ended."""

    #: The response was complete.
    FINISHED = 'finished'
    #: The backend servers refused it: it did not run.
    SHED = 'shed'
    #: The caller gave up.
    CANCELLED = 'cancelled'
    #: It was reset or forgotten.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Admitted:
    """Sentinel: the flow may be placed."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Sentinel: the flow must be refused before anything is forwarded.

    Parameters
    ----------
    reason : str
        Why it is refused.
    """

    reason: str


ADMITTED: Final = Admitted()
REFUSED_BY_LIMIT: Final = Refused('concurrency limit of the listener')


@dataclass(slots=True)
class Limiter:
    """Concurrency limit of one route at one owner.

    Attributes
    ----------
    kind : ListenerKind
        Kind of the route's listener; a feed listener is limited only after
        sheds.
    limit : float
        Open flows that are allowed, at least one; infinite for feeds until
        one is shed.
    open_count : int
        Flows that are admitted and not released.
    baseline_seconds : float
        Lowest mean duration of a window, in seconds; rises slowly.
    window_seconds, window_count : float, int
        Sum and number of the durations of the present window.
    decreased_at : float
        Monotonic time of the last decrease.
    raised_at : float
        Monotonic time up to which a feed listener's rise is accounted for.
    """

    kind: ListenerKind
    limit: float
    open_count: int = 0
    baseline_seconds: float = inf
    window_seconds: float = 0
    window_count: int = 0
    decreased_at: float = -inf
    raised_at: float = 0


def create_limiter(kind: ListenerKind, slot_share: float) -> Limiter:
    """Create a limiter with its first limit.

    Parameters
    ----------
    kind : ListenerKind
        Kind of the route's listener.
    slot_share : float
        The service's slots divided by the number of balancers.

    Returns
    -------
    Limiter
        A limiter without open flows.
    """
    return Limiter(kind, _get_initial_limit(kind, slot_share))


def reset_limiter(limiter: Limiter, slot_share: float) -> None:
    """Return to the first limit, for example after a pause of the process.

    Parameters
    ----------
    limiter : Limiter
        Changed in place; open flows stay counted.
    slot_share : float
        The service's slots divided by the number of balancers.
    """
    limiter.limit = _get_initial_limit(limiter.kind, slot_share)
    limiter.baseline_seconds = inf
    limiter.window_seconds = 0
    limiter.window_count = 0
    limiter.decreased_at = -inf


def admit(limiter: Limiter, now: float) -> Admitted | Refused:
    """Admit a new flow if the limit allows it.

    Parameters
    ----------
    limiter : Limiter
        Counts the flow if it is admitted.
    now : float
        Monotonic seconds.

    Returns
    -------
    Admitted or Refused
        An admitted flow must be released once.
    """
    if limiter.kind is ListenerKind.FEED and limiter.limit < inf:
        _raise_feed_limit(limiter, now)
    # A limit of 1.9 allows one open flow.
    if limiter.open_count + 1 > limiter.limit:
        return REFUSED_BY_LIMIT
    limiter.open_count += 1
    return ADMITTED


def record_admitted(limiter: Limiter) -> None:
    """Count a flow that another owner admitted, whatever the limit."""
    limiter.open_count += 1


def release(
    limiter: Limiter,
    duration_seconds: float,
    outcome: FlowOutcome,
    now: float,
) -> None:
    """Release a flow and learn from it.

    Parameters
    ----------
    limiter : Limiter
        Changed in place.
    duration_seconds : float
        Time from SYN to end.
    outcome : FlowOutcome
        How the flow ended.
    now : float
        Monotonic seconds.
    """
    was_in_use = 2 * limiter.open_count >= limiter.limit
    limiter.open_count = max(0, limiter.open_count - 1)
    if outcome is FlowOutcome.SHED:
        _decrease(limiter, now)
    elif limiter.kind is ListenerKind.FEED:
        return
    elif outcome is FlowOutcome.FINISHED or (
        # The duration of a cancelled request is a lower bound.
        outcome is FlowOutcome.CANCELLED
        and duration_seconds > QUEUEING_FACTOR * limiter.baseline_seconds
    ):
        _update_from_duration(limiter, duration_seconds, was_in_use, now)


def _update_from_duration(
    limiter: Limiter,
    duration_seconds: float,
    was_in_use: bool,
    now: float,
) -> None:
    limiter.window_seconds += duration_seconds
    limiter.window_count += 1
    if was_in_use and limiter.baseline_seconds < inf:
        if duration_seconds <= QUEUEING_FACTOR * limiter.baseline_seconds:
            # About one for each round of requests.
            limiter.limit += 1 / limiter.limit
    if limiter.window_count < WINDOW_REQUESTS:
        return
    mean = limiter.window_seconds / limiter.window_count
    limiter.window_seconds = 0
    limiter.window_count = 0
    lowest = limiter.baseline_seconds
    if mean < lowest:
        limiter.baseline_seconds = mean
        return
    if mean > QUEUEING_FACTOR * lowest:
        _decrease(limiter, now)
    weight = FAST_AGING_WEIGHT if limiter.limit < 2 else AGING_WEIGHT
    limiter.baseline_seconds += weight * (mean - lowest)


def _decrease(limiter: Limiter, now: float) -> None:
    if now - limiter.decreased_at < DECREASE_INTERVAL_SECONDS:
        return
    limiter.decreased_at = now
    if limiter.kind is ListenerKind.FEED:
        # Open feeds stay, so the limit starts at what is open.
        limiter.limit = max(1, min(limiter.limit, limiter.open_count))
        limiter.raised_at = now
    else:
        limiter.limit = max(1, DECREASE_FACTOR * limiter.limit)


def _raise_feed_limit(limiter: Limiter, now: float) -> None:
    elapsed = max(0, now - limiter.raised_at)
    limiter.raised_at = now
    rise = max(1, FEED_INCREASE_PER_SECOND * limiter.limit)
    limiter.limit += elapsed * rise


def _get_initial_limit(kind: ListenerKind, slot_share: float) -> float:
    if kind is ListenerKind.FEED:
        return inf
    return max(1, INITIAL_LIMIT_FACTOR * slot_share)
