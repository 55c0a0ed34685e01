"""Limit of the requests in flight from one balancer to one service.

It is for this load: requests arrive faster than the endpoints can answer them.
An opening that a full endpoint leaves unanswered is repeated until its request
is late, and then tried again, so that endpoints work on requests that nobody
waits for, also for seconds after the arrivals are back to normal. What the
endpoints cannot take in time is therefore refused at once.

Many balancers share the endpoints, and reports of peers are seconds old when
load rises. So each balancer learns its own limit from its own requests, as a
transport protocol learns its share of a link: the limit falls when requests
queue and openings stay unanswered or answers are nearly late, and rises with
each answer in time. There is no limit until that happens.
"""

from dataclasses import dataclass, field
from math import inf
from typing import Final

from balsamshed.limits.baseline import (
    DurationBaseline,
    complete_window,
    update_baseline,
)
from balsamshed.limits.verdicts import ADMITTED, Admitted, Postponed, Refused

#: Mean duration in relation to that without queueing, from which requests
#: count as queueing.
QUEUEING_RATIO: Final = 2.0
#: Share of the latency goal that the mean duration may use up; single
#: requests take longer than the mean.
MAX_GOAL_SHARE: Final = 0.5
#: Answers for each opening from which flows count as long.
LONG_FLOW_REQUESTS: Final = 1.5
#: Factor of the counts of openings and answers with each further one.
COUNT_RETENTION: Final = 0.99
#: Share of the usual length of answers, below which one is a rejection.
REJECTION_SHARE: Final = 0.5
#: Weight of one answer in the usual length.
ANSWER_BYTES_WEIGHT: Final = 0.1
#: Weight of one request in the mean duration.
DURATION_WEIGHT: Final = 0.2
#: Factor of a decrease.
DECREASE: Final = 0.8
#: Least time between two decreases: an effect shows only once the requests
#: admitted before are answered.
DECREASE_SECONDS: Final = 0.2
#: Time without a refusal after which the limit ends.
CALM_SECONDS: Final = 0.5
#: Factor of the limit up to which the most urgent requests are admitted.
URGENT_HEADROOM: Final = 1.5
#: Time after its last opening for which a priority counts as present.
PRESENCE_SECONDS: Final = 5.0
#: Share of the admitted openings that each kind may have however loaded the
#: service is, within the headroom.
FLOOR_SHARE: Final = 0.1
#: Time constant of the counts of admitted openings.
COUNT_SECONDS: Final = 1.0
#: Time constant of the mean of the requests in flight.
SMOOTHING_SECONDS: Final = 1.0

#: Time from the first copy of an opening packet to the second.
REPETITION_SECONDS: Final = 0.2

POSTPONED_BY_LIMIT: Final = Postponed('waits_for_limit')
REFUSED_BY_LIMIT: Final = Refused('over_limit')


@dataclass(frozen=True, slots=True)
class LimitedOpening:
    """A new flow that asks for admission.

    Parameters
    ----------
    in_flight : float
        Requests of this balancer in flight to the service, without those of
        a lower priority if this one is the most urgent.
    priority : int
        Priority of its requests; zero is the most urgent.
    attempt : int
        Number of earlier copies of the opening packet.
    latency_goal_seconds : float
        Time in which its requests should be answered; zero for none.
    """

    in_flight: float
    priority: int
    attempt: int
    latency_goal_seconds: float


