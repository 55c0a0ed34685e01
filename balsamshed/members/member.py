"""Members of a group."""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """What a member is believed to be doing."""

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEAVING = 4


@dataclass(frozen=True, slots=True)
class Member:
    """A balancer of the group, as its peers know it.

    Parameters
    ----------
    name : str
        Name from the member's settings, unique in the group.
    data_centre : str
        Data centre that it runs in.
    host : str
        IP address of its data and control ports.
    data_port : int
        UDP port for packets.
    control_port : int
        UDP port for peer messages.
    incarnation : int
        Raised by the member itself to refute a suspicion.
    state : MemberState
        Newest known state.
    """

    name: str
    data_centre: str
    host: str
    data_port: int
    control_port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
