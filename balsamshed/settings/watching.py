"""Detection of changes to a settings file while a process runs."""

import os
from collections.abc import Callable


def create_change_reader(path: str) -> Callable[[], str | None]:
    """Return a function that re-reads a file after a change.

    Parameters
    ----------
    path : str
        Path of the file; its present state counts as read.

    Returns
    -------
    callable
        Returns the text of the file if the file has changed since the last
        successful read, and None if it has not or cannot be read.
    """
    last_identity = _get_file_identity(path)

    def read_change() -> str | None:
        nonlocal last_identity
        identity = _get_file_identity(path)
        if identity is None or identity == last_identity:
            return None
        try:
            # Importing ``pathlib`` would make the start a tenth slower.
            with open(path, encoding='utf-8') as changed:
                text = changed.read()
        except (OSError, UnicodeDecodeError):
            # The file is being replaced; the next call tries again.
            return None
        last_identity = identity
        return text

    return read_change


def _get_file_identity(path: str) -> tuple[int, int, int] | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_ino, status.st_size, status.st_mtime_ns
