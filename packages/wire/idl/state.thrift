/** Objects, commands and results of the replicated state. Field ids are never reused. */
namespace py marigolddoor_wire.gen.state

/** A value of one of several types: its type name and its encoding. */
struct Tagged { 1: string kind, 2: binary body }

struct Resources { 1: double cores, 2: i64 memory_mb, 3: i64 accelerators }

struct Service { 1: string id, 2: string pool, 3: bool idempotent, 4: i64 floor_slots, 5: i64 rank, 6: double default_deadline_s, 7: double retry_window_s }
struct Pool { 1: string id, 2: i64 size, 3: i64 floor, 4: i64 max_unavailable, 5: bool spare, 6: double maintenance_interval_s }
struct Team { 1: string id, 2: i64 slots, 3: double cores }
struct Job { 1: string id, 2: string pool, 3: string team, 4: i64 tasks, 5: Resources size, 6: bool urgent, 7: double run_s, 8: string version, 9: string command }
struct Weights { 1: double buffer, 2: double flood, 3: double rollout, 4: double moves }
struct Declaration { 1: string organisation, 2: list<Service> services, 3: list<Pool> pools, 4: list<Team> teams, 5: list<Job> jobs, 6: Weights weights }

struct ApplyDeclaration { 1: i64 base_revision, 2: string request, 3: string author, 4: Declaration declaration, 5: double time_s }
struct RegisterVm { 1: string vm, 2: string data_centre, 3: string rack, 4: string address, 5: Resources capacity, 6: i64 slots, 7: string pool, 8: double time_s }
struct BeginMove { 1: string vm, 2: i64 epoch, 3: string pool, 4: double time_s }
struct FinishMove { 1: string vm, 2: i64 epoch, 3: double time_s }
struct RetireVm { 1: string vm, 2: i64 epoch, 3: double time_s }
struct SubmitTask { 1: string task, 2: string job, 3: double time_s }
struct GrantLease { 1: string task, 2: string vm, 3: i64 epoch, 4: double lease_s, 5: double time_s }
struct RenewLease { 1: string task, 2: i64 token, 3: double lease_s, 4: double time_s }
struct FinishTask { 1: string task, 2: i64 token, 3: string phase, 4: string reason, 5: double time_s }
struct CancelTask { 1: string task, 2: double time_s }
struct SetAsideTask { 1: string task, 2: string reason, 3: double time_s }
struct Claim { 1: string service_id, 2: string key, 3: binary body_digest, 4: string claimant, 5: double deadline_s, 6: double time_s }
struct KeptAnswer { 1: i64 status, 2: string content_type, 3: optional binary body, 4: binary body_digest }
struct FinishClaim { 1: i64 claim, 2: string claimant, 3: optional KeptAnswer answer, 4: double time_s }
struct ReleaseClaim { 1: i64 claim, 2: string claimant, 3: double time_s }
struct ExpireClaims { 1: double time_s }
struct Fact { 1: string text, 2: double observed_s }
struct Choice { 1: string name, 2: string effect }
struct OpenQuestion { 1: string subject, 2: string sentence, 3: list<Fact> facts, 4: list<Choice> choices, 5: string default, 6: double default_after_s, 7: double time_s }
struct AnswerQuestion { 1: string question, 2: string choice, 3: string author, 4: string request, 5: double time_s }
struct CloseQuestion { 1: string question, 2: string reason, 3: double time_s }
struct RecordMaintenance { 1: string vm, 2: i64 epoch, 3: string step, 4: double time_s }
struct RequestDrain { 1: optional string pool, 2: optional string vm, 3: string author, 4: string request, 5: double time_s }

struct Done {}
struct Refused { 1: string refusal, 2: string detail }
struct DeclarationAccepted { 1: i64 revision }
struct RevisionConflict { 1: i64 base_revision, 2: i64 current_revision, 3: string current_author }
struct MoveBegun { 1: i64 epoch }
struct LeaseGranted { 1: i64 token }
struct ClaimGranted { 1: i64 claim }
struct ClaimPending { 1: i64 claim, 2: string claimant }
struct ClaimFinished { 1: i64 claim, 2: optional KeptAnswer answer }
struct BodyMismatch {}
struct ClaimsFull {}
struct QuestionOpened { 1: string question }
struct AlreadyAnswered { 1: string choice, 2: string author }

struct RevisionRecord { 1: i64 revision, 2: string author }
struct VmRecord { 1: string vm, 2: string data_centre, 3: string rack, 4: string address, 5: Resources capacity, 6: i64 slots, 7: string pool, 8: i64 epoch, 9: optional string next_pool, 10: optional string maintenance, 11: double maintained_s, 12: bool maintenance_requested }
struct TaskRecord { 1: string task, 2: string job, 3: string state, 4: i64 token, 5: optional string vm, 6: double lease_until_s, 7: double submitted_s, 8: i64 failures, 9: list<string> failed_on, 10: string reason, 11: string version }
struct QuestionRecord { 1: string question, 2: string subject, 3: string sentence, 4: list<Fact> facts, 5: list<Choice> choices, 6: string default, 7: double default_at_s, 8: double opened_s, 9: optional string answer, 10: optional string author, 11: bool closed }
struct Change { 1: string kind, 2: string key, 3: i64 index, 4: optional Tagged value }

struct ClaimRecord { 1: i64 claim, 2: string service_id, 3: string key, 4: binary body_digest, 5: string claimant, 6: double expires_s, 7: bool finished, 8: optional KeptAnswer answer }
struct RequestResult { 1: string request, 2: Tagged result }
struct SnapshotEntry { 1: Change change, 2: optional string data_centre }
struct Compaction { 1: string stream, 2: i64 index }
struct StateSnapshot { 1: i64 index, 2: double time_s, 3: i64 revision, 4: string author, 5: Declaration declaration, 6: list<RequestResult> requests, 7: list<SnapshotEntry> entries, 8: list<ClaimRecord> claims, 10: i64 retired_epoch, 11: i64 removed_token, 12: list<Compaction> compactions }
