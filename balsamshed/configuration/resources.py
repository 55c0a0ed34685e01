"""Resources declared by operators."""

from dataclasses import dataclass
from enum import StrEnum


class ListenerKind(StrEnum):
    """Whether the flows of a listener are long-lived feeds or requests."""

    FEED = 'feed'
    REQUEST = 'request'


class WorkClass(StrEnum):
    """Priority class of a listener's work, the most urgent first."""

    FEED = 'feed'
    URGENT = 'urgent'
    BULK = 'bulk'


@dataclass(frozen=True, slots=True)
class Listener:
    """A port on the address of a service.

    Parameters
    ----------
    name : str
        Name of the listener, unique in its service.
    port : int
        TCP port, the same on the service's address and on its endpoints.
    kind : ListenerKind
        Whether its flows are long-lived feeds or short requests.
    work_class : WorkClass
        Priority under overload; the least urgent work is refused first.
    deadline_seconds : float
        Time after its first opening packet in which a flow may be retried on
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
        Customer that owns the service.
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
    """A period in which a backend server takes no new work.

    Parameters
    ----------
    start_seconds : float
        Start of the first period, in seconds since the Unix epoch.
    duration_seconds : float
        Length of each period.
    repeat_seconds : float
        Interval between two starts; zero for a single period.
    """

    start_seconds: float
    duration_seconds: float
    repeat_seconds: float


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A process that serves one service.

    Parameters
    ----------
    name : str
        Name of the backend server, unique in its group.
    service : str
        Name of the service that it serves.
    host : int
        IPv4 address of its endpoint as an integer.
    data_centre : str
        Data centre in which it runs.
    slots : int
        Number of requests that it runs concurrently.
    load_url : str
        URL of its load report; empty if it has none.
    draining : bool
        Whether it is draining and takes no new work.
    quiet_periods : tuple of QuietPeriod
        Periods in which it takes no new work.
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
