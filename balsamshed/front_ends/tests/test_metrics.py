"""Tests of the metrics: values, exposition format and cost for each packet."""

import ast
import re
import subprocess
import sys
import timeit
from pathlib import Path

import pytest
from treq.testing import StubTreq

import balsamshed
from balsamshed.front_ends.metrics import (
    COUNTERS,
    EVENT_COUNTERS,
    GAUGES,
    create_metrics,
    create_metrics_site,
)

SAMPLE = re.compile(
    r'[a-z_]+(\{[a-z_]+="([^"\\\n]|\\["\\n])*"'
    r'(,[a-z_]+="([^"\\\n]|\\["\\n])*")*\})? -?[0-9.e+-]+',
)


def render(metrics):
    text, content_type = metrics.render()
    assert content_type.startswith(b'text/plain; version=0.0.4')
    return text.decode()


def read(resource, path, method='GET'):
    treq = StubTreq(resource)
    response = treq.request(method, f'http://balancer{path}')
    response = treq_result(response)
    return response.code, treq_result(treq.content(response))


def treq_result(deferred):
    outcome = []
    deferred.addCallback(outcome.append)
    return outcome[0]


def test_events_are_counted_with_their_label():
    """An event must appear in the counter that the reference page names."""
    metrics = create_metrics()
    metrics.count_event('packet_relayed')
    metrics.count_event('packet_relayed')
    metrics.count_event('control_bytes_sent', 120)
    metrics.count_drop('no_route')
    metrics.set_gauge('balsamshed_concurrency_limit', 7, listener='creneau/a')
    text = render(metrics)
    assert 'balsamshed_packets_total{path="relayed"} 2\n' in text
    assert 'balsamshed_packets_total{path="forwarded"} 0\n' in text
    assert 'balsamshed_control_bytes_total{direction="sent"} 120\n' in text
    assert 'balsamshed_packets_dropped_total{reason="no_route"} 1\n' in text
    assert 'balsamshed_concurrency_limit{listener="creneau/a"} 7\n' in text
    metrics.count_event('packet_relayed')
    assert 'balsamshed_packets_total{path="relayed"} 3\n' in render(metrics)


def test_unlisted_events_are_counted_by_name():
    """An event without a counter of its own must not be lost."""
    metrics = create_metrics()
    metrics.count_event('surprise')
    assert 'balsamshed_events_total{event="surprise"} 1\n' in render(metrics)


def test_unlisted_gauges_raise():
    """A misspelt gauge name must raise instead of being ignored."""
    with pytest.raises(KeyError, match='balsamshed_members_alive'):
        create_metrics().set_gauge('balsamshed_members_alive', 1)


def test_text_keeps_the_exposition_format():
    """A label with quotes or newlines must not make the page unparsable."""
    metrics = create_metrics()
    metrics.count_drop('odd "reason"\n\\')
    metrics.set_gauge('balsamshed_cpu_seconds', 0.25)
    lines = render(metrics).splitlines()
    samples = [line for line in lines if not line.startswith('# ')]
    assert len(samples) > len(EVENT_COUNTERS)
    assert [line for line in samples if not SAMPLE.fullmatch(line)] == []


def test_names_follow_the_prometheus_conventions():
    """Dashboards rely on the suffixes for counters and units."""
    assert all(name.endswith('_total') for name in COUNTERS)
    assert not any(name.endswith('_total') for name in GAUGES)
    for name in (*COUNTERS, *GAUGES):
        assert re.fullmatch('balsamshed_[a-z_]+', name)
        assert '_milliseconds' not in name
    assert {name for name, _labels in EVENT_COUNTERS.values()} <= set(COUNTERS)


def test_sets_of_metrics_are_independent():
    """Two balancers in one process must not share counters."""
    first = create_metrics()
    first.count_event('flow_reset_unknown')
    line = 'balsamshed_flows_reset_total{reason="unknown_flow"}'
    assert f'{line} 1\n' in render(first)
    assert f'{line} 0\n' in render(create_metrics())


def list_counted_names():
    """Return the event names that the node package counts."""
    names = set()
    for path in (Path(balsamshed.__file__).parent / 'node').glob('*.py'):
        for call in ast.walk(ast.parse(path.read_text('utf-8'))):
            if isinstance(call, ast.Call) and (
                getattr(call.func, 'id', None) == 'CountEvent'
            ):
                (name,) = call.args
                # Names must be literals, or they could not be compared.
                assert isinstance(name, ast.Constant), (path.name, call.lineno)
                names.add(name.value)
    return names


def test_each_event_that_a_node_counts_has_a_counter():
    """The counter of a renamed event would stay at zero."""
    names = list_counted_names()
    assert len(names) >= 12
    assert names - set(EVENT_COUNTERS) == set()


@pytest.mark.parametrize('subject', ['refused', 'reset', 'retried'])
def test_each_reason_is_counted_by_the_node(subject):
    """A reason that is never counted would look like one that never occurs."""
    counter = f'balsamshed_flows_{subject}_total'
    mapped = {
        name for name, entry in EVENT_COUNTERS.items() if entry[0] == counter
    }
    assert mapped
    assert mapped <= list_counted_names()


def test_refusals_are_counted_by_reason():
    """Overload calls for more balancers, a limit for more backend servers."""
    metrics = create_metrics()
    metrics.count_event('refused_limit')
    metrics.count_event('refused_limit')
    metrics.count_event('refused_overload')
    text = render(metrics)
    counter = 'balsamshed_flows_refused_total'
    assert f'{counter}{{reason="limit"}} 2\n' in text
    assert f'{counter}{{reason="overload"}} 1\n' in text
    assert f'{counter}{{reason="no_backend_server"}} 0\n' in text
    assert f'{counter}{{reason="by_backend_server"}} 0\n' in text
    assert 'balsamshed_events_total{' not in text


def test_counting_is_cheap_enough_for_the_packet_path():
    """A counter of aioprometheus would take as long as a whole packet."""
    count_event = create_metrics().count_event
    calls = 20_000
    seconds = min(
        timeit.repeat(
            "count_event('packet_relayed')",
            globals={'count_event': count_event},
            number=calls,
            repeat=25,
        )
    )
    assert seconds / calls < 0.3e-6


def test_importing_starts_no_asyncio_loop():
    """A second event loop or thread would violate the design's one loop."""
    program = (
        'import asyncio\n'
        'def refuse(*parts): raise SystemExit(3)\n'
        'asyncio.new_event_loop = asyncio.get_event_loop = refuse\n'
        'asyncio.set_event_loop = refuse\n'
        'from balsamshed.front_ends.metrics import create_metrics\n'
        'create_metrics().render()\n'
        'import threading\n'
        'assert threading.active_count() == 1\n'
        'assert asyncio._get_running_loop() is None\n'
    )
    subprocess.run((sys.executable, '-c', program), check=True, timeout=20)


def test_pages_report_health_readiness_and_metrics():
    """The platform uses these pages to decide which balancers get packets."""
    ready = [False]
    metrics = create_metrics()
    root = create_metrics_site(metrics, lambda: ready[0]).resource
    assert read(root, '/healthz') == (200, b'ok\n')
    assert read(root, '/readyz') == (503, b'not ready\n')
    ready[0] = True
    assert read(root, '/readyz') == (200, b'ready\n')
    code, text = read(root, '/metrics')
    assert code == 200
    assert text == metrics.render()[0]
    assert read(root, '/other')[0] == 404
    assert read(root, '/metrics', 'POST')[0] == 405
