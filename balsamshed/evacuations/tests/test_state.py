"""Tests of the rules of evacuations."""

from balsamshed.edge.tests.builders import build_endpoint
from balsamshed.evacuations.state import (
    MAX_REMOVED_ENTRIES,
    EvacuationState,
    apply_evacuations,
    create_evacuation_view,
    exclude_evacuated,
    get_known_revision,
    hold_evacuations,
)
from balsamshed.evacuations.view import (
    UNKNOWN_NAME,
    EvacuationChange,
    EvacuationView,
    list_returned,
)
from balsamshed.store.revisions import combine_revision

BEGUN = EvacuationChange('b', has_begun=True)
ENDED = EvacuationChange('b', has_begun=False)


def build_state(*views):
    state = EvacuationState()
    for view in views:
        apply_evacuations(state, view)
    return state


def test_evacuation_holds_until_its_entry_is_removed():
    """Guards against a begin or an end that is overlooked."""
    state = EvacuationState()
    view = EvacuationView(5, {'b': 5})
    assert apply_evacuations(state, view) == (BEGUN,)
    assert apply_evacuations(state, EvacuationView(6, {'b': 5})) == ()
    changes = apply_evacuations(state, EvacuationView(7))
    assert changes == (ENDED,)
    assert list_returned(changes) == ('b',)
    assert not state.in_force


def test_older_view_changes_nothing():
    """Guards against an evacuation undone by a stale read or a slow peer."""
    state = build_state(EvacuationView(5, {'b': 5}))
    assert apply_evacuations(state, EvacuationView(4)) == ()
    assert state.in_force == {'b'}


def test_unreadable_entry_changes_nothing():
    """Guards against a bad write that begins or ends an evacuation."""
    state = build_state(EvacuationView(5, {'b': 5}))
    bad = EvacuationView(7, unreadable=frozenset('bc'))
    assert apply_evacuations(state, bad) == ()
    assert state.in_force == {'b'}
    assert apply_evacuations(state, EvacuationView(8)) == (ENDED,)


def test_entry_without_a_readable_name_ends_no_evacuation():
    """Guards against an evacuation that ends, since its entry has become
    unreadable together with its name."""
    state = build_state(EvacuationView(5, {'b': 5}))
    bad = EvacuationView(7, unreadable=frozenset((UNKNOWN_NAME,)))
    assert apply_evacuations(state, bad) == ()
    assert state.in_force == {'b'}


def test_balancer_that_never_read_the_entry_ends_no_evacuation_at_a_peer():
    """Guards against an evacuation that ends at a peer, since a balancer that
    started after its entry became unreadable knows nothing of it."""
    bad = EvacuationView(7, unreadable=frozenset('b'))
    started_later = build_state(bad)
    assert not started_later.in_force
    peer = build_state(EvacuationView(5, {'b': 5}))
    apply_evacuations(peer, create_evacuation_view(started_later))
    assert peer.in_force == {'b'}


def test_list_that_cannot_be_read_is_no_news_for_peers():
    """Guards against a balancer that passes on an empty list as the newest,
    although it could not read the list."""
    state = build_state(EvacuationView(5))
    hold_evacuations(state, 9)
    assert get_known_revision(state) == 9
    assert create_evacuation_view(state).revision == 5
    assert create_evacuation_view(EvacuationState()) is None


def test_evacuation_that_a_restored_store_lacks_is_kept():
    """Guards against an evacuation undone by a store that came back from a
    copy older than the request."""
    state = build_state(EvacuationView(combine_revision(0, 90), {'b': 85}))
    restored = EvacuationView(combine_revision(1, 80))
    assert apply_evacuations(state, restored) == ()
    apply_evacuations(state, EvacuationView(combine_revision(1, 81)))
    assert state.in_force == {'b'}
    # A peer that had not read the entry before learns of it.
    peer = build_state(EvacuationView(combine_revision(0, 80)))
    apply_evacuations(peer, create_evacuation_view(state))
    assert peer.in_force == {'b'}
    # The operator writes the entry again and removes it.
    written = EvacuationView(combine_revision(1, 82), {'b': 82})
    apply_evacuations(state, written)
    last = EvacuationView(combine_revision(1, 83))
    assert apply_evacuations(state, last) == (ENDED,)
    # The peer, which skipped these revisions, does not bring it back.
    stale = EvacuationView(combine_revision(1, 84), kept=frozenset('b'))
    assert apply_evacuations(state, stale) == ()


def test_entry_that_was_removed_does_not_come_back_with_a_copy():
    """Guards against a data centre that stays empty, since the store came back
    from a copy in which it was still evacuated."""
    state = build_state(
        EvacuationView(combine_revision(0, 90), {'b': 85}),
        EvacuationView(combine_revision(0, 95)),
    )
    restored = EvacuationView(combine_revision(1, 90), {'b': 85})
    assert apply_evacuations(state, restored) == ()
    written = EvacuationView(combine_revision(1, 92), {'b': 92})
    assert apply_evacuations(state, written) == (BEGUN,)


def test_removed_entries_are_bounded():
    """Guards against memory that grows with the names of a faulty writer."""
    state = EvacuationState()
    for number in range(MAX_REMOVED_ENTRIES + 2):
        view = EvacuationView(2 * number, {f'z{number}': number})
        apply_evacuations(state, view)
    assert len(state.removed) == MAX_REMOVED_ENTRIES
    assert 'z0' not in state.removed


def test_excluded_endpoints_follow_evacuations_and_endpoints():
    """Guards against placement on an outdated selection of endpoints."""
    near, far = build_endpoint(1), build_endpoint(2, data_centre='b')
    state = EvacuationState()
    both = (near, far)
    assert exclude_evacuated(state, 'web', both) is both
    apply_evacuations(state, EvacuationView(5, {'b': 5}))
    first = exclude_evacuated(state, 'web', both)
    assert first == (near,)
    assert exclude_evacuated(state, 'web', both) is first
    assert exclude_evacuated(state, 'web', (far,)) == ()
    apply_evacuations(state, EvacuationView(6, {'a': 6}))
    assert exclude_evacuated(state, 'web', both) == (far,)
