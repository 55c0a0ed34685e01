"""Measures processor time and memory of the packet path of a balancer.

The measuring process takes the place of the fabric: it sends a burst to the
data port of a balancer and waits until every packet has come back before it
sends the next burst. A bare Twisted UDP relay gets the same bursts in turn, so
that both run under the same load of the machine.
"""

import os
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf
from pathlib import Path
from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket
from typing import Any, Final

from balsamshed.flows.packets import TcpFlag
from testbed.addresses import SocketAddress, parse_address
from testbed.figures import Figure, format_figure
from testbed.fleet import (
    CRENEAU,
    REQUEST_PORT,
    Balancer,
    Fleet,
    apply_objects,
    build_service_objects,
    read_metric,
    run_fleet,
    start_balancer,
    wait_until_serving,
)
from testbed.packets import Segment, build_packet
from testbed.ports import reserve_ports
from testbed.processes import (
    kill_process,
    run_module,
    wait_until,
)

#: Packets in flight at the same time. Larger bursts save both processes calls
#: of the event loop, which makes the ratios larger.
BURST_PACKETS: Final = 64
#: Payload of each data packet of an open flow.
PAYLOAD_BYTES: Final = 64
#: Processor time for a packet in relation to that of the bare relay.
MAX_PACKET_PATH_RATIO: Final = 2.0
#: The fleet of 7 to 9 balancers has to accept thousands of new flows per
#: second, which it does if each balancer accepts this many.
MIN_NEW_FLOWS_PER_SECOND: Final = 1000
#: At this size 300,000 flows take 300 MB, and the 13,600 flows of a balancer at
#: the target size take 14 MB.
MAX_BYTES_PER_FLOW: Final = 1024

_LOOPBACK: Final = '127.0.0.1'
_MICROSECONDS: Final = 1_000_000
_LOSS_TIMEOUT_SECONDS: Final = 5
_METRIC_TIMEOUT_SECONDS: Final = 10
_RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024
_MAX_DATAGRAM_BYTES: Final = 2048
_FLAGS_OFFSET: Final = 33
# So many slots that the concurrency limit refuses nothing, as the limit is not
# what is measured.
_UNLIMITED_SLOTS: Final = 100_000
_HOSTS: Final = tuple(
    f'{CRENEAU.host_prefix}.{position}' for position in range(1, 8)
)
_CALLERS: Final = parse_address('10.64.0.0')
_CALLER_PORT: Final = 40000
_SERVICE: Final = parse_address(CRENEAU.address)
_SYN: Final = int(TcpFlag.SYN)
_ACK: Final = int(TcpFlag.ACK)
_DATA: Final = int(TcpFlag.PSH | TcpFlag.ACK)
_PAYLOAD: Final = bytes(PAYLOAD_BYTES)
# Flows that are opened before memory and time are first read.
_WARM_UP_FLOWS: Final = 2000


@dataclass(frozen=True, slots=True)
class MeasurementSize:
    """Numbers of rounds, packets and flows of a measurement.

    Parameters
    ----------
    rounds : int
        How often the paths are measured in turn.
    packets : int
        Packets of each path in a round.
    flows : int
        Flows to which the packets of a path belong.
    held_flows : int
        Flows that one balancer opens and holds.
    """

    rounds: int = 10
    packets: int = 12_000
    flows: int = 1_000
    held_flows: int = 110_000


_DEFAULT_SIZE: Final = MeasurementSize()


@dataclass(frozen=True, slots=True)
class PacketStream:
    """Packets that take one path and the processes that handle them.

    Parameters
    ----------
    name : str
        Name of the path.
    address : SocketAddress
        Address to which the packets are sent.
    packets : tuple of bytes
        Packets, sent in turn and repeatedly.
    process_ids : tuple of int
        Processes whose processor time is measured.
    """

    name: str
    address: SocketAddress
    packets: tuple[bytes, ...]
    process_ids: tuple[int, ...]


def list_figures(size: MeasurementSize = _DEFAULT_SIZE) -> list[Figure]:
    """Measure the packet path.

    Parameters
    ----------
    size : MeasurementSize
        Numbers of rounds, packets and flows.

    Returns
    -------
    list of Figure
        The figures. A figure that is only reported has an infinite bound.
    """
    return [*_measure_paths(size), *_measure_openings(size)]


def print_figures() -> int:
    """Measure and print the figures.

    Returns
    -------
    int
        Exit status: 1 if a bound does not hold.
    """
    figures = list_figures()
    for figure in figures:
        sys.stdout.write(f'{format_figure(figure)}\n')
    return int(not all(figure.has_passed for figure in figures))


def read_processor_seconds(process_id: int) -> float:
    """Return the processor time of a process since its start."""
    text = Path(f'/proc/{process_id}/stat').read_text()
    # The process name, which is in parentheses, may contain spaces.
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def read_resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    pages = Path(f'/proc/{process_id}/statm').read_text().split()[1]
    return int(pages) * os.sysconf('SC_PAGE_SIZE')


