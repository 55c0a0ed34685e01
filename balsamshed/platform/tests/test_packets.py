"""Tests of the codec of the platform's packets."""

from struct import pack

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamshed.platform.packets import (
    HEADER_BYTES,
    MAX_DATA_BYTES,
    MalformedPacket,
    MalformedReason,
    decode_packet,
    encode_forwarded,
    encode_reset,
    get_caller_address,
)
from balsamshed.routes.table import make_listener_key
from balsamshed.steering.packets import FlowPacket, PacketKind

CALLER = 0x0A000001
SERVICE = 0xC6330007
SYN, ACK, FIN, RST = 32, 128, 1, 2


def build_datagram(flags, data=b'', echo=0, acknowledged=0):
    """Return a packet from 10.0.0.1:4000 to 198.51.0.7:443."""
    return (
        pack('<IB5xI', 0x01020304, flags, echo)
        + pack('<IHHI', SERVICE, 4000, 443, CALLER)
        + pack('<IIH', 77, acknowledged, len(data))
        + data
    )


@pytest.mark.parametrize(
    ('flags', 'data', 'kind'),
    [
        (SYN, b'', PacketKind.OPENING),
        (ACK, b'x', PacketKind.DATA),
        (ACK, b'', PacketKind.ACKNOWLEDGEMENT),
        (ACK | FIN, b'', PacketKind.CLOSING),
        (RST, b'', PacketKind.CLOSING),
    ],
)
def test_packets_are_classified(flags, data, kind):
    """Guards against a wrong packet kind, which would distort load counts."""
    packet = decode_packet(build_datagram(flags, data, echo=9, acknowledged=5))
    assert packet.kind is kind
    assert packet.cookie == 9
    assert packet.listener == make_listener_key(SERVICE, 443)


def test_opening_packet_gives_its_retransmissions():
    """Guards against a retransmission that is taken for a first packet."""
    packet = decode_packet(build_datagram(SYN, acknowledged=2))
    assert (packet.attempt, packet.acknowledged) == (2, 0)
    packet = decode_packet(build_datagram(ACK, acknowledged=2))
    assert (packet.attempt, packet.acknowledged) == (0, 2)


def test_flow_key_is_the_same_for_each_packet_of_a_flow():
    """Guards against later packets of a flow that miss the flow's state."""
    opening = decode_packet(build_datagram(SYN))
    data = decode_packet(build_datagram(ACK, b'abc', echo=4, acknowledged=8))
    assert opening.flow_key == data.flow_key


def test_forwarded_packet_changes_only_the_cookie():
    """Guards against altered fields, which the receiver takes for forged."""
    raw = build_datagram(ACK, b'data', echo=1, acknowledged=3)
    datagram = encode_forwarded(raw, 0x1122334455, 0xAABBCCDD)
    assert datagram[:8] == bytes.fromhex('0000001122334455')
    forwarded = datagram[8:]
    assert forwarded[:10] + forwarded[14:] == raw[:10] + raw[14:]
    assert decode_packet(forwarded).cookie == 0xAABBCCDD


def test_reset_comes_from_the_address_that_the_caller_used():
    """Guards against resets that the caller does not accept."""
    raw = build_datagram(ACK, b'x', acknowledged=1234)
    reset = encode_reset(raw)
    assert len(reset) == HEADER_BYTES
    decoded = decode_packet(reset)
    assert decoded.kind is PacketKind.CLOSING
    assert decoded.listener == make_listener_key(CALLER, 4000)
    assert reset[:4] == bytes(4)
    assert reset[22:26] == pack('<I', SERVICE)
    assert reset[26:30] == pack('<I', 1234)
    assert get_caller_address(raw) == '10.0.0.1'


def test_datagrams_of_wrong_length_are_rejected():
    """Guards against truncated packets and packets with trailing bytes."""
    raw = build_datagram(ACK, b'data')
    short = MalformedPacket(MalformedReason.TOO_SHORT)
    wrong = MalformedPacket(MalformedReason.WRONG_LENGTH)
    assert decode_packet(raw[:35]) == short
    assert decode_packet(raw[:-1]) == wrong
    assert decode_packet(raw + b'x') == wrong
    too_long = build_datagram(ACK, bytes(MAX_DATA_BYTES + 1))
    assert decode_packet(too_long) == wrong


@given(st.binary(max_size=1300))
def test_any_datagram_is_decoded_or_rejected(datagram):
    """Guards against a datagram whose decoding error stops the process."""
    assert isinstance(decode_packet(datagram), FlowPacket | MalformedPacket)
