"""What a node wants to be done."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from balsamshed.flows.packets import Packet, Relay
from balsamshed.node.messages import PeerMessage


@dataclass(frozen=True, slots=True)
class ForwardPacket:
    """Send a caller's packet to a backend server's host."""

    packet: Packet
    host: int


@dataclass(frozen=True, slots=True)
class ReturnPacket:
    """Send a backend server's packet to its caller from a service's address."""

    packet: Packet
    address: int


@dataclass(frozen=True, slots=True)
class RefuseFlow:
    """Answer a caller's packet with an RST."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class SendRelay:
    """Hand a packet to another balancer."""

    member: str
    relay: Relay


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to the control port of a balancer."""

    host: str
    control_port: int
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class ListRecords:
    """List the group's objects in the store."""

    prefix: str


@dataclass(frozen=True, slots=True)
class WatchRecords:
    """Wait for objects with a higher version than a revision."""

    prefix: str
    revision: int


@dataclass(frozen=True, slots=True)
class ListVms:
    """Ask the platform for its list of VMs."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write an object if its version is the expected one.

    Parameters
    ----------
    key : str
        Key of the object.
    body : mapping
        JSON document.
    expected_version : int
        Zero if the object must not exist.
    """

    key: str
    body: Mapping[str, Any]
    expected_version: int


@dataclass(frozen=True, slots=True)
class ProbeLoad:
    """Ask a backend server for its load report."""

    host: int
    url: str


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line."""

    name: str
    fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CountEvent:
    """Count an event of the packet path."""

    name: str


@dataclass(frozen=True, slots=True)
class DropPacket:
    """Drop a packet and count the reason."""

    reason: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """End the process: nothing depends on it any more."""


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
