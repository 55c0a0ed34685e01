"""Guards against packets that the fabric sends to the wrong process."""

from random import Random

from balsamshed.flows.packets import TcpFlag
from testbed.addresses import build_host_table, parse_address
from testbed.fabric import Fabric, replace_balancers, route_packet
from testbed.packets import Segment, build_packet

BACKEND = ('127.0.0.1', 7000)
CALLER = ('127.0.0.1', 8000)
FIRST = ('127.0.0.1', 9001)
SECOND = ('127.0.0.1', 9002)


def make_fabric():
    fabric = Fabric(Random(1).choice)
    replace_balancers(fabric, {'n1': '127.0.0.1:9001', 'n2': '127.0.0.1:9002'})
    fabric.hosts = build_host_table({'10.8.0.0/16': '127.0.0.1:7000'})
    return fabric


def make_packet(source, destination):
    return build_packet(
        Segment(
            parse_address(source),
            40000,
            parse_address(destination),
            7002,
            1,
            0,
            int(TcpFlag.SYN),
        )
    )


def test_callers_and_backend_servers_are_sprayed():
    """Guards against packets of callers or backend servers that bypass the
    balancers, and against a balancer that gets none."""
    fabric = make_fabric()
    raw = make_packet('10.9.0.1', '10.7.0.1')
    for sender in (CALLER, BACKEND):
        reached = {route_packet(fabric, raw, sender) for _ in range(40)}
        assert reached == {FIRST, SECOND}


def test_balancers_reach_configured_and_learned_hosts():
    """Guards against a balancer's packets that are sprayed again."""
    fabric = make_fabric()
    to_backend = make_packet('10.9.0.1', '10.8.0.1')
    to_caller = make_packet('10.7.0.1', '10.9.0.1')
    assert route_packet(fabric, to_backend, FIRST) == BACKEND
    assert route_packet(fabric, to_caller, FIRST) is None
    route_packet(fabric, to_backend, CALLER)
    assert route_packet(fabric, to_caller, FIRST) == CALLER


def test_removed_balancer_delivers_but_gets_nothing():
    """Guards against the loss of packets that a leaving balancer still holds
    (G7), and against new packets for it."""
    fabric = make_fabric()
    replace_balancers(fabric, {'n2': '127.0.0.1:9002'})
    raw = make_packet('10.9.0.1', '10.8.0.1')
    assert route_packet(fabric, raw, FIRST) == BACKEND
    reached = {route_packet(fabric, raw, CALLER) for _ in range(20)}
    assert reached == {SECOND}
