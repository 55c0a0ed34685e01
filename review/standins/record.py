"""Record of what was sent, answered and run."""

import time
from pathlib import Path
from typing import Any


class Record:
    """Events with their times, written to a file at the end."""

    def __init__(self, path: Path) -> None:
        """Start the record now."""
        self.path = path
        self.started_at = time.monotonic()
        self.events: list[tuple[float, str, dict[str, Any]]] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, name: str, **fields: Any) -> float:
        """Add an event and return its time."""
        now = self.now()
        self.events.append((now, name, fields))
        return now

    def select(self, name: str) -> list[tuple[float, dict[str, Any]]]:
        """Return the times and fields of the events of one name."""
        return [
            (at, fields) for at, found, fields in self.events if found == name
        ]

    def write(self, *conclusion: str) -> None:
        """Write the file: all events, then the conclusion."""
        lines = [
            f'{at:8.3f} {name} '
            + ' '.join(f'{key}={value}' for key, value in fields.items())
            for at, name, fields in self.events
        ]
        self.path.write_text('\n'.join([*lines, *conclusion]) + '\n')
