"""Oracle of the fault soak: judges only what callers and endpoints see."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

#: A drain, or a change of the routes, is in force after this time.
IN_FORCE_SECONDS: Final = 3.0
#: A balancer is in touch if nothing happened to it or the store for this long.
CALM_SECONDS: Final = 4.0


@dataclass(frozen=True, slots=True)
class Delivery:
    """A packet that an endpoint received.

    Parameters
    ----------
    at : float
        Seconds since the start, at which the caller sent it.
    flow : int
        The caller's port.
    is_opening : bool
        Whether it opens the flow.
    balancer : int
        Balancer through which it came.
    endpoint : int
        Endpoint that received it.
    addressed_to : int
        Endpoint that the datagram names.
    route_port : int
        Port that the caller sent to.
    is_intact : bool
        Whether nothing but the cookie was changed.
    """

    at: float
    flow: int
    is_opening: bool
    balancer: int
    endpoint: int
    addressed_to: int
    route_port: int
    is_intact: bool


@dataclass(frozen=True, slots=True)
class Reset:
    """A reset that a caller received.

    Parameters
    ----------
    at : float
        Seconds since the start.
    flow : int
        The caller's port.
    route_port : int
        Port that the caller had sent to.
    was_open : bool
        Whether an endpoint had received data of the flow.
    """

    at: float
    flow: int
    route_port: int
    was_open: bool


@dataclass(frozen=True, slots=True)
class History:
    """What happened from outside.

    Parameters
    ----------
    draining_since : dict of int to float
        Endpoints that drain.
    removed_at : dict of int to float
        Ports whose route was removed.
    troubles : tuple of (float, float, int)
        Begin and end of each fault, with the balancer that it hit; zero for
        all of them.
    """

    draining_since: dict[int, float]
    removed_at: dict[int, float]
    troubles: tuple[tuple[float, float, int], ...]


def find_violations(
    history: History,
    deliveries: list[Delivery],
    resets: list[Reset],
) -> Iterator[str]:
    """Return every promise that was broken, in words."""
    endpoint_of: dict[int, set[int]] = {}
    for delivery in deliveries:
        if delivery.is_opening:
            endpoint_of.setdefault(delivery.flow, set()).add(delivery.endpoint)
    for delivery in deliveries:
        yield from _judge_delivery(delivery, endpoint_of)
        if delivery.is_opening:
            yield from _judge_opening(history, delivery)
    for reset in resets:
        if reset.was_open and reset.route_port not in history.removed_at:
            yield f'open flow {reset.flow} reset at {reset.at:.2f}'


def is_in_touch(history: History, balancer: int, at: float) -> bool:
    """Tell whether no fault touched a balancer or the store lately."""
    return not any(
        begin - CALM_SECONDS < at and at < end + CALM_SECONDS
        for begin, end, hit in history.troubles
        if hit in {0, balancer}
    )


def _judge_delivery(
    delivery: Delivery,
    endpoint_of: dict[int, set[int]],
) -> Iterator[str]:
    place = f'flow {delivery.flow} at {delivery.at:.2f}'
    if not delivery.is_intact:
        yield f'{place}: packet changed'
    if delivery.addressed_to != delivery.endpoint:
        yield f'{place}: endpoint {delivery.endpoint} got what is not for it'
    opened = endpoint_of.get(delivery.flow, set())
    if not delivery.is_opening and delivery.endpoint not in opened:
        yield f'{place}: data at endpoint {delivery.endpoint}, not {opened}'


def _judge_opening(history: History, delivery: Delivery) -> Iterator[str]:
    if not is_in_touch(history, delivery.balancer, delivery.at):
        return
    limit = delivery.at - IN_FORCE_SECONDS
    place = f'flow {delivery.flow} at {delivery.at:.2f}'
    drained = history.draining_since.get(delivery.endpoint)
    if drained is not None and drained < limit:
        yield f'{place}: endpoint {delivery.endpoint} drains since {drained}'
    removed = history.removed_at.get(delivery.route_port)
    if removed is not None and removed < limit:
        yield f'{place}: route {delivery.route_port} removed at {removed}'
