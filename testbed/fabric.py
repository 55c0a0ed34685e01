"""Simulates the platform's fabric, which sprays packets over the balancers.

Each datagram is one IPv4 packet. A packet from a balancer is delivered to the
host of its destination address; any other packet goes to a random balancer.
``python -m testbed.fabric --help`` lists the options.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Final

import defopt

from testbed.addresses import (
    HostTable,
    SocketAddress,
    build_host_table,
    find_host,
    parse_assignments,
    parse_socket_address,
)
from testbed.datagrams import listen_datagrams, send_datagram
from testbed.http_api import (
    build_query_handler,
    build_router,
    build_update_handler,
    listen_http,
)
from testbed.packets import HEADER_BYTES
from testbed.programs import run_until_stopped

_VERSION_AND_LENGTH: Final = 0x45
_SOURCE_ADDRESS: Final = slice(12, 16)
_DESTINATION_ADDRESS: Final = slice(16, 20)


@dataclass(slots=True)
class Fabric:
    """Routing tables and counters of the fabric.

    Attributes
    ----------
    choose : callable
        Returns a random entry of a non-empty sequence.
    balancers : tuple of (str, SocketAddress)
        Name and data port of each balancer that receives packets.
    balancer_addresses : set of SocketAddress
        Data ports of all present and previous balancers: a balancer that
        left the list may still forward the packets that it holds.
    hosts : HostTable
        Hosts from the configuration.
    learned_hosts : dict of int to SocketAddress
        UDP address that sent packets with this source address.
    sprayed : Counter of str
        Number of packets sent to each balancer.
    counters : Counter of str
        Counters of other events.
    """

    choose: Callable[[Sequence[Any]], Any]
    balancers: tuple[tuple[str, SocketAddress], ...] = ()
    balancer_addresses: set[SocketAddress] = field(default_factory=set)
    hosts: HostTable = field(default_factory=partial(build_host_table, {}))
    learned_hosts: dict[int, SocketAddress] = field(default_factory=dict)
    sprayed: Counter[str] = field(default_factory=Counter)
    counters: Counter[str] = field(default_factory=Counter)


def replace_balancers(fabric: Fabric, assignments: Mapping[str, str]) -> None:
    """Replace the balancers that receive packets.

    Parameters
    ----------
    fabric : Fabric
        Changed in place.
    assignments : mapping of str to str
        ``host:port`` of the data port, keyed by the name of the balancer.

    Raises
    ------
    ValueError
        If a value is not of the form ``host:port``.
    """
    fabric.balancers = tuple(
        (name, parse_socket_address(text)) for name, text in assignments.items()
    )
    fabric.balancer_addresses.update(
        address for _name, address in fabric.balancers
    )


def route_packet(
    fabric: Fabric,
    raw: bytes,
    sender: SocketAddress,
) -> SocketAddress | None:
    """Determine the destination of a packet.

    Parameters
    ----------
    fabric : Fabric
        Its counters and learned hosts are changed in place.
    raw : bytes
        The packet.
    sender : SocketAddress
        UDP address that the packet came from.

    Returns
    -------
    SocketAddress or None
        UDP address to send it to; None if the packet is dropped.
    """
    if len(raw) < HEADER_BYTES or raw[0] != _VERSION_AND_LENGTH:
        fabric.counters['malformed'] += 1
        return None
    if sender in fabric.balancer_addresses:
        return _find_destination(fabric, raw)
    fabric.learned_hosts[int.from_bytes(raw[_SOURCE_ADDRESS])] = sender
    if not fabric.balancers:
        fabric.counters['no_balancer'] += 1
        return None
    name, balancer = fabric.choose(fabric.balancers)
    fabric.sprayed[name] += 1
    return balancer  # type: ignore[no-any-return]


def describe_counters(fabric: Fabric) -> dict[str, object]:
    """Return the counters as a JSON document."""
    names = ('delivered', 'unknown_host', 'malformed', 'no_balancer', 'unsent')
    return {
        'sprayed': dict(fabric.sprayed),
        **{name: fabric.counters[name] for name in names},
    }


def run_fabric(
    *,
    port: int,
    control_port: int,
    balancers: str = '',
    hosts: str = '',
    seed: int = 0,
) -> None:
    """Run the fabric until it gets SIGTERM.

    Parameters
    ----------
    port : int
        UDP port for packets.
    control_port : int
        TCP port for PUT /balancers, PUT /hosts and GET /counters.
    balancers : str
        name=host:port of each balancer's data port, separated by commas.
    hosts : str
        address_or_network=host:port of hosts, separated by commas; other
        hosts are learned from the packets that they send.
    seed : int
        Seed of the random choice of balancers.
    """
    fabric = Fabric(Random(seed).choice)  # noqa: S311
    replace_balancers(fabric, parse_assignments(balancers))
    fabric.hosts = build_host_table(parse_assignments(hosts))
    _listen(fabric, port)
    listen_http(control_port, _build_control_api(fabric))
    run_until_stopped('fabric', port=port, control_port=control_port)


def _find_destination(fabric: Fabric, raw: bytes) -> SocketAddress | None:
    address = int.from_bytes(raw[_DESTINATION_ADDRESS])
    found = find_host(fabric.hosts, address) or fabric.learned_hosts.get(
        address
    )
    fabric.counters['delivered' if found else 'unknown_host'] += 1
    return found


def _listen(fabric: Fabric, port: int) -> None:
    def receive(raw: bytes, sender: SocketAddress) -> None:
        destination = route_packet(fabric, raw, sender)
        if destination and not send_datagram(listening, raw, destination):
            fabric.counters['unsent'] += 1

    listening = listen_datagrams(port, receive)


def _build_control_api(fabric: Fabric) -> Callable[[Any], None]:
    def put_balancers(assignments: dict[str, Any]) -> object:
        replace_balancers(fabric, assignments)
        return assignments

    def put_hosts(assignments: dict[str, Any]) -> object:
        fabric.hosts = build_host_table(assignments)
        return assignments

    def get_counters() -> object:
        return describe_counters(fabric)

    return build_router(
        {
            ('PUT', '/balancers'): build_update_handler(put_balancers),
            ('PUT', '/hosts'): build_update_handler(put_hosts),
            ('GET', '/counters'): build_query_handler(get_counters),
        }
    )


if __name__ == '__main__':
    defopt.run(run_fabric)
