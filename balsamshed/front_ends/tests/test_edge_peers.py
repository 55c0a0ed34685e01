"""Tests of the views that an edge balancer serves to its peers."""

import pytest

from balsamshed.codecs.compression import decompress
from balsamshed.codecs.views import decode_view
from balsamshed.edge.tests.builders import (
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.edge.view_pacing import LARGE_VIEW_BYTES_PER_SECOND
from balsamshed.edge.views import handle_endpoints, handle_routes
from balsamshed.front_ends import edge_peers
from balsamshed.front_ends.tests.test_edge_errors import build_process
from balsamshed.store.polling import start_read

FIRST_PORT = 2000
ROUTE_COUNT = 3000


@pytest.fixture(name='clock')
def replace_clock(monkeypatch):
    """Return a list whose only entry is the time."""
    clock = [100.0]
    monkeypatch.setattr(edge_peers, 'read_clock', lambda: clock[0])
    return clock


def build_holder(route_count=ROUTE_COUNT):
    """Return the process of a balancer with many routes."""
    process = build_process()
    routes = {
        f'p{FIRST_PORT + number}': f'web{number:x}'
        for number in range(route_count)
    }
    start_read(process.edge.reads, 0)
    handle_endpoints(process.edge, build_view(5, build_endpoint(1)), 0)
    handle_routes(process.edge, build_table(2, **routes), 0)
    return process


def test_views_with_routes_share_a_limited_bandwidth(clock):
    """Guards against a link that is full of views while packets of flows wait
    behind them."""
    process = build_holder()
    handle_request = edge_peers.create_request_handler(process)
    for _ in range(200):
        clock[0] += 0.01
        response = handle_request('/compressed-view/5/1')
        assert response.status in {200, 503}
    sent = process.counts['view_bytes']
    assert LARGE_VIEW_BYTES_PER_SECOND < sent
    assert sent < 3 * LARGE_VIEW_BYTES_PER_SECOND
    assert process.counts['views_postponed']


def test_latest_changes_are_sent_at_any_time(clock):
    """Guards against drains that wait until large views have been sent."""
    process = build_holder()
    handle_request = edge_peers.create_request_handler(process)
    while handle_request('/compressed-view/-1/-1').status == 200:
        pass
    response = handle_request('/compressed-view/5/2')
    assert response.status == 200
    view = decode_view(decompress(response.body))
    assert view.endpoints.base_revision == 5
    assert view.routes is None
