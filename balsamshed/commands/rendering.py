"""Formats results as tables, JSON, times and diffs."""

import difflib
import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any


def format_table(
    titles: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> list[str]:
    """Return the lines of a table with aligned columns."""
    lines = [tuple(titles), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]


def format_json(content: object) -> str:
    """Return indented JSON text with sorted keys."""
    return json.dumps(content, indent=2, sort_keys=True)


def format_time(seconds: float) -> str:
    """Return RFC 3339 text in UTC for seconds since the Unix epoch."""
    time = datetime.fromtimestamp(seconds, UTC)
    return time.isoformat(timespec='seconds').replace('+00:00', 'Z')


def format_diff(
    name: str,
    old: Mapping[str, Any] | None,
    new: Mapping[str, Any] | None,
) -> list[str]:
    """Return the lines of a unified diff of two specifications.

    Parameters
    ----------
    name : str
        ``kind/name`` of the object.
    old, new : mapping or None
        Specification before and after; None if the object does not exist.

    Returns
    -------
    list of str
        Lines without newlines; empty if the specifications are equal.
    """
    return list(
        difflib.unified_diff(
            _list_lines(old),
            _list_lines(new),
            f'{name} (in the store)' if old is not None else '/dev/null',
            f'{name} (new)' if new is not None else '/dev/null',
            lineterm='',
        )
    )


def _list_lines(spec: object) -> list[str]:
    return [] if spec is None else format_json(spec).splitlines()
