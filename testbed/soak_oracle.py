"""Oracle of the fault soak: judges only what callers and endpoints see."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

#: A drain, or a change of the routes, is in force after this time.
IN_FORCE_SECONDS: Final = 3.0
#: A balancer is in touch if nothing happened to it or the store for this long.
UNDISTURBED_SECONDS: Final = 4.0


@dataclass(frozen=True, slots=True)
class Delivery:
    """A packet that an endpoint received.

    Parameters
    ----------
    sent_at : float
        Seconds since the start, at which the caller sent it.
    flow : int
        The caller's port.
    is_opening : bool
        Whether it opens the flow.
    balancer : int
        Balancer through which it came.
    endpoint : int
        Endpoint that received it.
    addressed_endpoint : int
        Endpoint that the datagram names.
    route_port : int
        Port that the caller sent to.
    is_intact : bool
        Whether nothing but the cookie was changed.
    """

    sent_at: float
    flow: int
    is_opening: bool
    balancer: int
    endpoint: int
    addressed_endpoint: int
    route_port: int
    is_intact: bool


@dataclass(frozen=True, slots=True)
class Reset:
    """A reset that a caller received.

    Parameters
    ----------
    received_at : float
        Seconds since the start.
    flow : int
        The caller's port.
    route_port : int
        Port that the caller had sent to.
    was_open : bool
        Whether an endpoint had received data of the flow.
    """

    received_at: float
    flow: int
    route_port: int
    was_open: bool


@dataclass(frozen=True, slots=True)
class FaultHistory:
    """What happened from outside.

    Parameters
    ----------
    draining_since : dict of int to float
        Endpoints that drain.
    route_removed_at : dict of int to float
        Ports whose route was removed.
    fault_intervals : tuple of (float, float, int)
        Begin and end of each fault, with the balancer that it hit; zero for
        all of them.
    """

    draining_since: dict[int, float]
    route_removed_at: dict[int, float]
    fault_intervals: tuple[tuple[float, float, int], ...]


def find_violations(
    history: FaultHistory,
    deliveries: list[Delivery],
    resets: list[Reset],
) -> Iterator[str]:
    """Return every promise that was broken, in words."""
    endpoints_by_flow: dict[int, set[int]] = {}
    for delivery in deliveries:
        if delivery.is_opening:
            endpoints_by_flow.setdefault(delivery.flow, set()).add(
                delivery.endpoint
            )
    for delivery in deliveries:
        yield from _find_delivery_violations(delivery, endpoints_by_flow)
        if delivery.is_opening:
            yield from _find_opening_violations(history, delivery)
    for reset in resets:
        if reset.was_open and reset.route_port not in history.route_removed_at:
            yield f'open flow {reset.flow} reset at {reset.received_at:.2f}'


def is_undisturbed(history: FaultHistory, balancer: int, at: float) -> bool:
    """Tell whether no fault touched a balancer or the store lately."""
    return not any(
        begin - UNDISTURBED_SECONDS < at and at < end + UNDISTURBED_SECONDS
        for begin, end, hit in history.fault_intervals
        if hit in {0, balancer}
    )


def _find_delivery_violations(
    delivery: Delivery,
    endpoints_by_flow: dict[int, set[int]],
) -> Iterator[str]:
    place = f'flow {delivery.flow} at {delivery.sent_at:.2f}'
    if not delivery.is_intact:
        yield f'{place}: packet changed'
    if delivery.addressed_endpoint != delivery.endpoint:
        yield f'{place}: endpoint {delivery.endpoint} got what is not for it'
    opened = endpoints_by_flow.get(delivery.flow, set())
    if not delivery.is_opening and delivery.endpoint not in opened:
        yield f'{place}: data at endpoint {delivery.endpoint}, not {opened}'


def _find_opening_violations(
    history: FaultHistory, delivery: Delivery
) -> Iterator[str]:
    if not is_undisturbed(history, delivery.balancer, delivery.sent_at):
        return
    limit = delivery.sent_at - IN_FORCE_SECONDS
    place = f'flow {delivery.flow} at {delivery.sent_at:.2f}'
    drained = history.draining_since.get(delivery.endpoint)
    if drained is not None and drained < limit:
        yield f'{place}: endpoint {delivery.endpoint} drains since {drained}'
    removed = history.route_removed_at.get(delivery.route_port)
    if removed is not None and removed < limit:
        yield f'{place}: route {delivery.route_port} removed at {removed}'
