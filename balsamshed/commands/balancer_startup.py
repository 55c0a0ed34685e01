"""Starts a balancer without importing the modules of other commands."""

import sys
from importlib import import_module
from types import ModuleType

from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.findings import format_findings
from balsamshed.settings.files import SettingsRejection, read_settings


def run_balancer_process(file: str) -> int:
    """Run a balancer until it stops.

    Parameters
    ----------
    file : str
        Settings file.

    Returns
    -------
    int
        Exit status.
    """
    settings = read_settings(file)
    if isinstance(settings, SettingsRejection):
        return report_findings(settings)
    _exclude_openssl()
    # Sockets and the reactor are imported only for valid settings.
    process = import_module('balsamshed.front_ends.process')
    return int(process.run_balancer(settings) or ExitStatus.DONE)


def _exclude_openssl() -> None:
    """Make Twisted's import of OpenSSL fail.

    Twisted imports OpenSSL wherever it is installed, which takes 13 MB of the
    64 MB that a balancer may use. A balancer speaks plain HTTP only.
    """
    modules: dict[str, ModuleType | None] = sys.modules  # type: ignore
    modules.setdefault('OpenSSL', None)


def report_findings(rejection: SettingsRejection) -> int:
    """Write the findings of a settings file to standard error."""
    text = format_findings(rejection.file, rejection.findings)
    sys.stderr.write(f'{text}\n')
    return ExitStatus.BAD_INPUT
