"""Tests of the event log on a slow or closed stream."""

import os
import time

from balsamshed.logs.lines import parse_line
from balsamshed.logs.stream import (
    MAX_LINES_PER_SECOND,
    MAX_QUEUED_LINES,
    LineQueue,
    create_stream_writer,
    enqueue_event,
    write_lines,
)


def test_lines_are_written_in_order():
    """Guards against lines in the wrong order or that cannot be parsed."""
    queue, written = LineQueue(), []

    def write(chunk):
        written.append(chunk)
        return len(chunk)

    enqueue_event(queue, 'first', lambda: {'reason': 'two words'}, 0)
    enqueue_event(queue, 'second', dict, 0)
    write_lines(queue, write)
    events = [parse_line(chunk.decode()) for chunk in written]
    assert [event['event'] for event in events] == ['first', 'second']
    assert events[0]['reason'] == 'two words'


def test_partly_accepted_line_is_completed():
    """Guards against mixed-up lines after the stream accepts only a part."""
    queue, accepted = LineQueue(), bytearray()
    enqueue_event(queue, 'event', lambda: {'number': 1}, 0)
    enqueue_event(queue, 'event', lambda: {'number': 2}, 0)
    expected = b''.join(queue.lines)
    write_lines(queue, lambda chunk: _accept_seven_bytes(chunk, accepted))
    while queue.partial_line or queue.lines:
        write_lines(queue, lambda chunk: _accept_seven_bytes(chunk, accepted))
    assert bytes(accepted) == expected


def _accept_seven_bytes(chunk, accepted):
    part = chunk[:7]
    accepted.extend(part)
    return len(part)


def test_full_pipe_never_blocks():
    """Guards against packets delayed by a log that nobody reads."""
    reader, writer = os.pipe()
    try:
        write = create_stream_writer(writer)
        queue = LineQueue()
        start = time.monotonic()
        for number in range(MAX_QUEUED_LINES + 3000):
            # One event a second, so that the rate limit does not apply.
            enqueue_event(queue, 'event', lambda: {'text': 'x' * 100}, number)
            write_lines(queue, write)
        assert time.monotonic() - start < 5
        assert len(queue.lines) <= MAX_QUEUED_LINES
        assert queue.dropped > 0
        os.set_blocking(reader, False)
        text = b''
        while queue.lines or queue.partial_line:
            text += os.read(reader, 1 << 16)
            write_lines(queue, write)
        assert b'event=lines_left_out' in text
    finally:
        os.close(reader)
        os.close(writer)


def test_closed_reader_raises_no_error():
    """Guards against a process that fails when the log has no reader."""
    reader, writer = os.pipe()
    os.close(reader)
    queue = LineQueue()
    enqueue_event(queue, 'event', dict, 0)
    write_lines(queue, create_stream_writer(writer))
    assert not queue.lines
    os.close(writer)


def test_flood_of_one_event_does_not_suppress_others():
    """Guards against failures suppressed by a flood of successes."""
    queue, created = LineQueue(), []

    def create_fields():
        created.append(1)
        return {}

    for _ in range(1000):
        enqueue_event(queue, 'flow_opened', create_fields, 0)
    enqueue_event(queue, 'flow_reset', create_fields, 0.5)
    assert len(queue.lines) == MAX_LINES_PER_SECOND + 1
    assert len(created) == MAX_LINES_PER_SECOND + 1
    enqueue_event(queue, 'flow_opened', create_fields, 1)
    event = parse_line(queue.lines[-1].decode())
    assert event['left_out'] == str(1000 - MAX_LINES_PER_SECOND)
