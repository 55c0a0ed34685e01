"""Conversion between peer messages and the generated thrift structures."""

import json
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from balsamshed.codecs.generated import ttypes
from balsamshed.configuration.messages import (
    BucketDigests,
    BucketVersions,
    RecordPush,
)
from balsamshed.configuration.records import Record
from balsamshed.flows.messages import FlowCopies, FlowCopiesAck, FlowCopy
from balsamshed.members.member import Member, MemberState
from balsamshed.members.messages import Ack, CatalogDigest, Ping, PingRequest
from balsamshed.node.messages import PeerMessage
from balsamshed.placement.messages import LoadReport, LoadReports

_IPV4_ADDRESS_COUNT: Final = 1 << 32
_MAX_I32: Final = (1 << 31) - 1
_MS_PER_SECOND: Final = 1000


class RecordBodyError(ValueError):
    """Error for a record whose body is not a JSON object."""


def pack_message(message: PeerMessage) -> dict[str, Any]:
    """Convert a message to the matching field of the thrift envelope.

    Parameters
    ----------
    message : PeerMessage
        The message.

    Returns
    -------
    dict of str to object
        One entry: name of the envelope's field, thrift structure.
    """
    field_name, pack = _PACKERS[type(message)]
    return {field_name: pack(message)}


def unpack_message(envelope: Any) -> PeerMessage | None:
    """Convert the message of a thrift envelope.

    Parameters
    ----------
    envelope : balsamshed.codecs.generated.ttypes.Envelope
        The decoded envelope.

    Returns
    -------
    PeerMessage or None
        The message, or None unless exactly one known message is set.

    Raises
    ------
    TProtocolException
        If a required field is missing.
    ValueError
        If a value is outside its range; `RecordBodyError` for a record's body.
    """
    found = [
        (unpack, structure)
        for field_name, unpack in _UNPACKERS.items()
        if (structure := getattr(envelope, field_name)) is not None
    ]
    if len(found) != 1:
        return None
    unpack, structure = found[0]
    structure.validate()
    return unpack(structure)


def _pack_host(host: int) -> int:
    return host if host <= _MAX_I32 else host - _IPV4_ADDRESS_COUNT


def _unpack_host(host: int) -> int:
    return host & (_IPV4_ADDRESS_COUNT - 1)


def _pack_member(member: Member) -> Any:
    return ttypes.MemberUpdate(
        member.name,
        member.data_centre,
        member.host,
        member.data_port,
        member.control_port,
        member.incarnation,
        # The C encoder accepts plain integers only.
        int(member.state),
    )


def _unpack_member(update: Any) -> Member:
    update.validate()
    return Member(
        update.name,
        update.data_centre,
        update.host,
        update.data_port,
        update.control_port,
        update.incarnation,
        MemberState(update.state),
    )


def _pack_digest(catalog: CatalogDigest) -> Any:
    return ttypes.CatalogDigest(catalog.digest, catalog.highest_version)


def _unpack_digest(catalog: Any) -> CatalogDigest:
    catalog.validate()
    return CatalogDigest(catalog.digest, catalog.highest_version)


def _pack_ping(ping: Ping) -> Any:
    return ttypes.Ping(
        ping.sequence,
        _pack_digest(ping.catalog),
        list(map(_pack_member, ping.updates)),
        ping.on_behalf_of or None,
    )


def _unpack_ping(ping: Any) -> Ping:
    return Ping(
        ping.sequence,
        _unpack_digest(ping.catalog),
        tuple(map(_unpack_member, ping.updates)),
        ping.on_behalf_of or '',
    )


def _pack_ack(ack: Ack) -> Any:
    return ttypes.Ack(
        ack.sequence,
        _pack_digest(ack.catalog),
        list(map(_pack_member, ack.updates)),
    )


def _unpack_ack(ack: Any) -> Ack:
    return Ack(
        ack.sequence,
        _unpack_digest(ack.catalog),
        tuple(map(_unpack_member, ack.updates)),
    )


def _pack_ping_request(request: PingRequest) -> Any:
    return ttypes.PingRequest(
        request.sequence,
        request.target,
        list(map(_pack_member, request.updates)),
    )


def _unpack_ping_request(request: Any) -> PingRequest:
    return PingRequest(
        request.sequence,
        request.target,
        tuple(map(_unpack_member, request.updates)),
    )


def _pack_record(record: Record) -> Any:
    # ASCII escapes (the default) allow lone surrogates in the text, which
    # cannot be encoded as UTF-8.
    text = json.dumps(record.body, separators=(',', ':'), sort_keys=True)
    return ttypes.RecordData(record.key, record.version, text.encode())


