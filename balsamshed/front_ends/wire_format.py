"""Platform encodings that the front ends of an edge balancer use."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from balsamshed.endpoints.directory import EndpointView
from balsamshed.evacuations.view import EvacuationView
from balsamshed.front_ends.source_reader import SourceListing, StoreFormat
from balsamshed.routes.table import RouteTable


@dataclass(frozen=True, slots=True)
class WireFormat:
    """Encodings of packets, of the store's API and of the readiness check.

    Parameters
    ----------
    decode_packet : callable
        Decodes a datagram; returns a sentinel with a ``reason`` if it is
        malformed.
    encode_forwarded : callable
        Encodes a raw packet for its endpoint, given the endpoint's instance ID
        and the cookie.
    encode_reset : callable
        Encodes a reset of the flow of a raw packet.
    get_caller_address : callable
        Returns the host of a raw packet's sender.
    describe_flow : callable
        Returns a flow key as text for logs.
    decode_endpoints : callable
        Decodes a listing; returns the view and descriptions of rejected
        items.
    decode_routes : callable
        Decodes a listing; returns the routes, or a description of the error.
    decode_evacuations : callable
        Decodes a listing; returns the view and descriptions of rejected
        items.
    store_format : StoreFormat
        Format of the store's API.
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
    decode_evacuations: Callable[
        [SourceListing],
        tuple[EvacuationView, tuple[str, ...]],
    ]
    store_format: StoreFormat
    ready_path: str
