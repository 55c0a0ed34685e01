"""Log lines about services whose flows may leave their data centre."""

from balsamshed.edge.effects import EdgeEffect, LogEvent
from balsamshed.edge.state import Edge


def describe_spreads(edge: Edge) -> list[EdgeEffect]:
    """Return log lines for services that became busy or no longer are."""
    spreads = edge.steering.spreads
    busy = frozenset(name for name in spreads if spreads[name].is_leaving)
    changed = busy ^ edge.busy_services
    edge.busy_services = busy
    return [_describe_spread(edge, name) for name in sorted(changed)]


def _describe_spread(edge: Edge, service: str) -> LogEvent:
    spread = edge.steering.spreads.get(service)
    fields: dict[str, object] = {'service': service}
    if spread is not None:
        for name, load in spread.loads.items():
            fields[f'requests_per_slot_{name}'] = round(
                load.requests / load.slots, 2
            )
    if service in edge.busy_services:
        return LogEvent('data_centre_busy', fields)
    return LogEvent('data_centre_no_longer_busy', fields)
