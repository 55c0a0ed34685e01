"""Guards the rules of sections 2 and 5 against failures in any order.

Five balancers run through `handle_event` in a simulation of the network and
the store, with lost, late and duplicate messages, a partition between the data
centres, deaths and restarts.
"""

import heapq
from itertools import count

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from balsamshed.configuration.catalog import Record
from balsamshed.flows.packets import Packet, TcpFlag, build_flow_key
from balsamshed.members.member import Member
from balsamshed.node.dispatch import handle_event
from balsamshed.node.effects import (
    ForwardPacket,
    ListRecords,
    SendPeerMessage,
    SendRelay,
    WatchRecords,
    WriteRecord,
)
from balsamshed.node.events import (
    LoadReported,
    PacketReceived,
    PeerMessageReceived,
    RecordsChanged,
    RecordsListed,
    RecordWritten,
    RelayReceived,
    StoreFailed,
    Ticked,
    WatchExpired,
    WriteConflicted,
)
from balsamshed.node.messages import Envelope
from balsamshed.node.state import create_node
from balsamshed.placement.messages import LoadReport
from balsamshed.store.session import WATCH_TIMEOUT_SECONDS

#: Seconds between ticks: twice those of a process, to simulate more cases.
TICK = 0.1
WALL_OFFSET = 1e9
#: Time after which balancers derive flows from previous candidate lists.
WARM_UP_SECONDS = 61
IN_FORCE_SECONDS = 5
PLACES = {'n1': 'a', 'n2': 'a', 'n3': 'a', 'n4': 'b', 'n5': 'b'}
HOSTS = (101, 102, 103)
ADDRESS, PORT = 50, 7002
CALLER = 9

names = st.sampled_from(sorted(PLACES))
hosts = st.sampled_from(HOSTS)


class RandomNumbers:
    """Linear congruential generator, whose numbers depend on the seed only."""

    def __init__(self, seed):
        self.state = seed

    def draw(self, limit):
        self.state = (
            self.state * 6364136223846793005 + 1442695040888963407
        ) % (1 << 64)
        return (self.state >> 33) % limit


class Store:
    """Object store with outages, delays and stale responses."""

    def __init__(self):
        self.records = {}
        self.revision = 0
        self.mode = 'up'
        self.stale = None

    def set_mode(self, mode):
        self.mode = mode
        self.stale = None
        if mode == 'stale':
            self.stale = (self.revision, dict(self.records))

    def write(self, key, body, expected_version):
        known = self.records.get(key)
        current = known.version if known else 0
        if current != expected_version:
            return WriteConflicted(key, current)
        self.revision += 1
        self.records[key] = Record(key, self.revision, body)
        return RecordWritten(key, self.revision)

    def list_since(self, revision):
        return tuple(
            record
            for record in self.records.values()
            if record.version > revision
        )

    def get_list(self):
        revision, records = self.stale or (self.revision, self.records)
        return RecordsListed(revision, tuple(records.values()))


