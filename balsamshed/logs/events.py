"""Events in the log, one line each."""

import time
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Final

from absl import flags, logging

from balsamshed.logs.limits import EventLimiter, admit_event
from balsamshed.logs.lines import format_line

# Keys that each line may contain besides the event's own fields.
_RESERVED_KEYS: Final = frozenset(('time', 'event', 'left_out'))

EventWriter = Callable[..., None]


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
