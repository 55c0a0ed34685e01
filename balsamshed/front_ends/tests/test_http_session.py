"""Tests of the HTTP client of edge balancers."""

import asyncio

import pytest

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


async def get(session, path):
    """Return the outcome of one request."""
    outcome = asyncio.get_running_loop().create_future()
    session.get(path, TIMEOUT_SECONDS, outcome.set_result)
    return await outcome


async def fetch_paths(respond, paths, pause_seconds=0.0):
    """Send requests to a server whose connections `respond` handles."""

    async def handle(reader, writer):
        try:
            await respond(reader, writer)
        finally:
            writer.close()

    server = await asyncio.start_server(handle, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    session = HttpSession(loop, SocketAddress('127.0.0.1', port))
    outcomes = []
    for path in paths:
        outcomes.append(await get(session, path))
        await asyncio.sleep(pause_seconds)
    session.close()
    server.close()
    return outcomes


async def read_path(reader):
    """Return the path of the next request; empty at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    return head.split()[1]


async def respond_twice(reader, writer):
    """Answer each request twice, at once and late."""
    while True:
        path = await read_path(reader)
        writer.write(format_response(path))
        await asyncio.sleep(LATE_SECONDS)
        writer.write(format_response(path))


async def respond_twice_at_once(reader, writer):
    """Answer each request with two copies in one segment."""
    while True:
        path = await read_path(reader)
        writer.write(format_response(path) * 2)


@pytest.mark.parametrize('respond', [respond_twice, respond_twice_at_once])
@pytest.mark.parametrize('pause_seconds', [0, LATE_SECONDS / 2])
def test_second_copy_of_a_response_reaches_no_other_request(
    respond, pause_seconds
):
    """Guards against a request that gets the response to the one before."""
    paths = ('/a', '/b', '/c')
    outcomes = asyncio.run(fetch_paths(respond, paths, pause_seconds))
    assert [outcome.body for outcome in outcomes] == [b'/a', b'/b', b'/c']


async def respond_with_garbage(reader, writer):
    """Answer the first request with bytes that are no HTTP, the others well."""
    path = await read_path(reader)
    writer.write(b'garbage\r\n' if path == b'/a' else format_response(path))


def test_malformed_response_fails_its_own_request_only():
    """Guards against a session that stops after a malformed response."""
    first, second = asyncio.run(fetch_paths(respond_with_garbage, ['/a', '/b']))
    assert first == HttpFailure('malformed')
    assert second == HttpResponse(200, b'/b')


async def respond_never(reader, writer):
    """Read requests without an answer."""
    await reader.read()


def test_silent_server_fails_the_request_in_time():
    """Guards against a request that waits for a connection gone silent."""
    (outcome,) = asyncio.run(fetch_paths(respond_never, ['/a']))
    assert outcome == HttpFailure('timed_out')
