"""Stand-in for the platform's metadata store, with faults.

A store that comes back from an older copy gives revisions out again; each
response names its era, which is one higher then. The store lists the objects
of a kind in pages and increments one revision with each change, as the
platform's page on the store describes. Reads that may be stale are served from
a replica, which may lag. The store runs in the event loop of the test.
"""

import json
from asyncio import AbstractEventLoop, BaseTransport, Protocol, Server
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final, cast
from urllib.parse import parse_qs, urlsplit

from balsamshed.front_ends.http_server import (
    HttpServerConnection,
    RequestHandler,
    ServerResponse,
)
from balsamshed.front_ends.streams import Transport

#: Size at which a page of a list ends, unless it has a single object.
MAX_PAGE_BYTES: Final = 1_000_000

_PREFIX: Final = '/v1/objects/'


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Objects at one revision.

    Parameters
    ----------
    revision : int
        Revision of the store when the snapshot was taken.
    objects_by_kind : dict
        Objects by kind and name.
    era : int
        Era of the store when the snapshot was taken.
    """

    revision: int
    objects_by_kind: dict[str, dict[str, Any]]
    era: int


@dataclass(slots=True)
class MetadataStore:
    """State of the store.

    Attributes
    ----------
    revision : int
        Incremented with each change.
    page_size : int
        Maximum number of objects in a page.
    response_status : int
        HTTP status of every response; other than 200 during an outage.
    objects_by_kind : dict
        Objects by kind and name.
    replica : Snapshot or None
        Snapshot that serves reads that may be stale; None while the replica
        is up to date.
    era : int
        Number of times that the store has started from a copy.
    call_count : int
        Number of calls received.
    calls_by_kind : Counter of str
        Number of calls by the kind of object.
    """

    revision: int = 1
    page_size: int = 50
    response_status: int = 200
    objects_by_kind: dict[str, dict[str, Any]] = field(default_factory=dict)
    replica: Snapshot | None = None
    era: int = 1
    call_count: int = 0
    calls_by_kind: Counter[str] = field(default_factory=Counter)


def put_object(store: MetadataStore, kind: str, name: str, spec: Any) -> None:
    """Create or replace an object; bytes as its spec are listed as they are."""
    store.revision += 1
    store.objects_by_kind.setdefault(kind, {})[name] = {
        'meta': {'name': name, 'rev': store.revision},
        'spec': spec,
        'status': None,
    }


def delete_object(store: MetadataStore, kind: str, name: str) -> None:
    """Delete an object."""
    store.revision += 1
    del store.objects_by_kind[kind][name]


def take_snapshot(store: MetadataStore) -> Snapshot:
    """Return a copy of the current objects."""
    objects_by_kind = {
        kind: dict(objects) for kind, objects in store.objects_by_kind.items()
    }
    return Snapshot(store.revision, objects_by_kind, store.era)


def restore_snapshot(store: MetadataStore, snapshot: Snapshot) -> None:
    """Go back to a copy, and lose all changes since."""
    store.revision = snapshot.revision
    store.objects_by_kind = {
        kind: dict(objects)
        for kind, objects in snapshot.objects_by_kind.items()
    }
    store.era += 1


def handle_call(store: MetadataStore, target: str) -> ServerResponse:
    """Handle a list call."""
    store.call_count += 1
    parts = urlsplit(target)
    if store.response_status != 200 or not parts.path.startswith(_PREFIX):
        return ServerResponse(
            store.response_status if store.response_status != 200 else 404
        )
    query = parse_qs(parts.query)
    after = query.get('after', [''])[0]
    may_be_stale = query.get('serializable') == ['1']
    source = store.replica if may_be_stale and store.replica else store
    kind = parts.path.removeprefix(_PREFIX)
    store.calls_by_kind[kind] += 1
    objects = source.objects_by_kind.get(kind, {})
    names = sorted(name for name in objects if name > after)
    page = _select_page(store, [objects[name] for name in names])
    body = b'{"items":[%s],"hasMore":%s,"currentRev":%d}' % (
        b','.join(page),
        json.dumps(len(page) < len(names)).encode(),
        source.revision,
    )
    return ServerResponse(
        200,
        body,
        'application/json',
        (('Store-Era', str(source.era)),),
    )


def _select_page(
    store: MetadataStore, objects: list[dict[str, Any]]
) -> list[bytes]:
    """Return the encoded objects of the first page of a list."""
    page: list[bytes] = []
    size = 0
    for listed in objects[: store.page_size]:
        encoded = _encode_object(listed)
        size += len(encoded)
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(encoded)
    return page


def _encode_object(listed: dict[str, Any]) -> bytes:
    if not isinstance(listed['spec'], bytes):
        return json.dumps(listed).encode()
    meta = json.dumps(listed['meta']).encode()
    return b'{"meta":%s,"spec":%s,"status":null}' % (meta, listed['spec'])


class _StoreConnection(Protocol):
    """Connection of a client on an asyncio loop."""

    def __init__(self, handle_request: RequestHandler) -> None:
        self._connection = HttpServerConnection(handle_request)

    def connection_made(self, transport: BaseTransport) -> None:
        self._connection.connection_made(cast(Transport, transport))

    def data_received(self, data: bytes) -> None:
        self._connection.data_received(data)


async def serve_store(
    store: MetadataStore,
    loop: AbstractEventLoop,
    host: str,
    port: int,
) -> Server:
    """Listen for calls on a TCP port."""
    return await loop.create_server(
        lambda: _StoreConnection(lambda target: handle_call(store, target)),
        host,
        port,
    )