@dataclass(slots=True)
class ConcurrencyLimit:
    """Limit of one service, and what it is learned from.

    Attributes
    ----------
    limit : float
        Requests in flight up to which openings are admitted; infinite as long
        as the service is not overloaded.
    smoothed_in_flight, smoothed_at : float
        Mean of the requests in flight over `SMOOTHING_SECONDS`, and the
        monotonic time of its last update.
    baseline : DurationBaseline
        Durations without queueing.
    mean_seconds : float
        Recent mean duration of a request; zero before the first.
    decreased_at, refused_at : float
        Monotonic time of the last decrease and of the last refusal.
    present_at : dict of int to float
        Monotonic time of the last opening of each priority.
    openings, answers : dict of int to float
        Recent openings that were admitted, and requests that were answered, by
        priority.
    answer_bytes : dict of int to float
        Usual length of an answer, by priority.
    admitted : dict of int to float
        Recently admitted openings by priority.
    counted_at : float
        Monotonic time up to which these counts have decayed.
    """

    limit: float = inf
    smoothed_in_flight: float = 0
    smoothed_at: float = -inf
    baseline: DurationBaseline = field(default_factory=DurationBaseline)
    mean_seconds: float = 0
    decreased_at: float = -inf
    refused_at: float = -inf
    present_at: dict[int, float] = field(default_factory=dict)
    openings: dict[int, float] = field(default_factory=dict)
    answers: dict[int, float] = field(default_factory=dict)
    answer_bytes: dict[int, float] = field(default_factory=dict)
    admitted: dict[int, float] = field(default_factory=dict)
    counted_at: float = 0


def record_answer(
    limit: ConcurrencyLimit,
    duration_seconds: float,
    goal_seconds: float,
    priority: int,
    answer_bytes: int,
) -> bool:
    """Record how long a request took, and tell if the limit should fall.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Changed in place.
    duration_seconds, goal_seconds : float
        Duration of the request, and its latency goal; zero for none.
    priority : int
        Priority of the request.
    answer_bytes : int
        Length of the answer, as far as its first acknowledgement covers it.
    """
    _count(limit, limit.answers, priority)
    if _is_rejection(limit, priority, answer_bytes):
        return is_queueing(limit) and not is_active(limit)
    mean_seconds = limit.mean_seconds or duration_seconds
    mean_seconds += DURATION_WEIGHT * (duration_seconds - mean_seconds)
    limit.mean_seconds = mean_seconds
    window_seconds = complete_window(limit.baseline, duration_seconds)
    if window_seconds is not None:
        update_baseline(limit.baseline, window_seconds)
    if goal_seconds and mean_seconds > MAX_GOAL_SHARE * goal_seconds:
        return is_queueing(limit)
    if is_active(limit):
        limit.limit += 1 / max(1, limit.limit)
    return False


def smooth_in_flight(
    limit: ConcurrencyLimit, in_flight: int, priority: int, now: float
) -> float:
    """Return the requests in flight that an opening is compared with.

    If each pause of a service that is full on average let another long flow in,
    open flows would add up to more requests than the endpoints can answer. So
    openings of such flows are compared with the recent mean if it is higher.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Changed in place.
    in_flight : int
        Requests of this balancer that the endpoints of the service hold.
    priority : int
        Priority of the requests of the flow.
    now : float
        Monotonic seconds.
    """
    elapsed = now - limit.smoothed_at
    weight = elapsed / (elapsed + SMOOTHING_SECONDS) if elapsed < inf else 1
    change = in_flight - limit.smoothed_in_flight
    limit.smoothed_in_flight += weight * change
    limit.smoothed_at = now
    if is_queueing(limit) and has_long_flows(limit, priority):
        return max(in_flight, limit.smoothed_in_flight)
    return in_flight


def decrease_limit(
    limit: ConcurrencyLimit, in_flight: float, min_limit: float, now: float
) -> None:
    """Lower the limit, unless that was done a short time ago.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Changed in place.
    in_flight : float
        Requests of this balancer that the endpoints of the service hold.
    min_limit : float
        Lowest limit.
    now : float
        Monotonic seconds.
    """
    if now - limit.decreased_at < DECREASE_SECONDS:
        return
    limit.decreased_at = now
    limit.limit = max(min_limit, DECREASE * min(limit.limit, in_flight))


