"""An endpoint of a service, as it reports itself."""

from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

#: Width of the cookie that names an endpoint in a packet.
COOKIE_BITS: Final = 32
#: A packet that opens a flow carries this in place of a cookie.
NO_COOKIE: Final = 0

_COOKIE_MASK: Final = (1 << COOKIE_BITS) - 1
_get_state: Final = attrgetter(
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
    """One start of a backend server's program.

    Parameters
    ----------
    instance : int
        Identity of the endpoint, 64 bits. A program may start again under
        the identity that it had.
    started_at_ms : int
        Unix milliseconds of the program's start. Tells two starts under one
        identity apart.
    service : str
        Name of the service that it serves.
    host : str
        IPv4 address.
    port : int
        UDP port for packets.
    data_centre : str
        Data centre that it runs in.
    slots : int
        Requests that it processes concurrently.
    is_draining : bool
        Whether it asked for no new flows.
    warm_up_seconds : float
        How much longer it expected to be slow when it wrote the report.
    sequence : int
        Number of the report, counted from the program's start.
    cookie : int
        Names the endpoint in packets; derived from its identity.
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
        """Derive the cookie once: each placement compares many endpoints."""
        object.__setattr__(self, 'cookie', derive_cookie(self.instance))


def has_same_state(first: Endpoint, second: Endpoint) -> bool:
    """Tell whether two reports of one identity lead to the same decisions.

    The number of the report and the rest of its warm-up are left out: they
    differ between any two reports.
    """
    return first is second or bool(_get_state(first) == _get_state(second))


def derive_cookie(instance: int) -> int:
    """Return the cookie of an endpoint: 32 bits that any balancer derives.

    Identities are random, so folding them spreads as well as a hash.

    Parameters
    ----------
    instance : int
        Identity of the endpoint, 64 bits.

    Returns
    -------
    int
        From 1 to 2**32 - 1; never `NO_COOKIE`.
    """
    folded = (instance ^ (instance >> COOKIE_BITS)) & _COOKIE_MASK
    return folded or 1
