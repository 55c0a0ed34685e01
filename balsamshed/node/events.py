"""What happens to a node."""

from dataclasses import dataclass

from balsamshed.configuration.records import Record
from balsamshed.flows.packets import Packet, Relay
from balsamshed.members.member import Member
from balsamshed.node.messages import Envelope
from balsamshed.placement.messages import LoadReport


@dataclass(frozen=True, slots=True)
class PacketReceived:
    """The fabric handed over a packet."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class RelayReceived:
    """Another balancer handed over a packet."""

    relay: Relay


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A peer message arrived.

    Parameters
    ----------
    envelope : Envelope
        The message with its sender.
    host : str
        IP address that it came from.
    control_port : int
        UDP port that it came from.
    """

    envelope: Envelope
    host: str
    control_port: int


@dataclass(frozen=True, slots=True)
class RecordsListed:
    """The store listed all objects of the group."""

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class RecordsChanged:
    """A watch ended, with the objects that changed meanwhile, if any."""

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The store took a conditional write."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class WriteConflicted:
    """The store refused a conditional write.

    Parameters
    ----------
    key : str
        Key of the object.
    version : int
        Its current version; zero if it does not exist.
    """

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A call on the store gave no usable answer.

    Parameters
    ----------
    call : str
        ``list``, ``watch``, ``write`` or ``vms``.
    reason : str
        Short text for the log.
    """

    call: str
    reason: str


@dataclass(frozen=True, slots=True)
class WatchExpired:
    """The watched revision is too old; a new list is needed."""


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform listed VMs; the list lags behind the truth."""

    vms: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A backend server answered a load probe."""

    report: LoadReport


@dataclass(frozen=True, slots=True)
class LoadProbeFailed:
    """A backend server did not answer a load probe in time."""

    host: int


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The process was asked to stop."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed.

    Parameters
    ----------
    wall_time : float
        Seconds since the Unix epoch.
    loop_delay_seconds : float
        How late the tick came.
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
