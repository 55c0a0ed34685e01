"""Latest changes of the routes, for peers with an earlier version.

A version of a large configuration often changes a single route. A balancer
may have skipped versions, so changes since a peer's version are only a
proposal: they count if they lead to the digest of the sender's table.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final
from zlib import crc32

from balsamshed.routes.table import (
    Route,
    RouteTable,
    ServicePolicy,
    choose_newer,
    make_listener_key,
)

#: Limit of the remembered changes, some 100 bytes each.
MAX_CHANGES: Final = 2048

_DIGEST_MASK: Final = (1 << 64) - 1
_HALF_BITS: Final = 32


@dataclass(frozen=True, slots=True)
class RouteChanges:
    """Differences between two versions of the routes.

    Parameters
    ----------
    base_version : int
        Version of the earlier table.
    version : int
        Version of the later table.
    updated : tuple of Route
        Routes of the later table that are new or different.
    removed : tuple of int
        Listener keys that the later table lacks.
    services : frozenset of str
        Names of all services of the later table.
    digest : int
        Digest of the later table.
    policies : dict of str to ServicePolicy
        Policies of the later table.
    """

    base_version: int
    version: int
    updated: tuple[Route, ...]
    removed: tuple[int, ...]
    services: frozenset[str]
    digest: int
    policies: dict[str, ServicePolicy] = field(default_factory=dict)


@dataclass(slots=True)
class RouteHistory:
    """Routes in force, and the versions in which they changed.

    Attributes
    ----------
    start_version : int
        The history has every change after this version; -1 without routes.
    table : RouteTable
        Latest table.
    change_versions : dict of int to int
        Latest version in which a route may have changed or disappeared, by
        listener key; the latest change comes last.
    digest : int or None
        Digest of the table; None until it is needed.
    """

    start_version: int = -1
    table: RouteTable = field(default_factory=RouteTable)
    change_versions: dict[int, int] = field(default_factory=dict)
    digest: int | None = None


def record_table(history: RouteHistory, table: RouteTable) -> None:
    """Record the changes in a newer table; an older one is ignored."""
    previous = history.table
    if choose_newer(previous, table) is previous:
        return
    if history.start_version < 0:
        history.start_version = table.version
    else:
        _record_changes(history, table)
    history.table = table


def list_route_changes(
    history: RouteHistory, base_version: int
) -> RouteChanges | None:
    """Return the changes since a version.

    Parameters
    ----------
    history : RouteHistory
        History of this balancer.
    base_version : int
        Version of the peer's routes.

    Returns
    -------
    RouteChanges or None
        The changes; None if the history does not reach back that far.
    """
    if history.start_version < 0 or base_version < history.start_version:
        return None
    updated: list[Route] = []
    removed: list[int] = []
    for listener, version in reversed(history.change_versions.items()):
        if version <= base_version:
            break
        route = history.table.routes.get(listener)
        if route is None:
            removed.append(listener)
        else:
            updated.append(route)
    table = history.table
    return RouteChanges(
        base_version,
        table.version,
        tuple(updated),
        tuple(removed),
        table.services,
        _get_digest(history),
        table.policies,
    )


def merge_route_changes(
    history: RouteHistory, changes: RouteChanges
) -> RouteTable | None:
    """Return the table that results from a peer's changes.

    Returns
    -------
    RouteTable or None
        None if the result is not the peer's table: the own table is older
        than the base, or a version was skipped that changed other routes.
    """
    if changes.base_version > history.table.version:
        return None
    routes = dict(history.table.routes)
    digest = _get_digest(history)
    for listener in changes.removed:
        digest -= _hash_route(routes.pop(listener, None))
    for route in changes.updated:
        listener = make_listener_key(route.address, route.port)
        digest += _hash_route(route) - _hash_route(routes.get(listener))
        routes[listener] = route
    if digest & _DIGEST_MASK != changes.digest:
        return None
    return RouteTable(
        changes.version, routes, changes.services, changes.policies
    )


def _record_changes(history: RouteHistory, table: RouteTable) -> None:
    previous = history.table.routes
    for listener in tuple(_list_changed_listeners(previous, table.routes)):
        # Reinsert the entry at the end: entries are in order of change.
        history.change_versions.pop(listener, None)
        history.change_versions[listener] = table.version
        if history.digest is not None:
            history.digest += _hash_route(table.routes.get(listener))
            history.digest -= _hash_route(previous.get(listener))
            history.digest &= _DIGEST_MASK
    while len(history.change_versions) > MAX_CHANGES:
        oldest = next(iter(history.change_versions))
        history.start_version = history.change_versions.pop(oldest)


def _list_changed_listeners(
    previous: dict[int, Route], routes: dict[int, Route]
) -> Iterator[int]:
    for listener, route in routes.items():
        old = previous.get(listener)
        if old is not route and old != route:
            yield listener
    for listener in previous:
        if listener not in routes:
            yield listener


def _get_digest(history: RouteHistory) -> int:
    if history.digest is None:
        history.digest = calculate_route_digest(history.table.routes.values())
    return history.digest


def calculate_route_digest(routes: Iterable[Route]) -> int:
    """Return the digest of routes, independent of their order.

    It is a sum over the routes, so that a change of one route needs no
    calculation for the others.
    """
    return sum(map(_hash_route, routes)) & _DIGEST_MASK


def _hash_route(route: Route | None) -> int:
    if route is None:
        return 0
    content = repr(
        (
            route.name,
            route.address,
            route.port,
            [(share.service, share.weight) for share in route.shares],
            float(route.timeout_seconds),
            route.is_idempotent,
            float(route.latency_goal_seconds),
            route.priority,
        )
    ).encode()
    low = crc32(content)
    return crc32(content, low) << _HALF_BITS | low
