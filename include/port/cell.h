#ifndef PORT_CELL_H
#define PORT_CELL_H

#include "base/blob.h"
#include "base/id.h"
#include "model/job.h"

#include <stdbool.h>
#include <stdint.h>

/* What the core of stepped jobs asks of the store, of workers and of the
 * policy service, and what comes back.  One call, one reply. */

/* Bytes of a part's or row's name: the store takes 200, and a mark that is put
 * behind a name and the closing NUL come to it. */
#define MUX_ROW_NAME_LEN 204
/* Key of the row that holds the configuration in its table. */
#define MUX_CONFIG_KEY "config"
/* Bytes of a checkpoint's name or of an approval's proof, with NUL. */
#define MUX_TOKEN_LEN 72

/**
 * enum MuxCellVerb - what a call does
 */
typedef enum
{
  MUX_CELL_COMMIT, /* store: all changes of one part, if every condition holds
                    */
  MUX_CELL_SCAN,   /* store: rows of a table and part, in key order */
  MUX_CELL_FEED,   /* store: what changed in a table since a version */
  MUX_CELL_START,  /* worker: start a run of a task */
  MUX_CELL_STOP,   /* worker: stop a run, or refuse it if it comes later */
  MUX_CELL_RENEW,  /* worker: extend its lease, list what runs and ended */
  MUX_CELL_QUERY_APPROVAL, /* policy service: which workers may run a step */
} MuxCellVerb;

/**
 * enum MuxCellTable - tables of the store
 */
typedef enum
{
  MUX_TABLE_JOBS,     /* accepted jobs, cancels and, beside them, the claim */
  MUX_TABLE_PROGRESS, /* ends of a job's tasks so far */
  MUX_TABLE_ENDED,    /* jobs that have ended */
  MUX_TABLE_CLAIM,    /* who plans for the cell */
  MUX_TABLE_FENCE,    /* by part: the claim that may change jobs there */
  MUX_TABLE_ROSTER,   /* workers that may run something */
  MUX_TABLE_CONFIG,   /* the operators' queues; read only */
  MUX_TABLE_WORKERS,  /* the platform's list of workers; read only */
  MUX_TABLE_COUNT
} MuxCellTable;

/**
 * enum MuxChangeKind - what an entry of a commit does
 */
typedef enum
{
  MUX_CHANGE_EXPECT, /* the row must have this version; 0: must not exist */
  MUX_CHANGE_PUT,
  MUX_CHANGE_REMOVE,
} MuxChangeKind;

/**
 * struct MuxCellChange - an entry of a commit
 * @kind: see enum MuxChangeKind
 * @table: whose row
 * @key: its key inside the part of the commit
 * @version: EXPECT: the version wanted
 * @value: PUT: new content; holds a reference
 */
typedef struct
{
  MuxChangeKind kind;
  MuxCellTable table;
  char key[MUX_ROW_NAME_LEN];
  uint64_t version;
  MuxBlob *value;
} MuxCellChange;

/**
 * struct MuxTaskRef - one task of a job
 */
typedef struct
{
  char job[MUX_JOB_ID_LEN];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} MuxTaskRef;

/**
 * struct MuxCellCall - a call of the core
 * @verb: what to do
 * @call_id: chosen by the core, returned in the reply
 * @timeout_ms: for the whole exchange
 * @table: SCAN, FOLLOW
 * @part: COMMIT, SCAN; "" is a part, too
 * @from: SCAN: first key
 * @to: SCAN: key behind the last; "": to the end
 * @after: FOLLOW: the version known
 * @wait_ms: FOLLOW, RENEW: the answer may wait so long for something new
 * @change_count: COMMIT: used entries of @change
 * @change: COMMIT; owned
 * @addr: worker's "ip:port"
 * @worker: name of the worker's life that is meant (port/incarnation.h);
 * another id refuses, another life of that id may not
 * @task: START, STOP; APPROVE: its step
 * @run: START, STOP
 * @fence: START, STOP, RENEW: token of the claim
 * @lease_until_ms: START, RENEW: on the worker's clock; 0: not extended
 * @payload: START: holds a reference
 * @checkpoint: START: what to resume; "": nothing
 * @proof: START: of the approval; ""
 * @acked: RENEW: ends up to this number may be forgotten
 * @candidate_count: APPROVE: used entries of @candidate
 * @candidate: APPROVE: lives of workers asked about; owned
 */
typedef struct
{
  MuxCellVerb verb;
  uint64_t call_id;
  uint32_t timeout_ms;
  MuxCellTable table;
  char part[MUX_ROW_NAME_LEN];
  char from[MUX_ROW_NAME_LEN];
  char to[MUX_ROW_NAME_LEN];
  uint64_t after;
  uint32_t wait_ms;
  uint32_t change_count;
  MuxCellChange *change;
  char addr[MUX_ADDR_LEN];
  char worker[MUX_NAME_LEN];
  MuxTaskRef task;
  uint32_t run;
  uint64_t fence;
  int64_t lease_expires_ms;
  MuxBlob *payload;
  char checkpoint[MUX_TOKEN_LEN];
  char proof[MUX_TOKEN_LEN];
  uint64_t acked;
  uint32_t candidate_count;
  char (*candidate)[MUX_NAME_LEN];
} MuxCellCall;

