"""Rate limit of the log lines of each event name."""

from dataclasses import dataclass, field
from typing import Final

#: Lines of one event name in one interval; further events are only counted.
MAX_LINES_PER_INTERVAL: Final = 5
INTERVAL_SECONDS: Final = 1.0
#: Lines of one event name in one interval, for events that change the state of
#: the process. The limit is higher because only the log records these changes
#: and because traffic does not cause them.
MAX_STATE_LINES_PER_INTERVAL: Final = 200
#: Names of the events that change the state of the process.
STATE_CHANGE_EVENTS: Final = frozenset(
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
    """Counts of one event name in the current interval.

    Attributes
    ----------
    started_at : float
        Start of the interval, in seconds of a monotonic clock.
    written : int
        Lines written in this interval.
    suppressed : int
        Events suppressed since the last line.
    """

    started_at: float
    written: int = 0
    suppressed: int = 0


@dataclass(slots=True)
class EventRateLimiter:
    """State of the rate limit, with a window for each event name.

    Attributes
    ----------
    interval_seconds : float
        Length of the interval.
    max_lines : int
        Limit of the lines of one event name in one interval.
    max_state_lines : int
        The same for `STATE_CHANGE_EVENTS`.
    windows : dict of str to EventWindow
        Keyed by event name.
    """

    interval_seconds: float = INTERVAL_SECONDS
    max_lines: int = MAX_LINES_PER_INTERVAL
    max_state_lines: int = MAX_STATE_LINES_PER_INTERVAL
    windows: dict[str, EventWindow] = field(default_factory=dict)


def admit_event(limiter: EventRateLimiter, name: str, now: float) -> int | None:
    """Decide whether an event is written to the log.

    Parameters
    ----------
    limiter : EventRateLimiter
        Changed in place.
    name : str
        Name of the event.
    now : float
        Time of the event, in seconds of a monotonic clock.

    Returns
    -------
    int or None
        Number of events of this name suppressed since the last line, or None
        if this event is suppressed too.
    """
    window = limiter.windows.get(name)
    if window is None:
        window = EventWindow(now)
        limiter.windows[name] = window
    elif now - window.started_at >= limiter.interval_seconds:
        window.started_at = now
        window.written = 0
    is_state = name in STATE_CHANGE_EVENTS
    max_lines = limiter.max_state_lines if is_state else limiter.max_lines
    if window.written >= max_lines:
        window.suppressed += 1
        return None
    suppressed = window.suppressed
    window.written += 1
    window.suppressed = 0
    return suppressed
