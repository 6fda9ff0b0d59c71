#ifndef PORT_CELL_H
#define PORT_CELL_H

#include "base/blob.h"
#include "base/id.h"
#include "model/job.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Calls of the cell (the scheduling core) to the store, to workers and to the
 * policy service, with their replies, and callers' requests to the cell.
 * Every call gets exactly one reply.
 */

/* Bytes of a part's name or a row's key.  The store accepts 200; the rest is
 * room for a character appended to a key, to go on scanning behind it, and
 * for the closing NUL. */
#define MUX_ROW_NAME_LEN 204
/* Bytes of the reason of a rejection with its closing NUL. */
#define MUX_REASON_LEN 96
/* Key of the row of MUX_TABLE_CONFIG that holds the configuration. */
#define MUX_CONFIG_KEY "config"
/* A worker lists this many ends at most; the others follow once these are
 * acknowledged. */
#define MUX_ENDS_PER_LIST 500
/* Limits of the opaque texts that are only handed on.  A checkpoint is stored,
 * so its limit counts it as a JSON string; 8 of them share a row. */
#define MUX_CHECKPOINT_BYTES_MAX 4096
#define MUX_PROOF_BYTES_MAX 8192

/**
 * enum MuxCellVerb - operation of a call
 */
typedef enum
{
  MUX_CELL_COMMIT, /* store: transaction on one part: all changes are made if
                    * every precondition holds, else none */
  MUX_CELL_SCAN,   /* store: rows of a table and part, in key order */
  MUX_CELL_FEED,   /* store: wait for changes of a table after a version */
  MUX_CELL_START,  /* worker: start a run of a task */
  MUX_CELL_STOP,  /* worker: stop a run; refuse its start if that comes later */
  MUX_CELL_RENEW, /* worker: extend its lease, list running and ended runs */
  MUX_CELL_QUERY_APPROVAL, /* policy service: which workers may run a step */
  MUX_CELL_PACE,           /* worker: let a run work at a share of its speed */
} MuxCellVerb;

/**
 * enum MuxCellTable - tables of the store
 */
typedef enum
{
  MUX_TABLE_JOBS,     /* accepted jobs, cancels and, beside them, the claim */
  MUX_TABLE_PROGRESS, /* by job: which of its tasks have ended, and how */
  MUX_TABLE_ENDED,    /* jobs that have ended */
  MUX_TABLE_CLAIM,    /* the claim: which daemon is the planner */
  MUX_TABLE_FENCE,    /* by part: the claim that may change jobs there */
  MUX_TABLE_ROSTER,   /* workers that may run something of ours */
  MUX_TABLE_SPEEDS,   /* speeds of workers, as observed */
  MUX_TABLE_CONFIG,   /* the operators' configuration; read only */
  MUX_TABLE_WORKERS,  /* the platform's list of workers; read only */
  MUX_TABLE_COUNT
} MuxCellTable;

/**
 * enum MuxChangeKind - operation of one entry of a commit
 */
typedef enum
{
  MUX_CHANGE_EXPECT, /* precondition: the row has this version; 0: it does not
                      * exist */
  MUX_CHANGE_PUT,
  MUX_CHANGE_REMOVE,
} MuxChangeKind;

/**
 * struct MuxCellChange - an entry of a commit
 * @kind: see enum MuxChangeKind
 * @table: table of the row
 * @key: key of the row inside the part of the commit
 * @version: EXPECT: the version required
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
 * @job: id of the job
 * @occurrence: number of the occurrence
 * @step: number of the step
 * @index: number of the task inside the step
 */
typedef struct
{
  char job[MUX_JOB_ID_LEN];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} MuxTaskRef;

