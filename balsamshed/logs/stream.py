"""Event log that never blocks the process on a slow reader.

The usual loggers block when their pipe is full. Here lines wait in a bounded
queue; those that the stream does not accept at once are written later, or
dropped and counted.
"""

import os
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from balsamshed.logs.lines import format_line
from balsamshed.logs.rate_limits import EventRateLimiter, admit_event

#: Limit of the queue; the oldest lines are dropped first.
MAX_QUEUED_LINES: Final = 2000
#: Limit for each event name. Refusals and failures have event names of their
#: own, so that a flood of successes does not suppress them.
MAX_LINES_PER_SECOND: Final = 20


@dataclass(slots=True)
class LineQueue:
    """Lines that wait to be written.

    Attributes
    ----------
    lines : deque of bytes
        Whole lines, the oldest first.
    limiter : EventRateLimiter
        Rate limit of each event name.
    dropped : int
        Lines dropped since the last ``lines_left_out`` event.
    partial_line : bytes
        Rest of a line that the stream has accepted in part.
    """

    lines: deque[bytes] = field(default_factory=deque)
    limiter: EventRateLimiter = field(
        default_factory=lambda: EventRateLimiter(
            max_lines=MAX_LINES_PER_SECOND
        ),
    )
    dropped: int = 0
    partial_line: bytes = b''


def enqueue_event(
    queue: LineQueue,
    name: str,
    create_fields: Callable[[], Mapping[str, object]],
    now: float,
) -> None:
    """Queue the line of an event, unless its rate limit is exceeded.

    Parameters
    ----------
    queue : LineQueue
        Changed in place.
    name : str
        Name of the event.
    create_fields : callable
        Returns the fields of the event; not called for a suppressed event.
    now : float
        Time of the event, in seconds of a monotonic clock.
    """
    suppressed = admit_event(queue.limiter, name, now)
    if suppressed is None:
        return
    line: dict[str, object] = {'time': f'{time.time():.3f}', 'event': name}
    if suppressed:
        line['left_out'] = suppressed
    line.update(create_fields())
    if len(queue.lines) >= MAX_QUEUED_LINES:
        queue.lines.popleft()
        queue.dropped += 1
    queue.lines.append(f'{format_line(line)}\n'.encode())


def write_lines(queue: LineQueue, write: Callable[[bytes], int]) -> None:
    """Write as many lines as the stream accepts.

    Parameters
    ----------
    queue : LineQueue
        Changed in place.
    write : callable
        Takes bytes and returns the number that the stream accepted.
    """
    while queue.partial_line or queue.lines:
        if not queue.partial_line:
            queue.partial_line = _pop_line(queue)
        accepted = write(queue.partial_line)
        queue.partial_line = queue.partial_line[accepted:]
        if queue.partial_line:
            return


def create_stream_writer(descriptor: int) -> Callable[[bytes], int]:
    """Return a function that writes to a file descriptor without blocking."""
    os.set_blocking(descriptor, False)

    def write(chunk: bytes) -> int:
        try:
            return os.write(descriptor, chunk)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed the log, so the error cannot be reported.
            # Counting the bytes as written drops them.
            return len(chunk)

    return write


def _pop_line(queue: LineQueue) -> bytes:
    if not queue.dropped:
        return queue.lines.popleft()
    line = format_line({'event': 'lines_left_out', 'count': queue.dropped})
    queue.dropped = 0
    return f'{line}\n'.encode()
