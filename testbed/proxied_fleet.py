"""Starts balancers whose traffic passes the fault proxy.

A balancer advertises a public port of the proxy to its peers, and its store
URL is a port of the proxy too.
"""

from collections.abc import Mapping
from typing import Any

from testbed.fleet import Balancer, Fleet, call_json_api, start_balancer
from testbed.ports import reserve_ports
from testbed.processes import run_module, wait_for_port


def start_proxy(fleet: Fleet, seed: int = 0) -> int:
    """Start the fault proxy of a fleet.

    Parameters
    ----------
    fleet : Fleet
        Stops the process when it ends.
    seed : int
        Seed for the random choice of the datagrams with faults.

    Returns
    -------
    int
        Control port of the proxy.
    """
    control_port = reserve_ports(1)[0]
    fleet.stack.enter_context(
        run_module(
            'testbed.fault_proxy',
            *('--control-port', control_port, '--seed', seed),
        ),
    )
    wait_for_port(control_port)
    return control_port


def start_proxied_balancer(
    fleet: Fleet,
    proxy_port: int,
    name: str,
    data_centre: str,
) -> Balancer:
    """Start a balancer behind the proxy.

    Its links are called ``NAME.data``, ``NAME.control`` and ``NAME.store``.

    Parameters
    ----------
    fleet : Fleet
        Changed in place.
    proxy_port : int
        Control port of the proxy.
    name, data_centre : str
        Name of the balancer and its data centre.

    Returns
    -------
    Balancer
        The running balancer; it may not be ready yet.
    """
    ports = reserve_ports(5)
    data_port, control_port, public_data, public_control, store_port = ports
    add_proxied_process(proxy_port, f'{name}.data', public_data, data_port)
    add_proxied_process(
        proxy_port, f'{name}.control', public_control, control_port
    )
    stream = {
        'name': f'{name}.store',
        'port': store_port,
        'target': f'127.0.0.1:{fleet.store_port}',
    }
    call_json_api(proxy_port, '/streams', 'POST', stream)
    return start_balancer(
        fleet,
        name,
        data_centre,
        data_port=data_port,
        control_port=control_port,
        advertised_data_port=public_data,
        advertised_control_port=public_control,
        store_url=f'http://127.0.0.1:{store_port}',
    )


def add_proxied_process(
    proxy_port: int,
    name: str,
    public_port: int,
    port: int,
) -> None:
    """Forward a public UDP port of the proxy to a process."""
    document = {
        'name': name,
        'public_port': public_port,
        'target': f'127.0.0.1:{port}',
    }
    call_json_api(proxy_port, '/processes', 'POST', document)


def set_rules(proxy_port: int, *rules: Mapping[str, Any]) -> None:
    """Replace the datagram rules of the proxy; no rule means no fault."""
    call_json_api(proxy_port, '/rules', 'POST', {'rules': list(rules)})


def partition_balancers(proxy_port: int, *names: str) -> None:
    """Partition balancers from all others and from the object API.

    Parameters
    ----------
    proxy_port : int
        Control port of the proxy.
    *names : str
        Balancers to separate; they still reach each other.
    """
    rules: list[Mapping[str, Any]] = []
    for name in names:
        rules.extend(
            {'source': f'{name}.*', 'target': f'{other}.*'} for other in names
        )
    for name in names:
        rules.append({'source': f'{name}.*', 'drop_share': 1})
        rules.append({'target': f'{name}.*', 'drop_share': 1})
        faults = {'name': f'{name}.store', 'cut': True}
        call_json_api(proxy_port, '/stream_faults', 'POST', faults)
    set_rules(proxy_port, *rules)


def clear_faults(proxy_port: int) -> None:
    """Remove all faults of the proxy."""
    set_rules(proxy_port)
    call_json_api(proxy_port, '/stream_faults', 'POST', {'name': '*'})
