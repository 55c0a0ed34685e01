"""Guards against a fault proxy that injects other faults than requested."""

from contextlib import ExitStack
from http.client import HTTPConnection, RemoteDisconnected
from random import Random
from socket import SOCK_DGRAM, socket

import pytest
from twisted.internet.task import Clock

from testbed.datagram_faults import (
    DatagramLinks,
    add_process,
    receive_datagram,
    replace_rules,
)
from testbed.fleet import call_json_api
from testbed.ports import reserve_ports
from testbed.processes import run_module, wait_for_port


class RecordedPort:
    def __init__(self, number, sent):
        self.number = number
        self.sent = sent

    def write(self, raw, destination):
        self.sent.append((self.number, raw, destination))


def build_links():
    sent = []
    links = DatagramLinks(
        Random(1).random,
        Clock(),
        lambda port, _receive: RecordedPort(port, sent),
    )
    add_process(links, 'lb-1.data', 9001, '127.0.0.1:8001')
    add_process(links, 'lb-2.data', 9002, '127.0.0.1:8002')
    return links, sent


def test_datagram_keeps_the_public_port_of_its_sender():
    """Guards against dropped relays: balancers accept them only from the
    addresses of their peers."""
    links, sent = build_links()
    receive_datagram(links, 'lb-2.data', b'a', ('127.0.0.1', 8001))
    assert sent == [(9001, b'a', ('127.0.0.1', 8002))]


def test_one_direction_can_be_cut():
    """Guards against a rule for one direction that cuts both: tests need
    half-open links as well."""
    links, sent = build_links()
    replace_rules(links, [{'source': 'lb-1.*', 'drop_share': 1}])
    receive_datagram(links, 'lb-2.data', b'a', ('127.0.0.1', 8001))
    receive_datagram(links, 'lb-1.data', b'b', ('127.0.0.1', 8002))
    assert sent == [(9002, b'b', ('127.0.0.1', 8001))]
    assert links.counters['dropped'] == 1


def test_share_of_lost_datagrams():
    """Guards against a lossy link that drops all datagrams or none."""
    links, sent = build_links()
    replace_rules(links, [{'drop_share': 0.25}])
    for _ in range(400):
        receive_datagram(links, 'lb-2.data', b'a', ('127.0.0.1', 8001))
    assert 260 < len(sent) < 340


def test_delayed_and_duplicated_datagrams():
    """Guards against delays and duplicates that do not take effect."""
    links, sent = build_links()
    rule = {'delay_ms': 50, 'duplicate_share': 1, 'duplicate_delay_ms': 200}
    replace_rules(links, [rule])
    receive_datagram(links, 'lb-2.data', b'a', ('127.0.0.1', 8001))
    counts = []
    for seconds in (0.04, 0.02, 0.2):
        links.clock.advance(seconds)
        counts.append(len(sent))
    assert counts == [0, 1, 2]


def test_unknown_field_of_a_rule_is_rejected():
    """Guards against a test whose misspelt fault has no effect."""
    links, _sent = build_links()
    with pytest.raises(ValueError, match='drop_rate'):
        replace_rules(links, [{'drop_rate': 1}])


def test_tcp_faults_affect_the_intended_connections():
    """Guards against TCP faults that affect the wrong connections."""
    control, target, link = reserve_ports(3)
    with ExitStack() as stack:
        for module, options in (
            ('testbed.platform', ('--port', target)),
            ('testbed.fault_proxy', ('--control-port', control)),
        ):
            stack.enter_context(run_module(module, *options))
        wait_for_port(target)
        wait_for_port(control)

        def post(path, **document):
            return call_json_api(control, path, 'POST', document)

        def open_link():
            return HTTPConnection('127.0.0.1', link, timeout=0.5)

        def fetch_status(connection):
            connection.request('GET', '/v1/vms')
            response = connection.getresponse()
            response.read()
            return response.status

        post(
            '/streams',
            name='lb-1.store',
            port=link,
            target=f'127.0.0.1:{target}',
        )
        open_connection = open_link()
        assert fetch_status(open_connection) == 200
        assert post('/silence', name='lb-1.*') == {'silenced': 1}
        with pytest.raises(TimeoutError):
            fetch_status(open_connection)
        assert fetch_status(open_link()) == 200
        post('/stream_faults', name='lb-1.store', silent=True)
        with pytest.raises(TimeoutError):
            fetch_status(open_link())
        post('/stream_faults', name='lb-1.store', lose_responses=1)
        with pytest.raises((RemoteDisconnected, ConnectionError)):
            fetch_status(open_link())
        assert fetch_status(open_link()) == 200
        post('/stream_faults', name='lb-1.store', cut=True)
        with pytest.raises((RemoteDisconnected, ConnectionError)):
            fetch_status(open_link())
        post('/stream_faults', name='lb-1.store')
        assert fetch_status(open_link()) == 200


def test_datagrams_pass_the_proxy_in_both_directions():
    """Guards against replies that bypass the proxy."""
    control, first_public, second_public = reserve_ports(3)
    with ExitStack() as stack:
        stack.enter_context(
            run_module('testbed.fault_proxy', '--control-port', control),
        )
        wait_for_port(control)
        ends = []
        for name, public in (('a', first_public), ('b', second_public)):
            end = stack.enter_context(socket(type=SOCK_DGRAM))
            end.bind(('127.0.0.1', 0))
            end.settimeout(5)
            ends.append(end)
            document = {
                'name': name,
                'public_port': public,
                'target': f'127.0.0.1:{end.getsockname()[1]}',
            }
            call_json_api(control, '/processes', 'POST', document)
        ends[0].sendto(b'ask', ('127.0.0.1', second_public))
        raw, sender = ends[1].recvfrom(100)
        assert (raw, sender) == (b'ask', ('127.0.0.1', first_public))
        ends[1].sendto(b'answer', sender)
        raw, sender = ends[0].recvfrom(100)
        assert (raw, sender) == (b'answer', ('127.0.0.1', second_public))
