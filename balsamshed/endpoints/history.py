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
MOST_CHANGES: Final = 512


@dataclass(frozen=True, slots=True)
class EndpointChanges:
    """What differs between two views.

    Parameters
    ----------
    base : int
        Revision of the earlier view.
    revision : int
        Revision of the later view.
    present : tuple of Endpoint
        Endpoints of the later view that are new or different.
    removed : tuple of int
        Identities that the later view lacks.
    newest : int
        Revision that some of them may show, if it is higher.
    """

    base: int
    revision: int
    present: tuple[Endpoint, ...]
    removed: tuple[int, ...]
    newest: int = -1


@dataclass(slots=True)
class ViewHistory:
    """The last view of the store and when its endpoints changed.

    Attributes
    ----------
    start : int
        Every change after this revision is remembered; -1 without a view.
    revision : int
        Revision of the last view; -1 without one.
    newest : int
        Highest revision that any endpoint of the views may show. Changes
        count as those of this revision, since a peer that knows an earlier
        one exactly may lack them.
    listed : dict of int to Endpoint
        Endpoints of the last view, by identity.
    changed_at : dict of int to int
        Latest revision at which an identity may have got into its present
        state or gone missing; the latest change is the last entry.
    """

    start: int = -1
    revision: int = -1
    newest: int = -1
    listed: dict[int, Endpoint] = field(default_factory=dict)
    changed_at: dict[int, int] = field(default_factory=dict)


def note_view(history: ViewHistory, view: EndpointView) -> None:
    """Remember what a newer view changes; an older one changes nothing."""
    if view.revision < history.revision:
        return
    listed = {endpoint.instance: endpoint for endpoint in view.endpoints}
    history.newest = max(history.newest, view.newest, view.revision)
    if history.start < 0:
        history.start = history.newest
    else:
        for instance in tuple(_list_different(history.listed, listed)):
            # The identity moves to the end: entries stay in order.
            history.changed_at.pop(instance, None)
            history.changed_at[instance] = history.newest
    history.listed = listed
    history.revision = view.revision
    while len(history.changed_at) > MOST_CHANGES:
        oldest = next(iter(history.changed_at))
        history.start = history.changed_at.pop(oldest)


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
    base : int
        Revision of the view that the peer has.
    revision : int
        Revision that the balancer stands for; its last view may be newer.

    Returns
    -------
    EndpointChanges or None
        Everything that differs; None if that is not known any more.
    """
    if history.start < 0 or base < history.start:
        return None
    present: list[Endpoint] = []
    removed: list[int] = []
    for instance, changed_at in reversed(history.changed_at.items()):
        if changed_at <= base:
            break
        endpoint = history.listed.get(instance)
        if endpoint is None:
            removed.append(instance)
        else:
            present.append(endpoint)
    return EndpointChanges(
        base,
        revision,
        tuple(present),
        tuple(removed),
        history.newest,
    )


def merge_changes(
    history: ViewHistory,
    changes: EndpointChanges,
) -> EndpointView:
    """Return the view that a peer's changes lead to.

    The last view may be newer than the one that the peer compared with: the
    changes since the earlier one include those since the later one.
    """
    merged = dict(history.listed)
    for instance in changes.removed:
        merged.pop(instance, None)
    for endpoint in changes.present:
        merged[endpoint.instance] = endpoint
    return EndpointView(
        changes.revision,
        tuple(merged.values()),
        changes.newest,
    )


def _list_different(
    former: dict[int, Endpoint],
    listed: dict[int, Endpoint],
) -> Iterator[int]:
    for instance, endpoint in listed.items():
        known = former.get(instance)
        if known is None or not has_same_state(known, endpoint):
            yield instance
    for instance in former:
        if instance not in listed:
            yield instance
