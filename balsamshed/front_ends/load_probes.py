"""Load probes of backend servers over HTTP."""

import json
from collections.abc import Mapping
from typing import Any, Final

from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IAgent

from balsamshed.front_ends.effect_handlers import EffectHandlers, EventSink
from balsamshed.front_ends.http_client import read_body, send_request
from balsamshed.node.effects import ProbeLoad
from balsamshed.node.events import LoadProbeFailed, LoadReported
from balsamshed.placement.messages import LoadReport

#: Time limit of a probe, in seconds.
PROBE_TIMEOUT_SECONDS: Final = 1.0
#: Largest accepted report, in bytes.
MAX_REPORT_BYTES: Final = 4096

_MS_PER_SECOND: Final = 1000


def create_probe_handlers(
    agent: IAgent,
    clock: IReactorTime,
    sink: EventSink,
) -> EffectHandlers:
    """Return the handler that probes the load of a backend server.

    Parameters
    ----------
    agent : IAgent
        From `create_http_agent`.
    clock : IReactorTime
        The reactor.
    sink : callable
        Receives the load report or the failure as an event.

    Returns
    -------
    dict of type to callable
        Handler by effect type.
    """

    def probe_load(effect: ProbeLoad) -> None:
        def read(response: Any) -> Any:
            return read_body(response, MAX_REPORT_BYTES)

        def report(text: bytes | None) -> None:
            if text is None:
                raise ValueError(
                    f'load report has more than {MAX_REPORT_BYTES} bytes'
                )
            sink(LoadReported(parse_load_report(effect.host, text)))

        def fail(failure: Any) -> None:
            sink(LoadProbeFailed(effect.host))

        probe = send_request(agent, 'GET', effect.url, {})
        probe.addCallback(read)
        probe.addTimeout(PROBE_TIMEOUT_SECONDS, clock)
        probe.addCallback(report).addErrback(fail)

    return {ProbeLoad: probe_load}


def parse_load_report(host: int, text: bytes) -> LoadReport:
    """Parse a load report.

    Parameters
    ----------
    host : int
        IPv4 address of the backend server.
    text : bytes
        JSON document with ``in_flight``, ``queued`` and ``age_ms``.

    Returns
    -------
    LoadReport
        The parsed report.

    Raises
    ------
    ValueError
        If the text is not a load report.
    """
    document = json.loads(text)
    if not isinstance(document, Mapping):
        raise ValueError('load report is not a JSON object')
    return LoadReport(
        host,
        _read_count(document, 'in_flight'),
        _read_count(document, 'queued'),
        _read_count(document, 'age_ms') / _MS_PER_SECOND,
    )


def _read_count(document: Mapping[str, Any], key: str) -> int:
    count = document.get(key)
    if not isinstance(count, int) or count < 0:
        raise ValueError(
            f'load report has {key}={count!r}, expected a non-negative integer',
        )
    return count
