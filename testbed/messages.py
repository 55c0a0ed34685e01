"""Line protocol between simulated callers and backend servers."""

from dataclasses import dataclass
from hashlib import sha256


@dataclass(frozen=True, slots=True)
class FeedLine:
    """Opens a feed: ``feed <id> [<service>]``.

    Parameters
    ----------
    feed_id : str
        Name of the feed, without spaces.
    service : str
        Service that the caller expects; empty if it does not name one.
    """

    feed_id: str
    service: str = ''


@dataclass(frozen=True, slots=True)
class RequestLine:
    """Sends a request: ``request <id> <service> <size> <deadline_ms>``.

    Parameters
    ----------
    request_id : str
        Name of the request, without spaces.
    service : str
        Service that the caller expects.
    size : int
        Payload of the response, in bytes.
    deadline_ms : int
        Time after its arrival in which the request may start to run.
    """

    request_id: str
    service: str
    size: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class TickLine:
    """Event on a feed: ``tick <service> <number>``.

    Parameters
    ----------
    service : str
        Service of the backend server.
    number : int
        Sequence number on the feed, from one.
    """

    service: str
    number: int


@dataclass(frozen=True, slots=True)
class DoneLine:
    """Starts a response: ``done <id> <server> <size> <checksum>``.

    Parameters
    ----------
    request_id : str
        Name of the request.
    server : str
        Name of the backend server that ran it.
    size : int
        Payload that follows, in bytes.
    checksum : str
        SHA-256 of the payload in hexadecimal digits.
    """

    request_id: str
    server: str
    size: int
    checksum: str


@dataclass(frozen=True, slots=True)
class ExpiredLine:
    """Rejects a request after its deadline: ``expired <id>``.

    Parameters
    ----------
    request_id : str
        Name of the request.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class UnknownLine:
    """Sentinel for a line that is not valid.

    Parameters
    ----------
    reason : str
        Why the line is not valid.
    """

    reason: str


Line = FeedLine | RequestLine | TickLine | DoneLine | ExpiredLine | UnknownLine


def parse_line(line: bytes) -> Line:
    """Decode a line.

    Parameters
    ----------
    line : bytes
        The line, with or without its line break.

    Returns
    -------
    Line
        Decoded line, or the sentinel `UnknownLine`.
    """
    parsed: Line = UnknownLine(f'unknown line: {line[:80]!r}')
    match line.decode(errors='replace').split():
        case ['feed', feed_id]:
            parsed = FeedLine(feed_id)
        case ['feed', feed_id, service]:
            parsed = FeedLine(feed_id, service)
        case ['request', request_id, service, size, deadline_ms] if (
            size.isdecimal() and deadline_ms.isdecimal()
        ):
            parsed = RequestLine(
                request_id, service, int(size), int(deadline_ms)
            )
        case ['tick', service, number] if number.isdecimal():
            parsed = TickLine(service, int(number))
        case ['done', request_id, server, size, checksum] if size.isdecimal():
            parsed = DoneLine(request_id, server, int(size), checksum)
        case ['expired', request_id]:
            parsed = ExpiredLine(request_id)
    return parsed


def format_line(*words: object) -> bytes:
    """Encode words as a line."""
    return '{0}\n'.format(' '.join(map(str, words))).encode()


def build_payload(request_id: str, size: int) -> bytes:
    """Build the payload of a response.

    Parameters
    ----------
    request_id : str
        Name of the request; each has a different payload, so that a response
        to another request is detected.
    size : int
        Length of the payload in bytes.

    Returns
    -------
    bytes
        Payload, the same for each run of the request.
    """
    block = sha256(request_id.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def compute_payload_checksum(payload: bytes) -> str:
    """Return the SHA-256 of a payload in hexadecimal digits."""
    return sha256(payload).hexdigest()
