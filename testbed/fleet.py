"""Starts a complete test bed: store, fabric, balancers, backend servers."""

import json
import os
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from subprocess import run
from tempfile import TemporaryDirectory
from typing import Any, Final
from urllib.request import Request, urlopen

from testbed.ports import reserve_ports
from testbed.processes import (
    RunningProcess,
    is_url_found,
    run_module,
    wait_for_http,
    wait_for_port,
    wait_until,
)

#: Group of all balancers of a test bed.
GROUP: Final = 'qc-est'
#: Timeout of an HTTP request to a test double, in seconds.
HTTP_TIMEOUT_SECONDS: Final = 5.0
#: Listener ports of the test services.
FEED_PORT: Final = 7001
REQUEST_PORT: Final = 7002

_PEER_KEY: Final = '00112233445566778899aabbccddeeff'
_COMMAND_TIMEOUT_SECONDS: Final = 30.0
_READY_TIMEOUT_SECONDS: Final = 15.0


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """Declaration of a test service and its backend servers.

    Parameters
    ----------
    name : str
        Name of the service.
    address : str
        Its IPv4 address.
    host_prefix : str
        First three octets of the hosts of its backend servers.
    server_count : int
        Number of backend servers.
    slots : int
        Number of slots of each backend server.
    has_feeds : bool
        Whether it has a listener for feeds besides the one for requests.
    work_class : str
        Work class of its requests.
    """

    name: str
    address: str
    host_prefix: str
    server_count: int
    slots: int
    has_feeds: bool
    work_class: str


#: Services of the customer Buanderie Partagée Laval, scaled down.
CRENEAU: Final = ServicePlan(
    'creneau',
    '192.0.2.10',
    '10.8.1',
    3,
    2,
    has_feeds=True,
    work_class='urgent',
)
REGISTRE: Final = ServicePlan(
    'registre',
    '192.0.2.11',
    '10.8.2',
    2,
    2,
    has_feeds=False,
    work_class='bulk',
)


@dataclass(frozen=True, slots=True)
class Balancer:
    """A running balancer.

    Parameters
    ----------
    name, data_centre : str
        Taken from its settings.
    process : RunningProcess
        Process of the balancer.
    data_port, control_port, metrics_port : int
        Ports on the loopback interface.
    peer_port : int
        Advertised control port, which its peers send to.
    """

    name: str
    data_centre: str
    process: RunningProcess
    data_port: int
    control_port: int
    metrics_port: int
    peer_port: int


@dataclass(frozen=True, slots=True)
class Server:
    """A running backend server.

    Parameters
    ----------
    name, service, host, data_centre : str
        Fields of its declared object.
    slots : int
        Number of slots.
    process : RunningProcess
        Process of the backend server.
    report_port : int
        TCP port of its HTTP API with the load report.
    """

    name: str
    service: str
    host: str
    data_centre: str
    slots: int
    process: RunningProcess
    report_port: int


@dataclass(slots=True)
class Fleet:
    """Processes and addresses of a running test bed.

    Attributes
    ----------
    stack : ExitStack
        Stops the processes when it is closed.
    directory : Path
        Directory for settings files.
    store_port, fabric_port, fabric_control_port : int
        Ports of the platform and of the fabric.
    platform, fabric : RunningProcess
        Their processes.
    balancers : dict of str to Balancer
        Keyed by name.
    servers : dict of str to Server
        Keyed by name.
    hosts : dict of str to str
        UDP address of each backend server, keyed by its host.
    """

    stack: ExitStack
    directory: Path
    store_port: int
    fabric_port: int
    fabric_control_port: int
    platform: RunningProcess
    fabric: RunningProcess
    balancers: dict[str, Balancer] = field(default_factory=dict)
    servers: dict[str, Server] = field(default_factory=dict)
    hosts: dict[str, str] = field(default_factory=dict)

    @property
    def store_url(self) -> str:
        """Address of the object API."""
        return f'http://127.0.0.1:{self.store_port}'


@contextmanager
def run_fleet() -> Iterator[Fleet]:
    """Run a platform and a fabric, without balancers and backend servers.

    Yields
    ------
    Fleet
        Test bed whose processes are stopped when the context exits.
    """
    store_port, fabric_port, control_port = reserve_ports(3)
    with ExitStack() as stack:
        directory = stack.enter_context(TemporaryDirectory(prefix='fleet-'))
        platform = stack.enter_context(
            run_module('testbed.platform', '--port', store_port),
        )
        fabric = stack.enter_context(
            run_module(
                'testbed.fabric',
                '--port',
                fabric_port,
                '--control-port',
                control_port,
            ),
        )
        wait_for_port(store_port)
        wait_for_port(control_port)
        yield Fleet(
            stack,
            Path(directory),
            store_port,
            fabric_port,
            control_port,
            platform,
            fabric,
        )


