"""Formatting and parsing of lines of key=value pairs."""

import json
import re
from collections.abc import Mapping
from typing import Final

# Printable ASCII without space, quotation mark, equals sign and backslash.
_PLAIN: Final = re.compile(r'[!#-<>-\[\]-~]+')
_PAIR: Final = re.compile(r'([a-zA-Z_]\w*)=("(?:[^"\\]|\\.)*"|[^\s"=]*)(?: |$)')


def format_line(fields: Mapping[str, object]) -> str:
    """Return one line of key=value pairs.

    Parameters
    ----------
    fields : mapping of str to object
        Keys are Python identifiers. Values are quoted as JSON strings unless
        they are plain printable ASCII, so a line never contains a newline.

    Returns
    -------
    str
        The line, without a newline.
    """
    return ' '.join(
        f'{key}={_quote(format_value(value))}' for key, value in fields.items()
    )


def parse_line(line: str) -> dict[str, str]:
    """Return the pairs of a line that `format_line` wrote.

    Parameters
    ----------
    line : str
        One line, with or without the newline.

    Returns
    -------
    dict of str to str
        Values as text.

    Raises
    ------
    ValueError
        If the line is not a sequence of key=value pairs.
    """
    text = line.removesuffix('\n')
    fields: dict[str, str] = {}
    position = 0
    while position < len(text):
        pair = _PAIR.match(text, position)
        if pair is None:
            raise ValueError(f'no key=value pair at column {position + 1}')
        key, value = pair.groups()
        fields[key] = json.loads(value) if value.startswith('"') else value
        position = pair.end()
    return fields


def format_value(value: object) -> str:
    """Return the text of a value, as `parse_line` returns it."""
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, bytes):
        return value.hex()
    return str(value)


def _quote(text: str) -> str:
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
