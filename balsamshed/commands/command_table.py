"""Table of all commands."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from balsamshed.commands.applying import apply
from balsamshed.commands.drains import (
    add_quiet_period,
    drain,
    remove_quiet_period,
    undrain,
)
from balsamshed.commands.edges import edge_status
from balsamshed.commands.local import (
    check_edge_settings,
    check_settings,
    run,
    show_defaults,
    version,
)
from balsamshed.commands.objects import (
    delete,
    get,
    history,
    list_objects,
    watch,
)
from balsamshed.commands.placements import explain_placement
from balsamshed.commands.reports import status, wait
from balsamshed.commands.stories import story

#: Functions by command name. They return an exit status or a `StoreCommand`.
COMMANDS: Final[Mapping[str, Callable[..., Any]]] = MappingProxyType(
    {
        'check-settings': check_settings,
        'check-edge-settings': check_edge_settings,
        'edge-status': edge_status,
        'explain-placement': explain_placement,
        'story': story,
        'show-defaults': show_defaults,
        'apply': apply,
        'get': get,
        'list': list_objects,
        'watch': watch,
        'delete': delete,
        'drain': drain,
        'undrain': undrain,
        'add-quiet-period': add_quiet_period,
        'remove-quiet-period': remove_quiet_period,
        'status': status,
        'history': history,
        'wait': wait,
        'run': run,
        'version': version,
    }
)
