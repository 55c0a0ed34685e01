"""Soak test: edge balancer processes under seeded faults.

``python -m testbed.soak --seeds 50`` runs 50 seeds one after the other. A seed
determines the schedule of faults and the random choices of the callers, but
not the timing of the processes, so the logs of a failed run are kept and its
seed can be run again. ``--shrink-failing`` removes the faults that a failing
seed does not need, and ``--report FILE`` writes charts of the faults and of the
served, late and unserved flows.
"""

import asyncio
import shutil
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from tempfile import mkdtemp
from typing import Final

import defopt
from rich.console import Console
from rich.progress import track

from testbed.edge_site import (
    ACK,
    FIN,
    SERVICE_PORT,
    SYN,
    EdgeSite,
    build_packet,
    get_cookie,
    get_host,
    open_site,
)
from testbed.metadata_store import (
    delete_object,
    restore_snapshot,
    take_snapshot,
)
from testbed.soak_oracle import (
    Delivery,
    FaultHistory,
    Reset,
    find_violations,
)
from testbed.soak_report import render_report
from testbed.soak_results import (
    FlowOutcome,
    OutcomeKind,
    ScheduledFault,
    SeedResult,
    shrink_schedule,
)
from testbed.store_proxy import ProxyMode, StoreProxy

BALANCER_COUNT: Final = 4
ENDPOINT_COUNT: Final = 6
#: Interval at which flows are opened.
FLOW_INTERVAL_SECONDS: Final = 0.03
#: Time limit after the last fault for all balancers to become ready, and then
#: again for the final flows to be served.
RECOVERY_SECONDS: Final = 6.0
#: Port of the route that faults add and remove.
EXTRA_ROUTE_PORT: Final = 8080
#: Waits after an opening packet and after each of its two retries.
OPENING_WAITS_SECONDS: Final = (0.2, 0.4, 0.8)
#: Flows opened after the last fault, all of which have to be served.
FINAL_FLOW_COUNT: Final = 40
#: Entries expire after three heartbeats without a write, so a shorter outage
#: of the store cannot make them expire.
ENTRY_LIFETIME_SECONDS: Final = 2.4
#: Share of the flows that use the extra route.
EXTRA_ROUTE_SHARE: Final = 0.1
#: Sequence numbers of an endpoint's entry: at first, when it drains, and when
#: it writes again what a restored store has lost.
READY_SEQUENCE: Final = 1
DRAINING_SEQUENCE: Final = 2
REWRITTEN_SEQUENCE: Final = 3
#: Time in which operator and endpoints write again what the store has lost.
REWRITE_SECONDS: Final = 1
_FIRST_FLOW: Final = 20000
_OK: Final = 200


@dataclass(frozen=True, slots=True)
class SentPacket:
    """A packet that a caller sent.

    Parameters
    ----------
    sent_at : float
        Seconds since the start.
    balancer : int
        Balancer to which the packet was sent.
    route_port : int
        Service port to which the packet was sent.
    packet : bytes
        The encoded packet.
    """

    sent_at: float
    balancer: int
    route_port: int
    packet: bytes


class SoakRun:
    """State of one run: the injected faults and what was observed.

    Parameters
    ----------
    site : EdgeSite
        Store, endpoints and balancers.
    random : Random
        Random numbers of the callers and of the faults.
    """

    def __init__(self, site: EdgeSite, random: Random) -> None:
        """Create a run in which nothing has happened yet."""
        self.site = site
        self.random = random
        self.started_at = time.monotonic()
        self.store_proxies: dict[int, StoreProxy] = {}
        self.deliveries: list[Delivery] = []
        self.resets: list[Reset] = []
        self.fault_intervals: list[tuple[float, float, int]] = []
        self.draining_since: dict[int, float] = {}
        self.route_removed_at: dict[int, float] = {}
        self.sent_packets: dict[int, list[SentPacket]] = {}
        self.cookies: dict[int, int] = {}
        self.outcomes: list[FlowOutcome] = []
        self.version = 1
        self.extra_ports: tuple[int, ...] = ()
        self.next_flow = _FIRST_FLOW
        self.active_outages = 0

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at


