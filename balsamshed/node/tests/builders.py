"""Builders of balancers, records and packets for tests."""

from balsamshed.configuration.records import Record
from balsamshed.flows.packets import Packet, TcpFlag, build_flow_key
from balsamshed.members.member import Member
from balsamshed.node.dispatch import handle_event
from balsamshed.node.events import (
    PacketReceived,
    RecordsListed,
    RelayReceived,
    Ticked,
)
from balsamshed.node.state import create_node

ADDRESS = 0xC000020A
CALLER = 0x0A090001
FIRST_HOST = 0x0A080101
FEED_PORT = 7001
REQUEST_PORT = 7002
WALL_TIME = 1796371200.0


def make_service(version=1, name='creneau', address='192.0.2.10'):
    listeners = [
        {
            'name': 'feed',
            'port': FEED_PORT,
            'kind': 'feed',
            'work_class': 'feed',
        },
        {
            'name': 'requests',
            'port': REQUEST_PORT,
            'kind': 'request',
            'work_class': 'urgent',
        },
    ]
    spec = {
        'customer': 'buanderie',
        'address': address,
        'listeners': listeners,
    }
    return Record(f'g/service/{name}', version, {'spec': spec})


def make_server(number, version, **changes):
    spec = {
        'service': 'creneau',
        'host': f'10.8.1.{number}',
        'data_centre': 'qc-1',
        'slots': 2,
        **changes,
    }
    return Record(f'g/backend_server/creneau-{number}', version, {'spec': spec})


def make_node(name='lb-1', servers=3, now=0.0):
    """Return the state of a balancer that is the only member of its group."""
    own = Member(name, 'qc-1', '127.0.0.1', 1, 2)
    node = create_node(own, 'g', [], lambda below: 0, now, WALL_TIME + now)
    records = [make_server(n, 1 + n) for n in range(1, servers + 1)]
    handle_event(node, RecordsListed(10, (make_service(), *records)), now)
    tick(node, now)
    return node


def tick(node, now):
    return handle_event(node, Ticked(WALL_TIME + now, 0), now)


def make_packet(flags, port=REQUEST_PORT, caller_port=40000, sequence=1):
    key = build_flow_key(CALLER, ADDRESS, caller_port, port)
    return Packet(key, CALLER, ADDRESS, caller_port, port, flags, sequence, b'')


def make_refusal(host, port=REQUEST_PORT, caller_port=40000):
    flags = int(TcpFlag.RST | TcpFlag.ACK)
    return Packet(
        b'', host, CALLER, port, caller_port, flags, sequence=0, raw=b''
    )


def advance(node, now):
    """Send ticks often enough that no pause of the process is detected."""
    while node.membership.ticked_at + 0.5 < now:
        tick(node, node.membership.ticked_at + 0.5)


def receive(node, packet, now):
    advance(node, now)
    return handle_event(node, PacketReceived(packet), now)


def receive_relay(node, relay, now):
    return handle_event(node, RelayReceived(relay), now)
