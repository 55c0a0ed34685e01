"""Command that explains where a new flow would go."""

import json
import sys
from http.client import HTTPException
from typing import Any, Final
from urllib.error import HTTPError
from urllib.parse import urlencode
from urllib.request import urlopen

from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.rendering import format_json, format_table
from balsamshed.commands.sessions import OutputFormat
from balsamshed.front_ends.edge_process import PLACEMENT_PATH

#: Timeout after which the balancer counts as unreachable.
FETCH_TIMEOUT_SECONDS: Final = 2.0

_TITLES: Final = (
    'ENDPOINT',
    'SERVICE',
    'DATA CENTRE',
    'SCORE',
    'OWN',
    'PEERS',
    'SLOTS',
    'SUSPECTED BY',
    'EXCLUDED BY',
)

Explanation = dict[str, Any]


def explain_placement(
    address: str,
    route: str,
    *,
    from_data_centre: str = '',
    output: OutputFormat = 'table',
) -> int:
    """Explain where a new flow of a route would go now, and why.

    Nothing is sent to an endpoint, and the balancer's state stays as it is.

    Parameters
    ----------
    address
        Host and port of the metrics of a balancer.
    route
        Name of the route.
    from_data_centre
        Data centre whose balancer would decide; left out, that of the
        balancer at the address.
    output
        Output format.

    Returns
    -------
    int
        Exit status: 1 if the balancer cannot be reached, 2 if the route or the
        data centre does not exist.
    """
    fields = {'route': route}
    if from_data_centre:
        fields['from'] = from_data_centre
    url = f'http://{address}{PLACEMENT_PATH}?{urlencode(fields)}'
    try:
        with urlopen(url, timeout=FETCH_TIMEOUT_SECONDS) as response:
            explanation = json.loads(response.read())
    except HTTPError as error:
        return _report_unknown_name(error)
    except (OSError, ValueError, HTTPException) as error:
        sys.stderr.write(f'{address}: {error}\n')
        return ExitStatus.FAILED
    lines = (
        [format_json(explanation)]
        if output == 'json'
        else describe_placement(explanation)
    )
    for line in lines:
        sys.stdout.write(f'{line}\n')
    return ExitStatus.DONE


def describe_placement(explanation: Explanation) -> list[str]:
    """Return an explanation as lines of text."""
    age = explanation['age_seconds']
    decision = [explanation['decision']]
    if explanation['endpoint']:
        decision.append(f'to {explanation["endpoint"]}')
    if explanation['reason']:
        decision.append(f'({explanation["reason"]})')
    hedge = explanation['hedged_after_seconds']
    if hedge is not None:
        decision.append(f'hedged after {hedge:.3f} s without an answer')
    view = 'never confirmed' if age is None else f'{age:.1f} s old'
    rows = [list(row.values()) for row in explanation['candidates']]
    return [
        f'route {explanation["route"]} from {explanation["data_centre"]}: '
        + ' '.join(decision),
        f'version {explanation["version"]}, revision '
        f'{explanation["revision"]}, view {view}',
        *format_table(_TITLES, rows),
    ]


def _report_unknown_name(error: HTTPError) -> int:
    try:
        unknown = json.loads(error.read())
        message = f'unknown {unknown["kind"]} {unknown["name"]!r}; known: '
        message += ', '.join(unknown['known'])
    except (ValueError, KeyError, TypeError):
        sys.stderr.write(f'{error.url}: {error}\n')
        return ExitStatus.FAILED
    sys.stderr.write(f'{message}\n')
    return ExitStatus.BAD_INPUT
