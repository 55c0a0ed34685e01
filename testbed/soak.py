"""Soak test: edge balancer processes under seeded faults.

``python -m testbed.soak --seeds 50`` runs 50 seeds one after the other. A seed
determines the schedule of faults and the random choices of the callers, but
not the timing of the processes, so the logs of a failed run are kept and its
seed can be run again. ``--shrink-failing`` removes the faults that a failing
seed does not need, and ``--report FILE`` writes charts of the faults and of the
served, late and unserved flows. ``--restores-store`` and ``--odd-entries`` add
faults of the store, and leave the other faults of a seed as they are.
"""

import asyncio
import shutil
import signal
import sys
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Final

import defopt
from rich.console import Console
from rich.progress import track

from testbed.edge_site import SERVICE_PORT, get_host, open_site
from testbed.soak_faults import (
    inject_fault,
    plan_faults,
    plan_odd_entries,
    plan_restores,
)
from testbed.soak_oracle import FaultHistory, find_violations
from testbed.soak_report import render_report
from testbed.soak_results import ScheduledFault, SeedResult, shrink_schedule
from testbed.soak_run import (
    BALANCER_COUNT,
    ENDPOINT_COUNT,
    SoakRun,
    create_receiver,
    open_flows,
    receive_reset,
    run_flow,
)
from testbed.store_proxy import StoreProxy

#: Time limit after the last fault for all balancers to become ready, and then
#: again for the final flows to be served.
RECOVERY_SECONDS: Final = 6.0
#: Flows opened after the last fault, all of which have to be served.
FINAL_FLOW_COUNT: Final = 40


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    restores_store: bool = False,
    odd_entries: bool = False,
) -> SeedResult:
    """Run the schedule of one seed.

    Parameters
    ----------
    seed : int
        Seed of the schedule and of the choices during the run.
    seconds : float
        Time within which all faults start.
    folder : Path
        Folder for settings and logs.
    restores_store : bool
        Whether the store also comes back from older copies.
    odd_entries : bool
        Whether another writer also leaves odd entries.

    Returns
    -------
    SeedResult
        Outcomes of the flows, and all violations.
    """
    random = Random(seed)
    faults = plan_faults(random, seconds)
    if restores_store:
        faults += plan_restores(Random(seed), seconds)
    if odd_entries:
        faults += plan_odd_entries(Random(seed), seconds)
    return await run_schedule(seed, faults, random, folder)


async def run_schedule(
    seed: int,
    faults: tuple[ScheduledFault, ...],
    random: Random,
    folder: Path,
) -> SeedResult:
    """Run a schedule of faults.

    Parameters
    ----------
    seed : int
        Seed that is recorded in the result.
    faults : tuple of ScheduledFault
        The schedule.
    random : Random
        Random numbers of the callers and of the faults.
    folder : Path
        Folder for settings and logs.

    Returns
    -------
    SeedResult
        Outcomes of the flows, and all violations.
    """
    with open_site(folder) as site:
        soak = SoakRun(site, random)
        await _start_site(soak)
        tasks = [
            asyncio.create_task(inject_fault(soak, fault)) for fault in faults
        ]
        callers = asyncio.create_task(open_flows(soak))
        await asyncio.gather(*tasks)
        violations = await _check_recovery(soak)
        callers.cancel()
        history = FaultHistory(
            soak.draining_since,
            soak.route_removed_at,
            tuple(soak.fault_intervals),
        )
        violations += find_violations(history, soak.deliveries, soak.resets)
    return SeedResult(seed, faults, tuple(soak.outcomes), tuple(violations))


async def _start_site(soak: SoakRun) -> None:
    site = soak.site
    await site.start_store()
    for number in range(1, ENDPOINT_COUNT + 1):
        await site.start_endpoint(number)
        site.endpoints[number].handle_datagram = create_receiver(soak, number)
    for number in range(1, BALANCER_COUNT + 1):
        proxy = StoreProxy(site.store_port)
        site.store_ports[number] = next(site.free_ports)
        await proxy.serve(site.store_ports[number])
        soak.store_proxies[number] = proxy
        site.start_balancer(number)
    loop = asyncio.get_running_loop()
    loop.add_reader(site.caller_socket, receive_reset, soak)
    soak.fault_intervals.append((0, 2, 0))
    await _wait_ready(soak)


