"""Stand-in for the platform's metadata store.

It keeps the text of each object as it was written and lists it unchanged.
"""

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

from standins.waits import Waits

_PREFIX = '/v1/objects/'
_PAGE_OBJECTS = 500
_ANSWER_SECONDS = 0.004


@dataclass
class StoredObject:
    """Text of an object's ``spec`` and the revisions of the object."""

    spec: bytes
    revision: int
    created: int


@dataclass
class Store:
    """Objects by kind and name, with one revision counter."""

    revision: int = 1
    kinds: dict[str, dict[str, StoredObject]] = field(default_factory=dict)
    calls: int = 0

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object; bytes are stored as they are."""
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known.spec == text:
            return self.revision
        self.revision += 1
        created = self.revision if known is None else known.created
        objects[name] = StoredObject(text, self.revision, created)
        return self.revision

    def put_entry(self, name: str, entry: dict[str, object]) -> int:
        """Write an endpoint's entry; its ``sequence`` alone changes nothing."""
        known = self.kinds.get('servers', {}).get(name)
        if known is not None:
            try:
                last = json.loads(known.spec)
            except (ValueError, RecursionError):
                last = {}
            if {**last, 'sequence': 0} == {**entry, 'sequence': 0}:
                return self.revision
        return self.put('servers', name, entry)

    def delete(self, kind: str, name: str) -> int:
        """Remove an object, if there is one."""
        if self.kinds.get(kind, {}).pop(name, None) is not None:
            self.revision += 1
        return self.revision

    def answer(self, target: str) -> tuple[int, bytes]:
        """Return the status and the body for a GET call."""
        self.calls += 1
        parts = urlsplit(target)
        if not parts.path.startswith(_PREFIX):
            return 404, b'{}'
        kind, _, name = parts.path.removeprefix(_PREFIX).partition('/')
        objects = self.kinds.get(kind, {})
        if name:
            found = objects.get(unquote(name))
            if found is None:
                return 404, b'{}'
            return 200, _format_object(unquote(name), found)
        query = parse_qs(parts.query)
        if 'watch' in query:
            return 410, b'{}'
        after = query.get('after', [''])[0]
        names = sorted(name for name in objects if name > after)
        items = [
            _format_object(name, objects[name])
            for name in names[:_PAGE_OBJECTS]
        ]
        has_more = json.dumps(len(names) > _PAGE_OBJECTS).encode()
        return 200, b'{"items":[%s],"hasMore":%s,"currentRev":%d}' % (
            b','.join(items),
            has_more,
            self.revision,
        )


async def serve(
    store: Store, host: str, port: int, caller: str, waits: Waits
) -> asyncio.Server:
    """Serve the store to one machine, at an address of its own."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                method, target, _ = line.decode('latin-1').split(' ', 2)
                wait = 2 * waits.pass_link(caller)
                await asyncio.sleep(_ANSWER_SECONDS + wait)
                status, body = 405, b'{}'
                if method == 'GET':
                    status, body = store.answer(target)
                writer.write(
                    b'HTTP/1.1 %d Status\r\n'
                    b'Content-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(body)) + body
                )
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port)


def _format_object(name: str, found: StoredObject) -> bytes:
    meta = {
        'name': name,
        'rev': found.revision,
        'createRev': found.created,
        'finalizers': [],
        'deleting': False,
    }
    return b'{"meta":%s,"spec":%s,"status":null}' % (
        json.dumps(meta).encode(),
        found.spec,
    )
