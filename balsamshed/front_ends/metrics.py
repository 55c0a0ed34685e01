"""Metrics and health over HTTP."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from aioprometheus import Counter, Gauge, Registry, render
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

#: Descriptions of the counters by name.
COUNTERS: Final = MappingProxyType(
    {
        'balsamshed_packets_total': 'Packets by what was done with them.',
        'balsamshed_packets_dropped_total': 'Packets dropped, by reason.',
        'balsamshed_flows_placed_total': 'New flows by how they were placed.',
        'balsamshed_flows_recovered_total': (
            'Flows without an entry that were continued, by source.'
        ),
        'balsamshed_flows_unprotected_total': (
            'Flows placed off the default while the copy budget was used up.'
        ),
        'balsamshed_flows_refused_total': (
            'New flows refused as not run, by reason.'
        ),
        'balsamshed_flows_reset_total': (
            'Open flows answered with a reset, by reason.'
        ),
        'balsamshed_flows_retried_total': (
            'Refused connections tried on another backend server.'
        ),
        'balsamshed_flow_copies_total': 'Copied flow entries by direction.',
        'balsamshed_control_bytes_total': (
            'Bytes of peer messages by direction.'
        ),
        'balsamshed_peer_messages_rejected_total': (
            'Peer messages that failed authentication or decoding.'
        ),
        'balsamshed_membership_changes_total': 'Changes of members by kind.',
        'balsamshed_records_total': 'Records taken over, by outcome.',
        'balsamshed_store_calls_total': (
            'Calls to the object store by outcome.'
        ),
        'balsamshed_load_probes_total': 'Load probes by outcome.',
        'balsamshed_ejections_total': 'Ejections of backend servers.',
        'balsamshed_pauses_total': 'Times that the process was paused.',
        'balsamshed_events_total': (
            'Events that have no counter of their own, by name.'
        ),
    }
)

#: Descriptions of the gauges by name.
GAUGES: Final = MappingProxyType(
    {
        'balsamshed_start_time_seconds': (
            'Start of the process, in seconds since the Unix epoch.'
        ),
        'balsamshed_members': 'Live members of the group.',
        'balsamshed_members_in_force': (
            'Live members whose catalog equals that of this balancer.'
        ),
        'balsamshed_flows_open': 'Flow entries of this balancer.',
        'balsamshed_copies_pending': 'Flow copies not acknowledged yet.',
        'balsamshed_catalog_highest_version': (
            'Highest version of the records in the catalog.'
        ),
        'balsamshed_records_rejected': 'Objects with a faulty newest version.',
        'balsamshed_rules_unmet': 'Rules that cannot be kept.',
        'balsamshed_store_contact_time_seconds': (
            'Last successful store call, in seconds since the Unix epoch.'
        ),
        'balsamshed_concurrency_limit': 'Concurrency limit by listener.',
        'balsamshed_requests_in_flight': 'Open requests by listener.',
        'balsamshed_resident_memory_bytes': 'Resident memory of the process.',
        'balsamshed_cpu_seconds': 'Processor time of the process.',
        'balsamshed_loop_delay_seconds': (
            'How late the last tick of the event loop came.'
        ),
    }
)

#: Counter and labels of each event that has a counter of its own.
EVENT_COUNTERS: Final[Mapping[str, tuple[str, Mapping[str, str]]]] = (
    MappingProxyType(
        {
            'packet_forwarded': (
                'balsamshed_packets_total',
                {'path': 'forwarded'},
            ),
            'packet_relayed': ('balsamshed_packets_total', {'path': 'relayed'}),
            'lookup': (
                'balsamshed_packets_total',
                {'path': 'looked_up'},
            ),
            'packet_returned': (
                'balsamshed_packets_total',
                {'path': 'returned'},
            ),
            'flow_placed_default': (
                'balsamshed_flows_placed_total',
                {'placement': 'default'},
            ),
            'flow_placed_by_load': (
                'balsamshed_flows_placed_total',
                {'placement': 'by_load'},
            ),
            'flow_derived': (
                'balsamshed_flows_recovered_total',
                {'source': 'derived'},
            ),
            'flow_recovered': (
                'balsamshed_flows_recovered_total',
                {'source': 'copy'},
            ),
            'flow_unprotected': ('balsamshed_flows_unprotected_total', {}),
            'refused_overload': (
                'balsamshed_flows_refused_total',
                {'reason': 'overload'},
            ),
            'refused_limit': (
                'balsamshed_flows_refused_total',
                {'reason': 'limit'},
            ),
            'refused_no_backend_server': (
                'balsamshed_flows_refused_total',
                {'reason': 'no_backend_server'},
            ),
            'refused_by_backend_server': (
                'balsamshed_flows_refused_total',
                {'reason': 'by_backend_server'},
            ),
            'flow_reset_host_gone': (
                'balsamshed_flows_reset_total',
                {'reason': 'host_gone'},
            ),
            'flow_reset_unknown': (
                'balsamshed_flows_reset_total',
                {'reason': 'unknown_flow'},
            ),
            'opening_retried': ('balsamshed_flows_retried_total', {}),
            'copy_sent': (
                'balsamshed_flow_copies_total',
                {'direction': 'sent'},
            ),
            'copy_received': (
                'balsamshed_flow_copies_total',
                {'direction': 'received'},
            ),
            'control_bytes_sent': (
                'balsamshed_control_bytes_total',
                {'direction': 'sent'},
            ),
            'control_bytes_received': (
                'balsamshed_control_bytes_total',
                {'direction': 'received'},
            ),
            'peer_message_rejected': (
                'balsamshed_peer_messages_rejected_total',
                {},
            ),
            'member_joined': (
                'balsamshed_membership_changes_total',
                {'change': 'joined'},
            ),
            'member_died': (
                'balsamshed_membership_changes_total',
                {'change': 'died'},
            ),
            'member_left': (
                'balsamshed_membership_changes_total',
                {'change': 'left'},
            ),
            'record_applied': (
                'balsamshed_records_total',
                {'outcome': 'applied'},
            ),
            'record_rejected': (
                'balsamshed_records_total',
                {'outcome': 'rejected'},
            ),
            'store_call_done': (
                'balsamshed_store_calls_total',
                {'outcome': 'done'},
            ),
            'store_call_failed': (
                'balsamshed_store_calls_total',
                {'outcome': 'failed'},
            ),
            'load_probe_done': (
                'balsamshed_load_probes_total',
                {'outcome': 'done'},
            ),
            'load_probe_failed': (
                'balsamshed_load_probes_total',
                {'outcome': 'failed'},
            ),
            'backend_server_ejected': ('balsamshed_ejections_total', {}),
            'process_paused': ('balsamshed_pauses_total', {}),
        }
    )
)

_DROPPED_PACKETS: Final = 'balsamshed_packets_dropped_total'
_OTHER_EVENTS: Final = 'balsamshed_events_total'
_PLAIN_TEXT: Final = b'text/plain; charset=utf-8'
#: Idle connections are closed after this time, in seconds.
_IDLE_TIMEOUT_SECONDS: Final = 30


@dataclass(frozen=True, slots=True)
class Metrics:
    """Functions that update and render one set of metrics.

    Parameters
    ----------
    count_event : callable
        ``count_event(name, amount=1)`` counts an event. A name that is not
        in `EVENT_COUNTERS` is counted in ``balsamshed_events_total``.
    count_drop : callable
        ``count_drop(reason)`` counts a dropped packet.
    set_gauge : callable
        ``set_gauge(name, value, **labels)`` sets a gauge of `GAUGES`;
        raises KeyError for another name.
    render : callable
        ``render()`` returns the text of all metrics and its content type.
    """

    count_event: Callable[..., None]
    count_drop: Callable[[str], None]
    set_gauge: Callable[..., None]
    render: Callable[[], tuple[bytes, bytes]]


def create_metrics() -> Metrics:
    """Create a set of metrics that start at zero.

    Events are counted in plain integers, since a counter of aioprometheus
    takes several microseconds for each event. The integers are copied to the
    counters when the metrics are rendered.

    Returns
    -------
    Metrics
        Functions of the new set.
    """
    events: defaultdict[str, int] = defaultdict(int)
    drops: defaultdict[str, int] = defaultdict(int)
    registry = Registry()
    counters = {
        name: Counter(name, text, registry=registry)
        for name, text in COUNTERS.items()
    }
    gauges = {
        name: Gauge(name, text, registry=registry)
        for name, text in GAUGES.items()
    }

    def count_event(name: str, amount: int = 1) -> None:
        events[name] += amount

    def count_drop(reason: str) -> None:
        drops[reason] += 1

    def set_gauge(name: str, value: float, **labels: str) -> None:
        if name not in gauges:
            raise KeyError(f'gauge {name} is not listed in GAUGES')
        gauges[name].set(_escape_labels(labels), value)

    def render_text() -> tuple[bytes, bytes]:
        for name, (counter, labels) in EVENT_COUNTERS.items():
            counters[counter].set(dict(labels), events.get(name, 0))
        for name, count in events.items():
            if name not in EVENT_COUNTERS:
                counters[_OTHER_EVENTS].set(
                    _escape_labels({'event': name}), count
                )
        for reason, count in drops.items():
            counters[_DROPPED_PACKETS].set(
                _escape_labels({'reason': reason}), count
            )
        text, headers = render(registry, ())
        return text, headers['Content-Type'].encode()

    return Metrics(count_event, count_drop, set_gauge, render_text)


def create_metrics_site(
    metrics: Metrics,
    is_ready: Callable[[], bool],
) -> Site:
    """Create the site of the metrics port.

    Parameters
    ----------
    metrics : Metrics
        Metrics that ``GET /metrics`` renders.
    is_ready : callable
        Returns whether the balancer takes part in the group; ``GET /readyz``
        responds 503 if not. ``GET /healthz`` responds 200 as long as the
        event loop runs.

    Returns
    -------
    Site
        To be passed to ``listenTCP``.
    """

    def get_health() -> _Page:
        return 200, _PLAIN_TEXT, b'ok\n'

    def get_readiness() -> _Page:
        if is_ready():
            return 200, _PLAIN_TEXT, b'ready\n'
        return 503, _PLAIN_TEXT, b'not ready\n'

    def get_metrics() -> _Page:
        text, content_type = metrics.render()
        return 200, content_type, text

    root = Resource()
    root.putChild(b'metrics', _PageResource(get_metrics))
    root.putChild(b'healthz', _PageResource(get_health))
    root.putChild(b'readyz', _PageResource(get_readiness))
    site = Site(root, timeout=_IDLE_TIMEOUT_SECONDS)
    site.displayTracebacks = False
    return site


_Page = tuple[int, bytes, bytes]


class _PageResource(Resource):
    """Page whose status, content type and body come from a function."""

    isLeaf = True

    def __init__(self, get_page: Callable[[], _Page]) -> None:
        super().__init__()
        self._get_page = get_page

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Respond with the page."""
        status, content_type, body = self._get_page()
        request.setResponseCode(status)
        request.setHeader(b'content-type', content_type)
        request.setHeader(b'cache-control', b'no-store')
        return body


def _escape_labels(labels: Mapping[str, Any]) -> dict[str, str]:
    # The renderer of aioprometheus does not escape label values.
    return {
        key: str(part)
        .replace('\\', r'\\')
        .replace('"', r'\"')
        .replace('\n', r'\n')
        for key, part in labels.items()
    }
