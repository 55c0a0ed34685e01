"""Measures how costs grow with size, for ``docs/CAPACITY.md``.

``python -m testbed.measure_capacity [NAME ...]`` runs the named measurements,
or all of them without names. Each prints a line of key=value pairs for each
point. With at least three points it also fits a straight line to each value
and prints the number of points, range, slope, intercept and residual (root
mean square, in the unit of the value).
"""

import json
import os
import sys
import tracemalloc
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import islice
from math import sqrt
from statistics import fmean, linear_regression, median
from time import monotonic, perf_counter, sleep
from timeit import repeat
from types import MappingProxyType
from typing import Any, Final
from urllib.request import Request, urlopen

from balsamshed.configuration.catalog import (
    Catalog,
    derive_routing_table,
    merge_records,
)
from balsamshed.configuration.records import Record
from balsamshed.flows.packets import Packet, TcpFlag, build_flow_key
from balsamshed.flows.table import add_placed_flow, get_placement
from balsamshed.members import ownership
from balsamshed.members.ownership import assign_slots, get_hash_slot
from balsamshed.node.events import PacketReceived
from balsamshed.node.record_updates import apply_catalog, assign_load_probes
from balsamshed.node.state import Node
from testbed.capacity_model import (
    GROUP_NAME,
    SimulatedGroup,
    build_member,
    build_object_bodies,
    build_records,
    change_object,
    declare_objects,
    dispatch_event,
    reset_usage,
    run_group,
    start_group,
    start_node,
    stop_node,
)
from testbed.fleet import (
    call_json_api,
    run_fleet,
    start_balancer,
    wait_until_ready,
)
from testbed.platform import Platform

GROUP_SIZES: Final = (3, 8, 16, 32, 64)
#: Services and backend servers of a group, from today's size to the target
#: size of 32,000 services and 74,000 backend servers divided by 172 groups.
CATALOG_SIZES: Final = ((2, 10), (30, 70), (93, 215), (186, 430))
CURRENT_CATALOG: Final = CATALOG_SIZES[0]
TARGET_CATALOG: Final = CATALOG_SIZES[-1]
CHANGES_PER_MINUTE: Final = (0, 1, 10, 100)
FEEDS_PER_SECOND: Final = (0, 5, 10, 20, 50, 100, 200)

_IDLE_SECONDS: Final = 20.0
_PROPAGATION_CHANGES: Final = 10


@dataclass(frozen=True, slots=True)
class Point:
    """Measured values at one value of the scale.

    Parameters
    ----------
    scale_value : float
        Value of the varied quantity, for example the number of members.
    values : mapping of str to float
        Measured values by their names, which end in their units.
    """

    scale_value: float
    values: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Measurement:
    """A measurement and the quantity that it varies.

    Parameters
    ----------
    scale : str
        Name of the varied quantity.
    measure : callable
        Runs the measurement and yields its points.
    """

    scale: str
    measure: Callable[[], Iterator[Point]]


def measure_members() -> Iterator[Point]:
    """Measure idle groups with today's catalog against their size."""
    for size in GROUP_SIZES:
        group = start_group(size, *CURRENT_CATALOG)
        run_group(group, _IDLE_SECONDS)
        yield Point(size, _get_mean_usage(group, _IDLE_SECONDS))


def measure_records() -> Iterator[Point]:
    """Measure idle groups of eight members against the number of records."""
    for services, servers in CATALOG_SIZES:
        group = start_group(8, services, servers)
        run_group(group, _IDLE_SECONDS)
        usage = _get_mean_usage(group, _IDLE_SECONDS)
        yield Point(services + servers, usage)


def measure_changes(size: int = 16) -> Iterator[Point]:
    """Measure a group with today's catalog against changes per minute."""
    for rate in CHANGES_PER_MINUTE:
        group = start_group(size, *CURRENT_CATALOG)
        seconds = 60
        for index in range(rate):
            change_object(group, index % CURRENT_CATALOG[1])
            run_group(group, seconds / rate)
        if not rate:
            run_group(group, seconds)
        yield Point(rate, _get_mean_usage(group, seconds))


def measure_failures() -> Iterator[Point]:
    """Measure the additional cost of one death against the group's size."""
    yield from _measure_membership_changes(_fail_node)


