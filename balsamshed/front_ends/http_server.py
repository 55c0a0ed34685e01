"""Minimal HTTP server that passes every request to one function."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpRequestParser,
)

from balsamshed.front_ends.streams import Transport

_REASON_PHRASES: Final = {
    200: 'OK',
    404: 'Not Found',
    503: 'Service Unavailable',
}


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Response to an HTTP request.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        Response body.
    content_type : str
        Media type of the body.
    headers : tuple of (str, str)
        Further headers, by name.
    """

    status: int
    body: bytes = b''
    content_type: str = 'text/plain; charset=utf-8'
    headers: tuple[tuple[str, str], ...] = ()


#: Returns the response to a request target: a path with an optional query.
RequestHandler = Callable[[str], ServerResponse]


class HttpServerConnection:
    """Connection of a client; its requests are handled in order.

    Parameters
    ----------
    handle_request : callable
        Returns the response to a request target.
    """

    def __init__(self, handle_request: RequestHandler) -> None:
        """Create the request parser."""
        self._handle_request = handle_request
        self._parser = HttpRequestParser(self)
        self._url = b''
        self._transport: Transport

    def connection_made(self, transport: Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if they are invalid."""
        try:
            self._parser.feed_data(data)
        except HttpParserCallbackError as error:
            # The request is valid; the function that handled it failed.
            raise error.__context__ or error
        except HttpParserError:
            # The client does not speak HTTP, so it gets no response.
            self._transport.abort()

    def connection_lost(self) -> None:
        """Accept that the client has closed the connection."""

    def on_url(self, url: bytes) -> None:
        """Append to the target; the parser may pass it in parts."""
        self._url += url

    def on_message_complete(self) -> None:
        """Send the response; called by the parser for each request."""
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
    headers = ''.join(f'{name}: {text}\r\n' for name, text in response.headers)
    head = (
        f'HTTP/1.1 {response.status} {reason}\r\n'
        f'Content-Type: {response.content_type}\r\n'
        f'Content-Length: {len(response.body)}\r\n'
        f'{headers}'
        f'Connection: {connection}\r\n\r\n'
    )
    return head.encode('ascii') + response.body
