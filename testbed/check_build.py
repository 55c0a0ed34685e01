"""Runs the built zipapp as a balancer and measures it while it is idle."""

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
    HTTP_TIMEOUT_SECONDS,
    Fleet,
    apply_objects,
    build_service_objects,
    run_fleet,
)
from testbed.measure_packets import (
    read_processor_seconds,
    read_resident_bytes,
)
from testbed.ports import reserve_ports
from testbed.processes import (
    RunningProcess,
    run_command,
    wait_for_exit,
    wait_until,
)

#: Bound on the memory of an idle balancer (section 1.5 of the design page).
MAX_IDLE_MEMORY_MEGABYTES: Final = 64
#: Bound on its processor time, in percent of a core (section 1.5, too).
MAX_IDLE_PROCESSOR_PERCENT: Final = 1
#: How long a balancer is sampled while it is idle, in seconds.
IDLE_PERIOD_SECONDS: Final = 10

_MEGABYTE: Final = 1_000_000
_PERCENT: Final = 100
_STOP_TIMEOUT_SECONDS: Final = 10
_START_TIMEOUT_SECONDS: Final = 30
_PEER_KEY: Final = '00112233445566778899aabbccddeeff'
_EXCLUDED_PACKAGES: Final = (
    'cryptography',
    'OpenSSL',
    'service_identity',
    'treq',
)


@dataclass(slots=True)
class ProcessPeaks:
    """Highest values sampled from a process since its start.

    Attributes
    ----------
    children : int
        Highest number of its child processes.
    threads : int
        Highest number of its threads.
    samples : int
        Number of samples.
    """

    children: int = 0
    threads: int = 0
    samples: int = 0


def list_build_figures(path: Path) -> list[Figure]:
    """Measure the zipapp.

    Parameters
    ----------
    path : Path
        Path of the zipapp.

    Returns
    -------
    list of Figure
        Measured figures; those without a bound have an infinite one.
    """
    size = path.stat().st_size / _MEGABYTE
    with run_fleet() as fleet, TemporaryDirectory(prefix='shiv-') as root:
        apply_objects(fleet, build_service_objects(CRENEAU, []))
        # The balancer starts twice, since only the first start extracts the
        # zipapp.
        first = _measure_balancer(fleet, path, root, 'first', 0)
        second = _measure_balancer(
            fleet, path, root, 'second', IDLE_PERIOD_SECONDS
        )
        missing_facts = _count_missing_facts(path, root)
        unshipped = [
            name
            for name in _EXCLUDED_PACKAGES
            if list(Path(root).glob(f'*/*/{name}'))
        ]
    return [
        Figure('built_file_size', size, 1, inf, 'MB'),
        Figure('unshipped_packages', len(unshipped), 4, 0, 'packages'),
        Figure('missing_build_facts', missing_facts, 2, 0, 'facts'),
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
    peaks = ProcessPeaks()
    started_at = time.monotonic()
    with run_command(command, name) as process:
        wait_until(
            lambda: _is_ready(process, peaks, metrics_port),
            f'the {name} balancer is ready',
            _START_TIMEOUT_SECONDS,
        )
        seconds = time.monotonic() - started_at
        idle = _measure_idle(process, peaks, idle_seconds)
        status = _stop(process)
    total = peaks.samples
    return [
        Figure(f'{name}_start', seconds, 1, inf, 's'),
        Figure(f'{name}_processes', peaks.children, total, 0, 'processes'),
        Figure(f'{name}_threads', peaks.threads, total, 1, 'threads'),
        Figure(f'{name}_exit_status', abs(status), 1, 0, 'status'),
        *idle,
    ]


def _measure_idle(
    process: RunningProcess,
    peaks: ProcessPeaks,
    seconds: int,
) -> list[Figure]:
    if not seconds:
        return []
    process_id = process.popen.pid
    # The join and the first list of records are not part of the idle time.
    time.sleep(2)
    start_seconds = read_processor_seconds(process_id)
    for _ in range(seconds):
        time.sleep(1)
        _sample_process(process_id, peaks)
    used_seconds = read_processor_seconds(process_id) - start_seconds
    percent = used_seconds / seconds * _PERCENT
    memory = read_resident_bytes(process_id) / _MEGABYTE
    return [
        Figure('idle_memory', memory, 1, MAX_IDLE_MEMORY_MEGABYTES, 'MB'),
        Figure(
            'idle_processor',
            percent,
            seconds,
            MAX_IDLE_PROCESSOR_PERCENT,
            'percent',
        ),
    ]


def _is_ready(
    process: RunningProcess,
    peaks: ProcessPeaks,
    metrics_port: int,
) -> bool:
    if process.popen.poll() is not None:
        raise RuntimeError(f'{process.name} exited before it was ready')
    _sample_process(process.popen.pid, peaks)
    url = f'http://127.0.0.1:{metrics_port}/readyz'
    try:
        urlopen(url, timeout=HTTP_TIMEOUT_SECONDS).close()  # noqa: S310
    except OSError:
        # Nothing listens yet, or the balancer is not ready without records.
        return False
    return True


def _sample_process(process_id: int, peaks: ProcessPeaks) -> None:
    threads = len(os.listdir(f'/proc/{process_id}/task'))
    peaks.threads = max(peaks.threads, threads)
    peaks.children = max(peaks.children, _count_children(process_id))
    peaks.samples += 1


def _count_children(process_id: int) -> int:
    count = 0
    for path in Path('/proc').glob('[0-9]*/stat'):
        try:
            text = path.read_text()
        except OSError:
            # The process has exited since the directory was listed.
            continue
        count += int(text.rpartition(')')[2].split()[1]) == process_id
    return count


def _stop(process: RunningProcess) -> int:
    process.popen.terminate()
    return wait_for_exit(process, _STOP_TIMEOUT_SECONDS)


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
    # -S hides the site-packages of this environment, so that only the
    # packages in the zipapp are imported.
    program = [sys.executable, '-S', str(path), *arguments]
    return ['env', f'SHIV_ROOT={root}', *program]


def _write_settings(fleet: Fleet, name: str) -> tuple[Path, int]:
    data_port, control_port, metrics_port = reserve_ports(3)
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
