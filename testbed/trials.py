"""Runs a fleet with callers and collects the outcomes of their flows."""

import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any, Final

from balsamshed.flows.packets import build_flow_key
from balsamshed.members.member import Member
from balsamshed.members.ownership import (
    Ownership,
    assign_slots,
    get_hash_slot,
)
from testbed.addresses import parse_address
from testbed.fleet import (
    CRENEAU,
    FEED_PORT,
    REGISTRE,
    REQUEST_PORT,
    Fleet,
    ServicePlan,
    apply_objects,
    build_service_objects,
    call_json_api,
    read_metric,
    read_runs,
    run_fleet,
    start_balancer,
    start_servers,
    update_fabric,
    wait_until_serving,
)
from testbed.ports import reserve_ports
from testbed.processes import (
    kill_process,
    run_module,
    stop_process,
    wait_for_port,
    wait_until,
)
from testbed.proxied_fleet import (
    add_proxied_process,
    start_proxied_balancer,
    start_proxy,
)

#: Names and data centres of the balancers of a trial.
BALANCERS: Final = (('lb-1', 'qc-1'), ('lb-2', 'qc-1'), ('lb-3', 'qc-2'))
#: A death is detected in about 2 s (section 8 of the design page), and a member
#: that comes back is found by a ping every 5 s. The rest allows for a busy
#: machine.
DETECTION_SECONDS: Final = 10.0

_TIMEOUT_SECONDS: Final = 14.0


@dataclass(slots=True)
class Trial:
    """A running fleet with callers.

    Attributes
    ----------
    fleet : Fleet
        The processes.
    callers_port : int
        Control port of the callers.
    proxy_port : int
        Control port of the fault proxy; zero if there is none.
    stopped_server_runs : dict of str to object
        What stopped or killed backend servers had run, by their names.
    """

    fleet: Fleet
    callers_port: int
    proxy_port: int = 0
    stopped_server_runs: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TrialOutcome:
    """Outcomes of the flows of a trial.

    Parameters
    ----------
    feeds : tuple of dict
        Feeds as seen by their callers.
    requests : tuple of dict
        Requests that have an outcome, as seen by their callers.
    runs : Counter of str
        How often each request ran on all backend servers together.
    wrong_service : int
        Requests and feeds that reached a backend server of another service.
    """

    feeds: tuple[dict[str, Any], ...]
    requests: tuple[dict[str, Any], ...]
    runs: Counter[str]
    wrong_service: int

    def since(self, earlier: 'TrialOutcome') -> 'TrialOutcome':
        """Return the outcome without what an earlier one had already.

        Parameters
        ----------
        earlier : TrialOutcome
            Outcome of the same trial at an earlier time.

        Returns
        -------
        TrialOutcome
            Feeds that had not broken or been refused then, and requests that
            had no outcome then. Runs are those since the start of the trial.
        """
        ended = {
            feed['id']
            for feed in (*earlier.broken_feeds, *earlier.refused_feeds)
        }
        known = {request['id'] for request in earlier.requests}
        return replace(
            self,
            feeds=tuple(feed for feed in self.feeds if feed['id'] not in ended),
            requests=tuple(
                request
                for request in self.requests
                if request['id'] not in known
            ),
            wrong_service=self.wrong_service - earlier.wrong_service,
        )

    @property
    def broken_feeds(self) -> list[dict[str, Any]]:
        """Feeds that were open and broke."""
        return [feed for feed in self.feeds if feed['broken_by']]

    @property
    def refused_feeds(self) -> list[dict[str, Any]]:
        """Feeds that were refused in the handshake."""
        return [feed for feed in self.feeds if feed['refused']]

    @property
    def unanswered(self) -> list[dict[str, Any]]:
        """Requests that were neither answered nor refused as not run."""
        return [
            request
            for request in self.requests
            if request['result'] not in {'answered', 'refused'}
        ]

    @property
    def refused(self) -> list[dict[str, Any]]:
        """Requests that were refused as not run."""
        return [
            request
            for request in self.requests
            if request['result'] == 'refused'
        ]

    @property
    def double_runs(self) -> list[str]:
        """Requests that ran more than once (G5)."""
        return [name for name, count in self.runs.items() if count > 1]

    @property
    def false_not_run(self) -> list[str]:
        """Requests that were refused as not run and ran (G4)."""
        return [
            request['id']
            for request in self.refused
            if self.runs[request['id']]
        ]

    @property
    def incomplete(self) -> list[str]:
        """Requests without the complete answer of one run of theirs (G3)."""
        return [
            request['id']
            for request in self.requests
            if request['result'] == 'answered'
            and not (request['complete'] and self.runs[request['id']] == 1)
        ]


