"""Peer port of an edge balancer: reports over UDP, views over HTTP."""

import re
from collections.abc import Callable
from functools import partial
from typing import Final

from balsamshed.codecs.compression import compress, decompress
from balsamshed.codecs.reports import (
    MalformedReport,
    decode_report,
    encode_report,
)
from balsamshed.codecs.supplements import (
    MalformedSupplement,
    decode_supplement,
    encode_supplement,
    is_supplement,
)
from balsamshed.codecs.views import (
    create_routes_encoder,
    decode_view,
    encode_view,
)
from balsamshed.edge.effects import (
    EdgeEffect,
    FetchView,
    SendReport,
    SendSupplement,
)
from balsamshed.edge.peer_views import (
    create_view_for_peer,
    handle_peer_view,
    handle_report,
    is_large_view,
)
from balsamshed.edge.speeds import handle_supplement
from balsamshed.edge.state import Edge
from balsamshed.edge.view_pacing import (
    ViewPacing,
    may_send_large_view,
    record_large_view,
)
from balsamshed.edge.views import (
    handle_read_failed,
)
from balsamshed.front_ends.datagram_socket import (
    DatagramSocket,
    bind_datagram_socket,
)
from balsamshed.front_ends.edge_context import (
    EdgeProcess,
    execute_effects,
    read_clock,
    record_duration,
    report_error,
    start_http_server,
)
from balsamshed.front_ends.http_server import RequestHandler, ServerResponse
from balsamshed.front_ends.http_session import (
    HttpFailure,
    HttpResponse,
    HttpSession,
)
from balsamshed.peers.view import StoreView
from balsamshed.settings.balancer import SocketAddress
from balsamshed.store.polling import Source

#: Path at which peers fetch this balancer's compressed view of the store. The
#: revision and the routes version that the peer already has follow it.
VIEW_PATH: Final = '/compressed-view'
#: The same for peers that take the changes of routes since their version.
CHANGES_PATH: Final = '/compressed-changes'
#: Longest wait for data in a fetch of a peer's view.
FETCH_TIMEOUT_SECONDS: Final = 0.5

_OK: Final = 200
_NOT_FOUND: Final = 404
_VIEW_TARGET: Final = re.compile(
    rf'({VIEW_PATH}|{CHANGES_PATH})/(-1|[0-9]{{1,19}})/(-1|[0-9]{{1,18}})'
)


def open_peer_port(process: EdgeProcess) -> None:
    """Receive reports from peers and serve this balancer's view to them."""
    peer_port = process.settings.peer_ports[0]
    counts = process.counts

    def handle_datagram(datagram: bytes, sender: tuple[str, int]) -> None:
        if is_supplement(datagram):
            _receive_supplement(process, datagram)
            return
        report = decode_report(datagram)
        if isinstance(report, MalformedReport):
            counts[f'malformed_report_{report}'] += 1
            return
        effects = handle_report(process.edge, sender[0], report, read_clock())
        execute_effects(process, effects)

    def count(name: str) -> None:
        counts[f'report_{name}'] += 1

    def fetch_view(effect: FetchView) -> None:
        address = SocketAddress(effect.host, peer_port)
        _fetch_view(
            process, partial(HttpSession, process.loop, address), effect
        )

    address = SocketAddress(process.settings.packets.host, peer_port)
    bound = bind_datagram_socket(address)
    port = DatagramSocket(bound, handle_datagram, count)
    port.watch(process.loop)
    start_http_server(process, address, create_request_handler(process))
    _handle_send_effects(process, port)
    process.effect_handlers[FetchView] = fetch_view