def _measure_paths(size: MeasurementSize) -> list[Figure]:
    with _run_balancers(('a', 'b')) as (fabric, fleet):
        relay = fleet.stack.enter_context(_run_bare_relay(fabric))
        first, second = fleet.balancers.values()
        _open_flows(fabric, first, range(2 * size.flows))
        owned, relayed = _split_flows_by_owner(fabric, first, 2 * size.flows)
        streams = (
            PacketStream('bare', relay.address, owned, relay.process_ids),
            _build_stream('packet', first, (first, second), owned),
            _build_stream('relay', first, (first, second), relayed),
            _build_stream('answer', first, (first, second), _build_answers()),
        )
        costs = _measure_streams(fabric, streams, size)
    return _compare_paths(costs, size.rounds * size.packets)


def _compare_paths(costs: dict[str, list[float]], total: int) -> list[Figure]:
    bare = costs['bare'][0]
    micros = _MICROSECONDS / total
    packet = costs['packet'][0]
    relay, receipt = costs['relay']
    ratios = (
        ('packet_path_ratio', packet, MAX_PACKET_PATH_RATIO),
        ('relay_path_ratio', relay, inf),
        ('relay_receipt_ratio', receipt, inf),
        ('answer_path_ratio', costs['answer'][0], inf),
    )
    return [
        *(
            Figure(name, seconds / bare, total, bound, 'bare_relays')
            for name, seconds, bound in ratios
        ),
        Figure('bare_relay_time', bare * micros, total, inf, 'us'),
        Figure('microseconds_per_packet', packet * micros, total, inf, 'us'),
        Figure('packets_per_second', total / packet, total, inf, 'packets'),
    ]


def _measure_openings(size: MeasurementSize) -> list[Figure]:
    count = size.held_flows
    with _run_balancers(('a',)) as (fabric, fleet):
        balancer = fleet.balancers['a']
        process_id = balancer.process.popen.pid
        # Excludes the code, buffers and caches that the first flows need.
        _open_flows(fabric, balancer, range(_WARM_UP_FLOWS))
        started_at = read_processor_seconds(process_id)
        start_bytes = read_resident_bytes(process_id)
        _open_flows(
            fabric, balancer, range(_WARM_UP_FLOWS, _WARM_UP_FLOWS + count)
        )
        seconds = read_processor_seconds(process_id) - started_at
        growth = read_resident_bytes(process_id) - start_bytes
        held = _wait_for_held_flows(balancer, _WARM_UP_FLOWS + count)
    max_flow_micros = _MICROSECONDS / MIN_NEW_FLOWS_PER_SECOND
    flow_micros = seconds * _MICROSECONDS / count
    return [
        Figure(
            'microseconds_per_new_flow',
            flow_micros,
            held,
            max_flow_micros,
            'us',
        ),
        Figure('new_flows_per_second', count / seconds, held, inf, 'flows'),
        Figure(
            'bytes_per_flow', growth / count, held, MAX_BYTES_PER_FLOW, 'bytes'
        ),
        Figure('flows_held', held, held, inf, 'flows'),
    ]


def _wait_for_held_flows(balancer: Balancer, count: int) -> int:
    def is_shown() -> bool:
        return read_metric(balancer, 'balsamshed_flows_open') >= count

    wait_until(is_shown, f'{count} open flows', _METRIC_TIMEOUT_SECONDS)
    return int(read_metric(balancer, 'balsamshed_flows_open'))


@contextmanager
def _run_balancers(
    names: Sequence[str],
) -> Iterator[tuple[socket, Fleet]]:
    with run_fleet() as fleet, socket(AF_INET, SOCK_DGRAM) as fabric:
        fabric.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        fabric.bind((_LOOPBACK, 0))
        fabric.settimeout(_LOSS_TIMEOUT_SECONDS)
        fabric_address = {'host': _LOOPBACK, 'port': fabric.getsockname()[1]}
        for name in names:
            start_balancer(fleet, name, 'qc-1', fabric=fabric_address)
        apply_objects(fleet, _build_objects())
        wait_until_serving(fleet)
        for balancer in fleet.balancers.values():
            _wait_for_records(balancer)
        try:
            yield fabric, fleet
        finally:
            # A graceful stop would wait for the open flows.
            for balancer in fleet.balancers.values():
                kill_process(balancer.process)


def _wait_for_records(balancer: Balancer) -> None:
    def has_records() -> bool:
        version = read_metric(balancer, 'balsamshed_catalog_highest_version')
        return version > len(_HOSTS)

    wait_until(
        has_records, f'{balancer.name} has the records', _METRIC_TIMEOUT_SECONDS
    )


def _build_objects() -> list[dict[str, Any]]:
    servers = [
        {
            'kind': 'backend_server',
            'name': f'creneau-{position}',
            'spec': {
                'service': CRENEAU.name,
                'host': host,
                'data_centre': 'qc-1',
                'slots': _UNLIMITED_SLOTS,
            },
        }
        for position, host in enumerate(_HOSTS)
    ]
    return [*build_service_objects(CRENEAU, []), *servers]


