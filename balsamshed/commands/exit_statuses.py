"""Exit statuses of the command line."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command, for use in scripts."""

    #: The command succeeded.
    DONE = 0
    #: The store could not be reached, or a time limit passed.
    FAILED = 1
    #: An argument, a file or an object has findings; nothing was changed.
    BAD_INPUT = 2
    #: Another change was written first; this one did not take effect.
    CONFLICT = 3
