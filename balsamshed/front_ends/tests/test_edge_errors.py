"""Tests of unexpected errors in the process of an edge balancer."""

from functools import partial

import pytest

from balsamshed.edge.effects import (
    AcceptPackets,
    FetchView,
    LogEvent,
    ReadSource,
)
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_table,
)
from balsamshed.endpoints.directory import EndpointView
from balsamshed.front_ends import edge_peers
from balsamshed.front_ends.edge_context import (
    EdgeProcess,
    log_event_effect,
    report_error,
)
from balsamshed.front_ends.edge_store import read_store
from balsamshed.front_ends.event_loop import call_periodically, open_loop
from balsamshed.front_ends.http_session import HttpResponse
from balsamshed.front_ends.source_reader import ListPage, StoreFormat
from balsamshed.front_ends.wire_format import WireFormat
from balsamshed.steering.options import EdgeOptions
from balsamshed.store.polling import Source, is_read_due, start_read

INTERVAL_SECONDS = 0.001


class AnsweringSession:
    """Session whose requests are answered at once."""

    def get(self, path, timeout_seconds, handle_outcome):
        """Answer a request."""
        handle_outcome(HttpResponse(200, b''))

    def close(self):
        """Close the connection."""


def raise_error(*_arguments):
    """Fail, as a fault of this program would."""
    raise KeyError('fault')


def decode_one_endpoint(_listing):
    """Return a view of one endpoint."""
    return EndpointView(1, (build_endpoint(1),), 1), ()


def ignore_effect(_effect):
    """Carry out nothing."""


def build_process(**changes):
    """Return a process whose store answers every list with an empty page."""
    functions = dict.fromkeys(WireFormat.__dataclass_fields__)
    functions.update(
        store_format=StoreFormat(
            lambda effect, after: '/',
            lambda _source, body, _headers: ListPage((), 1, ''),
        ),
        decode_endpoints=decode_one_endpoint,
    )
    functions.update(changes)
    process = EdgeProcess(
        build_edge(), None, WireFormat(**functions), None, AnsweringSession()
    )
    process.effect_handlers.update(
        {
            ReadSource: partial(read_store, process),
            LogEvent: partial(log_event_effect, process),
        },
    )
    return process


def test_evacuations_that_cannot_be_read_stop_no_read():
    """Guards against one bad entry of evacuations that keeps a balancer from
    drains and routes."""
    asked = []

    def decode_unless_evacuations(_source, _body, _headers):
        if asked[-1] is Source.EVACUATIONS:
            return None
        return ListPage((), 1, '')

    process = build_process(
        store_format=StoreFormat(
            lambda effect, after: asked.append(effect.source) or '/',
            decode_unless_evacuations,
        ),
        decode_routes=lambda _listing: build_table(1),
    )
    process.effect_handlers[AcceptPackets] = ignore_effect
    process.edge.steering.options = EdgeOptions(follows_evacuations=True)
    reads = process.edge.reads
    source = start_read(reads, 0, follows_evacuations=True)
    read_store(process, ReadSource(source))
    assert asked == [
        Source.EVACUATIONS,
        Source.REVISION,
        Source.ENDPOINTS,
        Source.ROUTES,
    ]
    assert reads.revision == 1
    assert process.counts['evacuations_rejected'] == 1
    (line,) = [
        line
        for line in process.log_lines.lines
        if b'event=evacuations_rejected' in line
    ]
    assert b'first=list:malformed' in line


@pytest.mark.parametrize('function', ['decode_endpoints', 'decode_routes'])
def test_error_while_a_read_is_applied_does_not_end_the_reads(function):
    """Guards against a balancer that never reads the store again."""
    process = build_process(**{function: raise_error})
    reads = process.edge.reads
    source = start_read(reads, 0)
    read_store(process, ReadSource(source))
    assert process.counts['internal_error'] == 1
    assert is_read_due(reads, 0, True, reads.retry_at)
    (line,) = [
        line
        for line in process.log_lines.lines
        if b'event=internal_error' in line
    ]
    assert b'test_edge_errors.py' in line
    assert b'KeyError' in line


def test_error_while_a_peer_view_is_applied_does_not_end_the_fetches(
    monkeypatch,
):
    """Guards against a balancer that never fetches a newer view again."""
    monkeypatch.setattr(edge_peers, 'decompress', raise_error)
    process = build_process()
    process.edge.fetch_started_at = 0
    effect = FetchView('10.9.0.2', 1, 1)
    edge_peers._fetch_view(process, AnsweringSession, effect)
    assert process.edge.fetch_started_at is None
    assert process.counts['internal_error'] == 1
    assert process.counts['peer_view_failed'] == 1


def test_error_in_a_periodic_call_does_not_end_the_series():
    """Guards against a balancer without ticks: no reads, no reports, no logs."""
    process = build_process()
    calls = []
    with open_loop() as loop:
        loop.set_error_handler(partial(report_error, process))

        def fail_twice():
            calls.append(len(calls))
            if len(calls) > 2:
                loop.stop()
            else:
                raise_error()

        call_periodically(loop, INTERVAL_SECONDS, fail_twice)
        loop.run_forever()
    assert calls == [0, 1, 2]
    assert process.counts['internal_error'] == 2


def test_read_of_every_source_ends():
    """Guards against a read that is never reported as finished."""
    process = build_process(decode_routes=lambda listing: 'no_configuration')
    assert start_read(process.edge.reads, 0) is Source.ENDPOINTS
    read_store(process, ReadSource(Source.ENDPOINTS))
    assert process.edge.reads.started_at is None


def test_list_that_does_not_end_changes_nothing(monkeypatch):
    """Guards against endpoints that count as gone, since a list was cut off
    at the limit of its pages."""
    monkeypatch.setattr('balsamshed.front_ends.source_reader.MAX_PAGES', 3)
    process = build_process(
        store_format=StoreFormat(
            lambda effect, after: '/',
            lambda _source, body, _headers: ListPage((), 1, 'next'),
        ),
    )
    start_read(process.edge.reads, 0)
    read_store(process, ReadSource(Source.ENDPOINTS))
    assert process.counts['store_reads_failed'] == 1
    assert process.edge.history.revision < 0
