"""Encoding of a balancer's view of the store, which peers fetch as JSON."""

import json
from typing import Any

from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.routes.table import (
    Route,
    RouteTable,
    ServiceShare,
    create_table,
)


def encode_view(routes: RouteTable, view: EndpointView) -> bytes:
    """Return the JSON document of routes and endpoints."""
    document = {
        'revision': view.revision,
        'version': routes.version,
        'services': sorted(routes.services),
        'routes': [
            [
                route.name,
                route.address,
                route.port,
                [[share.service, share.weight] for share in route.shares],
                route.timeout_seconds,
            ]
            for route in routes.routes.values()
        ],
        'endpoints': [
            [
                endpoint.instance,
                endpoint.started_at_ms,
                endpoint.service,
                endpoint.host,
                endpoint.port,
                endpoint.data_centre,
                endpoint.slots,
                endpoint.is_draining,
                endpoint.warm_up_seconds,
                endpoint.sequence,
            ]
            for endpoint in view.endpoints
        ],
    }
    return json.dumps(document, separators=(',', ':')).encode()


def decode_view(body: bytes) -> tuple[RouteTable, EndpointView] | None:
    """Return routes and endpoints of a document, or None for another form."""
    try:
        return _build_view(json.loads(body))
    except (ValueError, TypeError, KeyError):
        return None


def _build_view(document: Any) -> tuple[RouteTable, EndpointView]:
    routes = create_table(
        document['version'],
        [
            Route(
                name,
                address,
                port,
                tuple(ServiceShare(*share) for share in shares),
                timeout,
            )
            for name, address, port, shares, timeout in document['routes']
        ],
        document['services'],
    )
    endpoints = tuple(Endpoint(*row) for row in document['endpoints'])
    return routes, EndpointView(document['revision'], endpoints)
