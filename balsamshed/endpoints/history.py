"""Changes of the store's endpoints by revision.

A balancer that knows an earlier view asks a peer only for what differs: a
whole view of 75 endpoints has 8 KB, and every balancer fetches each change.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint, has_same_state

#: Changes that are remembered; whoever is further behind gets a whole view.
MAX_CHANGES: Final = 512


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """What differs between two views.

    Parameters
    ----------
    base_revision : int
        Revision of the earlier view.
    revision : int
        Revision of the later view.
    updated : tuple of Endpoint
        Endpoints of the later view that are new or different.
    removed : tuple of int
        Identities that the later view lacks.
    max_revision : int
        Revision that some of them may show, if it is higher.
    """

    base_revision: int
    revision: int
    updated: tuple[Endpoint, ...]
    removed: tuple[int, ...]
    max_revision: int = -1


@dataclass(slots=True)
class ViewHistory:
    """The last view of the store and when its endpoints changed.

    Attributes
    ----------
    start_revision : int
        Every change after this revision is remembered; -1 without a view.
    revision : int
        Revision of the last view; -1 without one.
    max_revision : int
        Highest revision that any endpoint of the views may show. Changes
        count as those of this revision, since a peer that knows an earlier
        one exactly may lack them.
    endpoints : dict of int to Endpoint
        Endpoints of the last view, by identity.
    change_revisions : dict of int to int
        Latest revision at which an identity may have got into its present
        state or gone missing; the latest change is the last entry.
    """

    start_revision: int = -1
    revision: int = -1
    max_revision: int = -1
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    change_revisions: dict[int, int] = field(default_factory=dict)


def record_view(history: ViewHistory, view: EndpointView) -> None:
    """Remember what a newer view changes; an older one changes nothing."""
    if view.revision < history.revision:
        return
    endpoints = {endpoint.instance: endpoint for endpoint in view.endpoints}
    history.max_revision = max(
        history.max_revision, view.max_revision, view.revision
    )
    if history.start_revision < 0:
        history.start_revision = history.max_revision
    else:
        for instance in tuple(
            _list_changed_instances(history.endpoints, endpoints)
        ):
            # The identity moves to the end: entries stay in order.
            history.change_revisions.pop(instance, None)
            history.change_revisions[instance] = history.max_revision
    history.endpoints = endpoints
    history.revision = view.revision
    while len(history.change_revisions) > MAX_CHANGES:
        oldest = next(iter(history.change_revisions))
        history.start_revision = history.change_revisions.pop(oldest)


def list_changes(
    history: ViewHistory,
    base: int,
    revision: int,
) -> EndpointChanges | None:
    """Return what changed after a view.

    Parameters
    ----------
    history : ViewHistory
        Changes of one balancer.
    base_revision : int
        Revision of the view that the peer has.
    revision : int
        Revision that the balancer stands for; its last view may be newer.

    Returns
    -------
    EndpointChanges or None
        Everything that differs; None if that is not known any more.
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
    return EndpointChanges(
        base,
        revision,
        tuple(present),
        tuple(removed),
        history.max_revision,
    )


def merge_changes(
    history: ViewHistory,
    changes: EndpointChanges,
) -> EndpointView:
    """Return the view that a peer's changes lead to.

    The last view may be newer than the one that the peer compared with: the
    changes since the earlier one include those since the later one.
    """
    merged = dict(history.endpoints)
    for instance in changes.removed:
        merged.pop(instance, None)
    for endpoint in changes.updated:
        merged[endpoint.instance] = endpoint
    return EndpointView(
        changes.revision,
        tuple(merged.values()),
        changes.max_revision,
    )


def _list_changed_instances(
    previous: dict[int, Endpoint],
    endpoints: dict[int, Endpoint],
) -> Iterator[int]:
    for instance, endpoint in endpoints.items():
        known = previous.get(instance)
        if known is None or not has_same_state(known, endpoint):
            yield instance
    for instance in previous:
        if instance not in endpoints:
            yield instance
