"""Guards against test doubles that break connections without a fault."""

import heapq
import itertools
import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from balsamshed.flows.packets import TcpFlag
from testbed.connection import (
    MAX_TRANSMISSIONS,
    Connected,
    ConnectionEnded,
    ConnectionState,
    DataReceived,
    EndReason,
    HandshakeMismatched,
    abort_connection,
    accept_connection,
    finish_connection,
    handle_connection_timeout,
    open_connection,
    receive_segment,
    send_data,
)
from testbed.packets import (
    Malformed,
    Segment,
    build_packet,
    build_reset,
    parse_packet,
)

CALLER = (0x0A090001, 40000)
SERVER = (0x0A080001, 7002)


class UnreliableNetwork:
    """Delays, duplicates, reorders and drops packets."""

    def __init__(self, seed, loss, duplication):
        self.random = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.queue = []
        self.numbers = itertools.count()

    def carry(self, end, segments, now):
        for segment in segments:
            for _copy in range(1 + (self.random.random() < self.duplication)):
                if self.random.random() >= self.loss:
                    at = now + self.random.uniform(0.001, 0.05)
                    entry = (at, next(self.numbers), end, build_packet(segment))
                    heapq.heappush(self.queue, entry)


class ConnectionEnd:
    def __init__(self, network, other):
        self.network = network
        self.other = other
        self.connection = None
        self.received = b''
        self.events = []

    def absorb(self, step, now):
        self.network.carry(self.other, step.segments, now)
        for event in step.events:
            self.events.append(event)
            if isinstance(event, DataReceived):
                self.received += event.payload

    def receive(self, raw, now):
        segment = parse_packet(raw)
        if self.connection is None:
            self.connection, step = accept_connection(segment, 77, now)
        else:
            step = receive_segment(self.connection, segment, now)
        self.absorb(step, now)


def find_next_time(ends, network):
    times = [
        end.connection.deadline
        for end in ends
        if end.connection and end.connection.deadline is not None
    ]
    times.extend(entry[0] for entry in network.queue[:1])
    return min(times, default=None)


def advance(ends, network, now):
    while network.queue and network.queue[0][0] <= now:
        _at, _number, name, raw = heapq.heappop(network.queue)
        ends[name].receive(raw, now)
    for end in ends.values():
        if end.connection:
            end.absorb(handle_connection_timeout(end.connection, now), now)


def run_exchange(network, question, answer, limit=400):
    """Run an exchange in which the server answers and closes first."""
    caller, server = (
        ConnectionEnd(network, 'server'),
        ConnectionEnd(network, 'caller'),
    )
    ends = {'caller': caller, 'server': server}
    now = 0.0
    caller.connection, step = open_connection(CALLER, SERVER, 2**32 - 5, now)
    caller.absorb(step, now)
    caller.absorb(send_data(caller.connection, question, now), now)
    answered = False
    while now is not None and now < limit:
        advance(ends, network, now)
        if not answered and server.received == question:
            answered = True
            server.absorb(send_data(server.connection, answer, now), now)
            server.absorb(finish_connection(server.connection, now), now)
        if answered and caller.connection.fin_received:
            caller.absorb(finish_connection(caller.connection, now), now)
        now = find_next_time(ends.values(), network)
    return caller, server


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    loss=st.floats(0, 0.2),
    duplication=st.floats(0, 0.5),
    question=st.binary(min_size=1, max_size=5000),
    size=st.integers(0, 60000),
)
def test_data_arrives_complete_under_loss_and_reordering(
    seed, loss, duplication, question, size
):
    """Guards against missing or repeated data, which the tests would report as
    a fault of the balancer."""
    answer = random.Random(seed).randbytes(size)
    caller, server = run_exchange(
        UnreliableNetwork(seed, loss, duplication), question, answer
    )
    assert server.received == question
    assert caller.received == answer
    for end in (caller, server):
        assert end.events.count(Connected()) == 1
        assert end.events[-1] == ConnectionEnded(EndReason.FINISHED)
        assert end.connection.state == ConnectionState.CLOSED


