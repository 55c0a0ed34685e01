"""Tests of the ticks and the shutdown of an edge balancer."""

from balsamshed.edge.effects import (
    LogEvent,
    ReadSource,
    SendReport,
    StopProcess,
)
from balsamshed.edge.lifecycle import (
    IDLE_BEFORE_STOP_SECONDS,
    MIN_LEAVE_SECONDS,
    STOP_RESERVE_SECONDS,
    create_report,
    handle_stop,
    handle_tick,
)
from balsamshed.edge.state import accepts_traffic
from balsamshed.edge.tests.builders import (
    build_edge,
    build_endpoint,
    build_packet,
    build_table,
    build_view,
)
from balsamshed.edge.tests.test_views import read_store
from balsamshed.peers.table import add_peer_addresses
from balsamshed.placement.in_flight import (
    MIN_SUSPICION_SECONDS,
    record_unanswered_packet,
)
from balsamshed.steering.decisions import steer_packet
from balsamshed.steering.path_loss import TOLERATED_LOSSES, record_loss
from balsamshed.store.polling import Source

ENDPOINT = build_endpoint(1)


def build_serving_edge():
    edge = build_edge()
    read_store(edge, build_view(1, ENDPOINT), build_table(1), 0)
    return edge


def test_first_tick_reads_the_store():
    """Guards against a start that delays the first read until a timer."""
    first = ReadSource(Source.ENDPOINTS, may_be_stale=True)
    assert first in handle_tick(build_edge(), 0)


def test_read_in_progress_is_not_started_twice():
    """Guards against concurrent reads on one connection to the store."""
    edge = build_edge()
    handle_tick(edge, 0)
    assert not any(
        isinstance(effect, ReadSource) for effect in handle_tick(edge, 0.1)
    )


def test_report_contains_load_and_suspicions():
    """Guards against peers that place flows without the load of others."""
    edge = build_serving_edge()
    add_peer_addresses(edge.peer_table, ['10.9.0.2'], 0)
    steer_packet(edge.steering, build_packet(), 0.1)
    record_unanswered_packet(
        edge.steering.load_tracker, ENDPOINT.cookie, b'flow', 0.1
    )
    (effect,) = [
        effect
        for effect in handle_tick(edge, 0.2)
        if isinstance(effect, SendReport)
    ]
    assert effect.hosts == ('10.9.0.2',)
    (reported,) = effect.report.endpoints
    assert (reported.cookie, reported.in_flight) == (ENDPOINT.cookie, 1)
    assert reported.is_suspected
    assert effect.report.revision == 1


def test_start_and_end_of_a_suspicion_are_logged():
    """Guards against flows that avoid an endpoint without a log entry."""
    edge = build_serving_edge()
    record_unanswered_packet(
        edge.steering.load_tracker, ENDPOINT.cookie, b'flow', 0.1
    )

    def list_names(now):
        return [
            effect.name
            for effect in handle_tick(edge, now)
            if isinstance(effect, LogEvent)
        ]

    assert list_names(0.1) == ['endpoint_suspected']
    assert list_names(0.2) == []
    assert 'endpoint_trusted' in list_names(0.1 + MIN_SUSPICION_SECONDS)


def test_idle_endpoints_are_not_reported():
    """Guards against reports whose size grows with the idle endpoints."""
    assert create_report(build_serving_edge(), 0.1).endpoints == ()


def test_reports_are_distrusted_after_a_pause():
    """Guards against reports queued during a pause that count as current."""
    edge = build_serving_edge()
    handle_tick(edge, 0.1)
    assert edge.stale_reports_until == 0
    handle_tick(edge, 5)
    assert edge.stale_reports_until > 5


def test_leaving_balancer_forwards_until_the_routers_remove_it():
    """Guards against packets lost during a planned shutdown."""
    edge = build_serving_edge()
    handle_stop(edge, 10)
    assert not accepts_traffic(edge)
    edge.last_packet_at = 10 + MIN_LEAVE_SECONDS - IDLE_BEFORE_STOP_SECONDS / 2
    assert StopProcess() not in handle_tick(edge, 10 + MIN_LEAVE_SECONDS)
    effects = handle_tick(
        edge, 10 + MIN_LEAVE_SECONDS + IDLE_BEFORE_STOP_SECONDS
    )
    assert StopProcess() in effects


def test_leaving_balancer_stops_before_it_is_killed():
    """Guards against a SIGKILL before the last log lines are written."""
    edge = build_serving_edge()
    handle_stop(edge, 0)
    last = edge.grace_seconds - STOP_RESERVE_SECONDS
    edge.last_packet_at = last
    assert StopProcess() in handle_tick(edge, last)


def test_second_request_to_stop_does_not_extend_the_first():
    """Guards against a shutdown that repeated signals postpone for good."""
    edge = build_serving_edge()
    assert handle_stop(edge, 0)
    assert handle_stop(edge, 4) == []
    assert edge.stop_requested_at == 0


def test_balancer_that_loses_packets_reports_no_suspicion():
    """Guards against peers that give up flows because the link of another
    balancer is full."""
    edge = build_serving_edge()
    steering = edge.steering
    record_unanswered_packet(
        steering.load_tracker, ENDPOINT.cookie, b'flow', 0.1
    )
    handle_tick(edge, 0.1)
    (reported,) = create_report(edge, 0.1).endpoints
    assert reported.is_suspected
    for _ in range(TOLERATED_LOSSES + 1):
        record_loss(steering.requests.path_loss, 0.1)
    assert create_report(edge, 0.1).endpoints == ()
