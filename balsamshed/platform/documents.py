"""Lists of objects in JSON, of which single parts may be unreadable.

Other writers can store any bytes under a name. JSON's decoder rejects a whole
list for one of its values: a number of more than 4,300 digits, deep nesting,
or text that is not UTF-8. The objects of a rejected list are therefore read
one by one, and each by its members. Only the unreadable part is lost, and the
name of its object, after which the next page starts, is kept. Where the end of
an object can't be told, the list is cut there, and the next page starts after
that object.

Large lists are read in the same way, so that only one object is held decoded. A
list is also cut at a large object, unless its reader needs it: looking for its
end takes longer, the larger it is.
"""

import json
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any, Final

#: Handles one object of a list.
ItemHandler = Callable[[Any], None]

#: Size up to which a list is decoded as a whole. Decoded, it can take 30 times
#: as much memory; of a larger one, a single object at a time is held decoded.
MAX_WHOLE_BYTES: Final = 262_144

#: Characters up to which an object is read; a sound entry has some 300.
MAX_OBJECT_SIZE: Final = 65_536
#: Limits of what is searched of an unreadable value: members of an object, and
#: tokens up to its closing bracket. A sound entry has nine members.
MAX_MEMBERS: Final = 64
MAX_TOKENS: Final = 4096

#: Nesting of an object's members that are read by their own members.
_MEMBER_LEVELS: Final = 1
_ITEMS: Final = 'items'
_META: Final = 'meta'
_SCAN_ERRORS: Final = (ValueError, RecursionError)
_STRING: Final = r'"(?:[^"\\]++|\\.)*+"'
_SPACE: Final = re.compile(r'[ \t\r\n]*+')
_EMPTY_LIST: Final = re.compile(r'\[[ \t\r\n]*+\]')
_EMPTY_OBJECT: Final = re.compile(r'\{[ \t\r\n]*+\}')
#: Name of a member with the colon behind it.
_NAME: Final = re.compile(
    rf'[ \t\r\n]*+({_STRING})[ \t\r\n]*+:[ \t\r\n]*+', re.DOTALL
)
#: A string, or a token without quotes and brackets.
_SCALAR: Final = re.compile(rf'{_STRING}|[^ \t\r\n"\\,:\[\]{{}}]++', re.DOTALL)
#: Brackets of one direction, or what stands between brackets.
_TOKEN: Final = re.compile(
    rf'[\[{{]++|[\]}}]++|(?:[^"\[\]{{}}]++|{_STRING})++', re.DOTALL
)
#: Name that each object has, so that no value of an object reaches past it.
_META_NAME: Final = f'"{_META}"'
#: Bytes that are not UTF-8, as ``surrogateescape`` decodes them.
_ESCAPED_BYTE: Final = re.compile('[\udc80-\udcff]')
#: Decodes the value at a position; returns it with the position of its end.
_scan: Final = json.JSONDecoder().raw_decode


@dataclass(frozen=True, slots=True)
class UnreadablePart:
    """Sentinel for a part of a document that cannot be decoded.

    Parameters
    ----------
    reason : str
        Name of the decoder's error.
    """

    reason: str


_UNDECODABLE_TEXT: Final = UnreadablePart(UnicodeDecodeError.__name__)


@dataclass(frozen=True, slots=True)
class ListFrame:
    """What a list holds beside its objects.

    Parameters
    ----------
    fields : mapping of str to object
        The other members of the document.
    is_cut : bool
        Whether the objects after the last one that was read are left out.
    """

    fields: Mapping[str, Any]
    is_cut: bool


@dataclass(frozen=True, slots=True)
class _Member:
    """Member of an object in the text of a list.

    Parameters
    ----------
    name : str
        Name of the member.
    content : object
        Its decoded value, or an `UnreadablePart`.
    start : int
        Position of the value.
    end : int
        Position after the value and the space behind it; -1 if it is unknown.
    """

    name: str
    content: Any
    start: int
    end: int