def admit_within_limit(
    limit: ConcurrencyLimit,
    opening: LimitedOpening,
    now: float,
) -> Admitted | Postponed | Refused:
    """Decide whether a new flow may be opened.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Changed in place.
    opening : LimitedOpening
        The flow that asks for admission.
    now : float
        Monotonic seconds.
    """
    if now - max(limit.refused_at, limit.decreased_at) > CALM_SECONDS:
        limit.limit = inf
        limit.admitted.clear()
    if not is_active(limit):
        _count(limit, limit.openings, opening.priority)
        return ADMITTED
    _decay_counts(limit, now)
    bound = limit.limit
    if is_most_urgent(limit, opening.priority, now) or _is_below_floor(
        limit, opening.priority
    ):
        bound = URGENT_HEADROOM * bound + 1
    if opening.in_flight >= bound:
        limit.refused_at = now
        if _can_wait(limit, opening):
            return POSTPONED_BY_LIMIT
        return REFUSED_BY_LIMIT
    priority = opening.priority
    _count(limit, limit.openings, priority)
    limit.admitted[priority] = limit.admitted.get(priority, 0) + 1
    return ADMITTED


def is_active(limit: ConcurrencyLimit) -> bool:
    """Tell whether the service is overloaded."""
    return limit.limit < inf


def is_queueing(limit: ConcurrencyLimit) -> bool:
    """Tell whether requests wait for a slot at the endpoints."""
    return limit.mean_seconds > QUEUEING_RATIO * limit.baseline.seconds


def record_priority(limit: ConcurrencyLimit, priority: int, now: float) -> None:
    """Record that an opening of a priority has arrived."""
    limit.present_at[priority] = now


def is_most_urgent(limit: ConcurrencyLimit, priority: int, now: float) -> bool:
    """Tell whether no priority is more urgent, of those present."""
    return not any(
        other < priority and now - last_at < PRESENCE_SECONDS
        for other, last_at in limit.present_at.items()
    )


def has_long_flows(limit: ConcurrencyLimit, priority: int) -> bool:
    """Tell whether flows of a priority carry more than one request each."""
    openings = limit.openings.get(priority, 0)
    return limit.answers.get(priority, 0) > LONG_FLOW_REQUESTS * openings


def _is_rejection(
    limit: ConcurrencyLimit, priority: int, answer_bytes: int
) -> bool:
    """Tell whether an answer is much shorter than those of its kind.

    A balancer cannot read answers. Those of a full endpoint are short, and say
    nothing about how long requests take.
    """
    usual_bytes = limit.answer_bytes.get(priority, answer_bytes)
    change = ANSWER_BYTES_WEIGHT * (answer_bytes - usual_bytes)
    is_rejection = answer_bytes < REJECTION_SHARE * usual_bytes
    if is_rejection:
        # Answers that have become shorter for good are rejections no longer.
        change *= ANSWER_BYTES_WEIGHT
    limit.answer_bytes[priority] = usual_bytes + change
    return is_rejection


def _count(
    limit: ConcurrencyLimit, counts: dict[int, float], priority: int
) -> None:
    """Count an opening or an answer; both counts fade with each of them."""
    for faded in (limit.openings, limit.answers):
        faded[priority] = COUNT_RETENTION * faded.get(priority, 0)
    counts[priority] += 1


def _is_below_floor(limit: ConcurrencyLimit, priority: int) -> bool:
    total = sum(limit.admitted.values())
    return limit.admitted.get(priority, 0) < FLOOR_SHARE * total


def _can_wait(limit: ConcurrencyLimit, opening: LimitedOpening) -> bool:
    """Tell whether the repetition of an opening would still be in time."""
    if opening.attempt:
        return False
    seconds = REPETITION_SECONDS + limit.mean_seconds
    return seconds < MAX_GOAL_SHARE * opening.latency_goal_seconds


def _decay_counts(limit: ConcurrencyLimit, now: float) -> None:
    elapsed = now - limit.counted_at
    if elapsed < COUNT_SECONDS / 10:
        return
    factor = max(0, 1 - elapsed / COUNT_SECONDS)
    for priority in limit.admitted:
        limit.admitted[priority] *= factor
    limit.counted_at = now
