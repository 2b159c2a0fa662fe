/**
 * Messages between the processes of fulmarreach.
 *
 * A frame on the wire is a 4-byte big-endian length followed by one Frame in Thrift compact protocol. Times are
 * milliseconds. Tick values are readings of the sender's own monotonic clock and are only ever compared on that clock.
 */
namespace java org.fulmarreach.protocol.thrift

enum GuardState { READY = 1, LEAVING = 2 }
enum Outcome { RUN = 1, NOT_RUN = 2, UNKNOWN = 3 }
enum ResolveState { REFUSED = 1, RUNNING = 2, DONE = 3, UNKNOWN = 4 }
enum TaskPhase { STARTING = 1, RUNNING = 2, STOPPING = 3, STOPPED = 4, SUCCEEDED = 5, FAILED = 6, REFUSED = 7 }
enum StopMode { CHECKPOINT_AND_STOP = 1, STOP = 2 }

/** Processors in thousandths of a core, memory in MiB. */
struct Resources {
  1: i32 milliCores,
  2: i64 memoryMb,
  3: i32 accelerators
}

/** One execution of a unit of work; work + run + epoch is unique for ever. */
struct TaskId {
  1: string work,
  2: i64 run,
  3: i64 epoch
}

struct Grant {
  1: TaskId task,
  2: i32 leaseMs
}

/** Sent as the first frame of a connection from a guard to an entry. */
struct Hello {
  1: string guardId,
  2: string vm,
  3: i64 incarnation,
  4: string zone,
  5: string region,
  6: string rack,
  7: string serviceName,
  8: i32 slots,
  9: i32 connections,
  10: Resources capacity
}

struct TaskStatus {
  1: TaskId task,
  2: TaskPhase phase,
  3: optional string checkpoint,
  4: optional string reason,
  5: i32 usedMilliCores,
  6: i64 usedMemoryMb,
  7: i32 usageLagMs,
  8: double throttleShare,
  9: i64 term,
  10: string shard
}

/** guard to entry, every 500 ms. tick is the guard's monotonic clock; grants are counted from it. */
struct Heartbeat {
  1: i64 tickMs,
  2: GuardState state,
  3: i32 slotsInUse,
  4: i32 connectionsInUse,
  5: Resources free,
  6: i64 rulesRevision,
  7: list<TaskStatus> tasks,
  8: i32 latencyP99Ms,
  9: i64 incarnation,
  10: i32 slots,
  11: i32 connections,
  12: optional string serviceName,
  13: bool workerFailing,
  /** When set, tasks holds only new and changed tasks since the last heartbeat on this connection. */
  14: bool tasksAreChanges,
  /** Tasks that were in the last heartbeat on this connection and are no more; only with tasksAreChanges. */
  15: optional list<TaskId> goneTasks
}

struct Welcome {
  1: string entryId,
  2: list<string> entries,
  3: i64 rulesRevision
}

struct HeartbeatAck {
  1: i64 tickMs,
  2: i64 rulesRevision,
  3: list<string> entries
}

struct Header { 1: string name, 2: string value }

struct Call {
  1: string requestId,
  2: i64 guardIncarnation,
  3: string member,
  4: string serviceName,
  5: string method,
  6: string path,
  7: list<Header> headers,
  8: binary body,
  9: i32 remainingMs,
  10: bool idempotent,
  11: i64 tickEchoMs
}

struct CallResult {
  1: string requestId,
  2: Outcome outcome,
  3: i32 status,
  4: list<Header> headers,
  5: binary body,
  6: optional string code,
  7: optional string message,
  8: i32 retryAfterMs,
  9: bool repeated,
  10: i32 serviceMs
}

struct CancelCall { 1: string requestId }

/** Asks what became of a request. With refuseIfAbsent, an id the guard has not seen is refused for this incarnation. */
struct Resolve {
  1: string requestId,
  2: i64 guardIncarnation,
  3: bool refuseIfAbsent
}

struct ResolveResult {
  1: string requestId,
  2: ResolveState state,
  3: optional CallResult result
}

