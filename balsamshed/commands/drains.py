"""Commands that drain backend servers and edit their quiet periods."""

from collections.abc import Callable, Mapping
from typing import Any

from balsamshed.commands.changes import (
    Change,
    apply_change,
    is_valid_name,
    report_failure,
    report_invalid_name,
    report_missing,
)
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.group_state import (
    build_group_state,
    get_spec,
    read_records,
)
from balsamshed.commands.sessions import Session, StoreAction, store_command
from balsamshed.configuration.parsing import parse_wall_time
from balsamshed.schemas import is_wall_time
from balsamshed.store.responses import StoreFailure

#: Returns the edited specification, or an error message.
_SpecEdit = Callable[[Mapping[str, Any]], dict[str, Any] | str]


@store_command
def drain(name: str) -> StoreAction:
    """Stop giving new work to a backend server until it is undrained.

    Parameters
    ----------
    name
        Name of the backend server.
    """
    return _create_edit_action(
        name,
        'drain',
        lambda spec: {**spec, 'draining': True},
    )


@store_command
def undrain(name: str) -> StoreAction:
    """Resume giving new work to a backend server.

    Parameters
    ----------
    name
        Name of the backend server.
    """
    return _create_edit_action(
        name,
        'undrain',
        lambda spec: {
            key: part for key, part in spec.items() if key != 'draining'
        },
    )


@store_command
def add_quiet_period(
    name: str,
    *,
    start: str,
    duration_seconds: float,
    repeat_seconds: float = 0,
) -> StoreAction:
    """Add a quiet period, in which a backend server gets no new work.

    Parameters
    ----------
    name
        Name of the backend server.
    start
        First start, such as 2026-12-04T20:00:00Z.
    duration_seconds
        Duration of the period.
    repeat_seconds
        Interval between starts; 0 for a single period.
    """
    period: dict[str, Any] = {
        'start': start,
        'duration_seconds': _normalize_number(duration_seconds),
    }
    if repeat_seconds:
        period['repeat_seconds'] = _normalize_number(repeat_seconds)

    def edit(spec: Mapping[str, Any]) -> dict[str, Any] | str:
        periods = list(spec.get('quiet_periods', ()))
        if period in periods:
            return dict(spec)
        return {**spec, 'quiet_periods': [*periods, period]}

    return _create_edit_action(name, 'add-quiet-period', edit)


@store_command
def remove_quiet_period(name: str, *, start: str) -> StoreAction:
    """Remove the quiet periods of a backend server with a given start.

    Parameters
    ----------
    name
        Name of the backend server.
    start
        First start of the period, as "get" shows it.
    """

    def edit(spec: Mapping[str, Any]) -> dict[str, Any] | str:
        periods = spec.get('quiet_periods', ())
        kept = [part for part in periods if not _starts_at(part, start)]
        if len(kept) == len(periods):
            starts = ', '.join(part['start'] for part in periods) or 'none'
            return (
                f'start: found {start!r}, allowed: the start of one of its '
                f'quiet periods: {starts}'
            )
        return {**spec, 'quiet_periods': kept}

    return _create_edit_action(name, 'remove-quiet-period', edit)


def _create_edit_action(name: str, action: str, edit: _SpecEdit) -> StoreAction:
    async def run(session: Session) -> int:
        if not is_valid_name(name):
            return report_invalid_name(session, name)
        listing = await read_records(session)
        if isinstance(listing, StoreFailure):
            return report_failure(session, listing)
        group_state = build_group_state(listing.records)
        record = group_state.records.get(
            f'{session.group}/backend_server/{name}'
        )
        spec = get_spec(record)
        if spec is None:
            return report_missing(session, 'backend_server', name)
        edited = edit(spec)
        if isinstance(edited, str):
            session.write_message(f'error: backend_server/{name}: {edited}')
            return ExitStatus.BAD_INPUT
        change = Change('backend_server', name, record, edited, action)
        return await apply_change(session, group_state, change)

    return run


def _normalize_number(number: float) -> float:
    """Convert a whole number to int, so that it is stored without ``.0``."""
    return int(number) if number.is_integer() else number


def _starts_at(period: Mapping[str, Any], start: str) -> bool:
    period_start = str(period.get('start'))
    if not (is_wall_time(period_start) and is_wall_time(start)):
        return period_start == start
    return parse_wall_time(period_start) == parse_wall_time(start)
