"""Settings of a balancer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP address with a port.

    Parameters
    ----------
    host : str
        IPv4 address.
    port : int
        UDP or TCP port.
    """

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of a balancer, with defaults filled in.

    Parameters
    ----------
    name : str
        Name of the balancer, unique in its group.
    group : str
        Name of the group: the balancers that serve the same addresses, over
        which the fabric distributes packets.
    data_centre : str
        Data centre that the balancer runs in.
    host : str
        IPv4 address on which it listens.
    data_port : int
        UDP port for packets from the fabric and from peers.
    control_port : int
        UDP port for peer messages.
    metrics_port : int
        TCP port for metrics and health.
    advertised_host : str
        IPv4 address at which peers reach the balancer.
    advertised_data_port, advertised_control_port : int
        UDP ports at which peers reach ``data_port`` and ``control_port``;
        they differ from these behind an address translation (NAT).
    fabric : SocketAddress
        Address that takes packets back into the fabric.
    store_url : str
        Address of the object API, ``http://host:port``.
    peers : tuple of SocketAddress
        Control ports of some members of the group, through which it joins.
    peer_key : bytes
        Key that authenticates peer messages, 16 to 64 bytes.
    """

    name: str
    group: str
    data_centre: str
    host: str
    data_port: int
    control_port: int
    metrics_port: int
    advertised_host: str
    advertised_data_port: int
    advertised_control_port: int
    fabric: SocketAddress
    store_url: str
    peers: tuple[SocketAddress, ...]
    peer_key: bytes
