#ifndef CORE_CORE_H
#define CORE_CORE_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

#include <stdbool.h>
#include <stdint.h>

/* Most bytes of a request's or job's body. */
#define MUX_BODY_MAX (4u << 20)
/* Bytes of a ticket's text with its closing NUL. */
#define MUX_TICKET_LEN 512
/* Most tasks of one job: their parts and the job's own two rows fit one
 * transaction. */
#define MUX_JOB_TASKS_MAX 4032

/**
 * enum MuxAskVerb - what a caller or operator asks of this daemon
 */
typedef enum
{
  MUX_CORE_RUN_TASK,       /* run one task and give its answer */
  MUX_CORE_ISSUE_TICKET,   /* room for one task that must not run twice */
  MUX_CORE_JOB_SUBMIT,     /* record a job */
  MUX_CORE_JOB_GET,        /* show one job */
  MUX_CORE_JOB_WAIT,       /* the same once it has ended */
  MUX_CORE_JOB_CANCEL,     /* end it */
  MUX_CORE_JOB_LIST,       /* open jobs, a page */
  MUX_CORE_CONFIG_PUT,     /* change a class, product or the cell */
  MUX_CORE_CONFIG_REMOVE,  /* remove a class or product */
  MUX_CORE_CONFIG_GET,     /* show one */
  MUX_CORE_CONFIG_LIST,    /* show all of a sort */
  MUX_CORE_CONFIG_HISTORY, /* changes after a revision */
  MUX_CORE_CONFIG_REVERT,  /* put an object back to an older revision */
  MUX_CORE_STATUS,         /* members, revisions, own state */
  MUX_CORE_WORKERS,        /* workers known here */
  MUX_CORE_DRAIN,          /* no new work on a worker */
  MUX_CORE_RISK,           /* targets at risk */
} MuxCoreVerb;

/**
 * enum MuxConfigSort - sorts of configured objects
 */
typedef enum
{
  MUX_CONFIG_CLASS,
  MUX_CONFIG_PRODUCT,
  MUX_CONFIG_CELL,
  MUX_CONFIG_DRAIN, /* a worker that gets no new work, kept as configuration */
  MUX_CONFIG_SORT_COUNT
} MuxConfigSort;

/**
 * struct MuxAsk - one question from the door
 * @call: the door's handle; exactly one answer will carry it
 * @verb: what is asked
 * @name: class of a request or job; object of a CONFIG_*; worker of a DRAIN
 * @key: idempotency key, "" for none
 * @first: REQUEST with a key: the caller has not sent that key before
 * @ticket: REQUEST: where a ticket was given, else ""
 * @id: job of a JOB_*
 * @sort: of a CONFIG_*
 * @give_up_ms: REQUEST, JOB_WAIT: time left for the caller
 * @task_count: JOB_SUBMIT
 * @expect_set: CONFIG_PUT, _REMOVE: @expect is a condition
 * @expect: object revision that the operator saw; 0: does not exist
 * @revision: CONFIG_HISTORY: after this; CONFIG_REVERT: back to this
 * @change: CONFIG_*: id of the change, chosen by the client, for repeats
 * @who: operator's name for the history
 * @wall_ms: time of day when it was asked, for the history
 * @flag: DRAIN: on or off
 * @body: bytes of a request or job, JSON of a CONFIG_PUT; holds a reference
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
 * enum MuxOutcome - what an answer says of the work
 */
typedef enum
{
  MUX_OUTCOME_DONE,    /* ran; the body is its whole answer */
  MUX_OUTCOME_NOT_RUN, /* this submission caused no execution, nor will it */
  MUX_OUTCOME_UNKNOWN, /* can't be told now; ask again with the same key */
  MUX_OUTCOME_FAILED,  /* ran and failed */
  MUX_OUTCOME_INFO,    /* answer to a question, no work meant */
} MuxOutcome;

const char *mux_outcome_name (MuxOutcome outcome);

/**
 * struct MuxAnswer - the one answer to a MuxAsk
 * @call: of the ask
 * @outcome: what became of the work
 * @reason: why, when it is not DONE or INFO
 * @status: HTTP status
 * @retry_after_ms: when to come back; 0: no advice
 * @task: the task or job meant, or none
 * @json: the body is JSON of ours, not a task's bytes
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

/* Where the core's actions go.  All pointers are borrowed for the call. */
typedef struct MuxCoreSink MuxCoreSink;
struct MuxCoreSink
{
  void (*respond) (MuxCoreSink *sink, const MuxCoreResponse *answer);
  /* The next two return false when the adapter's ring is full. */
  bool (*worker_call) (MuxCoreSink *sink, const MuxWorkerCall *call);
  bool (*table_call) (MuxCoreSink *sink,
                      MuxTableCall *call); /* takes it over */
  bool (*peer_send) (MuxCoreSink *sink,
                     const char *addr,
                     const MuxPeerMsg *msg);
  void (*state_log) (MuxCoreSink *sink,
                     int level,
                     const char *event,
                     const char *text);
};

/**
 * enum MuxEventKind - what the core is told
 */
typedef enum
{
  MUX_EVENT_TICK,
  MUX_EVENT_REQUEST,
  MUX_EVENT_CALLER_DISCONNECTED, /* @u.call hung up */
  MUX_EVENT_WORKER_REPLY,
  MUX_EVENT_TABLE_REPLY,
  MUX_EVENT_PEER,
  MUX_EVENT_INSTANCES,
  MUX_EVENT_STOP, /* begin a graceful stop */
} MuxEventKind;

/**
 * struct MuxEvent - one event; everything in it is borrowed for the call
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
 * struct MuxCoreOptions - construction of the core
 * @sink: where actions go
 * @counters: where counts go
 * @name: this instance
 * @data_centre: where it stands
 * @peer_addr: its own peer address, told to peers
 * @incarnation: start of this process, larger than in any earlier life
 * @seed: for jitter and ids; the same seed and events give the same actions
 * @seeds: peer addresses to greet first
 * @seed_count: entries of @seeds
 * @lease_ms: lease asked of workers
 * @heartbeat_ms: between heartbeats to peers
 * @suspect_ms: silence after which a peer gets no new asks
 * @dead_ms: silence after which a peer's workers are claimed
 * @queue_max: most requests and tasks waiting here
 * @writes_per_s: writes that the table takes from all daemons together; each
 *   keeps to its part by the number of daemons that it knows to live
 * @key_keep_s: how long keys and ended jobs are remembered
 * @ticket_key: secret that tickets are signed with; NULL or "": none
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

/** mux_core_new() - NULL with @err set: memory is out or an option is bad */
MuxCore *mux_core_new (const MuxCoreOptions *options, MuxError *err);
void mux_core_free (MuxCore *core);
/**
 * mux_core_step() - handle one event, emitting its actions
 * @now_ms: the daemon's clock; never less than in the step before
 */
void mux_core_step (MuxCore *core, const MuxEvent *event, int64_t now_ms);
/** mux_core_wake_ms() - when the next TICK is due, on the same clock */
int64_t mux_core_wake_ms (const MuxCore *core);
/** mux_core_ready() - it may be sent callers: configured and not stopping */
bool mux_core_ready (const MuxCore *core);
/** mux_core_stopped() - a graceful stop has finished */
bool mux_core_stopped (const MuxCore *core);

#endif
