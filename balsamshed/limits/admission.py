"""Admission of new flows to a service whose endpoints are all busy.

Answers this load: one kind of request arrives at several times the rate that
the endpoints can serve, for seconds. Every queue is then full, and requests of
all kinds are late or rejected, the most urgent ones included. New flows of the
least urgent routes therefore give way once no endpoint has had a free slot for
`OVERLOAD_SECONDS`. Short peaks stay in the queues of the endpoints, and so do
floods of requests to which nothing gives way.

A flow whose requests would miss their latency goal is not opened. Its opening
packet is dropped if the caller will repeat it soon, since a slot may come free
until then. Otherwise it is refused, so that the caller can go elsewhere.
"""

from dataclasses import dataclass, field
from typing import Final

from balsamshed.limits.baseline import (
    DurationBaseline,
    complete_window,
    update_baseline,
)
from balsamshed.limits.verdicts import (
    ADMITTED,
    Admitted,
    Postponed,
    Refused,
)

#: Requests in flight for each slot from which an endpoint counts as busy. A
#: request is in flight longer than it occupies its slot, by the round trip to
#: the caller.
BUSY_REQUESTS_PER_SLOT: Final = 1.5
#: Time without a free slot after which a service counts as overloaded; the
#: queues of the endpoints absorb shorter peaks.
OVERLOAD_SECONDS: Final = 0.5
#: Time after its last opening for which a priority counts as present.
PRESENCE_SECONDS: Final = 5.0
#: Time from the first copy of an opening packet to the second and the third.
REPETITION_SECONDS: Final = (0.2, 0.6)
#: Share of the timeout of a route that its openings may wait. A refused caller
#: has the rest of its time for another try.
MAX_WAIT_SHARE: Final = 0.5

POSTPONED_BY_LOAD: Final = Postponed('waits_for_slot')
REFUSED_BY_LOAD: Final = Refused('overloaded')


@dataclass(frozen=True, slots=True)
class OpeningRequest:
    """A new flow that asks for admission.

    Parameters
    ----------
    requests_per_slot : float
        Requests in flight at its endpoint, in relation to the slots.
    latency_goal_seconds, timeout_seconds : float
        Time in which its requests should be answered, zero for none, and after
        which they are given up.
    priority : int
        Priority of its requests; zero is the most urgent.
    attempt : int
        Number of earlier copies of the opening packet.
    """

    requests_per_slot: float
    latency_goal_seconds: float
    timeout_seconds: float
    priority: int
    attempt: int


@dataclass(slots=True)
class ServiceLoad:
    """Load of one service, as seen by the openings of one balancer.

    Attributes
    ----------
    baseline : DurationBaseline
        Durations of its requests.
    free_slot_at : float
        Monotonic time at which an opening last met a free slot.
    last_opening_at : float
        Monotonic time of the last opening.
    priorities : dict of int to float
        Monotonic time of the last opening of each priority.
    """

    baseline: DurationBaseline = field(default_factory=DurationBaseline)
    free_slot_at: float = 0
    last_opening_at: float = 0
    priorities: dict[int, float] = field(default_factory=dict)


def record_duration(load: ServiceLoad, duration_seconds: float) -> None:
    """Record how long a request of the service took."""
    mean_seconds = complete_window(load.baseline, duration_seconds)
    if mean_seconds is not None:
        update_baseline(load.baseline, mean_seconds)


def admit_opening(
    load: ServiceLoad,
    opening: OpeningRequest,
    now: float,
) -> Admitted | Postponed | Refused:
    """Decide whether a new flow may be opened.

    Parameters
    ----------
    load : ServiceLoad
        Changed in place.
    opening : OpeningRequest
        The flow and the load at the endpoint with the lowest one.
    now : float
        Monotonic seconds.

    Returns
    -------
    Admitted, Postponed or Refused
        A refused flow has not run.
    """
    _record_slots(load, opening.requests_per_slot, now)
    load.priorities[opening.priority] = now
    if now - load.free_slot_at < OVERLOAD_SECONDS:
        return ADMITTED
    if not _gives_way(load, opening.priority, now):
        return ADMITTED
    expected_seconds = estimate_seconds(load, opening.requests_per_slot)
    goal_seconds = opening.latency_goal_seconds
    if not goal_seconds or not expected_seconds > goal_seconds:
        return ADMITTED
    if can_repeat_soon(opening.attempt, opening.timeout_seconds):
        return POSTPONED_BY_LOAD
    return REFUSED_BY_LOAD


def estimate_seconds(load: ServiceLoad, requests_per_slot: float) -> float:
    """Return how long a new request would take at an endpoint, in seconds.

    Zero as long as no durations are known.
    """
    if not load.baseline.seconds < float('inf'):
        return 0
    return (1 + requests_per_slot) * load.baseline.seconds


def _gives_way(load: ServiceLoad, priority: int, now: float) -> bool:
    """Tell whether a priority is the least urgent of several present ones."""
    present = [
        known
        for known, last_at in load.priorities.items()
        if now - last_at < PRESENCE_SECONDS
    ]
    return priority > min(present) and priority == max(present)


def can_repeat_soon(attempt: int, timeout_seconds: float) -> bool:
    """Tell whether the caller repeats an opening packet in time.

    Parameters
    ----------
    attempt : int
        Number of earlier copies of the packet.
    timeout_seconds : float
        Time after which the caller gives its request up.
    """
    if attempt >= len(REPETITION_SECONDS):
        return False
    waited_seconds = REPETITION_SECONDS[attempt]
    return waited_seconds <= MAX_WAIT_SHARE * timeout_seconds


def _record_slots(
    load: ServiceLoad, requests_per_slot: float, now: float
) -> None:
    # Without openings for a while, nothing is known about the slots.
    is_unknown = now - load.last_opening_at > OVERLOAD_SECONDS
    if is_unknown or requests_per_slot < BUSY_REQUESTS_PER_SLOT:
        load.free_slot_at = now
    load.last_opening_at = now
