"""A small HTTP server: one function answers every request."""

from asyncio import BaseTransport, Protocol, Transport
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, cast

from httptools import HttpParserError, HttpRequestParser

_REASON_PHRASES: Final = {
    200: 'OK',
    404: 'Not Found',
    503: 'Service Unavailable',
}


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Answer to a request.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Content.
    content_type : str
        Media type of the content.
    """

    status: int
    body: bytes = b''
    content_type: str = 'text/plain; charset=utf-8'


#: Returns the answer for a request target: a path, perhaps with a query.
RequestHandler = Callable[[str], ServerResponse]


class HttpServerConnection(Protocol):
    """One connection; requests are answered in order.

    Parameters
    ----------
    handle_request : callable
        Takes the target of a request.
    """

    def __init__(self, handle_request: RequestHandler) -> None:
        """Keep the function that answers."""
        self._handle_request = handle_request
        self._parser = HttpRequestParser(self)
        self._url = b''
        self._transport: Transport

    def connection_made(self, transport: BaseTransport) -> None:
        """Keep the connection; called by the loop."""
        self._transport = cast(Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            # Whatever this is, it is no request.
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        """Collect the target; called by the parser, perhaps in parts."""
        self._url += url

    def on_message_complete(self) -> None:
        """Answer the request; called by the parser."""
        target = self._url.decode('ascii', 'replace')
        self._url = b''
        keeps_alive = self._parser.should_keep_alive()
        self._transport.write(
            _format_response(self._handle_request(target), keeps_alive)
        )
        if not keeps_alive:
            self._transport.close()


def _format_response(response: ServerResponse, keeps_alive: bool) -> bytes:
    reason = _REASON_PHRASES.get(response.status, '')
    connection = 'keep-alive' if keeps_alive else 'close'
    head = (
        f'HTTP/1.1 {response.status} {reason}\r\n'
        f'Content-Type: {response.content_type}\r\n'
        f'Content-Length: {len(response.body)}\r\n'
        f'Connection: {connection}\r\n\r\n'
    )
    return head.encode('ascii') + response.body