/**
 * enum MuxCellStatus - how a call ended
 */
typedef enum
{
  MUX_CELL_OK,
  MUX_CELL_CONFLICT,     /* COMMIT: a condition did not hold, nothing changed */
  MUX_CELL_NOT_DONE,     /* certainly without effect; may be tried again */
  MUX_CELL_UNKNOWN,      /* no answer: it may have, or still get, effect */
  MUX_CELL_HISTORY_GONE, /* FOLLOW: what came after that version is forgotten */
  MUX_CELL_OTHER_INCARNATION, /* worker: the life that is meant has ended */
  MUX_CELL_FENCED,            /* worker: a higher token has been seen */
  MUX_CELL_OLD_RUN,           /* START: not above a run seen there */
  MUX_CELL_PAST_DEADLINE,     /* START: past its last moment */
  MUX_CELL_NO_ROOM,           /* START: it would hold too much */
  MUX_CELL_PROOF_REFUSED,     /* START: the approval's proof is not taken */
  MUX_CELL_BAD_REQUEST,       /* the other side called the request wrong */
} MuxCellStatus;

/**
 * enum MuxRunEnd - how a run ended
 */
typedef enum
{
  MUX_RUN_DONE,
  MUX_RUN_FAILED,          /* through its own fault or the worker's */
  MUX_RUN_STOPPED,         /* on our order */
  MUX_RUN_LEASE_EXPIRED,   /* the worker's lease ended */
  MUX_RUN_GANG_BROKEN,     /* another member of its gang ended */
  MUX_RUN_GANG_INCOMPLETE, /* the other members of its gang did not come */
} MuxRunEnd;

/**
 * struct MuxRunReport - a run in a worker's list
 * @task: of which task
 * @run: its number
 * @percent: of its work done; a running one's
 * @usage: thousandths of a processor in use, or a serving task's tail in ms
 * @number: of its end in the worker's list; 0: it runs
 * @end: how it ended
 * @checkpoint: what can be resumed; "": nothing
 */
typedef struct
{
  MuxTaskRef task;
  uint32_t run;
  uint32_t percent;
  uint32_t usage;
  uint64_t end_number;
  MuxRunEnd end;
  char checkpoint[MUX_TOKEN_LEN];
} MuxRunReport;

/**
 * struct MuxWorkerInfo - a worker as the platform lists it
 * @id: names it; where @born_ms is told, all its lives
 * @born_ms: when this life began, since 1970 by the worker's clock; 0: not told
 * @service: pool it belongs to
 * @addr: "ip:port"
 * @data_centre: where
 * @kind: label of its hardware
 * @rack: where inside
 * @capacity: all that it can hold
 * @draining: it will leave and takes no new tasks
 * @leaves_ms: it stays at least so long; 0: not known
 */
