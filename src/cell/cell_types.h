#ifndef CELL_CELL_TYPES_H
#define CELL_CELL_TYPES_H

#include "cell/admission.h"
#include "cell/cancel_age.h"
#include "cell/cell.h"
#include "cell/failed_runs.h"
#include "cell/interference.h"
#include "cell/order_limit.h"
#include "cell/pacing.h"
#include "cell/run_time.h"
#include "cell/share.h"
#include "cell/throttle.h"
#include "cell/traffic_limit.h"
#include "claim_types.h"
#include "placing_types.h"
#include "speed_types.h"
#include "workspace_types.h"

#include "base/deadlines.h"

#include <uthash.h>
#include <utlist.h>

/*
 * Types of the scheduler's state.  All of it belongs to one MuxCell and is used
 * by its thread alone.
 *
 * Fields that end in _ms are milliseconds.  Those that hold a moment are on the
 * monotonic clock of the daemon (MuxCellTime.now_ms), 0 where it has not come;
 * those with "wall" in their name are a time of day.  Fields named prev, next
 * and hh, also with a list's name before them, link a utlist or uthash entry.
 */

/* Parts that jobs are spread over by a hash of their ids.  A part carries out
 * one transaction after the other, and a commit holds 30 jobs: where a store
 * takes 300 ms for each, with commits of progress between, a part stores 50
 * jobs a second.  The number is part of the stored format: with another one,
 * stored jobs are looked up in the wrong part. */
#define CELL_PARTS 4
/* Entries of one commit: the store's limit. */
#define CELL_COMMIT_CHANGES_MAX 100
/* Of these, rows with the ends of unreadable jobs. */
#define CELL_UNREADABLE_ROWS_MAX 2
/* Jobs of one commit of progress. */
#define CELL_COMMIT_ITEMS_MAX 24
/* Size of one commit as sent; the store's limit is 1 MB. */
#define CELL_COMMIT_BYTES_MAX 960000
/* Size of a row, as the store counts it, and as sent in base64. */
#define CELL_ROW_BYTES_MAX 65536
#define CELL_ROW_SENT_BYTES_MAX 88000
/* Size of a job's row when it is accepted; it is written again with another
 * name of a field if its progress is split. */
#define CELL_JOB_ROW_BYTES_MAX (CELL_ROW_BYTES_MAX - 64)
/* Jobs of one commit: a job takes three of its 100 entries. */
#define CELL_COMMIT_JOBS_MAX 30
/* A commit, scan or worker call without a reply for this long counts as lost. A
 * reply takes some 10 ms, under 100 ms from a loaded store. */
#define CELL_STORE_TIMEOUT_MS 1500
#define CELL_WORKER_TIMEOUT_MS 700
/* A reply to a call that does not wait for changes comes within this time or
 * not at all: twice what the slowest stores take. */
#define CELL_REPLY_MAX_MS 600
/* A planner sends no orders once its claim has not been confirmed for this
 * long: longer than the store's usual outages of some 5 s, so that running
 * tasks survive them.  It stops sooner if the store serves other daemons. */
#define CELL_CLAIM_LEASE_MAX_MS 8000
/* After a pause of this length between two events the claim is read again
 * before any order is sent: the instance may have been frozen while another
 * daemon took over.  Well above the time between two ticks on a busy core. */
#define CELL_PAUSE_MAX_MS 700
/* Between two log lines of events that may come at once again. */
#define CELL_REPEATED_LOG_MS 1000
/* An order without a reply is carried out within this time or never. */
#define CELL_LATE_ORDERS_MS 15000
/* Run numbers of one term.  A planner does not know which numbers its
 * predecessor gave to starts that it does not know of, so that each term has a
 * range of its own: a start each second for a quarter of an hour. */
#define CELL_RUNS_PER_TERM 1024
/* Terms are counted up to here and then from 1 again, so that a run number is a
 * positive 32-bit integer: some 5,000 years at one claim a day. */
#define CELL_TERMS_MAX (INT32_MAX / CELL_RUNS_PER_TERM)
/* The highest run number that a planner gives; one above is of another writer.
 */
#define CELL_RUN_MAX INT32_MAX
/* Limit of runs at one worker, as tasks may have no size: its list of them is
 * read whole each second. */
#define CELL_WORKER_RUNS_MAX 4096
/* No task is started while so many starts have no reply: each takes some 3 KB
 * until then. */
#define CELL_STARTS_UNANSWERED_MAX 4096
/* Limit of a job's stages that have begun and not ended. */
#define CELL_UNFINISHED_STAGES_MAX 128
/* Keys of stored rows: the claim, the planner's heartbeat, and two fence rows
 * of each part, one renewed by each commit of progress, one written once a
 * term. */
#define CELL_CLAIM_KEY "claim"
#define CELL_HEARTBEAT_KEY "beat"
#define CELL_FENCE_KEY "fence"
#define CELL_TERM_KEY "term"

typedef struct CellPending CellPending;
typedef struct CellJob CellJob;
typedef struct CellStage CellStage;
typedef struct CellMember CellMember;
typedef struct CellTask CellTask;
typedef struct CellWorker CellWorker;
typedef struct CellBooking CellBooking;
typedef struct CellApprovalQuery CellApprovalQuery;
typedef struct CellBadRow CellBadRow;
typedef struct CellUnreadable CellUnreadable;
typedef struct CellService CellService;
typedef struct CellQueueCount CellQueueCount;
typedef struct CellShareWalk CellShareWalk;

/* Called once with the reply to a call; both arguments stay the caller's. */
typedef void (*CellReplyHandler) (MuxCell *cell,
                                  const CellPending *pending,
                                  const MuxCellReply *reply);

/**
 * struct CellPending - a call whose reply is outstanding; owned by
 *   MuxCell.pending
 * @call_id: key of the table
 * @on_reply: called with the reply
 * @sent_ms: when the call was sent
 * @term: dropped without a call of @on_reply once this term is over; 0: never
 * @part: index of the part the call is about
 * @context: value for @on_reply, whose meaning is its own
 * @worker: incarnation of the worker called
 * @task: START, STOP: the task meant
 * @run: START, STOP: its run
 * @asks_for_lease: START, RENEW: for a lease
 * @verb: of the call
 * @table: COMMIT: of its first change
 * @change_count: COMMIT: number of its entries
 * @bytes: COMMIT: upper bound of its size as sent
 * @wait_ms: RENEW: how long the worker may hold its reply back
 * @deadline: in MuxCell.call_deadlines: from then on it counts as lost, see
 *   pending.c
 * @proxied: another daemon makes it for this one
 * @peer: daemon this one makes the call for; "": none
 * @peer_addr: address of @peer
 * @whole_tokens: @peer takes texts that are not short, see token.h
 */
struct CellPending
{
  uint64_t call_id;
  CellReplyHandler on_reply;
  int64_t sent_ms;
  uint64_t term;
  uint32_t part;
  uint64_t context;
  char worker[MUX_NAME_LEN];
  MuxTaskRef task;
  uint32_t run;
  bool asks_for_lease;
  MuxCellVerb verb;
  MuxCellTable table;
  uint32_t change_count;
  size_t bytes;
  uint32_t wait_ms;
  MuxDeadline deadline;
  bool proxied;
  char peer[MUX_NAME_LEN];
  char peer_addr[MUX_ADDR_LEN];
  bool whole_tokens;
  UT_hash_handle hh;
};

/* Called for each row of a followed table, when it is read or changes. */
typedef void (*CellRowHandler) (MuxCell *cell, const MuxCellRow *row);

/**
 * struct CellFeed - keeps up with a stored table: reads it in full, then its
 *   feed of changes; embedded in MuxCell
 * @name: in the log
 * @table: the table followed
 * @on_row: called for each row
 * @on_reply: called for each reply before its rows; or NULL
 * @on_full_read: called when a full read begins (@ended false) and ends (true);
 *   or NULL
 * @term: the planner's term it belongs to; 0: runs in any role
 * @enabled: calls are made at all
 * @loaded: a full read has ended
 * @busy: a call is outstanding
 * @call_id: of the last call
 * @sent_ms: when it was sent
 * @wait_ms: how long its reply may wait for a change
 * @logs_loss: its loss is logged: it reads changes, and was sent while the
 * store did not fail
 * @known_until_ms: all changes made up to here are known; 0: none is
 * @lost: the loss of a call was logged and none was answered since
 * @by_part: rows lie in the parts of the jobs; else in part ""
 * @part: part a full read is at
 * @from: first key of its next page
 * @version: version that the next feed call continues from
 * @next_ms: no call before this
 */
