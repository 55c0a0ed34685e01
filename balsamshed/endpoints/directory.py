"""Directory of the endpoints that a balancer knows."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from balsamshed.endpoints.endpoint import (
    Endpoint,
    derive_former_cookie,
    has_same_state,
)
from balsamshed.endpoints.restored import (
    OutdatedEntry,
    find_outdated_entries,
    keep_outdated_entries,
    replace_outdated_entries,
)
from balsamshed.store.revisions import get_era

#: Retention of endpoints whose entries expired in an outage of the store. Live
#: endpoints write new entries within two seconds of the store's return.
MISSING_RETENTION_SECONDS: Final = 2.2


class ChangeKind(StrEnum):
    """Kind of difference between two views of an endpoint."""

    ADDED = 'added'
    RESTARTED = 'restarted'
    DRAINING = 'draining'
    READY = 'ready'
    REMOVED = 'removed'
    UPDATED = 'updated'


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Difference between two views for one endpoint.

    Parameters
    ----------
    kind : ChangeKind
        Kind of the difference.
    endpoint : Endpoint
        The endpoint in the newer view; in the older one if it was removed.
    """

    kind: ChangeKind
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointView:
    """All endpoints at one revision of the store.

    Parameters
    ----------
    revision : int
        Revision up to which all changes are included; a view with a higher
        one is newer.
    endpoints : tuple of Endpoint
        The endpoints, in any order.
    max_revision : int
        Highest revision that some endpoints may show, if it is above
        `revision`: the pages of a list are read one after the other.
    change_revisions : frozenset of int
        Revision of the latest change of each listed entry; empty if it is
        not known for all of them.
    """

    revision: int
    endpoints: tuple[Endpoint, ...]
    max_revision: int = -1
    change_revisions: frozenset[int] = frozenset()


@dataclass(slots=True)
class EndpointDirectory:
    """Endpoints by instance ID and by cookie.

    Attributes
    ----------
    removed_retention_seconds : float
        How long a removed endpoint stays reachable for open flows: the
        maximum lifetime of a flow. An entry may disappear while its endpoint
        still runs, for example after an outage of the store.
    revision : int
        Revision of the last view; -1 before the first one.
    endpoints : dict of int to Endpoint
        Endpoints of the last view and retained ones, by instance ID.
    missing_since : dict of int to float
        Retained endpoints that the last view lacks, with the monotonic
        seconds at which they were first missing.
    removed : dict of int to (Endpoint, float)
        Removed endpoints with the monotonic seconds of their removal.
    outdated : dict of int to OutdatedEntry
        Entries that a restored store lists in an older state, by instance ID.
    by_cookie : dict of (str, int) to Endpoint
        Present and removed endpoints by service and cookie.
    service_by_cookie : dict of int to str or None
        Service of the present and removed endpoints with a cookie; None if
        they are of several services.
    available_by_service : dict of str to tuple of Endpoint
        Endpoints that are not draining, by service.
    """

    removed_retention_seconds: float
    revision: int = -1
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    missing_since: dict[int, float] = field(default_factory=dict)
    removed: dict[int, tuple[Endpoint, float]] = field(default_factory=dict)
    outdated: dict[int, OutdatedEntry] = field(default_factory=dict)
    by_cookie: dict[tuple[str, int], Endpoint] = field(default_factory=dict)
    service_by_cookie: dict[int, str | None] = field(default_factory=dict)
    available_by_service: dict[str, tuple[Endpoint, ...]] = field(
        default_factory=dict,
    )


