"""Entry point of an edge balancer on the platform."""

import os
import sys
from pathlib import Path
from typing import Final

from balsamshed.findings import format_findings
from balsamshed.front_ends.loop import create_reactor
from balsamshed.settings.edge import EdgeSettings, parse_edge_settings

#: Holds the path of the settings file, filled in from our template.
SETTINGS_VARIABLE: Final = 'BALSAMSHED_BOOT'
_BAD_INPUT: Final = 2


def run_on_platform() -> int:
    """Run an edge balancer with the settings that the platform wrote.

    Returns
    -------
    int
        Exit status.
    """
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        text = Path(path).read_text('utf-8')
    except OSError as error:
        sys.stderr.write(f'{SETTINGS_VARIABLE}={path}: {error.strerror}\n')
        return _BAD_INPUT
    settings = parse_edge_settings(text)
    if not isinstance(settings, EdgeSettings):
        sys.stderr.write(f'{format_findings(path, settings)}\n')
        return _BAD_INPUT
    reactor = create_reactor()
    # Protocols may only be imported once the reactor is installed.
    from balsamshed.front_ends.edge_process import run_edge
    from balsamshed.platform.wire import create_wire_format

    run_edge(settings, create_wire_format(), reactor)
    return 0
