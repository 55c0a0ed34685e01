"""Tests of the views that an edge balancer serves to its peers."""

import json
from dataclasses import replace

import pytest

from balsamshed.codecs.compression import decompress
from balsamshed.codecs.views import decode_view, encode_routes
from balsamshed.edge.effects import AcceptPackets, FetchView
from balsamshed.edge.tests.builders import (
    build_endpoint,
    build_table,
    build_view,
)
from balsamshed.edge.view_pacing import LARGE_VIEW_BYTES_PER_SECOND
from balsamshed.edge.views import handle_endpoints, handle_routes
from balsamshed.front_ends import edge_peers
from balsamshed.front_ends.http_session import HttpResponse
from balsamshed.front_ends.tests.test_edge_errors import build_process
from balsamshed.routes.table import create_route_table
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
        f'p{FIRST_PORT + number}': f'web{number % 3}'
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


def test_one_changed_route_needs_few_bytes(clock):
    """Guards against a small link that is full since each change of one route
    sends a table of thousands to every peer."""
    process = build_holder()
    routes = process.edge.steering.routes
    (first, *others) = routes.routes.values()
    changed = replace(first, timeout_seconds=7.5)
    table = create_route_table(3, [changed, *others], routes.services)
    handle_routes(process.edge, table, 1)
    handle_request = edge_peers.create_request_handler(process)
    response = handle_request('/compressed-changes/5/2')
    assert len(response.body) < 500
    changes = decode_view(decompress(response.body)).routes
    assert changes.updated == (changed,)
    assert changes.removed == ()


def test_peer_of_an_older_build_gets_all_routes(clock):
    """Guards against balancers of two builds that do not understand each
    other during a rolling update."""
    process = build_holder(route_count=3)
    table = build_table(3, p443='web')
    handle_routes(process.edge, table, 1)
    handle_request = edge_peers.create_request_handler(process)
    response = handle_request('/compressed-view/5/2')
    document = json.loads(decompress(response.body))
    assert document['routes'] == json.loads(encode_routes(table))
    assert 'route_changes' not in document


def test_holder_of_an_older_build_is_asked_for_all_routes(clock):
    """Guards against a balancer that gets no view from an older build."""
    process = build_process()
    process.edge.fetch_started_at = 0
    holder = build_holder(route_count=3)
    handle_request = edge_peers.create_request_handler(holder)
    targets = []

    class OlderSession:
        def get(self, target, timeout_seconds, handle_outcome):
            targets.append(target)
            if not target.startswith('/compressed-view/'):
                handle_outcome(HttpResponse(404, b''))
                return
            handle_outcome(HttpResponse(200, handle_request(target).body))

        def close(self):
            pass

    process.effect_handlers[AcceptPackets] = lambda _effect: None
    effect = FetchView('10.9.0.2', -1, -1)
    edge_peers._fetch_view(process, OlderSession, effect)
    assert targets == ['/compressed-changes/-1/-1', '/compressed-view/-1/-1']
    assert process.edge.steering.routes == holder.edge.steering.routes
    assert process.edge.fetch_started_at is None
