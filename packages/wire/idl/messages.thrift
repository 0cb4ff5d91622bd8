/** Requests and replies between the processes of the system. Field ids are never reused. */
namespace py marigolddoor_wire.gen.messages

include "state.thrift"
include "timeline.thrift"

/** What one frame holds. A reply has the correlation of its request; 0 is a one-way message. */
struct Envelope { 1: i64 correlation, 2: bool reply, 3: string kind, 4: binary body }

struct TaskReport { 1: string task, 2: i64 token, 3: string phase, 4: state.Resources usage, 5: double run_s, 6: string reason }
struct Announcement { 1: string vm, 2: string data_centre, 3: string rack, 4: string address, 5: i64 slots, 6: i64 busy_slots, 7: state.Resources capacity, 8: i64 epoch, 9: bool leaving, 10: bool drained, 11: string incarnation, 12: list<TaskReport> tasks }

struct ErrorReply { 1: string kind, 2: string detail }
struct Acknowledgement {}
struct Propose { 1: state.Tagged command, 2: double timeout_s }
struct ProposeReply { 1: state.Tagged result }
struct Watch { 1: string process, 2: string data_centre, 3: i64 after_index, 4: i64 in_force, 5: double wait_s }
struct WatchReply { 1: i64 index, 2: bool snapshot, 3: list<state.Change> changes }
struct TargetReport { 1: Announcement announcement, 2: string state, 3: double age_s }
struct ReportTargets { 1: string process, 2: string data_centre, 3: i64 sequence, 4: bool full, 5: list<TargetReport> targets, 6: list<string> gone }
struct LeaseRenewal { 1: string vm, 2: string task, 3: i64 token, 4: double lease_s }
struct ReportTargetsReply { 1: list<LeaseRenewal> renewals, 2: bool want_full }
struct ServiceDemand { 1: string service_id, 2: i64 arrived, 3: i64 admitted, 4: i64 refused, 5: i64 answered, 6: i64 late, 7: i64 in_flight, 8: i64 queued, 9: double slot_seconds }
struct ReportDemand { 1: string process, 2: string data_centre, 3: double interval_s, 4: list<ServiceDemand> services, 5: i64 in_force, 6: string address }
struct AskProcesses {}
struct ProcessesReply { 1: list<string> addresses }
struct ReportDemandReply { 1: double time_s }
struct ReadClaim { 1: string service_id, 2: string key }
struct ReadClaimReply { 1: optional state.Tagged claim }
struct TargetDelta { 1: string process, 2: i64 sequence, 3: bool full, 4: list<TargetReport> targets, 5: list<string> gone }
struct TargetDigest { 1: string process, 2: string address, 3: i64 sequence, 4: i64 targets, 5: i64 checksum }
struct AskTargets {}
struct TargetObservation { 1: string process, 2: string vm, 3: bool reached }
struct ShareReport { 1: string process, 2: list<ServiceDemand> demand }
struct FetchTimeline { 1: timeline.TimelineFilter wanted, 2: i64 after_sequence, 3: i64 limit, 4: optional timeline.HybridTime time }
struct FetchTimelineReply { 1: timeline.ProcessTimeline timeline, 2: optional timeline.HybridTime time }
