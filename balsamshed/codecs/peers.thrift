// Messages between balancers. Each is sent in one UDP datagram.

namespace py balsamshed.codecs.generated

enum MemberState {
  ALIVE = 1,
  SUSPECT = 2,
  DEAD = 3,
  LEAVING = 4,
}

struct MemberUpdate {
  1: required string name,
  2: required string data_centre,
  3: required string host,
  4: required i32 data_port,
  5: required i32 control_port,
  6: required i64 incarnation,
  7: required MemberState state,
}

// Summary of a member's catalog: an equal digest means equal records.
struct CatalogDigest {
  1: required i64 digest,
  2: required i64 highest_version,
}

struct Ping {
  1: required i64 sequence,
  2: required CatalogDigest catalog,
  3: required list<MemberUpdate> updates,
  // Set when the ping is sent on behalf of another member.
  4: optional string on_behalf_of,
}

struct Ack {
  1: required i64 sequence,
  2: required CatalogDigest catalog,
  3: required list<MemberUpdate> updates,
}

struct PingRequest {
  1: required i64 sequence,
  2: required string target,
  3: required list<MemberUpdate> updates,
}

struct RecordData {
  1: required string key,
  2: required i64 version,
  // JSON document, the record's body.
  3: required binary body,
}

struct RecordPush {
  1: required list<RecordData> records,
}

struct RecordVersion {
  1: required string key,
  2: required i64 version,
}

// Digest of each bucket of keys, sent when two catalogs differ.
struct BucketDigests {
  1: required list<i64> digests,
}

// Versions of the keys in the given buckets; requests the newer records.
struct BucketVersions {
  1: required list<i32> buckets,
  2: required list<RecordVersion> versions,
}

struct FlowCopy {
  1: required binary flow_key,
  // IPv4 address of the backend server; zero removes the entry.
  2: required i32 host,
}

struct FlowCopies {
  1: required i64 sequence,
  2: required list<FlowCopy> copies,
}

struct FlowCopiesAck {
  1: required i64 sequence,
}

struct LoadReportData {
  1: required i32 host,
  2: required i32 in_flight,
  3: required i32 queued,
  4: required i32 age_milliseconds,
}

struct LoadReports {
  1: required list<LoadReportData> reports,
}

// Exactly one field besides sender and incarnation is set.
struct Envelope {
  1: required string sender,
  2: required i64 incarnation,
  3: optional Ping ping,
  4: optional Ack ack,
  5: optional PingRequest ping_request,
  6: optional RecordPush record_push,
  7: optional BucketDigests bucket_digests,
  8: optional BucketVersions bucket_versions,
  9: optional FlowCopies flow_copies,
  10: optional FlowCopiesAck flow_copies_ack,
  11: optional LoadReports load_reports,
}
