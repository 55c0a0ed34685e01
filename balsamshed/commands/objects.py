"""Commands that show, watch and delete objects."""

from collections.abc import Iterable, Mapping
from dataclasses import asdict
from typing import Any, Final, Literal

from twisted.internet.task import deferLater

from balsamshed.audit.entries import ChangeEntry, read_versioned_changes
from balsamshed.audit.trail import get_audit_prefix, read_trail
from balsamshed.commands.changes import (
    Change,
    apply_change,
    is_valid_name,
    report_failure,
    report_invalid_name,
    report_missing,
    report_unexpected_version,
)
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.group_state import (
    DECLARED_KINDS,
    build_group_state,
    get_spec,
    read_records,
)
from balsamshed.commands.rendering import format_json, format_table
from balsamshed.commands.sessions import (
    Kind,
    Session,
    StoreAction,
    store_command,
)
from balsamshed.configuration.records import Record
from balsamshed.store.conditional_writes import ReadResponse
from balsamshed.store.responses import (
    FailureReason,
    ObjectMissing,
    StoreFailure,
)

#: Timeout of one watch call.
WATCH_TIMEOUT_MS: Final = 10_000
#: Delay before a failed watch is retried.
RETRY_DELAY_SECONDS: Final = 1.0


@store_command
def get(kind: Kind, name: str) -> StoreAction:
    """Show one object.

    Parameters
    ----------
    kind
        Kind of the object.
    name
        Name of the object.
    """

    async def run(session: Session) -> int:
        record = await _read_object(session, kind, name)
        if not isinstance(record, Record):
            return record
        if session.output == 'json':
            session.write_line(format_json(_build_document(record)))
            return ExitStatus.DONE
        deleted = ' (deleted)' if record.body.get('deleted') else ''
        who, when = _get_last_author(record)
        session.write_line(f'{kind}/{name}, version {record.version}{deleted}')
        session.write_line(f'changed by {who} at {when}')
        session.write_line(format_json(record.body.get('spec')))
        return ExitStatus.DONE

    return run


@store_command
def list_objects(kind: Kind | None = None) -> StoreAction:
    """List the objects of a group.

    Parameters
    ----------
    kind
        Kind of the objects; services and backend servers if left out.
    """

    async def run(session: Session) -> int:
        listing = await read_records(session, (kind,) if kind else _DECLARED)
        if isinstance(listing, StoreFailure):
            return report_failure(session, listing)
        records = [
            record
            for record in listing.records
            if not record.body.get('deleted')
        ]
        if session.output == 'json':
            session.write_line(format_json(list(map(_build_document, records))))
            return ExitStatus.DONE
        titles = ('OBJECT', 'VERSION', 'CHANGED BY', 'CHANGED AT', 'SUMMARY')
        rows = [
            (
                _get_qualified_name(record),
                record.version,
                *_get_last_author(record),
                _summarize(get_spec(record) or {}),
            )
            for record in records
        ]
        for line in format_table(titles, rows):
            session.write_line(line)
        return ExitStatus.DONE

    return run


@store_command
def watch(
    kind: Kind | None = None,
    *,
    deadline_seconds: float = 0,
) -> StoreAction:
    """Show changes as they happen, until interrupted.

    Parameters
    ----------
    kind
        Kind of the objects; all kinds if left out.
    deadline_seconds
        Stop after this time; 0 for no time limit.
    """

    async def run(session: Session) -> int:
        deadline_at = session.clock.seconds() + (
            deadline_seconds or float('inf')
        )
        prefix = f'{session.group}/{kind}/' if kind else f'{session.group}/'
        listing = await read_records(session, (kind or 'service',))
        if isinstance(listing, StoreFailure):
            return report_failure(session, listing)
        revision = listing.revision
        session.write_message(f'watching {prefix} from revision {revision}')
        while session.clock.seconds() < deadline_at:
            remaining_ms = (deadline_at - session.clock.seconds()) * 1000
            response = await session.client.watch_objects(
                prefix,
                revision,
                int(max(1, min(WATCH_TIMEOUT_MS, remaining_ms))),
            )
            if isinstance(response, StoreFailure):
                revision = await _resume_watch(
                    session, response, kind, revision
                )
                continue
            revision = max(revision, response.revision)
            _show_changes(session, response.records)
        return ExitStatus.DONE

    return run


@store_command
def delete(
    kind: Literal['service', 'backend_server', 'status'],
    name: str,
    *,
    expect_version: int = -1,
) -> StoreAction:
    """Delete one object; its history stays.

    Parameters
    ----------
    kind
        Kind of the object. Delete the status of a data centre after its
        last balancer is gone.
    name
        Name of the object.
    expect_version
        Version that the object must have; -1 for any version.
    """

    async def run(session: Session) -> int:
        record = await _read_object(session, kind, name)
        if not isinstance(record, Record):
            return record
        if record.body.get('deleted'):
            return report_missing(session, kind, name)
        spec = record.body.get('spec') or {}
        change = Change(kind, name, record, spec, 'delete', deleted=True)
        if expect_version not in {-1, record.version}:
            return report_unexpected_version(session, change, expect_version)
        listing = await read_records(session)
        if isinstance(listing, StoreFailure):
            return report_failure(session, listing)
        return await apply_change(
            session, build_group_state(listing.records), change
        )

    return run


