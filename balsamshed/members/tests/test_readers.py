"""Guards against readers that are about to stop or are unreachable."""

from dataclasses import replace

import pytest

from balsamshed.members.member import MemberState
from balsamshed.members.readers import choose_readers
from balsamshed.members.tests.network import create_member


@pytest.mark.parametrize('size', range(12))
def test_readers_are_two_owners_of_the_data_centre(size):
    """Guards against a reader that stops soon or may be partitioned away.

    A leaving member is about to stop, and a member of another data centre may
    be on the other side of a partition.
    """
    group = [create_member(index) for index in range(size)]
    leaving = replace(create_member(12), state=MemberState.LEAVING)
    dead = replace(create_member(15), state=MemberState.DEAD)
    names = [m.name for m in group if m.data_centre == 'qc-est-0']
    readers = choose_readers([leaving, dead, *group], 'qc-est-0')
    assert len(readers) == min(2, len(names))
    assert set(readers) <= set(names)
    assert readers == choose_readers([*reversed(group), leaving], 'qc-est-0')


def test_a_join_replaces_at_most_one_reader():
    """Guards against a data centre whose readers are all replaced at once.

    One reader has to keep watching while a new one lists all records.
    """
    group = [create_member(index, 1) for index in range(12)]
    for size in range(2, 12):
        before = choose_readers(group[:size], 'qc-est-0')
        after = choose_readers(group[: size + 1], 'qc-est-0')
        assert set(before) & set(after)
