"""HTTP client with one request at a time, each on a connection of its own.

The time limit of a request applies to each wait for data and not to the whole
response: a large response over a small link would otherwise be given up and
requested again for ever, and the repetitions fill the link. A response must
also keep to a minimum rate, so that a server that sends single bytes does not
occupy the session. A connection is never used again: a late second
copy of a response would be taken for the response to the next request, and a
connection on which a response was lost may never deliver another.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpResponseParser,
)

from balsamshed.front_ends.event_loop import EventLoop, Timer
from balsamshed.front_ends.streams import Transport, open_stream
from balsamshed.settings.balancer import SocketAddress

#: Average rate that a response has to keep to after its first wait.
MIN_BYTES_PER_SECOND: Final = 16_384


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response to a request.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Response body.
    headers : mapping of str to str
        Headers by name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict, compare=False)


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Sentinel for a request without a complete response.

    Parameters
    ----------
    reason : str
        ``timed_out``, ``connection_lost``, ``unreachable``, ``malformed`` or
        ``server_changed``.
    received_bytes : int
        Bytes of the response that had arrived.
    """

    reason: str
    received_bytes: int = field(default=0, compare=False)


#: Handles the outcome of one request.
OutcomeHandler = Callable[[HttpResponse | HttpFailure], None]


class HttpSession:
    """Client of one HTTP server.

    Parameters
    ----------
    loop : EventLoop
        Event loop.
    server : SocketAddress
        Address of the server.
    """

    def __init__(self, loop: EventLoop, server: SocketAddress) -> None:
        """Create a session without a connection."""
        self._loop = loop
        self._server = server
        self._connection: _ClientConnection | None = None
        self._give_up_connecting: Callable[[], None] | None = None
        self._handle_outcome: OutcomeHandler | None = None
        self._timer: Timer | None = None
        self._timeout_seconds: float = 0
        self._started_at: float = 0
        self._received_at: float = 0
        self._received_bytes = 0

    def get(
        self,
        path: str,
        timeout_seconds: float,
        handle_outcome: OutcomeHandler,
    ) -> None:
        """Send a GET request; no other request may be in progress.

        Parameters
        ----------
        path : str
            Request target.
        timeout_seconds : float
            Longest wait for the connection, for the first and for more data.
        handle_outcome : callable
            Called once, with the outcome.
        """
        self._handle_outcome = handle_outcome
        self._received_bytes = 0
        self._timeout_seconds = timeout_seconds
        self._started_at = time.monotonic()
        self._received_at = self._started_at
        self._timer = self._loop.call_later(
            timeout_seconds, self._check_progress
        )
        request = (
            f'GET {path} HTTP/1.1\r\n'
            f'Host: {self._server.host}\r\n'
            'Connection: close\r\n\r\n'
        ).encode('ascii')
        connection = _ClientConnection(self, request)
        self._connection = connection
        self._give_up_connecting = open_stream(
            self._loop,
            self._server,
            connection,
            partial(self.fail_request, 'unreachable'),
        )

    def finish_request(
        self, connection: '_ClientConnection', response: HttpResponse
    ) -> None:
        """Deliver the first response of the current connection."""
        if connection is self._connection:
            self._close_connection()
            self._report_outcome(response)

    def fail_request(self, reason: str) -> None:
        """Fail the request in progress and close its connection."""
        received_bytes = self._received_bytes
        self._close_connection()
        self._report_outcome(HttpFailure(reason, received_bytes))

    def record_received(
        self, connection: '_ClientConnection', byte_count: int
    ) -> None:
        """Count the bytes of the response that have arrived."""
        if connection is self._connection:
            self._received_bytes += byte_count
            self._received_at = time.monotonic()

    def change_server(self, server: SocketAddress) -> None:
        """Fail the request in progress and use another server from now on."""
        if server == self._server:
            return
        self._server = server
        self.fail_request('server_changed')

    def close(self) -> None:
        """Close the connection; no request may be in progress."""
        self._close_connection()

    def handle_closed_connection(self, connection: '_ClientConnection') -> None:
        """Fail the request in progress if its connection was closed."""
        if connection is self._connection:
            self.fail_request('connection_lost')

    def handle_malformed_response(
        self, connection: '_ClientConnection'
    ) -> None:
        """Fail the request in progress if its response is malformed."""
        if connection is self._connection:
            self.fail_request('malformed')

    def _check_progress(self) -> None:
        """Fail the request in progress if its response does not advance."""
        transfer_seconds = self._received_bytes / MIN_BYTES_PER_SECOND
        due_at = self._timeout_seconds + min(
            self._received_at, self._started_at + transfer_seconds
        )
        remaining_seconds = due_at - time.monotonic()
        if remaining_seconds <= 0:
            self.fail_request('timed_out')
        else:
            self._timer = self._loop.call_later(
                remaining_seconds, self._check_progress
            )

    def _close_connection(self) -> None:
        connection = self._connection
        give_up_connecting = self._give_up_connecting
        self._connection = None
        self._give_up_connecting = None
        if give_up_connecting is not None:
            give_up_connecting()
        if connection is not None:
            connection.abort()

    def _report_outcome(self, outcome: HttpResponse | HttpFailure) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        handle_outcome = self._handle_outcome
        self._handle_outcome = None
        if handle_outcome is not None:
            handle_outcome(outcome)


class _ClientConnection:
    def __init__(self, session: HttpSession, request: bytes) -> None:
        self._session = session
        self._request = request
        self._parser = HttpResponseParser(self)
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._transport: Transport | None = None

    def connection_made(self, transport: Transport) -> None:
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._session.record_received(self, len(data))
        try:
            self._parser.feed_data(data)
        except HttpParserCallbackError as error:
            # The response is valid; a function that received it failed.
            raise error.__context__ or error
        except HttpParserError:
            self._session.handle_malformed_response(self)

    def connection_lost(self) -> None:
        self._session.handle_closed_connection(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def on_header(self, name: bytes, text: bytes) -> None:
        self._headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        response = HttpResponse(
            self._parser.get_status_code(),
            b''.join(self._body),
            self._headers,
        )
        self._session.finish_request(self, response)
