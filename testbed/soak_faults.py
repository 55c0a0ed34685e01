"""Faults of a soak run: their seeded schedules, and how each is injected."""

import asyncio
import signal
from random import Random
from typing import Final

from testbed.metadata_store import (
    delete_object,
    put_object,
    restore_snapshot,
    take_snapshot,
)
from testbed.odd_entries import LISTED_KINDS, ODD_ENTRIES
from testbed.soak_results import ScheduledFault
from testbed.soak_run import (
    BALANCER_COUNT,
    ENDPOINT_COUNT,
    EXTRA_ROUTE_PORT,
    SoakRun,
)
from testbed.store_proxy import ProxyMode

#: Entries expire after three heartbeats without a write, so a shorter outage
#: of the store cannot make them expire.
ENTRY_LIFETIME_SECONDS: Final = 2.4
#: Sequence numbers of an endpoint's entry: at first, when it drains, and when
#: it writes again what a restored store has lost.
READY_SEQUENCE: Final = 1
DRAINING_SEQUENCE: Final = 2
REWRITTEN_SEQUENCE: Final = 3
#: Time in which operator and endpoints write again what the store has lost.
REWRITE_SECONDS: Final = 1
_OK: Final = 200


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


def plan_odd_entries(
    random: Random, seconds: float
) -> tuple[ScheduledFault, ...]:
    """Return a random schedule of odd entries that another writer leaves."""
    faults = [
        ScheduledFault(
            random.uniform(0.5, seconds),
            ODD_ENTRY_KIND,
            random.randrange(len(ODD_ENTRIES)),
            random.uniform(0.5, 6),
        )
        for _ in range(random.randint(3, 8))
    ]
    return tuple(sorted(faults, key=lambda fault: fault.starts_at))


async def inject_fault(soak: SoakRun, fault: ScheduledFault) -> None:
    """Inject a fault at its time, and wait for its end."""
    await asyncio.sleep(max(0, fault.starts_at - soak.now()))
    injectors = {
        **_FAULT_INJECTORS,
        RESTORE_KIND: _restore_store,
        ODD_ENTRY_KIND: _leave_odd_entry,
    }
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


async def _leave_odd_entry(soak: SoakRun, fault: ScheduledFault) -> None:
    """Write an odd entry of one kind of objects, and delete it later.

    No fault interval is recorded, because an odd entry excuses no violation.
    """
    store = soak.site.store
    kind = soak.random.choice(LISTED_KINDS)
    prefix = soak.random.choice(('backup', 'i-', 'z'))
    name = f'{prefix}{soak.random.randrange(1 << 8, 1 << 16):x}'
    spec = tuple(ODD_ENTRIES.values())[fault.target]
    put_object(store, kind, name, spec)
    await asyncio.sleep(fault.duration_seconds)
    # An outage or an older copy may have removed it.
    if name in store.objects_by_kind.get(kind, {}):
        delete_object(store, kind, name)


#: Kind of the faults of `plan_odd_entries`.
ODD_ENTRY_KIND: Final = 'odd_entry'
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
