"""Connection between a node and the functions that carry out its effects."""

from collections.abc import Callable, Iterable
from typing import Any

from balsamshed.node.effects import Effect
from balsamshed.node.events import Event

#: Takes an event and sees to its effects.
EventSink = Callable[[Event], None]
#: Functions that carry out effects, keyed by the effect's type.
EffectHandlers = dict[type[Any], Callable[[Any], None]]


def create_event_sink(
    handle_event: Callable[[Event], Iterable[Effect]],
    effect_handlers: EffectHandlers,
    report_failure: Callable[[], None],
) -> EventSink:
    """Return a function that decides on an event and carries out the effects.

    Parameters
    ----------
    handle_event : callable
        Returns the effects of an event.
    effect_handlers : dict of type to callable
        May still be filled after this call.
    report_failure : callable
        Called while an unexpected exception is handled. One event that
        cannot be handled must not end the process or its timer.

    Returns
    -------
    callable
        Takes an event.
    """

    def execute(effects: Iterable[Effect]) -> None:
        for effect in effects:
            effect_handlers[type(effect)](effect)

    def sink(event: Event) -> None:
        try:
            execute(handle_event(event))
        except Exception:
            report_failure()

    return sink
