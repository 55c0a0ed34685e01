"""Connection between a node and the functions that carry out its effects."""

from collections.abc import Callable, Iterable
from typing import Any

from balsamshed.node.effects import Effect
from balsamshed.node.events import Event

#: Takes an event and sees to its effects.
EventSink = Callable[[Event], None]
#: Functions that carry out effects, keyed by the effect's type.
Performers = dict[type[Any], Callable[[Any], None]]


def create_event_sink(
    decide: Callable[[Event], Iterable[Effect]],
    performers: Performers,
) -> EventSink:
    """Return a function that decides on an event and carries out the effects.

    Parameters
    ----------
    decide : callable
        Returns the effects of an event.
    performers : dict of type to callable
        May still be filled after this call.

    Returns
    -------
    callable
        Takes an event.
    """

    def sink(event: Event) -> None:
        for effect in decide(event):
            performers[type(effect)](effect)

    return sink
