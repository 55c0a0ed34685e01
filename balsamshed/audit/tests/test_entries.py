"""Guards against changes without a change entry and lost entries."""

import json

from hypothesis import given
from hypothesis import strategies as st

from balsamshed.audit.entries import (
    MAX_CHANGES,
    ChangeEntry,
    append_change,
    read_changes,
    read_versioned_changes,
)


def make_entry(number, from_version=0):
    return ChangeEntry(f'c{number}', 'ada', 'now', from_version, 'apply')


@given(st.integers(0, 40))
def test_the_last_entries_are_kept_in_order(count):
    """Guards against trimming the newest entries instead of the oldest."""
    body = {'spec': {'a': 1}}
    entries = [make_entry(number) for number in range(count)]
    for entry in entries:
        body = json.loads(json.dumps(append_change(body, entry)))
    assert read_changes(body) == tuple(entries[-MAX_CHANGES:])
    assert body['spec'] == {'a': 1}


def test_append_change_does_not_modify_its_argument():
    """Guards against modifying a body that is shared with the catalog."""
    body = {'changes': []}
    append_change(body, make_entry(1))
    assert body == {'changes': []}


@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=3),
        lambda part: st.lists(part) | st.dictionaries(st.text(), part),
    ),
)
def test_malformed_entries_are_skipped(changes):
    """Guards against a command line that fails on a body written by another
    tool."""
    assert read_changes({'changes': changes}) == ()
    body = append_change({'changes': changes}, make_entry(1))
    assert read_changes(body) == (make_entry(1),)


def test_version_of_a_change_is_the_one_replaced_by_the_next():
    """Guards against wrong versions in the history of an object."""
    body = {}
    for number, from_version in enumerate((0, 3, 8)):
        body = append_change(body, make_entry(number, from_version))
    versions = [change.version for change in read_versioned_changes(12, body)]
    assert versions == [3, 8, 12]