class World:
    """Simulation of balancers, their network and the store."""

    def __init__(self, seed):
        self.numbers = RandomNumbers(seed)
        self.now = 100.0
        self.sequence = count()
        self.scheduled_events = []
        self.nodes = {}
        self.watches = []
        self.store = Store()
        self.partitioned = False
        self.loss_percent = 0
        self.is_late = False
        self.newest_versions = {}
        self.data_hosts = {}
        self.accepted = {}
        self.faults = []

    def start(self, name):
        own = Member(name, PLACES[name], name, 1, 2)
        seeds = [(other, 2) for other in PLACES]
        self.nodes[name] = create_node(
            own,
            'g',
            seeds,
            self.numbers.draw,
            self.now,
            self.now + WALL_OFFSET,
        )
        # A process starts without records, so its versions start over.
        self.newest_versions[name] = {}

    def kill(self, name):
        del self.nodes[name]

    def schedule(self, delay, name, event):
        node = self.nodes[name]
        entry = (self.now + delay, next(self.sequence), name, node, event)
        heapq.heappush(self.scheduled_events, entry)

    def send(self, source, target, event):
        """Send a message or a packet, which may be lost, late or duplicated."""
        is_cut = self.partitioned and PLACES[source] != PLACES[target]
        if target not in self.nodes or is_cut:
            return
        if self.numbers.draw(100) < self.loss_percent:
            return
        copies = 2 if self.is_late and not self.numbers.draw(5) else 1
        for _ in range(copies):
            delay = self.numbers.draw(400) / 1000 if self.is_late else 0
            self.schedule(0.001 + delay, target, event)

    def run(self, seconds, step=TICK):
        end = self.now + seconds
        while self.now < end:
            tick_at = self.now + step
            while (
                self.scheduled_events and self.scheduled_events[0][0] <= tick_at
            ):
                at, _sequence, name, node, event = heapq.heappop(
                    self.scheduled_events
                )
                self.now = max(self.now, at)
                if self.nodes.get(name) is node:
                    self.handle(name, event)
            self.now = tick_at
            self.expire_watches()
            for name in tuple(self.nodes):
                tick = Ticked(self.now + WALL_OFFSET, 0)
                self.handle(name, tick)

    def handle(self, name, event):
        node = self.nodes[name]
        packet = getattr(event, 'packet', None) or getattr(
            getattr(event, 'relay', None), 'packet', None
        )
        had_entry = packet and packet.flow_key in node.flows.placements
        effects = handle_event(node, event, self.now)
        self.check_versions(name)
        for effect in effects:
            self.perform_effect(name, node, effect, had_entry)

    def perform_effect(self, name, node, effect, had_entry):
        match effect:
            case SendPeerMessage():
                envelope = Envelope(
                    name, node.membership.own.incarnation, effect.message
                )
                event = PeerMessageReceived(envelope, name, 2)
                if effect.host in PLACES:
                    self.send(name, effect.host, event)
            case SendRelay():
                self.send(name, effect.member, RelayReceived(effect.relay))
            case ForwardPacket():
                self.record_forwarded_packet(node, effect, had_entry)
            case ListRecords():
                self.call_store(name, 'list', self.store.get_list)
            case WatchRecords():
                self.call_store(
                    name, 'watch', lambda: self.watch(name, effect.revision)
                )
            case WriteRecord():
                self.call_store(
                    name,
                    'write',
                    lambda: self.write(
                        effect.key, effect.body, effect.expected_version
                    ),
                )

    def call_store(self, name, call, operation):
        if self.store.mode == 'down':
            self.schedule(0.001, name, StoreFailed(call, 'outage'))
            return
        answer = operation()
        if call == 'watch' and self.store.mode == 'stale':
            # Every watch expires, so the reader lists again and again, each
            # time from a lagging replica.
            self.watches = [w for w in self.watches if w[0] != name]
            answer = WatchExpired()
        if answer is not None:
            delay = 1.5 if self.store.mode == 'slow' else 0.002
            self.schedule(delay, name, answer)

    def write(self, key, body, expected_version):
        answer = self.store.write(key, body, expected_version)
        for name, node, since, _end in tuple(self.watches):
            records = self.store.list_since(since)
            if records and self.nodes.get(name) is node:
                event = RecordsChanged(self.store.revision, records)
                self.schedule(0.002, name, event)
        self.watches = [
            watch
            for watch in self.watches
            if not self.store.list_since(watch[2])
        ]
        return answer

    def watch(self, name, since):
        records = self.store.list_since(since)
        if records:
            return RecordsChanged(self.store.revision, records)
        end = self.now + WATCH_TIMEOUT_SECONDS
        self.watches.append((name, self.nodes[name], since, end))
        return None

    def expire_watches(self):
        is_down = self.store.mode == 'down'
        ended = [w for w in self.watches if is_down or w[3] <= self.now]
        for watch in ended:
            self.watches.remove(watch)
            name, node = watch[:2]
            if self.nodes.get(name) is node:
                answer = RecordsChanged(self.store.revision, ())
                if is_down:
                    answer = StoreFailed('watch', 'outage')
                self.schedule(0.001, name, answer)

    def record_forwarded_packet(self, node, effect, had_entry):
        flow_key = effect.packet.flow_key
        if effect.packet.flags & TcpFlag.SYN:
            key = f'g/backend_server/b{effect.host}'
            if not had_entry and node.catalog.resources[key].draining:
                self.faults.append(f'{node.name} opened a flow on {key}')
            # The caller completes the handshake with the first backend server
            # that responds.
            self.accepted.setdefault(flow_key, effect.host)
        else:
            self.data_hosts.setdefault(flow_key, set()).add(effect.host)

    def check_versions(self, name):
        newest = self.newest_versions[name]
        for key, record in self.nodes[name].catalog.records.items():
            if record.version < newest.get(key, 0):
                self.faults.append(
                    f'{name} applied {record} over a newer version'
                )
            newest[key] = record.version


def build_packet(port, flags):
    flow_key = build_flow_key(CALLER, ADDRESS, port, PORT)
    return Packet(flow_key, CALLER, ADDRESS, port, PORT, int(flags), 1, b'')


def build_server(host, draining):
    spec = {
        'service': 'creneau',
        'host': f'0.0.0.{host}',
        'data_centre': 'a',
        'slots': 100,
        'draining': draining,
    }
    return {'spec': spec, 'changes': [], 'deleted': False}


