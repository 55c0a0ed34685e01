"""Tests of packets that arrive while the process stands still."""

import pytest

from balsamshed.edge.lifecycle import handle_tick
from balsamshed.edge.packets import handle_packet
from balsamshed.edge.state import (
    OPENING_LIFETIME_SECONDS,
    STALE_REPORTS_SECONDS,
)
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.views import (
    handle_endpoints,
    handle_routes,
)
from balsamshed.steering.packets import DropPacket, ForwardFlow, PacketKind
from balsamshed.store.polling import start_read


def build_running_edge():
    """Return a balancer with one endpoint and a tick at 0 s."""
    edge = build_edge()
    start_read(edge.reads, 0)
    handle_endpoints(edge, build_view(1, build_endpoint(1)), 0)
    handle_routes(edge, build_table(1), 0)
    handle_tick(edge, 0)
    return edge


@pytest.mark.parametrize('seconds', [OPENING_LIFETIME_SECONDS, 30])
def test_openings_queued_during_a_long_pause_are_dropped(seconds):
    """Guards against new flows at an endpoint that left during the pause."""
    edge = build_running_edge()
    dropped = DropPacket('queued_during_pause')
    assert handle_packet(edge, build_packet(), seconds) == dropped
    handle_tick(edge, seconds)
    assert handle_packet(edge, build_packet(flow=2), seconds + 0.1) == dropped


def test_openings_are_accepted_again_after_the_reports_of_the_peers():
    """Guards against a balancer that takes no new flows after a pause."""
    edge = build_running_edge()
    handle_packet(edge, build_packet(), 5)
    handle_tick(edge, 5)
    later = 5 + STALE_REPORTS_SECONDS
    effect = handle_packet(edge, build_packet(flow=2), later)
    assert isinstance(effect, ForwardFlow)


def test_open_flows_go_on_after_a_pause():
    """Guards against flows that a paused balancer breaks."""
    edge = build_running_edge()
    opened = handle_packet(edge, build_packet(), 0.1)
    data = build_packet(PacketKind.DATA, cookie=opened.cookie)
    assert isinstance(handle_packet(edge, data, 30), ForwardFlow)


def test_openings_after_a_short_delay_are_placed():
    """Guards against callers that wait again because a tick was late."""
    edge = build_running_edge()
    delay = OPENING_LIFETIME_SECONDS - 0.1
    assert isinstance(handle_packet(edge, build_packet(), delay), ForwardFlow)