def decode_list(
    body: bytes, handle_item: ItemHandler, large_name: str = ''
) -> ListFrame | None:
    """Decode a list of objects, of which single parts may be unreadable.

    Parameters
    ----------
    body : bytes
        JSON object with the listed objects under ``items``.
    handle_item : callable
        Called for each listed object, with an `UnreadablePart` in place of
        each part that cannot be decoded. An object whose end can't be told is
        the last one, and may lack members.
    large_name : str, optional
        Name of the only object that may be larger than `MAX_OBJECT_SIZE` in a
        list that is read object by object.

    Returns
    -------
    ListFrame or None
        The other members of the document; None if it is malformed.
    """
    if len(body) <= MAX_WHOLE_BYTES:
        try:
            return _handle_all(json.loads(body), handle_item)
        except _SCAN_ERRORS:
            pass  # Some object is unreadable.
    text = body.decode(errors='surrogateescape')
    fields: dict[str, Any] = {}
    try:
        is_whole = _read_list(text, fields, handle_item, large_name)
    except _SCAN_ERRORS:
        is_whole = False
    if is_whole:
        return ListFrame(fields, is_cut=False)
    tail = _read_tail(text)
    return None if tail is None else ListFrame(fields | tail, is_cut=True)


def get_object_name(listed_object: Any) -> str:
    """Return the name of a listed object; empty if it has none."""
    is_mapping = isinstance(listed_object, Mapping)
    meta = listed_object.get(_META) if is_mapping else None
    name = meta.get('name') if isinstance(meta, Mapping) else None
    return name if isinstance(name, str) else ''


def _handle_all(document: Any, handle_item: ItemHandler) -> ListFrame | None:
    listed = document.pop(_ITEMS, None) if isinstance(document, dict) else None
    if not isinstance(listed, list):
        return None
    for listed_object in listed:
        handle_item(listed_object)
    return ListFrame(document, is_cut=False)


def _read_list(
    text: str,
    fields: dict[str, Any],
    handle_item: ItemHandler,
    large_name: str,
) -> bool:
    """Read a list object by object.

    Returns
    -------
    bool
        Whether the list was read up to its end.
    """
    position = _skip_space(text, 0)
    separator = ',' if _is_at(text, position, '{') else ''
    while separator == ',':
        named = _NAME.match(text, position + 1)
        if named is None:
            return False
        if named[1] == f'"{_ITEMS}"':
            position = _read_items(text, named.end(), handle_item, large_name)
        else:
            content, position = _scan(text, named.end())
            fields[named[1][1:-1]] = content
        if position < 0:
            return False
        position = _skip_space(text, position)
        separator = text[position : position + 1]
    return separator == '}' and _skip_space(text, position + 1) == len(text)


def _read_tail(text: str) -> dict[str, Any] | None:
    """Return the members behind a list that was not read up to its end."""
    # Only the list has brackets, so that its own one is the last.
    tail = text[text.rfind(']') + 1 :]
    try:
        return dict(json.loads(f'{{"{_ITEMS}":[]{tail}'))
    except _SCAN_ERRORS:
        return None


def _read_items(
    text: str,
    start: int,
    handle_item: ItemHandler,
    large_name: str,
) -> int:
    """Return the position after a list of objects; -1 if it is unknown."""
    empty = _EMPTY_LIST.match(text, start)
    if empty is not None:
        return empty.end()
    position = start
    separator = ',' if _is_at(text, start, '[') else ''
    while separator == ',':
        start = _skip_space(text, position + 1)
        listed_object, position = _read_small_item(text, start)
        if (
            position < 0
            and large_name
            and get_object_name(listed_object) == large_name
        ):
            listed_object, position = _read_item(text, start)
        handle_item(listed_object)
        if position < 0:
            return -1
        position = _skip_space(text, position)
        separator = text[position : position + 1]
    return position + 1 if separator == ']' else -1