/**
 * struct MuxCellCall - a call of the cell
 * @verb: operation
 * @call_id: chosen by the cell, returned in the reply
 * @timeout_ms: for the whole exchange
 * @table: SCAN, FEED
 * @part: COMMIT, SCAN; "" names a part, too
 * @from: SCAN: first key
 * @to: SCAN: key behind the last one; "": no end
 * @after: FEED: changes after this version are wanted
 * @wait_ms: FEED, RENEW: how long the reply may be withheld until there is
 *   something new to report
 * @change_count: COMMIT: used entries of @change
 * @change: COMMIT; owned
 * @addr: worker's "ip:port"; "": the call is not to a worker
 * @worker: name of the worker's incarnation that is meant, see
 *   port/incarnation.h; a worker with another id refuses the call, another
 *   incarnation of the same worker may not
 * @connections_max: to a worker: most connections from this daemon that the
 *   worker may have open, those included that were closed here while a request
 *   was unanswered; 0: unlimited
 * @connections_in_use_max: of these, most that are open at a time; 0: as many
 * as the port uses
 * @task: START, STOP, PACE; QUERY_APPROVAL: the step is meant
 * @run: START, STOP, PACE: number of the run
 * @percent: PACE: share at which it may work, 0 to 100
 * @fence: START, STOP, PACE, RENEW: fencing token of the claim
 * @lease_expires_ms: START, RENEW: on the worker's clock; 0: not extended
 * @payload: START: holds a reference
 * @checkpoint: START: what to resume from; holds a reference; NULL: nothing
 * @proof: START: proof of the approval; holds a reference; NULL: none
 * @acked: RENEW: the worker may forget ends of runs up to this number
 * @candidate_count: QUERY_APPROVAL: used entries of @candidate
 * @candidate: QUERY_APPROVAL: incarnations of the workers queried; owned
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
  uint32_t connections_max;
  uint32_t connections_in_use_max;
  MuxTaskRef task;
  uint32_t run;
  uint32_t percent;
  uint64_t fence;
  int64_t lease_expires_ms;
  MuxBlob *payload;
  MuxBlob *checkpoint;
  MuxBlob *proof;
  uint64_t acked;
  uint32_t candidate_count;
  char (*candidate)[MUX_NAME_LEN];
} MuxCellCall;

/**
 * enum MuxCellStatus - result of a call
 */
typedef enum
{
  MUX_CELL_OK,
  MUX_CELL_CONFLICT, /* COMMIT: a precondition did not hold, nothing was changed
                      */
  MUX_CELL_NOT_DONE, /* certainly without effect; may be retried */
  MUX_CELL_UNKNOWN,  /* no reply: it may have taken effect, or may still */
  MUX_CELL_HISTORY_GONE, /* FEED: the store no longer has the changes after that
                            version */
  MUX_CELL_OTHER_INCARNATION, /* worker: the incarnation that is meant has ended
                               */
  MUX_CELL_FENCED,            /* worker: it has seen a higher fencing token */
  MUX_CELL_OLD_RUN, /* START: the worker has seen this or a later run of the
                       task */
  MUX_CELL_PAST_DEADLINE, /* START: arrived after its deadline */
  MUX_CELL_NO_ROOM,       /* START: the worker has not enough room */
  MUX_CELL_PROOF_REFUSED, /* START: the proof of the approval is not accepted */
  MUX_CELL_BAD_REQUEST,   /* the other side rejected the request as malformed */
} MuxCellStatus;

/**
 * enum MuxRunEnd - how a run ended
 */
typedef enum
{
  MUX_RUN_DONE,
  MUX_RUN_FAILED,          /* through its own fault or the worker's */
  MUX_RUN_STOPPED,         /* by a STOP call */
  MUX_RUN_LEASE_EXPIRED,   /* the worker's lease ended */
  MUX_RUN_GANG_BROKEN,     /* another task of its gang ended */
  MUX_RUN_GANG_INCOMPLETE, /* the other tasks of its gang were not started in
                              time */
} MuxRunEnd;

/**
 * struct MuxRunReport - a run in a worker's list
 * @task: task that is run
 * @run: number of the run
 * @percent: running: share of its work that is done
 * @usage: running: thousandths of a processor in use; of a task that serves
 *   requests, the tail of its response times in ms
 * @end_number: number of its end in the worker's list of ended runs; 0: it is
 *   running
 * @end: ended: how
 * @checkpoint: what a later run can resume from; holds a reference; NULL:
 *   nothing
 */
typedef struct
{
  MuxTaskRef task;
  uint32_t run;
  uint32_t percent;
  uint32_t usage;
  uint64_t end_number;
  MuxRunEnd end;
  MuxBlob *checkpoint;
} MuxRunReport;

