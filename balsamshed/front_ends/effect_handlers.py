"""Passes events to the balancer's decisions and carries out the effects."""

from collections.abc import Callable, Iterable
from typing import Any

from balsamshed.node.effects import Effect
from balsamshed.node.events import Event

#: Handles an event and carries out its effects.
EventSink = Callable[[Event], None]
#: Functions that carry out effects, keyed by the effect's type.
EffectHandlers = dict[type[Any], Callable[[Any], None]]


def create_event_sink(
    handle_event: Callable[[Event], Iterable[Effect]],
    effect_handlers: EffectHandlers,
    report_failure: Callable[[], None],
) -> EventSink:
    """Return a function that handles an event and carries out its effects.

    Parameters
    ----------
    handle_event : callable
        Returns the effects of an event.
    effect_handlers : dict of type to callable
        Handlers may be added after this call.
    report_failure : callable
        Called in the handler of an unexpected exception. A failure to handle
        one event must not stop the process or its timer.

    Returns
    -------
    callable
        Handles an event.
    """

    def execute(event: Event) -> None:
        for effect in handle_event(event):
            effect_handlers[type(effect)](effect)

    return contain_errors(execute, report_failure)


def contain_errors(
    function: Callable[..., None], report_failure: Callable[[], None]
) -> Callable[..., None]:
    """Return a function that reports an unexpected exception of another one.

    Parameters
    ----------
    function : callable
        Function to call.
    report_failure : callable
        Called in the handler of the exception.
    """

    def call(*arguments: Any) -> None:
        try:
            function(*arguments)
        except Exception:
            report_failure()

    return call
