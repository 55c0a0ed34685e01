"""Digest of a set of endpoints, by which balancers compare their views."""

from collections.abc import Iterable
from zlib import crc32

from balsamshed.endpoints.endpoint import Endpoint, get_state


def calculate_digest(endpoints: Iterable[Endpoint]) -> int:
    """Return the digest of endpoints, independent of their order.

    Sequence numbers and remaining warm-up times are left out, as in
    `has_same_state`.

    Returns
    -------
    int
        CRC-32 of the instance IDs and states in the order of the IDs.
    """
    states = sorted(
        (endpoint.instance, get_state(endpoint)) for endpoint in endpoints
    )
    return crc32(repr(states).encode())
