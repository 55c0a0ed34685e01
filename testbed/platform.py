"""Stand-in for the platform: object API and VM list, held in memory.

``docs/design.md`` describes the calls under ``/v1``. Tests use the control
calls, which the faults do not affect: ``POST /faults``, ``PUT /vms`` and
``GET /counters``. ``python -m testbed.platform --help`` lists the options.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, replace
from typing import Any, Final
from urllib.parse import unquote

import defopt
from twisted.internet import reactor

from testbed.faults import change_faults
from testbed.http_api import (
    InvalidBody,
    RequestHandler,
    answer_json,
    build_query_handler,
    build_router,
    build_update_handler,
    listen_http,
    read_json,
)
from testbed.programs import run_until_stopped

#: Maximum size of the body of an object.
MAX_BODY_BYTES: Final = 1_000_000
#: Maximum timeout of a watch.
MAX_WATCH_MS: Final = 60_000

_OBJECTS_PATH: Final = '/v1/objects'


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of an object.

    Parameters
    ----------
    key : str
        Key of the object.
    version : int
        Revision of the store after the write of this version.
    body : object
        JSON document.
    """

    key: str
    version: int
    body: object


@dataclass(frozen=True, slots=True)
class Conflict:
    """Sentinel for a write that expected another version.

    Parameters
    ----------
    version : int
        Stored version; zero if the object does not exist.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of the platform.

    Parameters
    ----------
    outage : bool
        Answer every call with 503, including pending watches.
    delay_ms : float
        Delay before each call is handled.
    lose_write_responses : int
        Number of further writes that take effect but get no response.
    stale_reads : bool
        Answer reads and lists from a snapshot taken when the fault was set.
    silent_watches : bool
        Never answer the watches that are pending or arrive during the fault.
    compacted : bool
        Answer 410 to watches that start before the revision at which the
        fault was set.
    """

    outage: bool = False
    delay_ms: float = 0
    lose_write_responses: int = 0
    stale_reads: bool = False
    silent_watches: bool = False
    compacted: bool = False


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Objects at one revision.

    Parameters
    ----------
    revision : int
        Highest version of any object.
    objects : mapping of str to StoredObject
        Objects by key.
    """

    revision: int
    objects: Mapping[str, StoredObject]


@dataclass(eq=False, slots=True)
class Watch:
    """A pending watch.

    Attributes
    ----------
    request : object
        Request that the watch answers.
    prefix : str
        Prefix of the watched keys.
    since : int
        Revision after which the client wants changes.
    is_silent : bool
        Whether the watch is never answered, even after the fault has ended.
    timer : object
        Timer of its timeout.
    """

    request: Any
    prefix: str
    since: int
    is_silent: bool = False
    timer: Any = None


@dataclass(slots=True)
class Platform:
    """State of the platform.

    Attributes
    ----------
    revision : int
        Highest version of any object so far.
    objects : dict of str to StoredObject
        Newest version of each object.
    watches : list of Watch
        Pending watches.
    faults : Faults
        Current faults.
    stale_snapshot : Snapshot or None
        Snapshot that serves reads and lists while they are stale.
    oldest_revision : int
        Watches that start at earlier revisions are answered with 410.
    vms : list of object
        VM list in the form of the response.
    vm_lag_seconds : float
        Time until a new VM list becomes visible.
    call_counters : Counter of str
        Number of calls by kind, and of special outcomes such as conflicts.
    """

    revision: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    watches: list[Watch] = field(default_factory=list)
    faults: Faults = Faults()
    stale_snapshot: Snapshot | None = None
    oldest_revision: int = 0
    vms: list[object] = field(default_factory=list)
    vm_lag_seconds: float = 0
    call_counters: Counter[str] = field(default_factory=Counter)


def write_object(
    platform: Platform,
    key: str,
    expected_version: int,
    body: object,
) -> StoredObject | Conflict:
    """Write an object if its version is the expected one.

    Parameters
    ----------
    platform : Platform
        Changed in place.
    key : str
        Key of the object.
    expected_version : int
        Version that the writer expects; zero if the object must not exist.
    body : object
        JSON document.

    Returns
    -------
    StoredObject or Conflict
        The new version of the object, or the conflicting version.
    """
    stored = platform.objects.get(key)
    stored_version = stored.version if stored else 0
    if stored_version != expected_version:
        return Conflict(stored_version)
    platform.revision += 1
    written = StoredObject(key, platform.revision, body)
    platform.objects[key] = written
    return written


def list_objects(
    snapshot: Snapshot,
    prefix: str,
    since: int = 0,
) -> dict[str, object]:
    """Build the response to a list or watch call.

    Parameters
    ----------
    snapshot : Snapshot
        Objects to select from.
    prefix : str
        Prefix of the keys.
    since : int
        Only objects with a higher version are listed.

    Returns
    -------
    dict
        Revision and objects, ordered by version.
    """
    found = sorted(
        (
            entry
            for key, entry in snapshot.objects.items()
            if key.startswith(prefix) and entry.version > since
        ),
        key=_get_version,
    )
    return {
        'revision': snapshot.revision,
        'objects': [asdict(entry) for entry in found],
    }


def set_faults(platform: Platform, changes: Mapping[str, Any]) -> Faults:
    """Change the named faults and keep the others.

    Parameters
    ----------
    platform : Platform
        Changed in place.
    changes : mapping of str to object
        New values by field name of `Faults`.

    Returns
    -------
    Faults
        All current faults.

    Raises
    ------
    ValueError
        If a field name is unknown.
    """
    platform.faults = change_faults(platform.faults, changes)
    if 'stale_reads' in changes:
        platform.stale_snapshot = None
        if platform.faults.stale_reads:
            platform.stale_snapshot = Snapshot(
                platform.revision, dict(platform.objects)
            )
    if 'compacted' in changes:
        compacted = platform.faults.compacted
        platform.oldest_revision = platform.revision if compacted else 0
    for watch in tuple(platform.watches):
        watch.is_silent = watch.is_silent or platform.faults.silent_watches
        if platform.faults.outage and not watch.is_silent:
            _answer_watch(platform, watch, 503, {'error': 'outage'})
    return platform.faults


def build_api(platform: Platform) -> RequestHandler:
    """Build the handler of all HTTP calls.

    Parameters
    ----------
    platform : Platform
        State that the calls read and change.

    Returns
    -------
    callable
        Handler of requests.
    """
    control = build_router(
        {
            ('POST', '/faults'): build_update_handler(
                lambda changes: asdict(set_faults(platform, changes))
            ),
            ('PUT', '/vms'): build_update_handler(
                lambda document: _set_vms(platform, document)
            ),
            ('GET', '/counters'): build_query_handler(
                lambda: dict(platform.call_counters)
            ),
        }
    )

    def handle(request: Any) -> None:
        if not request.path.startswith(b'/v1/'):
            control(request)
            return
        kind = _classify_call(request)
        platform.call_counters[kind] += 1
        if platform.faults.delay_ms:
            delay_seconds = platform.faults.delay_ms / 1000
            reactor.callLater(
                delay_seconds, _dispatch_call, platform, kind, request
            )
        else:
            _dispatch_call(platform, kind, request)

    return handle


def run_platform(*, port: int, vm_lag_ms: float = 0) -> None:
    """Run the platform until SIGTERM.

    Parameters
    ----------
    port : int
        TCP port of the object API and the control calls.
    vm_lag_ms : float
        Time until a new VM list becomes visible.
    """
    platform = Platform(vm_lag_seconds=vm_lag_ms / 1000)
    listen_http(port, build_api(platform))
    run_until_stopped('platform', port=port)


def _get_version(entry: StoredObject) -> int:
    return entry.version


def _classify_call(request: Any) -> str:
    path = request.path.decode()
    if request.method == b'PUT':
        return 'write' if path.startswith(f'{_OBJECTS_PATH}/') else 'unknown'
    if request.method != b'GET':
        return 'unknown'
    if path.startswith(f'{_OBJECTS_PATH}/'):
        return 'read'
    kinds = {_OBJECTS_PATH: 'list', '/v1/watch': 'watch', '/v1/vms': 'vms'}
    return kinds.get(path, 'unknown')


def _dispatch_call(platform: Platform, kind: str, request: Any) -> None:
    if platform.faults.outage:
        platform.call_counters['outage'] += 1
        answer_json(request, 503, {'error': 'outage'})
        return
    _HANDLERS[kind](platform, request)


def _get_key(request: Any) -> str:
    return unquote(request.path.decode()).removeprefix(f'{_OBJECTS_PATH}/')


def _get_query_argument(request: Any, name: str, default: str) -> str:
    found = request.args.get(name.encode())
    return found[0].decode() if found else default


def _get_query_number(request: Any, name: str, default: int) -> int:
    text = _get_query_argument(request, name, '')
    return int(text) if text.isdecimal() else default


def _get_readable_snapshot(platform: Platform) -> Snapshot:
    return platform.stale_snapshot or Snapshot(
        platform.revision, platform.objects
    )


def _read(platform: Platform, request: Any) -> None:
    key = _get_key(request)
    found = _get_readable_snapshot(platform).objects.get(key)
    if found is None:
        answer_json(request, 404, {'error': f'object {key!r} does not exist'})
    else:
        answer_json(request, 200, asdict(found))


def _list(platform: Platform, request: Any) -> None:
    prefix = _get_query_argument(request, 'prefix', '')
    answer_json(
        request, 200, list_objects(_get_readable_snapshot(platform), prefix)
    )


def _write(platform: Platform, request: Any) -> None:
    if request.content.seek(0, 2) > MAX_BODY_BYTES:
        answer_json(
            request, 413, {'error': f'the body exceeds {MAX_BODY_BYTES} bytes'}
        )
        return
    expected = request.getHeader('If-Match') or ''
    document = read_json(request)
    if isinstance(document, InvalidBody) or not expected.isdecimal():
        error = 'a version in If-Match and a JSON object are required'
        answer_json(request, 400, {'error': error})
        return
    written = write_object(platform, _get_key(request), int(expected), document)
    if isinstance(written, Conflict):
        platform.call_counters['conflict'] += 1
        answer_json(request, 412, {'version': written.version})
        return
    _notify_watches(platform)
    _answer_write(platform, request, written)


def _answer_write(
    platform: Platform,
    request: Any,
    written: StoredObject,
) -> None:
    left = platform.faults.lose_write_responses
    if left > 0:
        platform.faults = replace(
            platform.faults, lose_write_responses=left - 1
        )
        platform.call_counters['lost_response'] += 1
        request.loseConnection()
        return
    answer_json(request, 200, {'version': written.version})


def _watch(platform: Platform, request: Any) -> None:
    since = _get_query_number(request, 'since', 0)
    silent = platform.faults.silent_watches
    if since < platform.oldest_revision and not silent:
        answer_json(request, 410, {'error': f'revision {since} is too old'})
        return
    watch = Watch(
        request, _get_query_argument(request, 'prefix', ''), since, silent
    )
    timeout_ms = min(
        _get_query_number(request, 'timeout_ms', MAX_WATCH_MS), MAX_WATCH_MS
    )
    platform.watches.append(watch)
    watch.timer = reactor.callLater(
        timeout_ms / 1000, _expire_watch, platform, watch
    )
    request.notifyFinish().addBoth(lambda _done: _remove_watch(platform, watch))
    _notify_watches(platform)


def _expire_watch(platform: Platform, watch: Watch) -> None:
    if watch.is_silent:
        return
    document: dict[str, object] = {
        'revision': platform.revision,
        'objects': [],
    }
    _answer_watch(platform, watch, 200, document)


def _notify_watches(platform: Platform) -> None:
    snapshot = Snapshot(platform.revision, platform.objects)
    for watch in tuple(platform.watches):
        if watch.since < platform.revision and not watch.is_silent:
            document = list_objects(snapshot, watch.prefix, watch.since)
            if document['objects']:
                _answer_watch(platform, watch, 200, document)


def _answer_watch(
    platform: Platform,
    watch: Watch,
    code: int,
    document: object,
) -> None:
    _remove_watch(platform, watch)
    answer_json(watch.request, code, document)


def _remove_watch(platform: Platform, watch: Watch) -> None:
    if watch in platform.watches:
        platform.watches.remove(watch)
    if watch.timer.active():
        watch.timer.cancel()


def _list_vms(platform: Platform, request: Any) -> None:
    answer_json(request, 200, {'vms': platform.vms})


def _reject_unknown_call(platform: Platform, request: Any) -> None:
    answer_json(request, 404, {'error': 'unknown call'})


def _set_vms(platform: Platform, document: dict[str, Any]) -> object:
    vms = document.get('vms')
    if not isinstance(vms, list):
        raise ValueError('"vms" must be a list')
    if platform.vm_lag_seconds:
        reactor.callLater(
            platform.vm_lag_seconds, setattr, platform, 'vms', vms
        )
    else:
        platform.vms = vms
    return {'vms': vms}


_HANDLERS: Final = {
    'read': _read,
    'list': _list,
    'write': _write,
    'watch': _watch,
    'vms': _list_vms,
    'unknown': _reject_unknown_call,
}


if __name__ == '__main__':
    defopt.run(run_platform)
