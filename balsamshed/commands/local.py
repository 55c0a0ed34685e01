"""Commands that do not use the object store."""

import sys
from dataclasses import asdict
from pathlib import Path
from typing import Literal

from balsamshed.builds import read_build_info
from balsamshed.commands.balancer_startup import (
    report_findings,
    run_balancer_process,
)
from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.rendering import format_json, format_table
from balsamshed.commands.sessions import OutputFormat
from balsamshed.findings import Finding
from balsamshed.settings.edge import EdgeSettings, parse_edge_settings
from balsamshed.settings.files import (
    SettingsRejection,
    get_defaults,
    load_schema,
    read_settings,
)


def check_settings(file: str, *, output: OutputFormat = 'table') -> int:
    """Check a balancer's settings file.

    Parameters
    ----------
    file
        JSON file with the settings.
    output
        Output format.

    Returns
    -------
    int
        Exit status.
    """
    settings = read_settings(file)
    if isinstance(settings, SettingsRejection):
        return report_findings(settings)
    return _show_accepted(file, settings.name, output)


def check_edge_settings(file: str, *, output: OutputFormat = 'table') -> int:
    """Check the settings file of an edge balancer.

    Parameters
    ----------
    file
        JSON file with the settings.
    output
        Output format.

    Returns
    -------
    int
        Exit status.
    """
    try:
        text = Path(file).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding('$', str(error), 'a readable text file')
        return report_findings(SettingsRejection(file, (finding,)))
    settings = parse_edge_settings(text)
    if not isinstance(settings, EdgeSettings):
        return report_findings(SettingsRejection(file, settings))
    return _show_accepted(file, settings.name, output)


def show_defaults(*, output: OutputFormat = 'table') -> int:
    """Show the settings that may be left out, with their values.

    Parameters
    ----------
    output
        Output format.

    Returns
    -------
    int
        Exit status.
    """
    if output == 'json':
        _write(format_json(get_defaults()))
        return ExitStatus.DONE
    properties = load_schema()['properties']
    rows = [
        (key, value, properties[key]['description'])
        for key, value in get_defaults().items()
    ]
    for line in format_table(('KEY', 'DEFAULT', 'MEANING'), rows):
        _write(line)
    return ExitStatus.DONE


def run(*, settings: str) -> int:
    """Run a balancer in the foreground.

    Parameters
    ----------
    settings
        JSON file with the settings of the balancer.

    Returns
    -------
    int
        Exit status.
    """
    return run_balancer_process(settings)


def version(*, output: Literal['table', 'json'] = 'table') -> int:
    """Show the version of this program and what it was built from.

    Parameters
    ----------
    output
        Output format.

    Returns
    -------
    int
        Exit status.
    """
    build = read_build_info()
    if output == 'json':
        _write(format_json(asdict(build)))
    else:
        _write(
            f'balsamshed {build.version} '
            f'commit={build.commit} built_at={build.built_at}',
        )
    return ExitStatus.DONE


def _show_accepted(file: str, name: str, output: OutputFormat) -> int:
    if output == 'json':
        _write(format_json({'file': file, 'name': name}))
    else:
        _write(f'{file}: settings of balancer {name}, no findings')
    return ExitStatus.DONE


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
