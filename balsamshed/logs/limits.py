"""Limit of the lines that each kind of event gets."""

from dataclasses import dataclass, field
from typing import Final

#: Lines of one event name in one interval; the rest is counted.
LINES_PER_INTERVAL: Final = 5
#: Length of the interval in seconds.
INTERVAL_SECONDS: Final = 1.0
#: Lines of one event name that changes what the process believes. Nothing
#: else shows such a change afterwards, and traffic does not cause it.
STATE_LINES_PER_INTERVAL: Final = 200
#: Names of those events.
STATE_EVENTS: Final = frozenset(
    (
        'endpoint_added',
        'endpoint_draining',
        'endpoint_ready',
        'endpoint_removed',
        'endpoint_restarted',
        'endpoint_updated',
        'record_in_force',
        'record_rejected',
        'routes_changed',
    ),
)


@dataclass(slots=True)
class EventWindow:
    """Lines of one event name in the current interval.

    Attributes
    ----------
    start : float
        Start of the interval, in seconds of the caller's clock.
    written : int
        Lines in this interval.
    left_out : int
        Events without a line since the last line.
    """

    start: float
    written: int = 0
    left_out: int = 0


@dataclass(slots=True)
class EventLimiter:
    """Limits the lines of each event name.

    Attributes
    ----------
    interval_seconds : float
        Length of the interval.
    lines : int
        Lines of one event name in one interval.
    state_lines : int
        The same for `STATE_EVENTS`.
    windows : dict of str to EventWindow
        Keyed by event name.
    """

    interval_seconds: float = INTERVAL_SECONDS
    lines: int = LINES_PER_INTERVAL
    state_lines: int = STATE_LINES_PER_INTERVAL
    windows: dict[str, EventWindow] = field(default_factory=dict)


def admit_event(limiter: EventLimiter, name: str, now: float) -> int | None:
    """Decide whether an event gets a line.

    Parameters
    ----------
    limiter : EventLimiter
        Changed in place.
    name : str
        Name of the event.
    now : float
        Time of the event, in seconds of a monotonic clock.

    Returns
    -------
    int or None
        How many events of this name were left out since the last line, or
        None if this one is left out too.
    """
    window = limiter.windows.get(name)
    if window is None:
        window = EventWindow(now)
        limiter.windows[name] = window
    elif now - window.start >= limiter.interval_seconds:
        window.start = now
        window.written = 0
    is_state = name in STATE_EVENTS
    most = limiter.state_lines if is_state else limiter.lines
    if window.written >= most:
        window.left_out += 1
        return None
    left_out = window.left_out
    window.written += 1
    window.left_out = 0
    return left_out
