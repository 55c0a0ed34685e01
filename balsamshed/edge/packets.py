"""Packets of callers at an edge balancer."""

from typing import Final

from balsamshed.edge.state import Edge, detect_pause
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.packets import (
    DropPacket,
    FlowPacket,
    PacketKind,
    SteeringEffect,
)

_QUEUED_DURING_PAUSE: Final = DropPacket('queued_during_pause')


def handle_packet(edge: Edge, packet: FlowPacket, now: float) -> SteeringEffect:
    """Decide on a packet of a caller.

    After a long pause of the process, opening packets are dropped until the
    reports of the peers have arrived: their callers have given up, and the
    view that would place them may be older than a drain allows.

    Parameters
    ----------
    edge : Edge
        Changed in place.
    packet : FlowPacket
        Decoded packet of the caller.
    now : float
        Seconds of the balancer's clock.

    Returns
    -------
    SteeringEffect
        Effect that the caller of this function must carry out.
    """
    edge.last_packet_at = now
    detect_pause(edge, now)
    if now < edge.openings_dropped_until and packet.kind is PacketKind.OPENING:
        return _QUEUED_DURING_PAUSE
    return steer_packet(edge.steering, packet, now)