def start_balancer(
    fleet: Fleet,
    name: str,
    data_centre: str,
    **changes: Any,
) -> Balancer:
    """Start a balancer and add it to the balancers of the fabric.

    Parameters
    ----------
    fleet : Fleet
        Changed in place.
    name : str
        Name of the balancer.
    data_centre : str
        Its data centre.
    **changes : object
        Settings that override the defaults of the test bed.

    Returns
    -------
    Balancer
        The running balancer; it may not be ready yet.
    """
    data_port, control_port, metrics_port = reserve_ports(3)
    peers = [
        {'host': '127.0.0.1', 'port': other.peer_port}
        for other in fleet.balancers.values()
    ]
    settings: dict[str, Any] = {
        'name': name,
        'group': GROUP,
        'data_centre': data_centre,
        'host': '127.0.0.1',
        'data_port': data_port,
        'control_port': control_port,
        'metrics_port': metrics_port,
        'fabric': {'host': '127.0.0.1', 'port': fleet.fabric_port},
        'store_url': fleet.store_url,
        'peers': peers,
        'peer_key': _PEER_KEY,
        **changes,
    }
    path = fleet.directory / f'{name}.json'
    path.write_text(json.dumps(settings))
    process = fleet.stack.enter_context(
        run_module('balsamshed', 'run', '--settings', path, name=name),
    )
    balancer = Balancer(
        name,
        data_centre,
        process,
        settings['data_port'],
        settings['control_port'],
        metrics_port,
        settings.get('advertised_control_port', settings['control_port']),
    )
    fleet.balancers[name] = balancer
    update_fabric(fleet)
    return balancer


def update_fabric(fleet: Fleet) -> None:
    """Send the data ports of the current balancers to the fabric."""
    table = {
        balancer.name: f'127.0.0.1:{balancer.data_port}'
        for balancer in fleet.balancers.values()
    }
    call_json_api(fleet.fabric_control_port, '/balancers', 'PUT', table)


def start_servers(
    fleet: Fleet,
    plan: ServicePlan,
    service_time_ms: int = 20,
) -> list[Server]:
    """Start the backend servers of a service.

    Parameters
    ----------
    fleet : Fleet
        Changed in place.
    plan : ServicePlan
        The service.
    service_time_ms : int
        Processing time of a request, in milliseconds.

    Returns
    -------
    list of Server
        The running servers.
    """
    servers = [
        _launch_server(fleet, plan, position, service_time_ms)
        for position in range(1, plan.server_count + 1)
    ]
    for server in servers:
        wait_for_port(server.report_port)
    return servers


def start_server(
    fleet: Fleet,
    plan: ServicePlan,
    position: int,
    service_time_ms: int = 20,
) -> Server:
    """Start one backend server of a service.

    Parameters
    ----------
    fleet : Fleet
        Changed in place.
    plan : ServicePlan
        The service.
    position : int
        One-based number of the backend server in its service.
    service_time_ms : int
        Processing time of a request, in milliseconds.

    Returns
    -------
    Server
        The running server.
    """
    server = _launch_server(fleet, plan, position, service_time_ms)
    wait_for_port(server.report_port)
    return server


def _launch_server(
    fleet: Fleet,
    plan: ServicePlan,
    position: int,
    service_time_ms: int,
) -> Server:
    port, report_port = reserve_ports(2)
    name = f'{plan.name}-{position}'
    host = f'{plan.host_prefix}.{position}'
    process = fleet.stack.enter_context(
        run_module(
            'testbed.backend_server',
            *('--name', name, '--service', plan.name, '--host', host),
            *('--port', port, '--report-port', report_port),
            *('--fabric-port', fleet.fabric_port),
            *('--feed-ports', FEED_PORT, '--request-ports', REQUEST_PORT),
            *('--slots', plan.slots, '--service-time-ms', service_time_ms),
            name=name,
        ),
    )
    server = Server(
        name,
        plan.name,
        host,
        f'qc-{position % 2 + 1}',
        plan.slots,
        process,
        report_port,
    )
    fleet.servers[name] = server
    fleet.hosts[host] = f'127.0.0.1:{port}'
    call_json_api(fleet.fabric_control_port, '/hosts', 'PUT', fleet.hosts)
    return server


def build_service_objects(
    plan: ServicePlan,
    servers: list[Server],
) -> list[dict[str, Any]]:
    """Return the objects that declare a service and its backend servers.

    Parameters
    ----------
    plan : ServicePlan
        The service.
    servers : list of Server
        Its backend servers.

    Returns
    -------
    list of dict
        Objects in the input format of the command ``apply``.
    """
    listeners = [
        {
            'name': 'requests',
            'port': REQUEST_PORT,
            'kind': 'request',
            'work_class': plan.work_class,
        },
    ]
    if plan.has_feeds:
        listeners.append(
            {
                'name': 'feed',
                'port': FEED_PORT,
                'kind': 'feed',
                'work_class': 'feed',
            }
        )
    service = {
        'kind': 'service',
        'name': plan.name,
        'spec': {
            'customer': 'buanderie',
            'address': plan.address,
            'listeners': listeners,
        },
    }
    return [service, *map(_build_server_object, servers)]


