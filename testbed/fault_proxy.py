"""Proxy process that injects faults between other processes.

It drops, delays and duplicates datagrams, and disturbs TCP connections. HTTP
calls on the control port, with JSON bodies:

- ``POST /processes`` ``{"name", "public_port", "target"}`` puts the UDP
  socket of a process behind a public port, see `testbed.datagram_faults`;
- ``POST /rules`` ``{"rules": [...]}`` replaces the datagram rules;
- ``POST /streams`` ``{"name", "port", "target"}`` opens a TCP link, see
  `testbed.stream_faults`;
- ``POST /stream_faults`` ``{"name", ...}`` replaces the faults of the links
  whose names match the pattern, see `testbed.stream_faults.StreamFaults`;
- ``POST /silence`` ``{"name"}`` silences the open connections of the
  links whose names match the pattern;
- ``GET /counters`` returns the counters of datagrams and of each link.

``python -m testbed.fault_proxy --help`` lists the options.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from functools import partial
from random import Random
from typing import Any

import defopt
from twisted.internet import reactor

from testbed.addresses import parse_socket_address
from testbed.datagram_faults import (
    DatagramLinks,
    add_process,
    replace_rules,
)
from testbed.datagrams import listen_datagrams
from testbed.faults import change_faults
from testbed.http_api import (
    RequestHandler,
    build_query_handler,
    build_router,
    build_update_handler,
    listen_http,
)
from testbed.programs import run_until_stopped
from testbed.stream_faults import (
    StreamFaults,
    StreamLink,
    build_listener_factory,
    set_faults,
    silence_open_connections,
)


@dataclass(slots=True)
class FaultProxy:
    """State of the proxy.

    Attributes
    ----------
    datagrams : DatagramLinks
        Processes that exchange datagrams, and the rules between them.
    streams : dict of str to StreamLink
        TCP links by name.
    """

    datagrams: DatagramLinks
    streams: dict[str, StreamLink] = field(default_factory=dict)


def run_fault_proxy(*, control_port: int, seed: int = 0) -> None:
    """Run the proxy until SIGTERM.

    Parameters
    ----------
    control_port : int
        TCP port of the control API.
    seed : int
        Seed of the random numbers that decide the fate of each datagram.
    """
    random_fraction = Random(seed).random  # noqa: S311
    proxy = FaultProxy(
        DatagramLinks(random_fraction, reactor, listen_datagrams)
    )
    listen_http(control_port, build_control(proxy))
    run_until_stopped('fault_proxy', control_port=control_port)


def build_control(proxy: FaultProxy) -> RequestHandler:
    """Build the handler of the control API.

    Parameters
    ----------
    proxy : FaultProxy
        Changed in place by the calls.

    Returns
    -------
    callable
        The handler.
    """
    setters = {
        '/processes': _post_process,
        '/rules': _post_rules,
        '/streams': _post_stream,
        '/stream_faults': _post_stream_faults,
        '/silence': _post_silence,
    }
    routes: dict[tuple[str, str], RequestHandler] = {
        ('POST', path): build_update_handler(partial(setter, proxy))
        for path, setter in setters.items()
    }
    routes['GET', '/counters'] = build_query_handler(
        lambda: {
            'datagrams': dict(proxy.datagrams.counters),
            'streams': {
                name: dict(link.counters)
                for name, link in proxy.streams.items()
            },
        },
    )
    return build_router(routes)


def _post_process(proxy: FaultProxy, document: dict[str, Any]) -> object:
    name, target = str(document.get('name')), str(document.get('target'))
    port = int(document.get('public_port', 0))
    add_process(proxy.datagrams, name, port, target)
    return document


def _post_rules(proxy: FaultProxy, document: dict[str, Any]) -> object:
    replace_rules(proxy.datagrams, document.get('rules', []))
    return document


def _post_stream(proxy: FaultProxy, document: dict[str, Any]) -> object:
    target = parse_socket_address(str(document.get('target')))
    link = StreamLink(target, reactor.connectTCP)
    port = int(document.get('port', 0))
    reactor.listenTCP(port, build_listener_factory(link), interface='127.0.0.1')
    proxy.streams[str(document.get('name'))] = link
    return document


def _post_stream_faults(
    proxy: FaultProxy,
    document: dict[str, Any],
) -> object:
    changes = dict(document)
    for link in _match_streams(proxy, str(changes.pop('name', ''))):
        set_faults(link, change_faults(StreamFaults(), changes))
    return document


def _post_silence(proxy: FaultProxy, document: dict[str, Any]) -> object:
    links = _match_streams(proxy, str(document.get('name')))
    return {'silenced': sum(map(silence_open_connections, links))}


def _match_streams(proxy: FaultProxy, pattern: str) -> Iterator[StreamLink]:
    for name, link in proxy.streams.items():
        if fnmatchcase(name, pattern):
            yield link


if __name__ == '__main__':
    defopt.run(run_fault_proxy)
