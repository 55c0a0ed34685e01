"""Command that applies a file of objects."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.commands.changes import (
    Change,
    list_warnings,
    report_failure,
    report_outcome,
    report_unexpected_version,
    show_diffs,
    show_results,
    show_warnings,
    write_change,
)
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.group_state import (
    GroupState,
    build_group_state,
    get_spec,
    read_records,
)
from balsamshed.commands.sessions import Session, StoreAction, store_command
from balsamshed.configuration.address_conflicts import find_address_conflicts
from balsamshed.configuration.parsing import parse_resource
from balsamshed.configuration.records import Rejection
from balsamshed.configuration.resources import Resource
from balsamshed.documents import Document, DocumentRejection, read_document
from balsamshed.findings import Finding, format_findings
from balsamshed.schemas import find_schema_violations
from balsamshed.store.responses import StoreFailure

#: Maximum number of objects in one file.
MAX_OBJECTS: Final = 10_000

APPLY_SCHEMA: Final = {
    'type': 'array',
    'maxItems': MAX_OBJECTS,
    'description': f'a list of up to {MAX_OBJECTS} objects',
    'items': {
        'type': 'object',
        'description': 'an object with kind, name and spec',
        'required': ['kind', 'name', 'spec'],
        'additionalProperties': False,
        'properties': {
            'kind': {
                'enum': ['service', 'backend_server'],
                'description': 'service or backend_server',
            },
            'name': {
                'type': 'string',
                'pattern': '^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$',
                'description': 'up to 64 lower-case letters, digits, hyphens',
            },
            'spec': {
                'type': 'object',
                'description': 'an object with the fields of the kind',
            },
        },
    },
}

_ANY_VERSION: Final = -1


@dataclass(frozen=True, slots=True)
class _ParsedFile:
    """Objects of a file and the findings about them, one text per finding."""

    entries: tuple[Mapping[str, Any], ...]
    resources: Mapping[str, Resource]
    findings: tuple[str, ...]


@store_command
def apply(
    file: str,
    *,
    dry_run: bool = False,
    expect_version: int = _ANY_VERSION,
) -> StoreAction:
    """Apply the objects of a file; nothing is applied if one has findings.

    Parameters
    ----------
    file
        JSON file with a list of ``{"kind", "name", "spec"}``.
    dry_run
        Check and show the differences, but write nothing.
    expect_version
        Version that the only object of the file must have, 0 for a new
        object; -1 for any version.
    """

    async def run(session: Session) -> int:
        document = read_document(file)
        if isinstance(document, DocumentRejection):
            text = format_findings(file, document.findings)
            return _report_findings(session, text.splitlines())
        listing = await read_records(session)
        records = () if isinstance(listing, StoreFailure) else listing.records
        group_state = build_group_state(records)
        parsed_file = _check_document(session, file, document, group_state)
        if parsed_file.findings:
            return _report_findings(session, parsed_file.findings)
        if isinstance(listing, StoreFailure):
            return report_failure(session, listing)
        changes = [
            _build_change(session, group_state, entry)
            for entry in parsed_file.entries
        ]
        if expect_version != _ANY_VERSION:
            status = _check_version(session, changes, expect_version)
            if status:
                return status
        return await _apply_changes(
            session, group_state, changes, dry_run=dry_run
        )

    return run


async def _apply_changes(
    session: Session,
    group_state: GroupState,
    changes: Sequence[Change],
    *,
    dry_run: bool,
) -> ExitStatus:
    pending = [
        change for change in changes if get_spec(change.record) != change.spec
    ]
    warnings = list_warnings(session, group_state, pending)
    show_diffs(session, pending)
    show_warnings(session, warnings)
    results: list[tuple[Change, str, int | None]] = [
        (change, 'unchanged', None)
        for change in changes
        if change not in pending
    ]
    status = ExitStatus.DONE
    for change in pending:
        if dry_run or status:
            text = 'would be applied' if dry_run else 'not applied'
            results.append((change, text, None))
            continue
        outcome = await write_change(session, change)
        status = report_outcome(session, change, outcome)
        text = 'not applied' if status else 'applied'
        version = getattr(outcome, 'version', None) if not status else None
        results.append((change, text, version))
    show_results(session, results, warnings)
    return status


def _build_change(
    session: Session,
    group_state: GroupState,
    entry: Mapping[str, Any],
) -> Change:
    key = f'{session.group}/{entry["kind"]}/{entry["name"]}'
    return Change(
        kind=entry['kind'],
        name=entry['name'],
        record=group_state.records.get(key),
        spec=entry['spec'],
        action='apply',
    )


def _check_version(
    session: Session,
    changes: Sequence[Change],
    expected_version: int,
) -> ExitStatus:
    if len(changes) != 1:
        session.write_message(
            f'error: --expect-version: found {len(changes)} objects in the '
            'file, allowed: exactly one; split the file'
        )
        return ExitStatus.BAD_INPUT
    record = changes[0].record
    version = 0 if record is None else record.version
    if version == expected_version:
        return ExitStatus.DONE
    return report_unexpected_version(session, changes[0], expected_version)


def _check_document(
    session: Session,
    file: str,
    document: Document,
    group_state: GroupState,
) -> _ParsedFile:
    findings = [
        format_findings(file, [finding])
        for finding in find_schema_violations(APPLY_SCHEMA, document.content)
    ]
    if not isinstance(document.content, list):
        return _ParsedFile((), {}, tuple(findings))
    resources: dict[str, Resource] = {}
    positions: dict[str, int] = {}
    for position, entry in enumerate(document.content):
        if find_schema_violations(
            APPLY_SCHEMA['items'],  # type: ignore[arg-type]
            entry,
        ):
            continue
        qualified_name = f'{entry["kind"]}/{entry["name"]}'
        key = f'{session.group}/{qualified_name}'
        if key in positions:
            first = positions[key]
            finding = Finding(
                f'$[{position}].name',
                f'"{entry["name"]}"',
                f'each object once, $[{first}] is the same object',
            )
            findings.append(
                format_findings(f'{file}: {qualified_name}', [finding])
            )
            continue
        positions[key] = position
        outcome = parse_resource(key, entry['spec'])
        if isinstance(outcome, Rejection):
            findings.extend(
                _format_entry_findings(
                    file, qualified_name, position, outcome.findings
                )
            )
        else:
            resources[key] = outcome
    merged = {**group_state.resources, **resources}
    for key in resources:
        qualified_name = key.removeprefix(f'{session.group}/')
        conflicts = find_address_conflicts(merged, key)
        findings.extend(
            _format_entry_findings(
                file, qualified_name, positions[key], conflicts
            )
        )
    return _ParsedFile(tuple(document.content), resources, tuple(findings))


def _format_entry_findings(
    file: str,
    qualified_name: str,
    position: int,
    findings: Sequence[Finding],
) -> list[str]:
    return [
        format_findings(
            f'{file}: {qualified_name}',
            [
                Finding(
                    f'$[{position}].spec{finding.place[1:]}',
                    finding.found,
                    finding.allowed,
                )
            ],
        )
        for finding in findings
    ]


def _report_findings(session: Session, findings: Sequence[str]) -> ExitStatus:
    for finding in findings:
        session.write_message(f'error: {finding}')
    session.write_message(
        f'error: {len(findings)} findings; nothing was applied; '
        'correct the file and apply it again'
    )
    return ExitStatus.BAD_INPUT