def measure_joins() -> Iterator[Point]:
    """Measure the additional cost of one join against the group's size."""
    yield from _measure_membership_changes(_join_node)


def measure_reports() -> Iterator[Point]:
    """Measure load reports in a group of 16 against backend servers."""
    for services, servers in CATALOG_SIZES:
        group = start_group(16, services, servers, has_reports=True)
        run_group(group, _IDLE_SECONDS)
        yield Point(servers, _get_mean_usage(group, _IDLE_SECONDS))


def measure_target() -> Iterator[Point]:
    """Measure an idle group of the target size with load reports."""
    group = start_group(64, *TARGET_CATALOG, has_reports=True)
    run_group(group, _IDLE_SECONDS)
    usage = _get_mean_usage(group, _IDLE_SECONDS)
    readers = {
        name for name, node in group.nodes.items() if name in node.readers
    }
    first_readers = {
        name
        for name, node in group.nodes.items()
        if node.readers[:1] == (name,)
    }
    for role, names in (
        ('plain', group.nodes.keys() - readers),
        ('reader', readers - first_readers),
        ('first_reader', first_readers),
    ):
        cost = fmean(group.usage[name].processor_seconds for name in names)
        usage[f'{role}_processor_percent'] = 100 * cost / _IDLE_SECONDS
    yield Point(64, usage)


def measure_feeds(size: int = 8) -> Iterator[Point]:
    """Measure the owner of new feeds against their rate per second."""
    for rate in FEEDS_PER_SECOND:
        group = start_group(size, *CURRENT_CATALOG)
        name = next(iter(group.nodes))
        flows = _iterate_syns(group.nodes[name])
        ticks = 100
        for tick in range(ticks):
            due = rate * (tick + 1) // 10 - rate * tick // 10
            for packet in islice(flows, due):
                _open_feed(group, name, packet)
            run_group(group, 0.1)
        usage = group.usage[name]
        node = group.nodes[name]
        others = [entry for key, entry in group.usage.items() if key != name]
        seconds = ticks / 10
        yield Point(
            rate,
            {
                'copy_bytes_per_second': usage.sent['FlowCopies'] / seconds,
                'ack_bytes_per_second': usage.received['FlowCopiesAck']
                / seconds,
                'processor_percent': 100 * usage.processor_seconds / seconds,
                'backups_processor_percent': 100
                * sum(entry.processor_seconds for entry in others)
                / seconds,
                'waiting_copies': sum(
                    map(len, node.copy_queue.pending.values())
                ),
            },
        )


def measure_vm_lists() -> Iterator[Point]:
    """Measure a group of eight against the platform's number of VMs."""
    for vms in (8, 100, 1000, 11_000):
        group = start_group(8, *CURRENT_CATALOG)
        group.vms = tuple(build_member(index, 3) for index in range(vms))
        run_group(group, 12)
        reset_usage(group)
        run_group(group, _IDLE_SECONDS)
        usage = _get_mean_usage(group, _IDLE_SECONDS)
        document = [
            {
                'name': vm.name,
                'data_centre': vm.data_centre,
                'host': vm.host,
                'control_port': vm.control_port,
                'leaving': False,
            }
            for vm in group.vms
        ]
        calls = sum(entry.calls['vms'] for entry in group.usage.values())
        usage['list_bytes'] = len(json.dumps({'vms': document}))
        usage['vms_calls_per_reader_minute'] = calls / 6 / _IDLE_SECONDS * 60
        yield Point(vms, usage)


def measure_propagation(
    catalog: tuple[int, int] = CURRENT_CATALOG,
) -> Iterator[Point]:
    """Measure the time until a write is in force on all balancers."""
    for size in GROUP_SIZES:
        group = start_group(size, *catalog)
        readers = {
            name for node in group.nodes.values() for name in node.readers
        }
        reader_seconds: list[float] = []
        member_seconds: list[float] = []
        for index in range(_PROPAGATION_CHANGES):
            started_at = group.now
            version = change_object(group, index)
            reader_seconds.append(
                _run_until_in_force(group, readers, version) - started_at
            )
            names = group.nodes.keys()
            member_seconds.append(
                _run_until_in_force(group, names, version) - started_at
            )
            run_group(group, group.random.uniform(1, 2))
        yield Point(
            size,
            {
                'readers_ms': 1000 * median(reader_seconds),
                'median_ms': 1000 * median(member_seconds),
                'longest_ms': 1000 * max(member_seconds),
            },
        )


