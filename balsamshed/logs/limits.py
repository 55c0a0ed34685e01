"""Limit of the lines that each kind of event gets."""

from dataclasses import dataclass, field
from typing import Final

#: Lines of one event name in one interval; the rest is counted.
LINES_PER_INTERVAL: Final = 5
#: Length of the interval in seconds.
INTERVAL_SECONDS: Final = 1.0


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
    windows : dict of str to EventWindow
        Keyed by event name.
    """

    interval_seconds: float = INTERVAL_SECONDS
    lines: int = LINES_PER_INTERVAL
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
    if window.written >= limiter.lines:
        window.left_out += 1
        return None
    left_out = window.left_out
    window.written += 1
    window.left_out = 0
    return left_out