/** Starts a task. tickEchoMs is the tick of the guard's last heartbeat that the leader saw; it bounds the message's age. */
struct StartTask {
  1: string shard,
  2: i64 term,
  3: TaskId task,
  4: string command,
  5: Resources size,
  6: optional string checkpoint,
  7: i64 tickEchoMs,
  8: i32 leaseMs,
  9: string member,
  10: i64 guardIncarnation,
  11: bool standing
}

struct RenewTasks {
  1: string shard,
  2: i64 term,
  3: i64 tickEchoMs,
  4: i32 leaseMs,
  5: list<TaskId> tasks
}

/** Stops a task, or refuses its start for ever when the guard has not seen it. */
struct StopTask {
  1: string shard,
  2: i64 term,
  3: TaskId task,
  4: StopMode mode
}

/** Tells the guard that the leader has recorded the final status of a task, which then leaves the heartbeat. */
struct TaskReportAck { 1: string shard, 2: i64 term, 3: list<TaskId> tasks }

/** Fences a shard: the guard refuses lower terms from now on. Tasks of the shard keep running. */
struct Fence { 1: string shard, 2: i64 term }

struct Drain { 1: string reason }

struct PeerHello {
  1: string entryId,
  2: string zone,
  3: string region,
  4: string address,
  5: i64 incarnation
}

struct ServiceSummary { 1: string serviceName, 2: i32 targets, 3: i32 slots, 4: i32 slotsInUse }

struct PeerStatus {
  1: string entryId,
  2: i64 rulesRevision,
  3: list<ServiceSummary> services,
  4: i32 guards,
  5: i64 lowestGuardRevision,
  6: bool storeReachable,
  7: bool leaving,
  8: string zone,
  9: string region
}

struct ForwardCall {
  1: Call call,
  2: optional string guardId
}

struct ReadLog {
  1: string stream,
  2: i64 fromOffset,
  3: i32 maxRecords,
  4: i32 waitMs
}

struct LogRecord { 1: i64 offset, 2: binary data }

struct ReadLogResult {
  1: i64 firstOffset,
  2: i64 nextOffset,
  3: list<LogRecord> records,
  4: optional string error
}

struct PeerStateRequest { 1: i64 knownRevision }

struct PeerState {
  1: i64 revision,
  2: list<string> lines
}

/** Leader to witness: asks the witness to confirm that it cannot reach the store either. */
struct ConfirmOutage {
  1: string shard,
  2: i64 term,
  /** Clock of the leader when it asked; a confirmation counts from then on. */
  3: i64 askedMs
}
struct ConfirmOutageResult {
  1: string shard,
  2: i64 term,
  3: bool confirmed,
  /** askedMs of the request. */
  4: i64 askedMs
}

/** New leader to witness of its predecessor: the witness confirms no outage for lower terms from now on. */
struct FenceLeader { 1: string shard, 2: i64 term }
struct FenceLeaderResult { 1: string shard, 2: i64 term, 3: bool acknowledged }

struct Failure { 1: string code, 2: string message }

/** One step of a job: tasks of the same shape. */
struct JobStep {
  1: i32 taskCount,
  2: Resources demand,
  3: i64 estimatedMs,
  /** Numbers of earlier steps that must be done first. */
  4: list<i32> after,
  5: bool checkpoints,
  6: bool gang,
  7: bool rackLocal,
  8: string requiredLabel,
  9: string dataRack,
  /** Bound on tasks of the step on one worker; 0 for none. */
  10: i32 maxPerWorker,
  11: bool speculative,
  12: bool longRunning,
  13: string image,
  14: i32 targetLatencyMs,
  15: bool fillsIdleCapacity,
  16: i32 maxAbsent
}
/** Records of the topic of jobs, partition of requests; the key is the job's id. */
/** Settings of a queue that the scheduler needs for its jobs. */
struct JobQueuePolicy {
  1: string serviceName,
  2: i32 priority,
  3: i32 maxAttempts,
  4: i64 targetLatencyMs,
  5: double criticalPathFactor
}
struct JobSubmitted {
  1: string queue,
  2: string payload,
  3: list<JobStep> steps,
  4: i64 firstRunMs,
  5: i64 intervalMs,
  6: i32 repetitions,
  7: i64 acceptedAtMs,
  /** Settings of the queue at acceptance; absent in records of versions that did not store them. */
  8: optional JobQueuePolicy queuePolicy
}
struct JobCancelled { 1: i64 cancelledAtMs }
/** A process of an entry listens at an address, so those that listened there before have ended. */
struct EntryStarted {
  1: string address,
  /** Rises with each process at the address. */
  2: i64 lifetime,
  /** Time for which the process had been running when it sent the record. */
  3: i64 runningMs
}
union JobRequest { 1: JobSubmitted submitted, 2: JobCancelled cancelled, 3: EntryStarted started }

