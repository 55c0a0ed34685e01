"""Tests of the event loop and the connections of edge balancers."""

import os
import signal
import socket
from functools import partial

import pytest

from balsamshed.front_ends import streams
from balsamshed.front_ends.event_loop import open_loop
from balsamshed.front_ends.http_server import (
    HttpServerConnection,
    ServerResponse,
)
from balsamshed.front_ends.streams import listen
from balsamshed.settings.balancer import SocketAddress

ANYWHERE = SocketAddress('127.0.0.1', 0)
LARGE_BODY = b'x' * 8_000_000


def raise_error():
    """Fail, as a fault of this program would."""
    raise KeyError('fault')


def test_timers_fire_in_the_order_of_their_times():
    """Guards against a retry that runs before its backoff has passed."""
    calls = []
    with open_loop() as loop:
        loop.call_later(0.02, loop.stop)
        loop.call_later(0.01, partial(calls.append, 'second'))
        loop.call_later(0.001, partial(calls.append, 'first'))
        loop.call_later(0.005, partial(calls.append, 'cancelled')).cancel()
        loop.call_soon(partial(calls.append, 'soon'))
        loop.run_forever()
    assert calls == ['soon', 'first', 'second']


def test_error_of_a_callback_does_not_end_the_loop():
    """Guards against one unexpected error that ends the process."""
    errors, calls = [], []
    near, far = socket.socketpair()
    with open_loop() as loop, near, far:
        loop.set_error_handler(errors.append)

        def receive():
            calls.append(near.recv(10))
            raise_error()

        loop.add_reader(near, receive)
        loop.call_soon(raise_error)
        loop.call_soon(partial(far.send, b'a'))
        loop.call_later(0.01, raise_error)
        loop.call_later(0.02, partial(far.send, b'b'))
        loop.call_later(0.04, loop.stop)
        loop.run_forever()
    assert calls == [b'a', b'b']
    assert [type(error) for error in errors] == [KeyError] * 4


def test_signal_is_handled_in_the_loop():
    """Guards against a planned stop that waits for the next packet."""
    calls = []
    with open_loop() as loop:
        loop.add_signal_handler(signal.SIGHUP, partial(calls.append, 'reload'))
        loop.add_signal_handler(signal.SIGUSR1, loop.stop)
        loop.call_soon(partial(os.kill, os.getpid(), signal.SIGHUP))
        loop.call_later(0.01, partial(os.kill, os.getpid(), signal.SIGUSR1))
        loop.run_forever()
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    signal.signal(signal.SIGUSR1, signal.SIG_DFL)
    assert calls == ['reload']


@pytest.fixture
def served():
    """Serve HTTP; yields the loop and the address."""
    bodies = {'/': b'small', '/large': LARGE_BODY}

    def handle(target):
        if target == '/fault':
            raise_error()
        return ServerResponse(200, bodies[target])

    with open_loop() as loop:
        errors = []
        loop.set_error_handler(errors.append)
        listening = listen(loop, ANYWHERE, lambda: HttpServerConnection(handle))
        with listening:
            yield loop, listening.getsockname(), errors


def request(loop, address, *paths):
    """Send requests on one connection and return all that comes back."""
    received = []
    with socket.create_connection(address) as client:
        client.setblocking(False)

        def receive():
            chunk = client.recv(65536)
            received.append(chunk)
            if not chunk:
                loop.remove(client)
                loop.stop()

        loop.add_reader(client, receive)
        for path in paths:
            client.send(f'GET {path} HTTP/1.1\r\n\r\n'.encode())
        client.send(b'GET / HTTP/1.1\r\nConnection: close\r\n\r\n')
        loop.call_later(5, loop.stop)
        loop.run_forever()
    return b''.join(received)


def test_large_response_is_sent_whole_to_a_slow_reader(served):
    """Guards against a view that ends where the socket's buffer was full."""
    loop, address, _ = served
    received = request(loop, address, '/large')
    assert LARGE_BODY in received
    assert received.endswith(b'small')


def test_error_of_a_request_closes_its_connection_only(served):
    """Guards against a request that ends the server."""
    loop, address, errors = served
    assert request(loop, address, '/fault') == b''
    assert [type(error) for error in errors] == [KeyError]
    assert request(loop, address).endswith(b'small')


def test_no_connection_is_accepted_in_a_tight_loop(served, monkeypatch):
    """Guards against a process that spins while it has no descriptors left."""
    loop, address, errors = served
    monkeypatch.setattr(streams, 'ACCEPT_RETRY_SECONDS', 0.05)

    class Exhausted:
        """Listening socket of a process without descriptors."""

        def accept(self):
            raise OSError(24, 'Too many open files')

        def fileno(self):
            return -1

    exhausted = Exhausted()
    added = []
    monkeypatch.setattr(loop, 'remove', lambda watched: None)
    monkeypatch.setattr(
        loop, 'add_reader', lambda *watched: added.append(watched)
    )
    with pytest.raises(OSError, match='Too many'):
        streams._accept_pending(loop, exhausted, None)
    loop.call_later(0.1, loop.stop)
    loop.run_forever()
    assert [watched for watched, _ in added] == [exhausted]