typedef struct
{
  const char *name;
  MuxCellTable table;
  CellRowHandler on_row;
  void (*on_reply) (MuxCell *cell, const MuxCellReply *reply);
  void (*on_full_read) (MuxCell *cell, bool ended);
  uint64_t term;
  bool enabled;
  bool loaded;
  bool busy;
  uint64_t call_id;
  int64_t sent_ms;
  uint32_t wait_ms;
  bool logs_loss;
  int64_t known_until_ms;
  bool lost;
  bool by_part;
  uint32_t part;
  char from[MUX_ROW_NAME_LEN];
  uint64_t version;
  int64_t next_ms;
} CellFeed;

enum
{
  CELL_FEED_CONFIG,
  CELL_FEED_CLAIM,
  CELL_FEED_WORKERS, /* planner only */
  CELL_FEED_JOBS,    /* planner only; the takeover reads the parts itself */
  CELL_FEED_COUNT
};

/**
 * struct CellStartGate - what decides whether a planner may start tasks;
 *   embedded in MuxCell
 * @known_until_ms: all cancels committed up to here are known
 * @rows_max: most rows in one reply of the feed of jobs
 * @feed: delay of this feed's replies, beside the wait for changes
 * @feed_lost: its last call was
 * @order: delay of calls to workers, with their replies
 * @lost_worker: hash of the worker whose call was lost last
 * @lost_ms: when that was noticed; 0: never
 * @orders_lost_ms: when calls to two workers were last found lost; 0: never
 * @lost_order_ms: the longest that such a call took until then
 * @held: last state in the log: starts are held back
 * @held_since_ms: since when
 */
typedef struct
{
  int64_t known_until_ms;
  uint32_t rows_max;
  MuxDelay feed;
  bool feed_lost;
  MuxDelay order;
  uint64_t lost_worker;
  int64_t lost_ms;
  int64_t orders_lost_ms;
  int64_t lost_order_ms;
  bool held;
  int64_t held_since_ms;
} CellStartGate;

/**
 * struct CellSubmission - a submitted job until its caller is answered; owned
 *   by CellPart.submissions
 * @job: owned
 * @request_id: the caller's request, for the response
 * @value: encoded row of @job; owned
 * @sent_value: row in the last commit, which may name candidate workers, too;
 *   owned; NULL: not sent yet
 * @deadline_ms: when the caller is answered, stored or not
 * @outcome_unknown: a commit with the job, or the planner, did not answer: it
 *   may be stored, and is never reported as refused
 * @in_commit: in the outstanding commit
 * @relayed: waits for the reply of the planner, since @relayed_ms
 * @retry_ms: when the caller is to retry, if refused; 0: the default
 * @bytes: counted in CellJobMemory; 0: it is not
 * @peer: daemon that relayed the job here; "": submitted to this one
 * @peer_addr: address of @peer
 */
typedef struct CellSubmission CellSubmission;
struct CellSubmission
{
  MuxJobSpec *job;
  uint64_t request_id;
  MuxBlob *value;
  MuxBlob *sent_value;
  int64_t deadline_ms;
  bool outcome_unknown;
  bool in_commit;
  bool relayed;
  int64_t relayed_ms;
  uint32_t retry_ms;
  uint64_t bytes;
  char peer[MUX_NAME_LEN];
  char peer_addr[MUX_ADDR_LEN];
  CellSubmission *prev;
  CellSubmission *next;
};

/**
 * struct CellJobQuery - a caller's query about a job, or cancel of it, that
 *   needs calls; owned by MuxCell.job_queries
 * @request_id: the caller's request, for the response; key of the table
 * @caller: who asks; other callers' jobs do not exist for it
 * @verb: QUERY or CANCEL
 * @id: of the job; "": asks how many jobs of @queue wait
 * @queue: name of the queue
 * @deadline_ms: when the caller is answered in any case
 * @next_ms: no call before this
 * @phase: next call to make, see job_query.c
 * @version: CANCEL: of the job's row as read
 * @outcome_unknown: a commit of the cancel did not answer
 */
typedef struct CellJobQuery CellJobQuery;
struct CellJobQuery
{
  uint64_t request_id;
  CellCaller caller;
  MuxRequestVerb verb;
  char id[MUX_JOB_ID_LEN];
  char queue[MUX_NAME_LEN];
  int64_t deadline_ms;
  int64_t next_ms;
  uint32_t phase;
  uint64_t version;
  bool outcome_unknown;
  UT_hash_handle hh;
};

/**
 * struct CellMember - a daemon that sends hellos to the planner, or the planner
 *   itself; owned by MuxCell.members
 * @name: key of the table
 * @addr: where it listens for other daemons
 * @incarnation: of its process
 * @hello_number: number of its last hello
 * @first_contact_ms: when the first hello of that process was received
 * @last_contact_ms: when the last one was
 * @store_available: the store answers it, by its last hello
 * @limits: of its instance
 * @round_trip_ms: of its hellos, less the wait there, as it reports; 0: it does
 *   not
 * @loop_ms: how long its events wait
 * @stopping: it is shutting down
 * @wall_known: @wall_offset_ms is known
 * @wall_offset_ms: its time of day minus this daemon's monotonic clock
 * @query_number: approval query it is putting; 0: none
 * @query_cost_ms: expected duration of that
 * @no_query_until_ms: no query is sent to it before this
 * @is_free: puts no query, and is in MuxCell.free_members
 * @whole_tokens_incarnation: its process that takes texts that are not short,
 *   see token.h; 0: none is known
 */