/** Records of the partition of progress; the key is the job's id, or "leader". */
struct JobTaskState {
  1: i32 phase,
  2: i32 run,
  /** Index into the workers of the record; -1 for none. */
  3: i32 worker,
  4: i32 failures,
  5: string checkpoint,
  /** Worker crashes in a row in which the task was a suspect; absent for none. */
  6: optional i32 crashes,
  /** Those of them in which it was the only suspect; absent for none. */
  7: optional i32 soleCrashes,
  /** True once the worker has confirmed a stop of the current run of a long-running task; absent before. */
  8: optional bool stopConfirmed,
  /** True once the current run has ended and its worker does not list the end; absent before. */
  9: optional bool endForgotten
}
struct JobWorkerRef { 1: string guard, 2: string id, 3: i64 bornMs }
struct JobProgress {
  1: list<JobWorkerRef> workers,
  2: list<JobTaskState> tasks,
  3: i64 settledAtMs,
  /** True once a worker has begun a task; absent before, and in records of versions that did not tell. */
  4: optional bool begun,
  /** Number of parts of which each has a record of its own, so that this record has no tasks; absent for none. */
  5: optional i32 parts
}
/** A former leader that may still grant leases. Term 0 stands for all that are not known. */
struct FormerLeader {
  1: i64 term,
  2: string address,
  3: optional i64 lifetime,
  /** Time until its last grant at most, counted from before the record was stored; absent while it may lead on. */
  4: optional i64 remainingMs
}
struct JobLeader {
  1: i64 term,
  2: string node,
  3: string address,
  /** Lifetime of the leader's process as in EntryStarted; absent if the record of it is not stored. */
  4: optional i64 lifetime,
  /** All former leaders that may still grant leases; absent in records of versions that did not tell. */
  5: optional list<FormerLeader> formerLeaders
}
/** Bound on the lease that covers the runs of a guard's worker, counted from before the record was stored. */
struct LeaseBound { 1: string guard, 2: i64 remainingMs }
/** Guards to which the leader grants no leases until a record without them is stored. */
struct WithheldLeases { 1: i64 term, 2: list<LeaseBound> guards }
/** Learned factor of a best-effort image, and the variance of the estimate, in thousandths. */
struct ImageFactor { 1: string image, 2: i32 meanPermille, 3: i32 variancePermille }
/** What is learned of a serving image; baseMicros is 0 if no tail latency below the assumed one was measured. */
struct ServingInterference { 1: string image, 2: i64 baseMicros, 3: i32 loadPermille, 4: list<ImageFactor> factors }
/** What a leader has learned of interference, for the next one. */
struct LearnedInterference { 1: list<ServingInterference> serving }
union JobState {
  1: JobProgress progress,
  2: JobLeader leader,
  3: WithheldLeases withheld,
  4: LearnedInterference interference
}

