"""Forwarded UDP datagrams with faults.

Each process of the test network gets a public port. A datagram sent to the
public port of a process is forwarded to its real port, from the public port of
the sender. Replies therefore pass through the proxy as well, and a receiver
that checks the sender sees the address it expects.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from typing import Any

from testbed.addresses import SocketAddress, parse_socket_address
from testbed.datagrams import DatagramHandler, send_datagram
from testbed.faults import change_faults


@dataclass(frozen=True, slots=True)
class DatagramRule:
    """Faults of the datagrams in one direction.

    Parameters
    ----------
    source, target : str
        Patterns of process names, where ``*`` matches any characters. A rule
        applies only to datagrams from source to target.
    drop_share : float
        Share of the datagrams that is dropped, from 0 to 1.
    delay_ms : float
        Delay of each datagram.
    jitter_ms : float
        Upper bound of an additional random delay, which can reorder
        datagrams.
    duplicate_share : float
        Share of the datagrams that is delivered twice.
    duplicate_delay_ms : float
        Additional delay of the duplicate.
    """

    source: str = '*'
    target: str = '*'
    drop_share: float = 0
    delay_ms: float = 0
    jitter_ms: float = 0
    duplicate_share: float = 0
    duplicate_delay_ms: float = 0


@dataclass(slots=True)
class DatagramLinks:
    """Processes behind the proxy and the fault rules between them.

    Attributes
    ----------
    random_fraction : callable
        Returns a random number in the range [0, 1).
    clock : object
        Twisted's reactor, or its test clock.
    listen : callable
        Opens a UDP port; takes the port number and a handler.
    address_by_name : dict of str to SocketAddress
        Real address of each process, by name.
    name_by_address : dict of SocketAddress to str
        Name of each process, by real address.
    listening_ports : dict of str to object
        Twisted's listening port of each process, by name.
    rules : tuple of DatagramRule
        The first matching rule applies.
    counters : Counter of str
        Counts of ``delivered``, ``dropped`` and ``duplicated`` datagrams and
        of datagrams from an ``unknown_sender``.
    """

    random_fraction: Callable[[], float]
    clock: Any
    listen: Callable[[int, DatagramHandler], Any]
    address_by_name: dict[str, SocketAddress] = field(default_factory=dict)
    name_by_address: dict[SocketAddress, str] = field(default_factory=dict)
    listening_ports: dict[str, Any] = field(default_factory=dict)
    rules: tuple[DatagramRule, ...] = ()
    counters: Counter[str] = field(default_factory=Counter)


def add_process(
    links: DatagramLinks,
    name: str,
    public_port: int,
    target: str,
) -> None:
    """Open the public port of a process.

    Parameters
    ----------
    links : DatagramLinks
        Changed in place.
    name : str
        Name of the process, followed by the kind of port if it has several.
    public_port : int
        UDP port on 127.0.0.1 that represents the process.
    target : str
        ``host:port`` of the real socket of the process.
    """
    address = parse_socket_address(target)
    links.address_by_name[name] = address
    links.name_by_address[address] = name
    if name not in links.listening_ports:
        links.listening_ports[name] = links.listen(
            public_port,
            lambda raw, sender: receive_datagram(links, name, raw, sender),
        )


def replace_rules(
    links: DatagramLinks,
    rules: Sequence[Mapping[str, Any]],
) -> None:
    """Replace all rules.

    Parameters
    ----------
    links : DatagramLinks
        Changed in place.
    rules : sequence of mapping
        For each rule, the fields of `DatagramRule` that differ from their
        defaults.

    Raises
    ------
    ValueError
        If a rule has an unknown field.
    """
    links.rules = tuple(change_faults(DatagramRule(), rule) for rule in rules)


def receive_datagram(
    links: DatagramLinks,
    target: str,
    raw: bytes,
    sender: SocketAddress,
) -> None:
    """Forward a datagram according to the matching rule.

    Parameters
    ----------
    links : DatagramLinks
        Changed in place.
    target : str
        Name of the process whose public port received the datagram.
    raw : bytes
        The datagram.
    sender : SocketAddress
        Real address of the sender.
    """
    source = links.name_by_address.get(sender)
    if source is None:
        links.counters['unknown_sender'] += 1
        return
    rule = find_rule(links.rules, source, target)
    if links.random_fraction() < rule.drop_share:
        links.counters['dropped'] += 1
        return
    delay_ms = rule.delay_ms + rule.jitter_ms * links.random_fraction()
    _deliver(links, source, target, raw, delay_ms)
    if links.random_fraction() < rule.duplicate_share:
        links.counters['duplicated'] += 1
        later_ms = delay_ms + rule.duplicate_delay_ms
        _deliver(links, source, target, raw, later_ms)


def find_rule(
    rules: Sequence[DatagramRule],
    source: str,
    target: str,
) -> DatagramRule:
    """Return the first matching rule, or a rule without faults."""
    for rule in rules:
        if fnmatchcase(source, rule.source):
            if fnmatchcase(target, rule.target):
                return rule
    return DatagramRule()


def _deliver(
    links: DatagramLinks,
    source: str,
    target: str,
    raw: bytes,
    delay_ms: float,
) -> None:
    def send() -> None:
        send_datagram(
            links.listening_ports[source], raw, links.address_by_name[target]
        )
        links.counters['delivered'] += 1

    if delay_ms:
        links.clock.callLater(delay_ms / 1000, send)
    else:
        send()