def measure_assignment() -> Iterator[Point]:
    """Measure the assignment of hash slots against the group's size."""
    for size in GROUP_SIZES:
        members = [build_member(index, 3) for index in range(size)]
        score = getattr(ownership, '_compute_scores')  # noqa: B009
        score.cache_clear()
        assign = partial(assign_slots, members)
        started_at = perf_counter()
        assign()
        cold = perf_counter() - started_at
        yield Point(
            size, {'cold_ms': 1000 * cold, 'warm_ms': _measure_ms(assign)}
        )


def measure_derivation() -> Iterator[Point]:
    """Measure the cost of a change on a balancer against its records."""
    for services, servers in CATALOG_SIZES:
        group = start_group(3, services, servers, has_reports=True)
        node = next(iter(group.nodes.values()))
        records = tuple(node.catalog.records.values())
        values: dict[str, Callable[[], object]] = {
            'derive_ms': partial(derive_routing_table, node.catalog),
            'apply_ms': partial(apply_catalog, node, group.now),
            'merge_all_ms': partial(_merge, records),
            'merge_one_ms': partial(_merge, records[-1:]),
        }
        yield Point(
            len(records),
            {name: _measure_ms(run) for name, run in values.items()},
        )


def measure_probes() -> Iterator[Point]:
    """Measure the assignment of 430 load probes against the group's size."""
    for size in GROUP_SIZES:
        group = start_group(size, *TARGET_CATALOG, has_reports=True)
        node = next(iter(group.nodes.values()))
        values: dict[str, Callable[[], object]] = {
            'probes_ms': partial(assign_load_probes, node),
            'apply_ms': partial(apply_catalog, node, group.now),
        }
        yield Point(
            size, {key: _measure_ms(run) for key, run in values.items()}
        )


def measure_catalog_memory() -> Iterator[Point]:
    """Measure the memory of a catalog and its routing table."""
    for services, servers in CATALOG_SIZES:
        platform = Platform()
        declare_objects(platform, services, servers, has_reports=True)
        text = json.dumps([entry.body for entry in platform.objects.values()])
        tracemalloc.start()
        catalog = Catalog()
        # Decodes the bodies, as a balancer keeps decoded copies of its own.
        bodies = json.loads(text)
        records = [
            Record(record.key, record.version, body)
            for record, body in zip(
                build_records(platform), bodies, strict=True
            )
        ]
        merge_records(catalog, records)
        table = derive_routing_table(catalog)
        yield Point(
            len(catalog.records),
            {
                'kilobytes': tracemalloc.get_traced_memory()[0] / 1000,
                'routes': len(table.listeners),
            },
        )
        tracemalloc.stop()


def measure_flow_memory() -> Iterator[Point]:
    """Measure the memory of flow entries, owned and copied."""
    node = next(iter(start_group(3, *CURRENT_CATALOG).nodes.values()))
    for flows in (1000, 5000, 13_600, 50_000, 100_000):
        yield Point(
            flows,
            {
                'owned_kilobytes': _measure_flow_kilobytes(
                    node, flows, is_owned=True
                ),
                'copied_kilobytes': _measure_flow_kilobytes(
                    node, flows, is_owned=False
                ),
            },
        )


def measure_member_memory() -> Iterator[Point]:
    """Measure the memory of a balancer's membership and slot owners."""
    for size in GROUP_SIZES:
        group = start_group(size, *CURRENT_CATALOG)
        name = next(reversed(group.nodes))
        node = group.nodes[name]
        getattr(ownership, '_compute_scores').cache_clear()  # noqa: B009
        members = [entry.membership.own for entry in group.nodes.values()]
        tracemalloc.start()
        kept = (
            assign_slots(members),
            {key: build_member(0, 3) for key in node.membership.peers},
            {key: monotonic() for key in node.membership.checked_at},
        )
        used = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        yield Point(size, {'kilobytes': used / 1000, 'kept': len(kept)})