/** One run that a worker lists as running. */
struct RunStatus { 1: string task, 2: i32 run, 3: string checkpoint, 4: i32 percent, 5: i64 usage }
/** One run that a worker lists as ended; numbers rise from 1 in each lifetime of the worker. */
struct EndedRun { 1: i64 number, 2: string task, 3: i32 run, 4: string how, 5: string checkpoint }
/** Outcome of an order that the worker answered. */
struct OrderOutcome { 1: string task, 2: i32 run, 3: bool start, 4: string outcome }
struct WorkerStatus {
  1: JobWorkerRef ref,
  2: string serviceName,
  3: string zone,
  4: Resources capacity,
  5: list<string> labels,
  6: bool draining,
  /** False while the worker does not answer its guard. */
  7: bool reachable,
  /** True when the guard knows that the lease of everything on the worker has run out. */
  8: bool leaseLapsed,
  9: list<RunStatus> running,
  10: list<EndedRun> ended,
  /** Number of the worker's answer that the lists come from. */
  11: i64 lookNumber,
  /** True when the process of the worker seems to have ended without having announced it; absent otherwise. */
  12: optional bool crashed,
  /** Fencing token that the worker had seen when it made the lists; absent before it has made any. */
  13: optional i64 fencingToken
}
/** Sent by a guard to the leader; the first one opens the session. */
struct GuardReport {
  1: string guard,
  2: i64 tickMs,
  3: optional WorkerStatus worker,
  4: list<OrderOutcome> outcomes,
  /** Highest term of which the guard knows. */
  5: i64 term
}
struct StartRun { 1: string task, 2: i32 run, 3: string payload, 4: string checkpoint }
struct StopRun { 1: string task, 2: i32 run }
struct PaceRun { 1: string task, 2: i32 run, 3: i32 percent }
/** Sent by the leader to a guard; grants the worker's lease up to a bound after the echoed tick. */
struct LeaderOrders {
  1: i64 term,
  2: i64 echoedTickMs,
  3: JobWorkerRef worker,
  4: list<StartRun> starts,
  5: list<StopRun> stops,
  6: list<PaceRun> paces,
  7: i64 acknowledgedEnd,
  /** Time since the store last acknowledged a write of the leader; if it is long, another entry may lead. */
  8: i64 writeAgeMs
}
/** Answer of an entry that does not lead. */
struct LeaderHint { 1: i64 term, 2: string address }

/** Sent by an entry that cannot reach the store to another one, which stores the record of a caller's request. */
struct ForwardedRequest {
  /** Key of the record. */
  1: string key,
  2: binary value,
  /** Time after which the caller no longer waits. */
  3: i64 timeoutMs
}
enum ForwardStatus { STORED = 1, REFUSED = 2, UNDECIDED = 3 }
/** Answer to a forwarded request. REFUSED means that the record is not stored and never will be. */
struct ForwardOutcome { 1: ForwardStatus status, 2: string reason }

union Body {
  1: Hello hello,
  2: Heartbeat heartbeat,
  3: Welcome welcome,
  4: HeartbeatAck heartbeatAck,
  5: Call call,
  6: CallResult callResult,
  7: CancelCall cancelCall,
  8: Resolve resolve,
  9: ResolveResult resolveResult,
  10: StartTask startTask,
  11: RenewTasks renewTasks,
  12: StopTask stopTask,
  13: TaskReportAck taskReportAck,
  14: Fence fence,
  15: Drain drain,
  16: PeerHello peerHello,
  17: PeerStatus peerStatus,
  18: ForwardCall forwardCall,
  19: ReadLog readLog,
  20: ReadLogResult readLogResult,
  21: PeerStateRequest peerStateRequest,
  22: PeerState peerState,
  23: Failure failure,
  24: ConfirmOutage confirmOutage,
  25: ConfirmOutageResult confirmOutageResult,
  26: FenceLeader fenceLeader,
  27: FenceLeaderResult fenceLeaderResult,
  28: GuardReport guardReport,
  29: LeaderOrders leaderOrders,
  30: LeaderHint leaderHint,
  31: ForwardedRequest forwardedRequest,
  32: ForwardOutcome forwardOutcome
}

/** The unit on the wire. An answer carries the correlation id of its request; one-way messages carry 0. */
struct Frame {
  1: i64 correlationId,
  2: Body body
}