@contextmanager
def run_trial(
    balancers: Sequence[tuple[str, str]] = BALANCERS,
    plans: Sequence[ServicePlan] = (CRENEAU, REGISTRE),
    is_proxied: bool = False,
    service_time_ms: int = 20,
) -> Iterator[Trial]:
    """Run a fleet whose services are in force, with callers.

    Parameters
    ----------
    balancers : sequence of (str, str)
        Names and data centres.
    plans : sequence of ServicePlan
        Services.
    is_proxied : bool
        Whether balancers and callers are behind the fault proxy.
    service_time_ms : int
        How long a request runs.

    Yields
    ------
    Trial
        The processes end with the context.
    """
    with run_fleet() as fleet:
        proxy_port = start_proxy(fleet) if is_proxied else 0
        # The other balancers join through the first, so it has to listen first.
        add_balancer(fleet, proxy_port, *balancers[0])
        objects: list[dict[str, Any]] = []
        for plan in plans:
            servers = start_servers(fleet, plan, service_time_ms)
            objects.extend(build_service_objects(plan, servers))
        wait_for_port(fleet.balancers[balancers[0][0]].metrics_port)
        for name, data_centre in balancers[1:]:
            add_balancer(fleet, proxy_port, name, data_centre)
        callers_port = _start_callers(fleet, proxy_port)
        wait_until_joined(fleet)
        apply_objects(fleet, objects)
        wait_until_serving(fleet)
        trial = Trial(fleet, callers_port, proxy_port)
        try:
            yield trial
        finally:
            # A graceful stop takes seconds per balancer and has its own test.
            for balancer in trial.fleet.balancers.values():
                kill_process(balancer.process)
            # Signals all at once, as the fleet waits for each in turn.
            for server in trial.fleet.servers.values():
                server.process.popen.terminate()


def add_balancer(
    fleet: Fleet,
    proxy_port: int,
    name: str,
    data_centre: str,
) -> None:
    """Start a balancer, behind the fault proxy if there is one."""
    if proxy_port:
        start_proxied_balancer(fleet, proxy_port, name, data_centre)
    else:
        start_balancer(fleet, name, data_centre)


def wait_until_joined(fleet: Fleet) -> None:
    """Wait until all balancers run and have joined the group."""
    for balancer in fleet.balancers.values():
        wait_for_port(balancer.metrics_port)
    wait_for_members(fleet)


def wait_for_members(fleet: Fleet, *without: str) -> None:
    """Wait until the balancers agree on the members of the group.

    Parameters
    ----------
    fleet : Fleet
        The balancers.
    *without : str
        Balancers that do not answer and that the others must have removed.
    """
    present = [
        balancer
        for name, balancer in fleet.balancers.items()
        if name not in without
    ]

    def agree() -> bool:
        return all(
            read_metric(balancer, 'balsamshed_members') == len(present)
            for balancer in present
        )

    wait_until(agree, f'{len(present)} members', DETECTION_SECONDS)


def open_feeds(trial: Trial, count: int) -> None:
    """Open feeds and wait until each has ticked twice or was refused."""
    request_feeds(trial, count)
    wait_for_ticks(trial, 2)


def request_feeds(trial: Trial, count: int) -> None:
    """Tell the callers to open feeds without waiting for them."""
    request = {
        'address': CRENEAU.address,
        'port': FEED_PORT,
        'service': CRENEAU.name,
        'count': count,
    }
    call_json_api(trial.callers_port, '/feeds', 'POST', request)


def wait_for_ticks(trial: Trial, ticks: int) -> None:
    """Wait until each feed has received more ticks, was refused or broke.

    Parameters
    ----------
    trial : Trial
        The trial with its callers.
    ticks : int
        Number of ticks from now on; a feed has five in a second.
    """
    before = {feed['id']: feed['ticks'] for feed in read_report(trial)['feeds']}

    def have_all_ticked() -> bool:
        return all(
            feed['ticks'] >= before[feed['id']] + ticks
            or feed['refused']
            or feed['broken_by']
            for feed in read_report(trial)['feeds']
        )

    wait_until(have_all_ticked, f'{ticks} ticks', _TIMEOUT_SECONDS)


def start_load(
    trial: Trial,
    per_second: float,
    plans: Sequence[ServicePlan] = (CRENEAU, REGISTRE),
    deadline_ms: int = 5000,
) -> None:
    """Send requests at a steady rate to each service; 0 stops them."""
    for plan in plans:
        request = {
            'address': plan.address,
            'port': REQUEST_PORT,
            'service': plan.name,
            'per_second': per_second,
            'deadline_ms': deadline_ms,
        }
        call_json_api(trial.callers_port, '/load', 'POST', request)


def send_requests(
    trial: Trial,
    count: int,
    plan: ServicePlan = CRENEAU,
) -> None:
    """Tell the callers to send a number of requests at once."""
    request = {
        'address': plan.address,
        'port': REQUEST_PORT,
        'service': plan.name,
        'count': count,
    }
    call_json_api(trial.callers_port, '/requests', 'POST', request)


def wait_for_answers(trial: Trial, count: int) -> None:
    """Wait until a number of further requests have an outcome."""
    before = len(read_report(trial)['requests'])
    wait_until(
        lambda: len(read_report(trial)['requests']) >= before + count,
        f'{count} more outcomes',
        _TIMEOUT_SECONDS,
    )


