"""Adaptive concurrency limit of one route at one owner.

Like gradient limiters, the limiter compares the current mean duration with
the lowest recent mean (the baseline). Like TCP congestion control, it
increases the limit additively and decreases it multiplicatively.
"""

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Final

from balsamshed.configuration.resources import ListenerKind
from balsamshed.limits.baseline import (
    AGING_WEIGHT,
    DurationBaseline,
    complete_window,
    update_baseline,
)
from balsamshed.limits.verdicts import ADMITTED, Admitted, Refused

#: Initial limit as a multiple of the owner's share of the slots. With eight
#: owners a share is one or two slots, and arrivals at one owner vary more than
#: the total: a factor of 2 refused up to 1% of ordinary work.
INITIAL_LIMIT_FACTOR: Final = 4.0

#: Mean durations above this multiple of the baseline indicate queueing.
QUEUEING_FACTOR: Final = 2.0

#: Fraction of the limit that remains after a decrease.
DECREASE_FACTOR: Final = 0.8

#: Weight of a window's mean in the baseline while the limit is at its minimum,
#: where it can hardly be the cause of longer durations.
FAST_AGING_WEIGHT: Final = 0.2

#: Increase of a feed listener's limit after sheds, as a fraction of the limit
#: per second; at least one flow per second.
FEED_INCREASE_PER_SECOND: Final = 0.01

#: Minimum time between two decreases, so that one congestion event causes one
#: decrease.
DECREASE_INTERVAL_SECONDS: Final = 0.1


class FlowOutcome(Enum):
    """Outcome of an admitted flow."""

    #: The response completed.
    FINISHED = 'finished'
    #: The backend servers refused the flow; it was not run.
    SHED = 'shed'
    #: The caller cancelled the flow.
    CANCELLED = 'cancelled'
    #: The flow was reset or its entry was dropped.
    UNKNOWN = 'unknown'


REFUSED_BY_LIMIT: Final = Refused('concurrency limit of the listener')


@dataclass(slots=True)
class Limiter:
    """State of the concurrency limit of one route at one owner.

    Attributes
    ----------
    kind : ListenerKind
        Kind of the route's listener; a feed listener is limited only after
        sheds.
    limit : float
        Maximum number of open flows, at least one; infinite for feeds until
        one is shed.
    open_count : int
        Number of flows admitted and not yet released.
    baseline : DurationBaseline
        Durations of its requests.
    decreased_at : float
        Monotonic time of the last decrease.
    raised_at : float
        Monotonic time up to which the increase of a feed listener's limit
        has been applied.
    """

    kind: ListenerKind
    limit: float
    open_count: int = 0
    baseline: DurationBaseline = field(default_factory=DurationBaseline)
    decreased_at: float = -inf
    raised_at: float = 0


def create_limiter(kind: ListenerKind, slot_share: float) -> Limiter:
    """Create a limiter with its initial limit.

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
    """Reset to the initial limit, for example after a pause of the process.

    Parameters
    ----------
    limiter : Limiter
        Changed in place; open flows stay counted.
    slot_share : float
        The service's slots divided by the number of balancers.
    """
    limiter.limit = _get_initial_limit(limiter.kind, slot_share)
    limiter.baseline = DurationBaseline()
    limiter.decreased_at = -inf


def admit(limiter: Limiter, now: float) -> Admitted | Refused:
    """Admit a new flow unless the limit is reached.

    Parameters
    ----------
    limiter : Limiter
        Changed in place if the flow is admitted.
    now : float
        Monotonic seconds.

    Returns
    -------
    Admitted or Refused
        An admitted flow must be released exactly once.
    """
    if limiter.kind is ListenerKind.FEED and limiter.limit < inf:
        _raise_feed_limit(limiter, now)
    # The limit is fractional: 1.9 allows one open flow.
    if limiter.open_count + 1 > limiter.limit:
        return REFUSED_BY_LIMIT
    limiter.open_count += 1
    return ADMITTED


def record_admitted(limiter: Limiter) -> None:
    """Count a flow that was admitted earlier, regardless of the limit."""
    limiter.open_count += 1


def release(
    limiter: Limiter,
    duration_seconds: float,
    outcome: FlowOutcome,
    now: float,
) -> None:
    """Release a flow and update the limit from its outcome.

    Parameters
    ----------
    limiter : Limiter
        Changed in place.
    duration_seconds : float
        Time from SYN to end.
    outcome : FlowOutcome
        Outcome of the flow.
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
        and duration_seconds > QUEUEING_FACTOR * limiter.baseline.seconds
    ):
        _update_from_duration(limiter, duration_seconds, was_in_use, now)


def _update_from_duration(
    limiter: Limiter,
    duration_seconds: float,
    was_in_use: bool,
    now: float,
) -> None:
    baseline = limiter.baseline
    if was_in_use and baseline.seconds < inf:
        if duration_seconds <= QUEUEING_FACTOR * baseline.seconds:
            # Adds about one after as many requests as the limit.
            limiter.limit += 1 / limiter.limit
    mean = complete_window(baseline, duration_seconds)
    if mean is None:
        return
    if mean > QUEUEING_FACTOR * baseline.seconds:
        _decrease(limiter, now)
    weight = FAST_AGING_WEIGHT if limiter.limit < 2 else AGING_WEIGHT
    update_baseline(baseline, mean, weight)


def _decrease(limiter: Limiter, now: float) -> None:
    if now - limiter.decreased_at < DECREASE_INTERVAL_SECONDS:
        return
    limiter.decreased_at = now
    if limiter.kind is ListenerKind.FEED:
        # Open feeds are kept, so the limit starts at their number.
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
