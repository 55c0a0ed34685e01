"""Command that compares the edge balancers of a site."""

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

#: A balancer that does not answer in this time counts as out of reach.
FETCH_TIMEOUT_SECONDS: Final = 2.0
#: A view that the store has not confirmed for longer may hide a drain.
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
    'PEERS',
    'FINDINGS',
)


@dataclass(frozen=True, slots=True)
class SummaryFailure:
    """Sentinel for a balancer without a summary.

    Parameters
    ----------
    address : str
        Host and port that were asked.
    reason : str
        Why there is no summary.
    """

    address: str
    reason: str


Summary = dict[str, Any]


def edge_status(address: str, *, output: OutputFormat = 'table') -> int:
    """Show what the edge balancers of a site believe, and who lags behind.

    One balancer is asked for its peers, and each of them for its summary at
    the same port.

    Parameters
    ----------
    address
        Host and port of any balancer's metrics.
    output
        Form of the results.

    Returns
    -------
    int
        Exit status: 1 if a balancer cannot be reached or lags behind.
    """
    first = fetch_summary(address)
    found = {address: first}
    if not isinstance(first, SummaryFailure):
        port = address.rpartition(':')[2]
        for host in first['peers']:
            peer = f'{host}:{port}'
            found[peer] = fetch_summary(peer)
    findings = evaluate_summaries(found)
    if output == 'json':
        _show_json(found, findings)
    else:
        _show_table(found, findings)
    return ExitStatus.FAILED if any(findings.values()) else ExitStatus.DONE


def fetch_summary(address: str) -> Summary | SummaryFailure:
    """Ask one balancer for its summary."""
    url = f'http://{address}{SUMMARY_PATH}'
    try:
        with urlopen(url, timeout=FETCH_TIMEOUT_SECONDS) as response:
            summary = json.loads(response.read())
    except (OSError, ValueError, HTTPException) as error:
        return SummaryFailure(address, str(error))
    if not isinstance(summary, dict) or 'revision' not in summary:
        return SummaryFailure(address, 'the answer is no summary')
    return summary


def evaluate_summaries(
    found: dict[str, Summary | SummaryFailure],
) -> dict[str, list[str]]:
    """Return what is wrong with each balancer, by address.

    Parameters
    ----------
    found : dict of str to Summary or SummaryFailure
        Answers by address.
    """
    summaries = [
        summary
        for summary in found.values()
        if not isinstance(summary, SummaryFailure)
    ]
    newest = max((summary['version'] for summary in summaries), default=-1)
    # The longest time for which some balancer has had the newest version.
    newest_seconds = max(
        (
            summary['version_seconds'] or 0
            for summary in summaries
            if summary['version'] == newest
        ),
        default=0,
    )
    return {
        address: _list_findings(summary, newest, newest_seconds)
        for address, summary in found.items()
    }


def _list_findings(
    summary: Summary | SummaryFailure,
    newest: int,
    newest_seconds: float,
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
    if not summary['is_ready']:
        findings.append('not ready')
    return findings


def _show_json(
    found: dict[str, Summary | SummaryFailure],
    findings: dict[str, list[str]],
) -> None:
    documents = [
        {
            'address': address,
            'summary': None if isinstance(summary, SummaryFailure) else summary,
            'findings': findings[address],
        }
        for address, summary in found.items()
    ]
    _write(format_json(documents))


def _show_table(
    found: dict[str, Summary | SummaryFailure],
    findings: dict[str, list[str]],
) -> None:
    rows = [
        [*_describe(address, summary), '; '.join(findings[address])]
        for address, summary in found.items()
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
        len(summary['peers']),
    ]


def _format_seconds(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds:.1f} s'


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