@store_command
def history(kind: Kind, name: str) -> StoreAction:
    """Show who changed an object, when and how.

    The object holds its last 16 changes. Older ones are read from the audit
    objects that the balancers write.

    Parameters
    ----------
    kind
        Kind of the object.
    name
        Name of the object.
    """

    async def run(session: Session) -> int:
        record = await _read_object(session, kind, name)
        if not isinstance(record, Record):
            return record
        trail = await _read_history(session, record)
        rows = [
            {'version': version, **asdict(entry)}
            for version, entry in sorted(trail.items())
        ]
        if session.output == 'json':
            session.write_line(format_json(rows))
            return ExitStatus.DONE
        titles = ('version', 'from_version', 'when', 'who', 'action')
        for line in format_table(
            (*map(str.upper, titles), 'CHANGE ID'),
            [(*(row[key] for key in titles), row['change_id']) for row in rows],
        ):
            session.write_line(line)
        if rows and rows[0]['from_version'] > 0:
            session.write_message('note: older changes were not found')
        return ExitStatus.DONE

    return run


async def _read_history(
    session: Session,
    record: Record,
) -> dict[int, ChangeEntry]:
    trail: dict[int, ChangeEntry] = {}
    prefix = get_audit_prefix(record.key)
    listing = await session.client.list_objects(prefix)
    if isinstance(listing, StoreFailure):
        session.write_message(f'note: audit objects: {listing.reason}')
    else:
        trail.update(read_trail(listing.records))
    changes = read_versioned_changes(record.version, record.body)
    trail.update({change.version: change.entry for change in changes})
    return trail


async def _read_object(
    session: Session, kind: str, name: str
) -> Record | ExitStatus:
    if not is_valid_name(name) and kind != 'audit':
        return report_invalid_name(session, name)
    key = f'{session.group}/{kind}/{name}'
    record: ReadResponse = await session.client.read_object(key)
    if isinstance(record, StoreFailure):
        return report_failure(session, record)
    if isinstance(record, ObjectMissing):
        return report_missing(session, kind, name)
    return record


async def _resume_watch(
    session: Session,
    failure: StoreFailure,
    kind: str | None,
    revision: int,
) -> int:
    """Wait after a failed watch and return the revision to continue from.

    If the revision is too old for the store, the objects are listed again and
    those that have changed since are shown.
    """
    session.write_message(f'note: watch: {failure.reason}; retrying')
    await deferLater(session.clock, RETRY_DELAY_SECONDS)
    if failure.reason is not FailureReason.TOO_OLD:
        return revision
    listing = await read_records(session, (kind,) if kind else _DECLARED)
    if isinstance(listing, StoreFailure):
        return revision
    missed = [entry for entry in listing.records if entry.version > revision]
    _show_changes(session, missed)
    return listing.revision


def _show_changes(session: Session, records: Iterable[Record]) -> None:
    for record in records:
        if session.output == 'json':
            session.write_line(_format_line(_build_document(record)))
            continue
        who, when = _get_last_author(record)
        action = _get_action(record)
        session.write_line(
            f'{record.version}  {_get_qualified_name(record)}  {action}  '
            f'{who}  {when}'
        )


def _format_line(content: Mapping[str, Any]) -> str:
    # One line per change, so that a reader of a pipe can read line by line.
    return ' '.join(format_json(content).split('\n'))


def _build_document(record: Record) -> dict[str, Any]:
    return {
        'key': record.key,
        'version': record.version,
        'body': dict(record.body),
    }


def _get_qualified_name(record: Record) -> str:
    return record.key.split('/', maxsplit=1)[-1]


def _get_last_author(record: Record) -> tuple[str, str]:
    changes = read_versioned_changes(record.version, record.body)
    if not changes:
        return '-', '-'
    return changes[-1].entry.who, changes[-1].entry.when


def _get_action(record: Record) -> str:
    changes = read_versioned_changes(record.version, record.body)
    return changes[-1].entry.action if changes else 'write'


def _summarize(spec: Mapping[str, Any]) -> str:
    parts = [
        f'{key}={spec[key]}'
        for key in ('service', 'host', 'address', 'data_centre', 'slots')
        if key in spec
    ]
    if spec.get('draining'):
        parts.append('draining')
    periods = spec.get('quiet_periods')
    if periods:
        parts.append(f'quiet_periods={len(periods)}')
    parts.extend(
        f'{listener.get("name")}:{listener.get("port")}'
        for listener in spec.get('listeners', ())
    )
    return ' '.join(parts)


_DECLARED: Final = DECLARED_KINDS
