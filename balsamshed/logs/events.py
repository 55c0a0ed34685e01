"""Event log on standard error, one line for each event."""

import time
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Final

from absl import flags, logging

from balsamshed.logs.lines import format_line
from balsamshed.logs.rate_limits import EventRateLimiter, admit_event

# Keys that the log adds to the event's own fields.
_RESERVED_KEYS: Final = frozenset(('time', 'event', 'left_out'))

EventLogger = Callable[..., None]


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


def create_event_logger(
    limiter: EventRateLimiter | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> EventLogger:
    """Create a function like `log_event` with a rate limit for each event.

    Parameters
    ----------
    limiter : EventRateLimiter, optional
        State of the rate limit; by default a new one with the default limits.
    clock : callable
        Returns the time in seconds.

    Returns
    -------
    callable
        Takes the event's name and its fields. After events were suppressed,
        the next line of the same name has their number as ``left_out``.
    """
    state = EventRateLimiter() if limiter is None else limiter

    def log_limited(name: str, /, **fields: object) -> None:
        suppressed = admit_event(state, name, clock())
        if suppressed is not None:
            _write_line(name, fields, suppressed)

    return log_limited


def configure_logging() -> None:
    """Configure absl to write bare event lines to standard error."""
    # Otherwise the log starts with a warning of absl, which is not an event.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    logging.get_absl_handler().setFormatter(None)


def _write_line(
    name: str,
    fields: Mapping[str, object],
    suppressed: int,
) -> None:
    now = datetime.now(UTC).isoformat(timespec='milliseconds')
    line: dict[str, object] = {
        'time': now.replace('+00:00', 'Z'),
        'event': name,
    }
    if suppressed:
        line['left_out'] = suppressed
    line.update((_rename_reserved(key), value) for key, value in fields.items())
    logging.info('%s', format_line(line))


def _rename_reserved(key: str) -> str:
    return f'{key}_' if key in _RESERVED_KEYS else key
