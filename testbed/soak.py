"""Fault soak: real edge balancers, faults from outside, checked as it runs.

``python -m testbed.soak --seeds 50`` plays seeds one after the other. A seed
fixes the schedule of faults and the choices of the callers; what the machine
does in between varies, so a seed that failed is played again with its logs.
``--shrink-failing`` leaves out the faults that a failing seed does not need,
and ``--report FILE`` draws faults over served, late and unserved flows.
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
    PORT,
    SYN,
    Site,
    build_packet,
    get_cookie,
    get_host,
    open_site,
)
from testbed.metadata_store import delete_object, take_snapshot
from testbed.soak_findings import Fault, Outcome, OutcomeKind, Run, shrink
from testbed.soak_oracle import (
    Delivery,
    History,
    Reset,
    find_violations,
)
from testbed.soak_report import draw_report
from testbed.store_proxy import ProxyMode, StoreProxy

BALANCERS: Final = 4
ENDPOINTS: Final = 6
#: Flows are opened this often.
FLOW_SECONDS: Final = 0.03
#: After the last fault everything has to serve again within this time.
RECOVERY_SECONDS: Final = 6.0
#: An extra route comes and goes on this port.
EXTRA_PORT: Final = 8080
#: Waits after an opening packet and its two repetitions.
OPENING_WAITS_SECONDS: Final = (0.2, 0.4, 0.8)
#: Flows after the last fault, all of which have to be served.
FINAL_FLOWS: Final = 40
#: Entries lapse after three heartbeats without a write, so no outage that is
#: shorter lets them lapse.
LAPSE_SECONDS: Final = 2.4
#: Share of the flows that use the extra route.
EXTRA_SHARE: Final = 0.1
_FIRST_FLOW: Final = 20000
_OK: Final = 200


@dataclass(frozen=True, slots=True)
class Sending:
    """A packet that a caller sent.

    Parameters
    ----------
    at : float
        Seconds since the start.
    balancer : int
        Balancer that got it.
    route_port : int
        Port that it was sent to.
    packet : bytes
        The packet.
    """

    at: float
    balancer: int
    route_port: int
    packet: bytes


class Soak:
    """One run: a site, what was done to it, and what was seen.

    Parameters
    ----------
    site : Site
        Store, endpoints and balancers.
    random : Random
        Choices of the callers.
    """

    def __init__(self, site: Site, random: Random) -> None:
        """Start with nothing seen."""
        self.site = site
        self.random = random
        self.started_at = time.monotonic()
        self.proxies: dict[int, StoreProxy] = {}
        self.deliveries: list[Delivery] = []
        self.resets: list[Reset] = []
        self.troubles: list[tuple[float, float, int]] = []
        self.draining_since: dict[int, float] = {}
        self.removed_at: dict[int, float] = {}
        self.sent: dict[int, list[Sending]] = {}
        self.opened: dict[int, int] = {}
        self.outcomes: list[Outcome] = []
        self.version = 1
        self.next_flow = _FIRST_FLOW
        self.outages = 0

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.started_at


def plan_faults(random: Random, seconds: float) -> tuple[Fault, ...]:
    """Return a schedule: series and overlaps of faults of all kinds."""
    count = random.randint(4, 10)
    faults = [
        Fault(
            random.uniform(1, seconds),
            random.choice(sorted(_FAULTS)),
            random.randint(1, BALANCERS),
            random.uniform(0.3, 3),
        )
        for _ in range(count)
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at))


async def play_seed(seed: int, seconds: float, folder: Path) -> Run:
    """Play one seed.

    Parameters
    ----------
    seed : int
        Fixes schedule and choices.
    seconds : float
        Time in which faults begin.
    folder : Path
        For settings and logs.

    Returns
    -------
    Run
        What happened, with every broken promise.
    """
    random = Random(seed)
    faults = plan_faults(random, seconds)
    return await play_faults(seed, faults, random, folder)


async def play_faults(
    seed: int,
    faults: tuple[Fault, ...],
    random: Random,
    folder: Path,
) -> Run:
    """Play a schedule of faults.

    Parameters
    ----------
    seed : int
        Names the run.
    faults : tuple of Fault
        The schedule.
    random : Random
        Choices of the callers.
    folder : Path
        For settings and logs.
    """
    with open_site(folder) as site:
        soak = Soak(site, random)
        await _start(soak)
        tasks = [asyncio.create_task(_inject(soak, fault)) for fault in faults]
        callers = asyncio.create_task(_open_flows(soak))
        await asyncio.gather(*tasks)
        violations = await _check_recovery(soak)
        callers.cancel()
        history = History(
            soak.draining_since,
            soak.removed_at,
            tuple(soak.troubles),
        )
        violations += find_violations(history, soak.deliveries, soak.resets)
    return Run(seed, faults, tuple(soak.outcomes), tuple(violations))


async def _start(soak: Soak) -> None:
    site = soak.site
    await site.start_store()
    for number in range(1, ENDPOINTS + 1):
        await site.start_endpoint(number)
        site.endpoints[number].take = _create_receiver(soak, number)
    for number in range(1, BALANCERS + 1):
        proxy = StoreProxy(site.store_port)
        site.store_ports[number] = next(site.ports)
        await proxy.serve(site.store_ports[number])
        soak.proxies[number] = proxy
        site.start_balancer(number)
    loop = asyncio.get_running_loop()
    loop.add_reader(site.caller, _take_resets, soak)
    soak.troubles.append((0, 2, 0))
    await _wait_ready(soak)


async def _wait_ready(soak: Soak) -> list[int]:
    """Return the balancers that do not become ready in time."""
    deadline = soak.now() + RECOVERY_SECONDS
    waiting = list(range(1, BALANCERS + 1))
    while waiting and soak.now() < deadline:
        await asyncio.sleep(0.1)
        waiting = [
            number
            for number in waiting
            if not await soak.site.is_ready(get_host(number))
        ]
    return waiting


def _create_receiver(soak: Soak, endpoint: int) -> Callable[[bytes], None]:
    def take(datagram: bytes) -> None:
        flow = int.from_bytes(datagram[26:28], 'little')
        sendings = soak.sent.get(flow)
        if sendings is None:
            return
        # A paused balancer delivers old packets after newer ones.
        matching = [
            sending
            for sending in sendings
            if _is_forwarded(datagram, sending.packet)
        ]
        sending = (matching or sendings)[-1]
        is_opening = bool(datagram[12] & SYN)
        soak.deliveries.append(
            Delivery(
                sending.at,
                flow,
                is_opening,
                sending.balancer,
                endpoint,
                int.from_bytes(datagram[:8], 'big'),
                sending.route_port,
                bool(matching),
            ),
        )
        if is_opening:
            soak.opened.setdefault(flow, get_cookie(datagram))

    return take


def _is_forwarded(datagram: bytes, packet: bytes) -> bool:
    """Tell whether a datagram holds a packet, but for the cookie."""
    return datagram[8:18] + datagram[22:] == packet[:10] + packet[14:]


def _take_resets(soak: Soak) -> None:
    datagram = soak.site.caller.recv(2048)
    flow = int.from_bytes(datagram[20:22], 'little')
    sendings = soak.sent.get(flow)
    if sendings:
        was_open = flow in soak.opened
        route_port = sendings[-1].route_port
        soak.resets.append(Reset(soak.now(), flow, route_port, was_open))


async def _open_flows(soak: Soak) -> None:
    flows: list[asyncio.Task[bool]] = []
    while True:
        is_extra = soak.random.random() < EXTRA_SHARE
        route_port = EXTRA_PORT if is_extra else PORT
        flows.append(asyncio.create_task(_call(soak, route_port)))
        await asyncio.sleep(FLOW_SECONDS)


async def _call(soak: Soak, route_port: int) -> bool:
    """Open a flow, send data through several balancers, and close it."""
    flow = soak.next_flow
    soak.next_flow += 1
    begin = soak.now()
    kind = OutcomeKind.SERVED
    for attempt, wait_seconds in enumerate(OPENING_WAITS_SECONDS):
        _send(soak, flow, route_port, SYN, attempt=attempt)
        await asyncio.sleep(wait_seconds)
        cookie = soak.opened.get(flow)
        if cookie is not None:
            break
        kind = OutcomeKind.LATE
    else:
        soak.outcomes.append(Outcome(begin, OutcomeKind.NOT_SERVED))
        return False
    soak.outcomes.append(Outcome(begin, kind))
    for flags in (ACK, ACK, ACK | FIN):
        _send(soak, flow, route_port, flags, cookie)
        await asyncio.sleep(soak.random.uniform(0.05, 0.6))
    return True


def _send(
    soak: Soak,
    flow: int,
    route_port: int,
    flags: int,
    cookie: int = 0,
    attempt: int = 0,
) -> None:
    balancer = soak.random.randint(1, BALANCERS)
    sendings = soak.sent.setdefault(flow, [])
    packet = build_packet(flags, flow, acknowledged=attempt, port=route_port)
    if flags != SYN:
        # Each packet of a flow differs, so that it is known again.
        data = bytes([len(sendings)]) * 40
        packet = build_packet(flags, flow, cookie, data, 1, port=route_port)
    sendings.append(Sending(soak.now(), balancer, route_port, packet))
    soak.site.send(get_host(balancer), packet)


async def _inject(soak: Soak, fault: Fault) -> None:
    await asyncio.sleep(max(0, fault.at - soak.now()))
    await _FAULTS[fault.kind](soak, fault)


async def _kill(soak: Soak, fault: Fault) -> None:
    await _restart(soak, fault, signal.SIGKILL)


async def _stop(soak: Soak, fault: Fault) -> None:
    await _restart(soak, fault, signal.SIGTERM)


async def _restart(
    soak: Soak,
    fault: Fault,
    number: signal.Signals,
) -> None:
    begin = soak.now()
    process = soak.site.processes[fault.target]
    process.send_signal(number)
    while process.poll() is None:
        await asyncio.sleep(0.05)
    await asyncio.sleep(fault.seconds)
    # Another fault may have restarted it meanwhile.
    if soak.site.processes[fault.target] is process:
        soak.site.start_balancer(fault.target)
    soak.troubles.append((begin, soak.now() + 1, fault.target))


async def _pause(soak: Soak, fault: Fault) -> None:
    begin = soak.now()
    process = soak.site.processes[fault.target]
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.seconds)
    process.send_signal(signal.SIGCONT)
    soak.troubles.append((begin, soak.now(), fault.target))


async def _reload(soak: Soak, fault: Fault) -> None:
    process = soak.site.processes[fault.target]
    if process.poll() is None:
        process.send_signal(signal.SIGHUP)


async def _end_store(soak: Soak, fault: Fault) -> None:
    begin = soak.now()
    _begin_outage(soak, soak.random.choice((503, 429)))
    await asyncio.sleep(fault.seconds)
    _end_outage(soak)
    soak.troubles.append((begin, soak.now(), 0))


def _begin_outage(soak: Soak, status: int) -> None:
    soak.outages += 1
    soak.site.store.status = status


def _end_outage(soak: Soak) -> None:
    # Outages may overlap: the store is back when the last one ends.
    soak.outages -= 1
    if not soak.outages:
        soak.site.store.status = _OK


async def _lapse(soak: Soak, fault: Fault) -> None:
    """The store goes down, and its entries expire meanwhile."""
    begin = soak.now()
    site = soak.site
    _begin_outage(soak, 503)
    await asyncio.sleep(max(fault.seconds, LAPSE_SECONDS))
    for name in tuple(site.store.kinds['servers']):
        delete_object(site.store, 'servers', name)
    _end_outage(soak)
    while soak.outages:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)
    for number in site.endpoints:
        state = 'draining' if number in soak.draining_since else 'ready'
        site.write_entry(number, state)
    soak.troubles.append((begin, soak.now(), 0))


async def _lag_replica(soak: Soak, fault: Fault) -> None:
    """Reads that may be stale show the past: no excuse for anybody."""
    store = soak.site.store
    if store.replica is None:
        store.replica = take_snapshot(store)
        await asyncio.sleep(fault.seconds)
        store.replica = None


async def _harm_connection(soak: Soak, fault: Fault) -> None:
    begin = soak.now()
    proxy = soak.proxies[fault.target]
    modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
    proxy.change_mode(soak.random.choice(modes))
    await asyncio.sleep(fault.seconds)
    proxy.change_mode(ProxyMode.PASS)
    soak.troubles.append((begin, soak.now(), fault.target))


async def _drain(soak: Soak, fault: Fault) -> None:
    # Half of the endpoints stay, so that there is somebody to serve.
    number = fault.target % (ENDPOINTS // 2) + 1
    if number not in soak.draining_since and soak.site.store.status == _OK:
        soak.site.write_entry(number, 'draining')
        soak.draining_since[number] = soak.now()


async def _change_routes(soak: Soak, fault: Fault) -> None:
    """Add a route that is removed a little later, for good."""
    soak.version += soak.random.randint(1, 5)
    soak.site.configure(soak.version, EXTRA_PORT)
    soak.removed_at.pop(EXTRA_PORT, None)
    await asyncio.sleep(fault.seconds)
    soak.version += 1
    soak.site.configure(soak.version)
    soak.removed_at[EXTRA_PORT] = soak.now()


_FAULTS: Final = {
    'change_routes': _change_routes,
    'drain': _drain,
    'end_store': _end_store,
    'harm_connection': _harm_connection,
    'kill': _kill,
    'lag_replica': _lag_replica,
    'lapse': _lapse,
    'pause': _pause,
    'reload': _reload,
    'stop': _stop,
}


async def _check_recovery(soak: Soak) -> list[str]:
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
    while served < FINAL_FLOWS and soak.now() < deadline:
        calls = [_call(soak, PORT) for _ in range(FINAL_FLOWS)]
        served = sum(await asyncio.gather(*calls))
    if served < FINAL_FLOWS:
        violations.append(f'{served} of {FINAL_FLOWS} flows served at the end')
    return violations


def run(
    *,
    seeds: int = 5,
    first: int = 1,
    seconds: float = 10,
    report: str = '',
    shrink_failing: bool = False,
) -> int:
    """Play seeds, and keep the logs of those that fail.

    Parameters
    ----------
    seeds
        How many.
    first
        The first one.
    seconds
        Time in which faults of a seed begin.
    report
        HTML file to draw the runs into.
    shrink_failing
        Whether to leave out faults that a failing seed does not need.

    Returns
    -------
    int
        Exit status: 1 if a promise was broken.
    """
    runs: list[Run] = []
    for seed in track(
        range(first, first + seeds), console=Console(stderr=True)
    ):
        folder = Path(mkdtemp(prefix=f'soak-{seed}-'))
        played = asyncio.run(play_seed(seed, seconds, folder))
        runs.append(played)
        failed = sum(bool(run.violations) for run in runs)
        _write(
            f'seed={seed} violations={len(played.violations)} failed={failed}',
        )
        if played.violations:
            _show_failure(played, seconds, folder)
            if shrink_failing:
                _show_shrunk(played)
        else:
            shutil.rmtree(folder)
    if report:
        Path(report).write_text(draw_report(runs), 'utf-8')
    return int(any(run.violations for run in runs))


def _show_failure(played: Run, seconds: float, folder: Path) -> None:
    for line in (*map(str, played.faults), *played.violations):
        _write(line)
    _write(
        f'again: python -m testbed.soak --seeds 1 --first {played.seed} '
        f'--seconds {seconds}; logs: {folder}',
    )


def _show_shrunk(played: Run) -> None:
    def still_fails(faults: tuple[Fault, ...]) -> bool:
        folder = Path(mkdtemp(prefix=f'soak-{played.seed}-shrink-'))
        random = Random(played.seed)
        again = asyncio.run(play_faults(played.seed, faults, random, folder))
        shutil.rmtree(folder)
        return bool(again.violations)

    for fault in shrink(played.faults, still_fails):
        _write(f'needed: {fault}')


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(defopt.run(run, short={}))
