"""Event loop of an edge balancer.

An edge balancer uses asyncio, because importing Twisted's reactor takes 0.3 s
of processor time, which is 1.4 s on a machine with a quarter of a core. Asyncio
takes far less.
"""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

#: An edge balancer uses plain HTTP only, so the import of TLS is blocked;
#: asyncio works without it.
_EXCLUDED_MODULE: Final = 'ssl'


@contextmanager
def open_loop() -> Iterator['AbstractEventLoop']:
    """Create the event loop of the process and close it on exit."""
    modules: dict[str, Any] = sys.modules
    modules.setdefault(_EXCLUDED_MODULE, None)
    from asyncio import new_event_loop, set_event_loop

    loop = new_event_loop()
    set_event_loop(loop)
    try:
        yield loop
    finally:
        loop.close()


def call_periodically(
    loop: 'AbstractEventLoop',
    interval_seconds: float,
    call: Callable[[], None],
) -> None:
    """Call a function now and again after each interval.

    An error in one call does not end the series; the exception handler of the
    loop receives it.

    Parameters
    ----------
    loop : AbstractEventLoop
        Event loop.
    interval_seconds : float
        Time from the end of one call to the next, in seconds.
    call : callable
        Function to call.
    """

    def run() -> None:
        try:
            call()
        except Exception as error:
            loop.call_exception_handler(
                {'message': 'a periodic call failed', 'exception': error},
            )
        loop.call_later(interval_seconds, run)

    loop.call_soon(run)
