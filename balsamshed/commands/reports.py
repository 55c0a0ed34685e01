"""Commands that show whether the declared configuration is in force."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

from twisted.internet.task import deferLater

from balsamshed.commands.changes import report_failure
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.fleet import (
    FleetReport,
    describe_gap,
    evaluate_fleet,
    get_target_version,
)
from balsamshed.commands.group_state import (
    GroupState,
    build_group_state,
    find_unserved_services,
    read_records,
)
from balsamshed.commands.rendering import (
    format_json,
    format_table,
    format_time,
)
from balsamshed.commands.sessions import Session, StoreAction, store_command
from balsamshed.configuration.resources import BackendServer
from balsamshed.store.responses import Listing, StoreFailure, VmEntry

_STATUS_KINDS: Final = ('status',)
#: Timeout of one watch call of ``wait``.
_WATCH_TIMEOUT_MS: Final = 5_000
#: Delay before a failed call is retried.
_RETRY_DELAY_SECONDS: Final = 0.5


@store_command
def status() -> StoreAction:
    """Show whether the declared configuration is in force everywhere.

    Where it is not, the place, the reason and the time are shown.
    """

    async def run(session: Session) -> int:
        declared = await read_records(session)
        if isinstance(declared, StoreFailure):
            return report_failure(session, declared)
        statuses = await read_records(session, _STATUS_KINDS)
        if isinstance(statuses, StoreFailure):
            return report_failure(session, statuses)
        vms = await session.client.list_vms()
        target = get_target_version(declared.records)
        report = evaluate_fleet(declared.records, statuses.records, target)
        group_state = build_group_state(declared.records)
        notes = [
            *_list_unserved_notes(session, group_state),
            *_list_coverage_notes(report, group_state, vms),
        ]
        if session.output == 'json':
            session.write_line(format_json(_build_document(report, notes)))
        else:
            _show_report(session, report, notes)
        return ExitStatus.DONE

    return run


@store_command
def wait(*, deadline_seconds: float) -> StoreAction:
    """Wait until the configuration declared now is in force everywhere.

    Parameters
    ----------
    deadline_seconds
        Fail after this time; 0 to check once.
    """

    async def run(session: Session) -> int:
        deadline_at = session.clock.seconds() + deadline_seconds
        declared = await _read_records_with_retries(
            session, deadline_at, ('service', 'backend_server')
        )
        if isinstance(declared, StoreFailure):
            return report_failure(session, declared)
        target = get_target_version(declared.records)
        progress = ''
        while True:
            statuses = await _read_records_with_retries(
                session, deadline_at, _STATUS_KINDS
            )
            if isinstance(statuses, StoreFailure):
                return report_failure(session, statuses)
            records = statuses.records
            report = evaluate_fleet(declared.records, records, target)
            if not report.gaps:
                return _report_wait_outcome(session, report, ExitStatus.DONE)
            text = '; '.join(map(describe_gap, report.gaps))
            if text != progress:
                session.write_message(f'waiting for version {target}: {text}')
            progress = text
            remaining_seconds = deadline_at - session.clock.seconds()
            if remaining_seconds <= 0:
                session.write_message(
                    f'error: version {target} is not in force everywhere '
                    f'after {deadline_seconds:g} s; see "balsamshed status"'
                )
                return _report_wait_outcome(session, report, ExitStatus.FAILED)
            await _wait_for_status_change(
                session, statuses.revision, remaining_seconds
            )

    return run


async def _read_records_with_retries(
    session: Session,
    deadline_at: float,
    kinds: Iterable[str],
) -> Listing | StoreFailure:
    """List the objects of some kinds, with retries until the deadline."""
    listing = await read_records(session, tuple(kinds))
    while isinstance(listing, StoreFailure):
        if session.clock.seconds() + _RETRY_DELAY_SECONDS >= deadline_at:
            break
        session.write_message(f'object store: {listing.reason}; retrying')
        await deferLater(session.clock, _RETRY_DELAY_SECONDS)
        listing = await read_records(session, tuple(kinds))
    return listing


async def _wait_for_status_change(
    session: Session,
    revision: int,
    remaining_seconds: float,
) -> None:
    response = await session.client.watch_objects(
        f'{session.group}/status/',
        revision,
        int(max(1, min(_WATCH_TIMEOUT_MS, remaining_seconds * 1000))),
    )
    if isinstance(response, StoreFailure):
        await deferLater(
            session.clock,
            min(_RETRY_DELAY_SECONDS, remaining_seconds),
        )


def _report_wait_outcome(
    session: Session,
    report: FleetReport,
    outcome: ExitStatus,
) -> ExitStatus:
    if session.output == 'json':
        session.write_line(format_json(_build_document(report, [])))
    elif outcome is ExitStatus.DONE:
        session.write_line(f'version {report.target_version} is in force')
    return outcome


def _build_document(report: FleetReport, notes: list[str]) -> dict[str, Any]:
    return {
        'in_force': not report.gaps,
        'target_version': report.target_version,
        'gaps': [
            {
                'place': gap.place,
                'reason': gap.reason,
                'since': format_time(gap.since) if gap.since else None,
            }
            for gap in report.gaps
        ],
        'data_centres': [dict(spec) for spec in report.summaries],
        'unmet_rules': [dict(rule) for rule in report.unmet_rules],
        'rejected': [dict(entry) for entry in report.rejected],
        'notes': notes,
    }


def _show_report(
    session: Session, report: FleetReport, notes: list[str]
) -> None:
    target = report.target_version
    state = 'is NOT in force everywhere' if report.gaps else 'is in force'
    session.write_line(f'version {target} {state}')
    for gap in report.gaps:
        session.write_line(f'  {describe_gap(gap)}')
    titles = ('DATA CENTRE', 'MEMBERS', 'IN FORCE', 'VERSION', 'WRITTEN AT')
    rows = [
        (
            spec['data_centre'],
            spec['members'],
            spec['in_force'],
            spec['highest_version'],
            format_time(spec['written_at']),
        )
        for spec in report.summaries
    ]
    for line in format_table(titles, rows):
        session.write_line(line)
    for rule in report.unmet_rules:
        session.write_line(
            f'rule not kept in {rule["data_centre"]}: backend_server/'
            f'{rule["backend_server"]}: {rule["rule"]}: {rule["reason"]}'
        )
    for entry in report.rejected:
        _show_rejected(session, entry)
    for note in notes:
        session.write_line(f'note: {note}')


def _show_rejected(session: Session, entry: Mapping[str, Any]) -> None:
    session.write_line(
        f'rejected: {entry["key"]}, version {entry["version"]}; the last good '
        'version stays in force'
    )
    for finding in entry.get('findings', ()):
        session.write_line(
            f'  {finding.get("place")}: found {finding.get("found")}, '
            f'allowed: {finding.get("allowed")}'
        )


def _list_unserved_notes(
    session: Session, group_state: GroupState
) -> list[str]:
    now = session.get_time()
    unserved = find_unserved_services(group_state.resources.values(), now)
    return [
        f'service/{name}: no backend server takes new work at '
        f'{format_time(max(unserved_at, now))}'
        for name, unserved_at in unserved.items()
    ]


def _list_coverage_notes(
    report: FleetReport,
    group_state: GroupState,
    vms: tuple[VmEntry, ...] | StoreFailure,
) -> list[str]:
    """Return notes on data centres and VMs that no status object covers.

    They are notes and not gaps, because the VM list may be out of date.
    """
    notes: list[str] = []
    covered = {spec['data_centre'] for spec in report.summaries}
    served = {
        resource.data_centre
        for resource in group_state.resources.values()
        if isinstance(resource, BackendServer)
    }
    notes.extend(
        f'data centre {name}: has backend servers, but no status object'
        for name in sorted(served - covered)
    )
    if isinstance(vms, StoreFailure):
        return [*notes, f'the VM list could not be read: {vms.reason}']
    members = {
        name
        for spec in report.summaries
        for name in spec.get('member_names', ())
    }
    notes.extend(
        f'VM {vm.name} in {vm.data_centre}: no member sees a balancer there'
        for vm in vms
        if not vm.leaving and vm.name not in members
    )
    return notes
