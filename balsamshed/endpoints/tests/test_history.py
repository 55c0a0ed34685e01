"""Tests of view histories: balancers must not diverge in their views."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from balsamshed.edge.tests.builders import build_endpoint, build_view
from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.history import (
    MAX_CHANGES,
    ViewHistory,
    explains_all_changes,
    list_changes,
    merge_changes,
    record_view,
)

ENDPOINTS = st.builds(
    build_endpoint,
    st.integers(1, 6),
    is_draining=st.booleans(),
    started_at_ms=st.integers(1, 2),
    sequence=st.integers(0, 3),
)
VIEWS = st.lists(
    st.lists(ENDPOINTS, unique_by=lambda endpoint: endpoint.instance),
    min_size=1,
    max_size=8,
)


def describe(endpoints):
    """Return the state that must be equal on every balancer."""
    return {
        endpoint.instance: (endpoint.started_at_ms, endpoint.is_draining)
        for endpoint in endpoints
    }


def build_history(*views):
    """Return a history of views at revisions 1, 2, 3 and so on."""
    history = ViewHistory()
    for revision, endpoints in enumerate(views, start=1):
        record_view(history, build_view(revision, *endpoints))
    return history


@given(VIEWS, st.data())
def test_changes_lead_from_any_view_to_the_last_one(views, data):
    """Guards against changes that omit a drain or a removal."""
    last = len(views)
    base = data.draw(st.integers(1, last))
    own = data.draw(st.integers(base, last))
    changes = list_changes(build_history(*views), base, last)
    merged = merge_changes(build_history(*views[:own]), changes)
    assert describe(merged.endpoints) == describe(views[-1])
    assert merged.revision == last


@given(VIEWS)
def test_changes_propagate_through_several_balancers(views):
    """Guards against a balancer that does not relay received changes."""
    first, second = build_history(*views), build_history(views[0])
    last = len(views)
    changes = list_changes(first, 1, last)
    record_view(second, merge_changes(second, changes))
    again = list_changes(second, 1, last)
    merged = merge_changes(build_history(views[0]), again)
    assert describe(merged.endpoints) == describe(views[-1])


def test_reports_of_unchanged_state_are_no_changes():
    """Guards against views that are sent for each heartbeat."""
    history = build_history(
        [build_endpoint(1, sequence=1)],
        [build_endpoint(1, sequence=2, warm_up_seconds=1)],
    )
    changes = list_changes(history, 1, 2)
    assert (changes.updated, changes.removed) == ((), ())


def test_endpoint_that_reappears_unchanged_is_a_change():
    """Guards against a peer that removed it and does not add it again."""
    endpoint = build_endpoint(1)
    history = build_history([endpoint], [], [endpoint])
    assert list_changes(history, 2, 3).updated == (endpoint,)


def test_changes_after_a_skipped_revision_are_rejected():
    """Guards against a peer without endpoints that a holder, which skipped
    the revision at which they were all missing, calls up to date."""
    endpoint = build_endpoint(1)
    holder, peer = build_history([endpoint]), build_history([endpoint], [])
    record_view(holder, build_view(3, endpoint))
    changes = list_changes(holder, 2, 3)
    assert merge_changes(peer, changes) is None
    assert merge_changes(build_history([endpoint]), changes) is None
    earlier = list_changes(holder, 1, 3)
    assert merge_changes(build_history([endpoint]), earlier) is not None


def test_changes_without_a_digest_are_rejected():
    """Guards against unchecked changes from balancers of older builds."""
    changes = replace(list_changes(build_history([], []), 1, 2), digest=None)
    assert merge_changes(build_history([]), changes) is None


def test_history_does_not_reach_back_before_the_first_view():
    """Guards against a peer that keeps endpoints removed before the start."""
    history = ViewHistory()
    assert list_changes(history, -1, 0) is None
    record_view(history, build_view(5, build_endpoint(1)))
    assert list_changes(history, 4, 5) is None
    assert list_changes(history, 5, 5) is not None


def test_size_of_the_history_is_bounded():
    """Guards against memory that grows with every former endpoint."""
    history = build_history([])
    for revision in range(2, MAX_CHANGES + 100):
        endpoint = build_endpoint(1, instance=revision)
        record_view(history, build_view(revision, endpoint))
    assert len(history.change_revisions) == MAX_CHANGES
    assert (
        list_changes(history, history.start_revision - 1, history.revision)
        is None
    )
    last = list_changes(history, history.revision - 1, history.revision)
    assert last.removed == (history.revision - 1,)


def test_change_seen_early_on_a_page_is_sent_to_peers():
    """Guards against a change lost between pages, which may show different
    revisions. A drain at revision 12 on the last page of a list at revision
    10 has to reach a peer whose view shows exactly 10 or 11."""
    ready, draining = build_endpoint(1), build_endpoint(1, is_draining=True)
    for first in ([], [build_view(9, ready)]):
        history = ViewHistory()
        for view in first:
            record_view(history, view)
        record_view(history, EndpointView(10, (draining,), max_revision=12))
        record_view(history, build_view(20, draining))
        for base in (10, 11):
            changes = list_changes(history, base, 20)
            assert changes is None or changes.updated == (draining,)


def test_change_seen_early_is_relayed_by_the_next_balancer():
    """Guards against a highest revision lost on the way to a third peer."""
    ready, draining = build_endpoint(1), build_endpoint(1, is_draining=True)
    first, second = build_history([ready]), build_history([ready])
    record_view(first, EndpointView(10, (draining,), max_revision=12))
    record_view(second, merge_changes(second, list_changes(first, 1, 10)))
    record_view(second, build_view(20, draining))
    assert list_changes(second, 11, 20).updated == (draining,)


#: Change of an endpoint's entry, its removal, or a change of another object.
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(('write', 'remove', 'configure')), st.integers(1, 4)
    ),
    max_size=8,
)


def list_entries(revisions, revision):
    """Return the view of a store that lists entries with their revisions."""
    return EndpointView(
        revision,
        tuple(map(build_endpoint, revisions)),
        revision,
        frozenset(revisions.values()),
    )


@given(st.lists(CHANGES, min_size=2, max_size=5))
def test_no_change_of_routes_is_taken_for_one_of_endpoints(rounds):
    """Guards against routes that are not read although they have changed."""
    revision, known_revision, configured_at = 1, -1, 1
    revisions = {}
    history = ViewHistory()
    for changes in rounds:
        for kind, number in changes:
            if kind == 'remove' and number not in revisions:
                continue
            revision += 1
            if kind == 'write':
                revisions[number] = revision
            elif kind == 'remove':
                del revisions[number]
            else:
                configured_at = revision
        view = list_entries(revisions, revision)
        if explains_all_changes(history, view, known_revision):
            assert configured_at <= known_revision
        record_view(history, view)
        known_revision = revision


def test_pages_of_different_revisions_explain_nothing():
    """Guards against a change between two pages of a list."""
    history = build_history([build_endpoint(1)])
    view = list_entries({1: 2}, 2)
    assert explains_all_changes(history, view, 1)
    assert not explains_all_changes(history, replace(view, max_revision=3), 1)
    assert not explains_all_changes(history, view, -1)
