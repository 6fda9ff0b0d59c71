#ifndef CORE_CORE_H
#define CORE_CORE_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

#include <stdbool.h>
#include <stdint.h>

/* Maximum body size of a request or job, in bytes. */
#define MUX_BODY_MAX (4u << 20)
/* Buffer size for a ticket's text, including the terminating NUL. */
#define MUX_TICKET_LEN 512
/* Maximum tasks per job: the rows of its parts and the two rows of the job
 * itself must fit one transaction. */
#define MUX_JOB_TASKS_MAX 4032

/**
 * enum MuxCoreVerb - operation requested by a caller or operator
 */
typedef enum
{
  MUX_CORE_RUN_TASK,     /* run one task and return its result */
  MUX_CORE_ISSUE_TICKET, /* book room for one task that must run at most once */
  MUX_CORE_JOB_SUBMIT,   /* store a job */
  MUX_CORE_JOB_GET,      /* show one job */
  MUX_CORE_JOB_WAIT,     /* show one job once it has ended */
  MUX_CORE_JOB_CANCEL,   /* cancel one job */
  MUX_CORE_JOB_LIST,     /* list one page of open jobs */
  MUX_CORE_CONFIG_PUT,   /* create or change an object */
  MUX_CORE_CONFIG_REMOVE,  /* remove an object */
  MUX_CORE_CONFIG_GET,     /* show one object */
  MUX_CORE_CONFIG_LIST,    /* list all objects of a sort */
  MUX_CORE_CONFIG_HISTORY, /* list changes after a revision */
  MUX_CORE_CONFIG_REVERT,  /* restore an object's value at an older revision */
  MUX_CORE_STATUS,         /* show members, revisions and own state */
  MUX_CORE_WORKERS,        /* list workers known here */
  MUX_CORE_DRAIN,          /* start or stop draining a worker */
  MUX_CORE_RISK,           /* show forecasts against targets by class */
} MuxCoreVerb;

/**
 * enum MuxConfigSort - kinds of configured objects
 */
typedef enum
{
  MUX_CONFIG_CLASS,
  MUX_CONFIG_PRODUCT,
  MUX_CONFIG_CELL,
  MUX_CONFIG_DRAIN, /* a worker that is being drained */
  MUX_CONFIG_SORT_COUNT
} MuxConfigSort;

/**
 * struct MuxCoreRequest - one request from the HTTP server
 * @call_id: chosen by the HTTP server; exactly one response carries it
 * @verb: requested operation
 * @name: class of a task or job; object of a CONFIG_*; worker of a DRAIN
 * @key: idempotency key, "" for none
 * @key_is_new: RUN_TASK with a key: the caller has not sent the key before
 * @ticket: RUN_TASK: the ticket presented, "" for none
 * @id: JOB_*: id of the job
 * @sort: CONFIG_*: sort of the object
 * @timeout_ms: RUN_TASK, JOB_WAIT: how long the caller still waits
 * @task_count: JOB_SUBMIT: number of tasks
 * @has_expected: CONFIG_PUT, _REMOVE: fail unless the object's revision is
 *   @expected_revision
 * @expected_revision: revision that the operator saw; 0: no such object
 * @revision: CONFIG_HISTORY: list changes after it; CONFIG_REVERT: restore
 *   the value at it
 * @change_id: CONFIG_*: chosen by the client; makes retries idempotent
 * @author: operator's name for the history
 * @wall_ms: time of day of the request, for the history
 * @drain: DRAIN: true starts it, false stops it
 * @body: input of a task or job, JSON of a CONFIG_PUT; holds a reference
 */
typedef struct
{
  uint64_t call_id;
  MuxCoreVerb verb;
  char name[MUX_NAME_LEN];
  char key[MUX_KEY_LEN];
  bool key_is_new;
  char ticket[MUX_TICKET_LEN];
  MuxId id;
  MuxConfigSort sort;
  uint32_t timeout_ms;
  uint32_t task_count;
  bool has_expected;
  uint64_t expected_revision;
  uint64_t revision;
  MuxId change_id;
  char author[MUX_NAME_LEN];
  int64_t wall_ms;
  bool drain;
  MuxBlob *body;
} MuxCoreRequest;

/**
 * enum MuxOutcome - what became of the requested work
 */
typedef enum
{
  MUX_OUTCOME_DONE,    /* ran; the body is its result */
  MUX_OUTCOME_NOT_RUN, /* never ran and never will for this submission */
  MUX_OUTCOME_UNKNOWN, /* not known now; retry with the same key */
  MUX_OUTCOME_FAILED,  /* ran and failed */
  MUX_OUTCOME_INFO,    /* reply to a query; no work involved */
} MuxOutcome;

const char *mux_outcome_name (MuxOutcome outcome);