def measure_processes() -> Iterator[Point]:
    """Measure balancer processes against the number of records."""
    for services, servers in CATALOG_SIZES:
        with run_fleet() as fleet:
            for key, body in build_object_bodies(
                services, servers, False
            ).items():
                path = f'/v1/objects/{key}'
                _put_object(fleet.store_port, path, body)
            for index in range(3):
                start_balancer(fleet, f'balancer-{index}', f'qc-{index + 1}')
            wait_until_ready(fleet)
            sleep(5)
            ids = [
                balancer.process.popen.pid
                for balancer in fleet.balancers.values()
            ]
            before = sum(map(_read_processor_seconds, ids))
            sleep(10)
            cost = sum(map(_read_processor_seconds, ids)) - before
            yield Point(
                services + servers,
                {
                    'resident_megabytes': max(map(_read_resident_bytes, ids))
                    / 1e6,
                    'processor_percent': 100 * cost / len(ids) / 10,
                },
            )


def measure_store() -> Iterator[Point]:
    """Count the store calls of balancer processes against their number."""
    for size in (3, 6, 9):
        with run_fleet() as fleet:
            for key, body in build_object_bodies(
                *CURRENT_CATALOG, False
            ).items():
                _put_object(fleet.store_port, f'/v1/objects/{key}', body)
            for index in range(size):
                start_balancer(fleet, f'balancer-{index}', f'qc-{index % 3}')
            wait_until_ready(fleet)
            sleep(5)
            yield Point(size, _count_calls(fleet.store_port))


def measure_store_changes(size: int = 9) -> Iterator[Point]:
    """Count the store calls of a simulated group against changes per minute."""
    for rate in (0, 1, 2, 5, 10):
        group = start_group(size, *CURRENT_CATALOG)
        group.platform.call_counters.clear()
        for index in range(rate):
            change_object(group, index)
            run_group(group, 60 / rate)
        if not rate:
            run_group(group, 60)
        yield Point(
            rate,
            {
                f'{kind}_per_minute': sum(
                    entry.calls[kind] for entry in group.usage.values()
                )
                for kind in ('list', 'watch', 'write', 'vms')
            },
        )


def measure_joining() -> Iterator[Point]:
    """Measure how a balancer without records gets them from its peers."""
    for services, servers in CATALOG_SIZES:
        group = start_group(8, services, servers)
        started_at = group.now
        node = start_node(group, 8, is_listed=False)
        # A reader would list the records of the store after a silent watch, so
        # the balancer is put where it is not a reader.
        node.data_centre = 'qc-est-none'
        wanted = services + servers
        while len(node.catalog.records) < wanted:
            run_group(group, 0.01)
            if group.now > started_at + 60:
                raise TimeoutError(
                    f'{node.name} has {len(node.catalog.records)} of {wanted} '
                    'records after 60 s'
                )
        received = group.usage[node.name].received
        document = [
            {'key': entry.key, 'version': entry.version, 'body': entry.body}
            for entry in group.platform.objects.values()
        ]
        yield Point(
            wanted,
            {
                'seconds': group.now - started_at,
                'received_bytes': sum(received.values()),
                'pushed_bytes': received['RecordPush'],
                'list_bytes': len(json.dumps(document)),
            },
        )


def print_measurement(name: str) -> None:
    """Run a measurement and print its points and fitted lines.

    Parameters
    ----------
    name : str
        Key of `MEASUREMENTS`.
    """
    measurement = MEASUREMENTS[name]
    points = []
    for point in measurement.measure():
        points.append(point)
        values = ' '.join(
            f'{key}={value:.5g}' for key, value in point.values.items()
        )
        _write(
            f'point={name} {measurement.scale}={point.scale_value:g} {values}'
        )
    if len(points) < 3:
        return
    for key in points[0].values:
        _write(fit_line(name, measurement.scale, key, points))


