"""Objects of a group as read from the store, and checks across objects."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.configuration.parsing import parse_resource
from balsamshed.configuration.quiet_periods import takes_new_work
from balsamshed.configuration.records import Record, Rejection
from balsamshed.configuration.resources import (
    BackendServer,
    QuietPeriod,
    Resource,
    Service,
)
from balsamshed.store.responses import Listing, StoreFailure

#: Kinds of declared objects, in the order in which they are listed.
DECLARED_KINDS: Final = ('service', 'backend_server')


@dataclass(frozen=True, slots=True)
class GroupState:
    """Declared objects of a group.

    Parameters
    ----------
    records : mapping of str to Record
        Newest version of each declared object, deleted ones included.
    resources : mapping of str to Resource
        The parsed objects, without deleted and invalid ones.
    """

    records: Mapping[str, Record]
    resources: Mapping[str, Resource]


def build_group_state(records: Iterable[Record]) -> GroupState:
    """Parse the records of a group."""
    records_by_key = {record.key: record for record in records}
    resources = {}
    for key, record in records_by_key.items():
        if record.body.get('deleted'):
            continue
        outcome = parse_resource(key, record.body.get('spec'))
        if not isinstance(outcome, Rejection):
            resources[key] = outcome
    return GroupState(records_by_key, resources)


def get_spec(record: Record | None) -> Mapping[str, Any] | None:
    """Return the specification of an object, or None if it does not exist."""
    if record is None or record.body.get('deleted'):
        return None
    spec = record.body.get('spec')
    return spec if isinstance(spec, Mapping) else None


def find_unserved_services(
    resources: Iterable[Resource],
    now: float,
) -> dict[str, float]:
    """Return the services without a backend server that takes new work.

    Parameters
    ----------
    resources : iterable of Resource
        All resources of the group.
    now : float
        Seconds since the Unix epoch.

    Returns
    -------
    dict of str to float
        For each such service, the earliest time at which no backend server
        takes new work. Only `now` and the next start of each quiet period
        are checked.
    """
    all_resources = tuple(resources)
    unserved = {}
    for service in all_resources:
        if not isinstance(service, Service):
            continue
        servers = [
            server
            for server in all_resources
            if isinstance(server, BackendServer)
            and server.service == service.name
        ]
        for time in _list_evaluation_times(servers, now):
            if not any(takes_new_work(server, time) for server in servers):
                unserved[service.name] = time
                break
    return unserved


async def read_records(
    session: Any,
    kinds: Iterable[str] = DECLARED_KINDS,
) -> Listing | StoreFailure:
    """List the objects of some kinds.

    Parameters
    ----------
    session : Session
        Session of the command.
    kinds : iterable of str
        Kinds to list. Each is listed with a separate call, because a list
        that includes the audit objects of a group exceeds the size limit.

    Returns
    -------
    Listing or StoreFailure
        All records, with the lowest revision of the lists.
    """
    records: list[Record] = []
    revisions = []
    for kind in kinds:
        listing = await session.client.list_objects(f'{session.group}/{kind}/')
        if isinstance(listing, StoreFailure):
            return listing
        revisions.append(listing.revision)
        records.extend(listing.records)
    return Listing(min(revisions), tuple(records))


def _list_evaluation_times(
    servers: Iterable[BackendServer], now: float
) -> list[float]:
    starts = [
        _get_next_start(period, now)
        for server in servers
        for period in server.quiet_periods
    ]
    return sorted((now, *(start for start in starts if start > now)))


def _get_next_start(period: QuietPeriod, now: float) -> float:
    if period.start_seconds >= now or period.repeat_seconds <= 0:
        return period.start_seconds
    repeats = math.ceil((now - period.start_seconds) / period.repeat_seconds)
    return period.start_seconds + repeats * period.repeat_seconds
