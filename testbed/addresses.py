"""Addresses of the test network."""

from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network

#: Host and UDP or TCP port on the loopback interface.
SocketAddress = tuple[str, int]


@dataclass(frozen=True, slots=True)
class HostTable:
    """UDP addresses of the hosts of the test network.

    Parameters
    ----------
    hosts : mapping of int to SocketAddress
        UDP addresses of single hosts.
    networks : tuple of (IPv4Network, SocketAddress)
        UDP addresses of networks, the longest prefix first.
    """

    hosts: Mapping[int, SocketAddress]
    networks: tuple[tuple[IPv4Network, SocketAddress], ...]


def parse_address(text: str) -> int:
    """Return an IPv4 address as an integer."""
    return int(IPv4Address(text))


def format_address(address: int) -> str:
    """Return the dotted form of an IPv4 address."""
    return str(IPv4Address(address))


def parse_socket_address(text: str) -> SocketAddress:
    """Split ``host:port``.

    Parameters
    ----------
    text : str
        Host and port, separated by a colon.

    Returns
    -------
    SocketAddress
        The host and the port.

    Raises
    ------
    ValueError
        If the host or the port is missing, or the port is not a number.
    """
    host, _colon, port = str(text).rpartition(':')
    if not host or not port.isdecimal():
        raise ValueError(f'{text!r} is not of the form host:port')
    return host, int(port)


def parse_assignments(text: str) -> dict[str, str]:
    """Split ``key=text,key=text``.

    Parameters
    ----------
    text : str
        Assignments separated by commas; may be empty.

    Returns
    -------
    dict of str to str
        Assigned text, keyed by its key.
    """
    parts = (part.partition('=') for part in text.split(',') if part)
    return {key.strip(): assigned.strip() for key, _sign, assigned in parts}


def build_host_table(assignments: Mapping[str, str]) -> HostTable:
    """Build the table from hosts of the test network to UDP addresses.

    Parameters
    ----------
    assignments : mapping of str to str
        ``host:port``, keyed by an IPv4 address or a network in CIDR notation.

    Returns
    -------
    HostTable
        Single addresses take precedence over networks.

    Raises
    ------
    ValueError
        If an address, a network or a socket address is malformed.
    """
    hosts: dict[int, SocketAddress] = {}
    networks = []
    for key, text in assignments.items():
        socket_address = parse_socket_address(text)
        if '/' in key:
            networks.append((IPv4Network(key), socket_address))
        else:
            hosts[parse_address(key)] = socket_address
    networks.sort(key=_get_prefix_length, reverse=True)
    return HostTable(hosts, tuple(networks))


def find_host(table: HostTable, address: int) -> SocketAddress | None:
    """Return the UDP address of a host.

    Parameters
    ----------
    table : HostTable
        Table to search.
    address : int
        IPv4 address of the host in the test network.

    Returns
    -------
    SocketAddress or None
        None if neither a host nor a network matches.
    """
    found = table.hosts.get(address)
    if found is not None:
        return found
    host = IPv4Address(address)
    for network, socket_address in table.networks:
        if host in network:
            return socket_address
    return None


def _get_prefix_length(entry: tuple[IPv4Network, SocketAddress]) -> int:
    return entry[0].prefixlen