def _read_small_item(text: str, start: int) -> tuple[Any, int]:
    """Return an object and its end; -1 if it is large or its end unknown."""
    part = text[start : start + MAX_OBJECT_SIZE]
    listed_object, size = _read_item(part, 0)
    return listed_object, start + size if size >= 0 else -1


def _read_item(text: str, start: int) -> tuple[Any, int]:
    """Return a listed object and its end; -1 if the end is unknown."""
    empty = _EMPTY_OBJECT.match(text, start)
    if empty is not None:
        return {}, empty.end()
    if not _is_at(text, start, '{'):
        return _read_value(text, start, 0)
    listed_object: dict[str, Any] = {}
    end = -1
    for member in _read_members(text, start, _MEMBER_LEVELS):
        listed_object[member.name] = member.content
        end = member.end
        if member.name == _META and member.content == _UNDECODABLE_TEXT:
            # The store wrote it, and any bytes may be in a name.
            listed_object[_META] = _scan(text, member.start)[0]
    is_whole = end >= 0 and _is_at(text, end, '}')
    return listed_object, end + 1 if is_whole else -1


def _read_value(text: str, start: int, levels: int) -> tuple[Any, int]:
    """Return a value and its end; -1 if the end is unknown."""
    try:
        content, end = _scan(text, start)
    except _SCAN_ERRORS as error:
        reason = type(error).__name__
        end = _find_end(text, start)
    else:
        if not _ESCAPED_BYTE.search(text, start, end):
            return content, end
        reason = _UNDECODABLE_TEXT.reason
    if levels and end >= 0 and _is_at(text, start, '{'):
        members = _read_members(text, start, levels - 1)
        first = tuple(islice(members, MAX_MEMBERS + 1))
        is_lost = any(_is_lost_scalar(text, member) for member in first)
        if len(first) <= MAX_MEMBERS and not is_lost:
            return {member.name: member.content for member in first}, end
    return UnreadablePart(reason), end


def _is_lost_scalar(text: str, member: _Member) -> bool:
    if member.end < 0:
        return True
    is_lost = isinstance(member.content, UnreadablePart)
    return is_lost and not _is_at(text, member.start, '[{')


def _read_members(text: str, start: int, levels: int) -> Iterator[_Member]:
    """Yield the members of an object up to the first without a known end."""
    position = start
    separator = ','
    while separator == ',':
        named = _NAME.match(text, position + 1)
        if named is None:
            yield _Member('', UnreadablePart('name'), position, -1)
            return
        content, position = _read_value(text, named.end(), levels)
        if position >= 0:
            position = _skip_space(text, position)
        yield _Member(named[1][1:-1], content, named.end(), position)
        separator = text[position : position + 1] if position >= 0 else ''


def _find_end(text: str, start: int) -> int:
    """Return the end of a value that can't be decoded; -1 if it is unknown."""
    if not _is_at(text, start, '[{'):
        scalar = _SCALAR.match(text, start)
        return scalar.end() if scalar else -1
    end = _find_closing_bracket(text, start)
    # A quote without its partner would take the next objects for strings.
    return -1 if text.find(_META_NAME, start, end) >= 0 else end


def _find_closing_bracket(text: str, start: int) -> int:
    depth = 0
    position = start
    for _ in range(MAX_TOKENS):
        token = _TOKEN.match(text, position)
        if token is None:
            return -1
        length = token.end() - position
        if _is_at(text, position, '[{'):
            depth += length
        elif _is_at(text, position, ']}'):
            depth -= length
            if depth <= 0:
                return token.end() + depth
        position = token.end()
    return -1


def _skip_space(text: str, start: int) -> int:
    space = _SPACE.match(text, start)
    return space.end() if space else start


def _is_at(text: str, position: int, characters: str) -> bool:
    """Tell whether one of some characters is at a position."""
    return position < len(text) and text[position] in characters
