"""Packets of flows and their relays between balancers."""

from dataclasses import dataclass
from enum import IntEnum, IntFlag


class TcpFlag(IntFlag):
    """Flag bits of a TCP header (RFC 9293)."""

    FIN = 1
    SYN = 2
    RST = 4
    PSH = 8
    ACK = 16


@dataclass(frozen=True, slots=True)
class Packet:
    """One packet of a flow.

    Parameters
    ----------
    flow_key : bytes
        Source address, destination address, source port and destination
        port as encoded in the packet: 12 bytes.
    source, destination : int
        IPv4 addresses as integers.
    source_port, destination_port : int
        TCP ports.
    flags : int
        TCP flag bits, see `TcpFlag`. A plain integer, since creating an
        `IntFlag` takes longer than parsing the rest of the packet.
    sequence : int
        TCP sequence number.
    raw : bytes
        The packet as received.
    """

    flow_key: bytes
    source: int
    destination: int
    source_port: int
    destination_port: int
    flags: int
    sequence: int
    raw: bytes


class RelayKind(IntEnum):
    """Reason for which a packet is relayed to another balancer.

    Attributes
    ----------
    TO_OWNER
        The sender considers the receiver the owner of the flow.
    LOOKUP
        An owner without an entry asks the receiver to handle the packet.
    RETURNED
        No member of a lookup had an entry, so its requester decides.
    REFUSAL
        A backend server refused a SYN of a flow that the receiver owns.
    """

    TO_OWNER = 1
    LOOKUP = 2
    RETURNED = 3
    REFUSAL = 4


@dataclass(frozen=True, slots=True)
class Relay:
    """A packet relayed from one balancer to another.

    Parameters
    ----------
    kind : RelayKind
        Reason for the relay, which determines how the receiver handles it.
    requester : str
        Name of the owner that looks up an entry; with the kind ``TO_OWNER``,
        name of the member that relayed a misdirected packet again. Empty
        otherwise.
    remaining_members : tuple of str
        Names of the members that a lookup visits after the receiver.
    packet : Packet
        The packet as received from the fabric.
    sender : str
        Name of the member that received the packet from the fabric, with the
        kind ``TO_OWNER``; empty otherwise, and from members of older builds.
    """

    kind: RelayKind
    requester: str
    remaining_members: tuple[str, ...]
    packet: Packet
    sender: str = ''


def build_flow_key(
    caller: int,
    address: int,
    caller_port: int,
    port: int,
) -> bytes:
    """Return the key of a flow as encoded in the packets of its caller.

    Parameters
    ----------
    caller, address : int
        IPv4 addresses of the caller and of the service.
    caller_port, port : int
        TCP ports of the caller and of the listener.

    Returns
    -------
    bytes
        Flow key of 12 bytes.
    """
    return b''.join(
        (
            caller.to_bytes(4),
            address.to_bytes(4),
            caller_port.to_bytes(2),
            port.to_bytes(2),
        )
    )
