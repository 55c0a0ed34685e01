"""Effect handlers that call the platform's object API."""

from functools import partial
from typing import Any

from balsamshed.front_ends.effect_handlers import EffectHandlers, EventSink
from balsamshed.front_ends.store_client import StoreClient
from balsamshed.members.member import Member
from balsamshed.node.effects import (
    ListRecords,
    ListVms,
    WatchRecords,
    WriteRecord,
)
from balsamshed.node.events import (
    Event,
    RecordsChanged,
    RecordsListed,
    RecordWritten,
    StoreFailed,
    VmsListed,
    WatchExpired,
    WriteConflicted,
)
from balsamshed.store.responses import (
    FailureReason,
    PutAccepted,
    PutConflict,
    StoreFailure,
    VmEntry,
)
from balsamshed.store.session import WATCH_TIMEOUT_SECONDS


def create_store_handlers(
    client: StoreClient,
    sink: EventSink,
) -> EffectHandlers:
    """Return the handlers of effects that call the store.

    Parameters
    ----------
    client : StoreClient
        Client of the object API; its Deferreds never fail.
    sink : callable
        Receives the responses as events.

    Returns
    -------
    dict of type to callable
        Handler by effect type.
    """

    def report_listing(
        call: str, event: type[RecordsListed | RecordsChanged], response: Any
    ) -> None:
        if isinstance(response, StoreFailure):
            sink(_create_failure_event(call, response))
        else:
            sink(event(response.revision, response.records))

    def list_records(effect: ListRecords) -> None:
        listing = client.list_objects(effect.prefix)
        listing.addCallback(partial(report_listing, 'list', RecordsListed))

    def watch_records(effect: WatchRecords) -> None:
        listing = client.watch_objects(
            effect.prefix,
            effect.revision,
            int(WATCH_TIMEOUT_SECONDS * 1000),
        )
        listing.addCallback(partial(report_listing, 'watch', RecordsChanged))

    def write_record(effect: WriteRecord) -> None:
        attempt = client.put_object(
            effect.key,
            effect.body,
            effect.expected_version,
        )
        attempt.addCallback(partial(_create_write_event, effect.key))
        attempt.addCallback(sink)

    def list_vms(effect: ListVms) -> None:
        client.list_vms().addCallback(_create_vms_event).addCallback(sink)

    return {
        ListRecords: list_records,
        WatchRecords: watch_records,
        WriteRecord: write_record,
        ListVms: list_vms,
    }


def _create_vms_event(response: Any) -> Event:
    if isinstance(response, StoreFailure):
        return _create_failure_event('vms', response)
    return VmsListed(tuple(map(_build_member, response)))


def _create_failure_event(call: str, failure: StoreFailure) -> Event:
    if failure.reason is FailureReason.TOO_OLD:
        return WatchExpired()
    return StoreFailed(call, failure.reason)


def _create_write_event(key: str, response: Any) -> Event:
    if isinstance(response, PutAccepted):
        return RecordWritten(key, response.version)
    if isinstance(response, PutConflict):
        return WriteConflicted(key, response.version)
    return StoreFailed('write', response.reason)


def _build_member(entry: VmEntry) -> Member:
    return Member(
        entry.name,
        entry.data_centre,
        entry.host,
        0,
        entry.control_port,
    )
