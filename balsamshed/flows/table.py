"""Flow table, which maps each flow to its backend server."""

from dataclasses import dataclass, field
from functools import lru_cache
from typing import Final

from balsamshed.flows.packets import Packet

#: A request without packets for this long is considered ended.
REQUEST_IDLE_SECONDS: Final = 60.0
#: A feed without packets of its caller for this long is considered ended.
FEED_IDLE_SECONDS: Final = 3600.0
#: Time after which a SYN without a completed handshake is unanswered.
HANDSHAKE_TIMEOUT_SECONDS: Final = 1.0
#: Time for which the entry of an ended flow is kept for late packets.
LINGER_SECONDS: Final = 10.0
#: A SYN whose sequence number lies at most this many bytes before the end of a
#: flow is a late copy of the one that opened it. Initial sequence numbers are
#: random, so that few others lie there.
MAX_CALLER_BYTES: Final = 1 << 24

_SEQUENCE_MASK: Final = (1 << 32) - 1


@dataclass(frozen=True, slots=True)
class Placement:
    """Destination of a flow, shared by all flows with the same fields.

    Parameters
    ----------
    host : int
        IPv4 address of the backend server.
    is_feed : bool
        Whether the flow belongs to a listener of kind ``feed``.
    is_copied : bool
        Whether the backup holds a copy of the entry.
    """

    host: int
    is_feed: bool
    is_copied: bool


@dataclass(frozen=True, slots=True)
class Opening:
    """A flow whose handshake is not complete.

    Parameters
    ----------
    packet : Packet
        The SYN, kept for a retry.
    tried_hosts : tuple of int
        Hosts that the SYN was sent to; the last one is current.
    started_at : float
        Monotonic seconds of the first SYN.
    is_timeout_counted : bool
        Whether the missing response was counted for the current host.
    """

    packet: Packet
    tried_hosts: tuple[int, ...]
    started_at: float
    is_timeout_counted: bool = False


@dataclass(frozen=True, slots=True)
class EndedFlow:
    """A flow whose caller has closed or reset it.

    Parameters
    ----------
    expires_at : float
        Monotonic seconds at which its entry expires.
    sequence : int
        Sequence number of the packet that ended it.
    """

    expires_at: float
    sequence: int


@dataclass(slots=True)
class FlowTable:
    """Entries of the flows that a balancer owns or backs up.

    Attributes
    ----------
    placements : dict of bytes to Placement
        Destination of each flow, keyed by flow key.
    last_seen : dict of bytes to float
        Monotonic seconds of the last packet or copy.
    openings : dict of bytes to Opening
        Flows whose handshake is not complete.
    opened_at : dict of bytes to float
        Monotonic seconds of the SYN or of the takeover, for open flows that
        this owner counts.
    ended : dict of bytes to EndedFlow
        Ended flows, in the order of their expiry.
    unconfirmed : set of bytes
        Flows that another owner may have placed again while this process was
        paused.
    """

    placements: dict[bytes, Placement] = field(default_factory=dict)
    last_seen: dict[bytes, float] = field(default_factory=dict)
    openings: dict[bytes, Opening] = field(default_factory=dict)
    opened_at: dict[bytes, float] = field(default_factory=dict)
    ended: dict[bytes, EndedFlow] = field(default_factory=dict)
    unconfirmed: set[bytes] = field(default_factory=set)


@lru_cache(maxsize=65536)
def get_placement(host: int, *, is_feed: bool, is_copied: bool) -> Placement:
    """Return the shared placement with these fields."""
    return Placement(host, is_feed, is_copied)


def add_flow(
    table: FlowTable,
    flow_key: bytes,
    placement: Placement,
    opening: Opening,
) -> None:
    """Add a flow whose SYN is about to be forwarded.

    Parameters
    ----------
    table : FlowTable
        Changed in place.
    flow_key : bytes
        Key of the flow.
    placement : Placement
        Destination of the flow.
    opening : Opening
        SYN of the flow.
    """
    table.placements[flow_key] = placement
    table.last_seen[flow_key] = opening.started_at
    table.openings[flow_key] = opening
    table.opened_at[flow_key] = opening.started_at
    table.ended.pop(flow_key, None)


