"""Runs the built file as a balancer and measures it while it is idle."""

import json
import os
import sys
import time
from dataclasses import dataclass
from math import inf
from pathlib import Path
from subprocess import run  # noqa: S404  (runs the built file)
from tempfile import TemporaryDirectory
from typing import Final
from urllib.request import urlopen

from balsamshed.builds import UNBUILT
from testbed.figures import Figure
from testbed.fleet import (
    CRENEAU,
    GROUP,
    HTTP_SECONDS,
    Fleet,
    apply_objects,
    build_objects,
    run_fleet,
)
from testbed.measure_packets import (
    read_processor_seconds,
    read_resident_bytes,
)
from testbed.processes import (
    RunningProcess,
    pick_free_ports,
    run_command,
    wait_for_exit,
    wait_until,
)

#: Bounds of design section 1.5 for an idle balancer.
MEMORY_MEGABYTES: Final = 64
#: Processor time of an idle balancer, in percent of a core.
IDLE_PERCENT: Final = 1
#: How long a balancer is watched while it is idle.
IDLE_SECONDS: Final = 10

_MEGABYTE: Final = 1_000_000
_PERCENT: Final = 100
_LEAVE_SECONDS: Final = 10
_START_SECONDS: Final = 30
_PEER_KEY: Final = '00112233445566778899aabbccddeeff'
_UNSHIPPED: Final = ('cryptography', 'OpenSSL', 'service_identity', 'treq')


@dataclass(slots=True)
class Watched:
    """The most that was seen of a process since its start.

    Attributes
    ----------
    children : int
        Processes that it had started.
    threads : int
        Its threads.
    samples : int
        How often it was looked at.
    """

    children: int = 0
    threads: int = 0
    samples: int = 0


def list_build_figures(path: Path) -> list[Figure]:
    """Measure the built file.

    Parameters
    ----------
    path : Path
        The file.

    Returns
    -------
    list of Figure
        The figures; those without a bound have an infinite one.
    """
    size = path.stat().st_size / _MEGABYTE
    with run_fleet() as fleet, TemporaryDirectory(prefix='shiv-') as root:
        apply_objects(fleet, build_objects(CRENEAU, []))
        # Two starts: only the first one extracts the file.
        first = _measure_balancer(fleet, path, root, 'first', 0)
        second = _measure_balancer(fleet, path, root, 'second', IDLE_SECONDS)
        unnamed = _count_missing_facts(path, root)
        unshipped = [
            name for name in _UNSHIPPED if list(Path(root).glob(f'*/*/{name}'))
        ]
    return [
        Figure('built_file_size', size, 1, inf, 'MB'),
        Figure('unshipped_packages', len(unshipped), 4, 0, 'packages'),
        Figure('missing_build_facts', unnamed, 2, 0, 'facts'),
        *first,
        *second,
    ]


def _measure_balancer(
    fleet: Fleet,
    path: Path,
    root: str,
    name: str,
    idle_seconds: int,
) -> list[Figure]:
    settings, metrics_port = _write_settings(fleet, name)
    command = _build_command(path, root, 'run', '--settings', str(settings))
    watched = Watched()
    started_at = time.monotonic()
    with run_command(command, name) as process:
        wait_until(
            lambda: _is_listening(process, watched, metrics_port),
            f'the {name} balancer listens',
            _START_SECONDS,
        )
        seconds = time.monotonic() - started_at
        idle = _measure_idle(process, watched, idle_seconds)
        status = _stop(process)
    total = watched.samples
    return [
        Figure(f'{name}_start', seconds, 1, inf, 's'),
        Figure(f'{name}_processes', watched.children, total, 0, 'processes'),
        Figure(f'{name}_threads', watched.threads, total, 1, 'threads'),
        Figure(f'{name}_exit_status', abs(status), 1, 0, 'status'),
        *idle,
    ]


def _measure_idle(
    process: RunningProcess,
    watched: Watched,
    seconds: int,
) -> list[Figure]:
    if not seconds:
        return []
    process_id = process.popen.pid
    # The joining and the first list of records are not idle time.
    time.sleep(2)
    before = read_processor_seconds(process_id)
    for _ in range(seconds):
        time.sleep(1)
        _watch(process_id, watched)
    spent = read_processor_seconds(process_id) - before
    percent = spent / seconds * _PERCENT
    memory = read_resident_bytes(process_id) / _MEGABYTE
    return [
        Figure('idle_memory', memory, 1, MEMORY_MEGABYTES, 'MB'),
        Figure('idle_processor', percent, seconds, IDLE_PERCENT, 'percent'),
    ]


def _is_listening(
    process: RunningProcess,
    watched: Watched,
    metrics_port: int,
) -> bool:
    if process.popen.poll() is not None:
        raise RuntimeError(f'{process.name} ended while it started')
    _watch(process.popen.pid, watched)
    url = f'http://127.0.0.1:{metrics_port}/readyz'
    try:
        urlopen(url, timeout=HTTP_SECONDS).close()  # noqa: S310
    except OSError:
        # Nothing listens yet, or the balancer has no records yet.
        return False
    return True


def _watch(process_id: int, watched: Watched) -> None:
    threads = len(os.listdir(f'/proc/{process_id}/task'))
    watched.threads = max(watched.threads, threads)
    watched.children = max(watched.children, _count_children(process_id))
    watched.samples += 1


def _count_children(process_id: int) -> int:
    count = 0
    for path in Path('/proc').glob('[0-9]*/stat'):
        try:
            text = path.read_text()
        except OSError:
            # The process has ended since the table was listed.
            continue
        count += int(text.rpartition(')')[2].split()[1]) == process_id
    return count


def _stop(process: RunningProcess) -> int:
    process.popen.terminate()
    return wait_for_exit(process, _LEAVE_SECONDS)


def _count_missing_facts(path: Path, root: str) -> int:
    completed = run(  # noqa: S603
        _build_command(path, root, 'version', '--output', 'json'),
        check=True,
        capture_output=True,
        text=True,
    )
    build = json.loads(completed.stdout)
    return sum(build[key] == UNBUILT for key in ('commit', 'built_at'))


def _build_command(path: Path, root: str, *arguments: str) -> list[str]:
    # Without site-packages of this environment only the file's own are left.
    program = [sys.executable, '-S', str(path), *arguments]
    return ['env', f'SHIV_ROOT={root}', *program]


def _write_settings(fleet: Fleet, name: str) -> tuple[Path, int]:
    data_port, control_port, metrics_port = pick_free_ports(3)
    settings = {
        'name': name,
        'group': GROUP,
        'data_centre': 'qc-1',
        'host': '127.0.0.1',
        'data_port': data_port,
        'control_port': control_port,
        'metrics_port': metrics_port,
        'fabric': {'host': '127.0.0.1', 'port': fleet.fabric_port},
        'store_url': fleet.store_url,
        'peer_key': _PEER_KEY,
    }
    path = fleet.directory / f'{name}.json'
    path.write_text(json.dumps(settings))
    return path, metrics_port
