/** Submitted jobs: changes of the replicated table, its snapshot, and calls of entry processes. */
namespace py marigolddoor_wire.gen.jobs

include "state.thrift"

struct AcceptJob { 1: string job, 2: string queue, 3: string service_id, 4: i64 max_attempts, 5: binary document, 6: string team }
struct CancelJob { 1: string job }
struct PlaceRun { 1: string task, 2: i64 run, 3: string life }
struct EndRun { 1: string task, 2: i64 run, 3: string end, 4: string checkpoint, 5: bool has_begun }
struct EnrolledExecutor { 1: string executor, 2: i64 born_ms, 3: string service_id, 4: string address, 5: string data_centre, 6: string machine, 7: string rack, 8: list<string> labels, 9: i64 cpu_milli, 10: i64 memory_mb, 11: i64 accelerators, 12: bool is_draining }
struct EnrolExecutor { 1: EnrolledExecutor executor }
struct DropExecutor { 1: string life }
struct StoreConfiguration { 1: i64 version, 2: binary document }
struct OpenWave { 1: i64 wave, 2: list<string> machines, 3: double duration_s, 4: i64 max_count }
struct OrderMove { 1: string machine }
struct BeginUpkeep { 1: i64 wave, 2: string machine }
struct FinishWave { 1: i64 wave }
struct RecordChanges { 1: list<state.Tagged> changes, 2: double time_s }
struct ChangesRecorded {}

struct StoredTask { 1: string task, 2: string phase, 3: i64 run, 4: list<i64> failed_runs, 5: optional string life, 6: string checkpoint }
struct StoredJob { 1: string job, 2: string queue, 3: string service_id, 4: i64 max_attempts, 5: binary document, 6: double accepted_s, 7: double ended_s, 8: string phase, 9: bool has_started, 10: list<StoredTask> tasks, 11: string team }
struct StoredWave { 1: i64 wave, 2: list<string> machines, 3: list<string> begun, 4: double opened_s, 5: double duration_s, 6: i64 max_count, 7: bool is_finished }
struct StoredMachineOrder { 1: string machine, 2: double ordered_s }
struct JobTableSnapshot { 1: double time_s, 2: i64 version, 3: binary document, 4: list<StoredJob> jobs, 5: list<StoredWave> waves, 6: list<EnrolledExecutor> executors, 7: list<StoredMachineOrder> machine_orders }

struct QueueCall { 1: string method, 2: string host, 3: string path, 4: binary document, 5: binary key }
struct QueueReply { 1: string outcome, 2: string phase, 3: bool has_started, 4: optional i64 pending, 5: double retry_after_s, 6: string detail }
struct AskQueue { 1: QueueCall call }
struct QueueAnswer { 1: QueueReply reply, 2: list<string> members }
struct NotLeading { 1: string leader, 2: list<string> members }