/**
 * struct MuxWorkerInfo - a worker as the platform lists it
 * @id: of the worker; its incarnations share it where @started_ms is given
 * @started_ms: start of this incarnation, in ms since 1970 on the worker's
 *   clock; 0: not given
 * @service: pool that it belongs to
 * @addr: "ip:port"
 * @data_centre: that it is in
 * @kind: label of its hardware
 * @rack: inside the data centre
 * @capacity: all that its tasks may use together
 * @draining: it is going to leave and accepts no new tasks
 * @drain_left_ms: it leaves no earlier than in so many ms; 0: not known
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
 * struct MuxCellRow - a row as read from the store
 * @part: part of the table
 * @key: inside the part
 * @table: table of the row
 * @version: of its last change
 * @removed: FEED: the row was deleted
 * @value: content; owned; NULL: deleted or unreadable
 * @config: CONFIG: the decoded content; owned; NULL: it can't be decoded
 * @worker: WORKERS: the decoded content; owned; NULL: it can't be decoded
 * @bad_field: name of the field because of which it can't be decoded; static;
 *   NULL: none
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
 * struct MuxApproval - a worker that may run the step of the query
 * @worker: its incarnation, as named in the query
 * @proof: to be presented to the worker with the start; holds a reference
 */
typedef struct
{
  char worker[MUX_NAME_LEN];
  MuxBlob *proof;
} MuxApproval;

/**
 * struct MuxCellReply - result of a call
 * @verb: of the call
 * @call_id: of the call
 * @status: see enum MuxCellStatus
 * @rejection: COMMIT with BAD_REQUEST: what the store says of it, for the log;
 *   printable ASCII.  RENEW with UNKNOWN: name of the list that can't be read;
 *   "": none
 * @version: COMMIT: of the rows written; SCAN, FEED: the newest in the store
 * @store_clock_ms: the store's monotonic clock; 0: not given
 * @more: SCAN: there are more rows behind the last one
 * @row_count: used entries of @row
 * @row: SCAN, FEED: the rows; COMMIT with CONFLICT: the rows of the
 *   preconditions as they are; owned
 * @unsent: NOT_DONE: the call did not leave the daemon
 * @connections_max: of the call; 0: connections are not counted
 * @given_up: with @connections_max: connections that the daemon closed while a
 *   request was unanswered, and the worker may still have open
 * @worker_clock_ms: the worker's clock when it replied; 0: not given
 * @worker_started_ms: start of the incarnation that replied, on the worker's
 *   clock; 0: not given
 * @end_count: RENEW: ends in the worker's list, whether or not they could be
 *   read
 * @report_count: used entries of @report
 * @report: RENEW: running runs, and ended ones not yet acknowledged; owned
 * @approval_count: used entries of @approval
 * @approval: QUERY_APPROVAL: workers that may run the step; owned
 * @valid_ms: QUERY_APPROVAL: how long the proofs are accepted
 */
typedef struct
{
  MuxCellVerb verb;
  uint64_t call_id;
  MuxCellStatus status;
  char rejection[MUX_REASON_LEN];
  uint64_t version;
  int64_t store_clock_ms;
  bool more;
  uint32_t row_count;
  MuxCellRow *row;
  bool unsent;
  uint32_t connections_max;
  uint32_t given_up;
  int64_t worker_clock_ms;
  uint64_t worker_started_ms;
  uint32_t end_count;
  uint32_t report_count;
  MuxRunReport *report;
  uint32_t approval_count;
  MuxApproval *approval;
  uint32_t valid_ms;
} MuxCellReply;

/** mux_cell_call_new() - allocate a zeroed call
 * Return: NULL when out of memory. */
MuxCellCall *mux_cell_call_new (MuxCellVerb verb);
/** mux_cell_call_alloc_changes() - allocate room for @count changes
 * Return: false when out of memory. */
bool mux_cell_call_alloc_changes (MuxCellCall *call, uint32_t count);
void mux_cell_call_free (MuxCellCall *call);
/** mux_cell_reply_new() - allocate a reply to @call without content
 * Return: NULL when out of memory. */
MuxCellReply *mux_cell_reply_new (const MuxCellCall *call,
                                  MuxCellStatus status);
/** mux_cell_reply_alloc_rows() - allocate room for @count rows
 * Return: false when out of memory. */
bool mux_cell_reply_alloc_rows (MuxCellReply *reply, uint32_t count);
void mux_cell_reply_free (MuxCellReply *reply);
/** mux_approvals_free() - free @count approvals with their proofs */
void mux_approvals_free (MuxApproval *approvals, uint32_t count);
const char *mux_cell_verb_name (MuxCellVerb verb);
const char *mux_cell_status_name (MuxCellStatus status);
const char *mux_run_end_name (MuxRunEnd end);

