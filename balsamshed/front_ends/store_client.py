"""HTTP client of the object API."""

import json
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

from twisted.internet import error
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.iweb import IAgent

from balsamshed.front_ends.http_client import read_body, send_request
from balsamshed.store.conditional_writes import (
    PutObject,
    PutResponse,
    ReadObject,
    ReadResponse,
    WriteOutcome,
    WriteRequest,
    WriteStep,
    decide_step,
    start_write,
)
from balsamshed.store.responses import (
    FailureReason,
    Listing,
    ObjectMissing,
    PutAccepted,
    PutConflict,
    StoreFailure,
    VmEntry,
    parse_listing,
    parse_record,
    parse_version,
    parse_vms,
)
from balsamshed.store.session import WATCH_GRACE_SECONDS

#: Time limit of a call other than a watch. The store responds in milliseconds;
#: a connection that stops responding is closed after this time.
CALL_TIMEOUT_SECONDS: Final = 2.0
#: Largest accepted response with a list, in bytes.
MAX_LIST_BYTES: Final = 4_000_000
#: Largest accepted response with one object, and largest body, in bytes.
MAX_OBJECT_BYTES: Final = 1_000_000

# Limit on the part of a response with one object that is not its body.
_RESPONSE_OVERHEAD_BYTES: Final = 2_000
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_PRECONDITION_FAILED: Final = 412
_PAYLOAD_TOO_LARGE: Final = 413
_TOO_MANY_REQUESTS: Final = 429
_UNAVAILABLE: Final = 503
_CONNECT_ERRORS: Final = (
    error.ConnectError,
    error.DNSLookupError,
    error.UnsupportedAddressFamily,
)


@dataclass(frozen=True, slots=True)
class StoreClient:
    """Client of the object API.

    Each function returns a Deferred that never fails: without a usable
    response its result is a `StoreFailure` or a `WriteFailure`.

    Parameters
    ----------
    list_objects : callable
        ``list_objects(prefix)`` gives a `Listing`.
    read_object : callable
        ``read_object(key)`` gives a `Record` or `ObjectMissing`.
    put_object : callable
        ``put_object(key, body, expected_version)`` makes one attempt and
        gives `PutAccepted` or `PutConflict`.
    write_object : callable
        ``write_object(key, body, expected_version, change_id, seconds)``
        retries, and reads the object back after lost responses, for that
        many seconds and gives a `WriteOutcome`.
    watch_objects : callable
        ``watch_objects(prefix, since, timeout_ms)`` gives a `Listing`,
        empty after the timeout. The call fails without a response
        `WATCH_GRACE_SECONDS` after the timeout.
    list_vms : callable
        ``list_vms()`` gives a tuple of `VmEntry`.
    """

    list_objects: Callable[[str], Deferred[Listing | StoreFailure]]
    read_object: Callable[[str], Deferred[ReadResponse]]
    put_object: Callable[
        [str, Mapping[str, Any], int],
        Deferred[PutResponse],
    ]
    write_object: Callable[
        [str, Mapping[str, Any], int, str, float],
        Deferred[WriteOutcome],
    ]
    watch_objects: Callable[
        [str, int, int],
        Deferred[Listing | StoreFailure],
    ]
    list_vms: Callable[[], Deferred[tuple[VmEntry, ...] | StoreFailure]]


@dataclass(frozen=True, slots=True)
class _Response:
    call: str
    code: int
    body: bytes


_Parsed = TypeVar('_Parsed')
_Exchange = Callable[..., Deferred[_Response | StoreFailure]]
_Call = Callable[..., Awaitable[Any]]


