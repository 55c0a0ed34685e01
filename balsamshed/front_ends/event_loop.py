"""The event loop of an edge balancer.

Twisted's reactor takes 0.3 s of processor time to load, which is 1.4 s on a
machine with a quarter of a core. Its nearest kin, asyncio, takes far less.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

#: An edge balancer speaks plain HTTP, and asyncio does without TLS if that
#: cannot be imported.
_EXCLUDED_MODULE: Final = 'ssl'


@contextmanager
def open_loop() -> Iterator['AbstractEventLoop']:
    """Create the event loop of the process, and close it afterwards."""
    modules: dict[str, Any] = sys.modules
    modules.setdefault(_EXCLUDED_MODULE, None)
    from asyncio import new_event_loop, set_event_loop

    loop = new_event_loop()
    set_event_loop(loop)
    try:
        yield loop
    finally:
        loop.close()
