"""Log lines on a stream that never blocks the process.

The loggers of the libraries write to a pipe that a slow reader can fill. Here
lines wait in a bounded queue, and what the stream does not take at once is
written later or left out and counted.
"""

import os
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from balsamshed.logs.lines import format_line
from balsamshed.logs.rate_limits import EventRateLimiter, admit_event

#: Lines that wait at most; the oldest are left out first.
MAX_QUEUED_LINES: Final = 2000
#: Lines of one event name a second. Refusals and failures have names of their
#: own, so that a flood of successes does not crowd them out.
MAX_LINES_PER_SECOND: Final = 20


@dataclass(slots=True)
class LineQueue:
    """Lines that have not been written.

    Attributes
    ----------
    lines : deque of bytes
        Whole lines, the oldest first.
    limiter : EventRateLimiter
        Limits the lines of each event.
    dropped : int
        Lines that were dropped since the last one that was written.
    partial_line : bytes
        End of a line of which the stream has taken a part.
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
    """Queue the line of an event, unless its event has had too many.

    Parameters
    ----------
    queue : LineQueue
        Changed in place.
    name : str
        Name of the event.
    create_fields : callable
        Returns the values of the event; called only for a line that counts.
    now : float
        Seconds of a steady clock.
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
    """Write as many lines as the stream takes.

    Parameters
    ----------
    queue : LineQueue
        Changed in place.
    write : callable
        Takes bytes and returns how many the stream accepted; zero if none.
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
            # Nobody reads the log any more: there is no place to report it.
            return len(chunk)

    return write


def _pop_line(queue: LineQueue) -> bytes:
    if not queue.dropped:
        return queue.lines.popleft()
    line = format_line({'event': 'lines_left_out', 'count': queue.dropped})
    queue.dropped = 0
    return f'{line}\n'.encode()
