"""JSON explanation of a placement; imported by the first request."""

import json
from dataclasses import asdict
from urllib.parse import parse_qs

from balsamshed.edge.placements import UnknownName, explain_placement
from balsamshed.front_ends.edge_context import EdgeProcess, read_clock
from balsamshed.front_ends.http_server import ServerResponse

_OK = 200
_NOT_FOUND = 404


def render_placement(process: EdgeProcess, query: str) -> ServerResponse:
    """Return the JSON document that `explain-placement` reads.

    Parameters
    ----------
    process : EdgeProcess
        Process of the balancer.
    query : str
        ``route`` and, if another balancer decides, ``from`` with its data
        centre.
    """
    fields = parse_qs(query)
    route = fields.get('route', [''])[0]
    data_centre = fields.get('from', [''])[0]
    found = explain_placement(process.edge, route, data_centre, read_clock())
    status = _NOT_FOUND if isinstance(found, UnknownName) else _OK
    body = json.dumps(asdict(found)).encode()
    return ServerResponse(status, body, 'application/json')
