/** Messages and stored records of the consensus group. Field ids are never reused. */
include "state.thrift"

namespace py marigolddoor_wire.gen.consensus

struct Member {
  1: string replica,
  2: string address,
}

struct Configuration {
  1: list<Member> voters,
  2: list<Member> learners,
}

struct Entry {
  1: i64 index,
  2: i64 term,
  3: binary command,
  4: optional Configuration configuration,
}

struct SnapshotMeta {
  1: i64 index,
  2: i64 term,
  3: Configuration configuration,
  4: i64 size_bytes,
  5: i64 checksum,
}

struct RequestVote {
  1: i64 term,
  2: i64 last_index,
  3: i64 last_term,
  4: bool pre_vote,
  5: bool transfer,
}

struct VoteReply {
  1: i64 term,
  2: bool pre_vote,
  3: bool granted,
}

struct AppendEntries {
  1: i64 term,
  2: i64 previous_index,
  3: i64 previous_term,
  4: list<Entry> entries,
  5: i64 commit_index,
  6: i64 round,
}

struct AppendReply {
  1: i64 term,
  2: bool accepted,
  3: i64 match_index,
  4: i64 previous_index,
  5: i64 round,
}

struct InstallSnapshot {
  1: i64 term,
  2: SnapshotMeta snapshot,
  3: i64 offset,
  4: binary data,
  5: i64 round,
}

struct SnapshotReply {
  1: i64 term,
  2: i64 index,
  3: i64 offset,
  4: bool installed,
  5: i64 round,
}

struct TimeoutNow {
  1: i64 term,
}

struct Identity {
  1: string replica,
  2: Configuration configuration,
}

struct VoteRecord {
  1: i64 term,
  2: optional string vote,
}

struct LogBase {
  1: i64 index,
  2: i64 term,
}

struct StoredState {
  1: double time_s,
  2: list<binary> parts,
}

struct PeerMessage {
  1: string sender,
  2: string recipient,
  3: string address,
  4: state.Tagged message,
}

struct ReadBarrier {
  1: double timeout_s,
}

struct ReadBarrierReply {
  1: i64 index,
}

struct AskMembership {
}

struct MembershipReply {
  1: bool is_member,
}

struct Join {
  1: Member member,
}
