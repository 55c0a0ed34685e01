"""JSON documents of the store, of which single parts may be unreadable.

Other writers can store any bytes under a name. JSON's decoder rejects a whole
document for one of its values: a number of more than 4,300 digits, deep
nesting, or text that is not UTF-8. A rejected document is therefore split at
its brackets, so that only the unreadable part is lost.
"""

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

#: Nesting of a list of objects down to the parts of one object: the document,
#: its items, an item, and one of the item's parts.
PAGE_LEVELS: Final = 4

_DECODE_ERRORS: Final = (ValueError, RecursionError)
#: A string, or a bracket that is not part of one.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
_OPENING_BRACKETS: Final = (b'[', b'{')
_CLOSING_BRACKETS: Final = (b']', b'}')


@dataclass(frozen=True, slots=True)
class UnreadablePart:
    """Sentinel for a part of a document that cannot be decoded.

    Parameters
    ----------
    reason : str
        Name of the decoder's error.
    """

    reason: str


def decode_document(body: bytes, levels: int = PAGE_LEVELS) -> Any:
    """Decode a JSON document in which single parts may be unreadable.

    Parameters
    ----------
    body : bytes
        JSON document.
    levels : int
        Number of levels of nesting at which an unreadable document is split
        into its parts.

    Returns
    -------
    object
        The decoded document, with an `UnreadablePart` in place of each part
        that cannot be decoded; one alone if nothing can.
    """
    try:
        return json.loads(body)
    except _DECODE_ERRORS as error:
        if not levels:
            return UnreadablePart(type(error).__name__)
        return _decode_parts(body, levels)


def _decode_parts(body: bytes, levels: int) -> Any:
    """Decode a document whose parts are decoded one by one."""
    outline = bytearray()
    parts: list[Any] = []
    end = 0
    for start, stop in _find_parts(body):
        # The outline has no other lists than these placeholders.
        outline += b'%s[%d]' % (body[end:start], len(parts))
        parts.append(decode_document(body[start:stop], levels - 1))
        end = stop
    outline += body[end:]
    try:
        document = json.loads(outline)
    except _DECODE_ERRORS as error:
        return UnreadablePart(type(error).__name__)
    return _insert_parts(document, parts)


def _insert_parts(document: Any, parts: list[Any]) -> Any:
    """Replace the placeholders in the outline of a document."""

    def insert(value: Any) -> Any:
        return parts[value[0]] if isinstance(value, list) else value

    if isinstance(document, list):
        return list(map(insert, document))
    return {name: insert(value) for name, value in document.items()}


def _find_parts(body: bytes) -> Iterator[tuple[int, int]]:
    """Yield the place of each object or list directly inside the document."""
    depth = 0
    start = 0
    for match in _TOKEN.finditer(body):
        token = match[0]
        if token in _OPENING_BRACKETS:
            depth += 1
            if depth == 2:
                start = match.start()
        elif token in _CLOSING_BRACKETS:
            depth -= 1
            if depth == 1:
                yield start, match.end()