@contextmanager
def _run_bare_relay(fabric: socket) -> Iterator[PacketStream]:
    port = reserve_ports(1)[0]
    target_port = fabric.getsockname()[1]
    with run_module(
        'testbed.bare_relay',
        *('--port', port, '--target-port', target_port),
    ) as process:
        wait_until(
            lambda: b'event=started' in process.stderr_path.read_bytes(),
            'the bare relay has started',
        )
        address = (_LOOPBACK, port)
        yield PacketStream('bare', address, (), (process.popen.pid,))


def _build_stream(
    name: str,
    target: Balancer,
    measured: Sequence[Balancer],
    packets: tuple[bytes, ...],
) -> PacketStream:
    process_ids = tuple(balancer.process.popen.pid for balancer in measured)
    address = (_LOOPBACK, target.data_port)
    return PacketStream(name, address, packets, process_ids)


def _measure_streams(
    fabric: socket,
    streams: Sequence[PacketStream],
    size: MeasurementSize,
) -> dict[str, list[float]]:
    seconds_by_round: dict[str, list[list[float]]] = {
        stream.name: [] for stream in streams
    }
    for _ in range(size.rounds):
        for stream in streams:
            before = list(map(read_processor_seconds, stream.process_ids))
            _send_stream(fabric, stream, size.packets)
            after = list(map(read_processor_seconds, stream.process_ids))
            pairs = zip(before, after, strict=True)
            seconds_by_round[stream.name].append(
                [end - start for start, end in pairs]
            )
    return {
        name: [sum(column) for column in zip(*rounds, strict=True)]
        for name, rounds in seconds_by_round.items()
    }


def _send_stream(fabric: socket, stream: PacketStream, count: int) -> None:
    packets = stream.packets
    for start in range(0, count, BURST_PACKETS):
        stop = min(start + BURST_PACKETS, count)
        burst = [
            packets[position % len(packets)] for position in range(start, stop)
        ]
        _send_burst(fabric, stream.address, burst)


def _send_burst(
    fabric: socket,
    address: SocketAddress,
    packets: Sequence[bytes],
) -> list[tuple[bytes, SocketAddress]]:
    for packet in packets:
        fabric.sendto(packet, address)
    # A lost packet ends the measurement with a timeout.
    return [fabric.recvfrom(_MAX_DATAGRAM_BYTES) for _ in packets]


def _open_flows(fabric: socket, balancer: Balancer, callers: range) -> None:
    address = (_LOOPBACK, balancer.data_port)
    for start in range(0, len(callers), BURST_PACKETS):
        burst = callers[start : start + BURST_PACKETS]
        opened = _send_burst(
            fabric,
            address,
            [_build_caller_packet(caller, _SYN) for caller in burst],
        )
        if any(entry[0][_FLAGS_OFFSET] != _SYN for entry in opened):
            raise RuntimeError('the balancer refused a new flow')
        answers = [_build_answer(entry[0], _SYN | _ACK) for entry in opened]
        _send_burst(fabric, address, answers)
        acknowledgements = [
            _build_caller_packet(caller, _ACK) for caller in burst
        ]
        _send_burst(fabric, address, acknowledgements)


def _split_flows_by_owner(
    fabric: socket,
    balancer: Balancer,
    count: int,
) -> tuple[tuple[bytes, ...], tuple[bytes, ...]]:
    owned: list[bytes] = []
    relayed: list[bytes] = []
    address = (_LOOPBACK, balancer.data_port)
    for caller in range(count):
        packet = _build_caller_packet(caller, _DATA, _PAYLOAD)
        answers = _send_burst(fabric, address, [packet])
        is_owned = answers[0][1] == address
        (owned if is_owned else relayed).append(packet)
    return tuple(owned), tuple(relayed)


def _build_caller_packet(
    caller: int,
    flags: int,
    payload: bytes = b'',
) -> bytes:
    segment = Segment(
        source=_CALLERS + caller,
        source_port=_CALLER_PORT,
        destination=_SERVICE,
        destination_port=REQUEST_PORT,
        sequence=1,
        acknowledgement=1,
        flags=flags,
        payload=payload,
    )
    return build_packet(segment)


def _build_answer(raw: bytes, flags: int, payload: bytes = b'') -> bytes:
    segment = Segment(
        source=int.from_bytes(raw[16:20]),
        source_port=REQUEST_PORT,
        destination=int.from_bytes(raw[12:16]),
        destination_port=_CALLER_PORT,
        sequence=1,
        acknowledgement=1,
        flags=flags,
        payload=payload,
    )
    return build_packet(segment)


def _build_answers() -> tuple[bytes, ...]:
    return tuple(
        build_packet(
            Segment(
                source=parse_address(host),
                source_port=REQUEST_PORT,
                destination=_CALLERS + caller,
                destination_port=_CALLER_PORT,
                sequence=1,
                acknowledgement=1,
                flags=_DATA,
                payload=_PAYLOAD,
            ),
        )
        for host in _HOSTS
        for caller in range(BURST_PACKETS)
    )


if __name__ == '__main__':
    sys.exit(print_figures())
