/** Events of the timeline. Field ids are never reused. */
namespace py marigolddoor_wire.gen.timeline

struct HybridTime { 1: i64 physical_ms, 2: i64 logical }
struct Subject { 1: optional string request, 2: optional string service_id, 3: optional string vm, 4: optional string pool, 5: optional string job, 6: optional string task, 7: optional i64 revision, 8: optional string question }
struct Event { 1: string id, 2: string process, 3: i64 sequence, 4: HybridTime time, 5: string kind, 6: Subject subject, 7: string text, 8: optional string cause }
struct TimelineFilter { 1: optional string request, 2: optional string vm, 3: optional string pool, 4: optional string job, 5: optional i64 revision, 6: optional string question }
struct ProcessTimeline { 1: string process, 2: list<Event> events, 3: i64 position, 4: i64 dropped }
struct MissingProcess { 1: string name, 2: string reason }
struct Timeline { 1: list<Event> events, 2: list<ProcessTimeline> processes, 3: list<MissingProcess> missing }
