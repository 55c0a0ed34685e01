"""History of changes to the store's endpoints, by revision.

A balancer with an earlier view fetches only the changes from a peer: a whole
view of 75 endpoints takes 8 KB, and every balancer fetches each change.

A holder that skipped revisions cannot know which entries disappeared and
returned between them, but its peer may have the view of such a revision.
Changes therefore carry the digest of the view that they lead to. The receiver
checks it, and fetches the whole view if its own result differs.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.digests import calculate_digest
from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint, has_same_state
from balsamshed.store.revisions import get_era

#: Size of the history; a peer with an older view gets a whole view.
MAX_CHANGES: Final = 512


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """Differences between two views.

    Parameters
    ----------
    base_revision : int
        Revision of the earlier view.
    revision : int
        Revision of the later view.
    updated : tuple of Endpoint
        Endpoints of the later view that are new or different.
    removed : tuple of int
        Instance IDs that the later view lacks.
    max_revision : int
        Highest revision that some endpoints may show; see `EndpointView`.
    digest : int or None
        Digest of the later view; None from balancers of builds without it.
    """

    base_revision: int
    revision: int
    updated: tuple[Endpoint, ...]
    removed: tuple[int, ...]
    max_revision: int = -1
    digest: int | None = None


@dataclass(slots=True)
class ViewHistory:
    """Last view of the store, and the revisions at which endpoints changed.

    Attributes
    ----------
    start_revision : int
        The history has every change after this revision; -1 without a view.
    revision : int
        Revision of the last view; -1 without one.
    max_revision : int
        Highest revision that any endpoint of the views may show. Changes are
        recorded with this revision, since a peer whose view shows exactly an
        earlier one may lack them.
    endpoints : dict of int to Endpoint
        Endpoints of the last view, by instance ID.
    change_revisions : dict of int to int
        Latest revision at which an instance may have changed to its current
        state or disappeared, by instance ID; the latest change comes last.
    digest : int or None
        Digest of the last view; None until a peer asks for changes.
    tracks_warm_ups : bool
        Whether a longer remaining warm-up counts as a change of an endpoint.
    """

    start_revision: int = -1
    revision: int = -1
    max_revision: int = -1
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    change_revisions: dict[int, int] = field(default_factory=dict)
    digest: int | None = None
    tracks_warm_ups: bool = False


def record_view(history: ViewHistory, view: EndpointView) -> None:
    """Record the changes in a newer view; an older one is ignored."""
    if view.revision < history.revision:
        return
    endpoints = {endpoint.instance: endpoint for endpoint in view.endpoints}
    history.max_revision = max(
        history.max_revision, view.max_revision, view.revision
    )
    if history.start_revision < 0:
        history.start_revision = history.max_revision
    else:
        for instance in tuple(_list_changed_instances(history, endpoints)):
            # Reinsert the entry at the end: entries are in order of change.
            history.change_revisions.pop(instance, None)
            history.change_revisions[instance] = history.max_revision
    history.endpoints = endpoints
    history.digest = None
    history.revision = view.revision
    while len(history.change_revisions) > MAX_CHANGES:
        oldest = next(iter(history.change_revisions))
        history.start_revision = history.change_revisions.pop(oldest)


def explains_all_changes(
    history: ViewHistory, view: EndpointView, since_revision: int
) -> bool:
    """Return whether nothing but endpoints has changed in the store.

    The store counts all changes in one revision. Each listed entry with a
    later change, and each entry that is gone, accounts for at least one
    revision. If they account for all of them, no other object has changed.

    Parameters
    ----------
    history : ViewHistory
        History that does not have the view yet.
    view : EndpointView
        Endpoints that the store lists.
    since_revision : int
        Revision up to which all objects of the store are known.
    """
    if view.revision != view.max_revision or view.revision <= since_revision:
        return False
    if since_revision < 0 or get_era(view.revision) != get_era(since_revision):
        return False
    listed = {endpoint.instance for endpoint in view.endpoints}
    removed_count = sum(
        instance not in listed for instance in history.endpoints
    )
    changed_count = sum(
        since_revision < revision <= view.revision
        for revision in view.change_revisions
    )
    return removed_count + changed_count >= view.revision - since_revision


def list_changes(
    history: ViewHistory,
    base: int,
    revision: int,
) -> EndpointChanges | None:
    """Return the changes since a view.

    Parameters
    ----------
    history : ViewHistory
        History of this balancer.
    base_revision : int
        Revision of the peer's view.
    revision : int
        Revision of this balancer's view; the history may be newer.

    Returns
    -------
    EndpointChanges or None
        The changes; None if the history does not reach back that far.
    """
    if history.start_revision < 0 or base < history.start_revision:
        return None
    present: list[Endpoint] = []
    removed: list[int] = []
    for instance, change_revision in reversed(history.change_revisions.items()):
        if change_revision <= base:
            break
        endpoint = history.endpoints.get(instance)
        if endpoint is None:
            removed.append(instance)
        else:
            present.append(endpoint)
    if history.digest is None:
        history.digest = calculate_digest(history.endpoints.values())
    return EndpointChanges(
        base,
        revision,
        tuple(present),
        tuple(removed),
        history.max_revision,
        history.digest,
    )


def merge_changes(
    history: ViewHistory,
    changes: EndpointChanges,
) -> EndpointView | None:
    """Return the view that results from a peer's changes.

    The last view may be newer than the base of the changes: the changes since
    an earlier view include those since a later one.

    Returns
    -------
    EndpointView or None
        None if the result is not the peer's view: the last view is older than
        the base, or the peer skipped a revision that changed its endpoints.
    """
    if changes.base_revision > history.revision:
        return None
    merged = dict(history.endpoints)
    for instance in changes.removed:
        merged.pop(instance, None)
    for endpoint in changes.updated:
        merged[endpoint.instance] = endpoint
    if changes.digest != calculate_digest(merged.values()):
        return None
    return EndpointView(
        changes.revision,
        tuple(merged.values()),
        changes.max_revision,
    )


def _list_changed_instances(
    history: ViewHistory,
    endpoints: dict[int, Endpoint],
) -> Iterator[int]:
    previous = history.endpoints
    for instance, endpoint in endpoints.items():
        old = previous.get(instance)
        if old is None or not has_same_state(old, endpoint):
            yield instance
        elif (
            history.tracks_warm_ups
            and endpoint.warm_up_seconds > old.warm_up_seconds
        ):
            yield instance
    for instance in previous:
        if instance not in endpoints:
            yield instance