def add_placed_flow(
    table: FlowTable,
    flow_key: bytes,
    placement: Placement,
    now: float,
) -> None:
    """Add or replace a flow that was placed before, mostly by another member.

    Parameters
    ----------
    table : FlowTable
        Changed in place.
    flow_key : bytes
        Key of the flow.
    placement : Placement
        Destination of the flow.
    now : float
        Monotonic seconds.
    """
    table.placements[flow_key] = placement
    table.last_seen[flow_key] = now
    table.openings.pop(flow_key, None)
    table.unconfirmed.discard(flow_key)


def end_flow(table: FlowTable, packet: Packet, now: float) -> bool:
    """Mark a flow as ended; its entry expires after `LINGER_SECONDS`.

    Parameters
    ----------
    table : FlowTable
        Changed in place.
    packet : Packet
        Packet with which the caller closed or reset the flow.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        Whether the flow was not marked before.
    """
    if packet.flow_key in table.ended:
        return False
    table.ended[packet.flow_key] = EndedFlow(
        now + LINGER_SECONDS, packet.sequence
    )
    return True


def is_late_copy(table: FlowTable, syn: Packet) -> bool:
    """Tell whether a SYN is a late copy of the one that opened an ended flow.

    The network may deliver a copy after the flow has ended. A caller may have
    closed its side only, and still wait for the answer.
    """
    ended = table.ended.get(syn.flow_key)
    if ended is None:
        return False
    distance = (ended.sequence - syn.sequence) & _SEQUENCE_MASK
    return 0 < distance <= MAX_CALLER_BYTES


def remove_flow(table: FlowTable, flow_key: bytes) -> Placement | None:
    """Remove the entry of a flow.

    Parameters
    ----------
    table : FlowTable
        Changed in place.
    flow_key : bytes
        Key of the flow.

    Returns
    -------
    Placement or None
        Destination of the flow, if the table had an entry.
    """
    table.last_seen.pop(flow_key, None)
    table.openings.pop(flow_key, None)
    table.opened_at.pop(flow_key, None)
    table.ended.pop(flow_key, None)
    table.unconfirmed.discard(flow_key)
    return table.placements.pop(flow_key, None)


def list_expired(table: FlowTable, now: float) -> list[bytes]:
    """List the ended flows whose entries have expired.

    Ended flows are kept in the order of their expiry, so the scan stops at
    the first one that has not expired.

    Parameters
    ----------
    table : FlowTable
        Table to search.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of bytes
        Flow keys.
    """
    keys = []
    for flow_key, ended in table.ended.items():
        if ended.expires_at > now:
            break
        keys.append(flow_key)
    return keys


def list_unanswered(
    table: FlowTable,
    now: float,
) -> list[tuple[bytes, Opening]]:
    """List the flows whose handshake has timed out.

    Openings are kept in the order of their first SYN, so the scan stops at
    the first one that has not timed out.

    Parameters
    ----------
    table : FlowTable
        Table to search.
    now : float
        Monotonic seconds.

    Returns
    -------
    list of (bytes, Opening)
        Flow keys and openings.
    """
    unanswered = []
    for flow_key, opening in table.openings.items():
        if now - opening.started_at < HANDSHAKE_TIMEOUT_SECONDS:
            break
        unanswered.append((flow_key, opening))
    return unanswered


def is_idle(table: FlowTable, flow_key: bytes, now: float) -> bool:
    """Tell whether a flow has exceeded the idle timeout of its kind.

    Parameters
    ----------
    table : FlowTable
        Table that holds the flow.
    flow_key : bytes
        Key of a flow in the table.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        True if its entry may be removed.
    """
    is_feed = table.placements[flow_key].is_feed
    limit = FEED_IDLE_SECONDS if is_feed else REQUEST_IDLE_SECONDS
    return now - table.last_seen[flow_key] > limit


def count_open_requests(table: FlowTable) -> int:
    """Count the open requests without a copy at another member.

    Feeds are always copied.
    """
    return sum(
        flow_key not in table.ended and not table.placements[flow_key].is_copied
        for flow_key in table.opened_at
    )
