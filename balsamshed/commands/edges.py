"""Command that compares the summaries of a site's edge balancers."""

import json
import sys
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any, Final
from urllib.request import urlopen

from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.rendering import format_json, format_table
from balsamshed.commands.sessions import OutputFormat
from balsamshed.front_ends.edge_process import SUMMARY_PATH

#: Timeout after which a balancer counts as unreachable.
FETCH_TIMEOUT_SECONDS: Final = 2.0
#: A view that the store has not confirmed for longer may lack a drain.
MAX_VIEW_AGE_SECONDS: Final = 3.0

_TITLES: Final = (
    'BALANCER',
    'DATA CENTRE',
    'READY',
    'VERSION',
    'SINCE',
    'REVISION',
    'AGE',
    'ENDPOINTS',
    'EVACUATED',
    'PEERS',
    'FINDINGS',
)


@dataclass(frozen=True, slots=True)
class SummaryFailure:
    """Failed request for the summary of a balancer.

    Parameters
    ----------
    address : str
        Host and port that the request was sent to.
    reason : str
        Reason of the failure.
    """

    address: str
    reason: str


Summary = dict[str, Any]


def edge_status(address: str, *, output: OutputFormat = 'table') -> int:
    """Show the summaries of a site's edge balancers, and which lag behind.

    The peers are taken from the summary of the given balancer and are queried
    on the same port.

    Parameters
    ----------
    address
        Host and port of the metrics of any balancer.
    output
        Output format.

    Returns
    -------
    int
        Exit status: 1 if a balancer cannot be reached or lags behind.
    """
    first = fetch_summary(address)
    summaries = {address: first}
    if not isinstance(first, SummaryFailure):
        port = address.rpartition(':')[2]
        for host in first['peers']:
            peer = f'{host}:{port}'
            summaries[peer] = fetch_summary(peer)
    findings = evaluate_summaries(summaries)
    if output == 'json':
        _show_json(summaries, findings)
    else:
        _show_table(summaries, findings)
    return ExitStatus.FAILED if any(findings.values()) else ExitStatus.DONE


def fetch_summary(address: str) -> Summary | SummaryFailure:
    """Request the summary of one balancer."""
    url = f'http://{address}{SUMMARY_PATH}'
    try:
        with urlopen(url, timeout=FETCH_TIMEOUT_SECONDS) as response:
            summary = json.loads(response.read())
    except (OSError, ValueError, HTTPException) as error:
        return SummaryFailure(address, str(error))
    if not isinstance(summary, dict) or 'revision' not in summary:
        return SummaryFailure(address, 'the response is not a summary')
    return summary


def evaluate_summaries(
    summaries: dict[str, Summary | SummaryFailure],
) -> dict[str, list[str]]:
    """Return the findings about each balancer, by address.

    Parameters
    ----------
    summaries : dict of str to Summary or SummaryFailure
        Summaries by address.
    """
    received = [
        summary
        for summary in summaries.values()
        if not isinstance(summary, SummaryFailure)
    ]
    newest = max((summary['version'] for summary in received), default=-1)
    # Longest time for which any balancer has had the newest version.
    newest_seconds = max(
        (
            summary['version_seconds'] or 0
            for summary in received
            if summary['version'] == newest
        ),
        default=0,
    )
    evacuated = {
        data_centre
        for summary in received
        for data_centre in summary.get('evacuated', ())
    }
    return {
        address: _list_findings(summary, newest, newest_seconds, evacuated)
        for address, summary in summaries.items()
    }


def _list_findings(
    summary: Summary | SummaryFailure,
    newest: int,
    newest_seconds: float,
    evacuated: set[str],
) -> list[str]:
    if isinstance(summary, SummaryFailure):
        return [summary.reason]
    findings = []
    if summary['version'] < newest:
        findings.append(f'lacks version {newest} for {newest_seconds:.1f} s')
    age = summary['age_seconds']
    if age is None:
        findings.append('view was never confirmed')
    elif age > MAX_VIEW_AGE_SECONDS:
        findings.append(f'view is {age:.1f} s old')
    missing = evacuated.difference(summary.get('evacuated', ()))
    findings.extend(
        f'does not follow the evacuation of {data_centre}'
        for data_centre in sorted(missing)
    )
    if not summary['is_ready']:
        findings.append('not ready')
    return findings


def _show_json(
    summaries: dict[str, Summary | SummaryFailure],
    findings: dict[str, list[str]],
) -> None:
    documents = [
        {
            'address': address,
            'summary': None if isinstance(summary, SummaryFailure) else summary,
            'findings': findings[address],
        }
        for address, summary in summaries.items()
    ]
    _write(format_json(documents))


def _show_table(
    summaries: dict[str, Summary | SummaryFailure],
    findings: dict[str, list[str]],
) -> None:
    rows = [
        [*_describe(address, summary), '; '.join(findings[address])]
        for address, summary in summaries.items()
    ]
    for line in format_table(_TITLES, rows):
        _write(line)


def _describe(
    address: str,
    summary: Summary | SummaryFailure,
) -> list[object]:
    if isinstance(summary, SummaryFailure):
        return [address, *('-' for _ in _TITLES[2:])]
    endpoints = summary['endpoints']
    ready = sum(endpoint['state'] == 'ready' for endpoint in endpoints)
    return [
        summary['name'],
        summary['data_centre'],
        'yes' if summary['is_ready'] else 'no',
        summary['version'],
        _format_seconds(summary['version_seconds']),
        summary['revision'],
        _format_seconds(summary['age_seconds']),
        f'{ready}/{len(endpoints)}',
        # Balancers of older builds name none.
        ', '.join(summary.get('evacuated', ())) or '-',
        len(summary['peers']),
    ]


def _format_seconds(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds:.1f} s'


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
