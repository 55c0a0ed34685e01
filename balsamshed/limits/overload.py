"""Load shedding by work class when the balancer is short of CPU time.

The delay of the event loop is the balancer's queueing time, the overload
signal of DAGOR (SoCC 2018). Only new flows are refused: packets of open flows
are always forwarded, and new feeds are never refused here.
"""

from dataclasses import dataclass, field
from math import inf
from types import MappingProxyType
from typing import Final

from balsamshed.configuration.resources import WorkClass
from balsamshed.limits.verdicts import Refused

#: Event-loop delay at which a work class is refused; the least urgent class
#: has the lowest threshold.
REFUSAL_DELAYS_SECONDS: Final = MappingProxyType(
    {WorkClass.BULK: 0.05, WorkClass.URGENT: 0.2},
)

#: Hysteresis: a class is admitted again once the delay has stayed below this
#: fraction of its threshold for this time. Refusing work lowers the delay, so
#: without hysteresis the class would alternate with each sample.
RESUME_FACTOR: Final = 0.5
MIN_REFUSAL_SECONDS: Final = 1.0

REFUSED_BY_OVERLOAD: Final = Refused('balancer short of CPU time')


@dataclass(slots=True)
class OverloadState:
    """State of the load shedding.

    Attributes
    ----------
    refused : frozenset of WorkClass
        Classes whose new flows are refused.
    last_exceeded_at : dict of WorkClass to float
        Monotonic time of the last sample, by class, with a delay at or above
        the threshold of the class; while the class is refused, at or above
        `RESUME_FACTOR` times the threshold.
    """

    refused: frozenset[WorkClass] = frozenset()
    last_exceeded_at: dict[WorkClass, float] = field(default_factory=dict)


def record_loop_delay(
    state: OverloadState,
    delay_seconds: float,
    now: float,
) -> frozenset[WorkClass]:
    """Update the classes to refuse from a sample of the event-loop delay.

    Parameters
    ----------
    state : OverloadState
        Changed in place.
    delay_seconds : float
        Delay with which a timer of the event loop fired.
    now : float
        Monotonic seconds.

    Returns
    -------
    frozenset of WorkClass
        Classes whose new flows must be refused; never includes feeds.
    """
    refused = set()
    for work_class, limit in REFUSAL_DELAYS_SECONDS.items():
        is_refused = work_class in state.refused
        threshold = limit * RESUME_FACTOR if is_refused else limit
        if delay_seconds >= threshold:
            state.last_exceeded_at[work_class] = now
        since_over = now - state.last_exceeded_at.get(work_class, -inf)
        if since_over <= 0 or (is_refused and since_over < MIN_REFUSAL_SECONDS):
            refused.add(work_class)
    state.refused = frozenset(refused)
    return state.refused