def apply_view(
    directory: EndpointDirectory,
    view: EndpointView,
    now: float,
    retain_missing: bool = False,
) -> tuple[EndpointChange, ...]:
    """Replace the directory's endpoints with those of a newer view.

    Entries expire during an outage of the store, and live endpoints write them
    again within two seconds of its return. After an outage, missing endpoints
    that were not draining are therefore retained for that time. So are those
    that a restored store lacks, and its older states replace no newer ones.

    A view with a lower revision than the last one is ignored: it comes from a
    replica that lags, or from a response that arrived out of order.

    Parameters
    ----------
    directory : EndpointDirectory
        Changed in place.
    view : EndpointView
        Endpoints that the store lists.
    now : float
        Monotonic seconds.
    retain_missing : bool
        Whether the store had an outage a short time ago.

    Returns
    -------
    tuple of EndpointChange
        Differences from the previous view.
    """
    if view.revision < directory.revision:
        return ()
    listed = {endpoint.instance: endpoint for endpoint in view.endpoints}
    is_restored = 0 <= get_era(directory.revision) < get_era(view.revision)
    _update_outdated(directory, listed, is_restored=is_restored)
    newer = replace_outdated_entries(directory.outdated, listed)
    retain_missing = retain_missing or is_restored
    newer.update(_retain_missing(directory, listed, now, retain_missing))
    directory.revision = view.revision
    return _replace_endpoints(directory, newer, now)


def extend_missing_retention(
    directory: EndpointDirectory, seconds: float
) -> None:
    """Extend the retention of missing endpoints by a pause of the process.

    Parameters
    ----------
    directory : EndpointDirectory
        Changed in place.
    seconds : float
        Length of the pause, in which no view could show them again.
    """
    for instance in directory.missing_since:
        directory.missing_since[instance] += seconds


def expire_missing(
    directory: EndpointDirectory,
    now: float,
) -> tuple[EndpointChange, ...]:
    """Remove missing endpoints whose retention has ended.

    Removed endpoints are forgotten after their retention.

    Returns
    -------
    tuple of EndpointChange
        The removals.
    """
    expired = {
        instance
        for instance, missing_since in directory.missing_since.items()
        if now - missing_since > MISSING_RETENTION_SECONDS
    }
    if not expired:
        if _forget_removed(directory, now):
            _index_endpoints(directory)
        return ()
    for instance in expired:
        del directory.missing_since[instance]
    present = {
        instance: endpoint
        for instance, endpoint in directory.endpoints.items()
        if instance not in expired
    }
    return _replace_endpoints(directory, present, now)


def find_endpoint(
    directory: EndpointDirectory,
    service: str,
    cookie: int,
) -> Endpoint | None:
    """Return the endpoint of a service by its cookie, if it is known."""
    return directory.by_cookie.get((service, cookie))


def find_endpoint_of_any_service(
    directory: EndpointDirectory, cookie: int
) -> Endpoint | None:
    """Return the endpoint with a cookie; None if several services have one."""
    service = directory.service_by_cookie.get(cookie)
    return None if service is None else directory.by_cookie[service, cookie]


def list_available_endpoints(
    directory: EndpointDirectory,
    service: str,
) -> tuple[Endpoint, ...]:
    """Return the endpoints of a service that take new flows."""
    return directory.available_by_service.get(service, ())


def _replace_endpoints(
    directory: EndpointDirectory, newer: dict[int, Endpoint], now: float
) -> tuple[EndpointChange, ...]:
    previous = directory.endpoints
    changes = [
        EndpointChange(ChangeKind.REMOVED, endpoint)
        for instance, endpoint in previous.items()
        if instance not in newer
    ]
    for instance, endpoint in newer.items():
        kind = _classify_change(previous.get(instance), endpoint)
        if kind is not None:
            changes.append(EndpointChange(kind, endpoint))
    directory.endpoints = newer
    _retain_removed(directory, changes, now)
    has_forgotten = _forget_removed(directory, now)
    if changes or has_forgotten or not directory.by_cookie:
        _index_endpoints(directory)
    return tuple(changes)


def _update_outdated(
    directory: EndpointDirectory,
    listed: dict[int, Endpoint],
    *,
    is_restored: bool,
) -> None:
    if is_restored:
        removed = {
            instance: endpoint
            for instance, (endpoint, _) in directory.removed.items()
        }
        directory.outdated = find_outdated_entries(
            listed, directory.endpoints, removed
        )
    elif directory.outdated:
        directory.outdated = keep_outdated_entries(directory.outdated, listed)


