"""Events: the input of the balancer core."""

from dataclasses import dataclass

from balsamshed.configuration.records import Record
from balsamshed.flows.packets import Packet, Relay
from balsamshed.members.member import Member
from balsamshed.node.messages import Envelope
from balsamshed.placement.messages import LoadReport


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """The fabric delivered a packet."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class RelayReceived:
    """Another balancer relayed a packet."""

    relay: Relay


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A peer message arrived.

    Parameters
    ----------
    envelope : Envelope
        The message and its sender.
    host : str
        Source IP address.
    control_port : int
        Source UDP port.
    """

    envelope: Envelope
    host: str
    control_port: int


@dataclass(frozen=True, slots=True)
class RecordsListed:
    """The store returned the list of all objects of the group."""

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class RecordsChanged:
    """A watch returned the objects that changed meanwhile, if any."""

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The store accepted a conditional write."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """The store rejected a conditional write.

    Parameters
    ----------
    key : str
        Key of the object.
    version : int
        Current version of the object; zero if it does not exist.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A call on the store returned no usable response.

    Parameters
    ----------
    call : str
        ``list``, ``watch``, ``write`` or ``vms``.
    reason : str
        Short description for the log.
    """

    call: str
    reason: str


@dataclass(frozen=True, slots=True)
class WatchExpired:
    """The watched revision is too old for the store; a new list is needed."""


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform returned its list of VMs, which may be out of date."""

    vms: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A backend server responded to a load probe."""

    report: LoadReport


@dataclass(frozen=True, slots=True)
class LoadProbeFailed:
    """A load probe of a backend server failed or timed out."""

    host: int


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """A signal requested the process to stop."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired.

    Parameters
    ----------
    wall_time : float
        Seconds since the Unix epoch.
    loop_delay_seconds : float
        How late the timer fired.
    """

    wall_time: float
    loop_delay_seconds: float


Event = (
    PacketReceived
    | RelayReceived
    | PeerMessageReceived
    | RecordsListed
    | RecordsChanged
    | RecordWritten
    | WriteConflicted
    | StoreFailed
    | WatchExpired
    | VmsListed
    | LoadReported
    | LoadProbeFailed
    | LeaveRequested
    | Ticked
)