# Hypothesis derives its seed from the source text of this class, except for
# comments.
class Failures(RuleBasedStateMachine):
    """Failures, changes and flows in any order."""

    @initialize(seed=st.integers(0, 1 << 32))
    def start(self, seed):
        self.world = World(seed)
        self.ports = count(1000)
        self.flows = []
        listener = {
            'name': 'requests',
            'port': PORT,
            'kind': 'request',
            'work_class': 'urgent',
        }
        spec = {
            'customer': 'c',
            'address': f'0.0.0.{ADDRESS}',
            'listeners': [listener],
        }
        self.world.write('g/service/creneau', {'spec': spec}, 0)
        for host in HOSTS:
            body = build_server(host, draining=False)
            self.world.write(f'g/backend_server/b{host}', body, 0)
        for name in PLACES:
            self.world.start(name)
        self.world.run(2)
        self.world.run(WARM_UP_SECONDS, step=0.9)

    @rule(host=hosts, changes=st.lists(st.booleans(), min_size=1, max_size=3))
    def declare(self, host, changes):
        """An operator drains or undrains a backend server, also quickly."""
        for draining in changes:
            if self.world.store.mode != 'down':
                self.declare_now(host, draining)
                self.world.run(TICK)

    @rule(mode=st.sampled_from(('up', 'down', 'slow', 'stale')))
    def change_store(self, mode):
        self.world.store.set_mode(mode)

    @rule(host=hosts)
    def read_stale_lists(self, host):
        """Readers list an older state after they have learned a change."""
        if self.world.store.mode != 'down':
            self.world.store.set_mode('stale')
            self.declare_now(host, draining=False)
            self.world.run(1)

    @rule(partitioned=st.booleans())
    def change_partition(self, partitioned):
        self.world.partitioned = partitioned

    @rule(loss=st.sampled_from((0, 10, 30)), late=st.booleans())
    def change_network(self, loss, late):
        self.world.loss_percent = loss
        self.world.is_late = late

    @precondition(lambda self: len(self.world.nodes) > 2)
    @rule(name=names)
    def kill(self, name):
        if name in self.world.nodes:
            self.world.kill(name)

    @rule(name=names)
    def restart(self, name):
        if name not in self.world.nodes:
            self.world.start(name)

    @rule(host=hosts, in_flight=st.integers(0, 40), name=names)
    def report_load(self, host, in_flight, name):
        """Unequal load leads to placement off the default."""
        if name in self.world.nodes:
            report = LoadReport(host, in_flight, 0, 0)
            self.world.handle(name, LoadReported(report))

    @rule(flows=st.integers(4, 12))
    def open_flows(self, flows):
        """Callers open flows through any balancer."""
        for _ in range(flows):
            port = next(self.ports)
            self.flows.append(port)
            self.spray(build_packet(port, TcpFlag.SYN))

    @precondition(lambda self: self.flows)
    @rule()
    def send_data(self):
        """Callers with a complete handshake send data to any balancer."""
        for port in self.flows:
            packet = build_packet(port, TcpFlag.ACK | TcpFlag.PSH)
            if packet.flow_key in self.world.accepted:
                self.spray(packet)

    @precondition(lambda self: self.flows and len(self.world.nodes) > 2)
    @rule(name=names)
    def lose_owner(self, name):
        """Flows with data lose their owner and are recovered."""
        self.send_data()
        if name in self.world.nodes:
            self.world.kill(name)
        self.world.run(3)
        self.send_data()

    @rule(seconds=st.sampled_from((0.1, 0.6, 2.5)))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule()
    def heal(self):
        """All faults stop; 5 s later the newest version is everywhere."""
        self.heal_and_check()

    @invariant()
    def check(self):
        if not hasattr(self, 'world'):
            return
        assert not self.world.faults
        for flow_key, reached in self.world.data_hosts.items():
            assert len(reached) == 1, (flow_key, reached)

    def teardown(self):
        if hasattr(self, 'world'):
            self.heal_and_check()

    def heal_and_check(self):
        world = self.world
        world.store.set_mode('up')
        world.partitioned = world.is_late = False
        world.loss_percent = 0
        world.run(IN_FORCE_SECONDS)
        assert not world.faults
        for name, node in world.nodes.items():
            for key, record in world.store.records.items():
                if key.split('/')[1] in {'service', 'backend_server'}:
                    known = node.catalog.records.get(key)
                    assert known == record, (name, key)

    def declare_now(self, host, draining):
        key = f'g/backend_server/b{host}'
        version = self.world.store.records[key].version
        body = build_server(host, draining)
        answer = self.world.write(key, body, version)
        assert isinstance(answer, RecordWritten)

    def spray(self, packet):
        living = sorted(self.world.nodes)
        name = living[self.world.numbers.draw(len(living))]
        self.world.handle(name, PacketReceived(packet))


Failures.TestCase.settings = settings(
    max_examples=14,
    stateful_step_count=30,
    derandomize=True,
    # Shrinking a failure takes minutes.
    phases=(Phase.generate,),
    deadline=None,
)
TestFailures = Failures.TestCase
