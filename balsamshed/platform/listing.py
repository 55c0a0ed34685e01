"""List requests to the platform's store, and their response pages."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from balsamshed.edge.effects import ReadSource
from balsamshed.front_ends.source_reader import ListPage
from balsamshed.platform.documents import decode_list, get_object_name
from balsamshed.platform.entries import (
    EntryRejection,
    decode_endpoint,
    decode_evacuation,
    decode_routes,
)
from balsamshed.routes.table import RouteTable
from balsamshed.store.polling import Source
from balsamshed.store.revisions import (
    MAX_ERA,
    MAX_NUMBER,
    combine_revision,
)

#: Name of the object that holds the configuration.
CONFIGURATION_NAME: Final = 'main'

#: Header that tells how often the store has come back from an older copy.
_ERA_HEADER: Final = 'store-era'
_NO_HEADERS: Final[Mapping[str, str]] = {}
_DIGITS: Final = re.compile('[0-9]{1,18}')
_PLAIN_NAME: Final = re.compile('[A-Za-z0-9._-]+')
#: Kind of object that each source lists. That of the revision has no objects:
#: its list is requested only for the store's revision.
_OBJECT_KINDS: Final = {
    Source.ENDPOINTS: 'servers',
    Source.ROUTES: 'config',
    Source.REVISION: 'balsamshed',
    Source.EVACUATIONS: 'evacuations',
}


def format_list_path(effect: ReadSource, after: str) -> str:
    """Return the path that lists the objects of a source after a name."""
    options = []
    if after:
        options.append(f'after={_quote(after)}')
    if effect.may_be_stale:
        # ``serializable`` lets a replica answer, which may be seconds behind.
        options.append('serializable=1')
    query = '&'.join(options)
    path = f'/v1/objects/{_OBJECT_KINDS[effect.source]}'
    return f'{path}?{query}' if query else path


@dataclass(frozen=True, slots=True)
class ListedObject:
    """What is kept of an object of a list.

    Parameters
    ----------
    name : str
        Name of the object; empty if it has none.
    revision : int
        Revision of its last change; -1 if it has none.
    creation_revision : int
        Revision of its creation; -1 if it has none.
    content : object
        The decoded object, or its rejection; None if its source ignores it.
    """

    name: str
    revision: int
    creation_revision: int
    content: Any


def decode_page(
    source: Source,
    body: bytes,
    headers: Mapping[str, str] = _NO_HEADERS,
) -> ListPage | None:
    """Decode the response to a list request; None if it is malformed.

    An object that cannot be read costs only itself; see `decode_list`. Each
    object is reduced to a `ListedObject` as soon as it is read.

    Parameters
    ----------
    source : Source
        Source that was requested.
    body : bytes
        JSON document.
    headers : mapping of str to str
        Headers by name in lower case. A store without eras names none.
    """
    era = _decode_era(headers.get(_ERA_HEADER, '0'))
    items: list[ListedObject] = []

    def handle_item(item: object) -> None:
        items.append(list_object(source, item))

    large_name = CONFIGURATION_NAME if source is Source.ROUTES else ''
    frame = decode_list(body, handle_item, large_name)
    if frame is None:
        return None
    # ``currentRev`` is the revision of the whole store.
    revision = frame.fields.get('currentRev')
    if not isinstance(revision, int):
        return None
    if era is None or not 0 <= revision <= MAX_NUMBER:
        return None
    next_after = ''
    if frame.is_cut or frame.fields.get('hasMore') is True:
        next_after = _find_last_name(items)
        if not next_after:
            # Without the rest of the list, its objects would count as gone.
            return None
    revision = combine_revision(era, revision)
    return ListPage(tuple(items), revision, next_after)


def list_object(source: Source, item: object) -> ListedObject:
    """Return what is kept of a decoded object of a source."""
    meta = item.get('meta') if isinstance(item, Mapping) else None
    if not isinstance(meta, Mapping):
        meta = {}
    return ListedObject(
        get_object_name(item),
        _get_revision(meta, 'rev'),
        _get_revision(meta, 'createRev'),
        _CONTENT_DECODERS[source](item),
    )


def _find_last_name(items: list[ListedObject]) -> str:
    """Return the name after which the next page starts; empty without one."""
    # What stands behind an object without a known end may be a part of it.
    return next((item.name for item in reversed(items) if item.name), '')


def _get_revision(meta: Mapping[str, Any], field: str) -> int:
    revision = meta.get(field)
    return revision if isinstance(revision, int) else -1


def _decode_configuration(item: object) -> RouteTable | EntryRejection | None:
    """Decode the object that holds the configuration; None for others."""
    is_current = get_object_name(item) == CONFIGURATION_NAME
    return decode_routes(item) if is_current else None


def _ignore_content(_item: object) -> None:
    """Keep nothing of an object that only shows the store's revision."""


def _decode_era(text: str) -> int | None:
    """Return the era of a response; None if it is malformed."""
    if not _DIGITS.fullmatch(text):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


def _quote(name: str) -> str:
    if _PLAIN_NAME.fullmatch(name):
        return name
    # Other writers can choose any name. The module is slow to import.
    from urllib.parse import quote

    try:
        return quote(name, safe='', errors='surrogateescape')
    except UnicodeEncodeError:
        return quote(name, safe='', errors='surrogatepass')


_CONTENT_DECODERS: Final[Mapping[Source, Callable[[object], Any]]] = (
    MappingProxyType(
        {
            Source.ENDPOINTS: decode_endpoint,
            Source.ROUTES: _decode_configuration,
            Source.REVISION: _ignore_content,
            Source.EVACUATIONS: decode_evacuation,
        },
    )
)
