"""Decoded packets of callers and the effects of steering them."""

from dataclasses import dataclass
from enum import IntEnum

from balsamshed.endpoints.endpoint import Endpoint


class PacketKind(IntEnum):
    """Role of a caller's packet in its flow."""

    OPENING = 1
    DATA = 2
    ACKNOWLEDGEMENT = 3
    CLOSING = 4


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """Decoded packet from a caller.

    Parameters
    ----------
    kind : PacketKind
        Role of the packet in its flow.
    flow_key : bytes
        Addresses and ports of both ends, 12 bytes; the same for all packets
        of a flow.
    listener : int
        Destination address and port, encoded by `make_listener_key`.
    cookie : int
        32-bit identifier of the endpoint of an open flow.
    attempt : int
        Number of earlier transmissions of an opening packet; zero for other
        packets.
    acknowledged : int
        Acknowledgement number, 32 bits: position in the endpoint's stream up
        to which the caller has received it. Zero for an opening packet.
    sequence : int
        Sequence number, 32 bits: position of the packet in the caller's
        stream.
    raw : bytes
        Encoded packet as received.
    """

    kind: PacketKind
    flow_key: bytes
    listener: int
    cookie: int
    attempt: int
    acknowledged: int
    sequence: int
    raw: bytes


@dataclass(frozen=True, slots=True)
class ForwardFlow:
    """Effect: forward the packet to an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint of the flow.
    cookie : int
        Cookie to write into the forwarded packet.
    """

    endpoint: Endpoint
    cookie: int


@dataclass(frozen=True, slots=True)
class ExpectedLoad:
    """Load that decided about an opening packet.

    Parameters
    ----------
    requests_per_slot : float
        Requests in flight at the best endpoint, in relation to its slots.
    expected_seconds : float
        Time that a request would take there.
    latency_goal_seconds : float
        Time in which requests of the route should be answered.
    """

    requests_per_slot: float
    expected_seconds: float
    latency_goal_seconds: float


@dataclass(frozen=True, slots=True)
class LimitedLoad:
    """Load and limit of a service that decided about an opening packet.

    Parameters
    ----------
    service : str
        Service that the flow would have gone to.
    priority : int
        Priority of the requests of the flow.
    in_flight, limit : float
        Requests of this balancer in flight, and their limit.
    mean_seconds : float
        Recent mean duration of a request.
    """

    service: str
    priority: int
    in_flight: float
    limit: float
    mean_seconds: float


@dataclass(frozen=True, slots=True)
class ResetFlow:
    """Effect: send the caller a reset, which refuses or ends the flow.

    Parameters
    ----------
    reason : str
        Reason code for logs and counters.
    load : ExpectedLoad, LimitedLoad or None
        Load, if it is the reason.
    """

    reason: str
    load: ExpectedLoad | LimitedLoad | None = None


@dataclass(frozen=True, slots=True)
class DropPacket:
    """Effect: discard the packet without an answer.

    Parameters
    ----------
    reason : str
        Reason code for logs and counters.
    load : ExpectedLoad, LimitedLoad or None
        Load, if it is the reason.
    """

    reason: str
    load: ExpectedLoad | LimitedLoad | None = None


SteeringEffect = ForwardFlow | ResetFlow | DropPacket
