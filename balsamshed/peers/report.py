"""Report that a balancer sends to others several times a second."""

from dataclasses import dataclass
from typing import Final

#: Bytes of a report on the network: headers of IP and UDP, what every report
#: has, and each endpoint and peer.
BASE_REPORT_BYTES: Final = 28 + 16
ENDPOINT_BYTES: Final = 6
PEER_BYTES: Final = 4


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """What one balancer sees of one endpoint.

    Parameters
    ----------
    cookie : int
        Names the endpoint, see `derive_cookie`.
    in_flight : int
        Requests of this balancer's flows that have not been answered.
    is_suspected : bool
        Whether the endpoint leaves opening packets unanswered.
    """

    cookie: int
    in_flight: int
    is_suspected: bool


@dataclass(frozen=True, slots=True)
class PeerReport:
    """State of one balancer.

    Parameters
    ----------
    data_centre : str
        Data centre of the sender.
    revision : int
        Revision of the store that the sender's view shows; -1 without one.
    age_seconds : float
        Time since the store confirmed that revision as the current one;
        infinite if it never did.
    endpoints : tuple of EndpointReport
        Endpoints with requests in flight or under suspicion.
    peers : tuple of str
        IPv4 addresses of some balancers that the sender hears.
    """

    data_centre: str
    revision: int
    age_seconds: float
    endpoints: tuple[EndpointReport, ...]
    peers: tuple[str, ...]


def calculate_wire_size(report: PeerReport) -> int:
    """Return how many bytes a report takes on the network."""
    return (
        BASE_REPORT_BYTES
        + len(report.data_centre)
        + len(report.endpoints) * ENDPOINT_BYTES
        + len(report.peers) * PEER_BYTES
    )
