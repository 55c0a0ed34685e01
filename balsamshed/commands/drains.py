"""Commands that take work away from backend servers."""

from collections.abc import Callable, Mapping
from typing import Any

from balsamshed.commands.changes import (
    Change,
    is_name,
    make_change,
    report_bad_name,
    report_failure,
    report_missing,
)
from balsamshed.commands.sessions import Action, Session, use_store
from balsamshed.commands.statuses import ExitStatus
from balsamshed.commands.worlds import build_world, get_spec, read_records
from balsamshed.configuration.parsing import parse_wall_time
from balsamshed.schemas import is_wall_time
from balsamshed.store.responses import StoreFailure

#: Returns the changed specification, or what is wrong with the request.
_Edit = Callable[[Mapping[str, Any]], dict[str, Any] | str]


@use_store
def drain(name: str) -> Action:
    """Give a backend server no new work until undrained.

    Parameters
    ----------
    name
        Name of the backend server.
    """
    return _create_edit(
        name,
        'drain',
        lambda spec: {**spec, 'draining': True},
    )


@use_store
def undrain(name: str) -> Action:
    """Give a backend server new work again.

    Parameters
    ----------
    name
        Name of the backend server.
    """
    return _create_edit(
        name,
        'undrain',
        lambda spec: {
            key: part for key, part in spec.items() if key != 'draining'
        },
    )


@use_store
def add_quiet_period(
    name: str,
    *,
    start: str,
    duration_seconds: float,
    repeat_seconds: float = 0,
) -> Action:
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
        'duration_seconds': _simplify(duration_seconds),
    }
    if repeat_seconds:
        period['repeat_seconds'] = _simplify(repeat_seconds)

    def edit(spec: Mapping[str, Any]) -> dict[str, Any] | str:
        periods = list(spec.get('quiet_periods', ()))
        if period in periods:
            return dict(spec)
        return {**spec, 'quiet_periods': [*periods, period]}

    return _create_edit(name, 'add-quiet-period', edit)


@use_store
def remove_quiet_period(name: str, *, start: str) -> Action:
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

    return _create_edit(name, 'remove-quiet-period', edit)


def _create_edit(name: str, action: str, edit: _Edit) -> Action:
    async def act(session: Session) -> int:
        if not is_name(name):
            return report_bad_name(session, name)
        listing = await read_records(session)
        if isinstance(listing, StoreFailure):
            return report_failure(session, listing)
        world = build_world(listing.records)
        record = world.records.get(f'{session.group}/backend_server/{name}')
        spec = get_spec(record)
        if spec is None:
            return report_missing(session, 'backend_server', name)
        edited = edit(spec)
        if isinstance(edited, str):
            session.write_note(f'error: backend_server/{name}: {edited}')
            return ExitStatus.BAD_INPUT
        change = Change('backend_server', name, record, edited, action)
        return await make_change(session, world, change)

    return act


def _simplify(number: float) -> float:
    return int(number) if number.is_integer() else number


def _starts_at(period: Mapping[str, Any], start: str) -> bool:
    known = str(period.get('start'))
    if not (is_wall_time(known) and is_wall_time(start)):
        return known == start
    return parse_wall_time(known) == parse_wall_time(start)
