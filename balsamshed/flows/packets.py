"""Packets as the decisions see them."""

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
        port as they stand in the packet: 12 bytes.
    source, destination : int
        IPv4 addresses as integers.
    source_port, destination_port : int
        TCP ports.
    flags : int
        TCP flag bits, see `TcpFlag`. A plain integer, since building an
        `IntFlag` takes longer than the rest of the packet.
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
    """Why a packet is handed from one balancer to another."""

    TO_OWNER = 1
    LOOKUP = 2
    RETURNED = 3
    REFUSAL = 4


@dataclass(frozen=True, slots=True)
class Relay:
    """A packet on its way between balancers.

    Parameters
    ----------
    kind : RelayKind
        What the receiver is asked to do.
    requester : str
        Name of the owner that looks for an entry; empty unless the kind is
        ``LOOKUP`` or ``RETURNED``.
    remaining_members : tuple of str
        Names of the members still to be asked after the receiver.
    packet : Packet
        The packet as received from the fabric.
    """

    kind: RelayKind
    requester: str
    remaining_members: tuple[str, ...]
    packet: Packet


def build_flow_key(
    caller: int,
    address: int,
    caller_port: int,
    port: int,
) -> bytes:
    """Return the key of a flow as it stands in the caller's packets.

    Parameters
    ----------
    caller, address : int
        IPv4 addresses of the caller and of the service.
    caller_port, port : int
        TCP ports of the caller and of the listener.

    Returns
    -------
    bytes
        12 bytes.
    """
    return b''.join(
        (
            caller.to_bytes(4),
            address.to_bytes(4),
            caller_port.to_bytes(2),
            port.to_bytes(2),
        )
    )
