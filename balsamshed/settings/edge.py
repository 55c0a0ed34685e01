"""Settings of an edge balancer, which forwards packets by cookies.

The file is small and read at each start, so it is validated by a table of
fields: importing a JSON schema library would take 0.2 s.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final

from balsamshed.findings import Finding
from balsamshed.settings.balancer import SocketAddress
from balsamshed.settings.edge_options import OPTIONS_KEY, parse_edge_options
from balsamshed.steering.options import NO_OPTIONS, EdgeOptions

_MAX_PORT: Final = 65535


@dataclass(frozen=True, slots=True)
class EdgeSettings:
    """Settings of an edge balancer.

    Parameters
    ----------
    name : str
        Name of the balancer.
    data_centre : str
        Data centre that it runs in.
    packets : SocketAddress
        UDP address for packets; callers receive packets at the same port.
    ready : SocketAddress
        TCP address of the readiness check.
    store : SocketAddress
        TCP address of the object store.
    metrics : SocketAddress
        TCP address of the metrics.
    peer_ports : tuple of int
        First and last port of the range for messages between balancers.
    seeds : tuple of SocketAddress
        Addresses of some balancers, through which the others are discovered.
    flow_lifetime_seconds : float
        Maximum lifetime of a flow.
    grace_seconds : float
        Time between SIGTERM and SIGKILL.
    options : EdgeOptions
        Optional parts that are switched on.
    """

    name: str
    data_centre: str
    packets: SocketAddress
    ready: SocketAddress
    store: SocketAddress
    metrics: SocketAddress
    peer_ports: tuple[int, ...]
    seeds: tuple[SocketAddress, ...]
    flow_lifetime_seconds: float
    grace_seconds: float
    options: EdgeOptions = NO_OPTIONS


def parse_edge_settings(text: str) -> EdgeSettings | tuple[Finding, ...]:
    """Decode and validate settings.

    Parameters
    ----------
    text : str
        JSON document.

    Returns
    -------
    EdgeSettings or tuple of Finding
        The settings, or all faults. Unknown keys are ignored, since the
        platform may add some.
    """
    try:
        content = json.loads(text)
    except (ValueError, RecursionError) as error:
        return (Finding('$', str(error), 'a JSON document'),)
    if not isinstance(content, Mapping):
        return (Finding('$', type(content).__name__, 'an object'),)
    findings = tuple(
        Finding(f'$.{key}', json.dumps(content.get(key)), rule.allowed)
        for key, rule in _FIELD_RULES.items()
        if not rule.is_valid(content.get(key))
    )
    options = parse_edge_options(content.get(OPTIONS_KEY))
    if not isinstance(options, EdgeOptions):
        return findings + options
    return findings or _build_settings(content, options)


@dataclass(frozen=True, slots=True)
class _FieldRule:
    """Check of one field, with a description of what it accepts."""

    allowed: str
    is_valid: Callable[[Any], bool]


def _is_non_empty_string(value: Any) -> bool:
    return isinstance(value, str) and bool(value)


def _is_positive_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and value > 0


def _is_address(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(':')
    octets = host.split('.')
    if len(octets) != 4 or not all(map(str.isdecimal, octets)):
        return False
    return all(int(octet) < 256 for octet in octets) and _is_port(port)


def _is_port(text: str) -> bool:
    return text.isdecimal() and 0 < int(text) <= _MAX_PORT


def _is_address_list(value: Any) -> bool:
    return isinstance(value, list) and all(map(_is_address, value))


def _is_port_range(value: Any) -> bool:
    if not isinstance(value, list) or not all(
        isinstance(port, int) and 0 < port <= _MAX_PORT for port in value
    ):
        return False
    return not value or (len(value) == 2 and value[0] <= value[1])


_ADDRESS_RULE: Final = _FieldRule('an IPv4 address and a port', _is_address)
_FIELD_RULES: Final = {
    'name': _FieldRule('a name', _is_non_empty_string),
    'data_centre': _FieldRule('a name', _is_non_empty_string),
    'packets': _ADDRESS_RULE,
    'ready': _ADDRESS_RULE,
    'store': _ADDRESS_RULE,
    'metrics': _ADDRESS_RULE,
    'peer_ports': _FieldRule('the first and the last port', _is_port_range),
    'seeds': _FieldRule('a list of addresses', _is_address_list),
    'flow_lifetime_seconds': _FieldRule('seconds above 0', _is_positive_number),
    'grace_seconds': _FieldRule('seconds above 0', _is_positive_number),
}


def _build_settings(
    content: Mapping[str, Any], options: EdgeOptions
) -> EdgeSettings:
    return EdgeSettings(
        name=content['name'],
        data_centre=content['data_centre'],
        packets=_parse_address(content['packets']),
        ready=_parse_address(content['ready']),
        store=_parse_address(content['store']),
        metrics=_parse_address(content['metrics']),
        peer_ports=tuple(content['peer_ports']),
        seeds=tuple(map(_parse_address, content['seeds'])),
        flow_lifetime_seconds=content['flow_lifetime_seconds'],
        grace_seconds=content['grace_seconds'],
        options=options,
    )


def _parse_address(text: str) -> SocketAddress:
    host, _, port = text.rpartition(':')
    return SocketAddress(host, int(port))