def plan_faults(random: Random, seconds: float) -> tuple[ScheduledFault, ...]:
    """Return a random schedule of faults of all kinds, which may overlap."""
    count = random.randint(4, 10)
    faults = [
        ScheduledFault(
            random.uniform(1, seconds),
            random.choice(sorted(_FAULT_INJECTORS)),
            random.randint(1, BALANCER_COUNT),
            random.uniform(0.3, 3),
        )
        for _ in range(count)
    ]
    return tuple(sorted(faults, key=lambda fault: fault.starts_at))


def plan_restores(random: Random, seconds: float) -> tuple[ScheduledFault, ...]:
    """Return a random schedule of returns of the store from an older copy."""
    faults = [
        ScheduledFault(
            random.uniform(1, seconds),
            RESTORE_KIND,
            1,
            random.uniform(0.5, 4),
        )
        for _ in range(random.randint(1, 2))
    ]
    return tuple(sorted(faults, key=lambda fault: fault.starts_at))


async def run_seed(
    seed: int, seconds: float, folder: Path, *, restores_store: bool = False
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
        Whether the store also comes back from older copies. The other faults
        of a seed stay the same.

    Returns
    -------
    SeedResult
        Outcomes of the flows, and all violations.
    """
    random = Random(seed)
    faults = plan_faults(random, seconds)
    if restores_store:
        faults += plan_restores(Random(seed), seconds)
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
            asyncio.create_task(_inject_fault(soak, fault)) for fault in faults
        ]
        callers = asyncio.create_task(_open_flows(soak))
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
        site.endpoints[number].handle_datagram = _create_receiver(soak, number)
    for number in range(1, BALANCER_COUNT + 1):
        proxy = StoreProxy(site.store_port)
        site.store_ports[number] = next(site.free_ports)
        await proxy.serve(site.store_ports[number])
        soak.store_proxies[number] = proxy
        site.start_balancer(number)
    loop = asyncio.get_running_loop()
    loop.add_reader(site.caller_socket, _receive_reset, soak)
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


def _create_receiver(soak: SoakRun, endpoint: int) -> Callable[[bytes], None]:
    def handle_datagram(datagram: bytes) -> None:
        flow = int.from_bytes(datagram[26:28], 'little')
        sent_packets = soak.sent_packets.get(flow)
        if sent_packets is None:
            return
        # A balancer that was paused may forward old packets after newer ones,
        # so the datagram is matched by content.
        matching = [
            sent_packet
            for sent_packet in sent_packets
            if _is_equal_except_cookie(datagram, sent_packet.packet)
        ]
        sent_packet = (matching or sent_packets)[-1]
        is_opening = bool(datagram[12] & SYN)
        soak.deliveries.append(
            Delivery(
                sent_packet.sent_at,
                flow,
                is_opening,
                sent_packet.balancer,
                endpoint,
                int.from_bytes(datagram[:8], 'big'),
                sent_packet.route_port,
                bool(matching),
            ),
        )
        if is_opening:
            soak.cookies.setdefault(flow, get_cookie(datagram))

    return handle_datagram


def _is_equal_except_cookie(datagram: bytes, packet: bytes) -> bool:
    """Return whether a datagram holds a packet, ignoring the cookie."""
    return datagram[8:18] + datagram[22:] == packet[:10] + packet[14:]


def _receive_reset(soak: SoakRun) -> None:
    datagram = soak.site.caller_socket.recv(2048)
    flow = int.from_bytes(datagram[20:22], 'little')
    sent_packets = soak.sent_packets.get(flow)
    if sent_packets:
        was_open = flow in soak.cookies
        route_port = sent_packets[-1].route_port
        soak.resets.append(Reset(soak.now(), flow, route_port, was_open))


async def _open_flows(soak: SoakRun) -> None:
    flows: list[asyncio.Task[bool]] = []
    while True:
        is_extra = soak.random.random() < EXTRA_ROUTE_SHARE
        route_port = EXTRA_ROUTE_PORT if is_extra else SERVICE_PORT
        flows.append(asyncio.create_task(_run_flow(soak, route_port)))
        await asyncio.sleep(FLOW_INTERVAL_SECONDS)


async def _run_flow(soak: SoakRun, route_port: int) -> bool:
    """Open a flow, send data through several balancers, and close it."""
    flow = soak.next_flow
    soak.next_flow += 1
    begin = soak.now()
    kind = OutcomeKind.SERVED
    for attempt, wait_seconds in enumerate(OPENING_WAITS_SECONDS):
        _send(soak, flow, route_port, SYN, attempt=attempt)
        await asyncio.sleep(wait_seconds)
        cookie = soak.cookies.get(flow)
        if cookie is not None:
            break
        kind = OutcomeKind.LATE
    else:
        soak.outcomes.append(FlowOutcome(begin, OutcomeKind.NOT_SERVED))
        return False
    soak.outcomes.append(FlowOutcome(begin, kind))
    for flags in (ACK, ACK, ACK | FIN):
        _send(soak, flow, route_port, flags, cookie)
        await asyncio.sleep(soak.random.uniform(0.05, 0.6))
    return True


def _send(
    soak: SoakRun,
    flow: int,
    route_port: int,
    flags: int,
    cookie: int = 0,
    attempt: int = 0,
) -> None:
    balancer = soak.random.randint(1, BALANCER_COUNT)
    sent_packets = soak.sent_packets.setdefault(flow, [])
    packet = build_packet(flags, flow, acknowledged=attempt, port=route_port)
    if flags != SYN:
        # The data differ in each packet of a flow, so that the endpoint can
        # match a datagram to the packet that was sent.
        data = bytes([len(sent_packets)]) * 40
        packet = build_packet(flags, flow, cookie, data, 1, port=route_port)
    sent_packets.append(SentPacket(soak.now(), balancer, route_port, packet))
    soak.site.send_packet(get_host(balancer), packet)


async def _inject_fault(soak: SoakRun, fault: ScheduledFault) -> None:
    await asyncio.sleep(max(0, fault.starts_at - soak.now()))
    injectors = {**_FAULT_INJECTORS, RESTORE_KIND: _restore_store}
    await injectors[fault.kind](soak, fault)


async def _kill_balancer(soak: SoakRun, fault: ScheduledFault) -> None:
    await _restart_balancer(soak, fault, signal.SIGKILL)


async def _stop_balancer(soak: SoakRun, fault: ScheduledFault) -> None:
    await _restart_balancer(soak, fault, signal.SIGTERM)


async def _restart_balancer(
    soak: SoakRun,
    fault: ScheduledFault,
    signal_number: signal.Signals,
) -> None:
    begin = soak.now()
    process = soak.site.processes[fault.target]
    process.send_signal(signal_number)
    while process.poll() is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(fault.duration_seconds)
    # An overlapping fault may have restarted the balancer already.
    if soak.site.processes[fault.target] is process:
        soak.site.start_balancer(fault.target)
    soak.fault_intervals.append((begin, soak.now() + 1, fault.target))


async def _pause_balancer(soak: SoakRun, fault: ScheduledFault) -> None:
    begin = soak.now()
    process = soak.site.processes[fault.target]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_seconds)
    process.send_signal(signal.SIGCONT)
    soak.fault_intervals.append((begin, soak.now(), fault.target))


async def _reload_settings(soak: SoakRun, fault: ScheduledFault) -> None:
    process = soak.site.processes[fault.target]
    if process.poll() is None:
        process.send_signal(signal.SIGHUP)


async def _fail_store(soak: SoakRun, fault: ScheduledFault) -> None:
    begin = soak.now()
    _begin_outage(soak, soak.random.choice((503, 429)))
    await asyncio.sleep(fault.duration_seconds)
    _end_outage(soak)
    soak.fault_intervals.append((begin, soak.now(), 0))


def _begin_outage(soak: SoakRun, status: int) -> None:
    soak.active_outages += 1
    soak.site.store.response_status = status


def _end_outage(soak: SoakRun) -> None:
    # Outages may overlap: the store serves again when the last one ends.
    soak.active_outages -= 1
    if not soak.active_outages:
        soak.site.store.response_status = _OK


async def _expire_entries(soak: SoakRun, fault: ScheduledFault) -> None:
    """Make the store unavailable until the endpoints' entries expire."""
    begin = soak.now()
    site = soak.site
    _begin_outage(soak, 503)
    await asyncio.sleep(max(fault.duration_seconds, ENTRY_LIFETIME_SECONDS))
    for name in tuple(site.store.objects_by_kind['servers']):
        delete_object(site.store, 'servers', name)
    _end_outage(soak)
    while soak.active_outages:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    for number in site.endpoints:
        state = 'draining' if number in soak.draining_since else 'ready'
        site.write_entry(number, state)
    soak.fault_intervals.append((begin, soak.now(), 0))


async def _lag_replica(soak: SoakRun, fault: ScheduledFault) -> None:
    """Serve reads that may be stale from an old snapshot.

    No fault interval is recorded, because a lagging replica excuses no
    violation.
    """
    store = soak.site.store
    if store.replica is None:
        store.replica = take_snapshot(store)
        await asyncio.sleep(fault.duration_seconds)
        store.replica = None


async def _disturb_store_connection(
    soak: SoakRun, fault: ScheduledFault
) -> None:
    begin = soak.now()
    proxy = soak.store_proxies[fault.target]
    modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
    proxy.change_mode(soak.random.choice(modes))
    await asyncio.sleep(fault.duration_seconds)
    proxy.change_mode(ProxyMode.PASS)
    soak.fault_intervals.append((begin, soak.now(), fault.target))


async def _drain_endpoint(soak: SoakRun, fault: ScheduledFault) -> None:
    # Only half of the endpoints may drain, so that flows can be served.
    number = fault.target % (ENDPOINT_COUNT // 2) + 1
    if (
        number not in soak.draining_since
        and soak.site.store.response_status == _OK
    ):
        soak.site.write_entry(number, 'draining', DRAINING_SEQUENCE)
        soak.draining_since[number] = soak.now()


async def _change_routes(soak: SoakRun, fault: ScheduledFault) -> None:
    """Add the extra route, and remove it when the fault ends."""
    soak.version += soak.random.randint(1, 5)
    soak.extra_ports = (EXTRA_ROUTE_PORT,)
    soak.site.write_configuration(soak.version, *soak.extra_ports)
    soak.route_removed_at.pop(EXTRA_ROUTE_PORT, None)
    await asyncio.sleep(fault.duration_seconds)
    soak.version += 1
    soak.extra_ports = ()
    soak.site.write_configuration(soak.version)
    soak.route_removed_at[EXTRA_ROUTE_PORT] = soak.now()


async def _restore_store(soak: SoakRun, fault: ScheduledFault) -> None:
    """Let the store come back without what was written for a time."""
    site = soak.site
    copy = take_snapshot(site.store)
    await asyncio.sleep(fault.duration_seconds)
    begin = soak.now()
    _begin_outage(soak, 503)
    await asyncio.sleep(0.2)
    restore_snapshot(site.store, copy)
    _end_outage(soak)
    while soak.active_outages:
        await asyncio.sleep(0.05)
    await asyncio.sleep(soak.random.uniform(0, REWRITE_SECONDS))
    site.write_configuration(soak.version, *soak.extra_ports)
    for number in site.endpoints:
        state = 'draining' if number in soak.draining_since else 'ready'
        site.write_entry(number, state, REWRITTEN_SEQUENCE)
    soak.fault_intervals.append((begin, soak.now(), 0))


#: Kind of the faults of `plan_restores`.
RESTORE_KIND: Final = 'restore_store'
_FAULT_INJECTORS: Final = {
    'change_routes': _change_routes,
    'drain': _drain_endpoint,
    'end_store': _fail_store,
    'harm_connection': _disturb_store_connection,
    'kill': _kill_balancer,
    'lag_replica': _lag_replica,
    'lapse': _expire_entries,
    'pause': _pause_balancer,
    'reload': _reload_settings,
    'stop': _stop_balancer,
}


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
        flows = [_run_flow(soak, SERVICE_PORT) for _ in range(FINAL_FLOW_COUNT)]
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
            run_seed(seed, seconds, folder, restores_store=restores_store)
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