def _retain_missing(
    directory: EndpointDirectory,
    newer: dict[int, Endpoint],
    now: float,
    retain_missing: bool,
) -> dict[int, Endpoint]:
    retained: dict[int, Endpoint] = {}
    missing_since_by_instance: dict[int, float] = {}
    for instance, endpoint in directory.endpoints.items():
        if instance in newer or endpoint.is_draining:
            continue
        missing_since = directory.missing_since.get(instance)
        if missing_since is None and retain_missing:
            missing_since = now
        if missing_since is None:
            continue
        if now - missing_since <= MISSING_RETENTION_SECONDS:
            retained[instance] = endpoint
            missing_since_by_instance[instance] = missing_since
    directory.missing_since = missing_since_by_instance
    return retained


def _classify_change(
    previous: Endpoint | None, newer: Endpoint
) -> ChangeKind | None:
    if previous is None:
        return ChangeKind.ADDED
    if previous.started_at_ms != newer.started_at_ms:
        return ChangeKind.RESTARTED
    if previous.is_draining != newer.is_draining:
        return ChangeKind.DRAINING if newer.is_draining else ChangeKind.READY
    return None if has_same_state(previous, newer) else ChangeKind.UPDATED


def _retain_removed(
    directory: EndpointDirectory,
    changes: Iterable[EndpointChange],
    now: float,
) -> None:
    for change in changes:
        if change.kind is ChangeKind.REMOVED:
            endpoint = change.endpoint
            directory.removed[endpoint.instance] = (endpoint, now)


def _forget_removed(directory: EndpointDirectory, now: float) -> bool:
    """Forget removed endpoints that are listed again or whose flows ended.

    Returns
    -------
    bool
        Whether any was forgotten.
    """
    if not directory.removed:
        return False
    expired_before = now - directory.removed_retention_seconds
    kept = {
        instance: (endpoint, removed_at)
        for instance, (endpoint, removed_at) in directory.removed.items()
        if removed_at > expired_before and instance not in directory.endpoints
    }
    has_forgotten = len(kept) < len(directory.removed)
    directory.removed = kept
    return has_forgotten


def _index_endpoints(directory: EndpointDirectory) -> None:
    by_cookie: dict[tuple[str, int], Endpoint] = {}
    services: dict[str, list[Endpoint]] = {}
    known = _sort_known(directory)
    for endpoint in known:
        key = (endpoint.service, endpoint.cookie)
        # Of two endpoints with one cookie, every balancer assigns it to the
        # one that started first, whose flows may be open even if its entry
        # has expired, and the other one receives none.
        if by_cookie.setdefault(key, endpoint) is not endpoint:
            continue
        if endpoint.instance in directory.endpoints:
            if not endpoint.is_draining:
                services.setdefault(endpoint.service, []).append(endpoint)
    _index_former_cookies(known, by_cookie)
    directory.by_cookie = by_cookie
    directory.service_by_cookie = _index_services(by_cookie)
    directory.available_by_service = {
        service: tuple(endpoints) for service, endpoints in services.items()
    }


def _index_former_cookies(
    known: Iterable[Endpoint],
    by_cookie: dict[tuple[str, int], Endpoint],
) -> None:
    """Add the cookies of flows that balancers of former builds opened.

    Such a cookie leads to the endpoint that started first, and to none if an
    endpoint of any service has it as its cookie of this build: the flows of
    this build are the more numerous ones.
    """
    taken = {cookie for _, cookie in by_cookie}
    for endpoint in known:
        cookie = derive_former_cookie(endpoint.instance)
        if cookie not in taken:
            by_cookie.setdefault((endpoint.service, cookie), endpoint)


def _index_services(
    by_cookie: Iterable[tuple[str, int]],
) -> dict[int, str | None]:
    services: dict[int, str | None] = {}
    for service, cookie in by_cookie:
        services[cookie] = None if cookie in services else service
    return services


def _sort_known(directory: EndpointDirectory) -> list[Endpoint]:
    """Return the present and removed endpoints by the time of their start."""
    removed = (endpoint for endpoint, _ in directory.removed.values())
    return sorted((*directory.endpoints.values(), *removed), key=_get_start)


def _get_start(endpoint: Endpoint) -> tuple[int, int]:
    return endpoint.started_at_ms, endpoint.instance
