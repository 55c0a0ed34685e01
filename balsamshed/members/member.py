"""Members of a group and their states."""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member as seen by its peers."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEAVING = 4


@dataclass(frozen=True, slots=True)
class Member:
    """A balancer as seen by its group.

    Parameters
    ----------
    name : str
        Name from the member's settings, unique in the group.
    data_centre : str
        Data centre that the member runs in.
    host : str
        IP address of its data and control ports.
    data_port : int
        UDP port for packets.
    control_port : int
        UDP port for peer messages.
    incarnation : int
        Incarnation number of SWIM; only the member itself raises it, to
        refute a wrong state.
    state : MemberState
        Latest known state.
    """

    name: str
    data_centre: str
    host: str
    data_port: int
    control_port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