struct CellMember
{
  char name[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  uint64_t hello_number;
  int64_t first_contact_ms;
  int64_t last_contact_ms;
  bool store_available;
  MuxAbilityLimits limits;
  int64_t round_trip_ms;
  int64_t loop_ms;
  bool stopping;
  bool wall_known;
  int64_t wall_offset_ms;
  uint64_t query_number;
  uint32_t query_cost_ms;
  int64_t no_query_until_ms;
  bool is_free;
  uint64_t whole_tokens_incarnation;
  CellMember *free_prev;
  CellMember *free_next;
  UT_hash_handle hh;
};

/* Workers named in an approval query: at least, */
#define CELL_CANDIDATES_MIN 6
/* and at most, the service's limit. */
#define CELL_CANDIDATES_MAX 100
/* At least this many for a step that is not ready yet: other workers than now
 * may have room by then. */
#define CELL_CANDIDATES_AHEAD_MIN 12

/**
 * struct CellBadRowLines - log lines about unreadable rows of a table
 * @since_ms: begin of the second that @logged counts
 * @logged: lines since then
 * @left_out: rows without a line since the last one that has one
 */
typedef struct
{
  int64_t since_ms;
  uint32_t logged;
  uint32_t left_out;
} CellBadRowLines;

/**
 * struct CellTokens - checkpoints and proofs that the planner keeps
 * @bytes: memory that they take
 * @next_log_ms: no log line about a dropped one before this
 * @next_sweep_ms: no search for expired proofs before this
 */
typedef struct
{
  uint64_t bytes;
  int64_t next_log_ms;
  int64_t next_sweep_ms;
} CellTokens;

/**
 * struct CellApproval - whether one worker may run a stage; owned by the stage
 * @slot: slot of the worker
 * @queried: a query has named the worker
 * @approved: the worker may run the stage
 * @used: a start with a proof was sent to it
 * @proof: shown to the worker with a start, see cell_token_set(); owned; NULL:
 *   none
 * @proof_expires_ms: the worker accepts @proof up to here
 * @in_commit: part of the outstanding commit of the job's progress
 * @stored: recorded, so that a successor knows that runs may be there
 */
typedef struct
{
  uint32_t slot;
  bool queried;
  bool approved;
  bool used;
  MuxBlob *proof;
  int64_t proof_expires_ms;
  bool in_commit;
  bool stored;
} CellApproval;

/**
 * struct CellApprovalQuery - an approval query in flight; owned by
 *   MuxCell.approval_queries
 * @number: key of the table
 * @step: stage it is about; its task index is unused
 * @candidate_count: entries of @slot
 * @slot: slots of the workers named; owned
 * @is_renewal: all of them are approved; only new proofs are wanted
 * @sent_ms: when it was sent
 * @expected_by_ms: a reply by then is in the usual time
 * @expires_ms: the query counts as lost from then on
 * @querier: name of the daemon that puts it
 */
struct CellApprovalQuery
{
  uint64_t number;
  MuxTaskRef step;
  uint32_t candidate_count;
  uint32_t *slot;
  bool is_renewal;
  int64_t sent_ms;
  int64_t expected_by_ms;
  int64_t expires_ms;
  char querier[MUX_NAME_LEN];
  UT_hash_handle hh;
};

/**
 * enum CellTaskState - state of a task
 *
 * WAITING to STARTING with a start, to RUNNING once the worker confirms it, to
 * DONE when a run ends well.  STARTING or RUNNING to STOPPING when a stop is
 * wanted; any of these back to WAITING when the run is known to be gone.  A run
 * that a worker lists and that is not known here takes its task from WAITING to
 * RUNNING.  DONE is final, and reached from any state; see
 * cell_task_set_state().
 */
typedef enum
{
  CELL_TASK_WAITING,
  CELL_TASK_STARTING, /* its start is outstanding */
  CELL_TASK_RUNNING,
  CELL_TASK_STOPPING, /* to be stopped, or its start went unanswered */
  CELL_TASK_DONE,
} CellTaskState;

/* Lost runs kept of a task: above the limit after which it is not started
 * again. */
#define CELL_LOSSES_MAX 8

/* Entries of the ring of workers that went down. */
#define CELL_DOWN_MAX 1024

/**
 * struct CellDownEvent - a worker became unreachable; in the ring
 *   MuxCell.down_events
 * @addr: hash of its address
 * @rack: hash of its rack's name; 0: none
 * @from_ms: it was up at this moment,
 * @to_ms: and down by this one
 * @at_ms: when this was recorded
 */
typedef struct
{
  uint64_t addr;
  uint64_t rack;
  int64_t from_ms;
  int64_t to_ms;
  int64_t at_ms;
} CellDownEvent;

/**
 * struct CellLossSpan - while a lost run was at its worker
 * @from_ms: it was there from this moment on at the earliest
 * @to_ms: the worker was down by then; 0: not known, a predecessor lost the run
 * @rack: hash of the worker's rack; 0: none
 * @rack_workers: workers listed in that rack then
 * @workers: workers listed in all then
 */
typedef struct
{
  int64_t from_ms;
  int64_t to_ms;
  uint64_t rack;
  uint32_t rack_workers;
  uint32_t workers;
} CellLossSpan;

/**
 * struct CellLoss - a run that was, or may have been, lost with its worker;
 *   owned by its task, stored with the job's progress
 * @run: its number; 0: not known
 * @outcome_unknown: only its start is recorded: it may not be lost
 * @from_predecessor: recorded by a planner of an earlier term
 * @began: the worker confirmed that the run had begun
 * @worker_ended: that incarnation of the worker has ended; else it is
 *   unreachable
 * @in_outage: so many other workers went down at the time that the loss may
 *   not be the task's doing
 * @ran_ms: how long the run was reported for, at least
 * @span: when it was at the worker
 * @at_wall_ms: when it was lost
 * @worker: incarnation of the worker
 * @addr: address of the worker
 */
typedef struct
{
  uint32_t run;
  bool outcome_unknown;
  bool from_predecessor;
  bool began;
  bool worker_ended;
  bool in_outage;
  int64_t ran_ms;
  CellLossSpan span;
  int64_t at_wall_ms;
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
} CellLoss;

/**
 * struct CellLosses - lost runs of a task, counted by what became of their
 *   workers
 * @crashed: the worker ended while the run was there
 * @unconfirmed: the worker ended, and may not have begun the run
 * @unreachable: the worker may still run it
 * @unreachable_from_predecessor: those of @unreachable that a predecessor lost
 * @crashed_in_outages: as @crashed, lost in an outage and not counted there
 * @unreachable_in_outages: as @unreachable, in an outage
 * @unconfirmed_in_outages: as @unconfirmed, in an outage
 * @from_predecessor: those of all that a predecessor lost
 */
typedef struct
{
  uint32_t crashed;
  uint32_t unconfirmed;
  uint32_t unreachable;
  uint32_t unreachable_from_predecessor;
  uint32_t crashed_in_outages;
  uint32_t unreachable_in_outages;
  uint32_t unconfirmed_in_outages;
  uint32_t from_predecessor;
} CellLosses;

/**
 * struct CellTask - a task of a stage that was started; owned by the stage
 * @stage: the stage
 * @index: of the task in it
 * @state: see enum CellTaskState
 * @last_run: highest run number given to it
 * @failures: failed runs
 * @failed_slot: slot + 1 of the worker of the last failed run; 0: none
 * @loss_count: entries of @loss
 * @loss: lost runs; owned
 * @booking: the run that is, or may be, at a worker; NULL: none
 * @checkpoint: what the next run resumes from, see cell_token_set(); owned;
 *   NULL: nothing
 * @is_changed: in MuxCell.changed_tasks
 */
struct CellTask
{
  CellStage *stage;
  uint32_t index;
  CellTaskState state;
  uint32_t last_run;
  MuxFailedRuns failures;
  uint32_t failed_slot;
  uint32_t loss_count;
  CellLoss *loss;
  CellBooking *booking;
  MuxBlob *checkpoint;
  bool is_changed;
  CellTask *changed_prev;
  CellTask *changed_next;
};

/**
 * struct CellBeside - how long runs of a kind that have ended ran beside a
 *   booking; embedded in it
 * @kind: see cell_interference_kind(); 0: entry unused
 * @ms: total time of these runs
 */
typedef struct
{
  uint64_t kind;
  int64_t ms;
} CellBeside;

/* CellBooking.pace of a run whose pace is not known. */
#define CELL_PACE_UNKNOWN UINT32_MAX

/**
 * struct CellBooking - room held at a worker by one run of a task, from its
 *   start until the run is known to be gone; owned by the worker's list
 * @task: the task
 * @worker: the worker
 * @run: number of the run
 * @booked_ms: when the start was sent, or a run not known here was first listed
 * @first_report_ms: when the worker first confirmed the run; 0: it has not
 * @percent: of the work done, as last listed
 * @usage: as last listed, see MuxRunReport
 * @progressed_ms: when @percent changed last
 * @next_stop_ms: when a stop is to be sent, or sent again; 0: none is wanted
 * @start_until_ms: the worker's clock from which on it refuses the start; 0:
 *   not known
 * @stop_clock_ms: the worker's clock when it confirmed the stop; 0: it has not
 * @stop_since_ms: since when a stop is wanted
 * @start_unanswered: its start was, and no list has shown the run since
 * @pace: share of its speed that it works at, in percent, or
 *   CELL_PACE_UNKNOWN
 * @pace_sent: pace in the last order, or CELL_PACE_UNKNOWN
 * @next_pace_ms: when its pace is to be ordered, if not before; INT64_MAX:
 * only if another one is wanted
 * @pace_repeat_until_ms: an earlier order may be carried out until then
 * @slowed: its pace was ordered: its time teaches nothing
 * @resumed: the run was started from a checkpoint
 * @speed_learned: the worker's speed was learned from its progress, or can't be
 *   learned from the run
 * @began: the worker confirmed that the run has begun
 * @was_listed: named in some list of this incarnation of the worker
 * @listed: named in its last list
 * @previous_incarnation: incarnation that the start was sent to, if not
 *   @worker; owned; NULL: none
 * @previous_span: with @previous_incarnation: when the run was there
 * @kind: of its task, see cell_interference_kind()
 * @beside: kinds that ran beside it
 */
struct CellBooking
{
  CellTask *task;
  CellWorker *worker;
  uint32_t run;
  int64_t booked_ms;
  int64_t first_report_ms;
  uint32_t percent;
  uint32_t usage;
  int64_t progressed_ms;
  int64_t next_stop_ms;
  int64_t start_until_ms;
  int64_t stop_clock_ms;
  int64_t stop_since_ms;
  bool start_unanswered;
  uint32_t pace;
  uint32_t pace_sent;
  int64_t next_pace_ms;
  int64_t pace_repeat_until_ms;
  bool slowed;
  bool resumed;
  bool speed_learned;
  bool began;
  bool was_listed;
  bool listed;
  char *previous_incarnation;
  CellLossSpan previous_span;
  uint64_t kind;
  CellBeside beside[MUX_INTERFERENCE_BESIDE_MAX];
  CellBooking *prev;
  CellBooking *next;
};

/**
 * struct CellHold - room at a worker held for a gang about to start; owned by
 *   the gang's stage
 * @worker: the worker
 * @tasks: members that the room is for
 */
typedef struct
{
  CellWorker *worker;
  uint32_t tasks;
} CellHold;

/**
 * struct CellOpening - room that becomes free at a worker for members of a gang
 * @worker: the worker
 * @from_ms: expected to be free from then on
 * @tasks: members that fit, beyond those of earlier openings there
 */
typedef struct
{
  CellWorker *worker;
  int64_t from_ms;
  uint32_t tasks;
} CellOpening;

/* Gangs that may have a reservation at one worker. */
#define CELL_RESERVATIONS_MAX 6

/**
 * struct CellReservation - room at a worker reserved for a waiting gang; owned
 *   by the worker
 * @stage: the gang
 * @size: how much room
 * @from_ms: from when on
 * @is_stale: made in the last pass and not renewed in this one: no longer
 *   respected, remembered until the pass ends
 * @is_kept: made in the last pass and still respected, until the stage is
 *   scanned
 */
typedef struct
{
  CellStage *stage;
  MuxSize size;
  int64_t from_ms;
  bool is_stale;
  bool is_kept;
} CellReservation;

/**
 * struct CellWorkerScan - cursor over the workers considered for a step
 * @slot: next slot
 * @slots_left: slots left, used or not
 * @workers_left: scan budget left
 * @is_partial: the scan does not cover all workers
 */
typedef struct
{
  uint32_t slot;
  uint32_t slots_left;
  uint32_t workers_left;
  bool is_partial;
} CellWorkerScan;

/* CellStage.data_centre of a stage that may be placed anywhere. */
#define CELL_ANY_DATA_CENTRE 0

/**
 * struct CellNode - links of a member of a CellTree, embedded in it
 */
typedef struct CellNode CellNode;
struct CellNode
{
  CellNode *parent;
  CellNode *child[2];
  uint32_t priority;
};

/**
 * struct CellTree - an ordered set (a treap); empty if all but @before is zero
 * @root: NULL: the set is empty
 * @before: whether the first argument sorts before the second; must not change
 *   for two members
 * @random_state: of the generator of the nodes' priorities
 */
typedef struct
{
  CellNode *root;
  bool (*before) (const CellNode *, const CellNode *);
  uint64_t random_state;
} CellTree;

/**
 * struct CellPlanOrder - stages with waiting tasks, in planning order; embedded
 *   in MuxCell, which does not own the stages
 * @visited: stages scanned since they became ready
 * @unvisited: the others, in the same order
 * @urgent: those of both that are in urgent queues
 * @by_rank_expiry: those of both whose rank will change, by the time of that
 * @front_cursor: position of the current pass in @visited; NULL: at the end
 * @round_cursor: position of the current round in @visited; NULL: at the end
 * @urgent_cursor: position of the current pass in @urgent; NULL: at the end
 * @last_number: last CellStage.number given out
 */
typedef struct
{
  CellTree visited;
  CellTree unvisited;
  CellTree urgent;
  CellTree by_rank_expiry;
  CellStage *front_cursor;
  CellStage *round_cursor;
  CellStage *urgent_cursor;
  uint64_t last_number;
} CellPlanOrder;

/**
 * enum CellRank - main planning order, by what an end of the step is worth if
 *   it starts now
 */
typedef enum
{
  CELL_RANK_STARVED, /* a long-running step that has not run for a while */
  CELL_RANK_IN_TIME,
  CELL_RANK_LATE,
  CELL_RANK_WORTHLESS, /* worth nothing; still run, as it was accepted */
} CellRank;

/**
 * enum CellBlockedOn - what keeps a step from starting
 */
typedef enum
{
  CELL_BLOCKED_ON_TURN,    /* not scanned yet */
  CELL_BLOCKED_ON_QUERIER, /* no daemon is free to put its approval query */
  CELL_BLOCKED_ON_ANSWER,  /* its approval query is in flight */
  CELL_BLOCKED_ON_PROOF,   /* proofs of approved workers are being renewed */
  CELL_BLOCKED_ON_RECORD,  /* its approvals are not stored yet */
  CELL_BLOCKED_ON_ROOM,
  CELL_BLOCKED_ON_QUOTA, /* its workspace's quota is used up */
  CELL_BLOCKED_ON_COUNT
} CellBlockedOn;

/**
 * struct CellStepWait - what a step was blocked on since it became ready, for
 *   the log; embedded in its stage
 * @blocked_on: what it is blocked on now
 * @since_ms: since when
 * @blocked_ms: time blocked on each before that
 * @queries: approval queries sent for it
 * @candidates: workers named in these
 * @approved: workers approved in their replies
 * @used: approved workers that a start was sent to
 */
typedef struct
{
  CellBlockedOn blocked_on;
  int64_t since_ms;
  int64_t blocked_ms[CELL_BLOCKED_ON_COUNT];
  uint32_t queries;
  uint32_t candidates;
  uint32_t approved;
  uint32_t used;
} CellStepWait;

/* Bytes of the key of a row of a split progress. */
#define CELL_PROGRESS_KEY_LEN 80

/**
 * struct CellProgressRow - a row of a job's split progress
 * @hash: of its value in the store; 0: not known, or it is not there
 * @sent_hash: with @in_commit: the same after the commit; 0: it is removed
 * @pass: the last pass that found something to store in it
 * @known: it is, or may be, in the store
 * @in_commit: in the outstanding commit
 */
typedef struct
{
  uint64_t hash;
  uint64_t sent_hash;
  uint32_t pass;
  bool known;
  bool in_commit;
} CellProgressRow;

/**
 * struct CellStrayRow - a row of a job's split progress whose stage is not
 *   there: it is to be removed; owned by the job
 * @key: in the store; key of the table
 * @row: see struct CellProgressRow
 */
typedef struct
{
  char key[CELL_PROGRESS_KEY_LEN];
  CellProgressRow row;
  UT_hash_handle hh;
} CellStrayRow;

/**
 * struct CellStage - one step of one occurrence of a job; owned by the job
 *
 * The stage is in the plan while it is @ready: the steps before it are done,
 * its occurrence is due and a task waits.
 * @job: the job
 * @spec: the step, in the job's spec
 * @occurrence: index of the occurrence
 * @step: index of the step
 * @ready: see above
 * @ready_ms: since when
 * @scan_round: planning round that scanned it last; 0: scan it again in any
 * @scanned_ms: when it was scanned last
 * @is_unscanned: counted in MuxCell.unscanned_steps
 * @logged_ms: when the log last said that it waits; 0: never
 * @is_unvisited: in the plan, and no pass has scanned it since it became ready
 * @number: tie-break in planning order
 * @rank_expires_ms: when @rank changes; INT64_MAX: never
 * @plan_node: in CellPlanOrder.visited or unvisited
 * @urgent_node: in CellPlanOrder.urgent
 * @rank_node: in CellPlanOrder.by_rank_expiry
 * @has_reservation: room is reserved for it
 * @is_in_reserving: in MuxCell.reserving_stages
 * @reserving_counted_ms: the pass of that moment has counted its reservations
 * @scan_slot: slot that its next partial scan begins with; 0: none yet
 * @service: hash of the pool of workers that runs it
 * @data_centre: hash of the data centre its tasks are placed in, or
 *   CELL_ANY_DATA_CENTRE
 * @proofs_expire_ms: all proofs for it have expired by then
 * @tasks_left: tasks not done
 * @last_run: gang: highest run number given to it
 * @expected_ms: expected duration of a run at speed one
 * @step_runs: its latest runs, to learn speeds from; owned; NULL: none yet
 * @after_ms: the same of the longest chain of steps that depend on it, with
 *   their approval queries
 * @fastest_ms: expected duration of a run on the pool's fast workers
 * @speed_wait_since_ms: when one of its tasks first waited for a faster worker;
 *   before @ready_ms: none has
 * @is_deferred: in MuxCell.deferred_stages
 * @gang_speed_milli: gang: least speed chosen for its workers; 0: none chosen,
 *   or the pool's workers are alike
 * @gang_speed_until_ms: the choice is kept until then
 * @no_names_until_ms: gang: no query adds faster workers before this
 * @gang_in_time: it is expected to end in time there, with margin
 * @gang_is_late: it is expected to end late there
 * @failures: gang: failed runs
 * @loss_changes: counts changes of its tasks' losses
 * @losses_written: value of @loss_changes in the outstanding commit
 * @losses_stored: value of @loss_changes in the store
 * @predecessor_runs_lost: a worker has ended that may have run tasks of it for
 *   a predecessor
 * @approval_count: entries of @approval
 * @approval_capacity: entries allocated
 * @approval: by slot of the worker; owned
 * @recorded_count: entries of @recorded
 * @recorded: workers that a predecessor recorded as approved; owned
 * @recorded_added: these are among @approval
 * @query_pending: an approval query about it is in flight
 * @queried_ms: when the last one was sent
 * @lost_queries: queries lost since one was answered in the usual time
 * @no_query_until_ms: no query about it before this
 * @wait: what it is blocked on
 * @deadline_ms: when its occurrence should have ended
 * @worthless_ms: an end after this is worth nothing
 * @latest_start_ms: latest start that meets @deadline_ms
 * @rank: its rank in planning order
 * @share_class: see mux_share_class(); 0: its workspace is within its share
 * @hold_count: entries of @hold
 * @hold: gang: room held while its proofs are renewed; owned
 * @holds_expire_ms: when that room is released
 * @task: table of its tasks by index, see stage_tasks.h; owned; NULL: none has
 *   an object
 * @task_objects: tasks with an object
 * @all_done: without a table: all tasks are done; else none was started
 * @split_row: its rows of a split progress, those of tasks first; owned; NULL:
 *   none is known
 * @split_known: of these, those that are or may be in the store
 */
struct CellStage
{
  CellJob *job;
  const MuxStepSpec *spec;
  uint32_t occurrence;
  uint32_t step;
  bool ready;
  int64_t ready_ms;
  uint64_t scan_round;
  int64_t scanned_ms;
  bool is_unscanned;
  int64_t logged_ms;
  bool is_unvisited;
  uint64_t number;
  int64_t rank_expires_ms;
  CellNode plan_node;
  CellNode urgent_node;
  CellNode rank_node;
  bool has_reservation;
  bool is_in_reserving;
  int64_t reserving_counted_ms;
  uint32_t scan_slot;
  uint64_t service;
  uint64_t data_centre;
  int64_t proofs_expire_ms;
  uint32_t tasks_left;
  uint32_t last_run;
  uint32_t expected_ms;
  MuxStepRuns *step_runs;
  uint32_t after_ms;
  uint32_t fastest_ms;
  int64_t speed_wait_since_ms;
  bool is_deferred;
  uint32_t gang_speed_milli;
  int64_t gang_speed_until_ms;
  int64_t no_names_until_ms;
  bool gang_in_time;
  bool gang_is_late;
  MuxFailedRuns failures;
  uint32_t loss_changes;
  uint32_t losses_written;
  uint32_t losses_stored;
  bool predecessor_runs_lost;
  uint32_t approval_count;
  uint32_t approval_capacity;
  CellApproval *approval;
  uint32_t recorded_count;
  char (*recorded)[MUX_NAME_LEN];
  bool recorded_added;
  bool query_pending;
  int64_t queried_ms;
  uint32_t lost_queries;
  int64_t no_query_until_ms;
  CellStepWait wait;
  int64_t deadline_ms;
  int64_t worthless_ms;
  int64_t latest_start_ms;
  CellRank rank;
  uint32_t share_class;
  uint32_t hold_count;
  CellHold *hold;
  int64_t holds_expire_ms;
  CellTask **task;
  uint32_t task_objects;
  bool all_done;
  CellProgressRow *split_row;
  uint32_t split_known;
  CellStage *reserving_prev;
  CellStage *reserving_next;
  CellStage *deferred_prev;
  CellStage *deferred_next;
};

/**
 * struct CellProgressSplit - how a job's progress is written that does not fit
 *   into one row; embedded in the job
 *
 * A pass writes all rows that have changed, in one commit or several.  The
 * first pass ends with the row under the job's id, which replaces the progress
 * in one row.
 * @begun: its progress is written so
 * @stored: and is read so: the first pass has ended
 * @may_be_stored: or a commit that would end it went unanswered
 * @head: row under the job's id
 * @stray: rows without a stage; owned
 * @known: rows that are, or may be, in the store, without @head
 * @pass: number of the last pass
 * @in_pass: it has not ended
 * @pass_seq: it stores the changes up to this number, see MuxCell.change_seq
 * @pass_at: position of its next row
 * @sent_at: the same once the outstanding commit is done
 */
typedef struct
{
  bool begun;
  bool stored;
  bool may_be_stored;
  CellProgressRow head;
  CellStrayRow *stray;
  uint32_t known;
  uint32_t pass;
  bool in_pass;
  uint64_t pass_seq;
  uint64_t pass_at;
  uint64_t sent_at;
} CellProgressSplit;

/**
 * enum CellOrigin - how the planner learned of a job
 */
typedef enum
{
  CELL_ORIGIN_LOAD,   /* read at the takeover */
  CELL_ORIGIN_FEED,   /* stored by another daemon since */
  CELL_ORIGIN_COMMIT, /* stored by this planner */
} CellOrigin;

/**
 * struct CellJob - a job that the planner runs; owned by MuxCell.jobs
 *
 * It is queued until a task has @started, then active.  @cancelled, @failed or
 * the end of all tasks lead to @ended once no run holds room any more; it is
 * removed once its end is stored.
 * @id: key of the table
 * @spec: owned
 * @workspace: borrowed; NULL: it has none
 * @payload: sent with each start; holds a reference
 * @part: index of its part
 * @version: of its row
 * @accepted_ms: when it was accepted; may be before this daemon started
 * @deadline_ms: promised end
 * @worthless_ms: an end after this is worth nothing
 * @predates_term: its row is older than the part's fence of this term: a
 *   predecessor may have started its tasks anywhere
 * @origin: see enum CellOrigin
 * @began_early: its last occurrence begun is not due yet
 * @started: some task has run
 * @cancelled: by its caller
 * @failed: a task has used up its attempts
 * @ended: only its end remains to be stored
 * @end_state: with @ended: how it ended
 * @dirty: in CellPart.dirty: something of it is to be stored
 * @watched: in MuxCell.watched
 * @in_loss_list: in MuxCell.loss_jobs
 * @counted_waiting: counted in its queue's CellQueueCount
 * @in_commit: in the outstanding commit of its part
 * @rejections: how often the store rejected a commit of its changes alone
 * @not_storable: its changes are not committed until it has ended
 * @end_stored: its end is stored
 * @dirty_again: it changed after the outstanding commit was made
 * @whole_in_commit: that stores all its changes up to the commit, of a split
 *   progress those up to the pass
 * @change_seq: number of its last change
 * @progress_stored: it has a progress row
 * @split: of its progress
 * @attempts_used: a predecessor recorded that it fails
 * @stores_counts: failed runs of some task are stored as a count, which the
 *   previous version can't read
 * @marked_row_in_commit: the outstanding commit of its part stores its row as
 *   cell_job_row_mark() does
 * @marked_row_stored: it is stored so
 * @progress_held: that is not stored now, see cell_attempts_exceed_row()
 * @oversized_failures: tasks and gangs with more ranges of failed runs than a
 *   row has room for
 * @progress_unreadable: the progress row could not be read
 * @unreadable_ends_stored: it has a row of ends from the time when its own row
 *   was unreadable
 * @bytes: counted in CellJobMemory
 * @booking_count: runs that hold room
 * @loss_count: lost runs of all its tasks
 * @next_occurrence: index of the next occurrence to begin
 * @first_occurrence: those before it are done, and have no stages any more
 * @stage_count: entries of @stage
 * @stage: stages of the occurrences from there on that have begun, in order;
 *   owned
 */
struct CellJob
{
  char id[MUX_JOB_ID_LEN];
  MuxJobSpec *spec;
  CellWorkspace *workspace;
  MuxBlob *payload;
  uint32_t part;
  uint64_t version;
  int64_t accepted_ms;
  int64_t deadline_ms;
  int64_t worthless_ms;
  bool predates_term;
  CellOrigin origin;
  bool began_early;
  bool started;
  bool cancelled;
  bool failed;
  bool ended;
  MuxJobState end_state;
  bool dirty;
  bool watched;
  bool in_loss_list;
  bool counted_waiting;
  bool in_commit;
  uint32_t rejections;
  bool not_storable;
  bool end_stored;
  bool dirty_again;
  bool whole_in_commit;
  uint64_t change_seq;
  bool progress_stored;
  CellProgressSplit split;
  bool attempts_used;
  bool stores_counts;
  bool marked_row_in_commit;
  bool marked_row_stored;
  bool progress_held;
  uint32_t oversized_failures;
  bool progress_unreadable;
  bool unreadable_ends_stored;
  uint64_t bytes;
  uint32_t booking_count;
  uint32_t loss_count;
  uint32_t next_occurrence;
  uint32_t first_occurrence;
  uint32_t stage_count;
  CellStage **stage;
  CellJob *dirty_prev;
  CellJob *dirty_next;
  CellJob *watched_prev;
  CellJob *watched_next;
  CellJob *loss_list_prev;
  CellJob *loss_list_next;
  UT_hash_handle hh;
};

/**
 * struct CellUnreadableEnd - end of a run of an unreadable job; owned by that
 * @task: the task; its job field is unused
 * @run: number of the run
 * @end: how it ended
 * @checkpoint: what it saved; holds a reference; NULL: nothing
 */
typedef struct
{
  MuxTaskRef task;
  uint32_t run;
  MuxRunEnd end;
  MuxBlob *checkpoint;
} CellUnreadableEnd;

/**
 * struct CellUnreadable - a job whose row can't be read; owned by
 *   MuxCell.unreadable
 *
 * It becomes a CellJob once its row can be read: first @spec is set, then the
 * job's progress rows are read.  Its ends alone are removed if its row is gone
 * for as long as ended jobs are kept.
 * @id: key of the table
 * @part: index of its part
 * @has_row: its row exists; else only ends of it are known
 * @cancelled: the store has a cancel of it
 * @stored_wall_ms: when its ends were last stored; 0: they are not
 * @overflow: some of its ends were not kept
 * @dirty: its ends, or their removal, are to be stored
 * @in_commit: in the outstanding commit of its part
 * @dirty_again: it changed after that commit was made
 * @expired: its stored ends are to be removed
 * @end_count: entries of @end
 * @saved_bytes: size of their checkpoints in the row
 * @end: owned
 * @spec: the job, now readable, until its progress is read; owned; NULL: none
 * @version: with @spec: of the job's row
 * @reading: the call that reads its progress is outstanding
 * @row_count: entries of @row
 * @row: progress rows of the pages read so far; owned
 * @from: first key of the next page; "": the first page
 * @next_ms: no such call before this
 */
struct CellUnreadable
{
  char id[MUX_JOB_ID_LEN];
  uint32_t part;
  bool has_row;
  bool cancelled;
  int64_t stored_wall_ms;
  bool overflow;
  bool dirty;
  bool in_commit;
  bool dirty_again;
  bool expired;
  uint32_t end_count;
  uint32_t saved_bytes;
  CellUnreadableEnd *end;
  MuxJobSpec *spec;
  uint64_t version;
  bool reading;
  uint32_t row_count;
  MuxCellRow *row;
  char from[MUX_ROW_NAME_LEN];
  int64_t next_ms;
  UT_hash_handle hh;
};

/**
 * struct CellEndedJob - a job that ended lately under this planner; owned by
 *   MuxCell.ended_jobs, in the order of the ends
 * @id: key of the table
 * @workspace: "": it had none
 * @state: how it ended
 * @ended_ms: when it was removed from MuxCell.jobs
 */
typedef struct
{
  char id[MUX_JOB_ID_LEN];
  char workspace[MUX_NAME_LEN];
  MuxJobState state;
  int64_t ended_ms;
  UT_hash_handle hh;
} CellEndedJob;

/**
 * enum CellRosterState - what the stored roster may say of a worker
 */
typedef enum
{
  CELL_ROSTER_NONE = 1,        /* no entry: a successor does not contact it */
  CELL_ROSTER_NAMED = 2,       /* its address: it may run something */
  CELL_ROSTER_WITH_EXPIRY = 4, /* and when its lease is certainly over */
} CellRosterState;

/* Ended incarnations of one worker whose late calls are kept apart. */
#define CELL_LATE_CALLS_MAX 4

/**
 * struct CellLateCalls - calls meant for an incarnation that has ended, see
 *   late_calls.h
 * @started_ms: when that incarnation started: only later ones are concerned
 * @until_ms: they may arrive until then
 * @own: they are of this planner
 */
typedef struct
{
  uint64_t started_ms;
  int64_t until_ms;
  bool own;
} CellLateCalls;

/**
 * struct CellIncarnations - the known incarnations of one worker; owned by
 *   MuxCell.incarnations
 * @id: of the worker; key of the table
 * @incarnation: list of them
 * @late_count: entries of @late
 * @late: calls to incarnations that have ended
 * @late_changes: counts the changes of @late
 * @late_sent: value of @late_changes in the outstanding commit
 * @late_stored: value of @late_changes in the store
 * @late_in_commit: the outstanding commit of the roster holds their row
 * @late_in_store: the store may hold their row
 */
typedef struct
{
  char id[MUX_NAME_LEN];
  CellWorker *incarnation;
  uint32_t late_count;
  CellLateCalls late[CELL_LATE_CALLS_MAX];
  uint32_t late_changes;
  uint32_t late_sent;
  uint32_t late_stored;
  bool late_in_commit;
  bool late_in_store;
  UT_hash_handle hh;
} CellIncarnations;

/**
 * enum CellLeaseSource - call, or assumption, that the furthest expiry of a
 *   lease comes from
 */
typedef enum
{
  CELL_LEASE_NONE,
  CELL_LEASE_START,
  CELL_LEASE_RENEWAL,
  CELL_LEASE_PREDECESSOR, /* a predecessor's last order */
  CELL_LEASE_STALE,       /* a late call to an earlier incarnation */
} CellLeaseSource;

/**
 * struct CellWorker - one incarnation of a worker, as the planner sees it;
 *   owned by MuxCell.workers
 *
 * It is called and its lease renewed once it is @confirmed; what a predecessor
 * started there is known from @runs_known on.  It may become unreachable and
 * come back; it is @dead once it has ended or its lease is over.
 * @info: as the platform lists it; its id is the key of the table
 * @incarnations: all incarnations of the same worker
 * @started_ms: when it started, by its own clock, since 1970; 0: not known
 * @service: hash of its pool
 * @data_centre: hash of its data centre's name
 * @slot: its index in MuxCell.worker_by_slot; not reused within a term
 * @listed: in the platform's list of workers
 * @unlisted_ms: since when it is missing there
 * @leaves_at_ms: it stays at least until then; 0: it does not leave, or not at
 *   a known time
 * @roster: set of CellRosterState: what the stored roster may say of it
 * @roster_previous: the same without the outstanding commit
 * @roster_pending: what that commit writes; 0: nothing about this worker
 * @unreachable_since_ms: 0: it is reachable
 * @down_before_ms: with @unreachable_since_ms: it went down before this
 * @stored_expiry_ms: when its lease is over, as a predecessor recorded; 0: it
 *   did not
 * @lease_over_since_ms: its lease was over by this moment; 0: it is not
 * @confirmed: it has answered this planner
 * @runs_known: all runs that a predecessor started there are known: it has
 *   listed all its ends, see MUX_ENDS_PER_LIST
 * @list_full_since_ms: when its first list left ends out; 0: none did, or
 *   @runs_known
 * @reachable: it answered the last call
 * @dead: nothing of ours runs there any more
 * @replaced: another incarnation answers at its address
 * @no_queue_logged: the log said that no queue names its service
 * @clock_ms: its clock, as last reported
 * @clock_at_ms: when that report arrived
 * @lease_expires_ms: furthest lease requested from it, on its clock
 * @lease_raised_ms: when @lease_expires_ms was set
 * @lease_source: by what
 * @unanswered_sent_ms: when the last call that asked for a lease and was given
 *   up without a reply was sent; 0: none
 * @of_predecessor: the roster named it when this planner read that
 * @acked: its ends up to this number are stored
 * @acked_sent: and an acknowledgement of those up to this one has been sent
 * @ends_seen: its ends up to this number are known here
 * @ends_change_seq: these are stored once all parts have stored up to this
 *   change, see MuxCell.change_seq
 * @renewing: a RENEW call is outstanding
 * @next_renew_ms: when the next one is due
 * @avoid_until_ms: no task is placed there before this
 * @backoff_ms: how long it was avoided after a start that was refused or
 *   unanswered; 0: the last start was accepted
 * @orders: limit of orders to it
 * @unconnected: last state in the log: its connections are used up
 * @pacing: pace that its best-effort tasks work at
 * @paced_count: these
 * @pace_due_ms: no order to them is due before this
 * @pace_ordered_ms: when that pace was last chosen anew
 * @pace_changed_ms: when a run's pace was last confirmed as another one
 * @tail_percent: tail of the serving task nearest to its target, in percent of
 *   that, as last listed
 * @over_target_since_ms: since when that is over its target; 0: it is not
 * @direct_until_ms: called by this daemon itself until then
 * @reroutes: counts changes of its route; selects the proxy
 * @idle_until_ms: not called before this while nothing runs there
 * @consecutive_failures: failed runs since one ended well there
 * @speed_milli: speed of runs there, in thousandths of the pool's mean; 0:
 *   unknown, or the pool's workers are alike
 * @speed: what @speed_milli is based on
 * @speed_restored: the stored speeds were searched for it
 * @speed_stored: its speed is stored, or about to be
 * @stored_speed: with @speed_stored: as it is stored
 * @speed_class: of @speed_milli, as last logged
 * @logged_milli: @speed_milli as last logged; 0: it was not
 * @last_list_ms: when its last list of runs arrived; 0: none has
 * @booked: room of its bookings
 * @long_running: part of @booked for tasks that run until they are cancelled
 * @run_count: number of its bookings
 * @stop_count: bookings for which a stop is to be sent
 * @held: room held for gangs about to start
 * @hold_count: stages that hold some of it
 * @reservation_count: entries of @reservation
 * @reservation: room reserved for waiting gangs
 * @is_reserved: in MuxCell.reserved_workers
 * @proxy: daemon that makes calls to it; NULL: to be chosen
 * @proxy_until_ms: @proxy is chosen again after this
 * @bookings: list of them; owned
 */
struct CellWorker
{
  MuxWorkerInfo info;
  CellIncarnations *incarnations;
  CellWorker *incarnations_prev;
  CellWorker *incarnations_next;
  uint64_t started_ms;
  uint64_t service;
  uint64_t data_centre;
  uint32_t slot;
  bool listed;
  int64_t unlisted_ms;
  int64_t leaves_at_ms;
  uint32_t roster;
  uint32_t roster_previous;
  uint32_t roster_pending;
  int64_t unreachable_since_ms;
  int64_t down_before_ms;
  int64_t stored_expiry_ms;
  int64_t lease_over_since_ms;
  bool confirmed;
  bool runs_known;
  int64_t list_full_since_ms;
  bool reachable;
  bool dead;
  bool replaced;
  bool no_queue_logged;
  int64_t clock_ms;
  int64_t clock_at_ms;
  int64_t lease_expires_ms;
  int64_t lease_raised_ms;
  CellLeaseSource lease_source;
  int64_t unanswered_sent_ms;
  bool of_predecessor;
  uint64_t acked;
  uint64_t acked_sent;
  uint64_t ends_seen;
  uint64_t ends_change_seq;
  bool renewing;
  int64_t next_renew_ms;
  int64_t avoid_until_ms;
  int64_t backoff_ms;
  MuxOrderLimit orders;
  bool unconnected;
  MuxPacing pacing;
  uint32_t paced_count;
  int64_t pace_due_ms;
  int64_t pace_ordered_ms;
  int64_t pace_changed_ms;
  uint32_t tail_percent;
  int64_t over_target_since_ms;
  int64_t direct_until_ms;
  uint32_t reroutes;
  int64_t idle_until_ms;
  uint32_t consecutive_failures;
  uint32_t speed_milli;
  MuxWorkerSpeed speed;
  bool speed_restored;
  bool speed_stored;
  MuxWorkerSpeed stored_speed;
  MuxSpeedClass speed_class;
  uint32_t logged_milli;
  int64_t last_list_ms;
  MuxSize booked;
  MuxSize long_running;
  uint32_t run_count;
  uint32_t stop_count;
  MuxSize held;
  uint32_t hold_count;
  uint32_t reservation_count;
  CellReservation reservation[CELL_RESERVATIONS_MAX];
  bool is_reserved;
  CellWorker *reserved_prev;
  CellWorker *reserved_next;
  CellMember *proxy;
  int64_t proxy_until_ms;
  CellBooking *bookings;
  UT_hash_handle hh;
};

/**
 * struct CellPart - one partition of the stored job tables, as the planner
 *   writes it; embedded in MuxCell
 * @name: of the part in the store
 * @fence_version: of its fence row, on which each commit of progress depends
 * @term_version: of its term row, on which each commit of jobs by the planner
 *   depends; a predecessor may have started any older job
 * @fenced: the fence row is of this term
 * @fence_version_unknown: a commit went unanswered; the row is to be read
 * @term_version_unknown: a commit of jobs found another version of the term
 *   row; it is to be read
 * @reading_fence: the call that reads both rows is outstanding
 * @dirty: list of jobs with something to store
 * @unreadable_dirty: number of unreadable jobs with something to store
 * @dirty_since_ms: since when the oldest of them waits
 * @next_commit_ms: no commit of progress before this
 * @commit_now: commit without waiting for more changes
 * @committing: a commit of progress is outstanding
 * @commit_sent_ms: when it was sent
 * @commit_items: jobs, and rows of unreadable jobs, in that commit
 * @commit_narrowed: how often the number of these was halved after a rejection
 * @commit_probe: the next commit holds the fence alone, to tell whether the
 *   store accepts any commit
 * @commit_seq: unused
 * @stored_seq: changes up to this number are stored, see MuxCell.change_seq
 * @load_table: table the takeover reads next; MUX_TABLE_COUNT: all are read
 * @load_busy: its call is outstanding
 * @load_from: first key of its next page
 * @load_next_ms: no such call before this
 * @submissions: list of jobs to store; owned
 * @submitting: a commit of these is outstanding
 * @submit_sent_ms: when it was sent
 * @submit_jobs: jobs in that commit
 * @submit_jobs_max: jobs of the next one, after a rejection; 0: as usual
 * @submit_took_ms: how long the last answered one took
 * @next_submit_ms: no such commit before this
 */
typedef struct
{
  char name[MUX_ROW_NAME_LEN];
  uint64_t fence_version;
  uint64_t term_version;
  bool fenced;
  bool fence_version_unknown;
  bool term_version_unknown;
  bool reading_fence;
  CellJob *dirty;
  uint32_t unreadable_dirty;
  int64_t dirty_since_ms;
  int64_t next_commit_ms;
  bool commit_now;
  bool committing;
  int64_t commit_sent_ms;
  uint32_t commit_items;
  uint32_t commit_narrowed;
  bool commit_probe;
  uint64_t commit_seq;
  uint64_t stored_seq;
  MuxCellTable load_table;
  bool load_busy;
  char load_from[MUX_ROW_NAME_LEN];
  int64_t load_next_ms;
  CellSubmission *submissions;
  bool submitting;
  int64_t submit_sent_ms;
  uint32_t submit_jobs;
  uint32_t submit_jobs_max;
  int64_t submit_took_ms;
  int64_t next_submit_ms;
} CellPart;

/**
 * struct CellSweep - progress of the removal of old rows of ended jobs;
 *   embedded in MuxCell
 * @part: part it is at
 * @from: first key of the next page
 * @busy: a call is outstanding
 * @next_ms: no call before this
 */
typedef struct
{
  uint32_t part;
  char from[MUX_ROW_NAME_LEN];
  bool busy;
  int64_t next_ms;
} CellSweep;

typedef struct CellJobSender CellJobSender;

/**
 * struct CellLeftOutJob - a job that is read from the store again; owned by
 *   CellLeftOut
 * @spec: owned
 * @version: of its row
 * @cancelled: the store has a cancel of it
 */
typedef struct
{
  MuxJobSpec *spec;
  uint64_t version;
  bool cancelled;
} CellLeftOutJob;

/* Jobs read again at a time: the progress of each is a call of its own. */
#define CELL_LEFT_OUT_JOBS_MAX 64

/**
 * struct CellLeftOut - search for jobs that were left in the store; embedded in
 *   MuxCell
 * @active: a search has begun
 * @busy: its call is outstanding
 * @part: part it is at
 * @from: first key of its next page
 * @next_ms: no call before this
 * @count: used entries of @job
 * @job: the most urgent jobs found so far, in order
 * @bytes: that these take
 * @others: jobs found that are not among them
 */
typedef struct
{
  bool active;
  bool busy;
  uint32_t part;
  char from[MUX_ROW_NAME_LEN];
  int64_t next_ms;
  uint32_t count;
  CellLeftOutJob job[CELL_LEFT_OUT_JOBS_MAX];
  uint64_t bytes;
  uint32_t others;
} CellLeftOut;

/**
 * struct CellJobMemory - memory that jobs take, see job_memory.h; embedded in
 *   MuxCell
 * @used_bytes: by the planner's jobs, and by those that this daemon is about
 *   to store
 * @senders: the same by sender
 * @limit_bytes: for all jobs, by the instance with the least memory; 0: not
 *   known
 * @planner_used_bytes: as the planner sent it
 * @released_bytes: by jobs that ended since @counted_ms
 * @release_rate: bytes a second; the planner's
 * @counted_ms: when the rate was last updated
 * @next_update_ms: when what jobs take is next updated
 * @left_out: the planner left jobs in the store for want of memory
 */
typedef struct
{
  uint64_t used_bytes;
  CellJobSender *senders;
  uint64_t limit_bytes;
  uint64_t planner_used_bytes;
  uint64_t released_bytes;
  uint64_t release_rate;
  int64_t counted_ms;
  int64_t next_update_ms;
  bool left_out;
} CellJobMemory;

/**
 * enum CellRole - role of this daemon
 *
 * FOLLOWER to LOADING when it wins the claim, to PLANNING when all is read, and
 * back to FOLLOWER from either when it steps down.
 */
typedef enum
{
  CELL_FOLLOWER,
  CELL_LOADING, /* holds the claim, reads the stored state */
  CELL_PLANNING,
} CellRole;

/**
 * struct MuxCell - state of the scheduler in this daemon; owned by the caller
 *   of mux_cell_new()
 */
struct MuxCell
{
  MuxCellOptions options;
  MuxCellTime time;         /* of the current event; wall_ms is the cell's */
  int64_t own_wall_ms;      /* this instance's own time of day then */
  int64_t wall_offset_ms;   /* the cell's time of day minus @time.now_ms */
  int64_t wall_received_ms; /* when a planner last sent it; 0: none has */
  int64_t next_wall_check_ms;
  uint64_t next_call; /* id of the next call */
  CellPending *pending;
  /* Of @pending, by the cell's monotonic clock less @paused_total_ms. */
  MuxDeadlines call_deadlines;
  int64_t paused_total_ms; /* in which this process did not run */
  int64_t port_late_ms;    /* see mux_cell_set_port_late() */
  int64_t next_pending_check_ms;
  int64_t next_overdue_log_ms;
  CellFeed feed[CELL_FEED_COUNT];
  MuxQueueConfig *config;      /* in force; owned; NULL: none read yet */
  int64_t config_confirmed_ms; /* when it was the newest one; 0: never */
  bool config_unreadable;      /* the store has a newer one that is not */
  bool keys_confirmed_logged;  /* last state of the callers' keys in the log */
  CellWorkspace *workspaces;
  CellService *services;
  CellBadRow *bad_rows;
  CellBadRowLines bad_row_lines[MUX_TABLE_COUNT];
  CellPart part[CELL_PARTS];
  CellJobQuery *job_queries;

