#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include "base/reason.h"

#include <stddef.h>
#include <stdint.h>

/* Monotonic counters: symbol, exported name, help. */
#define MUX_COUNTERS(X)                                                        \
  X (REQUESTS, "requests_total", "requests accepted from callers")             \
  X (ANSWERED, "answered_total", "requests answered with a result")            \
  X (NOT_RUN, "not_run_total", "requests answered as not run")                 \
  X (UNKNOWN, "unknown_total", "requests answered as unknown")                 \
  X (TICKETS, "tickets_total", "tickets given to callers")                     \
  X (STARTS, "starts_total", "task starts sent to workers")                    \
  X (GRANTS, "grants_total", "places granted on own workers")                  \
  X (GRANTS_REMOTE, "grants_remote_total", "places granted to peers")          \
  X (CLAIMS, "claims_total", "claims won")                                     \
  X (CLAIMS_LOST, "claims_lost_total", "claims lost or handed over")           \
  X (SETTLED_RAN, "settled_ran_total", "starts of unknown fate that ran")      \
  X (SETTLED_NEVER, "settled_never_total", "starts put down by a tombstone")   \
  X (JOBS_ACCEPTED, "jobs_accepted_total", "jobs recorded")                    \
  X (JOBS_DONE, "jobs_done_total", "jobs ended")                               \
  X (JOBS_ADOPTED, "jobs_adopted_total", "jobs taken over from dead daemons")  \
  X (TABLE_WRITES, "table_writes_total", "transactions sent to the table")     \
  X (TABLE_ROWS, "table_rows_written_total", "rows written to the table")      \
  X (TABLE_READS, "table_reads_total", "reads sent to the table")              \
  X (PEER_SENT, "peer_messages_sent_total", "messages sent to peers")          \
  X (PEER_SENT_BYTES, "peer_sent_bytes_total", "bytes sent to peers")          \
  X (PEER_RECEIVED, "peer_messages_received_total", "messages from peers")     \
  X (PEER_BAD, "peer_messages_bad_total", "peer messages not understood")      \
  X (WORKER_CALLS, "worker_calls_total", "calls made to workers")              \
  X (ROWS_SWEPT, "rows_swept_total", "transactions that dropped old rows")     \
  X (CONFIG_CHANGES, "config_changes_total", "changes committed here")         \
  X (EVENTS, "core_events_total", "events handled by the core")                \
  X (EVENTS_DROPPED, "core_events_dropped_total", "late events for the gone")  \
  X (APPROVALS, "approval_questions_total", "questions to the policy service") \
  X (APPROVAL_NAMES, "approval_names_total",                                   \
     "workers named in the planner's questions")                               \
  X (APPROVAL_TIME, "approval_time_ms_total",                                  \
     "time that daemons worked on the planner's questions")                    \
  X (APPROVALS_GIVEN, "approvals_given_total",                                 \
     "approvals in the answers to these")                                      \
  X (APPROVALS_USED, "approvals_used_total",                                   \
     "approved workers that a step's start went to")                           \
  X (KEPT_IDLE, "kept_idle_core_ms_total",                                     \
     "free processor time of workers kept or held for waiting gangs")          \
  X (OVER_SHARE, "jobs_over_share_total",                                      \
     "jobs refused beyond their workspace's fair share")                       \
  X (TERMS, "planner_terms_total", "times that this daemon began to plan")     \
  X (RUNS_FAILED, "runs_failed_total", "runs of tasks that ended as failed")   \
  X (RUNS_LOST, "runs_lost_total", "runs that ended with their worker")        \
  X (WORKERS_CRASHED, "workers_crashed_total",                                 \
     "workers that ended without having said that they leave")                 \
  X (JOBS_CRASHING, "jobs_crashing_total",                                     \
     "jobs given up as workers crashed under a task")                          \
  X (PLAN_LOOKS, "plan_looks_total", "workers looked at for waiting tasks")    \
  X (PLAN_STEPS, "plan_steps_total", "waiting steps looked at by the planner") \
  X (PLAN_MOVES, "plan_moves_total", "waiting steps put in planning order")    \
  X (SPEED_WAITS, "speed_waits_total", "steps that waited for a fast worker")  \
  X (SPEED_DEFERRED, "speed_deferred_total",                                   \
     "times a step left slow workers to others")                               \
  X (JOB_LOOKS, "job_looks_total", "jobs looked at for what time brings on")   \
  X (PLAN_CUT, "plan_passes_cut_total",                                        \
     "planning passes cut for their length")                                   \
  X (STARTS_HELD, "starts_held_total",                                         \
     "times that starts were held back as cancels may be unknown")             \
  X (TRAFFIC_LIMITED, "traffic_limited_total",                                 \
     "times that the planner began to limit what it sends")                    \
  X (INTERFERENCES, "interference_found_total",                                \
     "pairs of kinds of tasks found to slow each other")                       \
  X (STARTS_APART, "starts_kept_apart_total",                                  \
     "starts of such kinds on workers without the other kind")                 \
  X (STARTS_BESIDE, "starts_beside_total",                                     \
     "starts of such kinds beside the other kind")                             \
  X (RUNS_STOPPED, "runs_stopped_total", "runs that ended on our order")       \
  X (COMMITS_REJECTED, "commits_rejected_total",                               \
     "commits that the store rejected as malformed or too large")              \
  X (JOBS_NOT_STORABLE, "jobs_not_storable_total",                             \
     "jobs given up as the store rejects their changes")                       \
  X (TASKS_MISCOUNTED, "tasks_miscounted_total",                               \
     "tasks done in steps that had none left: a defect")                       \
  X (PROGRESS_HELD, "progress_held_total",                                     \
     "times a job's progress was not stored as its failed runs exceed a row")  \
  X (CALLS_TIMED_OUT, "calls_timed_out_total",                                 \
     "calls that ended without a response within their timeout")               \
  X (CALLS_UNCONNECTED, "calls_unconnected_total",                             \
     "calls to workers not sent as their connections are used up")             \
  X (CONNECTIONS_GIVEN_UP, "connections_given_up_total",                       \
     "connections to workers closed while a call was unanswered")              \
  X (WORKERS_UNCONNECTED, "workers_unconnected_total",                         \
     "times a worker got no more orders as its connections are used up")       \
  X (CALLS_OVERDUE, "calls_overdue_total",                                     \
     "calls taken as lost that had no reply past their time")                  \
  X (LISTS_FULL, "lists_full_total",                                           \
     "workers' lists that left ends out while their runs were unknown")        \
  X (LISTS_UNREADABLE, "lists_unreadable_total",                               \
     "workers' lists not used as an entry can't be read")                      \
  X (CHECKPOINTS_DROPPED, "checkpoints_dropped_total",                         \
     "checkpoints of workers that exceed the limit and were not kept")         \
  X (PROOFS_DROPPED, "proofs_dropped_total",                                   \
     "approvals not used as their proof exceeds the limit")                    \
  X (TOKENS_NO_MEMORY, "tokens_no_memory_total",                               \
     "checkpoints and proofs not kept as others hold the memory for them")     \
  X (JOBS_NO_MEMORY, "jobs_no_memory_total",                                   \
     "jobs refused as others hold the memory for jobs")                        \
  X (OCCURRENCES_HELD, "occurrences_held_total",                               \
     "times an occurrence waited for the memory of earlier ones of its job")   \
  X (STARTS_NO_MEMORY, "starts_no_memory_total",                               \
     "times a start waited for memory that runs or other starts hold")         \
  X (JOBS_LEFT_OUT, "jobs_left_out_total",                                     \
     "stored jobs that the planner had no memory for and left in the store")   \
  X (PACES, "paces_total",                                                     \
     "orders that let a best-effort task work at a share of its speed")        \
  X (JSON_OVER_LIMIT, "json_over_limit_total",                                 \
     "bodies refused unparsed: nested too deep, or too many values")           \
  X (BODIES_TOO_LARGE, "bodies_too_large_total",                               \
     "requests refused as their body is over the limit")                       \
  X (BODIES_NO_MEMORY, "bodies_no_memory_total",                               \
     "requests refused as other bodies hold the memory for them")              \
  X (BODIES_LATE, "bodies_late_total",                                         \
     "connections closed as a body took longer than the receive timeout")      \
  X (REQUESTS_TOO_MANY, "requests_too_many_total",                             \
     "requests refused as as many are served as may be")                       \
  X (CONNECTIONS_REFUSED, "connections_refused_total",                         \
     "connections closed at once, under overload with all places taken")       \
  X (CONNECTIONS_CLOSED, "connections_closed_total",                           \
     "connections closed to make room for others")                             \
  X (ROWS_BAD_KEY, "rows_bad_key_total",                                       \
     "stored rows under a key or in a part that is none")                      \
  X (ROWS_BAD_VALUE, "rows_bad_value_total",                                   \
     "stored rows whose bytes can't be read")                                  \
  X (ROWS_BAD_FIELD, "rows_bad_field_total",                                   \
     "stored rows with a field missing or of another type")                    \
  X (WORKERS_OF_NO_QUEUE, "workers_of_no_queue_total",                         \
     "workers listed with a service of no queue")                              \
  X (HANDOVERS_ABILITY, "handovers_ability_total",                             \
     "claims handed to a daemon that meets more of the need of planning")      \
  X (HANDOVERS_LATE, "handovers_late_total",                                   \
     "claims handed over because events waited for long")                      \
  X (HANDOVERS_LINK, "handovers_link_total",                                   \
     "claims handed over because of a slow link")                              \
  X (HANDOVERS_STOP, "handovers_stop_total", "claims released by a stop")

