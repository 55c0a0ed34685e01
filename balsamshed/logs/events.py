"""Events in the log, one line each."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Final

from absl import flags, logging

from balsamshed.logs.lines import format_line

#: Lines of one event name in one interval; the rest is counted.
LINES_PER_INTERVAL: Final = 5
#: Length of the interval in seconds.
INTERVAL_SECONDS: Final = 1.0

# Keys that each line may contain besides the event's own fields.
_RESERVED_KEYS: Final = frozenset(('time', 'event', 'left_out'))

EventWriter = Callable[..., None]


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


def log_event(name: str, /, **fields: object) -> None:
    """Write one line for an event.

    Parameters
    ----------
    name : str
        Name of the event, lower case with underscores.
    **fields : object
        Values of the event. A field named ``time``, ``event`` or
        ``left_out`` gets an underscore at its end.
    """
    _write_line(name, fields, 0)


def create_event_log(
    limiter: EventLimiter | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> EventWriter:
    """Create a function like `log_event` that limits repeated events.

    Parameters
    ----------
    limiter : EventLimiter, optional
        State of the limit; a new one with the default limits if left out.
    clock : callable
        Returns the time in seconds.

    Returns
    -------
    callable
        Takes the event's name and its fields. After events were left out,
        the next line of the same name has their number as ``left_out``.
    """
    state = EventLimiter() if limiter is None else limiter

    def log_limited(name: str, /, **fields: object) -> None:
        left_out = admit_event(state, name, clock())
        if left_out is not None:
            _write_line(name, fields, left_out)

    return log_limited


def start_logs() -> None:
    """Send the lines of events to standard error, without a prefix."""
    # Without it absl begins the log with a warning that is no event.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    logging.get_absl_handler().setFormatter(None)


def _write_line(
    name: str,
    fields: Mapping[str, object],
    left_out: int,
) -> None:
    now = datetime.now(UTC).isoformat(timespec='milliseconds')
    line: dict[str, object] = {
        'time': now.replace('+00:00', 'Z'),
        'event': name,
    }
    if left_out:
        line['left_out'] = left_out
    line.update((_rename_reserved(key), entry) for key, entry in fields.items())
    logging.info('%s', format_line(line))


def _rename_reserved(key: str) -> str:
    return f'{key}_' if key in _RESERVED_KEYS else key
