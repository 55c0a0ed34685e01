"""HTTP requests through Twisted's agent.

Treq is not used, since it loads OpenSSL, which takes 13 MB of the 64 MB that a
balancer may use.
"""

from collections.abc import Mapping
from typing import Any, Final

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    PotentialDataLoss,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgent, IBodyProducer, IResponse
from zope.interface import implementer

#: Time limit for a new connection, in seconds.
CONNECT_TIMEOUT_SECONDS: Final = 2.0


def create_http_agent(reactor: Any) -> IAgent:
    """Create an HTTP client that opens a connection for each call.

    On a connection that is used again, a late second copy of a response would
    be taken for the response to the next call.
    """
    pool = HTTPConnectionPool(reactor, persistent=False)
    return Agent(reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_SECONDS)


def send_request(
    agent: IAgent,
    method: str,
    url: str,
    headers: Mapping[str, str],
    body: bytes | None = None,
) -> Deferred[IResponse]:
    """Send a request.

    Parameters
    ----------
    agent : IAgent
        From `create_http_agent`, or one for tests.
    method, url : str
        Method and address of the request.
    headers : mapping of str to str
        Header fields.
    body : bytes or None
        Request body.

    Returns
    -------
    Deferred of IResponse
        The response without its body; fails if there is none.
    """
    return agent.request(
        method.encode(),
        url.encode(),
        Headers({name: [field] for name, field in headers.items()}),
        None if body is None else BytesProducer(body),
    )


@implementer(IBodyProducer)
class BytesProducer:
    """Request body that is written in one call.

    Parameters
    ----------
    body : bytes
        Request body to write.
    """

    def __init__(self, body: bytes) -> None:
        """Store the body and its length in bytes."""
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the body is already written."""


class BodyCollector(Protocol):
    """Collects a response body up to a size limit."""

    def __init__(self, max_bytes: int) -> None:
        self.done: Deferred[bytes | None] = Deferred(self._cancel)
        self._remaining_bytes = max_bytes
        self._parts: list[bytes] = []

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Append received bytes; stop when they exceed the limit."""
        self._remaining_bytes -= len(received)
        if self._remaining_bytes >= 0:
            self._parts.append(received)
        else:
            self._finish(None)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Deliver the body if it is complete, else the failure."""
        if self.done.called:
            return
        if reason.check(ResponseDone, PotentialDataLoss):
            self.done.callback(b''.join(self._parts))
        else:
            self.done.errback(reason)

    def _cancel(self, _done: object) -> None:
        # A connection that has stopped responding must not return to the pool.
        if self.transport is not None:
            self.transport.loseConnection()

    def _finish(self, outcome: bytes | None) -> None:
        self._parts.clear()
        if not self.done.called:
            self.done.callback(outcome)
        if self.transport is not None:
            self.transport.loseConnection()


def read_body(response: IResponse, max_bytes: int) -> Deferred[bytes | None]:
    """Read the body of a response.

    Parameters
    ----------
    response : IResponse
        Response whose body has not been read.
    max_bytes : int
        Largest accepted body.

    Returns
    -------
    Deferred of bytes or None
        The body; None if it is too large. Fails if the connection is lost.
    """
    collector = BodyCollector(max_bytes)
    response.deliverBody(collector)
    return collector.done