/* Values that rise and fall: symbol, exported name, help. */
#define MUX_GAUGES(X)                                                          \
  X (ABILITY, "ability_milli",                                                 \
     "how much of the need of planning this instance meets, in thousandths")   \
  X (NEED_CPU, "need_cpu_milli", "need of planning, in thousandths of a core") \
  X (NEED_LINK, "need_link_kbps", "need of planning, link rate in kbit/s")     \
  X (NEED_MEMORY, "need_memory_mib", "need of planning, memory in MiB")        \
  X (CONFIG_VERSION, "config_version", "configuration in force; 0: none")      \
  X (CONFIG_UNREADABLE, "config_unreadable",                                   \
     "1: the store has a newer configuration that can't be used")              \
  X (QUEUES_UNUSABLE, "queues_unusable",                                       \
     "queues in force that take no jobs as a field can't be used")             \
  X (QUEUES_UNTRACKED, "queues_untracked_steps",                               \
     "planner: steps and tasks of queues whose backlog is not known")          \
  X (REQUEST_MEMORY, "request_memory_bytes",                                   \
     "memory reserved for large bodies of callers")                            \
  X (JOB_MEMORY, "job_memory_bytes", "planner: memory counted for jobs")       \
  X (JOB_MEMORY_LIMIT, "job_memory_limit_bytes",                               \
     "memory for jobs, by the instance that has the least")                    \
  X (TASK_OBJECTS, "task_objects",                                             \
     "planner: tasks that were started and are not done, or lost runs")

