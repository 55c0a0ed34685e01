"""Checks, writes and reports changes of single objects."""

import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final
from uuid import uuid4

from balsamshed.audit.entries import (
    ChangeEntry,
    append_change,
    read_versioned_changes,
)
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.group_state import (
    GroupState,
    find_unserved_services,
    get_spec,
)
from balsamshed.commands.rendering import (
    format_diff,
    format_json,
    format_time,
)
from balsamshed.commands.sessions import Session
from balsamshed.configuration.parsing import parse_resource
from balsamshed.configuration.records import Record, Rejection
from balsamshed.configuration.resources import Resource
from balsamshed.findings import format_findings
from balsamshed.store.conditional_writes import (
    WriteAccepted,
    WriteConflict,
    WriteOutcome,
)
from balsamshed.store.responses import StoreFailure

#: Time limit of a write, including its retries.
WRITE_TIMEOUT_SECONDS: Final = 15.0

_NAME: Final = re.compile('[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?')


@dataclass(frozen=True, slots=True)
class Change:
    """A change to be written to the store.

    Parameters
    ----------
    kind : str
        Kind of the object.
    name : str
        Name of the object.
    record : Record or None
        Current record in the store; None for a new object.
    spec : mapping
        The new specification.
    action : str
        Action recorded in the change entry.
    deleted : bool
        Whether the change deletes the object.
    """

    kind: str
    name: str
    record: Record | None
    spec: Mapping[str, Any]
    action: str
    deleted: bool = False

    @property
    def qualified_name(self) -> str:
        """``kind/name`` of the object."""
        return f'{self.kind}/{self.name}'


def is_valid_name(text: str) -> bool:
    """Return whether a text is a valid name of an object or a group."""
    return bool(_NAME.fullmatch(text))


def report_failure(session: Session, failure: StoreFailure) -> ExitStatus:
    """Report a store call that failed."""
    detail = f' ({failure.detail})' if failure.detail else ''
    session.write_message(
        f'error: object store: {failure.call}: {failure.reason}{detail}; '
        'nothing was changed by this call; check --store-url and try again'
    )
    return ExitStatus.FAILED


def report_invalid_name(session: Session, name: str) -> ExitStatus:
    """Report an invalid object name."""
    session.write_message(
        f'error: name: found {name!r}, allowed: up to 64 lower-case letters, '
        'digits and hyphens'
    )
    return ExitStatus.BAD_INPUT


def report_missing(session: Session, kind: str, name: str) -> ExitStatus:
    """Report an object that does not exist."""
    session.write_message(
        f'error: {kind}/{name}: does not exist in group {session.group}; '
        f'see "balsamshed list {kind}"'
    )
    return ExitStatus.BAD_INPUT


def report_unexpected_version(
    session: Session,
    change: Change,
    expected_version: int,
) -> ExitStatus:
    """Report an object whose version differs from ``--expect-version``."""
    record = change.record
    found = 'it does not exist'
    if record is not None:
        found = f'found version {record.version}{_describe_author(record)}'
    session.write_message(
        f'error: {change.qualified_name}: expected version '
        f'{expected_version}, {found}; nothing was changed; see '
        f'"balsamshed history {change.kind} {change.name}" and repeat the '
        'command'
    )
    return ExitStatus.CONFLICT


def show_diffs(session: Session, changes: Iterable[Change]) -> None:
    """Write a unified diff of each change if the output is a table."""
    if session.output != 'table':
        return
    for change in changes:
        new = None if change.deleted else change.spec
        old = get_spec(change.record)
        for line in format_diff(change.qualified_name, old, new):
            session.write_line(line)


def list_warnings(
    session: Session,
    group_state: GroupState,
    changes: Iterable[Change],
) -> list[str]:
    """Return a warning for each service that the changes leave unserved."""
    resources: dict[str, Resource] = dict(group_state.resources)
    for change in changes:
        key = f'{session.group}/{change.qualified_name}'
        resources.pop(key, None)
        outcome = parse_resource(key, change.spec)
        if not change.deleted and not isinstance(outcome, Rejection):
            resources[key] = outcome
    now = session.get_time()
    before = find_unserved_services(group_state.resources.values(), now)
    after = find_unserved_services(resources.values(), now)
    return [
        f'service/{name}: no backend server takes new work '
        f'{_describe_start(unserved_at, now)}; new work will be refused'
        for name, unserved_at in after.items()
        if before.get(name, math.inf) > unserved_at
    ]


