"""Settings files that change while a process runs."""

import os
from collections.abc import Callable


def create_change_reader(path: str) -> Callable[[], str | None]:
    """Return a function that reads a file again once it has changed.

    Parameters
    ----------
    path : str
        The file as it was read at the start.

    Returns
    -------
    callable
        Returns the text of the file if it is another one than at the last
        call, and None if it is not, or cannot be read at the moment.
    """
    last_identity = _get_file_identity(path)

    def read_change() -> str | None:
        nonlocal last_identity
        identity = _get_file_identity(path)
        if identity is None or identity == last_identity:
            return None
        try:
            # ``pathlib`` would add a tenth to the time of a process's start.
            with open(path, encoding='utf-8') as changed:
                text = changed.read()
        except (OSError, UnicodeDecodeError):
            # It is being replaced; the next call reads it.
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
