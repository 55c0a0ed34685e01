"""Reloads the settings of a running edge balancer."""

from collections.abc import Callable, Mapping
from typing import Final

from balsamshed.findings import format_findings
from balsamshed.front_ends.edge_context import (
    EdgeProcess,
    log_event,
    read_clock,
)
from balsamshed.peers.table import add_peer_addresses
from balsamshed.settings.edge import EdgeSettings, parse_edge_settings

#: Settings that a reload applies; the others need a restart.
_RELOADABLE_SETTINGS: Final = frozenset(
    ('store', 'seeds', 'flow_lifetime_seconds', 'grace_seconds'),
)


def reload_settings(
    process: EdgeProcess,
    read_change: Callable[[], str | None],
) -> None:
    """Apply the settings file if it has changed.

    If the file has findings, the settings in force stay.

    Parameters
    ----------
    process : EdgeProcess
        Process whose settings are replaced.
    read_change : callable
        Returns the text of a changed file, or None.
    """
    text = read_change()
    if text is None:
        return
    settings = parse_edge_settings(text)
    if not isinstance(settings, EdgeSettings):
        report = format_findings('settings', settings)
        log_event(process, 'reload_rejected', lambda: {'findings': report})
        return
    changed = _list_changed_settings(process.settings, settings)
    process.settings = settings
    process.store_session.change_server(settings.store)
    edge = process.edge
    edge.grace_seconds = settings.grace_seconds
    edge.steering.directory.removed_retention_seconds = (
        settings.flow_lifetime_seconds
    )
    hosts = (seed.host for seed in settings.seeds)
    add_peer_addresses(edge.peer_table, hosts, read_clock())
    log_event(process, 'reloaded', lambda: _describe_changes(changed))


def _list_changed_settings(
    previous: EdgeSettings,
    current: EdgeSettings,
) -> frozenset[str]:
    return frozenset(
        name
        for name in EdgeSettings.__dataclass_fields__
        if getattr(previous, name) != getattr(current, name)
    )


def _describe_changes(changed: frozenset[str]) -> Mapping[str, object]:
    return {
        'applied': ','.join(sorted(changed & _RELOADABLE_SETTINGS)),
        'needs_restart': ','.join(sorted(changed - _RELOADABLE_SETTINGS)),
    }
