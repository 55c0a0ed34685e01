"""Objects of a group as the store shows them, and checks across objects."""

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

#: Kinds that declare desired state, in the order in which they are listed.
DECLARED_KINDS: Final = ('service', 'backend_server')


@dataclass(frozen=True, slots=True)
class GroupState:
    """Records and resources of a group.

    Parameters
    ----------
    records : mapping of str to Record
        Newest version of each declared object, deleted ones included.
    resources : mapping of str to Resource
        The objects that are neither deleted nor faulty.
    """

    records: Mapping[str, Record]
    resources: Mapping[str, Resource]


def build_group_state(records: Iterable[Record]) -> GroupState:
    """Parse the records of a group."""
    known = {record.key: record for record in records}
    resources = {}
    for key, record in known.items():
        if record.body.get('deleted'):
            continue
        outcome = parse_resource(key, record.body.get('spec'))
        if not isinstance(outcome, Rejection):
            resources[key] = outcome
    return GroupState(known, resources)


def get_spec(record: Record | None) -> Mapping[str, Any] | None:
    """Return the specification of an object that exists."""
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
        For each such service, the first time, among now and the next start
        of each quiet period, at which no backend server takes new work.
    """
    known = tuple(resources)
    unserved = {}
    for service in known:
        if not isinstance(service, Service):
            continue
        servers = [
            server
            for server in known
            if isinstance(server, BackendServer)
            and server.service == service.name
        ]
        for moment in _list_evaluation_times(servers, now):
            if not any(takes_new_work(server, moment) for server in servers):
                unserved[service.name] = moment
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
        Surroundings of the command.
    kinds : iterable of str
        Each kind is listed by a call of its own, since the audit objects of
        a group do not fit the limit of a list.

    Returns
    -------
    Listing or StoreFailure
        All records with the revision of the first list.
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
    passed = math.ceil((now - period.start_seconds) / period.repeat_seconds)
    return period.start_seconds + passed * period.repeat_seconds
