"""Version and origin of the running program."""

import json
from dataclasses import dataclass
from importlib.resources import files
from typing import Final

from balsamshed import __version__

#: File that the build adds to the package.
BUILD_FILE: Final = 'build.json'
#: Shown in place of commit and time for a checkout, which has no build file.
UNBUILT: Final = 'unbuilt'


@dataclass(frozen=True, slots=True)
class BuildInfo:
    """Version and origin of the program.

    Parameters
    ----------
    version : str
        Version of the package.
    commit : str
        Commit of the build.
    built_at : str
        Time of the build (RFC 3339, UTC).
    """

    version: str
    commit: str
    built_at: str


def read_build_info() -> BuildInfo:
    """Return version and origin of the running program."""
    path = files('balsamshed') / BUILD_FILE
    if not path.is_file():
        return BuildInfo(__version__, UNBUILT, UNBUILT)
    build = json.loads(path.read_text())
    return BuildInfo(__version__, build['commit'], build['built_at'])