/* Histograms of times in milliseconds, SPEED of thousandths: symbol, exported
 * name, help. */
#define MUX_HISTOGRAMS(X)                                                      \
  X (JOB_WAIT, "job_wait_ms", "from a job's acceptance to its first start")    \
  X (JOB_TIME, "job_time_ms", "from a job's acceptance to its stored end")     \
  X (STORE, "store_call_ms", "calls to the store that do not wait")            \
  X (WORKER, "worker_order_ms", "starts and stops until they are answered")    \
  X (APPROVAL, "approval_ms", "questions to the policy service")               \
  X (TAKEOVER, "takeover_ms", "from a claim to the first plan")                \
  X (CANCEL_AGE, "cancel_age_ms", "age of the planner's knowledge of cancels") \
  X (PLANNER_LATE, "planner_late_ms",                                          \
     "what arrives until the planner takes it")                                \
  X (BACKLOG, "backlog_wait_ms", "how long a new job would wait for a start")  \
  X (SPEED, "worker_speed_milli",                                              \
     "assumed speeds of workers, in thousandths, at the runs observed")

/*
 * Messages whose number and bytes are counted, by kind: symbol, label. First
 * calls to the store, the workers and the policy service that this daemon
 * makes itself, then messages between daemons. Proxied calls are counted as
 * calls where they are made; what the planner sends and receives for them is
 * within "proxy_call" and "proxy_reply", and told apart by the last three.
 */
#define MUX_TRAFFIC_KINDS(X)           \
  X (COMMIT, "commit")                 \
  X (SCAN, "scan")                     \
  X (FEED, "feed")                     \
  X (START, "start")                   \
  X (STOP, "stop")                     \
  X (PACE, "pace")                     \
  X (RENEW, "renew")                   \
  X (APPROVAL, "approval")             \
  X (HELLO, "hello")                   \
  X (HELLO_REPLY, "hello_reply")       \
  X (JOB_QUERY, "job_query")           \
  X (JOB_REPLY, "job_reply")           \
  X (APPROVAL_QUERY, "approval_query") \
  X (APPROVAL_REPLY, "approval_reply") \
  X (SUBMIT_REQUEST, "submit_request") \
  X (SUBMIT_REPLY, "submit_reply")     \
  X (PROXY_CALL, "proxy_call")         \
  X (PROXY_REPLY, "proxy_reply")       \
  X (OTHER_PEER, "other_peer")         \
  X (PROXIED_START, "proxied_start")   \
  X (PROXIED_STOP, "proxied_stop")     \
  X (PROXIED_PACE, "proxied_pace")     \
  X (PROXIED_RENEW, "proxied_renew")

