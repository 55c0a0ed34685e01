"""Wire format of the platform, as the front ends use it."""

from typing import Final

from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.evacuations.view import EvacuationView
from balsamshed.front_ends.source_reader import SourceListing, StoreFormat
from balsamshed.front_ends.wire_format import WireFormat
from balsamshed.platform.entries import (
    EntryRejection,
    decode_endpoint,
    decode_evacuation,
    decode_routes,
)
from balsamshed.platform.listing import (
    decode_page,
    format_list_path,
    get_creation_revision,
    get_object_name,
    get_object_revision,
)
from balsamshed.platform.packets import (
    decode_packet,
    describe_flow,
    encode_forwarded,
    encode_reset,
    get_caller_address,
)
from balsamshed.routes.table import RouteTable
from balsamshed.store.revisions import combine_revision, get_era

READY_PATH: Final = '/v1/ready'
#: Name of the object that holds the configuration.
_CONFIGURATION_NAME: Final = 'main'


def create_wire_format() -> WireFormat:
    """Return the wire format of the platform."""
    return WireFormat(
        decode_packet=decode_packet,
        encode_forwarded=encode_forwarded,
        encode_reset=encode_reset,
        get_caller_address=get_caller_address,
        describe_flow=describe_flow,
        decode_endpoints=decode_endpoints,
        decode_routes=decode_configuration,
        decode_evacuations=decode_evacuations,
        store_format=StoreFormat(format_list_path, decode_page),
        ready_path=READY_PATH,
    )


def decode_endpoints(
    listing: SourceListing,
) -> tuple[EndpointView, tuple[str, ...]]:
    """Return the endpoints of a listing and its rejected entries.

    A rejected entry is given as ``name:field`` with its first invalid field.
    Names that differ in leading zeros only hold the same instance ID, and the
    entry that was created first keeps it.
    """
    endpoints: dict[int, Endpoint] = {}
    rejected: list[str] = []
    change_revisions: set[int] = set()
    era = get_era(listing.revision)
    for item in sorted(listing.items, key=get_creation_revision):
        entry = decode_endpoint(item)
        number = get_object_revision(item)
        change_revisions.add(combine_revision(era, number))
        if isinstance(entry, EntryRejection):
            rejected.append(f'{entry.name}:{entry.field}')
        elif entry.instance in endpoints:
            rejected.append(f'{get_object_name(item)}:id')
        else:
            endpoints[entry.instance] = entry
    if rejected or len(change_revisions) < len(endpoints):
        # An entry that has become invalid would count as changed and as gone.
        change_revisions.clear()
    view = EndpointView(
        listing.revision,
        tuple(endpoints.values()),
        listing.max_revision,
        frozenset(change_revisions),
    )
    return view, tuple(rejected)


def decode_evacuations(
    listing: SourceListing,
) -> tuple[EvacuationView, tuple[str, ...]]:
    """Return the evacuations of a listing and its rejected entries.

    A rejected entry is given as ``name:field`` with its first invalid field.
    """
    listed: dict[str, int] = {}
    rejected: list[EntryRejection] = []
    for item in listing.items:
        entry = decode_evacuation(item)
        if isinstance(entry, EntryRejection):
            rejected.append(entry)
        else:
            listed[entry] = get_object_revision(item)
    unreadable = frozenset(entry.name for entry in rejected)
    return (
        EvacuationView(listing.revision, listed, unreadable),
        tuple(f'{entry.name}:{entry.field}' for entry in rejected),
    )


def decode_configuration(listing: SourceListing) -> RouteTable | str:
    """Return the routes of a listing, or the reason why there are none."""
    for item in listing.items:
        if get_object_name(item) == _CONFIGURATION_NAME:
            table = decode_routes(item)
            if isinstance(table, EntryRejection):
                return f'invalid_{table.field}'
            return table
    return 'no_configuration'
