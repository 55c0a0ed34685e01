"""Compares the status objects of a group with its declared objects."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from operator import attrgetter
from typing import Any, Final

from balsamshed.audit.entries import read_versioned_changes
from balsamshed.commands.rendering import format_time
from balsamshed.configuration.parsing import parse_wall_time
from balsamshed.configuration.records import Record
from balsamshed.schemas import find_schema_violations, is_wall_time

_NUMBER: Final = {'type': 'number', 'description': 'a number'}
_COUNT: Final = {'type': 'integer', 'minimum': 0, 'description': 'a count'}
_TEXT: Final = {'type': 'string', 'description': 'a text'}


def _build_items(**properties: Mapping[str, Any]) -> dict[str, Any]:
    return {
        'type': 'array',
        'description': 'a list',
        'items': {
            'type': 'object',
            'description': 'an object',
            'required': list(properties),
            'properties': properties,
        },
    }


# Unknown keys are allowed, because newer balancers may add keys.
STATUS_SCHEMA: Final = {
    'type': 'object',
    'description': 'an object',
    'required': [
        'data_centre',
        'written_at',
        'members',
        'in_force',
        'highest_version',
    ],
    'properties': {
        'data_centre': _TEXT,
        'summarizer': _TEXT,
        'written_at': _NUMBER,
        'members': _COUNT,
        'in_force': _COUNT,
        'highest_version': _COUNT,
        'lagging': _build_items(
            member=_TEXT,
            since=_NUMBER,
            highest_version=_COUNT,
        ),
        'unmet_rules': _build_items(
            backend_server=_TEXT,
            rule=_TEXT,
            reason=_TEXT,
        ),
        'rejected': _build_items(key=_TEXT, version=_COUNT),
        'member_names': {
            'type': 'array',
            'items': _TEXT,
            'description': 'a list of texts',
        },
    },
}


@dataclass(frozen=True, slots=True)
class Gap:
    """A data centre or object where the configuration is not in force.

    Parameters
    ----------
    place : str
        Data centre, key of the object, or ``fleet``.
    reason : str
        Description of what is not in force.
    since : float
        Start of the gap in seconds since the Unix epoch; zero if unknown.
    """

    place: str
    reason: str
    since: float = 0


@dataclass(frozen=True, slots=True)
class FleetReport:
    """Summary of the whole fleet.

    Parameters
    ----------
    target_version : int
        Version that has to be in force.
    summaries : tuple of mapping
        Well-formed status specifications, one for each data centre.
    gaps : tuple of Gap
        Empty if the configuration is in force everywhere.
    unmet_rules : tuple of mapping
        Rules that cannot be kept, with ``data_centre``.
    rejected : tuple of mapping
        Objects whose newest version was rejected, with their findings.
    """

    target_version: int
    summaries: tuple[Mapping[str, Any], ...]
    gaps: tuple[Gap, ...]
    unmet_rules: tuple[Mapping[str, Any], ...]
    rejected: tuple[Mapping[str, Any], ...]


def get_target_version(declared: Iterable[Record]) -> int:
    """Return the highest version of the declared objects, or zero."""
    return max((record.version for record in declared), default=0)


def evaluate_fleet(
    declared: Iterable[Record],
    statuses: Iterable[Record],
    target_version: int,
) -> FleetReport:
    """Compare the status objects with the declared objects.

    Parameters
    ----------
    declared : iterable of Record
        Services and backend servers, deleted ones included.
    statuses : iterable of Record
        Status objects of the data centres.
    target_version : int
        Version that has to be in force.

    Returns
    -------
    FleetReport
        Everything is in force if each data centre has reached the target
        version, all its members are in force, and no newest version of an
        object is rejected.
    """
    declared_by_key = {record.key: record for record in declared}
    summaries: list[Mapping[str, Any]] = []
    gaps: list[Gap] = []
    for record in statuses:
        if record.body.get('deleted'):
            continue
        name = record.key.rsplit('/', maxsplit=1)[-1]
        spec = record.body.get('spec')
        violations = find_schema_violations(STATUS_SCHEMA, spec)
        if violations or not isinstance(spec, Mapping):
            place = ', '.join(violation.place for violation in violations)
            gaps.append(Gap(name, f'its status object is malformed at {place}'))
            continue
        summaries.append(spec)
        gaps.extend(_find_gaps(name, spec, declared_by_key, target_version))
    if not summaries and not gaps:
        gaps.append(Gap('fleet', 'no data centre has written a status'))
    rejected = _list_rejected(summaries, declared_by_key)
    gaps.extend(
        Gap(entry['key'], f'version {entry["version"]} was rejected')
        for entry in rejected
    )
    return FleetReport(
        target_version,
        tuple(summaries),
        tuple(gaps),
        tuple(_list_unmet_rules(summaries)),
        rejected,
    )


def describe_gap(gap: Gap) -> str:
    """Return one line of text for a gap."""
    since = f' since {format_time(gap.since)}' if gap.since else ''
    return f'{gap.place}: {gap.reason}{since}'


def _find_gaps(
    name: str,
    spec: Mapping[str, Any],
    declared_by_key: Mapping[str, Record],
    target_version: int,
) -> Iterable[Gap]:
    highest = spec['highest_version']
    if highest < target_version:
        yield Gap(
            name,
            f'has version {highest}, lacks version {target_version}',
            _get_first_missing_write_time(declared_by_key, highest),
        )
    lagging = spec.get('lagging', ())
    for member in lagging:
        yield Gap(
            name,
            f'member {member["member"]} lags behind at version '
            f'{member["highest_version"]}',
            member['since'],
        )
    missing = spec['members'] - spec['in_force']
    if missing > len(lagging):
        yield Gap(
            name,
            f'{spec["in_force"]} of {spec["members"]} members are in force',
        )
    if spec['members'] == 0:
        yield Gap(name, 'has no members')


def _get_first_missing_write_time(
    declared_by_key: Mapping[str, Record],
    highest: int,
) -> float:
    """Return the write time of the oldest missing version, or zero."""
    missing = [
        record
        for record in declared_by_key.values()
        if record.version > highest
    ]
    for record in sorted(missing, key=attrgetter('version')):
        changes = read_versioned_changes(record.version, record.body)
        if changes and is_wall_time(changes[-1].entry.when):
            return parse_wall_time(changes[-1].entry.when)
    return 0


def _list_rejected(
    summaries: Iterable[Mapping[str, Any]],
    declared_by_key: Mapping[str, Record],
) -> tuple[Mapping[str, Any], ...]:
    rejected: dict[str, Mapping[str, Any]] = {}
    for spec in summaries:
        for entry in spec.get('rejected', ()):
            record = declared_by_key.get(entry['key'])
            # A newer version may have corrected the object.
            if record is None or record.version <= entry['version']:
                rejected[entry['key']] = entry
    return tuple(rejected[key] for key in sorted(rejected))


def _list_unmet_rules(
    summaries: Iterable[Mapping[str, Any]],
) -> Iterable[Mapping[str, Any]]:
    for spec in summaries:
        for rule in spec.get('unmet_rules', ()):
            yield {'data_centre': spec['data_centre'], **rule}
