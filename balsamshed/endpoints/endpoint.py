"""Endpoint of a service, as described by its own report."""

from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

#: Width of the cookie that identifies an endpoint in a packet.
COOKIE_BITS: Final = 32
#: Value of the cookie field in an opening packet.
NO_COOKIE: Final = 0

_COOKIE_MASK: Final = (1 << COOKIE_BITS) - 1
_ID_MASK: Final = (1 << 64) - 1
#: Returns the fields of an endpoint on which decisions depend.
get_state: Final = attrgetter(
    'started_at_ms',
    'service',
    'host',
    'port',
    'data_centre',
    'slots',
    'is_draining',
)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Address and state of one start of a backend server's program.

    Parameters
    ----------
    instance : int
        Instance ID, 64 bits. A restarted program may reuse its previous ID.
    started_at_ms : int
        Start time of the program in Unix milliseconds. Distinguishes starts
        with the same instance ID.
    service : str
        Name of the service.
    host : str
        IPv4 address.
    port : int
        UDP port for packets.
    data_centre : str
        Data centre that it runs in.
    slots : int
        Number of requests that it processes concurrently.
    is_draining : bool
        Whether it has requested to receive no new flows.
    warm_up_seconds : float
        Remaining warm-up time at the time of the report.
    sequence : int
        Sequence number of the report since the program's start.
    cookie : int
        Identifies the endpoint in packets; derived from the instance ID.
    """

    instance: int
    started_at_ms: int
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    is_draining: bool = False
    warm_up_seconds: float = 0
    sequence: int = 0
    cookie: int = field(init=False)

    def __post_init__(self) -> None:
        """Cache the cookie, since each placement compares many endpoints."""
        object.__setattr__(self, 'cookie', derive_cookie(self.instance))


def has_same_state(first: Endpoint, second: Endpoint) -> bool:
    """Tell whether two reports of one instance lead to the same decisions.

    The sequence number and the remaining warm-up time are ignored, since they
    differ between any two reports.
    """
    return first is second or bool(get_state(first) == get_state(second))


def derive_cookie(instance: int) -> int:
    """Return the 32-bit cookie of an instance ID.

    The finalizer of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014) spreads
    IDs that are numbered, which differ in few bits, like random ones.

    Parameters
    ----------
    instance : int
        Instance ID of the endpoint, 64 bits.

    Returns
    -------
    int
        From 1 to 2**32 - 1; never `NO_COOKIE`.
    """
    mixed = (instance ^ (instance >> 30)) * 0xBF58476D1CE4E5B9 & _ID_MASK
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EB & _ID_MASK
    return (mixed ^ (mixed >> 31)) >> COOKIE_BITS or 1


def derive_former_cookie(instance: int) -> int:
    """Return the cookie that balancers of former builds assign.

    Flows that they opened are still open while the balancers are replaced.
    """
    folded = (instance ^ (instance >> COOKIE_BITS)) & _COOKIE_MASK
    return folded or 1