def _handle_send_effects(process: EdgeProcess, port: DatagramSocket) -> None:
    peer_port = process.settings.peer_ports[0]
    counts = process.counts

    def send_report(effect: SendReport) -> None:
        datagram = encode_report(effect.report)
        counts['report_bytes'] += len(datagram) * len(effect.hosts)
        for host in effect.hosts:
            port.send(datagram, (host, peer_port))

    def send_supplement(effect: SendSupplement) -> None:
        datagram = encode_supplement(effect.supplement)
        counts['supplement_bytes'] += len(datagram)
        port.send(datagram, (effect.host, peer_port))

    process.effect_handlers[SendReport] = send_report
    process.effect_handlers[SendSupplement] = send_supplement


def _receive_supplement(process: EdgeProcess, datagram: bytes) -> None:
    supplement = decode_supplement(datagram)
    if isinstance(supplement, MalformedSupplement):
        process.counts[f'malformed_supplement_{supplement}'] += 1
        return
    handle_supplement(process.edge, supplement, read_clock())


def create_request_handler(process: EdgeProcess) -> RequestHandler:
    """Return a function that answers the requests of peers for views.

    A peer that is turned away with 503 asks again after its backoff.
    """
    edge, counts = process.edge, process.counts
    pacing = ViewPacing()
    encode_for_peer = create_view_encoder()

    def handle_request(target: str) -> ServerResponse:
        matched = _VIEW_TARGET.fullmatch(target)
        if matched is None:
            return ServerResponse(_NOT_FOUND)
        if edge.reads.revision < 0:
            return ServerResponse(503)
        view = create_view_for_peer(
            edge,
            int(matched[2]),
            int(matched[3]),
            takes_route_changes=matched[1] == CHANGES_PATH,
        )
        is_large = is_large_view(view)
        if is_large and not may_send_large_view(pacing, read_clock()):
            counts['views_postponed'] += 1
            return ServerResponse(503)
        body = encode_for_peer(view)
        counts['view_bytes'] += len(body)
        if is_large:
            record_large_view(pacing, len(body))
        return ServerResponse(_OK, body, 'application/zlib')

    return handle_request


def create_view_encoder() -> Callable[[StoreView], bytes]:
    """Return a function that encodes and compresses views for peers."""
    encode_routes = create_routes_encoder()

    def encode(view: StoreView) -> bytes:
        return compress(encode_view(view, encode_routes))

    return encode


def _fetch_view(
    process: EdgeProcess,
    open_session: Callable[[], HttpSession],
    effect: FetchView,
    path: str = CHANGES_PATH,
) -> None:
    started_at = read_clock()
    session = open_session()

    def handle_response(outcome: HttpResponse | HttpFailure) -> None:
        session.close()
        if path == CHANGES_PATH and _is_not_found(outcome):
            # A balancer of an older build sends all routes only.
            _fetch_view(process, open_session, effect, VIEW_PATH)
            return
        record_duration(process, 'peer_view', read_clock() - started_at)
        try:
            effects = _handle_view_outcome(process.edge, outcome)
        except Exception as error:
            # A fetch that never ends would be the last one of this process.
            report_error(process, error)
            effects = handle_read_failed(
                process.edge, Source.PEER_VIEW, 'internal_error', read_clock()
            )
        execute_effects(process, effects)

    target = f'{path}/{effect.revision}/{effect.version}'
    session.get(target, FETCH_TIMEOUT_SECONDS, handle_response)


def _is_not_found(outcome: HttpResponse | HttpFailure) -> bool:
    return isinstance(outcome, HttpResponse) and outcome.status == _NOT_FOUND


def _handle_view_outcome(
    edge: Edge,
    outcome: HttpResponse | HttpFailure,
) -> list[EdgeEffect]:
    now = read_clock()
    received_bytes = 0
    if isinstance(outcome, HttpFailure):
        reason, received_bytes = outcome.reason, outcome.received_bytes
    elif outcome.status != _OK:
        reason = f'status_{outcome.status}'
    elif (content := decompress(outcome.body)) is None or (
        view := decode_view(content)
    ) is None:
        reason = 'malformed'
    else:
        return handle_peer_view(edge, view, now)
    return handle_read_failed(
        edge, Source.PEER_VIEW, reason, now, received_bytes
    )