def show_warnings(session: Session, warnings: Iterable[str]) -> None:
    """Write warnings to standard error."""
    for warning in warnings:
        session.write_message(f'warning: {warning}')


async def write_change(session: Session, change: Change) -> WriteOutcome:
    """Write one change together with its change entry."""
    record = change.record
    version = 0 if record is None else record.version
    body = {} if record is None else record.body
    entry = ChangeEntry(
        change_id=uuid4().hex,
        who=session.author,
        when=format_time(session.get_time()),
        from_version=version,
        action=change.action,
    )
    new_body = append_change(
        {
            'spec': change.spec,
            'changes': body.get('changes', []),
            'deleted': change.deleted,
        },
        entry,
    )
    outcome: WriteOutcome = await session.client.write_object(
        f'{session.group}/{change.qualified_name}',
        new_body,
        version,
        entry.change_id,
        WRITE_TIMEOUT_SECONDS,
    )
    return outcome


def report_outcome(
    session: Session,
    change: Change,
    outcome: WriteOutcome,
) -> ExitStatus:
    """Report an outcome other than success on standard error."""
    if isinstance(outcome, WriteAccepted):
        return ExitStatus.DONE
    hint = f'see "balsamshed history {change.kind} {change.name}"'
    if isinstance(outcome, WriteConflict):
        who = outcome.who or 'an unknown writer'
        when = f' at {outcome.when}' if outcome.when else ''
        session.write_message(
            f'error: {change.qualified_name}: conflict: the change was for '
            f'version {outcome.expected_version}, but {who} wrote version '
            f'{outcome.version}{when} first; this change did not take '
            f'effect; {hint} and repeat the command'
        )
        return ExitStatus.CONFLICT
    effect = 'the change did not take effect'
    if outcome.maybe_applied:
        effect = (
            'the change may have taken effect or may still do so; '
            f'{hint} for change id {outcome.change_id}'
        )
    session.write_message(
        f'error: {change.qualified_name}: {outcome.reason} '
        f'({outcome.detail}); {effect}'
    )
    return ExitStatus.FAILED


async def apply_change(
    session: Session,
    group_state: GroupState,
    change: Change,
) -> ExitStatus:
    """Check, show, write and report the change of one object.

    A change to an equal specification is not written.
    """
    key = f'{session.group}/{change.qualified_name}'
    if not change.deleted:
        checked = parse_resource(key, change.spec)
        if isinstance(checked, Rejection):
            text = format_findings(change.qualified_name, checked.findings)
            session.write_message(f'error: {text}')
            return ExitStatus.BAD_INPUT
        if get_spec(change.record) == change.spec:
            show_results(session, [(change, 'unchanged', None)], [])
            return ExitStatus.DONE
    warnings = list_warnings(session, group_state, [change])
    show_diffs(session, [change])
    show_warnings(session, warnings)
    outcome = await write_change(session, change)
    status = report_outcome(session, change, outcome)
    if isinstance(outcome, WriteAccepted):
        applied = (change, change.action, outcome.version)
        show_results(session, [applied], warnings)
    return status


def show_results(
    session: Session,
    results: Iterable[tuple[Change, str, int | None]],
    warnings: list[str],
) -> None:
    """Write the result of each change."""
    rows = list(results)
    if session.output == 'json':
        content = {
            'objects': [
                {
                    'kind': change.kind,
                    'name': change.name,
                    'result': text,
                    'version': version,
                }
                for change, text, version in rows
            ],
            'warnings': warnings,
        }
        session.write_line(format_json(content))
        return
    for change, text, version in rows:
        suffix = '' if version is None else f', version {version}'
        session.write_line(f'{change.qualified_name}: {text}{suffix}')


def _describe_author(record: Record) -> str:
    changes = read_versioned_changes(record.version, record.body)
    if not changes:
        return ''
    entry = changes[-1].entry
    return f' by {entry.who} at {entry.when}'


def _describe_start(start_at: float, now: float) -> str:
    return 'from now on' if start_at <= now else f'at {format_time(start_at)}'
