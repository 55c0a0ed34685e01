"""One HTTP connection to a server, with one request at a time.

Every request has a time limit. After a failure the connection is closed and
the next request opens a new one: a connection on which a response was lost
may stay silent for good.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from httptools import HttpParserError, HttpResponseParser
from twisted.internet.protocol import ClientFactory, Protocol

from balsamshed.settings.balancer import SocketAddress


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Content.
    """

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Sentinel for a request without a whole response.

    Parameters
    ----------
    reason : str
        ``timed_out``, ``connection_lost``, ``unreachable`` or ``malformed``.
    """

    reason: str


#: Takes the outcome of one request.
TakeOutcome = Callable[[HttpResponse | HttpFailure], None]


class HttpSession:
    """Requests to one server.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime
        Event loop.
    server : SocketAddress
        Where the server listens.
    """

    def __init__(self, reactor: Any, server: SocketAddress) -> None:
        """Keep the loop and the address; nothing is opened yet."""
        self._reactor = reactor
        self._server = server
        self._connection: _ClientConnection | None = None
        self._take_outcome: TakeOutcome | None = None
        self._timer: Any = None
        self._connector: Any = None
        self._request = b''

    def get(
        self,
        path: str,
        timeout_seconds: float,
        take_outcome: TakeOutcome,
    ) -> None:
        """Send a request; no other one may be in progress."""
        self._take_outcome = take_outcome
        self._timer = self._reactor.callLater(
            timeout_seconds,
            self.fail,
            'timed_out',
        )
        self._request = (
            f'GET {path} HTTP/1.1\r\nHost: {self._server.host}\r\n\r\n'
        ).encode('ascii')
        if self._connection is None:
            self._connect(timeout_seconds)
        else:
            self._connection.transport.write(self._request)

    def start_connection(self, connection: '_ClientConnection') -> None:
        """Send the waiting request on a connection that has opened."""
        self._connection = connection
        connection.transport.setTcpNoDelay(True)
        if self._take_outcome is not None:
            connection.transport.write(self._request)

    def finish(self, response: HttpResponse, is_reusable: bool) -> None:
        """Hand over a response."""
        if not is_reusable:
            self._close()
        self._settle(response)

    def fail(self, reason: str) -> None:
        """Give up the request in progress and its connection."""
        self._close()
        self._settle(HttpFailure(reason))

    def end_connection(self, connection: '_ClientConnection') -> None:
        """Take note that the server has closed a connection."""
        if connection is self._connection:
            self._connection = None
            self.fail('connection_lost')

    def _connect(self, timeout_seconds: float) -> None:
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: _ClientConnection(self)
        factory.clientConnectionFailed = self._note_refused
        self._connector = self._reactor.connectTCP(
            self._server.host,
            self._server.port,
            factory,
            timeout=timeout_seconds,
        )

    def _note_refused(self, connector: Any, _reason: Any) -> None:
        if connector is self._connector:
            self._connector = None
            self.fail('unreachable')

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        connector, self._connector = self._connector, None
        if connection is not None:
            connection.transport.abortConnection()
        elif connector is not None:
            connector.disconnect()

    def _settle(self, outcome: HttpResponse | HttpFailure) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        take_outcome, self._take_outcome = self._take_outcome, None
        if take_outcome is not None:
            take_outcome(outcome)


class _ClientConnection(Protocol):  # type: ignore[misc]
    def __init__(self, session: HttpSession) -> None:
        self._session = session
        self._parser = HttpResponseParser(self)
        self._body: list[bytes] = []

    def connectionMade(self) -> None:
        self._session.start_connection(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self._session.fail('malformed')

    def connectionLost(self, reason: Any = None) -> None:
        self._session.end_connection(self)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        response = HttpResponse(
            self._parser.get_status_code(),
            b''.join(self._body),
        )
        is_reusable = self._parser.should_keep_alive()
        self._parser = HttpResponseParser(self)
        self._body = []
        self._session.finish(response, is_reusable)
