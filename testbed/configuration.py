"""Reads and changes configuration through the store, logs and status."""

import json
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from datetime import datetime
from http import HTTPStatus
from typing import Any, Final
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from balsamshed.logs.lines import parse_line
from testbed.fleet import (
    GROUP,
    HTTP_TIMEOUT_SECONDS,
    REQUEST_PORT,
    Balancer,
    Fleet,
    ServicePlan,
    call_json_api,
    run_fleet,
    start_balancer,
)
from testbed.processes import kill_process, wait_until

#: Bound of G8 for a change to be in force on every reachable balancer.
MAX_IN_FORCE_SECONDS: Final = 5.0

# Longer than the bound, so that the time of a late version is measured.
_IN_FORCE_TIMEOUT_SECONDS: Final = 10.0

#: Faults of the platform, all inactive.
NO_FAULTS: Final[Mapping[str, object]] = {
    'outage': False,
    'delay_ms': 0,
    'lose_write_responses': 0,
    'stale_reads': False,
    'silent_watches': False,
    'compacted': False,
}


@contextmanager
def run_balancers(placements: Iterable[tuple[str, str]]) -> Iterator[Fleet]:
    """Run a platform, a fabric and balancers, and kill the balancers at exit.

    Parameters
    ----------
    placements : iterable of (str, str)
        Name and data centre of each balancer.

    Yields
    ------
    Fleet
        Test bed whose balancers may not be ready yet.
    """
    with run_fleet() as fleet:
        for name, data_centre in placements:
            start_balancer(fleet, name, data_centre)
        try:
            yield fleet
        finally:
            # A graceful stop would take two seconds for each balancer.
            for balancer in fleet.balancers.values():
                kill_process(balancer.process)


def set_faults(fleet: Fleet, **changes: object) -> None:
    """Change faults of the platform."""
    call_json_api(fleet.store_port, '/faults', 'POST', changes)


def write_object(
    fleet: Fleet,
    key: str,
    body: object,
    version: int | None = None,
    group: str = GROUP,
) -> int:
    """Write an object to the store without the command line.

    Parameters
    ----------
    fleet : Fleet
        Test bed whose store is used.
    key : str
        Key of the object without the group.
    body : object
        JSON document.
    version : int, optional
        Expected version; the current one if omitted.
    group : str
        Group of the object.

    Returns
    -------
    int
        The new version.
    """
    if version is None:
        version = read_object(fleet, key).get('version', 0)
    request = Request(  # noqa: S310
        f'{fleet.store_url}/v1/objects/{group}/{key}',
        data=json.dumps(body).encode(),
        method='PUT',
        headers={'If-Match': str(version)},
    )
    with urlopen(request, timeout=HTTP_TIMEOUT_SECONDS) as response:
        return int(json.loads(response.read())['version'])


def read_object(fleet: Fleet, key: str) -> dict[str, Any]:
    """Return an object of the test group and its version; empty if missing."""
    return read_object_by_key(fleet, f'{GROUP}/{key}')


def read_object_by_key(fleet: Fleet, key: str) -> dict[str, Any]:
    """Return an object by its full key, and its version; empty if missing."""
    try:
        found = call_json_api(fleet.store_port, f'/v1/objects/{key}')
    except HTTPError as error:
        if error.code == HTTPStatus.NOT_FOUND:
            return {}
        raise
    return dict(found)


def update_spec(fleet: Fleet, key: str, **changes: object) -> int:
    """Change fields of an object's specification without the command line.

    Returns
    -------
    int
        The new version.
    """
    current = read_object(fleet, key)
    spec = {**current['body']['spec'], **changes}
    return write_object(
        fleet,
        key,
        {**current['body'], 'spec': spec},
        current['version'],
    )


def read_status(fleet: Fleet, data_centre: str) -> dict[str, Any]:
    """Return the status of a data centre; empty if there is none."""
    found = read_object(fleet, f'status/{data_centre}')
    return dict(found['body']['spec']) if found else {}


def read_log_lines(balancer: Balancer, event: str) -> list[dict[str, str]]:
    """Return the log lines of an event, oldest first."""
    text = balancer.process.stderr_path.read_text(errors='replace')
    # The process may still be writing the last line.
    lines = text[: text.rfind('\n') + 1].splitlines()
    matching = (line for line in lines if f' event={event}' in line)
    return [parse_line(line) for line in matching]


def find_in_force_at(balancer: Balancer, version: int) -> float | None:
    """Return when a version came into force on a balancer.

    Parameters
    ----------
    balancer : Balancer
        Balancer whose log is read.
    version : int
        Version that the store assigned to a write.

    Returns
    -------
    float or None
        Seconds since the Unix epoch; None if it is not in force yet.
    """
    for line in read_log_lines(balancer, 'record_in_force'):
        if line['version'] == str(version):
            return datetime.fromisoformat(line['time']).timestamp()
    return None


def wait_until_in_force(
    balancers: Iterable[Balancer],
    version: int,
    accepted_at: float,
    seconds: float = _IN_FORCE_TIMEOUT_SECONDS,
) -> float:
    """Wait until a version is in force on balancers.

    Parameters
    ----------
    balancers : iterable of Balancer
        Balancers that have to apply the version.
    version : int
        Version that the store assigned to a write.
    accepted_at : float
        When the write was accepted, in seconds since the Unix epoch.
    seconds : float
        Timeout.

    Returns
    -------
    float
        Seconds from `accepted_at` until it was in force on the last balancer.

    Raises
    ------
    TimeoutError
        If it is not in force in time.
    """
    required = tuple(balancers)

    def is_in_force_everywhere() -> bool:
        return all(
            find_in_force_at(balancer, version) is not None
            for balancer in required
        )

    wait_until(is_in_force_everywhere, f'version {version} in force', seconds)
    return max(
        (find_in_force_at(balancer, version) or 0) - accepted_at
        for balancer in required
    )


def count_reverts(balancers: Iterable[Balancer]) -> int:
    """Count records that came into force after a newer version of them."""
    reverts = 0
    for balancer in balancers:
        newest: dict[str, int] = {}
        for line in read_log_lines(balancer, 'record_in_force'):
            key, version = line['key'], int(line['version'])
            reverts += version <= newest.get(key, 0)
            newest[key] = max(version, newest.get(key, 0))
    return reverts


def declare_services_without_servers(fleet: Fleet, *plans: ServicePlan) -> None:
    """Declare services whose backend servers are not running.

    Parameters
    ----------
    fleet : Fleet
        Test bed whose store is used.
    *plans : ServicePlan
        The services.
    """
    for plan in plans:
        listeners = [
            {
                'name': 'requests',
                'port': REQUEST_PORT,
                'kind': 'request',
                'work_class': plan.work_class,
            },
        ]
        spec: dict[str, object] = {
            'customer': 'buanderie',
            'address': plan.address,
            'listeners': listeners,
        }
        write_object(fleet, f'service/{plan.name}', {'spec': spec}, 0)
        for position in range(1, plan.server_count + 1):
            spec = {
                'service': plan.name,
                'host': f'{plan.host_prefix}.{position}',
                'data_centre': 'qc-1',
                'slots': plan.slots,
            }
            key = f'backend_server/{plan.name}-{position}'
            write_object(fleet, key, {'spec': spec}, 0)
