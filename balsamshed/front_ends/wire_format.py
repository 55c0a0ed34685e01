"""What the front ends of an edge balancer need of a platform's encodings."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from balsamshed.endpoints.directory import EndpointView
from balsamshed.front_ends.source_reader import SourceListing, StoreFormat
from balsamshed.routes.table import RouteTable


@dataclass(frozen=True, slots=True)
class WireFormat:
    """How packets, the store and the readiness check are spoken.

    Parameters
    ----------
    decode_packet : callable
        Returns the packet of a datagram, or a sentinel with a ``reason``.
    encode_forwarded : callable
        Takes a raw packet, the identity of its endpoint and the cookie.
    encode_reset : callable
        Takes the raw packet of the flow to reset.
    get_caller_address : callable
        Returns the host of a raw packet's sender.
    describe_flow : callable
        Returns a flow key as text for logs.
    decode_endpoints : callable
        Takes a listing; returns the view and descriptions of rejected items.
    decode_routes : callable
        Takes a listing; returns the routes, or a description of the fault.
    store_format : StoreFormat
        Paths and pages of the store.
    ready_path : str
        Path of the readiness check.
    """

    decode_packet: Callable[[bytes], Any]
    encode_forwarded: Callable[[bytes, int, int], bytes]
    encode_reset: Callable[[bytes], bytes]
    get_caller_address: Callable[[bytes], str]
    describe_flow: Callable[[bytes], str]
    decode_endpoints: Callable[
        [SourceListing],
        tuple[EndpointView, tuple[str, ...]],
    ]
    decode_routes: Callable[[SourceListing], RouteTable | str]
    store_format: StoreFormat
    ready_path: str
