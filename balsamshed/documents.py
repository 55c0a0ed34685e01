"""Reading of JSON files, with findings for invalid JSON."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, NoReturn

from balsamshed.findings import Finding
from balsamshed.schemas import describe_value, join_json_path

#: Larger files are rejected. The store accepts objects of at most 1 MB, and a
#: file for ``apply`` may hold several of them.
MAX_FILE_BYTES: Final = 16_000_000


@dataclass(frozen=True, slots=True)
class Document:
    """A decoded JSON document.

    Parameters
    ----------
    content : object
        The decoded value.
    """

    content: Any


@dataclass(frozen=True, slots=True)
class DocumentRejection:
    """Sentinel for a file that is not a valid JSON document.

    Parameters
    ----------
    file : str
        Name of the file.
    findings : tuple of Finding
        All faults, at least one.
    """

    file: str
    findings: tuple[Finding, ...]


class _JsonObject(dict[str, Any]):
    """JSON object with a list of its duplicate keys."""

    duplicate_keys: tuple[str, ...] = ()


def read_document(path: str | Path) -> Document | DocumentRejection:
    """Read a JSON file.

    Parameters
    ----------
    path : str or Path
        The file, UTF-8.

    Returns
    -------
    Document or DocumentRejection
        The document, or the findings for an unreadable file, text that is
        not JSON (with line and column) and duplicate keys.
    """
    file = str(path)
    try:
        raw = _read_bytes(Path(path))
    except OSError as error:
        finding = Finding('file', error.strerror or '', 'a readable file')
        return DocumentRejection(file, (finding,))
    if len(raw) > MAX_FILE_BYTES:
        finding = Finding(
            'file',
            f'more than {MAX_FILE_BYTES} bytes',
            f'up to {MAX_FILE_BYTES} bytes',
        )
        return DocumentRejection(file, (finding,))
    return parse_document(file, raw)


def parse_document(file: str, raw: bytes) -> Document | DocumentRejection:
    """Decode a JSON text.

    Parameters
    ----------
    file : str
        Name of the file, for the findings.
    raw : bytes
        The text, UTF-8.

    Returns
    -------
    Document or DocumentRejection
        As for `read_document`.
    """
    try:
        content = _decode(raw)
    except json.JSONDecodeError as error:
        place = f'line {error.lineno}, column {error.colno}'
        excerpt = error.doc[error.pos : error.pos + 20]
        finding = Finding(place, describe_value(excerpt), f'JSON ({error.msg})')
        return DocumentRejection(file, (finding,))
    except UnicodeDecodeError as error:
        finding = Finding(
            f'byte {error.start}', 'invalid UTF-8', 'JSON in UTF-8'
        )
        return DocumentRejection(file, (finding,))
    except (ValueError, RecursionError) as error:
        finding = Finding('$', describe_value(str(error)), 'standard JSON')
        return DocumentRejection(file, (finding,))
    findings = tuple(_find_duplicate_keys('$', content))
    return DocumentRejection(file, findings) if findings else Document(content)


def _read_bytes(path: Path) -> bytes:
    with path.open('rb') as stream:
        return stream.read(MAX_FILE_BYTES + 1)


def _decode(raw: bytes) -> Any:
    return json.loads(
        raw.decode('utf-8-sig'),
        object_pairs_hook=_build_object,
        parse_constant=_reject_constant,
    )


def _reject_constant(text: str) -> NoReturn:
    raise ValueError(f'{text} is not a JSON number')


def _build_object(pairs: list[tuple[str, Any]]) -> _JsonObject:
    collected = _JsonObject(pairs)
    if len(collected) < len(pairs):
        keys = [key for key, _value in pairs]
        collected.duplicate_keys = tuple(
            key for key in collected if keys.count(key) > 1
        )
    return collected


def _find_duplicate_keys(place: str, content: object) -> Iterator[Finding]:
    if isinstance(content, _JsonObject):
        for key in content.duplicate_keys:
            yield Finding(
                join_json_path(place, key),
                'a duplicate key',
                'each key once',
            )
        for key, part in content.items():
            yield from _find_duplicate_keys(join_json_path(place, key), part)
    elif isinstance(content, list):
        for position, part in enumerate(content):
            yield from _find_duplicate_keys(f'{place}[{position}]', part)