  /* The store as this daemon sees it. */
  int64_t store_clock_ms;    /* the store's monotonic clock, as last reported */
  int64_t store_clock_at_ms; /* when that call was sent */
  int64_t reply_clock_ms;    /* store's clock in the current reply; 0: none */
  int64_t store_served_ms;   /* last reply that was not a failure */
  int64_t store_failing_since_ms; /* first failure since then; 0: none */
  int64_t commit_took_ms;         /* duration of the last commit of any part */
  int64_t store_changed_ms;       /* when it last began to fail, or to serve */
  int64_t next_rejection_log_ms;
  CellTokens tokens;
  CellJobMemory job_memory;
  CellLeftOut left_out;

  /* The claim. */
  CellClaim claim;
  int64_t claim_read_ms; /* when it, or its holder's heartbeat, was last read */
  /* Until when planners before the holder may order, by its heartbeat. */
  int64_t heartbeat_predecessors_until_ms;
  CellHellos hellos;
  CellNeed need;
  CellPredecessor predecessor; /* of this planner */
  CellRole role;
  uint64_t term; /* version of the claim held, the fencing token; 0: none */
  int64_t term_began_ms;
  int64_t planning_began_ms; /* all parts were fenced by then */
  /* Starts by predecessors may reach later incarnations of workers until. */
  int64_t late_starts_until_ms;
  bool jobs_unverified;       /* jobs were read without checking the claim */
  bool jobs_rereading;        /* that full read has not ended */
  bool claim_recheck_busy;    /* the call that checks it is outstanding */
  uint64_t jobs_reread_count; /* full reads of the jobs begun so far */
  int64_t claim_verified_ms;  /* the claim was certainly held then */
  int64_t claim_renewed_ms;   /* and others can see that; 0: never */
  int64_t claim_doubted_ms;   /* when it was last in doubt */
  bool claim_verify_busy;     /* a call that reads the claim is outstanding */
  int64_t next_verify_ms;
  bool heartbeat_busy; /* a commit of the heartbeat is outstanding */
  int64_t next_heartbeat_ms;
  int64_t heartbeat_took_ms; /* until the last reply to one */
  CellYield yield;
  bool claim_releasing;   /* the claim is being released */
  int64_t last_event_ms;  /* when the last tick ended */
  bool claiming;          /* a commit that takes the claim is outstanding */
  int64_t claim_after_ms; /* no attempt to take the claim before this, */
  int64_t claim_retry_ms; /* also if its holder was this daemon */
  bool planner_restarted; /* a later process answers in the holder's place */
  int64_t planner_last_contact_ms;
  uint64_t heartbeat_version;             /* of the heartbeat row last read */
  bool heartbeat_exists;                  /* the row is in the store */
  int64_t planner_hello_reply_ms;         /* its last reply to a hello */
  int64_t planner_store_failing_since_ms; /* since when, as it reports; 0: it
                                             works */
  int64_t planner_late_ms;                /* its event delay, as it reports */
  MuxAdmission admission;                 /* the planner's, as last received */
  int64_t admission_updated_ms;
  MuxShares shares;          /* the planner's, as last received */
  CellShareWalk *share_walk; /* while stages are classed; else NULL */
  uint32_t classed_stages;   /* waiting stages with a share_class above 0 */
  bool is_contended;         /* some pool was at the last count, as logged */
  int64_t next_share_log_ms;
  MuxThrottle throttle;    /* the planner's, as last received */
  MuxBlob *admission_blob; /* both, encoded for other daemons; NULL: none */
  int64_t admission_blob_ms;
  /* Since when the store fails the planner and serves this daemon; 0: no. */
  int64_t only_planner_failing_since_ms;
  int64_t probed_ms; /* when the store last answered a probe */
  int64_t next_probe_ms;
  int64_t next_hello_ms;
  bool stopping; /* mux_cell_stop() was called */
  bool claim_released;

