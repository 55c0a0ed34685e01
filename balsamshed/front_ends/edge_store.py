"""Reads the store for an edge balancer."""

from functools import partial
from typing import Final

from balsamshed.edge.effects import EdgeEffect, ReadSource
from balsamshed.edge.evacuations import (
    handle_evacuations,
    handle_unreadable_evacuations,
)
from balsamshed.edge.views import (
    handle_endpoints,
    handle_read_failed,
    handle_revision,
    handle_routes,
)
from balsamshed.front_ends.edge_context import (
    EdgeProcess,
    execute_effects,
    log_event,
    read_clock,
    record_duration,
    report_error,
)
from balsamshed.front_ends.http_session import HttpFailure
from balsamshed.front_ends.source_reader import SourceListing, read_source
from balsamshed.store.polling import Source
from balsamshed.store.revisions import format_revision

#: Failures that lie in the content of a list and not on the way to the store.
_CONTENT_FAILURES: Final = frozenset(('malformed', 'too_many_pages'))


def read_store(process: EdgeProcess, effect: ReadSource) -> None:
    """Read a source from the store and apply its content."""
    process.counts[f'store_reads_{effect.source}'] += 1
    read_source(
        process.store_session,
        process.wire.store_format,
        effect,
        partial(_handle_listing, process, effect.source, read_clock()),
    )


def _handle_listing(
    process: EdgeProcess,
    source: Source,
    started_at: float,
    outcome: SourceListing | HttpFailure,
) -> None:
    now = read_clock()
    record_duration(process, 'store_read', now - started_at)
    try:
        effects = _apply_outcome(process, source, outcome, now)
    except Exception as error:
        # A read that never ends would be the last one of this process.
        report_error(process, error)
        failure = HttpFailure('internal_error')
        effects = _apply_outcome(process, source, failure, now)
    execute_effects(process, effects)


def _apply_outcome(
    process: EdgeProcess,
    source: Source,
    outcome: SourceListing | HttpFailure,
    now: float,
) -> list[EdgeEffect]:
    if isinstance(outcome, HttpFailure):
        return _apply_failure(process, source, outcome, now)
    if source is Source.REVISION:
        return handle_revision(process.edge, outcome.revision)
    if source is Source.EVACUATIONS:
        return _apply_evacuations(process, outcome, now)
    if source is Source.ENDPOINTS:
        return _apply_endpoints(process, outcome, now)
    return _apply_routes(process, outcome, now)


def _apply_failure(
    process: EdgeProcess,
    source: Source,
    failure: HttpFailure,
    now: float,
) -> list[EdgeEffect]:
    process.counts['store_reads_failed'] += 1
    if source is Source.EVACUATIONS and failure.reason in _CONTENT_FAILURES:
        revision = process.edge.reads.revision
        rejected = (f'list:{failure.reason}',)
        _log_rejected(process, 'evacuations_rejected', rejected, revision)
        return handle_unreadable_evacuations(process.edge)
    return handle_read_failed(
        process.edge, source, failure.reason, now, failure.received_bytes
    )


def _apply_evacuations(
    process: EdgeProcess,
    listing: SourceListing,
    now: float,
) -> list[EdgeEffect]:
    view, rejected = process.wire.decode_evacuations(listing)
    _log_rejected(process, 'evacuations_rejected', rejected, view.revision)
    return handle_evacuations(process.edge, view, now)


def _log_rejected(
    process: EdgeProcess,
    event: str,
    rejected: tuple[str, ...],
    revision: int,
) -> None:
    # Each read rejects the same entries, so only a change of their number is
    # logged.
    current = f'{event}_now'
    if len(rejected) == process.counts[current]:
        return
    process.counts[current] = len(rejected)
    log_event(
        process,
        event,
        lambda: {
            'count': len(rejected),
            'first': ''.join(rejected[:1]),
            'revision': format_revision(revision),
        },
    )


def _apply_endpoints(
    process: EdgeProcess,
    listing: SourceListing,
    now: float,
) -> list[EdgeEffect]:
    view, rejected = process.wire.decode_endpoints(listing)
    _log_rejected(process, 'entries_rejected', rejected, view.revision)
    return handle_endpoints(process.edge, view, now)


def _apply_routes(
    process: EdgeProcess,
    listing: SourceListing,
    now: float,
) -> list[EdgeEffect]:
    table = process.wire.decode_routes(listing)
    if isinstance(table, str):
        return handle_read_failed(process.edge, Source.ROUTES, table, now)
    return handle_routes(process.edge, table, now, listing.revision)
