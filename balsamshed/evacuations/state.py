"""Evacuations in force at one balancer, and their rules."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.evacuations.view import (
    UNKNOWN_NAME,
    EvacuationChange,
    EvacuationView,
)
from balsamshed.store.revisions import get_era

#: Removed entries that are remembered; the oldest are forgotten first.
MAX_REMOVED_ENTRIES: Final = 64

_Endpoints = tuple[Endpoint, ...]


@dataclass(slots=True)
class EvacuationState:
    """Evacuations as one balancer knows them.

    Attributes
    ----------
    revision : int
        Revision of the last view; -1 before the first one.
    checked_revision : int
        Revision at which the store's list was last requested. It is above
        `revision` while the list as a whole cannot be read, which changes
        nothing here and must not end an evacuation at a peer.
    listed : mapping of str to int
        Data centres with an entry, with the number of changes of the store at
        which it was written.
    unreadable : frozenset of str
        Data centres whose entries cannot be read in the last view.
    kept : frozenset of str
        Data centres that stay evacuated although the store, which has come
        back from an older copy, lists no entry.
    removed : dict of str to int
        Entries that were removed, by data centre, with the number of changes
        at which they were written. A copy of the store may list them again.
    in_force : frozenset of str
        Evacuated data centres: those that are listed or kept.
    permitted : dict of str to (tuple of Endpoint, tuple of Endpoint)
        Cache by service: its available endpoints, and those of them outside
        the evacuated data centres.
    """

    revision: int = -1
    checked_revision: int = -1
    listed: Mapping[str, int] = field(default_factory=dict)
    unreadable: frozenset[str] = frozenset()
    kept: frozenset[str] = frozenset()
    removed: dict[str, int] = field(default_factory=dict)
    in_force: frozenset[str] = frozenset()
    permitted: dict[str, tuple[_Endpoints, _Endpoints]] = field(
        default_factory=dict,
    )


def apply_evacuations(
    state: EvacuationState, view: EvacuationView
) -> tuple[EvacuationChange, ...]:
    """Put a view of the evacuations in force, unless it is older.

    An entry that cannot be read changes nothing. In the first view of a new
    era of the store, evacuations without an entry are kept until the store
    lists them again, and an entry that was already removed is ignored until it
    is written again. What a peer keeps is kept here too, unless the removal of
    its entry was seen here.

    Parameters
    ----------
    state : EvacuationState
        Changed in place.
    view : EvacuationView
        Evacuations that the store lists, or that a peer knows.

    Returns
    -------
    tuple of EvacuationChange
        Evacuations that begin or end, sorted by data centre.
    """
    if view.revision < state.revision:
        return ()
    listed = _select_listed(state, view)
    kept = state.kept | view.kept.difference(state.removed)
    if 0 <= get_era(state.revision) < get_era(view.revision):
        kept |= state.in_force
    kept -= listed.keys()
    previous = state.in_force
    state.in_force = frozenset(listed) | kept
    _remember_removed(state)
    state.revision = view.revision
    state.listed = listed
    state.unreadable = view.unreadable
    state.kept = kept
    changes = tuple(
        EvacuationChange(data_centre, data_centre in state.in_force)
        for data_centre in sorted(previous ^ state.in_force)
    )
    if changes:
        state.permitted.clear()
    return changes


def hold_evacuations(state: EvacuationState, revision: int) -> None:
    """Record that the list at a revision cannot be read and changes nothing."""
    state.checked_revision = max(state.checked_revision, revision)


def extend_evacuations(
    state: EvacuationState, since_revision: int, revision: int
) -> None:
    """Record that no evacuation has changed between two revisions.

    Parameters
    ----------
    state : EvacuationState
        Changed in place; stays as it is if it is older than the first one.
    since_revision, revision : int
        Revisions between which only other objects have changed.
    """
    if state.revision >= since_revision:
        state.revision = max(state.revision, revision)


def get_known_revision(state: EvacuationState) -> int:
    """Return the revision up to which the evacuations here are the store's."""
    return max(state.revision, state.checked_revision)


def create_evacuation_view(state: EvacuationState) -> EvacuationView | None:
    """Return what a peer should know; None if evacuations are not known."""
    if state.revision < 0:
        return None
    return EvacuationView(
        state.revision, state.listed, state.unreadable, state.kept
    )


def is_evacuated(state: EvacuationState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint gets no new flows, due to its data centre."""
    return endpoint.data_centre in state.in_force


def exclude_evacuated(
    state: EvacuationState, service: str, endpoints: _Endpoints
) -> _Endpoints:
    """Return the endpoints of a service outside evacuated data centres.

    Parameters
    ----------
    state : EvacuationState
        Evacuations; keeps the outcome until one of them or the endpoints
        change.
    service : str
        Name of the service.
    endpoints : tuple of Endpoint
        Its available endpoints.
    """
    if not state.in_force:
        return endpoints
    cached = state.permitted.get(service)
    if cached is not None and cached[0] is endpoints:
        return cached[1]
    permitted = tuple(
        endpoint for endpoint in endpoints if not is_evacuated(state, endpoint)
    )
    state.permitted[service] = (endpoints, permitted)
    return permitted


def _select_listed(
    state: EvacuationState, view: EvacuationView
) -> dict[str, int]:
    """Return the listed entries that hold, with the unreadable former ones."""
    # An entry without a readable name may be that of any data centre.
    holds_all = UNKNOWN_NAME in view.unreadable
    listed = {
        data_centre: number
        for data_centre, number in state.listed.items()
        if holds_all or data_centre in view.unreadable
    }
    listed.update(
        (data_centre, number)
        for data_centre, number in view.listed.items()
        if number < 0 or state.removed.get(data_centre) != number
    )
    return listed


def _remember_removed(state: EvacuationState) -> None:
    for data_centre, number in state.listed.items():
        if data_centre not in state.in_force:
            # Reinsert the entry at the end: entries are in order of removal.
            state.removed.pop(data_centre, None)
            state.removed[data_centre] = number
    while len(state.removed) > MAX_REMOVED_ENTRIES:
        del state.removed[next(iter(state.removed))]
