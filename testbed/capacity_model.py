"""Discrete-event model of a group of balancers, for the capacity figures.

The balancers run the product's code and exchange encoded datagrams. The clock
and the network are simulated; the store is that of `testbed.platform` without
its HTTP interface.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import thread_time
from types import MappingProxyType
from typing import Any, Final

from balsamshed.codecs.peers import (
    DecodeFailure,
    decode_envelope,
    encode_envelope,
)
from balsamshed.configuration.records import Record
from balsamshed.members.member import Member
from balsamshed.node.dispatch import handle_event
from balsamshed.node.effects import (
    ListRecords,
    ListVms,
    ProbeLoad,
    SendPeerMessage,
    StopProcess,
    WatchRecords,
    WriteRecord,
)
from balsamshed.node.events import (
    Event,
    LoadReported,
    PeerMessageReceived,
    RecordsChanged,
    RecordsListed,
    RecordWritten,
    Ticked,
    VmsListed,
    WriteConflicted,
)
from balsamshed.node.messages import Envelope
from balsamshed.node.state import Node, create_node
from balsamshed.placement import candidates
from balsamshed.placement.messages import LoadReport
from balsamshed.store.session import WATCH_TIMEOUT_SECONDS
from testbed.platform import Conflict, Platform, StoredObject, write_object

GROUP_NAME: Final = 'qc-est'
TICK_SECONDS: Final = 0.1
#: One-way delay between two balancers, and between a balancer and the store.
NETWORK_DELAY_SECONDS: Final = 0.001
#: IPv4 and UDP headers of a datagram.
HEADER_BYTES: Final = 28
#: Wall time at the monotonic time 0, in seconds since the Unix epoch.
START_WALL_TIME: Final = 1_796_374_800.0
#: Times in the audit entries of the first objects and of later changes. They
#: are more and less than an hour before the start of the simulation.
OLD_CHANGE_TIME: Final = '2026-12-04T07:00:00.000000Z'
RECENT_CHANGE_TIME: Final = '2026-12-04T08:59:00.000000Z'

_PEER_KEY: Final = bytes(range(16))

# All balancers of the group share this cache, while in operation each process
# has its own.
setattr(candidates, 'CACHED_ROUTES', 128 * candidates.CACHED_ROUTES)


@dataclass(slots=True)
class Usage:
    """Resources that one balancer has used since the last reset.

    Attributes
    ----------
    sent, received : Counter of str
        Bytes, including IP and UDP headers, by kind of message.
    messages : int
        Number of datagrams sent.
    processor_seconds : float
        Processor time of decisions and codecs.
    calls : Counter of str
        Calls to the store by kind.
    """

    sent: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    messages: int = 0
    processor_seconds: float = 0
    calls: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class SimulatedGroup:
    """Balancers, their store and the messages in transit.

    Attributes
    ----------
    random : Random
        Source of all random numbers.
    data_centres : int
        Number of data centres to which the balancers are assigned in turn.
    now : float
        Simulated monotonic time in seconds.
    nodes : dict of str to Node
        State of the running balancers by their names.
    addresses : dict of (str, int) to str
        Name of the balancer at each control address.
    usage : dict of str to Usage
        Usage of each balancer.
    platform : Platform
        The store.
    watches : dict of str to (int, int)
        Number and revision of the pending watch of each balancer.
    vms : tuple of Member
        The platform's list of VMs.
    events : list
        Heap of scheduled events: time, number and function.
    event_numbers : iterator of int
        Keeps events of the same time in the order of their scheduling.
    """

    random: Random
    data_centres: int = 3
    now: float = 1000
    nodes: dict[str, Node] = field(default_factory=dict)
    addresses: dict[tuple[str, int], str] = field(default_factory=dict)
    usage: dict[str, Usage] = field(default_factory=dict)
    platform: Platform = field(default_factory=Platform)
    watches: dict[str, tuple[int, int]] = field(default_factory=dict)
    vms: tuple[Member, ...] = ()
    events: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list,
    )
    event_numbers: Any = field(default_factory=count)


def start_group(
    size: int,
    services: int,
    servers: int,
    *,
    has_reports: bool = False,
    data_centres: int = 3,
    seed: int = 1,
) -> SimulatedGroup:
    """Start a group and run it until it has settled.

    Parameters
    ----------
    size : int
        Number of balancers.
    services, servers : int
        Number of services, and of backend servers of all services together.
    has_reports : bool
        Whether the backend servers have load reports.
    data_centres : int
        Number of data centres to which the balancers are assigned in turn.
    seed : int
        Seed of the random numbers.

    Returns
    -------
    SimulatedGroup
        All balancers know each other and have all records, no membership
        update is left to send, and the usage is zero.
    """
    group = SimulatedGroup(Random(seed), data_centres)  # noqa: S311
    declare_objects(group.platform, services, servers, has_reports=has_reports)
    for index in range(size):
        start_node(group, index)
    run_group(group, 15)
    for node in group.nodes.values():
        # The updates about many joins would take another minute to send.
        node.membership.pending_updates.clear()
    run_group(group, 10)
    reset_usage(group)
    return group


def build_member(index: int, data_centres: int) -> Member:
    """Return the member with an index."""
    return Member(
        name=f'balancer-{index:05}',
        data_centre=f'qc-est-{index % data_centres + 1}',
        host=f'10.20.{index // 250}.{index % 250 + 1}',
        data_port=7000,
        control_port=7001,
    )


def start_node(
    group: SimulatedGroup, index: int, *, is_listed: bool = True
) -> Node:
    """Start a balancer with the first two balancers as its seeds.

    Parameters
    ----------
    group : SimulatedGroup
        Changed in place.
    index : int
        Index of the balancer.
    is_listed : bool
        Whether it lists the records of the store; otherwise it gets them from
        its peers.

    Returns
    -------
    Node
        State of the balancer, whose first tick comes at a random time.
    """
    own = build_member(index, group.data_centres)
    seeds = [
        (seed.host, seed.control_port)
        for seed in map(build_member, (0, 1), (group.data_centres,) * 2)
    ]
    node = create_node(
        own,
        GROUP_NAME,
        seeds,
        group.random.randrange,
        group.now,
        START_WALL_TIME + group.now,
    )
    if not is_listed:
        node.store_session.has_listed = True
    group.nodes[own.name] = node
    group.addresses[own.host, own.control_port] = own.name
    group.usage[own.name] = Usage()
    _schedule(
        group,
        group.random.random() * TICK_SECONDS,
        lambda: _tick(group, own.name, node),
    )
    return node


def stop_node(group: SimulatedGroup, name: str) -> None:
    """Stop a balancer without letting it leave the group."""
    own = group.nodes.pop(name).membership.own
    group.addresses.pop((own.host, own.control_port))
    group.watches.pop(name, None)


def run_group(group: SimulatedGroup, seconds: float) -> None:
    """Run all events of the next seconds."""
    end = group.now + seconds
    while group.events and group.events[0][0] <= end:
        time, _number, run = heappop(group.events)
        group.now = time
        run()
    group.now = end


def reset_usage(group: SimulatedGroup) -> None:
    """Set the usage of all balancers to zero."""
    group.usage = {name: Usage() for name in group.nodes}


def dispatch_event(group: SimulatedGroup, name: str, event: Event) -> None:
    """Let a balancer handle an event and perform the effects.

    Parameters
    ----------
    group : SimulatedGroup
        Changed in place.
    name : str
        Name of the balancer; ignored if it has stopped.
    event : Event
        The event to handle.
    """
    node = group.nodes.get(name)
    if node is None:
        return
    started_at = thread_time()
    effects = handle_event(node, event, group.now)
    group.usage[name].processor_seconds += thread_time() - started_at
    for effect in effects:
        handle_effect = _EFFECT_HANDLERS.get(type(effect))
        if handle_effect is not None:
            handle_effect(group, node, effect)


def declare_objects(
    platform: Platform,
    services: int,
    servers: int,
    *,
    has_reports: bool = False,
) -> None:
    """Write services and backend servers to a store.

    Parameters
    ----------
    platform : Platform
        Changed in place.
    services, servers : int
        Number of services, and of backend servers of all services together.
    has_reports : bool
        Whether the backend servers have load reports.
    """
    for key, body in build_object_bodies(
        services, servers, has_reports
    ).items():
        write_object(platform, key, 0, body)


def build_object_bodies(
    services: int,
    servers: int,
    has_reports: bool,
) -> dict[str, dict[str, Any]]:
    """Return the objects of services and backend servers by their keys."""
    bodies = {
        f'{GROUP_NAME}/service/service-{index:04}': _build_body(
            _build_service(index),
        )
        for index in range(services)
    }
    for index in range(servers):
        spec = _build_server(index, services)
        if has_reports:
            spec['load_url'] = f'http://{spec["host"]}:7009/load'
        key = f'{GROUP_NAME}/backend_server/server-{index:04}'
        bodies[key] = _build_body(spec)
    return bodies


def change_object(group: SimulatedGroup, index: int) -> int:
    """Change the slots of a backend server in the store.

    Parameters
    ----------
    group : SimulatedGroup
        Changed in place.
    index : int
        Index of the backend server.

    Returns
    -------
    int
        New version of the object.
    """
    key = f'{GROUP_NAME}/backend_server/server-{index:04}'
    stored = group.platform.objects[key]
    stored_body: Any = stored.body
    spec = {
        **stored_body['spec'],
        'slots': stored_body['spec']['slots'] % 9 + 1,
    }
    changes = [
        *stored_body['changes'],
        _build_change(stored.version, RECENT_CHANGE_TIME),
    ]
    body = {**stored_body, 'spec': spec, 'changes': changes[-16:]}
    written = write_object(group.platform, key, stored.version, body)
    _notify_watches(group)
    return written.version


def build_records(platform: Platform) -> tuple[Record, ...]:
    """Return all objects of a store as records."""
    return tuple(map(_build_record, platform.objects.values()))


def _build_body(spec: dict[str, Any]) -> dict[str, Any]:
    return {'spec': spec, 'changes': [_build_change(0)], 'deleted': False}


def _build_change(version: int, when: str = OLD_CHANGE_TIME) -> dict[str, Any]:
    return {
        'change_id': '6f1c2a90-8d55-4f4e-9b5c-0e6a4c1f7d21',
        'who': 'operator@example.net',
        'when': when,
        'from_version': version,
        'action': 'apply',
    }


def _build_service(index: int) -> dict[str, Any]:
    listener = {'name': 'feed', 'port': 7001, 'kind': 'feed'}
    request = {'name': 'requests', 'port': 7002, 'kind': 'request'}
    return {
        'customer': 'buanderie',
        'address': f'192.0.{2 + index // 250}.{index % 250 + 1}',
        'listeners': [
            {**listener, 'work_class': 'feed'},
            {**request, 'work_class': 'urgent'},
        ],
    }


def _build_server(index: int, services: int) -> dict[str, Any]:
    return {
        'service': f'service-{index % services:04}',
        'host': f'10.8.{index // 250}.{index % 250 + 1}',
        'data_centre': f'qc-est-{index % 3 + 1}',
        'slots': 2,
    }


def _build_record(entry: StoredObject) -> Record:
    body: Any = entry.body
    return Record(entry.key, entry.version, body)


def _schedule(
    group: SimulatedGroup, delay: float, run: Callable[[], None]
) -> None:
    heappush(group.events, (group.now + delay, next(group.event_numbers), run))


def _send_event(group: SimulatedGroup, name: str, event: Event) -> None:
    _schedule(
        group,
        NETWORK_DELAY_SECONDS,
        lambda: dispatch_event(group, name, event),
    )


def _tick(group: SimulatedGroup, name: str, node: Node) -> None:
    if group.nodes.get(name) is not node:
        return
    dispatch_event(group, name, Ticked(START_WALL_TIME + group.now, 0))
    _schedule(group, TICK_SECONDS, lambda: _tick(group, name, node))


def _send_message(
    group: SimulatedGroup, node: Node, effect: SendPeerMessage
) -> None:
    envelope = Envelope(
        node.name,
        node.membership.own.incarnation,
        effect.message,
    )
    started_at = thread_time()
    datagram = encode_envelope(envelope, _PEER_KEY)
    usage = group.usage[node.name]
    usage.processor_seconds += thread_time() - started_at
    usage.messages += 1
    kind = type(effect.message).__name__
    usage.sent[kind] += len(datagram) + HEADER_BYTES
    own = node.membership.own
    source = (own.host, own.control_port)
    target = (effect.host, effect.control_port)
    _schedule(
        group,
        NETWORK_DELAY_SECONDS,
        lambda: _deliver(group, target, source, datagram),
    )


def _deliver(
    group: SimulatedGroup,
    target: tuple[str, int],
    source: tuple[str, int],
    datagram: bytes,
) -> None:
    name = group.addresses.get(target)
    if name is None:
        return
    started_at = thread_time()
    envelope = decode_envelope(datagram, _PEER_KEY)
    usage = group.usage[name]
    usage.processor_seconds += thread_time() - started_at
    if isinstance(envelope, DecodeFailure):
        raise RuntimeError(f'cannot decode a datagram: {envelope.reason}')
    kind = type(envelope.message).__name__
    usage.received[kind] += len(datagram) + HEADER_BYTES
    dispatch_event(group, name, PeerMessageReceived(envelope, *source))


def _list_records(
    group: SimulatedGroup, node: Node, effect: ListRecords
) -> None:
    group.usage[node.name].calls['list'] += 1
    records = build_records(group.platform)
    event = RecordsListed(group.platform.revision, records)
    _send_event(group, node.name, event)


def _watch_records(
    group: SimulatedGroup, node: Node, effect: WatchRecords
) -> None:
    group.usage[node.name].calls['watch'] += 1
    watch = (next(group.event_numbers), effect.revision)
    group.watches[node.name] = watch
    _schedule(
        group,
        WATCH_TIMEOUT_SECONDS,
        lambda: _expire_watch(group, node.name, watch),
    )
    _notify_watches(group)


def _notify_watches(group: SimulatedGroup) -> None:
    revision = group.platform.revision
    for name, (_number, since) in tuple(group.watches.items()):
        if since >= revision:
            continue
        group.watches.pop(name)
        records = tuple(
            _build_record(entry)
            for entry in group.platform.objects.values()
            if entry.version > since
        )
        _send_event(group, name, RecordsChanged(revision, records))


def _expire_watch(
    group: SimulatedGroup, name: str, watch: tuple[int, int]
) -> None:
    if group.watches.get(name) != watch:
        return
    group.watches.pop(name)
    _send_event(group, name, RecordsChanged(group.platform.revision, ()))


def _write_record(
    group: SimulatedGroup, node: Node, effect: WriteRecord
) -> None:
    group.usage[node.name].calls['write'] += 1
    written = write_object(
        group.platform,
        effect.key,
        effect.expected_version,
        effect.body,
    )
    event: Event = RecordWritten(effect.key, written.version)
    if isinstance(written, Conflict):
        event = WriteConflicted(effect.key, written.version)
    else:
        _notify_watches(group)
    _send_event(group, node.name, event)


def _list_vms(group: SimulatedGroup, node: Node, effect: ListVms) -> None:
    group.usage[node.name].calls['vms'] += 1
    _send_event(group, node.name, VmsListed(group.vms))


def _probe_load(group: SimulatedGroup, node: Node, effect: ProbeLoad) -> None:
    group.usage[node.name].calls['probe'] += 1
    report = LoadReport(effect.host, 2, 1, 0)
    _send_event(group, node.name, LoadReported(report))


def _stop_process(
    group: SimulatedGroup, node: Node, effect: StopProcess
) -> None:
    stop_node(group, node.name)


_EFFECT_HANDLERS: Final[
    Mapping[type[Any], Callable[[SimulatedGroup, Node, Any], None]]
] = MappingProxyType(
    {
        SendPeerMessage: _send_message,
        ListRecords: _list_records,
        WatchRecords: _watch_records,
        WriteRecord: _write_record,
        ListVms: _list_vms,
        ProbeLoad: _probe_load,
        StopProcess: _stop_process,
    }
)