/* Adapter to the store, the workers and the policy service.  It is the first
 * member of the structure that implements it. */
typedef struct MuxCellPort MuxCellPort;
struct MuxCellPort
{
  /* Takes ownership of @call.  Returns false, with @call freed, when the call
   * can't be queued; exactly one reply follows if it returned true, none
   * otherwise. */
  bool (*call) (MuxCellPort *port, MuxCellCall *call);
  /* Returns by how many ms the port is late in ending calls whose timeout is
   * over, as far as it knows; callable from any thread. */
  int64_t (*late_ms) (MuxCellPort *port);
  void (*free) (MuxCellPort *port);
};

/**
 * enum MuxRequestVerb - operation of a caller's request
 */
typedef enum
{
  MUX_REQUEST_SUBMIT,
  MUX_REQUEST_QUERY, /* state of a job; without an id in the path, the number
                      * of jobs of the queue that wait */
  MUX_REQUEST_CANCEL,
} MuxRequestVerb;

/**
 * struct MuxRequest - a caller's request to the cell
 * @verb: operation
 * @call_id: names the caller that waits; returned in the response
 * @host: host name that the caller addressed; owned
 * @path: prefix of the queue and id of the job; owned
 * @timeout_ms: how long the caller waits
 * @has_key: an API key came with the request
 * @key: digest of that key
 * @job: SUBMIT: the job without its id and queue; owned
 */
typedef struct
{
  MuxRequestVerb verb;
  uint64_t call_id;
  char *host;
  char *path;
  uint32_t timeout_ms;
  bool has_key;
  MuxKeyDigest key;
  MuxJobSpec *job;
} MuxRequest;

void mux_request_free (MuxRequest *request);

/**
 * enum MuxResponseOutcome - result of a caller's request
 */
typedef enum
{
  MUX_RESPONSE_ACCEPTED,  /* the job is stored and will be run */
  MUX_RESPONSE_STATE,     /* see @state */
  MUX_RESPONSE_PENDING,   /* see @pending */
  MUX_RESPONSE_CANCELLED, /* the cancel is stored */
  MUX_RESPONSE_NO_JOB,    /* the store has no such job */
  MUX_RESPONSE_NO_QUEUE,  /* no queue of that host and path */
  MUX_RESPONSE_REFUSED,   /* certainly without effect; retry after @retry_ms */
  MUX_RESPONSE_UNKNOWN,   /* it may have taken effect, or may still */
  MUX_RESPONSE_BAD_REQUEST,  /* the request is malformed */
  MUX_RESPONSE_UNAUTHORIZED, /* no API key, or that of no workspace */
  MUX_RESPONSE_ID_IN_USE,    /* a job of another workspace has this id */
  MUX_RESPONSE_OVER_QUOTA,   /* the job needs more than the workspace's whole
                                quota */
  MUX_RESPONSE_TOO_LARGE,    /* the job does not fit into a row of the store */
  MUX_RESPONSE_NEVER_FITS,   /* its steps take more memory than any job may */
} MuxResponseOutcome;

/**
 * struct MuxResponse - response to a caller's request
 * @call_id: of the request
 * @outcome: see enum MuxResponseOutcome
 * @state: STATE: of the job
 * @pending: PENDING: jobs of the queue of which no task has started
 * @retry_ms: REFUSED: when to retry
 * @bytes: NEVER_FITS: memory that the job takes,
 * @max_bytes: and that a job may take
 */
typedef struct
{
  uint64_t call_id;
  MuxResponseOutcome outcome;
  MuxJobState state;
  uint32_t pending;
  uint32_t retry_ms;
  uint64_t bytes;
  uint64_t max_bytes;
} MuxResponse;

/* What the HTTP front end needs of the rest of the daemon; may be called from
 * any thread. */
typedef struct MuxCellBackend MuxCellBackend;
struct MuxCellBackend
{
  /* Takes ownership of @request and waits for the response. */
  void (*handle) (MuxCellBackend *backend,
                  MuxRequest *request,
                  MuxResponse *response);
  /* Returns true while callers' requests can be served here. */
  bool (*ready) (MuxCellBackend *backend);
};

#endif