  /* Used by the planner only. */
  CellReplyLatency reply_latency;
  MuxOrderGate order_gate;
  CellStartGate start_gate;
  MuxTrafficLimit traffic_limit;
  bool traffic_limited; /* last state in the log */
  uint32_t stops_due;   /* bookings of all workers with a stop to be sent */
  bool late;            /* last state in the log: it takes no new jobs */
  bool has_backlog;     /* last state in the log: new jobs would wait */
  bool pool_has_room;   /* some pool of workers has free room */
  int64_t next_backlog_log_ms;
  uint64_t admission_term; /* term in which the backlog was counted last */
  CellJob *jobs;
  CellTask *changed_tasks; /* tasks that may need no object any more */
  uint64_t task_objects;   /* tasks with an object, of all jobs */
  uint64_t failure_bytes;  /* memory for the failed runs of all tasks */
  uint64_t booking_count;  /* bookings of all workers */
  uint32_t starts_unanswered;
  CellJob *watched;   /* jobs that the passing of time alone may change */
  CellJob *loss_jobs; /* jobs with lost runs */
  uint32_t loss_job_count;
  CellQueueCount *queue_counts;
  CellEndedJob *ended_jobs;
  CellUnreadable *unreadable;
  bool unreadable_overflow;      /* there are more than are kept */
  bool unreadable_ends_overflow; /* some of these have stored ends */
  CellSweep sweep;
  CellWorker *workers;
  CellIncarnations *incarnations;
  bool late_calls_changed;       /* of some id; not stored yet */
  int64_t late_rows_obsolete_ms; /* since when some row holds none; 0: none */
  int64_t next_late_calls_ms;
  uint32_t worker_slots;        /* slots given out in this term */
  uint32_t direct_workers;      /* workers called without a proxy */
  CellWorker **worker_by_slot;  /* by slot; owned; NULL: forgotten */
  int64_t all_runs_known_at_ms; /* when @all_runs_known was computed */
  bool all_runs_known;       /* each worker of the roster has listed its runs,
                               or its lease is over */
  uint32_t worker_scan_slot; /* slot the next check of workers begins at */
  int64_t worker_scanned_ms; /* when the last one was */
  CellWorker *reserved_workers; /* workers with reservations */
  CellMember *members;
  CellMember *free_members;          /* those that put no approval query */
  int64_t queriers_counted_ms;       /* when the next two were counted */
  uint32_t queriers_alive;           /* members that can put queries */
  uint32_t queriers_with_long_query; /* of these, those that put a long one */
  CellApprovalQuery *approval_queries;
  CellPlanOrder plan_order;
  uint32_t late_reservations_left; /* reservations left for late gangs */
  CellStage *reserving_stages;     /* stages with reservations */
  uint32_t scan_cost;              /* workers scanned in this pass */
  uint32_t idle_scan_cost;         /* of these, for steps that still wait */
  uint32_t steps_scanned;          /* waiting steps scanned in this pass */
  uint64_t scan_round; /* a round scans all steps, in one or more passes */
  bool replan;         /* something changed: plan at the next tick */
  uint64_t change_seq; /* counts changes that are to be stored */
  bool roster_loaded;
  bool roster_busy;          /* a call about the roster is outstanding */
  uint64_t roster_fence;     /* version its next commit depends on */
  bool roster_fence_unknown; /* a commit went unanswered: read it */
  char roster_from[MUX_ROW_NAME_LEN]; /* first key of the next page */
  int64_t roster_next_ms;
  uint32_t unscanned_steps;    /* waiting steps that no pass has scanned */
  int64_t next_idle_pass_ms;   /* next pass if nothing changes */
  int64_t next_periodic_ms;    /* next run of the periodic checks */
  uint64_t quota_term;         /* all workers were confirmed in this term */
  MuxQuota unknown_room;       /* of workers that have not listed their runs */
  int64_t next_proxy_check_ms; /* next count of workers called directly */
  int64_t next_loss_check_ms;
  uint32_t down_event_count; /* events recorded in @down_events so far */
  CellDownEvent down_events[CELL_DOWN_MAX];
  int64_t next_wait_log_ms;
  MuxRunTimes run_times;      /* learned, or received from a planner */
  CellPoolSpeeds pool_speeds; /* of the pools' workers */
  /* Would be late on the workers left for them; placed at the end of a full
   * pass. */
  CellStage *deferred_stages;
  bool placing_deferred;
  int64_t next_run_times_log_ms;
  CellSpeeds speeds;            /* of the workers */
  MuxInterference interference; /* learned, or received from a planner */
  int64_t next_load_log_ms;
  int64_t next_full_pass_ms;    /* until then passes cover urgent steps only */
  int64_t next_pass_ms;         /* no pass before this */
  uint64_t last_approval_query; /* number of the last one sent */
};

#endif
