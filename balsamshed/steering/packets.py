"""Packets of flows between callers and endpoints, apart from their encoding."""

from dataclasses import dataclass
from enum import IntEnum

from balsamshed.endpoints.endpoint import Endpoint


class PacketKind(IntEnum):
    """What a caller's packet does to its flow."""

    OPENING = 1
    DATA = 2
    ACKNOWLEDGEMENT = 3
    CLOSING = 4


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """A packet that a caller sent.

    Parameters
    ----------
    kind : PacketKind
        What it does to the flow.
    flow_key : bytes
        Addresses and ports of both ends, 12 bytes, the same for each packet
        of a flow.
    listener : int
        Address and port that it was sent to, see `make_listener_key`.
    cookie : int
        Names the endpoint of an open flow, 32 bits.
    attempt : int
        Repetitions of an opening packet so far; zero for other packets.
    acknowledged : int
        Position in the endpoint's stream that the caller has received, 32
        bits; zero for an opening packet.
    raw : bytes
        The packet as it was received.
    """

    kind: PacketKind
    flow_key: bytes
    listener: int
    cookie: int
    attempt: int
    acknowledged: int
    raw: bytes


@dataclass(frozen=True, slots=True)
class ForwardFlow:
    """Effect: send the packet on to an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint of the flow.
    cookie : int
        Cookie that the packet carries from now on.
    """

    endpoint: Endpoint
    cookie: int


@dataclass(frozen=True, slots=True)
class ResetFlow:
    """Effect: refuse or end the flow towards its caller.

    Parameters
    ----------
    reason : str
        For logs and counters.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class DropPacket:
    """Effect: ignore the packet.

    Parameters
    ----------
    reason : str
        For logs and counters.
    """

    reason: str


SteeringEffect = ForwardFlow | ResetFlow | DropPacket
