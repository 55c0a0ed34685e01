"""Commands that take work away from backend servers."""

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

#: Returns the changed specification, or what is wrong with the request.
_SpecEdit = Callable[[Mapping[str, Any]], dict[str, Any] | str]


@store_command
def drain(name: str) -> StoreAction:
    """Give a backend server no new work until undrained.

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
    """Give a backend server new work again.

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
    """Add a time in which a backend server takes no new work.

    Parameters
    ----------
    name
        Name of the backend server.
    start
        First start, such as 2026-12-04T20:00:00Z.
    duration_seconds
        Length of the period.
    repeat_seconds
        Time from one start to the next; 0 for a single period.
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
    """Remove the quiet periods of a backend server that have a given start.

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
            known = ', '.join(part['start'] for part in periods) or 'none'
            return (
                f'start: found {start!r}, allowed: the start of one of its '
                f'quiet periods: {known}'
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
    return int(number) if number.is_integer() else number


def _starts_at(period: Mapping[str, Any], start: str) -> bool:
    known = str(period.get('start'))
    if not (is_wall_time(known) and is_wall_time(start)):
        return known == start
    return parse_wall_time(known) == parse_wall_time(start)
