"""Guards against test doubles whose processes do not work together."""

import json
from contextlib import ExitStack
from urllib.request import urlopen

from testbed.ports import reserve_ports
from testbed.processes import (
    read_output,
    run_module,
    wait_for_exit,
    wait_for_http,
)


def read_json(port, path):
    with urlopen(f'http://127.0.0.1:{port}{path}', timeout=5) as response:
        return json.load(response)


def test_feeds_and_requests_pass_through_sprayed_relays():
    """Guards against faults of the test bed that look like faults of a
    balancer: relays without state take the place of the balancers."""
    fabric, control, first, second, backend, report = reserve_ports(6)
    relays = f'n1=127.0.0.1:{first},n2=127.0.0.1:{second}'
    with ExitStack() as stack:

        def start(module, **options):
            arguments = [
                part
                for name, option in options.items()
                for part in (f'--{name.replace("_", "-")}', option)
            ]
            return stack.enter_context(run_module(module, *arguments))

        for port in (first, second):
            stack.enter_context(run_module('testbed.tests.relay', port, fabric))
        start(
            'testbed.fabric',
            port=fabric,
            control_port=control,
            balancers=relays,
            hosts=f'10.8.0.1=127.0.0.1:{backend}',
        )
        start(
            'testbed.backend_server',
            name='b1',
            service='creneau',
            host='10.8.0.1',
            port=backend,
            report_port=report,
            fabric_port=fabric,
            feed_ports=7001,
            request_ports=7002,
            slots=4,
            service_time_ms=5,
        )
        wait_for_http(f'http://127.0.0.1:{control}/counters')
        wait_for_http(f'http://127.0.0.1:{report}/load')
        callers = start(
            'testbed.caller',
            fabric_port=fabric,
            address='10.7.0.1',
            service='creneau',
            feeds=20,
            requests_per_second=100,
            seconds=2,
            size=20000,
        )
        assert wait_for_exit(callers, 30) == 0
        summary = json.loads(read_output(callers))
        runs = read_json(report, '/runs')
        sprayed = read_json(control, '/counters')['sprayed']
    assert summary['feeds_broken'] == summary['feeds_refused'] == 0
    assert summary['ticks'] >= 20
    assert summary['answered'] == summary['requests'] >= 150
    assert summary['incomplete'] == summary['pending'] == 0
    assert summary['servers'] == {'b1': summary['requests']}
    assert set(runs['runs'].values()) == {1}
    assert len(runs['runs']) == summary['requests']
    assert runs['wrong_service'] == runs['malformed'] == 0
    assert min(sprayed['n1'], sprayed['n2']) > 0.4 * sum(sprayed.values())
