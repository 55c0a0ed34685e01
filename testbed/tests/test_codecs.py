"""Guards against packets that crash a balancer or that it corrupts."""

from hypothesis import given
from hypothesis import strategies as st

from balsamshed.codecs.packets import (
    MalformedPacket,
    compute_checksum,
    decode_packet,
    encode_reset,
    rewrite_destination,
    rewrite_source,
)
from balsamshed.codecs.relays import (
    RELAY_FIRST_BYTE,
    decode_relay,
    encode_relay,
)
from balsamshed.flows.packets import (
    Packet,
    Relay,
    RelayKind,
    TcpFlag,
    build_flow_key,
)
from testbed.packets import Malformed, Segment, build_packet, parse_packet

ADDRESSES = st.integers(0, 2**32 - 1)
PORTS = st.integers(0, 2**16 - 1)
NAMES = st.text('abcdefghij-0123456789', min_size=1, max_size=64)


def build_segment(source, destination, ports, flags, payload=b''):
    return build_packet(
        Segment(
            source=source,
            source_port=ports[0],
            destination=destination,
            destination_port=ports[1],
            sequence=7,
            acknowledgement=9,
            flags=flags,
            payload=payload,
        ),
    )


@given(st.binary(max_size=80))
def test_random_datagrams_are_packets_or_malformed(datagram):
    """Guards against a malformed packet that raises an exception, which would
    end the process."""
    assert isinstance(decode_packet(datagram), Packet | MalformedPacket)
    assert isinstance(decode_relay(datagram), Relay | MalformedPacket)
    relayed = decode_relay(b'\xb5' + datagram)
    assert isinstance(relayed, Relay | MalformedPacket)


@given(ADDRESSES, ADDRESSES, ADDRESSES, st.tuples(PORTS, PORTS), st.binary())
def test_rewritten_packets_have_correct_checksums(
    source,
    destination,
    new_address,
    ports,
    payload,
):
    """Guards against wrong checksums after a rewrite, because receivers drop
    such packets silently."""
    raw = build_segment(source, destination, ports, TcpFlag.ACK, payload)
    forwarded = parse_packet(
        bytes(rewrite_destination(raw, destination, new_address))
    )
    returned = parse_packet(bytes(rewrite_source(raw, source, new_address)))
    assert not isinstance(forwarded, Malformed)
    assert not isinstance(returned, Malformed)
    assert (forwarded.destination, forwarded.payload) == (new_address, payload)
    assert (returned.source, returned.payload) == (new_address, payload)


@given(ADDRESSES, ADDRESSES, st.tuples(PORTS, PORTS), st.booleans())
def test_resets_are_acceptable_to_the_sender(source, destination, ports, syn):
    """Guards against resets that the sender ignores, which would leave it
    waiting."""
    flags = TcpFlag.SYN if syn else TcpFlag.ACK
    packet = decode_packet(build_segment(source, destination, ports, flags))
    reset = parse_packet(encode_reset(packet))
    assert not isinstance(reset, Malformed)
    assert (reset.source, reset.destination) == (destination, source)
    assert (reset.source_port, reset.destination_port) == ports[::-1]
    if syn:
        assert reset.flags == TcpFlag.RST | TcpFlag.ACK
        assert (reset.sequence, reset.acknowledgement) == (0, 8)
    else:
        assert reset.flags == TcpFlag.RST
        assert reset.sequence == 9


@given(ADDRESSES, ADDRESSES, PORTS, PORTS)
def test_flow_keys_equal_the_bytes_of_the_packet(
    source,
    destination,
    source_port,
    port,
):
    """Guards against a flow key that differs from the packet's, so that the
    flow of a response is looked up at the wrong owner."""
    raw = build_segment(source, destination, (source_port, port), TcpFlag.SYN)
    key = build_flow_key(source, destination, source_port, port)
    assert decode_packet(raw).flow_key == key


@given(
    st.sampled_from(list(RelayKind)),
    st.one_of(st.just(''), NAMES),
    st.lists(NAMES, max_size=8),
)
def test_relays_are_read_back(kind, requester, remaining_members):
    """Guards against a relay that loses remaining members, since a lookup has
    to reach all of them."""
    packet = decode_packet(build_segment(1, 2, (3, 4), TcpFlag.ACK, b'data'))
    relay = Relay(kind, requester, tuple(remaining_members), packet)
    if kind is RelayKind.TO_OWNER:
        sender = ''.join(remaining_members[:1])
        relay = Relay(kind, requester, (), packet, sender)
    assert decode_relay(encode_relay(relay)) == relay


def test_relay_of_an_older_build_names_no_sender():
    """Guards against packets dropped while balancers of two builds run."""
    raw = build_segment(1, 2, (3, 4), TcpFlag.ACK, b'data')
    header = bytes((RELAY_FIRST_BYTE, RelayKind.TO_OWNER, 0, 0))
    relay = decode_relay(header + raw)
    assert relay == Relay(RelayKind.TO_OWNER, '', (), decode_packet(raw))


def test_checksum_of_a_known_header():
    """Guards against a wrong checksum, by the example of RFC 1071, section 3."""
    octets = bytes.fromhex('0001f203f4f5f6f7')
    assert compute_checksum(octets) == 0xFFFF - 0xDDF2
