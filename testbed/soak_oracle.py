"""Oracle of the soak test.

It evaluates only what callers and endpoints observe.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

#: Time after which a drain or a change of the routes is in force.
IN_FORCE_SECONDS: Final = 3.0
#: A balancer is undisturbed if no fault affects it or the store within this
#: time.
UNDISTURBED_SECONDS: Final = 4.0


@dataclass(frozen=True, slots=True)
class Delivery:
    """A packet that an endpoint received.

    Parameters
    ----------
    sent_at : float
        Seconds between the start of the run and the sending of the packet by
        the caller.
    flow : int
        The caller's port.
    is_opening : bool
        Whether the packet opens the flow.
    balancer : int
        Balancer that forwarded the packet.
    endpoint : int
        Endpoint that received the packet.
    addressed_endpoint : int
        Endpoint to which the datagram is addressed.
    route_port : int
        Service port to which the caller sent the packet.
    is_intact : bool
        Whether the packet is unchanged except for the cookie.
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
        Seconds since the start of the run.
    flow : int
        The caller's port.
    route_port : int
        Service port to which the caller sent its packets.
    was_open : bool
        Whether an endpoint had received the opening packet of the flow.
    """

    received_at: float
    flow: int
    route_port: int
    was_open: bool


@dataclass(frozen=True, slots=True)
class FaultHistory:
    """Faults and changes that were injected during a run.

    Parameters
    ----------
    draining_since : dict of int to float
        Start of the drain of each draining endpoint.
    route_removed_at : dict of int to float
        Time of the removal of each removed route, by its port.
    fault_intervals : tuple of (float, float, int)
        Start and end of each fault and the number of the balancer that it
        affected; zero means all balancers.
    """

    draining_since: dict[int, float]
    route_removed_at: dict[int, float]
    fault_intervals: tuple[tuple[float, float, int], ...]


def find_violations(
    history: FaultHistory,
    deliveries: list[Delivery],
    resets: list[Reset],
) -> Iterator[str]:
    """Yield a description of each violation."""
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
    """Return whether a balancer was unaffected by faults at a time.

    A fault counts from `UNDISTURBED_SECONDS` before its start to
    `UNDISTURBED_SECONDS` after its end.
    """
    return not any(
        begin - UNDISTURBED_SECONDS < at and at < end + UNDISTURBED_SECONDS
        for begin, end, affected in history.fault_intervals
        if affected in {0, balancer}
    )


def _find_delivery_violations(
    delivery: Delivery,
    endpoints_by_flow: dict[int, set[int]],
) -> Iterator[str]:
    prefix = f'flow {delivery.flow} at {delivery.sent_at:.2f}'
    if not delivery.is_intact:
        yield f'{prefix}: packet changed'
    if delivery.addressed_endpoint != delivery.endpoint:
        yield (
            f'{prefix}: endpoint {delivery.endpoint} received a packet '
            f'for endpoint {delivery.addressed_endpoint}'
        )
    opened = endpoints_by_flow.get(delivery.flow, set())
    if not delivery.is_opening and delivery.endpoint not in opened:
        yield (
            f'{prefix}: data at endpoint {delivery.endpoint}, '
            f'opened at {opened}'
        )


def _find_opening_violations(
    history: FaultHistory, delivery: Delivery
) -> Iterator[str]:
    if not is_undisturbed(history, delivery.balancer, delivery.sent_at):
        return
    limit = delivery.sent_at - IN_FORCE_SECONDS
    prefix = f'flow {delivery.flow} at {delivery.sent_at:.2f}'
    drained = history.draining_since.get(delivery.endpoint)
    if drained is not None and drained < limit:
        yield f'{prefix}: endpoint {delivery.endpoint} draining since {drained}'
    removed = history.route_removed_at.get(delivery.route_port)
    if removed is not None and removed < limit:
        yield f'{prefix}: route {delivery.route_port} removed at {removed}'
