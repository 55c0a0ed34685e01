"""Tests of the control port: byte counters and messages that are too large."""

from collections import Counter

from balsamshed.codecs.peers import encode_envelope
from balsamshed.configuration.messages import RecordPush
from balsamshed.configuration.records import Record
from balsamshed.flows.messages import FlowCopiesAck
from balsamshed.front_ends.control_port import HEADER_BYTES, ControlPort
from balsamshed.node.messages import Envelope

KEY = bytes(16)
ADDRESS = ('127.0.0.1', 7000)
ENVELOPE = Envelope('n1', 0, FlowCopiesAck(1))


class Transport:
    def __init__(self):
        self.sent = []

    def write(self, datagram, address):
        self.sent.append((datagram, address))


def make_port():
    counts = Counter()
    events = []

    def count_bytes(name, amount):
        counts[name] += amount

    def count(reason):
        counts[reason] += 1

    port = ControlPort(KEY, events.append, count, count_bytes)
    port.transport = Transport()
    return port, counts, events


def test_control_bytes_are_counted_in_both_directions():
    """The budget of control traffic cannot be checked if a counter stays at 0."""
    port, counts, events = make_port()
    port.send_envelope(ENVELOPE, ADDRESS)
    datagram = encode_envelope(ENVELOPE, KEY)
    port.datagramReceived(datagram, ADDRESS)
    size = len(datagram) + HEADER_BYTES
    assert counts['control_bytes_sent'] == size
    assert counts['control_bytes_received'] == size
    assert len(events) == 1


def test_too_large_message_does_not_prevent_others():
    """An exception in the send would abort the rest of the event's effects."""
    port, counts, _events = make_port()
    record = Record('g/service/s', 1, {'spec': 'x' * 70_000})
    port.send_envelope(Envelope('n1', 0, RecordPush((record,))), ADDRESS)
    port.send_envelope(ENVELOPE, ADDRESS)
    assert counts['peer_message_too_large'] == 1
    assert len(port.transport.sent) == 1
