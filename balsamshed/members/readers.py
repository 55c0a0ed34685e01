"""Selection of the members that watch the store for their data centre."""

from collections.abc import Iterable
from typing import Final

from balsamshed.members.member import Member
from balsamshed.members.membership import OWNER_STATES
from balsamshed.members.ownership import rank_members

#: Readers of a data centre. With two, one keeps reading while the other is
#: replaced.
READER_COUNT: Final = 2


def choose_readers(
    members: Iterable[Member],
    data_centre: str,
) -> tuple[str, ...]:
    """Choose the readers of a data centre.

    Parameters
    ----------
    members : iterable of Member
        Members in any order; those whose state excludes them from ownership
        are skipped.
    data_centre : str
        Name of the data centre.

    Returns
    -------
    tuple of str
        Names of at most ``READER_COUNT`` members, highest rank first.
    """
    candidates = (
        member
        for member in members
        if member.data_centre == data_centre and member.state in OWNER_STATES
    )
    ranked = rank_members(candidates, data_centre)
    return tuple(member.name for member in ranked[:READER_COUNT])
