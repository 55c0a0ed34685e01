"""Report that a balancer sends to its peers several times a second."""

from dataclasses import dataclass
from typing import Final

#: Size of a report on the network: 28 bytes of IP and UDP headers and 24 of the
#: report's own header, then each endpoint and each peer.
BASE_REPORT_BYTES: Final = 28 + 24
ENDPOINT_BYTES: Final = 6
PEER_BYTES: Final = 4


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """Load and suspicion of one endpoint, as observed by one balancer.

    Parameters
    ----------
    cookie : int
        Cookie of the endpoint; see `derive_cookie`.
    in_flight : int
        Unanswered requests of the flows through this balancer.
    is_suspected : bool
        Whether the endpoint leaves opening packets unanswered.
    """

    cookie: int
    in_flight: int
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class PeerReport:
    """State of one balancer, as sent to its peers.

    Parameters
    ----------
    data_centre : str
        Data centre of the sender.
    revision : int
        Store revision of the sender's view; -1 without a view.
    age_seconds : float
        Time since the store confirmed that revision as the current one;
        infinite without a confirmation.
    endpoints : tuple of EndpointReport
        Endpoints with requests in flight or under suspicion.
    peers : tuple of str
        IPv4 addresses of some peers with a current report at the sender.
    version : int
        Version of the routes in force at the sender; -1 without any.
    read_number : int
        Number of the read of the store that confirmed the revision, 15 bits;
        zero without a confirmation, and from balancers of former builds.
    """

    data_centre: str
    revision: int
    age_seconds: float
    endpoints: tuple[EndpointReport, ...]
    peers: tuple[str, ...]
    version: int = -1
    read_number: int = 0


def calculate_wire_size(report: PeerReport) -> int:
    """Return the size of a report on the network, in bytes."""
    return (
        BASE_REPORT_BYTES
        + len(report.data_centre)
        + len(report.endpoints) * ENDPOINT_BYTES
        + len(report.peers) * PEER_BYTES
    )
