"""Tests of tracking requests from the packets of callers alone."""

import pytest

from balsamshed.edge.tests.builders import build_packet
from balsamshed.steering.packets import PacketKind
from balsamshed.steering.requests import (
    MAX_PENDING_REQUESTS,
    REQUEST_LIFETIME_SECONDS,
    RequestTable,
    expire_requests,
    record_opening,
    track_packet,
)

COOKIE = 7
KEY = build_packet().flow_key


def open_flow(table, now=0.0):
    record_opening(table, KEY, COOKIE, now)
    ack = build_packet(PacketKind.ACKNOWLEDGEMENT, acknowledged=1)
    return track_packet(table, ack, COOKIE, now + 0.002)


def test_opening_counts_until_the_answer():
    """Guards against an endpoint that appears idle while it opens flows."""
    table = RequestTable()
    sample = open_flow(table)
    assert sample.connect_seconds == pytest.approx(0.002)
    assert table.counts == {COOKIE: 1}
    data = build_packet(PacketKind.DATA, acknowledged=1)
    track_packet(table, data, COOKIE, 0.003)
    assert table.counts == {COOKIE: 1}
    ack = build_packet(PacketKind.ACKNOWLEDGEMENT, acknowledged=1201)
    sample = track_packet(table, ack, COOKIE, 0.05)
    assert sample.response_seconds == pytest.approx(0.047)
    assert table.counts == {}


def test_acknowledgement_without_progress_is_no_answer():
    """Guards against counting a repeated acknowledgement as an answer."""
    table = RequestTable()
    open_flow(table)
    track_packet(
        table, build_packet(PacketKind.DATA, acknowledged=1), COOKIE, 0.003
    )
    again = build_packet(PacketKind.ACKNOWLEDGEMENT, acknowledged=1)
    assert track_packet(table, again, COOKIE, 0.01) is None
    assert table.counts == {COOKIE: 1}


def test_answer_is_seen_when_positions_wrap_around():
    """Guards against requests that never complete past position 2**32."""
    table = RequestTable()
    high = (1 << 32) - 10
    first = build_packet(PacketKind.DATA, acknowledged=high)
    track_packet(table, first, COOKIE, 0)
    ack = build_packet(PacketKind.ACKNOWLEDGEMENT, acknowledged=90)
    assert track_packet(table, ack, COOKIE, 0.1) is not None
    assert table.counts == {}


def test_next_request_replaces_one_without_a_separate_acknowledgement():
    """Guards against counting two requests for a flow that has one."""
    table = RequestTable()
    data = build_packet(PacketKind.DATA, acknowledged=1)
    track_packet(table, data, COOKIE, 0)
    following = build_packet(PacketKind.DATA, acknowledged=600)
    track_packet(table, following, COOKIE, 1)
    assert table.counts == {COOKIE: 1}


def test_end_of_flow_ends_its_request():
    """Guards against load that remains after callers close their flows."""
    table = RequestTable()
    open_flow(table)
    track_packet(table, build_packet(PacketKind.CLOSING), COOKIE, 1)
    assert table.counts == {}
    assert table.pending == {}


def test_flow_from_another_balancer_counts_from_its_next_request():
    """Guards against flows never counted after the routers rehash."""
    table = RequestTable()
    ack = build_packet(PacketKind.ACKNOWLEDGEMENT, acknowledged=5)
    assert track_packet(table, ack, COOKIE, 0) is None
    assert table.counts == {}
    track_packet(table, build_packet(PacketKind.DATA), COOKIE, 0.1)
    assert table.counts == {COOKIE: 1}


def test_flood_of_openings_is_bounded():
    """Guards against memory that grows with a flood of opening packets."""
    table = RequestTable()
    for number in range(MAX_PENDING_REQUESTS + 10):
        record_opening(table, number.to_bytes(12, 'big'), COOKIE, 0)
    assert len(table.pending) == MAX_PENDING_REQUESTS
    assert table.counts == {COOKIE: MAX_PENDING_REQUESTS}
    assert (0).to_bytes(12, 'big') not in table.pending


def test_old_requests_expire():
    """Guards against load left behind by flows moved to other balancers."""
    table = RequestTable()
    record_opening(table, b'old', COOKIE, 0)
    record_opening(table, b'new', COOKIE, 1)
    now = REQUEST_LIFETIME_SECONDS + 0.5
    ((flow_key, request),) = expire_requests(table, now)
    assert (flow_key, request.cookie) == (b'old', COOKIE)
    assert table.counts == {COOKIE: 1}
