"""Resources that operators declare."""

from dataclasses import dataclass
from enum import StrEnum


class ListenerKind(StrEnum):
    """How long the flows of a listener live."""

    FEED = 'feed'
    REQUEST = 'request'


class WorkClass(StrEnum):
    """Urgency of a listener's work, the most urgent first."""

    FEED = 'feed'
    URGENT = 'urgent'
    BULK = 'bulk'


@dataclass(frozen=True, slots=True)
class Listener:
    """A port of a service's address.

    Parameters
    ----------
    name : str
        Name of the listener, unique in its service.
    port : int
        TCP port, the same on the service's address and on the endpoints.
    kind : ListenerKind
        Long-lived flows or short requests.
    work_class : WorkClass
        Which work is refused first under overload.
    deadline_seconds : float
        How long after its first opening a flow may still be opened on
        another backend server.
    """

    name: str
    port: int
    kind: ListenerKind
    work_class: WorkClass
    deadline_seconds: float


@dataclass(frozen=True, slots=True)
class Service:
    """An address with listeners, served by backend servers.

    Parameters
    ----------
    name : str
        Name of the service, unique in its group.
    customer : str
        Who owns the service.
    address : int
        IPv4 address as an integer.
    listeners : tuple of Listener
        At least one listener.
    """

    name: str
    customer: str
    address: int
    listeners: tuple[Listener, ...]


@dataclass(frozen=True, slots=True)
class QuietPeriod:
    """A time in which a backend server takes no new work.

    Parameters
    ----------
    start_seconds : float
        First start, in seconds since the Unix epoch.
    duration_seconds : float
        Length of each period.
    repeat_seconds : float
        Time from one start to the next; zero for a single period.
    """

    start_seconds: float
    duration_seconds: float
    repeat_seconds: float


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A process that answers for one service.

    Parameters
    ----------
    name : str
        Name of the backend server, unique in its group.
    service : str
        Name of the service that it answers for.
    host : int
        IPv4 address of its endpoint as an integer.
    data_centre : str
        Data centre that it runs in.
    slots : int
        Requests that it runs at the same time.
    load_url : str
        HTTP address of its load report; empty if it has none.
    draining : bool
        Whether it takes no new work until further notice.
    quiet_periods : tuple of QuietPeriod
        Times in which it takes no new work.
    """

    name: str
    service: str
    host: int
    data_centre: str
    slots: int
    load_url: str
    draining: bool
    quiet_periods: tuple[QuietPeriod, ...]


Resource = Service | BackendServer
