"""What a built file says about itself."""

import json
from dataclasses import dataclass
from importlib.resources import files
from typing import Final

from balsamshed import __version__

#: File that a build adds to the package.
BUILD_FILE: Final = 'build.json'
#: Shown for a checkout, which no build has gone through.
UNBUILT: Final = 'unbuilt'


@dataclass(frozen=True, slots=True)
class BuildInfo:
    """Origin of the program.

    Parameters
    ----------
    version : str
        Version of the package.
    commit : str
        Commit that it was built from.
    built_at : str
        Time of the build (RFC 3339, UTC).
    """

    version: str
    commit: str
    built_at: str


def read_build_info() -> BuildInfo:
    """Return the origin of the running program."""
    path = files('balsamshed') / BUILD_FILE
    if not path.is_file():
        return BuildInfo(__version__, UNBUILT, UNBUILT)
    build = json.loads(path.read_text())
    return BuildInfo(__version__, build['commit'], build['built_at'])
