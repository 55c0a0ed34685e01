"""Entry point of an edge balancer on the platform."""

import gc
import os
import sys
from typing import Final

from balsamshed.findings import format_findings
from balsamshed.front_ends.datagram_socket import bind_datagram_socket
from balsamshed.front_ends.event_loop import open_loop
from balsamshed.platform.settings import translate_settings
from balsamshed.settings.edge import EdgeSettings, parse_edge_settings
from balsamshed.settings.watching import create_change_reader

#: Environment variable with the path of the settings file, which the platform
#: fills in from the template of this product.
SETTINGS_PATH_VARIABLE: Final = 'BALSAMSHED_BOOT'
_EXIT_BAD_INPUT: Final = 2


def run_on_platform() -> int:
    """Run an edge balancer with the settings that the platform wrote.

    Returns
    -------
    int
        Exit status.
    """
    # Objects created at startup stay in use, so a collection would find no
    # garbage and only delay the start.
    gc.disable()
    path = os.environ.get(SETTINGS_PATH_VARIABLE, '')
    read_file_change = create_change_reader(path)

    def read_change() -> str | None:
        changed = read_file_change()
        return None if changed is None else translate_settings(changed)

    try:
        # Importing ``pathlib`` would make the start a tenth slower.
        with open(path, encoding='utf-8') as settings_file:
            text = settings_file.read()
    except OSError as error:
        sys.stderr.write(f'{SETTINGS_PATH_VARIABLE}={path}: {error.strerror}\n')
        return _EXIT_BAD_INPUT
    settings = parse_edge_settings(translate_settings(text))
    if not isinstance(settings, EdgeSettings):
        sys.stderr.write(f'{format_findings(path, settings)}\n')
        return _EXIT_BAD_INPUT
    # Packets that arrive during the rest of the start wait in the socket.
    packet_socket = bind_datagram_socket(settings.packets)
    with open_loop() as loop:
        # Imported late, so that invalid settings are reported without loading
        # the rest of the process.
        from balsamshed.front_ends.edge_process import run_edge
        from balsamshed.platform.wire import create_wire_format

        gc.freeze()
        gc.enable()
        wire = create_wire_format()
        run_edge(settings, wire, loop, read_change, packet_socket)
    return 0