def _unpack_record(record: Any) -> Record:
    record.validate()
    try:
        body = json.loads(record.body)
    except (ValueError, RecursionError) as error:
        raise RecordBodyError(f'body of {record.key!r} is not JSON') from error
    if not isinstance(body, dict):
        raise RecordBodyError(f'body of {record.key!r} is not a JSON object')
    return Record(record.key, record.version, body)


def _pack_record_push(push: RecordPush) -> Any:
    return ttypes.RecordPush(list(map(_pack_record, push.records)))


def _unpack_record_push(push: Any) -> RecordPush:
    return RecordPush(tuple(map(_unpack_record, push.records)))


def _pack_bucket_digests(message: BucketDigests) -> Any:
    return ttypes.BucketDigests(list(message.digests))


def _unpack_bucket_digests(message: Any) -> BucketDigests:
    return BucketDigests(tuple(message.digests))


def _pack_bucket_versions(message: BucketVersions) -> Any:
    return ttypes.BucketVersions(
        list(message.buckets),
        [
            ttypes.RecordVersion(key, version)
            for key, version in message.versions
        ],
    )


def _unpack_bucket_versions(message: Any) -> BucketVersions:
    return BucketVersions(
        tuple(message.buckets),
        tuple(map(_unpack_version, message.versions)),
    )


def _unpack_version(entry: Any) -> tuple[str, int]:
    entry.validate()
    return entry.key, entry.version


def _pack_flow_copies(batch: FlowCopies) -> Any:
    return ttypes.FlowCopies(
        batch.sequence,
        [
            ttypes.FlowCopy(copy.flow_key, _pack_host(copy.host))
            for copy in batch.copies
        ],
    )


def _unpack_flow_copies(batch: Any) -> FlowCopies:
    return FlowCopies(
        batch.sequence,
        tuple(map(_unpack_flow_copy, batch.copies)),
    )


def _unpack_flow_copy(copy: Any) -> FlowCopy:
    copy.validate()
    return FlowCopy(copy.flow_key, _unpack_host(copy.host))


def _pack_flow_copies_ack(ack: FlowCopiesAck) -> Any:
    return ttypes.FlowCopiesAck(ack.sequence)


def _unpack_flow_copies_ack(ack: Any) -> FlowCopiesAck:
    return FlowCopiesAck(ack.sequence)


def _pack_load_reports(message: LoadReports) -> Any:
    return ttypes.LoadReports(list(map(_pack_load_report, message.reports)))


def _pack_load_report(report: LoadReport) -> Any:
    # Numbers are saturated: a backend server may report any number, and one
    # out of range must not block the reports of the others.
    age = round(report.age_seconds * _MS_PER_SECOND)
    return ttypes.LoadReportData(
        _pack_host(report.host),
        min(report.in_flight, _MAX_I32),
        min(report.queued, _MAX_I32),
        min(age, _MAX_I32),
    )


def _unpack_load_reports(message: Any) -> LoadReports:
    return LoadReports(tuple(map(_unpack_load_report, message.reports)))


def _unpack_load_report(report: Any) -> LoadReport:
    report.validate()
    return LoadReport(
        _unpack_host(report.host),
        report.in_flight,
        report.queued,
        report.age_milliseconds / _MS_PER_SECOND,
    )


_PACKERS: Mapping[type, tuple[str, Callable[[Any], Any]]] = MappingProxyType(
    {
        Ping: ('ping', _pack_ping),
        Ack: ('ack', _pack_ack),
        PingRequest: ('ping_request', _pack_ping_request),
        RecordPush: ('record_push', _pack_record_push),
        BucketDigests: ('bucket_digests', _pack_bucket_digests),
        BucketVersions: ('bucket_versions', _pack_bucket_versions),
        FlowCopies: ('flow_copies', _pack_flow_copies),
        FlowCopiesAck: ('flow_copies_ack', _pack_flow_copies_ack),
        LoadReports: ('load_reports', _pack_load_reports),
    }
)
_UNPACKERS: Mapping[str, Callable[[Any], PeerMessage]] = MappingProxyType(
    {
        'ping': _unpack_ping,
        'ack': _unpack_ack,
        'ping_request': _unpack_ping_request,
        'record_push': _unpack_record_push,
        'bucket_digests': _unpack_bucket_digests,
        'bucket_versions': _unpack_bucket_versions,
        'flow_copies': _unpack_flow_copies,
        'flow_copies_ack': _unpack_flow_copies_ack,
        'load_reports': _unpack_load_reports,
    }
)