typedef struct
{
  char id[MUX_NAME_LEN];
  uint64_t started_ms;
  char service[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  char data_centre[MUX_NAME_LEN];
  char kind[MUX_NAME_LEN];
  char rack[MUX_NAME_LEN];
  MuxSize capacity;
  bool draining;
  uint32_t drain_left_ms;
} MuxWorkerInfo;

/**
 * struct MuxCellRow - a row as found
 * @part: its part
 * @key: its key
 * @version: of its last change
 * @removed: FOLLOW: it is gone
 * @value: content; owned; NULL: removed, or none that can be read
 * @config: CONFIG: decoded; owned; NULL: it can't be
 * @worker: WORKERS: decoded; owned; NULL: it can't be
 * @wrong: name of the field that kept it from being decoded; static; NULL: none
 */
typedef struct
{
  char part[MUX_ROW_NAME_LEN];
  char key[MUX_ROW_NAME_LEN];
  MuxCellTable table;
  uint64_t version;
  bool removed;
  MuxBlob *value;
  MuxQueueConfig *config;
  MuxWorkerInfo *worker;
  const char *bad_field;
} MuxCellRow;

/**
 * struct MuxApproval - a worker that may run the step asked about
 * @worker: its life, as it was asked about
 * @proof: to be shown
 */
typedef struct
{
  char worker[MUX_NAME_LEN];
  char proof[MUX_TOKEN_LEN];
} MuxApproval;

/**
 * struct MuxCellReply - the end of a call
 * @verb: of the call
 * @call_id: of the call
 * @status: how it ended
 * @version: COMMIT: of the rows written; SCAN, FOLLOW: the newest in the store
 * @store_clock_ms: the store's steady clock; 0: not told
 * @more: SCAN: rows follow behind the last one
 * @row_count: used entries of @row
 * @row: SCAN, FOLLOW: as found; COMMIT: on CONFLICT, those expected; owned
 * @clock_ms: worker's clock when it answered; 0: not told
 * @born_ms: when the life of the worker that answered began; 0: not told
 * @report_count: used entries of @report
 * @report: RENEW: what runs and what ended unacknowledged; owned
 * @approval_count: used entries of @approval
 * @approval: APPROVE: those who may; owned
 * @valid_ms: APPROVE: how long the proofs are taken
 */
typedef struct
{
  MuxCellVerb verb;
  uint64_t call_id;
  MuxCellStatus status;
  uint64_t version;
  int64_t store_clock_ms;
  bool more;
  uint32_t row_count;
  MuxCellRow *row;
  int64_t worker_clock_ms;
  uint64_t worker_started_ms;
  uint32_t report_count;
  MuxRunReport *report;
  uint32_t approval_count;
  MuxApproval *approval;
  uint32_t valid_ms;
} MuxCellReply;

/** mux_cell_call_new() - zeroed; NULL: memory is out */
MuxCellCall *mux_cell_call_new (MuxCellVerb verb);
/** mux_cell_call_changes() - room for @count changes; false: memory is out */
bool mux_cell_call_alloc_changes (MuxCellCall *call, uint32_t count);
void mux_cell_call_free (MuxCellCall *call);
MuxCellReply *mux_cell_reply_new (const MuxCellCall *call,
                                  MuxCellStatus status);
/** mux_cell_reply_rows() - room for @count rows; false: memory is out */
bool mux_cell_reply_alloc_rows (MuxCellReply *reply, uint32_t count);
void mux_cell_reply_free (MuxCellReply *reply);
const char *mux_cell_status_name (MuxCellStatus status);
const char *mux_run_end_name (MuxRunEnd end);

/* Towards the store, workers and the policy service.  The first member of an
 * adapter is its table. */
typedef struct MuxCellPort MuxCellPort;
struct MuxCellPort
{
  /* Takes @call over; exactly one reply follows if and only if it returned
   * true.  False: its ring is full. */
  bool (*call) (MuxCellPort *port, MuxCellCall *call);
  void (*free) (MuxCellPort *port);
};

/**
 * enum MuxQuestionVerb - what a caller asks
 */
typedef enum
{
  MUX_REQUEST_SUBMIT,
  MUX_REQUEST_QUERY, /* without an id: how many jobs of the queue wait */
  MUX_REQUEST_CANCEL,
} MuxRequestVerb;

/**
 * struct MuxQuestion - a caller's question
 * @verb: what is asked
 * @call: names the caller who waits
 * @host: that the caller named
 * @path: with the queue's prefix and the job's id
 * @give_up_ms: how long the caller waits
 * @has_key: it shows a key
 * @key: digest of that
 * @job: SUBMIT: without id and queue; owned
 */
typedef struct
{
  MuxRequestVerb verb;
  uint64_t call_id;
  char host[128];
  char path[256];
  uint32_t timeout_ms;
  bool has_key;
  MuxKeyDigest key;
  MuxJobSpec *job;
} MuxRequest;

void mux_request_free (MuxRequest *question);

/**
 * enum MuxResponseOutcome - what a caller is answered
 */
typedef enum
{
  MUX_RESPONSE_ACCEPTED,     /* stored; it will be carried out */
  MUX_RESPONSE_STATE,        /* see @state */
  MUX_RESPONSE_PENDING,      /* see @pending */
  MUX_RESPONSE_CANCELLED,    /* the cancel is stored */
  MUX_RESPONSE_NO_JOB,       /* the store knows no such job */
  MUX_RESPONSE_NO_QUEUE,     /* no queue of that host and path */
  MUX_RESPONSE_REFUSED,      /* without effect; come back after @retry_ms */
  MUX_RESPONSE_UNKNOWN,      /* it may have, or still get, effect */
  MUX_RESPONSE_BAD_REQUEST,  /* the question itself is wrong */
  MUX_RESPONSE_UNAUTHORIZED, /* the key that it shows, if any, is nobody's */
  MUX_RESPONSE_ID_IN_USE,    /* the id is that of another workspace's job */
  MUX_RESPONSE_OVER_QUOTA,   /* its workspace's quota can never hold it */
} MuxResponseOutcome;

/**
 * struct MuxQuestionReply - answer to a caller
 * @call: of the question
 * @outcome: see enum MuxResponseOutcome
 * @state: STATE
 * @pending: PENDING: jobs of which no task has started
 * @retry_ms: REFUSED
 */
typedef struct
{
  uint64_t call_id;
  MuxResponseOutcome outcome;
  MuxJobState state;
  uint32_t pending;
  uint32_t retry_ms;
} MuxResponse;

/* What the callers' side needs of the rest of the daemon; any thread may call
 * it. */
typedef struct MuxCellBackend MuxCellBackend;
struct MuxCellBackend
{
  /* Takes @question over, waits for its answer. */
  void (*handle) (MuxCellBackend *backend,
                  MuxRequest *question,
                  MuxResponse *reply);
  /* Callers may be sent here. */
  bool (*ready) (MuxCellBackend *backend);
};

#endif
