"""Tests of log lines on a stream that may be slow."""

import os
import time

from balsamshed.logs.lines import parse_line
from balsamshed.logs.stream import (
    QUEUE_LINES,
    LineQueue,
    add_line,
    create_stream_writer,
    write_lines,
)


def test_lines_are_written_in_order():
    """Guards against lines that a reader cannot parse."""
    queue, written = LineQueue(), []

    def write(chunk):
        written.append(chunk)
        return len(chunk)

    add_line(queue, 'first', {'reason': 'two words'})
    add_line(queue, 'second', {})
    write_lines(queue, write)
    events = [parse_line(chunk.decode()) for chunk in written]
    assert [event['event'] for event in events] == ['first', 'second']
    assert events[0]['reason'] == 'two words'


def test_line_taken_in_parts_stays_whole():
    """Guards against mixed lines when the stream takes only a part."""
    queue, taken = LineQueue(), bytearray()
    add_line(queue, 'event', {'number': 1})
    add_line(queue, 'event', {'number': 2})
    expected = b''.join(queue.lines)
    write_lines(queue, lambda chunk: _take_seven(chunk, taken))
    while queue.rest or queue.lines:
        write_lines(queue, lambda chunk: _take_seven(chunk, taken))
    assert bytes(taken) == expected


def _take_seven(chunk, taken):
    part = chunk[:7]
    taken.extend(part)
    return len(part)


def test_full_pipe_never_blocks():
    """Guards against packets delayed by an absent reader of the log."""
    reader, writer = os.pipe()
    try:
        write = create_stream_writer(writer)
        queue = LineQueue()
        start = time.monotonic()
        for number in range(QUEUE_LINES + 3000):
            add_line(queue, 'event', {'number': number, 'text': 'x' * 100})
            write_lines(queue, write)
        assert time.monotonic() - start < 5
        assert len(queue.lines) <= QUEUE_LINES
        assert queue.left_out > 0
        os.set_blocking(reader, False)
        text = b''
        while queue.lines or queue.rest:
            text += os.read(reader, 1 << 16)
            write_lines(queue, write)
        assert b'event=lines_left_out' in text
    finally:
        os.close(reader)
        os.close(writer)


def test_closed_reader_ends_nothing():
    """Guards against a process that ends when its log has no reader."""
    reader, writer = os.pipe()
    os.close(reader)
    queue = LineQueue()
    add_line(queue, 'event', {})
    write_lines(queue, create_stream_writer(writer))
    assert not queue.lines
    os.close(writer)
