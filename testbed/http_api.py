"""HTTP servers with JSON bodies for the stand-ins."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

#: Answers one request, at once or later.
RequestHandler = Callable[[Any], None]
#: Handlers by method and path.
Routes = Mapping[tuple[str, str], RequestHandler]


@dataclass(frozen=True, slots=True)
class InvalidBody:
    """Sentinel for a request body that is not a JSON object.

    Parameters
    ----------
    reason : str
        What is wrong with the body.
    """

    reason: str


class HandlerResource(Resource):
    """Twisted resource that passes every request to a function.

    Parameters
    ----------
    handle : callable
        Called with each request.
    """

    isLeaf = True  # noqa: N815, WPS115  (name given by Twisted)

    def __init__(self, handle: RequestHandler) -> None:
        super().__init__()
        self.handle = handle

    def render(self, request: Any) -> Any:
        """Call the handler, which finishes the request."""
        self.handle(request)
        return NOT_DONE_YET


def listen_http(port: int, handle: RequestHandler) -> Any:
    """Serve HTTP on a loopback port.

    Parameters
    ----------
    port : int
        TCP port on 127.0.0.1.
    handle : callable
        Called with each request.

    Returns
    -------
    object
        Twisted's listening port.
    """
    return reactor.listenTCP(
        port, Site(HandlerResource(handle)), interface='127.0.0.1'
    )


def build_router(routes: Routes) -> RequestHandler:
    """Build a handler that dispatches by method and path.

    Parameters
    ----------
    routes : mapping of (str, str) to callable
        Handlers by method and path.

    Returns
    -------
    callable
        Handler that answers 404 if there is no route.
    """

    def handle(request: Any) -> None:
        method, path = request.method.decode(), request.path.decode()
        found = routes.get((method, path))
        if found is None:
            answer_json(request, 404, {'error': f'no {method} on {path}'})
        else:
            found(request)

    return handle


def answer_json(request: Any, code: int, document: object) -> None:
    """Answer a request with JSON, unless the client has disconnected.

    Parameters
    ----------
    request : twisted.web.http.Request
        The request.
    code : int
        HTTP status code.
    document : object
        Body of the response, to be encoded as JSON.
    """
    # Twisted sets the channel to None when the client disconnects.
    if request.channel is None or request.finished:
        return
    request.setResponseCode(code)
    request.setHeader(b'Content-Type', b'application/json')
    request.write(json.dumps(document).encode())
    request.finish()


def read_json(request: Any) -> dict[str, Any] | InvalidBody:
    """Decode the JSON body of a request.

    Parameters
    ----------
    request : twisted.web.http.Request
        The request.

    Returns
    -------
    dict or InvalidBody
        The decoded object, or what is wrong with the body.
    """
    request.content.seek(0)
    try:
        document = json.loads(request.content.read())
    except ValueError as error:
        return InvalidBody(str(error))
    if not isinstance(document, dict):
        return InvalidBody('the body is not a JSON object')
    return document


def build_update_handler(
    apply: Callable[[dict[str, Any]], object],
) -> RequestHandler:
    """Build a handler that applies the JSON object in a request body.

    Parameters
    ----------
    apply : callable
        Takes the object and returns the body of the response; raises
        ValueError if the object is malformed.

    Returns
    -------
    callable
        Handler that answers 400 if the body is malformed.
    """

    def handle(request: Any) -> None:
        document = read_json(request)
        if isinstance(document, InvalidBody):
            answer_json(request, 400, {'error': document.reason})
            return
        try:
            applied = apply(document)
        except ValueError as error:
            answer_json(request, 400, {'error': str(error)})
            return
        answer_json(request, 200, applied)

    return handle


def build_query_handler(read: Callable[[], object]) -> RequestHandler:
    """Build a handler that answers with a JSON document.

    Parameters
    ----------
    read : callable
        Returns the body of the response, to be encoded as JSON.

    Returns
    -------
    callable
        Handler that answers 200 with the document.
    """

    def handle(request: Any) -> None:
        answer_json(request, 200, read())

    return handle
