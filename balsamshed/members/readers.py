"""Which members watch the object store for their data centre."""

from collections.abc import Iterable
from typing import Final

from balsamshed.members.member import Member
from balsamshed.members.membership import OWNER_STATES
from balsamshed.members.ownership import rank_members

#: Two, so that a data centre goes on reading while one of them is replaced.
READER_COUNT: Final = 2


def choose_readers(
    members: Iterable[Member],
    data_centre: str,
) -> tuple[str, ...]:
    """Choose the readers of a data centre.

    Parameters
    ----------
    members : iterable of Member
        Members in any order; those that do not take part in ownership are
        left out.
    data_centre : str
        Data centre that the readers run in.

    Returns
    -------
    tuple of str
        Names of at most two members, the first reader first.
    """
    candidates = (
        member
        for member in members
        if member.data_centre == data_centre and member.state in OWNER_STATES
    )
    ranked = rank_members(candidates, data_centre)
    return tuple(member.name for member in ranked[:READER_COUNT])