def run_operator_command(fleet: Fleet, *arguments: object) -> tuple[int, str]:
    """Run a command of the operator's command line.

    Parameters
    ----------
    fleet : Fleet
        Test bed whose store is used.
    *arguments : object
        The command and its arguments.

    Returns
    -------
    tuple of (int, str)
        Exit status and output.
    """
    completed = run(
        [sys.executable, '-m', 'balsamshed', *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=_COMMAND_TIMEOUT_SECONDS,
        check=False,
        env={
            **os.environ,
            'BALSAMSHED_GROUP': GROUP,
            'BALSAMSHED_STORE_URL': fleet.store_url,
        },
    )
    return completed.returncode, completed.stdout + completed.stderr


def apply_objects(fleet: Fleet, objects: list[dict[str, Any]]) -> str:
    """Declare objects with the command ``apply``.

    Parameters
    ----------
    fleet : Fleet
        Test bed whose store is used.
    objects : list of dict
        Objects to declare.

    Returns
    -------
    str
        Output of the command.

    Raises
    ------
    RuntimeError
        If the command fails.
    """
    path = fleet.directory / 'objects.json'
    path.write_text(json.dumps(objects))
    exit_status, output = run_operator_command(fleet, 'apply', path)
    if exit_status:
        raise RuntimeError(f'apply exited with status {exit_status}: {output}')
    return output


def wait_until_ready(fleet: Fleet) -> None:
    """Wait until every balancer is ready and has all others as members."""
    for balancer in fleet.balancers.values():
        wait_for_http(f'http://127.0.0.1:{balancer.metrics_port}/readyz')
    count = len(fleet.balancers)

    def has_all_members() -> bool:
        return all(
            read_metric(balancer, 'balsamshed_members') == count
            for balancer in fleet.balancers.values()
        )

    wait_until(has_all_members, f'{count} members', _READY_TIMEOUT_SECONDS)


def wait_until_serving(fleet: Fleet) -> None:
    """Wait until every balancer has all others and takes new flows.

    Objects must have been applied. A balancer drops openings for a moment
    after it has met its group, and is not ready then. It refuses those of a
    service whose backend servers it has not received yet.
    """
    wait_until_ready(fleet)
    _wait_until_applied(fleet)
    for balancer in fleet.balancers.values():
        url = f'http://127.0.0.1:{balancer.metrics_port}/readyz'
        wait_until(
            partial(is_url_found, url),
            f'{balancer.name} takes new flows',
            _READY_TIMEOUT_SECONDS,
        )


def _wait_until_applied(fleet: Fleet) -> None:
    """Wait until the declared objects are in force on every balancer."""
    listing = call_json_api(
        fleet.store_port, f'/v1/objects?prefix={GROUP}/backend_server/'
    )
    newest = max(entry['version'] for entry in listing['objects'])

    def is_applied() -> bool:
        return all(
            read_metric(balancer, 'balsamshed_catalog_highest_version')
            >= newest
            for balancer in fleet.balancers.values()
        )

    wait_until(is_applied, f'version {newest}', _READY_TIMEOUT_SECONDS)


def read_metric(balancer: Balancer, name: str) -> float:
    """Read a metric without labels.

    Parameters
    ----------
    balancer : Balancer
        A running balancer.
    name : str
        Name of the metric.

    Returns
    -------
    float
        Its value; zero if it has none yet.
    """
    url = f'http://127.0.0.1:{balancer.metrics_port}/metrics'
    with urlopen(url, timeout=HTTP_TIMEOUT_SECONDS) as response:
        for line in response.read().decode().splitlines():
            if line.startswith((f'{name} ', f'{name}{{}} ')):
                return float(line.rsplit(' ', maxsplit=1)[1])
    return 0


def call_json_api(
    port: int,
    path: str,
    method: str = 'GET',
    body: object = None,
) -> Any:
    """Call the HTTP API of a test double.

    Parameters
    ----------
    port : int
        TCP port on the loopback interface.
    path : str
        Path, with a leading slash.
    method : str
        HTTP method.
    body : object
        JSON document to send, or None.

    Returns
    -------
    object
        Decoded JSON document of the response; None if it is empty.
    """
    payload = None if body is None else json.dumps(body).encode()
    request = Request(  # noqa: S310
        f'http://127.0.0.1:{port}{path}',
        data=payload,
        method=method,
    )
    with urlopen(request, timeout=HTTP_TIMEOUT_SECONDS) as response:
        content = response.read()
    return json.loads(content) if content else None


def read_runs(fleet: Fleet) -> dict[str, Any]:
    """Return the record of runs of each backend server, keyed by name."""
    return {
        name: call_json_api(server.report_port, '/runs')
        for name, server in fleet.servers.items()
    }


def _build_server_object(server: Server) -> dict[str, Any]:
    return {
        'kind': 'backend_server',
        'name': server.name,
        'spec': {
            'service': server.service,
            'host': server.host,
            'data_centre': server.data_centre,
            'slots': server.slots,
            'load_url': f'http://127.0.0.1:{server.report_port}/load',
        },
    }