def create_store_client(
    url: str,
    agent: IAgent,
    clock: IReactorTime,
    call_timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    sample_jitter: Callable[[], float] = random.random,
) -> StoreClient:
    """Create a client of one object store.

    Parameters
    ----------
    url : str
        Address of the object API, ``http://host:port``.
    agent : IAgent
        From `create_http_agent`, or one for tests.
    clock : IReactorTime
        The reactor, or a clock for tests.
    call_timeout_seconds : float
        Time limit of each call other than a watch.
    sample_jitter : callable
        Returns a random number from 0 to 1.

    Returns
    -------
    StoreClient
        The client.
    """
    exchange = _create_exchange(url.rstrip('/'), agent, clock)
    list_objects, watch_objects, list_vms = _create_list_calls(
        exchange,
        call_timeout_seconds,
    )
    read_object, put_object = _create_object_calls(
        exchange, call_timeout_seconds
    )
    write_object = _create_write_call(
        read_object, put_object, clock, sample_jitter
    )
    return StoreClient(
        list_objects=_wrap_in_deferred(list_objects),
        read_object=_wrap_in_deferred(read_object),
        put_object=_wrap_in_deferred(put_object),
        write_object=_wrap_in_deferred(write_object),
        watch_objects=_wrap_in_deferred(watch_objects),
        list_vms=_wrap_in_deferred(list_vms),
    )


def _create_list_calls(
    exchange: _Exchange,
    call_timeout_seconds: float,
) -> tuple[_Call, _Call, _Call]:
    async def list_objects(prefix: str) -> Listing | StoreFailure:
        response = await exchange(
            'GET',
            '/v1/objects',
            call_timeout_seconds,
            MAX_LIST_BYTES,
            query={'prefix': prefix},
        )
        return _decode(response, parse_listing)

    async def watch_objects(
        prefix: str,
        since: int,
        timeout_ms: int,
    ) -> Listing | StoreFailure:
        response = await exchange(
            'GET',
            '/v1/watch',
            timeout_ms / 1000 + WATCH_GRACE_SECONDS,
            MAX_LIST_BYTES,
            query={'prefix': prefix, 'since': since, 'timeout_ms': timeout_ms},
        )
        return _decode(response, parse_listing)

    async def list_vms() -> tuple[VmEntry, ...] | StoreFailure:
        response = await exchange(
            'GET', '/v1/vms', call_timeout_seconds, MAX_LIST_BYTES
        )
        return _decode(response, parse_vms)

    return list_objects, watch_objects, list_vms


def _create_object_calls(
    exchange: _Exchange,
    call_timeout_seconds: float,
) -> tuple[_Call, _Call]:
    async def read_object(key: str) -> ReadResponse:
        response = await exchange(
            'GET',
            _format_path(key),
            call_timeout_seconds,
            MAX_OBJECT_BYTES + _RESPONSE_OVERHEAD_BYTES,
        )
        if isinstance(response, _Response) and response.code == _NOT_FOUND:
            return ObjectMissing(key)
        return _decode(response, parse_record)

    async def put_object(
        key: str,
        body: Mapping[str, Any],
        expected_version: int,
    ) -> PutResponse:
        text = json.dumps(body).encode()
        if len(text) > MAX_OBJECT_BYTES:
            return StoreFailure(
                f'PUT {_format_path(key)}',
                FailureReason.TOO_LARGE,
                f'the body has {len(text)} bytes, limit {MAX_OBJECT_BYTES}',
            )
        response = await exchange(
            'PUT',
            _format_path(key),
            call_timeout_seconds,
            _RESPONSE_OVERHEAD_BYTES,
            headers={
                'If-Match': str(expected_version),
                'Content-Type': 'application/json',
            },
            body=text,
        )
        if (
            isinstance(response, _Response)
            and response.code == _PRECONDITION_FAILED
        ):
            return _decode(response, _parse_conflict, _PRECONDITION_FAILED)
        return _decode(response, _parse_accepted)

    return read_object, put_object


def _create_write_call(
    read_object: _Call,
    put_object: _Call,
    clock: IReactorTime,
    sample_jitter: Callable[[], float],
) -> _Call:
    async def write_object(
        key: str,
        body: Mapping[str, Any],
        expected_version: int,
        change_id: str,
        seconds: float,
    ) -> WriteOutcome:
        deadline = clock.seconds() + seconds
        request = WriteRequest(key, body, expected_version, change_id, deadline)
        progress = start_write(request)
        step: WriteStep = PutObject(0)
        while isinstance(step, PutObject | ReadObject):
            if step.wait_seconds:
                await deferLater(clock, step.wait_seconds)
            if isinstance(step, ReadObject):
                response = await read_object(key)
            else:
                response = await put_object(key, body, expected_version)
            now = clock.seconds()
            step = decide_step(
                request, progress, response, now, sample_jitter()
            )
        return step

    return write_object


