"""Carries out the node's calls on the platform's object API."""

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
    """Return the functions that call the store.

    Parameters
    ----------
    client : StoreClient
        Calls of the object API; its Deferreds never fail.
    sink : callable
        Takes the answers as events.

    Returns
    -------
    dict of type to callable
        Keyed by the effect's type.
    """

    def report_listing(
        call: str, event: type[RecordsListed | RecordsChanged], answer: Any
    ) -> None:
        if isinstance(answer, StoreFailure):
            sink(_create_failure_event(call, answer))
        else:
            sink(event(answer.revision, answer.records))

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


def _create_vms_event(answer: Any) -> Event:
    if isinstance(answer, StoreFailure):
        return _create_failure_event('vms', answer)
    return VmsListed(tuple(map(_build_member, answer)))


def _create_failure_event(call: str, failure: StoreFailure) -> Event:
    if failure.reason is FailureReason.TOO_OLD:
        return WatchExpired()
    return StoreFailed(call, failure.reason)


def _create_write_event(key: str, answer: Any) -> Event:
    if isinstance(answer, PutAccepted):
        return RecordWritten(key, answer.version)
    if isinstance(answer, PutConflict):
        return WriteConflicted(key, answer.version)
    return StoreFailed('write', answer.reason)


def _build_member(entry: VmEntry) -> Member:
    return Member(
        entry.name,
        entry.data_centre,
        entry.host,
        0,
        entry.control_port,
    )
