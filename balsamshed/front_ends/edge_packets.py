"""Packet socket of an edge balancer."""

from collections.abc import Callable, Mapping
from functools import partial
from socket import socket as Socket
from typing import Final

from balsamshed.edge.effects import AcceptPackets, DiscardPackets
from balsamshed.edge.explanations import explain_opening, explain_refusal
from balsamshed.edge.packets import handle_packet
from balsamshed.front_ends.datagram_socket import DatagramSocket
from balsamshed.front_ends.edge_context import (
    EdgeProcess,
    log_event,
    read_clock,
    record_duration,
)
from balsamshed.steering.hedged_openings import (
    get_hedge_delay,
    hedge_opening,
)
from balsamshed.steering.packets import (
    DropPacket,
    FlowPacket,
    ForwardFlow,
    PacketKind,
    ResetFlow,
)

#: The processing time of one in this many packets is recorded.
PACKETS_PER_MEASUREMENT: Final = 32


def open_packet_socket(process: EdgeProcess, bound: Socket) -> None:
    """Receive callers' packets from the platform's routers.

    Parameters
    ----------
    process : EdgeProcess
        Process of the balancer.
    bound : socket
        Socket that the routers send to. It is read once the balancer has a
        view; packets wait in it until then.
    """
    edge, wire, counts = process.edge, process.wire, process.counts
    caller_port = process.settings.packets.port

    def handle_datagram(datagram: bytes, _sender: tuple[str, int]) -> None:
        now = read_clock()
        packet = wire.decode_packet(datagram)
        if not isinstance(packet, FlowPacket):
            counts[f'malformed_{packet.reason}'] += 1
            return
        effect = handle_packet(edge, packet, now)
        counts['packets'] += 1
        if isinstance(effect, ForwardFlow):
            forward(datagram, effect)
            if packet.kind is PacketKind.OPENING:
                _log_opening(process, packet, effect, now)
                _schedule_hedge(process, packet, partial(forward, datagram))
        else:
            if isinstance(effect, ResetFlow):
                caller = (wire.get_caller_address(datagram), caller_port)
                port.send(wire.encode_reset(datagram), caller)
            _log_refusal(process, packet, effect, now)
        if not counts['packets'] % PACKETS_PER_MEASUREMENT:
            record_duration(process, 'packet', read_clock() - now)

    def forward(datagram: bytes, effect: ForwardFlow) -> None:
        endpoint = effect.endpoint
        forwarded = wire.encode_forwarded(
            datagram, endpoint.instance, effect.cookie
        )
        port.send(forwarded, (endpoint.host, endpoint.port))

    def count(name: str) -> None:
        counts[name] += 1

    port = DatagramSocket(bound, handle_datagram, count)
    process.effect_handlers.update(
        {
            DiscardPackets: lambda _effect: port.discard_pending(),
            AcceptPackets: lambda _effect: port.watch(process.loop),
        },
    )


def _schedule_hedge(
    process: EdgeProcess,
    packet: FlowPacket,
    forward: Callable[[ForwardFlow], None],
) -> None:
    """Send an opening to a second endpoint unless it is taken up soon."""
    steering, counts = process.edge.steering, process.counts

    def send_hedge() -> None:
        outcome = hedge_opening(steering, packet, read_clock())
        if isinstance(outcome, ForwardFlow):
            forward(outcome)
            counts['hedge_sent'] += 1
        elif outcome is not None:
            counts[f'hedge_withheld_{outcome}'] += 1

    delay_seconds = get_hedge_delay(steering, packet)
    if delay_seconds is not None:
        process.loop.call_later(delay_seconds, send_hedge)


def _log_opening(
    process: EdgeProcess,
    packet: FlowPacket,
    effect: ForwardFlow,
    now: float,
) -> None:
    def create_fields() -> Mapping[str, object]:
        flow = process.wire.describe_flow(packet.flow_key)
        return explain_opening(process.edge, packet, flow, effect, now)

    # A repeated opening packet means that the first one failed. Its event has
    # its own name, and so its own limit on log lines.
    name = 'opening_repeated' if packet.attempt else 'opening_forwarded'
    log_event(process, name, create_fields)


def _log_refusal(
    process: EdgeProcess,
    packet: FlowPacket,
    effect: ResetFlow | DropPacket,
    now: float,
) -> None:
    def create_fields() -> Mapping[str, object]:
        flow = process.wire.describe_flow(packet.flow_key)
        return explain_refusal(process.edge, packet, flow, effect, now)

    kind = 'flow_reset' if isinstance(effect, ResetFlow) else 'packet_dropped'
    process.counts[f'{kind}_{effect.reason}'] += 1
    log_event(process, kind, create_fields)