def fit_line(
    name: str,
    scale: str,
    key: str,
    points: Sequence[Point],
) -> str:
    """Fit a straight line to one of the measured values.

    Parameters
    ----------
    name : str
        Name of the measurement.
    scale : str
        Name of the varied quantity.
    key : str
        Name of the measured value.
    points : sequence of Point
        At least two points.

    Returns
    -------
    str
        Line of key=value pairs, without an end of line.
    """
    scale_values = [point.scale_value for point in points]
    values = [point.values[key] for point in points]
    slope, intercept = linear_regression(scale_values, values)
    residual = sqrt(
        fmean(
            (value - intercept - slope * scale_value) ** 2
            for scale_value, value in zip(scale_values, values, strict=True)
        )
    )
    return (
        f'fit={name} value={key} scale={scale} points={len(points)} '
        f'range={min(scale_values):g}..{max(scale_values):g} slope={slope:.4g} '
        f'intercept={intercept:.4g} residual={residual:.3g}'
    )


def main() -> int:
    """Run and print the named measurements, or all of them.

    Returns
    -------
    int
        Exit status: 2 if a name is unknown.
    """
    names = sys.argv[1:] or list(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        available = ', '.join(MEASUREMENTS)
        sys.stderr.write(
            f'unknown measurements: {", ".join(unknown)}; '
            f'available: {available}\n'
        )
        return 2
    for name in names:
        load = os.getloadavg()[0]
        started_at = perf_counter()
        print_measurement(name)
        seconds = perf_counter() - started_at
        _write(f'done={name} seconds={seconds:.1f} load_average={load:.2f}')
    return 0


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _get_mean_usage(group: SimulatedGroup, seconds: float) -> dict[str, float]:
    """Return the mean and the highest usage of the balancers."""
    usages = [group.usage[name] for name in group.nodes]
    sent = [sum(usage.sent.values()) / seconds for usage in usages]
    received = [sum(usage.received.values()) / seconds for usage in usages]
    costs = [usage.processor_seconds / seconds for usage in usages]
    return {
        'sent_bytes_per_second': fmean(sent),
        'highest_sent_bytes_per_second': max(sent),
        'received_bytes_per_second': fmean(received),
        'processor_percent': 100 * fmean(costs),
        'highest_processor_percent': 100 * max(costs),
    }


def _measure_membership_changes(
    change: Callable[[SimulatedGroup, int], None],
) -> Iterator[Point]:
    """Compare the 20 s after a membership change with 20 s without one."""
    for size in GROUP_SIZES:
        group = start_group(size, *CURRENT_CATALOG)
        run_group(group, _IDLE_SECONDS)
        idle = _get_mean_usage(group, _IDLE_SECONDS)
        reset_usage(group)
        change(group, size)
        run_group(group, _IDLE_SECONDS)
        # Leaves out the balancer that joined or died.
        names = [name for name in group.nodes if name in group.usage]
        sent = fmean(sum(group.usage[name].sent.values()) for name in names)
        cost = fmean(group.usage[name].processor_seconds for name in names)
        idle_bytes = idle['sent_bytes_per_second'] * _IDLE_SECONDS
        idle_cost = idle['processor_percent'] / 100 * _IDLE_SECONDS
        yield Point(
            size,
            {
                'additional_bytes': sent - idle_bytes,
                'additional_processor_ms': 1000 * (cost - idle_cost),
            },
        )


def _fail_node(group: SimulatedGroup, size: int) -> None:
    stop_node(group, next(reversed(group.nodes)))


def _join_node(group: SimulatedGroup, size: int) -> None:
    start_node(group, size)


def _iterate_syns(node: Node) -> Iterator[Packet]:
    """Generate SYNs of feeds whose hash slots a balancer owns."""
    (address, port), route = next(
        (key, route)
        for key, route in node.routing.listeners.items()
        if route.listener.name == 'feed'
    )
    for number in range(1 << 24):
        caller = (10 << 24) + number
        flow_key = build_flow_key(caller, address, 40_000, port)
        if node.ownership.owners[get_hash_slot(flow_key)] == node.name:
            yield Packet(
                flow_key,
                caller,
                route.service.address,
                40_000,
                port,
                int(TcpFlag.SYN),
                1,
                bytes(40),
            )


def _open_feed(group: SimulatedGroup, name: str, packet: Packet) -> None:
    dispatch_event(group, name, PacketReceived(packet))
    answer = Packet(
        packet.flow_key,
        packet.source,
        packet.destination,
        packet.source_port,
        packet.destination_port,
        int(TcpFlag.ACK),
        2,
        bytes(40),
    )
    dispatch_event(group, name, PacketReceived(answer))


def _run_until_in_force(
    group: SimulatedGroup, names: Any, version: int
) -> float:
    """Run until balancers have a version in force; return that time."""
    waiting = set(names)
    started_at = group.now
    while waiting:
        run_group(group, 0.001)
        waiting = {
            name
            for name in waiting
            if group.nodes[name].catalog.highest_version < version
        }
        if group.now > started_at + 30:
            raise TimeoutError(
                f'{len(waiting)} balancers lack version {version} after 30 s'
            )
    return group.now


def _merge(records: tuple[Record, ...]) -> None:
    merge_records(Catalog(), records)


def _measure_ms(run: Callable[[], object]) -> float:
    return 1000 * min(repeat(run, number=1, repeat=9))


def _measure_flow_kilobytes(node: Node, flows: int, *, is_owned: bool) -> float:
    keys = [index.to_bytes(12) for index in range(flows)]
    table = type(node.flows)()
    placement = get_placement(1, is_feed=True, is_copied=True)
    tracemalloc.start()
    for key in keys:
        # As in operation, each entry has a key and a time object of its own.
        own_key = bytes(bytearray(key))
        now = monotonic()
        add_placed_flow(table, own_key, placement, now)
        if is_owned:
            table.opened_at[own_key] = now
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / 1000


def _put_object(port: int, path: str, body: object) -> None:
    request = Request(  # noqa: S310
        f'http://127.0.0.1:{port}{path}',
        data=json.dumps(body).encode(),
        method='PUT',
        headers={'If-Match': '0'},
    )
    urlopen(request, timeout=5).close()  # noqa: S310


def _count_calls(port: int) -> dict[str, float]:
    """Count store calls for 30 s without and for 30 s with six changes."""
    values = {}
    for title, changes in (('idle', 0), ('changing', 6)):
        before = call_json_api(port, '/counters')
        for number in range(6):
            if changes:
                path = f'/v1/objects/{GROUP_NAME}/service/new-{number}'
                body = next(iter(build_object_bodies(1, 0, False).values()))
                _put_object(port, path, body)
            sleep(5)
        after = call_json_api(port, '/counters')
        for kind in ('list', 'watch', 'write', 'conflict', 'vms'):
            counted = after.get(kind, 0) - before.get(kind, 0)
            values[f'{title}_{kind}_per_minute'] = counted * 2.0
    return values


def _read_resident_bytes(process_id: int) -> int:
    with open(f'/proc/{process_id}/statm') as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


def _read_processor_seconds(process_id: int) -> float:
    with open(f'/proc/{process_id}/stat') as file:
        fields = file.read().rsplit(')', maxsplit=1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


MEASUREMENTS: Final = MappingProxyType(
    {
        'members': Measurement('members', measure_members),
        'records': Measurement('records', measure_records),
        'changes': Measurement('changes_per_minute', measure_changes),
        'failures': Measurement('members', measure_failures),
        'joins': Measurement('members', measure_joins),
        'reports': Measurement('backend_servers', measure_reports),
        'hints': Measurement('vms', measure_vm_lists),
        'feeds': Measurement('feeds_per_second', measure_feeds),
        'feeds_in_64': Measurement(
            'feeds_per_second',
            lambda: measure_feeds(64),
        ),
        'spread': Measurement('members', measure_propagation),
        'assignment': Measurement('members', measure_assignment),
        'derivation': Measurement('records', measure_derivation),
        'probes': Measurement('members', measure_probes),
        'catalog_memory': Measurement('records', measure_catalog_memory),
        'flow_memory': Measurement('flows', measure_flow_memory),
        'member_memory': Measurement('members', measure_member_memory),
        'processes': Measurement('records', measure_processes),
        'store': Measurement('members', measure_store),
        'store_changes': Measurement(
            'changes_per_minute',
            measure_store_changes,
        ),
        'joining': Measurement('records', measure_joining),
        'target': Measurement('members', measure_target),
    }
)


if __name__ == '__main__':
    sys.exit(main())
