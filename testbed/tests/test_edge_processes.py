"""Edge balancer processes with stand-ins for the store and endpoints."""

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest

from balsamshed.commands.program import run_program
from balsamshed.edge.lifecycle import TICK_SECONDS
from balsamshed.store.polling import SEED_CONFIRMATION_DELAY_SECONDS
from testbed.edge_site import (
    ACK,
    CALLER_HOST,
    SERVICE_HOST,
    SERVICE_PORT,
    SYN,
    build_packet,
    list_received,
    open_flow,
    open_site,
    wait_until,
)
from testbed.metadata_store import (
    delete_object,
    put_object,
    take_snapshot,
)


async def check_whole_path(site):
    await site.start_store()
    for number in (1, 2, 3):
        await site.start_endpoint(number)
    first = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(first), 'ready')
    number, cookie = await open_flow(site, first, 5000)
    second = site.start_balancer(2)
    await wait_until(lambda: site.is_ready(second), 'second ready')
    site.endpoints[number].received.clear()
    # The second balancer did not open the flow and derives the endpoint from
    # the cookie.
    site.send_packet(second, build_packet(ACK, 5000, cookie, b'request'))
    await wait_until(lambda: list_received(site), 'data')
    ((found, _, datagram),) = list_received(site)
    assert found == number
    assert int.from_bytes(datagram[:8], 'big') == number
    assert datagram.endswith(b'request')


def test_flow_opened_through_one_balancer_goes_on_through_another(tmp_path):
    """Guards against flows that break when routers send them elsewhere."""
    with open_site(tmp_path) as site:
        asyncio.run(check_whole_path(site))


async def check_restart_after_new_service(site):
    await site.start_store()
    await site.start_endpoint(1)
    await site.start_endpoint(2, service='next')
    hosts = [site.start_balancer(number) for number in (1, 2)]
    for host in hosts:
        await wait_until(lambda host=host: site.is_ready(host), 'ready')
    _, cookie = await open_flow(site, hosts[0], 5100)
    site.write_configuration(2, service='next')
    for number in (1, 2):
        await wait_until(
            lambda number=number: 2 in site.list_versions(number), 'version 2'
        )
    for number in (1, 2):
        site.processes[number].kill()
        site.processes[number].wait()
    for number, host in enumerate(hosts, start=1):
        site.start_balancer(number)
        await wait_until(lambda host=host: site.is_ready(host), 'ready again')
        site.endpoints[1].received.clear()
        site.send_packet(host, build_packet(ACK, 5100, cookie, b'request'))
        await wait_until(
            lambda: site.endpoints[1].received, 'data at the first endpoint'
        )
        assert (await open_flow(site, host, 5200 + number))[0] == 2


def test_open_flow_survives_a_new_service_and_a_restart_of_all(tmp_path):
    """Guards against balancers that drop the packets of open flows, since
    they started after the route's service had changed."""
    with open_site(tmp_path) as site:
        asyncio.run(check_restart_after_new_service(site))


async def check_drain(site):
    await site.start_store()
    for number in (1, 2):
        await site.start_endpoint(number)
    hosts = [site.start_balancer(number) for number in (1, 2, 3)]
    for host in hosts:
        await wait_until(lambda host=host: site.is_ready(host), 'ready')
    await asyncio.sleep(1)
    calls = site.store.call_count
    await asyncio.sleep(3)
    # Only one of the three balancers may read the store, every 0.8 s. All
    # three together would make sixteen calls.
    assert site.store.call_count - calls <= 6
    site.write_entry(1, 'draining')
    await asyncio.sleep(3)
    for flow, host in enumerate(hosts * 4, start=6000):
        number, _ = await open_flow(site, host, flow)
        assert number == 2


def test_drain_reaches_every_balancer_through_one_reader(tmp_path):
    """Guards against new flows to a draining endpoint and against every
    balancer reading the store."""
    with open_site(tmp_path) as site:
        asyncio.run(check_drain(site))


async def check_outage(site):
    await site.start_store()
    await site.start_endpoint(1)
    first = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(first), 'ready')
    site.store.response_status = 503
    await asyncio.sleep(2)
    # A balancer that starts during the outage gets the view from its peer.
    second = site.start_balancer(2)
    await wait_until(lambda: site.is_ready(second), 'ready without a store')
    assert (await open_flow(site, second, 7000))[0] == 1
    names = [event['event'] for event in site.read_events(1)]
    assert names.count('store_lost') == 1
    site.store.response_status = 200
    await wait_until(
        lambda: any(
            event['event'] == 'store_regained' for event in site.read_events(1)
        ),
        'contact regained',
    )


