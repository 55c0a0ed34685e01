"""Effects: the actions that a front end performs for the balancer core."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from balsamshed.flows.packets import Packet, Relay
from balsamshed.node.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class ForwardPacket:
    """Forward a caller's packet to the host of a backend server."""

    packet: Packet
    host: int


@dataclass(frozen=True, slots=True)
class ReturnPacket:
    """Send a backend server's packet to its caller.

    Parameters
    ----------
    packet : Packet
        The packet as the backend server sent it.
    address : int
        IPv4 address of the service, which replaces the source address.
    """

    packet: Packet
    address: int


@dataclass(frozen=True, slots=True)
class RefuseFlow:
    """Answer a caller's packet with an RST."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class SendRelay:
    """Relay a packet to another balancer."""

    member: str
    relay: Relay


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a peer message to the control port of a balancer."""

    host: str
    control_port: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ListRecords:
    """List all objects of the group in the store."""

    prefix: str


@dataclass(frozen=True, slots=True)
class WatchRecords:
    """Watch the store for objects with a version above a revision."""

    prefix: str
    revision: int


@dataclass(frozen=True, slots=True)
class ListVms:
    """Request the list of VMs from the platform."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write an object on condition that it has the expected version.

    Parameters
    ----------
    key : str
        Key of the object.
    body : mapping
        JSON document.
    expected_version : int
        Version that the object must have; zero if it must not exist.
    """

    key: str
    body: Mapping[str, Any]
    expected_version: int


@dataclass(frozen=True, slots=True)
class ProbeLoad:
    """Request the load report of a backend server."""

    host: int
    url: str


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log."""

    name: str
    fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CountEvent:
    """Increment the counter of an event."""

    name: str


@dataclass(frozen=True, slots=True)
class DropPacket:
    """Drop a packet and increment the counter of the reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Stop the process after it has left the group."""


Effect = (
    ForwardPacket
    | ReturnPacket
    | RefuseFlow
    | SendRelay
    | SendPeerMessage
    | ListRecords
    | WatchRecords
    | ListVms
    | WriteRecord
    | ProbeLoad
    | LogEvent
    | CountEvent
    | DropPacket
    | StopProcess
)
