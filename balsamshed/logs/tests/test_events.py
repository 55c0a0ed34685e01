"""Tests of the format of log lines and of their rate limit."""

import subprocess
import sys

import pytest
from absl import logging
from hypothesis import given
from hypothesis import strategies as st

from balsamshed.logs.events import create_event_logger, log_event
from balsamshed.logs.lines import format_line, format_value, parse_line
from balsamshed.logs.rate_limits import (
    MAX_STATE_LINES_PER_INTERVAL,
    EventRateLimiter,
    admit_event,
)

KEYS = st.from_regex('[a-z_][a-z0-9_]{0,8}', fullmatch=True)
VALUES = st.one_of(
    st.text(),
    st.text('="\\ \n', max_size=6),
    st.integers(),
    st.floats(),
    st.booleans(),
    st.none(),
    st.binary(max_size=8),
)


@pytest.fixture
def lines(monkeypatch):
    written = []
    monkeypatch.setattr(
        logging,
        'info',
        lambda pattern, *parts: written.append(pattern % parts),
    )
    return written


@given(st.dictionaries(KEYS, VALUES))
def test_a_line_parses_back(fields):
    """Guards against values with quotes or newlines that inject fields or lines."""
    line = format_line(fields)
    assert len(line.splitlines()) <= 1
    assert parse_line(line) == {
        key: format_value(entry) for key, entry in fields.items()
    }


@given(st.text())
def test_any_text_is_parsed_or_rejected(text):
    """Guards against foreign lines in a log file that hang or stop a reader."""
    try:
        assert isinstance(parse_line(text), dict)
    except ValueError:
        return


@pytest.mark.parametrize('line', ['a', 'a=1  b=2', 'a="x', 'a=1=2', '=1'])
def test_malformed_lines_raise(line):
    """Guards against a damaged line that is taken for a shorter one."""
    with pytest.raises(ValueError, match='column|string'):
        parse_line(line)


def test_fields_cannot_replace_time_or_event(lines):
    """Guards against a field named like a reserved key that replaces it."""
    log_event('flow_refused', event='x', time=3, name='b1')
    fields = parse_line(lines[0])
    assert fields['event'] == 'flow_refused'
    assert (fields['event_'], fields['time_'], fields['name']) == (
        'x',
        '3',
        'b1',
    )


def test_repeated_events_are_limited_and_counted(lines):
    """Guards against a flood of one event that fills the log or goes unseen."""
    now = [0.0]
    log = create_event_logger(EventRateLimiter(1.0, 2), lambda: now[0])
    for _attempt in range(5):
        log('store_failed', call='list')
    log('member_joined')
    assert len(lines) == 3
    now[0] = 1.0
    log('store_failed', call='list')
    log('store_failed', call='list')
    assert parse_line(lines[3])['left_out'] == '3'
    assert 'left_out' not in parse_line(lines[4])


def test_changes_of_state_get_a_line_each(lines):
    """Guards against suppressed state changes.

    At the start of a balancer, the line of a change that came into force within
    the same second was suppressed, as if the change had never been applied.
    """
    log = create_event_logger(EventRateLimiter(), lambda: 0.0)
    for version in range(12):
        log('record_in_force', version=version)
    versions = [parse_line(line)['version'] for line in lines]
    assert versions == [str(version) for version in range(12)]
    for version in range(1000):
        log('record_in_force', version=version)
    assert len(lines) == MAX_STATE_LINES_PER_INTERVAL


@given(st.lists(st.floats(0, 10), max_size=60).map(sorted))
def test_every_event_is_written_or_counted(times):
    """Guards against events that are neither written nor counted."""
    limiter = EventRateLimiter(1.0, 2)
    outcomes = [admit_event(limiter, 'e', now) for now in times]
    written = [count + 1 for count in outcomes if count is not None]
    pending = limiter.windows['e'].suppressed if times else 0
    assert sum(written) + pending == len(times)


def test_configured_log_has_event_lines_only():
    """Guards against a log without events or with other lines.

    Without the configuration all events are lost, and absl writes a warning
    that is not a line of key=value pairs.
    """
    program = (
        'from balsamshed.logs.events import log_event, configure_logging; '
        'configure_logging(); log_event("started", name="n1")'
    )
    completed = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        text=True,
        check=True,
    )
    (line,) = completed.stderr.splitlines()
    fields = parse_line(line)
    assert (fields['event'], fields['name']) == ('started', 'n1')
