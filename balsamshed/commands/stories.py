"""Command that lists the logged events of a flow or an endpoint."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

from balsamshed.commands.exit_statuses import ExitStatus
from balsamshed.commands.rendering import format_json, format_table
from balsamshed.commands.sessions import OutputFormat
from balsamshed.logs.lines import parse_line

#: Events about the state of a balancer, shown for every flow and endpoint.
_CONTEXT_EVENTS: Final = frozenset(
    (
        'started',
        'ready',
        'leaving',
        'stopped',
        'paused',
        'store_lost',
        'store_regained',
        'routes_changed',
    ),
)
_ENDPOINT_KEYS: Final = ('endpoint', 'cookie')


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One event of a log file.

    Parameters
    ----------
    time : float
        Seconds since the Unix epoch.
    node : str
        Balancer that wrote it.
    name : str
        Name of the event.
    fields : dict of str to str
        The other key-value pairs of the line.
    """

    time: float
    node: str
    name: str
    fields: dict[str, str]


def story(
    *files: str,
    flow: str = '',
    endpoint: str = '',
    output: OutputFormat = 'table',
) -> int:
    """Show the logged events of a flow or an endpoint, ordered by time.

    Parameters
    ----------
    files
        Log files, one for each balancer.
    flow
        Prefix of the flow, such as the caller's address and port.
    endpoint
        Identity or cookie of the endpoint, in hex digits.
    output
        Output format.

    Returns
    -------
    int
        Exit status.
    """
    if bool(flow) == bool(endpoint):
        sys.stderr.write('give exactly one of --flow and --endpoint\n')
        return ExitStatus.BAD_INPUT
    events: list[LoggedEvent] = []
    for file in files:
        try:
            events.extend(read_events(file))
        except OSError as error:
            sys.stderr.write(f'{file}: {error.strerror}\n')
            return ExitStatus.BAD_INPUT
    _show_events(select_events(events, flow, endpoint), output)
    return ExitStatus.DONE


def _show_events(events: list[LoggedEvent], output: OutputFormat) -> None:
    if output == 'json':
        documents = [asdict(event) for event in events]
        sys.stdout.write(f'{format_json(documents)}\n')
        return
    rows = [
        (
            f'{event.time:.3f}',
            event.node,
            event.name,
            ' '.join(f'{key}={text}' for key, text in event.fields.items()),
        )
        for event in events
    ]
    for line in format_table(('TIME', 'BALANCER', 'EVENT', 'FIELDS'), rows):
        sys.stdout.write(f'{line}\n')


def read_events(file: str) -> Iterator[LoggedEvent]:
    """Yield the events of a log file and skip lines of another format.

    Parameters
    ----------
    file : str
        Path. Text before ``time=`` in a line is ignored. The file's stem is
        used as the name of the balancer until a line of the log has the name.
    """
    node = Path(file).stem
    for line in Path(file).read_text('utf-8', 'replace').splitlines():
        start = line.find('time=')
        if start < 0:
            continue
        event = _parse_event(line[start:], node)
        if event is None:
            continue
        node = event.node
        yield event


def select_events(
    events: Iterable[LoggedEvent],
    flow: str,
    endpoint: str,
) -> list[LoggedEvent]:
    """Return the events of a flow or an endpoint, with context events.

    Parameters
    ----------
    events : iterable of LoggedEvent
        Events of all balancers.
    flow : str
        Prefix of the flow, or empty.
    endpoint : str
        Identity or cookie of the endpoint, or empty.
    """
    ordered = sorted(events, key=_get_time)
    selected = [event for event in ordered if _matches(event, flow, endpoint)]
    if flow:
        # Include the events of the endpoints that the flow was sent to.
        cookies = {event.fields.get('cookie', '') for event in selected} - {''}
        selected += [
            event
            for event in ordered
            if event not in selected
            and event.name.startswith('endpoint_')
            and event.fields.get('cookie') in cookies
        ]
    context = [
        event
        for event in ordered
        if event.name in _CONTEXT_EVENTS and event not in selected
    ]
    return sorted(selected + context, key=_get_time)


def _matches(event: LoggedEvent, flow: str, endpoint: str) -> bool:
    if flow:
        return event.fields.get('flow', '').startswith(flow)
    return any(event.fields.get(key) == endpoint for key in _ENDPOINT_KEYS)


def _parse_event(line: str, node: str) -> LoggedEvent | None:
    try:
        fields = parse_line(line)
        time = float(fields.pop('time'))
        name = fields.pop('event')
    except (ValueError, KeyError):
        return None
    return LoggedEvent(time, fields.get('node', node), name, fields)


def _get_time(event: LoggedEvent) -> float:
    return event.time
