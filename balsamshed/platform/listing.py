"""List requests to the platform's store, and their response pages."""

import re
from collections.abc import Mapping
from typing import Any, Final

from balsamshed.edge.effects import ReadSource
from balsamshed.front_ends.source_reader import ListPage
from balsamshed.platform.documents import decode_list
from balsamshed.store.polling import Source
from balsamshed.store.revisions import (
    MAX_ERA,
    MAX_NUMBER,
    combine_revision,
)

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


def decode_page(
    body: bytes, headers: Mapping[str, str] = _NO_HEADERS
) -> ListPage | None:
    """Decode the response to a list request; None if it is malformed.

    An object that cannot be read costs only itself; see `decode_list`.

    Parameters
    ----------
    body : bytes
        JSON document.
    headers : mapping of str to str
        Headers by name in lower case. A store without eras names none.
    """
    era = _decode_era(headers.get(_ERA_HEADER, '0'))
    items: list[Any] = []
    frame = decode_list(body, items.append)
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


def _find_last_name(items: list[Any]) -> str:
    """Return the name after which the next page starts; empty without one."""
    # What stands behind an object without a known end may be a part of it.
    return next(filter(None, map(get_object_name, reversed(items))), '')


def get_object_name(item: object) -> str:
    """Return the name of a stored object; empty if it has none."""
    meta = item.get('meta') if isinstance(item, Mapping) else None
    name = meta.get('name') if isinstance(meta, Mapping) else None
    return name if isinstance(name, str) else ''


def get_object_revision(item: object) -> int:
    """Return the revision of an object's last change; -1 if it has none."""
    return _get_revision(item, 'rev')


def get_creation_revision(item: object) -> int:
    """Return the revision of an object's creation; -1 if it has none."""
    return _get_revision(item, 'createRev')


def _get_revision(item: object, field: str) -> int:
    meta = item.get('meta') if isinstance(item, Mapping) else None
    revision = meta.get(field) if isinstance(meta, Mapping) else None
    return revision if isinstance(revision, int) else -1


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