def test_balancer_starts_from_its_peers_while_the_store_is_down(tmp_path):
    """Guards against a balancer that cannot start during a store outage."""
    with open_site(tmp_path) as site:
        asyncio.run(check_outage(site))


async def check_evacuation(site):
    site.options = {'follow_evacuations': True}
    await site.start_store()
    await site.start_endpoint(1, data_centre='a')
    await site.start_endpoint(2, data_centre='b')
    hosts = [site.start_balancer(number) for number in (1, 2)]
    for host in hosts:
        await wait_until(lambda host=host: site.is_ready(host), 'ready')
    _, cookie = await open_flow(site, hosts[0], 5300)
    put_object(site.store, 'evacuations', 'a', {})
    for number in (1, 2):
        await wait_until(
            lambda number=number: has_event(site, number, 'evacuation_begun'),
            'an evacuation',
        )
    site.store.response_status = 503
    for process in site.processes.values():
        assert process.poll() is None
    site.processes[2].kill()
    site.processes[2].wait()
    # A balancer that starts during the outage learns of it from its peer.
    hosts.append(site.start_balancer(3))
    await wait_until(lambda: site.is_ready(hosts[2]), 'ready without a store')
    for flow, host in enumerate((hosts[0], hosts[2]) * 4, start=5400):
        assert (await open_flow(site, host, flow))[0] == 2
    site.send_packet(hosts[2], build_packet(ACK, 5300, cookie, b'request'))
    await wait_until(lambda: site.endpoints[1].received, 'data of a flow')
    site.store.response_status = 200
    delete_object(site.store, 'evacuations', 'a')
    await wait_until(
        lambda: has_event(site, 3, 'evacuation_ended'), 'the return'
    )
    assert (await open_flow(site, hosts[2], 5500))[0] == 1


def has_event(site, number, name):
    return any(event['event'] == name for event in site.read_events(number))


def test_evacuation_is_known_to_a_balancer_that_starts_without_a_store(
    tmp_path,
):
    """Guards against openings to an evacuated data centre through a balancer
    that starts while the store is down, and against one that never ends."""
    with open_site(tmp_path) as site:
        asyncio.run(check_evacuation(site))


async def check_stop(site):
    await site.start_store()
    await site.start_endpoint(1)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    _, cookie = await open_flow(site, host, 8000)
    process = site.processes[1]
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    await wait_until(
        lambda: any(
            event['event'] == 'leaving' for event in site.read_events(1)
        ),
        'leaving',
    )
    assert not await site.is_ready(host)
    site.endpoints[1].received.clear()
    site.send_packet(host, build_packet(ACK, 8000, cookie, b'late'))
    await wait_until(lambda: list_received(site), 'a packet after SIGTERM')
    await wait_until(lambda: process.poll() is not None, 'the end')
    assert process.returncode == 0
    assert site.read_events(1)[-1]['event'] == 'stopped'


def test_planned_stop_forwards_until_the_routers_know(tmp_path):
    """Guards against packets that are lost during a planned stop."""
    with open_site(tmp_path) as site:
        asyncio.run(check_stop(site))


