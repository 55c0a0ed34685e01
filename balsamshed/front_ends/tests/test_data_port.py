"""Tests of the data port: accepted senders, relays and rewritten packets."""

import pytest

from balsamshed.codecs.packets import (
    compute_checksum,
    decode_packet,
    rewrite_destination,
    rewrite_source,
)
from balsamshed.flows.packets import Relay, RelayKind
from balsamshed.front_ends.data_port import (
    create_packet_handlers,
    create_peer_check,
)
from balsamshed.members.member import Member
from balsamshed.node.effects import SendRelay

RAW = bytes.fromhex(
    '4500002800000000400600000a0000010a0000029c401b5a'
    '000000010000000050100000' + '00000000',
)
FABRIC = ('127.0.0.1', 9)


def build_member(name, host='127.0.0.1', data_port=7400):
    return Member(name, 'qc-1', host, data_port, data_port + 1)


def test_relays_are_accepted_from_current_members_only():
    """Any other sender could inject packets that bypass the fabric."""
    peers = {}
    is_peer = create_peer_check(peers)
    address = ('127.0.0.1', 7400)
    assert not is_peer(address)
    peers['b'] = build_member('b')
    assert is_peer(address)
    assert is_peer(address)
    peers['b'] = build_member('b', data_port=7500)
    assert not is_peer(address)
    assert is_peer(('127.0.0.1', 7500))
    peers['c'] = build_member('c')
    assert is_peer(address)
    del peers['c']
    assert not is_peer(address)


def test_replaced_members_are_rejected():
    """Addresses of replaced members must not accumulate or be accepted."""
    peers = {}
    is_peer = create_peer_check(peers)
    for data_port in range(7000, 7300):
        peers['b'] = build_member('b', data_port=data_port)
        assert is_peer(('127.0.0.1', data_port))
        assert not is_peer(('127.0.0.1', data_port - 1))


class FakePort:
    """Data port whose socket records sent datagrams or raises an error."""

    def __init__(self, error=None):
        self.transport = self
        self.socket = self
        self.sent = []
        self.error = error

    def sendto(self, datagram, address):
        if self.error:
            raise self.error
        self.sent.append((datagram, address))


@pytest.mark.parametrize(
    ('host', 'error', 'counted'),
    [
        ('127.0.0.1', None, []),
        ('127.0.0.1', OSError('no buffer'), ['send_failed']),
        ('vm-7.example', None, ['relay_to_unknown_member']),
    ],
)
def test_relay_does_not_resolve_host_names(host, error, counted):
    """Resolving a host name would block the event loop."""
    port = FakePort(error)
    counts = []
    effect_handlers = create_packet_handlers(
        port,
        FABRIC,
        lambda _name: (host, 7400),
        counts.append,
    )
    relay = Relay(RelayKind.TO_OWNER, '', (), decode_packet(RAW))
    effect_handlers[SendRelay](SendRelay('b', relay))
    assert counts == counted
    assert len(port.sent) == (not counted)


@pytest.mark.parametrize('host', [0, 1, 0x0A080101, 0xFFFF0000, 0xFFFFFFFE])
@pytest.mark.parametrize('rewrite', [rewrite_source, rewrite_destination])
def test_rewritten_packets_have_correct_checksums(host, rewrite):
    """A host drops a packet whose checksums do not match its addresses."""
    raw = complete_checksums(RAW)
    packet = decode_packet(raw)
    is_source = rewrite is rewrite_source
    old = packet.source if is_source else packet.destination
    rewritten = bytes(rewrite(raw, old, host))
    assert rewritten == complete_checksums(rewritten)
    changed = slice(12, 16) if is_source else slice(16, 20)
    assert rewritten[changed] == host.to_bytes(4)


def complete_checksums(raw):
    header = raw[:10] + b'\0\0' + raw[12:20]
    tcp = raw[20:36] + b'\0\0' + raw[38:]
    pseudo_header = raw[12:20] + b'\0\x06' + len(tcp).to_bytes(2)
    header_sum = compute_checksum(header).to_bytes(2)
    tcp_sum = compute_checksum(pseudo_header + tcp).to_bytes(2)
    return (
        header[:10] + header_sum + header[12:] + tcp[:16] + tcp_sum + tcp[18:]
    )