/**
 * struct MuxCoreResponse - the one response to a MuxCoreRequest
 * @call_id: of the request
 * @outcome: what became of the work
 * @reason: cause of an outcome other than DONE and INFO
 * @status: HTTP status
 * @retry_after_ms: delay before the caller should retry; 0: no advice
 * @task: id of the task or job, or none
 * @is_json: the body is JSON made by the core, not a task's result
 * @body: content or NULL; the sink takes its own reference
 */
typedef struct
{
  uint64_t call_id;
  MuxOutcome outcome;
  MuxReason reason;
  uint32_t status;
  uint32_t retry_after_ms;
  MuxId task;
  bool is_json;
  MuxBlob *body;
} MuxCoreResponse;

/* Receives the core's actions. All pointers are borrowed for the call. */
typedef struct MuxCoreSink MuxCoreSink;
struct MuxCoreSink
{
  void (*respond) (MuxCoreSink *sink, const MuxCoreResponse *response);
  /* worker_call, table_call and peer_send return false when the ring of their
   * adapter is full. */
  bool (*worker_call) (MuxCoreSink *sink, const MuxWorkerCall *call);
  bool (*table_call) (MuxCoreSink *sink,
                      MuxTableCall *call); /* takes ownership */
  bool (*peer_send) (MuxCoreSink *sink,
                     const char *addr,
                     const MuxPeerMsg *msg);
  void (*state_log) (MuxCoreSink *sink,
                     int level,
                     const char *event,
                     const char *text);
};

/**
 * enum MuxEventKind - kinds of events that the core handles
 */
typedef enum
{
  MUX_EVENT_TICK,
  MUX_EVENT_REQUEST,
  MUX_EVENT_CALLER_DISCONNECTED, /* caller of @u.call_id disconnected */
  MUX_EVENT_WORKER_REPLY,
  MUX_EVENT_TABLE_REPLY,
  MUX_EVENT_PEER,
  MUX_EVENT_INSTANCES,
  MUX_EVENT_STOP, /* start a graceful shutdown */
} MuxEventKind;

/**
 * struct MuxEvent - one event; all pointers are borrowed for the call
 */
typedef struct
{
  MuxEventKind kind;
  union
  {
    const MuxCoreRequest *request;
    uint64_t call_id;
    const MuxWorkerReply *worker_reply;
    const MuxTableReply *table_reply;
    const MuxPeerMsg *peer;
    const MuxInstanceList *instances;
  } u;
} MuxEvent;

/**
 * struct MuxCoreOptions - parameters of mux_core_new()
 * @sink: receives the core's actions
 * @counters: receives counts
 * @name: name of this instance
 * @data_centre: data centre of this instance
 * @peer_addr: own address for peers
 * @incarnation: start time of this process; larger than that of any previous
 *   incarnation
 * @seed: for jitter and ids; the same seed and events give the same actions
 * @seeds: peer addresses to contact first
 * @seed_count: entries of @seeds
 * @lease_ms: shortest lease requested from workers
 * @heartbeat_ms: interval of heartbeats to peers
 * @suspect_ms: silence after which a peer gets no new grant requests
 * @dead_ms: silence after which a peer's workers are claimed
 * @queue_max: most requests and tasks waiting here
 * @writes_per_s: write rate that the store allows all daemons together; each
 *   takes an equal share, by the number of daemons that it knows to be alive
 * @key_keep_s: how long keys and ended jobs are retained
 * @ticket_key: secret that signs tickets; NULL or "": none
 */
typedef struct
{
  MuxCoreSink *sink;
  MuxCounters *counters;
  const char *name;
  const char *data_centre;
  const char *peer_addr;
  uint64_t incarnation;
  uint64_t seed;
  const char *const *seeds;
  uint32_t seed_count;
  uint32_t lease_ms;
  uint32_t heartbeat_ms;
  uint32_t suspect_ms;
  uint32_t dead_ms;
  uint32_t queue_max;
  uint32_t writes_per_s;
  uint32_t key_keep_s;
  const char *ticket_key;
} MuxCoreOptions;

typedef struct MuxCore MuxCore;

/**
 * mux_core_new() - create a core
 *
 * Return: NULL with @err set when memory is exhausted or an option is invalid.
 */
MuxCore *mux_core_new (const MuxCoreOptions *options, MuxError *err);
void mux_core_free (MuxCore *core);
/**
 * mux_core_step() - handle one event and emit its actions
 * @now_ms: clock of the daemon; must not decrease
 */
void mux_core_step (MuxCore *core, const MuxEvent *event, int64_t now_ms);
/** mux_core_wake_ms() - time of the next TICK, on the same clock */
int64_t mux_core_wake_ms (const MuxCore *core);
/** mux_core_ready() - true when callers may be routed here: the configuration
 * is loaded and no shutdown has begun */
bool mux_core_ready (const MuxCore *core);
/** mux_core_stopped() - true when a graceful shutdown has finished */
bool mux_core_stopped (const MuxCore *core);

#endif