async def _wait_ready(soak: SoakRun) -> list[int]:
    """Wait for all balancers and return those that are not ready in time."""
    deadline = soak.now() + RECOVERY_SECONDS
    waiting = list(range(1, BALANCER_COUNT + 1))
    while waiting and soak.now() < deadline:
        await asyncio.sleep(0.1)
        waiting = [
            number
            for number in waiting
            if not await soak.site.is_ready(get_host(number))
        ]
    return waiting


async def _check_recovery(soak: SoakRun) -> list[str]:
    for number, process in soak.site.processes.items():
        process.send_signal(signal.SIGCONT)
        if process.poll() is not None:
            soak.site.start_balancer(number)
    violations = [
        f'balancer {number} is not ready {RECOVERY_SECONDS} s after the faults'
        for number in await _wait_ready(soak)
    ]
    deadline = soak.now() + RECOVERY_SECONDS
    served = 0
    while served < FINAL_FLOW_COUNT and soak.now() < deadline:
        flows = [run_flow(soak, SERVICE_PORT) for _ in range(FINAL_FLOW_COUNT)]
        served = sum(await asyncio.gather(*flows))
    if served < FINAL_FLOW_COUNT:
        violations.append(
            f'{served} of {FINAL_FLOW_COUNT} flows served after the faults'
        )
    return violations


def run(
    *,
    seeds: int = 5,
    first: int = 1,
    seconds: float = 10,
    report: str = '',
    shrink_failing: bool = False,
    restores_store: bool = False,
    odd_entries: bool = False,
) -> int:
    """Run seeds and keep the logs of those that fail.

    Parameters
    ----------
    seeds
        Number of seeds.
    first
        First seed.
    seconds
        Time within which all faults of a seed start.
    report
        HTML file for the charts of all runs.
    shrink_failing
        Whether to remove the faults that a failing seed does not need.
    restores_store
        Whether the store also comes back from older copies.
    odd_entries
        Whether another writer also leaves odd entries.

    Returns
    -------
    int
        Exit status: 1 if a run had violations.
    """
    results: list[SeedResult] = []
    for seed in track(
        range(first, first + seeds), console=Console(stderr=True)
    ):
        folder = Path(mkdtemp(prefix=f'soak-{seed}-'))
        result = asyncio.run(
            run_seed(
                seed,
                seconds,
                folder,
                restores_store=restores_store,
                odd_entries=odd_entries,
            )
        )
        results.append(result)
        failed = sum(bool(run.violations) for run in results)
        _print_line(
            f'seed={seed} violations={len(result.violations)} failed={failed}',
        )
        if result.violations:
            _print_failure(result, seconds, folder)
            if shrink_failing:
                _print_needed_faults(result)
        else:
            shutil.rmtree(folder)
    if report:
        Path(report).write_text(render_report(results), 'utf-8')
    return int(any(run.violations for run in results))


def _print_failure(result: SeedResult, seconds: float, folder: Path) -> None:
    for line in (*map(str, result.faults), *result.violations):
        _print_line(line)
    _print_line(
        f'run again: python -m testbed.soak --seeds 1 --first {result.seed} '
        f'--seconds {seconds}; logs: {folder}',
    )


def _print_needed_faults(result: SeedResult) -> None:
    def still_fails(faults: tuple[ScheduledFault, ...]) -> bool:
        folder = Path(mkdtemp(prefix=f'soak-{result.seed}-shrink-'))
        random = Random(result.seed)
        rerun = asyncio.run(run_schedule(result.seed, faults, random, folder))
        shutil.rmtree(folder)
        return bool(rerun.violations)

    for fault in shrink_schedule(result.faults, still_fails):
        _print_line(f'needed: {fault}')


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(defopt.run(run, short={}))