def _create_exchange(
    url: str,
    agent: IAgent,
    clock: IReactorTime,
) -> _Exchange:
    async def exchange_without_timeout(
        method: str,
        path: str,
        max_bytes: int,
        query: Mapping[str, Any] | None = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> _Response | StoreFailure:
        call = f'{method} {path}'
        try:
            response = await send_request(
                agent,
                method,
                f'{url}{path}{_build_query(query)}',
                headers or {},
                body,
            )
        except Exception as failed:
            return StoreFailure(call, _classify_exception(failed), str(failed))
        try:
            content = await read_body(response, max_bytes)
        except Exception as failed:
            return StoreFailure(call, FailureReason.LOST, str(failed))
        if content is None:
            detail = f'the response has more than {max_bytes} bytes'
            return StoreFailure(call, _OVERFLOW_REASONS[method], detail)
        return _Response(call, response.code, content)

    def exchange(
        method: str,
        path: str,
        timeout_seconds: float,
        max_bytes: int,
        **options: Any,
    ) -> Deferred[_Response | StoreFailure]:
        def report_timeout(_outcome: object, _seconds: float) -> StoreFailure:
            return StoreFailure(
                f'{method} {path}',
                FailureReason.TIMED_OUT,
                f'no complete response within {timeout_seconds:g} s',
            )

        pending = Deferred.fromCoroutine(
            exchange_without_timeout(method, path, max_bytes, **options),
        )
        pending.addTimeout(timeout_seconds, clock, report_timeout)
        return pending

    return exchange


def _build_query(query: Mapping[str, Any] | None) -> str:
    return f'?{urlencode(query)}' if query else ''


def _decode(
    response: _Response | StoreFailure,
    parse: Callable[[object], _Parsed | None],
    expected_code: int = _OK,
) -> _Parsed | StoreFailure:
    if isinstance(response, StoreFailure):
        return response
    if response.code != expected_code:
        reason = _classify_status(response.code)
        return StoreFailure(response.call, reason, f'status {response.code}')
    try:
        parsed = parse(json.loads(response.body))
    except (ValueError, RecursionError):
        parsed = None
    if parsed is None:
        excerpt = repr(response.body[:60])
        return StoreFailure(response.call, FailureReason.BAD_RESPONSE, excerpt)
    return parsed


def _parse_accepted(content: object) -> PutAccepted | None:
    version = _parse_put_version(content)
    return None if version is None else PutAccepted(version)


def _parse_conflict(content: object) -> PutConflict | None:
    version = _parse_put_version(content)
    return None if version is None else PutConflict(version)


def _parse_put_version(content: object) -> int | None:
    if not isinstance(content, Mapping):
        return None
    return parse_version(content.get('version'))


def _format_path(key: str) -> str:
    return f'/v1/objects/{quote(key)}'


def _classify_exception(failed: Exception) -> FailureReason:
    if isinstance(failed, _CONNECT_ERRORS):
        return FailureReason.UNREACHABLE
    return FailureReason.LOST


def _wrap_in_deferred(
    function: Callable[..., Any],
) -> Callable[..., Deferred[Any]]:
    def call(*arguments: Any) -> Deferred[Any]:
        return Deferred.fromCoroutine(function(*arguments))

    return call


def _classify_status(code: int) -> FailureReason:
    if code in _STATUS_REASONS:
        return _STATUS_REASONS[code]
    if code in _CLIENT_ERRORS:
        return FailureReason.REFUSED
    return FailureReason.BAD_RESPONSE


_CLIENT_ERRORS: Final = range(400, 500)
_STATUS_REASONS: Final = MappingProxyType(
    {
        _GONE: FailureReason.TOO_OLD,
        _PAYLOAD_TOO_LARGE: FailureReason.TOO_LARGE,
        _TOO_MANY_REQUESTS: FailureReason.OUTAGE,
        _UNAVAILABLE: FailureReason.OUTAGE,
    }
)
# A write whose response is too long may have taken effect, so it must not get
# TOO_LARGE, which means that the store refused the write.
_OVERFLOW_REASONS: Final = MappingProxyType(
    {
        'GET': FailureReason.TOO_LARGE,
        'PUT': FailureReason.BAD_RESPONSE,
    }
)
