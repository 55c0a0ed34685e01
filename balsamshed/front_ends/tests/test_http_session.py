"""Tests of the HTTP client of edge balancers."""

import socket
import time
from contextlib import contextmanager
from threading import Thread

import pytest

from balsamshed.front_ends.event_loop import open_loop
from balsamshed.front_ends.http_session import (
    HttpFailure,
    HttpResponse,
    HttpSession,
)
from balsamshed.settings.balancer import SocketAddress

TIMEOUT_SECONDS = 1
#: Time after which a server sends the second copy of a response.
LATE_SECONDS = 0.05


def format_response(body):
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (
        len(body),
        body,
    )


@contextmanager
def serve(respond):
    """Serve connections in a thread of their own; yields the address."""
    with socket.create_server(('127.0.0.1', 0)) as server:

        def accept():
            while True:
                try:
                    connection, _ = server.accept()
                except OSError:
                    return
                Thread(target=handle, args=(connection,), daemon=True).start()

        def handle(connection):
            with connection:
                try:
                    respond(connection)
                except OSError:
                    # The client has closed the connection.
                    return

        Thread(target=accept, daemon=True).start()
        yield SocketAddress(*server.getsockname())
        server.shutdown(socket.SHUT_RDWR)


def fetch_paths(address, paths, pause_seconds=0.0, timeout=TIMEOUT_SECONDS):
    """Return the outcomes of requests that follow each other."""
    outcomes = []
    remaining = list(paths)
    with open_loop() as loop:
        session = HttpSession(loop, address)

        def request_next():
            if remaining:
                session.get(remaining.pop(0), timeout, handle_outcome)
            else:
                loop.stop()

        def handle_outcome(outcome):
            outcomes.append(outcome)
            if pause_seconds:
                loop.call_later(pause_seconds, request_next)
            else:
                request_next()

        request_next()
        loop.run_forever()
        session.close()
    return outcomes


def read_path(connection):
    """Return the path of the next request; raises OSError at the end."""
    head = b''
    while not head.endswith(b'\r\n\r\n'):
        received = connection.recv(1000)
        if not received:
            raise ConnectionResetError
        head += received
    return head.split()[1]


def respond_twice(connection):
    """Answer each request twice, at once and late."""
    while True:
        path = read_path(connection)
        connection.sendall(format_response(path))
        time.sleep(LATE_SECONDS)
        connection.sendall(format_response(path))


def respond_twice_at_once(connection):
    """Answer each request with two copies in one segment."""
    while True:
        connection.sendall(format_response(read_path(connection)) * 2)


@pytest.mark.parametrize('respond', [respond_twice, respond_twice_at_once])
@pytest.mark.parametrize('pause_seconds', [0, LATE_SECONDS / 2])
def test_second_copy_of_a_response_reaches_no_other_request(
    respond, pause_seconds
):
    """Guards against a request that gets the response to the one before."""
    with serve(respond) as address:
        outcomes = fetch_paths(address, ('/a', '/b', '/c'), pause_seconds)
    assert [outcome.body for outcome in outcomes] == [b'/a', b'/b', b'/c']


def respond_with_garbage(connection):
    """Answer the first request with bytes that are no HTTP, the others well."""
    path = read_path(connection)
    is_first = path == b'/a'
    connection.sendall(b'garbage\r\n' if is_first else format_response(path))


def test_malformed_response_fails_its_own_request_only():
    """Guards against a session that stops after a malformed response."""
    with serve(respond_with_garbage) as address:
        first, second = fetch_paths(address, ['/a', '/b'])
    assert first == HttpFailure('malformed')
    assert second == HttpResponse(200, b'/b')


def respond_never(connection):
    """Read requests without an answer."""
    while connection.recv(1000):
        pass


def test_silent_server_fails_the_request_in_time():
    """Guards against a request that waits for a connection gone silent."""
    with serve(respond_never) as address:
        (outcome,) = fetch_paths(address, ['/a'], timeout=0.1)
    assert outcome == HttpFailure('timed_out')


def close_after_request(connection):
    """Close the connection instead of an answer."""
    read_path(connection)


def test_closed_connection_fails_the_request_at_once():
    """Guards against a request that waits although its answer cannot come."""
    with serve(close_after_request) as address:
        (outcome,) = fetch_paths(address, ['/a'])
    assert outcome == HttpFailure('connection_lost')


def test_closed_port_fails_the_request_at_once():
    """Guards against a request that waits for a server that is not there."""
    with serve(respond_never) as address:
        closed = address
    (outcome,) = fetch_paths(closed, ['/a'])
    assert outcome == HttpFailure('unreachable')


def send_slowly(connection):
    """Answer with a large body in many parts."""
    read_path(connection)
    for start in range(0, len(LARGE_RESPONSE), 50_000):
        connection.sendall(LARGE_RESPONSE[start : start + 50_000])


LARGE_BODY = b'x' * 2_000_000
LARGE_RESPONSE = format_response(LARGE_BODY)


def test_large_response_arrives_whole():
    """Guards against a response that ends where the first read ended."""
    with serve(send_slowly) as address:
        (outcome,) = fetch_paths(address, ['/a'], timeout=5)
    assert outcome == HttpResponse(200, LARGE_BODY)


def respond_in_part(connection):
    """Send the first bytes of a response and nothing more."""
    read_path(connection)
    connection.sendall(format_response(b'x' * 1000)[:500])
    time.sleep(TIMEOUT_SECONDS)


def test_failed_request_tells_how_much_had_arrived():
    """Guards against logs in which a silent server looks like a slow one."""
    with serve(respond_in_part) as address:
        (outcome,) = fetch_paths(address, ('/a',), timeout=0.2)
    assert outcome == HttpFailure('timed_out')
    assert outcome.received_bytes == 500


def respond_slowly(connection):
    """Send a response in parts that each arrive within the time limit."""
    read_path(connection)
    response = format_response(b'x' * 60_000)
    for start in range(0, len(response), 10_000):
        connection.sendall(response[start : start + 10_000])
        time.sleep(0.1)


def test_response_that_advances_is_not_given_up():
    """Guards against large responses that never arrive over a small link."""
    with serve(respond_slowly) as address:
        (outcome,) = fetch_paths(address, ('/a',), timeout=0.25)
    assert outcome == HttpResponse(200, b'x' * 60_000)


def respond_bytewise(connection):
    """Send single bytes for a long time."""
    read_path(connection)
    for byte in format_response(b'x' * 100):
        connection.sendall(bytes((byte,)))
        time.sleep(0.05)


def test_response_of_single_bytes_is_given_up():
    """Guards against a server that occupies the session of a balancer."""
    begin = time.monotonic()
    with serve(respond_bytewise) as address:
        (outcome,) = fetch_paths(address, ('/a',), timeout=0.25)
    assert outcome == HttpFailure('timed_out')
    assert time.monotonic() - begin < TIMEOUT_SECONDS
