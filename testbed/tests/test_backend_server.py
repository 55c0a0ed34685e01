"""Guards against a backend server that falsifies the tests of G2 to G6."""

import pytest
from twisted.internet.task import Clock

from testbed.addresses import parse_address
from testbed.backend_server import (
    ServerFaults,
    ServerSettings,
    build_server,
    describe_load,
    describe_runs,
    get_service_seconds,
    receive_datagram,
)
from testbed.connection import (
    ConnectionEnded,
    DataReceived,
    EndReason,
    FinReceived,
)
from testbed.messages import build_payload, compute_payload_checksum
from testbed.tcp_stack import (
    SynDecision,
    TcpStack,
    abort,
    connect,
    finish,
    get_key,
    receive_packet,
    send_payload,
)

HOST = parse_address('10.8.0.1')
CALLER = parse_address('10.9.0.1')


class ServerBench:
    """A backend server and callers on a shared clock, without packet loss."""

    def __init__(self, cold_start_seconds=0, **faults):
        self.clock = Clock()
        self.received = {}
        self.ends = {}
        settings = ServerSettings(
            name='b1',
            service='creneau',
            host=HOST,
            feed_ports=frozenset((7001,)),
            request_ports=frozenset((7002,)),
            slots=1,
            max_queued=1,
            tick_ms=200,
            cold_start_seconds=cold_start_seconds,
            report_lag_ms=0,
        )
        self.server = build_server(
            settings, ServerFaults(20, **faults), self.clock, self.to_caller
        )
        self.callers = TcpStack(
            send=self.to_server,
            clock=self.clock,
            choose_sequence=lambda: 1,
            classify_syn=lambda _segment: SynDecision.REFUSE,
            notify=self.notify,
        )
        self.ports = iter(range(40000, 50000))

    def to_caller(self, raw):
        self.clock.callLater(0.001, receive_packet, self.callers, raw)

    def to_server(self, raw):
        self.clock.callLater(0.001, receive_datagram, self.server, raw)

    def notify(self, connection, event):
        key = get_key(connection)
        if isinstance(event, DataReceived):
            previous = self.received.get(key, b'')
            self.received[key] = previous + event.payload
        elif isinstance(event, FinReceived):
            finish(self.callers, connection)
        elif isinstance(event, ConnectionEnded):
            self.ends[key] = event.reason

    def open(self, port, line=b''):
        local = CALLER, next(self.ports)
        connection = connect(self.callers, local, (HOST, port))
        if line:
            send_payload(self.callers, connection, line)
        return connection

    def run(self, seconds):
        self.clock.pump([0.001] * round(seconds * 1000))

    def read(self, connection):
        return self.received.get(get_key(connection), b'')

    def get_end(self, connection):
        return self.ends.get(get_key(connection))


def test_request_gets_its_payload_and_is_recorded():
    """Guards against a wrong record of runs or payload checksum, which the
    tests of G3 and G5 rely on."""
    bench = ServerBench()
    connection = bench.open(7002, b'request r1 creneau 3000 1000\n')
    bench.run(0.5)
    line, _end, payload = bench.read(connection).partition(b'\n')
    checksum = compute_payload_checksum(build_payload('r1', 3000))
    assert line.decode() == f'done r1 b1 3000 {checksum}'
    assert payload == build_payload('r1', 3000)
    assert bench.get_end(connection) == EndReason.FINISHED
    runs = describe_runs(bench.server)
    assert runs['runs'] == {'r1': 1}
    assert [port for _time, port in runs['accepted']] == [7002]
    assert runs['unknown_packets'] == 0
    assert describe_load(bench.server)['open_connections'] == 0


@pytest.mark.parametrize('stop', [finish, abort])
def test_queued_request_is_cancelled(stop):
    """Guards against a cancelled request that runs and takes a slot."""
    bench = ServerBench()
    bench.open(7002, b'request r1 creneau 10 1000\n')
    bench.run(0.005)
    waiting = bench.open(7002, b'request r2 creneau 10 1000\n')
    bench.run(0.005)
    load = describe_load(bench.server)
    assert (load['in_flight'], load['queued']) == (1, 1)
    stop(bench.callers, waiting)
    bench.run(0.2)
    assert describe_runs(bench.server)['runs'] == {'r1': 1}


def test_late_request_expires_without_running():
    """Guards against a request that runs although it is reported as
    expired."""
    bench = ServerBench()
    bench.open(7002, b'request r1 creneau 10 1000\n')
    bench.run(0.005)
    late = bench.open(7002, b'request r2 creneau 10 5\n')
    bench.run(0.2)
    assert bench.read(late) == b'expired r2\n'
    assert describe_runs(bench.server)['runs'] == {'r1': 1}


def test_full_queue_refuses_connections():
    """Guards against a request that runs although it was shed (G4)."""
    bench = ServerBench()
    for number in range(3):
        line = f'request r{number} creneau 10 1000\n'
        bench.open(7002, line.encode())
    bench.run(0.01)
    refused = bench.open(7002, b'request r9 creneau 10 1000\n')
    bench.run(0.3)
    assert bench.get_end(refused) == EndReason.REFUSED
    assert 'r9' not in describe_runs(bench.server)['runs']


def test_feed_ticks_without_gaps_until_closed():
    """Guards against missing ticks, which the tests of G1 count."""
    bench = ServerBench()
    feed = bench.open(7001, b'feed f1\n')
    bench.run(0.7)
    lines = bench.read(feed).split(b'\n')[:-1]
    assert lines == [f'tick creneau {n}'.encode() for n in (1, 2, 3, 4)]
    finish(bench.callers, feed)
    bench.run(0.5)
    assert bench.get_end(feed) == EndReason.FINISHED
    assert not bench.server.sessions


def test_other_service_is_counted_and_reset():
    """Guards against a request at the wrong service that is not counted (G2)."""
    bench = ServerBench()
    request = bench.open(7002, b'request r1 registre 10 1000\n')
    feed = bench.open(7001, b'feed f1 registre\n')
    bench.run(0.1)
    assert bench.get_end(request) == EndReason.RESET
    assert bench.get_end(feed) == EndReason.RESET
    runs = describe_runs(bench.server)
    assert (runs['wrong_service'], runs['runs']) == (2, {})


def test_faults_take_effect():
    """Guards against a fault without effect, with which the tests that use it
    would always pass."""
    shedding = ServerBench(shed=True)
    refused = shedding.open(7001, b'feed f1\n')
    silent = ServerBench(unresponsive=True)
    unanswered = silent.open(7001, b'feed f1\n')
    for bench in (shedding, silent):
        bench.run(0.1)
    assert shedding.get_end(refused) == EndReason.REFUSED
    assert silent.get_end(unanswered) is None
    lying = ServerBench(lie_idle=True)
    lying.open(7002, b'request r1 creneau 10 1000\n')
    lying.run(0.01)
    assert describe_load(lying.server)['in_flight'] == 0


def test_cold_server_warms_up():
    """Guards against a cold start without slower requests, which would not
    test how balancers ramp up the load."""
    bench = ServerBench(cold_start_seconds=2)
    times = []
    for _step in range(4):
        times.append(round(get_service_seconds(bench.server), 3))
        bench.clock.advance(1)
    assert times == [0.08, 0.05, 0.02, 0.02]
