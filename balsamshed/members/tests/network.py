"""Simulated network of several memberships, with faults and a clock."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count

from xxhash import xxh3_64_intdigest

from balsamshed.members.member import Member
from balsamshed.members.membership import (
    ControlAddress,
    Membership,
    OutgoingMessage,
    Pause,
    create_membership,
    get_address,
    list_owners,
    set_vm_addresses,
)
from balsamshed.members.messages import Ack, Ping, PingRequest
from balsamshed.members.protocol import (
    TICK_SECONDS,
    handle_ack,
    handle_ping,
    handle_ping_request,
    run_tick,
)
from balsamshed.random_numbers import RandBelow

HANDLERS = {
    Ping: handle_ping,
    Ack: handle_ack,
    PingRequest: handle_ping_request,
}


def create_random_source(seed: int) -> RandBelow:
    """Return a source of random numbers that is determined by its seed."""
    numbers = count()

    def randbelow(limit: int) -> int:
        return xxh3_64_intdigest(next(numbers).to_bytes(8), seed) % limit

    return randbelow


@dataclass(frozen=True, slots=True)
class Faults:
    """Shares of faulty messages and delays of messages."""

    lost_percent: int = 0
    late_percent: int = 0
    repeated_percent: int = 0
    delay_seconds: float = 0.001
    max_delay_seconds: float = 2.0


def lose_no_messages(_source: str, _target: str) -> int:
    """Return a loss of 0% between two members."""
    return 0


@dataclass(slots=True)
class Process:
    """A simulated balancer process, reduced to its membership."""

    membership: Membership
    paused: bool = False
    inbox: list[OutgoingMessage] = field(default_factory=list)
    pauses: list[Pause] = field(default_factory=list)


@dataclass(slots=True)
class Network:
    """Processes by name, and a queue of events by their time."""

    seed: int = 1
    now: float = 1000
    faults: Faults = Faults()
    get_loss_percent: Callable[[str, str], int] = lose_no_messages
    processes: dict[str, Process] = field(default_factory=dict)
    # Names of the members on one side of a partition.
    partitioned: frozenset[str] = frozenset()
    on_sent: Callable[[str, OutgoingMessage], None] | None = None
    queue: list[tuple[float, int, str, object]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=count)
    randbelow: RandBelow = field(init=False)

    def __post_init__(self) -> None:
        """Create the source of random numbers from the seed."""
        self.randbelow = create_random_source(self.seed)

    def start(self, own: Member, seeds: Iterable[ControlAddress]) -> None:
        """Start a process whose first tick has a random phase."""
        randbelow = create_random_source(
            xxh3_64_intdigest(own.name.encode(), next(self.numbers))
        )
        membership = create_membership(own, seeds, randbelow)
        process = Process(membership)
        self.processes[own.name] = process
        phase = self.randbelow(100) / 1000
        self.push(self.now + phase, own.name, process)

    def start_group(self, size: int, data_centres: int = 3) -> None:
        """Start members with the first two as seeds, and wait for the joins."""
        members = [create_member(index, data_centres) for index in range(size)]
        seeds = list(map(get_address, members[:2]))
        for member in members:
            self.start(member, seeds)
        self.run(10)

    def kill(self, name: str) -> None:
        """Stop a process without an announcement."""
        del self.processes[name]

    def resume(self, name: str) -> None:
        """Resume a paused process and deliver the messages it has missed."""
        process = self.processes[name]
        process.paused = False
        arrived = process.inbox
        process.inbox = []
        for outgoing in arrived:
            self.push(self.now, '', outgoing)
        self.push(self.now, name, process)

    def list_vms(self) -> None:
        """Give every process the current addresses of all processes."""
        members = [entry.membership.own for entry in self.processes.values()]
        for process in self.processes.values():
            set_vm_addresses(process.membership, members)

    def run(self, seconds: float) -> None:
        """Advance the clock and handle the events that become due."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            event_at, _number, source, event = heappop(self.queue)
            self.now = max(self.now, event_at)
            if isinstance(event, Process):
                self.tick(source, event)
            elif isinstance(event, OutgoingMessage):
                self.deliver(event)
        self.now = end

    def tick(self, name: str, process: Process) -> None:
        """Run a tick unless the process was killed, restarted or paused."""
        if self.processes.get(name) is not process or process.paused:
            return
        outcome = run_tick(process.membership, self.now)
        process.pauses.extend(
            entry for entry in outcome if isinstance(entry, Pause)
        )
        self.send(name, outcome)
        self.push(self.now + TICK_SECONDS, name, process)

    def deliver(self, outgoing: OutgoingMessage) -> None:
        """Deliver a message to the process at its address."""
        process = self.find(outgoing)
        if process is None:
            return
        if process.paused:
            process.inbox.append(outgoing)
            return
        membership = process.membership
        handler = HANDLERS[type(outgoing.message)]
        outcome = handler(membership, outgoing.message, self.now)
        self.send(membership.own.name, outcome)

    def find(self, outgoing: OutgoingMessage) -> Process | None:
        """Return the process at the address of a message."""
        address = (outgoing.host, outgoing.control_port)
        for process in self.processes.values():
            if get_address(process.membership.own) == address:
                return process
        return None

    def send(
        self, source: str, outcome: Iterable[OutgoingMessage | Pause]
    ) -> None:
        """Queue messages for delivery, subject to the faults."""
        for outgoing in outcome:
            if isinstance(outgoing, Pause):
                continue
            if self.on_sent is not None:
                self.on_sent(source, outgoing)
            self.push_with_faults(source, outgoing)

    def push_with_faults(self, source: str, outgoing: OutgoingMessage) -> None:
        """Drop, delay or duplicate a message."""
        process = self.find(outgoing)
        if process is None:
            return
        target = process.membership.own.name
        if (source in self.partitioned) != (target in self.partitioned):
            return
        faults = self.faults
        loss_percent = max(
            faults.lost_percent, self.get_loss_percent(source, target)
        )
        if self.occurs(loss_percent):
            return
        for _ in range(2 if self.occurs(faults.repeated_percent) else 1):
            delay_seconds = faults.delay_seconds
            if self.occurs(faults.late_percent):
                delay_seconds = (
                    faults.max_delay_seconds * self.randbelow(1000) / 1000
                )
            self.push(self.now + delay_seconds, '', outgoing)

    def occurs(self, percent: int) -> bool:
        """Return whether a fault of this probability occurs."""
        return percent > 0 and self.randbelow(100) < percent

    def push(self, event_at: float, source: str, event: object) -> None:
        """Queue a tick or a delivery."""
        heappush(self.queue, (event_at, next(self.numbers), source, event))


def create_member(
    index: int, data_centres: int = 3, generation: int = 0
) -> Member:
    """Return a member whose address depends on its generation."""
    return Member(
        name=f'balancer-{index:02}',
        data_centre=f'qc-est-{index % data_centres}',
        host=f'10.20.{generation}.{index + 1}',
        data_port=7000,
        control_port=7001,
    )


def restart(network: Network, index: int, generation: int) -> None:
    """Replace a process by a new one without the state of the previous one."""
    member = create_member(index, generation=generation)
    seeds = [get_address(create_member(number)) for number in range(2)]
    network.start(replace(member, incarnation=0), seeds)


def list_names(membership: Membership) -> list[str]:
    """List the names of the owners."""
    return [member.name for member in list_owners(membership)]
