"""Tests of the HTTP client of balancers."""

from twisted.internet.testing import MemoryReactorClock, StringTransport

from balsamshed.front_ends.http_client import create_http_agent, send_request

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na'


def connect(reactor, number):
    """Return the protocol and the transport of a connection."""
    factory = reactor.tcpClients[number][2]
    protocol = factory.buildProtocol(None)
    transport = StringTransport()
    protocol.makeConnection(transport)
    return protocol, transport


def test_second_copy_of_a_response_reaches_no_other_request():
    """Guards against a call that gets the response to the one before."""
    reactor = MemoryReactorClock()
    agent = create_http_agent(reactor)
    responses = []
    for path in ('a', 'b'):
        request = send_request(agent, 'GET', f'http://127.0.0.1/{path}', {})
        request.addCallback(responses.append)
    first, first_transport = connect(reactor, 0)
    second, second_transport = connect(reactor, 1)
    first.dataReceived(RESPONSE)
    first.dataReceived(RESPONSE)
    assert len(responses) == 1
    assert b'GET /b' in second_transport.value()
    third = send_request(agent, 'GET', 'http://127.0.0.1/c', {})
    third.addCallback(responses.append)
    assert len(reactor.tcpClients) == 3
    assert b'GET /c' not in first_transport.value()
