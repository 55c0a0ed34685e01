"""Wire format of the platform, as the front ends use it."""

from operator import attrgetter
from typing import Final

from balsamshed.endpoints.directory import EndpointView
from balsamshed.endpoints.endpoint import Endpoint
from balsamshed.evacuations.view import EvacuationView
from balsamshed.front_ends.source_reader import SourceListing, StoreFormat
from balsamshed.front_ends.wire_format import WireFormat
from balsamshed.platform.entries import MAX_NAME_LENGTH, EntryRejection
from balsamshed.platform.listing import (
    CONFIGURATION_NAME,
    decode_page,
    format_list_path,
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
#: Returns the revision of the creation of a listed object.
_get_creation: Final = attrgetter('creation_revision')


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
    for item in sorted(listing.items, key=_get_creation):
        entry = item.content
        if isinstance(entry, EntryRejection):
            rejected.append(_describe_rejection(entry.name, entry.field))
        elif entry.instance in endpoints:
            rejected.append(_describe_rejection(item.name, 'id'))
        else:
            endpoints[entry.instance] = entry
            # Of accepted entries only: one that has become invalid would count
            # as changed and as gone.
            change_revisions.add(combine_revision(era, item.revision))
    if len(change_revisions) < len(endpoints):
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
        entry = item.content
        if isinstance(entry, EntryRejection):
            rejected.append(entry)
        else:
            listed[entry] = item.revision
    # No evacuation in force has a name that is rejected itself. Without a name,
    # any of them may be meant.
    unreadable = frozenset(
        entry.name
        for entry in rejected
        if entry.field != 'name' or not entry.name
    )
    return (
        EvacuationView(listing.revision, listed, unreadable),
        tuple(
            _describe_rejection(entry.name, entry.field) for entry in rejected
        ),
    )


def _describe_rejection(name: str, field: str) -> str:
    return f'{name[:MAX_NAME_LENGTH]}:{field}'


def decode_configuration(listing: SourceListing) -> RouteTable | str:
    """Return the routes of a listing, or the reason why there are none."""
    for item in listing.items:
        if item.name != CONFIGURATION_NAME:
            continue
        if isinstance(item.content, EntryRejection):
            return f'invalid_{item.content.field}'
        table: RouteTable = item.content
        return table
    return 'no_configuration'
