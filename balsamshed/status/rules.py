"""Rules and rejected objects that need the operator's attention."""

from collections.abc import Iterable

from balsamshed.configuration.catalog import Catalog
from balsamshed.configuration.quiet_periods import takes_new_work
from balsamshed.configuration.resources import BackendServer
from balsamshed.configuration.routing import RoutingTable
from balsamshed.status.status_object import UnmetRule


def list_unmet_rules(
    routing: RoutingTable,
    wall_time: float,
) -> tuple[UnmetRule, ...]:
    """List drains and quiet periods that leave a service without new work.

    Parameters
    ----------
    routing : RoutingTable
        Configuration in force.
    wall_time : float
        Seconds since the Unix epoch.

    Returns
    -------
    tuple of UnmetRule
        Sorted by backend server.
    """
    services = {
        route.service.name: route.backend_servers
        for route in routing.listeners.values()
    }
    unmet = (
        rule
        for name, servers in services.items()
        for rule in _list_blocking_rules(name, servers, wall_time)
    )
    return tuple(sorted(unmet, key=_get_backend_server))


def list_rejections(catalog: Catalog) -> tuple[dict[str, object], ...]:
    """List the objects whose newest version is not in force.

    Parameters
    ----------
    catalog : Catalog
        Records of one balancer.

    Returns
    -------
    tuple of dict
        Key, version and findings of each object, sorted by key.
    """
    return tuple(
        {
            'key': key,
            'version': catalog.records[key].version,
            'findings': [
                {
                    'place': finding.place,
                    'found': finding.found,
                    'allowed': finding.allowed,
                }
                for finding in rejection.findings
            ],
        }
        for key, rejection in sorted(
            {**catalog.address_conflicts, **catalog.rejections}.items()
        )
    )


def _list_blocking_rules(
    service: str,
    servers: Iterable[BackendServer],
    wall_time: float,
) -> list[UnmetRule]:
    service_servers = tuple(servers)
    if any(takes_new_work(server, wall_time) for server in service_servers):
        return []
    reason = f'service {service} has no backend server that takes new work'
    return [
        UnmetRule(
            server.name,
            'drain' if server.draining else 'quiet_period',
            reason,
        )
        for server in service_servers
    ]


def _get_backend_server(rule: UnmetRule) -> str:
    return rule.backend_server