def test_wrong_settings_are_reported_together(tmp_path):
    """Guards against a traceback instead of a list of findings."""
    file = tmp_path / 'settings.json'
    file.write_text('{"name": "x", "ready": "y"}')
    done = subprocess.run(
        [sys.executable, '-m', 'balsamshed', 'edge'],
        env={**os.environ, 'BALSAMSHED_BOOT': str(file)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2
    assert '$.ready' in done.stderr
    assert '$.store' in done.stderr


async def fetch_metrics(site, host):
    reader, writer = await asyncio.open_connection(host, site.metrics_port)
    writer.write(b'GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n')
    text = (await asyncio.wait_for(reader.read(), 5)).decode()
    writer.close()
    return text


async def check_explanations(site):
    await site.start_store()
    await site.start_endpoint(1)
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    # The age of the view is infinite until the store confirms the first view.
    await asyncio.sleep(SEED_CONFIRMATION_DELAY_SECONDS + 2 * TICK_SECONDS)
    _, cookie = await open_flow(site, host, 9000)
    site.send_packet(host, build_packet(SYN, 9000, acknowledged=1))
    site.send_packet(host, build_packet(ACK, 9000, cookie ^ 1, b'x'))
    site.send_packet(host, b'short')

    def list_names():
        return [event['event'] for event in site.read_events(1)]

    await wait_until(lambda: 'packet_dropped' in list_names(), 'a line')
    events = {event['event']: event for event in site.read_events(1)}
    opened = events['opening_forwarded']
    assert opened['flow'] == f'{CALLER_HOST}:9000>{SERVICE_HOST}:{SERVICE_PORT}'
    assert opened['endpoint'] == '1'
    assert opened['version'] == '1'
    assert float(opened['age_seconds']) < 2
    assert events['packet_dropped']['reason'] == 'unknown_cookie'
    text = await fetch_metrics(site, host)
    assert 'balsamshed_edge_events_total{event="malformed_too_short"} 1' in text
    assert 'balsamshed_edge_state{name="is_ready"} 1' in text
    assert 'balsamshed_edge_duration_seconds_bucket' in text
    second = await fetch_metrics(site, host)
    assert 'balsamshed_edge_state{name="endpoints_ready"} 1' in second


def test_logs_and_metrics_explain_what_happened(tmp_path):
    """Guards against logs and metrics that cannot explain a failed request."""
    with open_site(tmp_path) as site:
        asyncio.run(check_explanations(site))


async def check_reload(site, sends_signal):
    await site.start_store()
    await site.start_endpoint(1)
    # No process listens on the store port in the settings.
    real_port, site.store_port = site.store_port, next(site.free_ports)
    host = site.start_balancer(1)

    def list_names():
        return [event['event'] for event in site.read_events(1)]

    await wait_until(lambda: 'store_lost' in list_names(), 'no store')
    file = site.folder / 'edge-1.json'
    text = file.read_text()
    file.write_text('{"name": 3}')
    if sends_signal:
        site.processes[1].send_signal(signal.SIGHUP)
    await wait_until(lambda: 'reload_rejected' in list_names(), 'findings')
    file.write_text(text.replace(str(site.store_port), str(real_port)))
    if sends_signal:
        site.processes[1].send_signal(signal.SIGHUP)
    await wait_until(lambda: site.is_ready(host), 'ready with another store')
    events = {event['event']: event for event in site.read_events(1)}
    assert events['reloaded']['applied'] == 'store'
    assert '$.store' in events['reload_rejected']['findings']


@pytest.mark.parametrize('sends_signal', [True, False])
def test_changed_settings_are_applied(tmp_path, sends_signal):
    """Guards against a balancer that needs a restart to use another store."""
    with open_site(tmp_path) as site:
        asyncio.run(check_reload(site, sends_signal))


async def check_lagging_replica(site):
    await site.start_store()
    await site.start_endpoint(1)
    await site.start_endpoint(2)
    site.store.replica = take_snapshot(site.store)
    site.write_entry(1, 'draining')
    host = site.start_balancer(1)
    await wait_until(lambda: site.is_ready(host), 'ready')
    # A drain has to be in force on every balancer after 3 s.
    await asyncio.sleep(3)
    site.endpoints[1].received.clear()
    numbers = {(await open_flow(site, host, 7000 + n))[0] for n in range(8)}
    assert numbers == {2}


def test_start_from_a_lagging_replica_learns_of_drains(tmp_path):
    """Guards against a balancer that relies on a stale first view."""
    with open_site(tmp_path) as site:
        asyncio.run(check_lagging_replica(site))


async def check_edge_status(site, capsys):
    await site.start_store()
    await site.start_endpoint(1)
    await site.start_endpoint(2)
    site.write_entry(2, 'draining')
    hosts = [site.start_balancer(number) for number in (1, 2)]
    for host in hosts:
        await wait_until(lambda host=host: site.is_ready(host), 'ready')
    await asyncio.sleep(1)
    loop = asyncio.get_running_loop()

    async def run_command(*arguments):
        command = ['edge-status', f'{hosts[0]}:{site.metrics_port}', *arguments]
        status = await loop.run_in_executor(None, run_program, command)
        return status, capsys.readouterr().out

    status, text = await run_command()
    assert status == 0, text
    assert text.count(' yes ') == 2
    assert text.count(' 1/2 ') == 2
    site.processes[2].kill()
    status, text = await run_command('--output', 'json')
    assert status == 1
    second = json.loads(text)[1]
    assert second['address'] == f'{hosts[1]}:{site.metrics_port}'
    assert second['findings']


def test_edge_status_shows_views_and_a_dead_balancer(tmp_path, capsys):
    """Guards against an edge-status command that omits views or a dead
    balancer, so that operators have to read the logs."""
    with open_site(tmp_path) as site:
        asyncio.run(check_edge_status(site, capsys))


def test_sites_at_the_same_time_share_no_port(tmp_path):
    """Guards against "Address already in use" when two soaks, or a soak and
    the other tests, run at the same time."""
    with open_site(tmp_path) as first, open_site(tmp_path) as second:
        assert not {*first.free_ports} & {*second.free_ports}
