"""Builds the zipapp that is shipped, and checks it.

Modules are compiled here and not at the first start, because shiv would start
worker processes for it, and a balancer must not start other processes.
"""

import json
import shutil
import sys
from collections.abc import Iterator, Mapping
from compileall import compile_dir
from datetime import UTC, datetime
from importlib.metadata import requires
from pathlib import Path
from py_compile import PycInvalidationMode
from subprocess import run  # noqa: S404  (runs pip, shiv and git)
from tempfile import TemporaryDirectory
from typing import Final

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

from balsamshed.builds import BUILD_FILE
from testbed.check_build import list_build_figures
from testbed.figures import format_figure

#: Path of the zipapp, relative to the root of the repository.
ZIPAPP_PATH: Final = Path('dist/balsamshed')

_ROOT: Final = Path(__file__).parent.parent
_ENTRY_POINT: Final = 'balsamshed.commands.program:run_program'
_DEVELOPMENT_HEADING: Final = '# Development'


def list_requirements(wanted: str, locked: str) -> list[str]:
    """Return the pinned packages that the product needs at run time.

    Parameters
    ----------
    wanted : str
        Text of requirements.in; what follows the development heading is
        ignored.
    locked : str
        Text of requirements.lock.

    Returns
    -------
    list of str
        Lines of the lock file, sorted.

    Raises
    ------
    KeyError
        If the lock file lacks a required package.
    """
    pins = {
        canonicalize_name(line.partition('==')[0]): line
        for line in locked.splitlines()
    }
    section = wanted.partition(_DEVELOPMENT_HEADING)[0].splitlines()
    pending = [line for line in section if line and not line.startswith('#')]
    needed: dict[str, str] = {}
    while pending:
        name = canonicalize_name(pending.pop())
        if name not in needed:
            needed[name] = pins[name]
            pending.extend(_list_dependencies(name))
    return sorted(needed.values())


def build_zipapp(target: Path) -> None:
    """Build the zipapp.

    Parameters
    ----------
    target : Path
        Where to write the zipapp.
    """
    pinned = list_requirements(
        (_ROOT / 'requirements.in').read_text(),
        (_ROOT / 'requirements.lock').read_text(),
    )
    target.parent.mkdir(exist_ok=True)
    with TemporaryDirectory(prefix='build-') as directory:
        stage = Path(directory) / 'site-packages'
        # Without dependencies and build isolation, pip fetches only the
        # pinned packages.
        _run_tool(
            *('pip', 'install', '--quiet', '--no-deps', '--no-compile'),
            *('--no-build-isolation', '--target', str(stage), *pinned),
        )
        _copy_package(stage)
        # Extracted files get new modification times, so the compiled files
        # must not be validated by them.
        compile_dir(
            stage,
            stripdir=str(stage),
            quiet=2,
            invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
        )
        _run_tool(
            *('shiv', '--site-packages', str(stage)),
            *('--entry-point', _ENTRY_POINT),
            *('--python', '/usr/bin/env python3'),
            *('--output-file', str(target)),
        )


def run_build() -> int:
    """Build the zipapp, check it and print the figures.

    Returns
    -------
    int
        1 if a check fails.
    """
    target = _ROOT / ZIPAPP_PATH
    build_zipapp(target)
    figures = list_build_figures(target)
    for figure in figures:
        sys.stdout.write(f'{format_figure(figure)}\n')
    return int(not all(figure.has_passed for figure in figures))


def _list_dependencies(name: str) -> Iterator[str]:
    for text in requires(name) or ():
        requirement = Requirement(text)
        marker = requirement.marker
        if marker is None or marker.evaluate({'extra': ''}):
            yield requirement.name


def _copy_package(stage: Path) -> None:
    package = stage / 'balsamshed'
    shutil.copytree(
        _ROOT / 'balsamshed',
        package,
        ignore=shutil.ignore_patterns('tests', '__pycache__'),
    )
    (package / BUILD_FILE).write_text(json.dumps(_describe_build()))


def _describe_build() -> Mapping[str, str]:
    commit = _run_git('rev-parse', 'HEAD')
    is_changed = _run_git('status', '--porcelain')
    return {
        'commit': f'{commit}-modified' if is_changed else commit,
        'built_at': datetime.now(UTC).isoformat(timespec='seconds'),
    }


def _run_git(*arguments: str) -> str:
    completed = run(  # noqa: S603
        ['git', *arguments],  # noqa: S607
        cwd=_ROOT,
        check=True,
        capture_output=True,
        text=True,
    )
    return completed.stdout.strip()


def _run_tool(module: str, *arguments: str) -> None:
    run([sys.executable, '-m', module, *arguments], cwd=_ROOT, check=True)


if __name__ == '__main__':
    sys.exit(run_build())