def test_connection_times_out_after_the_last_transmission():
    """Guards against a connection that waits forever for a silent peer."""
    connection, step = open_connection(CALLER, SERVER, 1, 0.0)
    sent = len(step.segments)
    times = []
    events = ()
    while connection.deadline is not None:
        now = connection.deadline
        times.append(round(now, 3))
        step = handle_connection_timeout(connection, now)
        sent += len(step.segments)
        events += step.events
    assert sent == MAX_TRANSMISSIONS
    assert times[:3] == [0.2, 0.6, 1.4]
    assert events == (ConnectionEnded(EndReason.TIMED_OUT),)


def test_repeated_syn_gets_the_same_answer():
    """Guards against a second initial sequence number for one connection,
    which callers and balancers do not expect."""
    _caller, opened = open_connection(CALLER, SERVER, 5, 0.0)
    server, first = accept_connection(opened.segments[0], 9, 0.0)
    again = receive_segment(server, opened.segments[0], 0.1)
    assert again.segments == first.segments


def test_refused_syn_is_recognised_by_the_caller():
    """Guards against a stray reset that counts as a refusal.

    Only a reset that acknowledges the SYN means that nothing ran (G4).
    """
    caller, opened = open_connection(CALLER, SERVER, 2**32 - 1, 0.0)
    reset = build_reset(opened.segments[0])
    assert reset.flags == TcpFlag.RST | TcpFlag.ACK
    assert (reset.sequence, reset.acknowledgement) == (0, 0)
    stray = replace(reset, acknowledgement=99)
    assert not receive_segment(caller, stray, 0.1).events
    step = receive_segment(caller, reset, 0.1)
    assert step.events == (ConnectionEnded(EndReason.REFUSED),)


def test_second_server_rejects_a_handshake_of_the_first():
    """Guards against a request that runs on two servers because its SYN was
    placed twice (G5)."""
    caller, opened = open_connection(CALLER, SERVER, 5, 0.0)
    _first, accepted = accept_connection(opened.segments[0], 100, 0.0)
    second, _answer = accept_connection(opened.segments[0], 200, 0.0)
    completed = receive_segment(caller, accepted.segments[0], 0.1)
    step = receive_segment(second, completed.segments[0], 0.2)
    assert step.events == (HandshakeMismatched(),)
    assert step.segments[0].flags == TcpFlag.RST
    assert step.segments[0].sequence == 101


def test_abort_resets_the_other_end():
    """Guards against a cancelled request that the backend server does not
    see as reset."""
    caller, opened = open_connection(CALLER, SERVER, 5, 0.0)
    server, accepted = accept_connection(opened.segments[0], 100, 0.0)
    completed = receive_segment(caller, accepted.segments[0], 0.1)
    receive_segment(server, completed.segments[0], 0.1)
    step = receive_segment(server, abort_connection(caller).segments[0], 0.2)
    assert step.events == (ConnectionEnded(EndReason.RESET),)


@given(
    numbers=st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1)),
    payload=st.binary(max_size=1200),
    position=st.integers(0, 10000),
    bit=st.integers(0, 7),
)
def test_checksums_find_every_changed_bit(numbers, payload, position, bit):
    """Guards against wrong checksums of a balancer that go undetected."""
    segment = Segment(*CALLER, *SERVER, *numbers, int(TcpFlag.ACK), payload)
    raw = build_packet(segment)
    assert len(raw) == 40 + len(payload)
    assert parse_packet(raw) == segment
    changed = bytearray(raw)
    changed[position % len(raw)] ^= 1 << bit
    assert isinstance(parse_packet(bytes(changed)), Malformed)


def test_known_header_checksum():
    """Guards against a wrong checksum, by an independent sum of 16-bit words."""
    raw = build_packet(
        Segment(*CALLER, *SERVER, 1, 2, int(TcpFlag.ACK), b'abc')
    )
    total = sum(int.from_bytes(raw[at : at + 2]) for at in range(0, 20, 2))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    assert total == 0xFFFF