/**
 * enum MuxTraffic - names one kind of message
 */
typedef enum
{
#define MUX_TRAFFIC_ENUM(symbol, name) MUX_TRAFFIC_##symbol,
  MUX_TRAFFIC_KINDS (MUX_TRAFFIC_ENUM)
#undef MUX_TRAFFIC_ENUM
      MUX_TRAFFIC_COUNT
} MuxTraffic;

/**
 * enum MuxDirection - seen from this daemon
 */
typedef enum
{
  MUX_SENT,
  MUX_RECEIVED,
  MUX_DIRECTION_COUNT
} MuxDirection;

/**
 * enum MuxHistogram - names one histogram
 */
typedef enum
{
#define MUX_HISTOGRAM_ENUM(symbol, name, help) MUX_HIST_##symbol,
  MUX_HISTOGRAMS (MUX_HISTOGRAM_ENUM)
#undef MUX_HISTOGRAM_ENUM
      MUX_HISTOGRAM_COUNT
} MuxHistogram;

/**
 * enum MuxCounter - names one counter
 */
typedef enum
{
#define MUX_COUNTER_ENUM(symbol, name, help) MUX_COUNT_##symbol,
  MUX_COUNTERS (MUX_COUNTER_ENUM)
#undef MUX_COUNTER_ENUM
      MUX_COUNTER_COUNT
} MuxCounter;

/**
 * enum MuxGauge - names one gauge
 */
typedef enum
{
#define MUX_GAUGE_ENUM(symbol, name, help) MUX_GAUGE_##symbol,
  MUX_GAUGES (MUX_GAUGE_ENUM)
#undef MUX_GAUGE_ENUM
      MUX_GAUGE_COUNT
} MuxGauge;

typedef struct MuxCounters MuxCounters;

/** mux_counters_new() - allocate counters, all zero
 *
 * Counters may be updated and read by any thread.
 *
 * Return: NULL if out of memory. */
MuxCounters *mux_counters_new (void);
void mux_counters_free (MuxCounters *counters);
void mux_count (MuxCounters *counters, MuxCounter counter, uint64_t n);
/** mux_count_refused() - count a response or grant refused for @reason */
void mux_count_refused (MuxCounters *counters, MuxReason reason);
/** mux_count_retry() - count a retry or a fenced operation, for @reason */
void mux_count_retry (MuxCounters *counters, MuxReason reason);
/** mux_count_message() - count a message and its bytes
 * @bytes: for HTTP path and body, without headers; for messages between
 *   daemons all that is handed to the socket */
void mux_count_message (MuxCounters *counters,
                        MuxTraffic kind,
                        MuxDirection direction,
                        uint64_t bytes);
uint64_t mux_messages_value (const MuxCounters *counters,
                             MuxTraffic kind,
                             MuxDirection direction);
uint64_t mux_message_bytes_value (const MuxCounters *counters,
                                  MuxTraffic kind,
                                  MuxDirection direction);
/** mux_observe() - record a value, a time in ms unless the histogram says
 * otherwise; a negative one counts as 0 */
void mux_observe (MuxCounters *counters, MuxHistogram histogram, int64_t ms);
/** mux_gauge_set() - set the current value */
void mux_gauge_set (MuxCounters *counters, MuxGauge gauge, uint64_t value);
uint64_t mux_gauge_value (const MuxCounters *counters, MuxGauge gauge);
uint64_t mux_counter_value (const MuxCounters *counters, MuxCounter counter);
uint64_t mux_refused_value (const MuxCounters *counters, MuxReason reason);
uint64_t mux_retry_value (const MuxCounters *counters, MuxReason reason);

/**
 * mux_counters_print() - write all metrics in the Prometheus text format
 * @out: buffer; terminated by a NUL if @cap > 0, truncated if too small
 * @cap: size of @out in bytes
 * Return: length of the whole text, without the NUL.
 */
size_t mux_counters_print (const MuxCounters *counters, char *out, size_t cap);

#endif