/** Records of the stream "rules". */
struct RulesPublish {
  1: string publishId,
  2: i64 baseRevision,
  3: list<string> removed,
  4: list<string> added,
  5: string operator
}
struct NameBinding { 1: string work, 2: string region }
struct PublishResult { 1: string publishId, 2: i64 revision }
/** State of the stream after the record basedOnOffset; void unless it is the very next record of the stream. */
struct RulesSnapshot {
  1: i64 revision,
  2: list<string> lines,
  3: list<NameBinding> bindings,
  4: list<PublishResult> recentPublishes,
  5: i64 basedOnOffset
}
union RulesRecord { 1: RulesPublish publish, 2: RulesSnapshot snapshot }

/** Records of the stream "budget". Amounts are in the budget's smallest unit. */
struct BudgetReserve {
  1: string id,
  2: string owner,
  /** Start of the period in UTC milliseconds. */
  3: i64 period,
  4: i64 amount,
  /** Amount of the budget rule known to the owner, and the revision of the rules that it is from. */
  5: i64 limit,
  6: i64 rulesRevision
}
struct BudgetReturn { 1: string id, 2: string owner, 3: i64 period, 4: i64 amount }
struct PeriodTotal { 1: i64 period, 2: i64 granted, 3: list<string> ids }
/** State of the stream after the record basedOnOffset; void unless it is the very next record of the stream. */
struct BudgetSnapshot {
  1: list<PeriodTotal> totals,
  2: i64 closedUpTo,
  3: i64 basedOnOffset,
  4: i64 limit,
  5: i64 limitRevision
}
union BudgetRecord { 1: BudgetReserve reserve, 2: BudgetReturn giveBack, 3: BudgetSnapshot snapshot }

/** Records of the streams "work-<region>-<n>". A batch is one append and is decided as a whole in order. */
struct WorkClaim { 1: string leader, 2: i64 seenOffset, 3: list<string> witnesses }
/** With settled, no leader before this term can have a valid grant any more, and later leaders need not wait for them. */
struct WorkRenew { 1: bool resign, 2: bool settled }
struct WorkAssign {
  1: TaskId task,
  2: string vm,
  3: i64 guardIncarnation,
  4: optional string checkpoint
}
struct WorkStopped { 1: TaskId task, 2: optional string checkpoint, 3: optional string reason }
struct WorkFinished { 1: TaskId task, 2: bool success, 3: optional string reason }
struct WorkEvictIntent { 1: TaskId task }
/**
 * rule is the text of a standing rule that is cancelled; the work may start again once its rule has another text, and
 * an empty text lifts the cancellation. A batch of these alone with term -1 is a request that any entry may append.
 */
struct WorkCancelled { 1: string work, 2: i64 run, 3: optional string rule }
enum WorkPhase { PENDING = 1, ASSIGNED = 2, EVICTING = 3, DONE = 4, CANCELLED = 5, QUARANTINED = 6 }
struct WorkEntry {
  1: TaskId task,
  2: WorkPhase phase,
  3: optional string vm,
  4: i64 guardIncarnation,
  5: optional string checkpoint,
  6: list<string> failedVms,
  7: optional string cancelledRule
}
/** A leader whose last grants may still be valid. */
struct WorkPredecessor { 1: i64 term, 2: list<string> witnesses, 3: bool resigned }
struct WorkSnapshot {
  1: i64 term,
  2: string leader,
  3: list<WorkEntry> entries,
  4: i64 basedOnOffset,
  5: list<string> witnesses,
  6: bool resigned,
  7: list<WorkPredecessor> predecessors
}
union WorkDecision {
  1: WorkClaim claim,
  2: WorkRenew renew,
  3: WorkAssign assign,
  4: WorkStopped stopped,
  5: WorkFinished finished,
  6: WorkEvictIntent evictIntent,
  7: WorkCancelled cancelled,
  8: WorkSnapshot snapshot
}
struct WorkBatch {
  1: string batchId,
  2: i64 term,
  3: list<WorkDecision> decisions
}