def finish_load(trial: Trial) -> TrialOutcome:
    """Stop the steady load and wait for the outcomes of all requests.

    Parameters
    ----------
    trial : Trial
        The trial with its callers and backend servers.

    Returns
    -------
    TrialOutcome
        Outcomes of all flows so far.
    """
    start_load(trial, 0)
    wait_until(
        lambda: read_report(trial)['pending'] == 0,
        'an outcome of every request',
        _TIMEOUT_SECONDS,
    )
    return evaluate_trial(trial)


def evaluate_trial(trial: Trial) -> TrialOutcome:
    """Combine what the callers saw with what the backend servers ran."""
    report = read_report(trial)
    runs: Counter[str] = Counter()
    wrong_service = 0
    for entry in (
        *trial.stopped_server_runs.values(),
        *read_runs(trial.fleet).values(),
    ):
        runs.update(entry['runs'])
        wrong_service += entry['wrong_service']
    return TrialOutcome(
        tuple(report['feeds']),
        tuple(report['requests']),
        runs,
        wrong_service,
    )


def read_report(trial: Trial) -> dict[str, Any]:
    """Return the report of the callers."""
    report: dict[str, Any] = call_json_api(trial.callers_port, '/report')
    return report


def assign_owners(fleet: Fleet) -> Ownership:
    """Compute which balancer owns which hash slot."""
    return assign_slots(
        Member(balancer.name, balancer.data_centre, '', 0, 0)
        for balancer in fleet.balancers.values()
    )


def find_request_key(request: dict[str, Any], plan: ServicePlan) -> bytes:
    """Return the flow key of a request in a report."""
    host, port = request['local']
    address = parse_address(plan.address)
    return build_flow_key(host, address, port, REQUEST_PORT)


def find_owner(
    ownership: Ownership,
    request: dict[str, Any],
    plan: ServicePlan,
) -> str:
    """Return the name of the balancer that owned a request's flow."""
    slot = get_hash_slot(find_request_key(request, plan))
    return ownership.owners[slot]


def kill_balancer(trial: Trial, name: str) -> None:
    """Kill a balancer and wait until the others have removed it.

    The fabric stops sending to it at once, as if its own health check had
    found the death. What a slower fabric sends to a dead balancer is lost
    whatever the others do.
    """
    balancer = trial.fleet.balancers.pop(name)
    kill_process(balancer.process)
    update_fabric(trial.fleet)
    wait_for_members(trial.fleet)


def stop_balancer(trial: Trial, name: str) -> float:
    """Stop a balancer gracefully with SIGTERM, as the platform does.

    Parameters
    ----------
    trial : Trial
        The trial with its fleet.
    name : str
        Name of the balancer.

    Returns
    -------
    float
        Seconds until the process ended.
    """
    balancer = trial.fleet.balancers.pop(name)
    started_at = time.monotonic()
    # The fabric's table changes first, as in a planned replacement.
    update_fabric(trial.fleet)
    balancer.process.popen.terminate()
    wait_until(
        lambda: balancer.process.popen.poll() is not None,
        f'{name} ends',
        _TIMEOUT_SECONDS,
    )
    return time.monotonic() - started_at


def stop_server(trial: Trial, name: str, is_killed: bool = False) -> None:
    """Stop or kill a backend server and keep the record of its runs."""
    server = trial.fleet.servers.pop(name)
    trial.stopped_server_runs[name] = call_json_api(server.report_port, '/runs')
    (kill_process if is_killed else stop_process)(server.process)


def get_last_accepted_delay(entry: dict[str, Any], since: float) -> float:
    """Return how long after a time a backend server last accepted new work.

    Parameters
    ----------
    entry : dict
        Answer of the backend server to ``GET /runs``.
    since : float
        Wall time in seconds.

    Returns
    -------
    float
        Seconds; 0 if the server accepted no new work after the time.
    """
    last = max((accepted for accepted, _port in entry['accepted']), default=0)
    return max(last - since, 0)


def wait_for(
    check: Callable[[], bool],
    subject: str,
    seconds: float = _TIMEOUT_SECONDS,
) -> None:
    """Wait until a condition of a trial holds."""
    wait_until(check, subject, seconds)


def _start_callers(fleet: Fleet, proxy_port: int) -> int:
    port, control_port, public_port, public_fabric_port = reserve_ports(4)
    fabric_port = fleet.fabric_port
    if proxy_port:
        add_proxied_process(proxy_port, 'callers', public_port, port)
        add_proxied_process(
            proxy_port, 'fabric', public_fabric_port, fabric_port
        )
        fabric_port = public_fabric_port
    fleet.stack.enter_context(
        run_module(
            'testbed.steered_callers',
            *('--fabric-port', fabric_port, '--port', port),
            *('--control-port', control_port),
        ),
    )
    wait_for_port(control_port)
    return control_port
