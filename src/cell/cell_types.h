#ifndef CELL_CELL_TYPES_H
#define CELL_CELL_TYPES_H

#include "cell/admission.h"
#include "cell/cell.h"
#include "cell/run_time.h"
#include "cell/throttle.h"
#include "claim_types.h"
#include "workspace_types.h"

#include <uthash.h>
#include <utlist.h>

/* Parts that jobs are spread over by their ids.  A part carries out one
 * transaction after the other, and a commit holds 30 jobs; where a store takes
 * 300 ms for each, with the commits of progress between, a part stores 50 jobs
 * a second.  The number belongs to what is stored: with another one, open jobs
 * are looked for in parts where they are not. */
#define CELL_PARTS 4
/* Entries of a commit, as many as the store takes. */
#define CELL_COMMIT_CHANGES_MAX 100
/* Of these, rows with ends of jobs that can't be read. */
#define CELL_UNREADABLE_ROWS_MAX 2
/* Most jobs of one commit: a call holds 100 entries, a job takes three. */
#define CELL_COMMIT_JOBS_MAX 30
/* A commit, scan or worker call without an answer for so long counts as lost;
 * an answer takes some 10 ms, one of a loaded store under 100. */
#define CELL_STORE_TIMEOUT_MS 1500
#define CELL_WORKER_TIMEOUT_MS 700
/* An answer that waits for nothing comes within so many ms, or not at all:
 * twice what the slowest store seen takes. */
#define CELL_ANSWER_MS 600
/* A planner orders nothing when its claim has not been confirmed for so long:
 * longer than the store's usual outages of some 5 s, so that they leave the
 * running tasks alone.  Where the store serves others it stops sooner. */
#define CELL_CLAIM_LEASE_MAX_MS 8000
/* A pause of this thread's work after which the claim is read again before
 * anything is ordered: the instance may have been frozen while another took
 * over.  Well over what a busy core takes between two ticks. */
#define CELL_PAUSE_MS 700
/* Orders that went unanswered are carried out after this time at the latest. */
#define CELL_LATE_ORDERS_MS 15000
/* Run numbers of one planner's term.  A later planner does not know which
 * numbers its predecessor gave to starts that it never heard of, so that each
 * term has a range of its own: a start each second for a quarter of an hour. */
#define CELL_RUNS_PER_TERM 1024
/* Terms are counted up to here and from 1 again, so that a run is a positive
 * number of 32 bits: some 5,000 years at a claim a day. */
#define CELL_TERMS_MAX (INT32_MAX / CELL_RUNS_PER_TERM)
/* Keys of the rows of the claim and its sign of life, and of each part's fence:
 * one that each commit of progress renews, and one that stays for as long as a
 * planner's term. */
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

typedef void (*CellReplyHandler) (MuxCell *cell,
                                  const CellPending *pending,
                                  const MuxCellReply *reply);

/**
 * struct CellPending - a call whose reply is awaited
 * @call_id: key
 * @done: told of the reply
 * @sent_ms: when
 * @term: of the planner's state that it belongs to; 0: of none
 * @part: index of the part meant
 * @number: whatever @done wants to know again
 * @worker: life of the worker called
 * @task: the task meant
 * @run: its run
 * @wait_ms: RENEW: so long of it the worker may wait
 * @overdue_ms: then it counts as unanswered; 0: its port answers by itself
 * @peer: daemon that waits for the outcome
 * @peer_addr: its address
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
  MuxCellVerb verb;
  uint32_t wait_ms;
  int64_t overdue_ms;
  char peer[MUX_NAME_LEN];
  char peer_addr[MUX_ADDR_LEN];
  UT_hash_handle hh;
};

/* Called for each row that a followed table had or got. */
typedef void (*CellRowHandler) (MuxCell *cell, const MuxCellRow *row);

/**
 * struct CellFollow - a table kept up with: read whole, then its changes
 * @name: in the log
 * @table: which
 * @seen: told of each row
 * @whole: told when a whole reading begins (false) and ends (true); or NULL
 * @term: only in that term of the planner; 0: always
 * @on: wanted at all
 * @loaded: read whole once
 * @busy: a call is on its way
 * @call_id: of the last call
 * @sent_ms: when that was sent
 * @wait_ms: how long its answer may wait for a change
 * @known_ms: all changes up to then are known; 0: of none
 * @lost: a call that waited for changes was lost, none was answered since
 * @parted: its rows lie in the parts of the jobs, else in part ""
 * @part: part that is read now
 * @from: next page's first key
 * @version: known up to here
 * @next_ms: no call before
 */
typedef struct
{
  const char *name;
  MuxCellTable table;
  CellRowHandler on_row;
  void (*on_full_read) (MuxCell *cell, bool ended);
  uint64_t term;
  bool enabled;
  bool loaded;
  bool busy;
  uint64_t call_id;
  int64_t sent_ms;
  uint32_t wait_ms;
  int64_t known_until_ms;
  bool lost;
  bool by_part;
  uint32_t part;
  char from[MUX_ROW_NAME_LEN];
  uint64_t version;
  int64_t next_ms;
} CellFollow;

enum
{
  FOLLOW_CONFIG,
  FOLLOW_CLAIM,
  FOLLOW_WORKERS, /* planner alone */
  FOLLOW_JOBS,    /* planner alone; its changes, the parts are read apart */
  FOLLOW_COUNT
};

/**
 * struct CellSubmission - a job on its way into the store
 * @job: what is stored
 * @call: caller who waits
 * @value: its row
 * @row: as it was last sent to the store; NULL: not yet
 * @give_up_ms: when the caller is answered, stored or not
 * @doubtful: a commit that held it went unanswered, or the planner did
 * @sent: it is in the commit on its way
 * @relayed: the planner was asked to store it, at @relayed_ms
 * @retry_ms: told to its caller if it is refused; 0: as usual
 * @peer: daemon that asked for it; "": a caller of this one
 * @peer_addr: its address
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
  char peer[MUX_NAME_LEN];
  char peer_addr[MUX_ADDR_LEN];
  CellSubmission *prev;
  CellSubmission *next;
};

/**
 * struct CellInquiry - a question about one job that needs several calls
 * @call: caller who waits
 * @caller: jobs of others are not shown
 * @verb: state or cancel
 * @id: of the job; "": the queue's count of waiting jobs
 * @queue: name of the queue
 * @give_up_ms: when the caller is answered in any case
 * @step: how far it is
 * @version: CANCEL: of the job's row as read
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
 * struct CellMember - a daemon that greets the planner
 * @greeting: number of its last greeting
 * @is_free: it works on no approval question, and is in the list of such
 */
struct CellMember
{
  char name[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  uint64_t hello_number;
  int64_t last_contact_ms;
  bool store_available;
  uint32_t cpu_share_milli;
  bool stopping;
  bool wall_known;
  int64_t wall_offset_ms; /* its time of day over our steady clock */
  uint64_t query_number;  /* number of the approval question it works on */
  uint32_t query_cost_ms;
  int64_t no_query_until_ms; /* it is asked nothing before */
  bool is_free;
  CellMember *free_prev;
  CellMember *free_next;
  UT_hash_handle hh;
};

/* Workers named in a policy question: so many at least, */
#define CELL_CANDIDATES_MIN 6
/* and as many as the service takes. */
#define CELL_CANDIDATES_MAX 100
/* Workers named for a step whose turn has not come, at least: its tasks may
 * find others free than those of now. */
#define CELL_CANDIDATES_AHEAD_MIN 12

/**
 * struct CellApproval - what is known of one worker's right to run a stage
 * @slot: the worker's
 * @asked: the service has been asked about it
 * @yes: it may
 * @proof: to be shown at a start; owned; NULL: none
 * @until_ms: the proof is taken until then
 * @written: it is in the progress on its way to the store
 * @stored: a next planner will know that tasks may run there
 * @used: a start went there with a proof
 */
typedef struct
{
  uint32_t slot;
  bool queried;
  bool approved;
  bool used;
  char *proof;
  int64_t proof_expires_ms;
  bool in_commit;
  bool stored;
} CellApproval;

/**
 * struct CellQuestion - a question to the policy service on its way
 * @slot: of the workers named; owned
 * @is_renewal: all of them are known to be approved
 * @due_ms: an answer by then is no later than usual
 * @until_ms: then it counts as lost
 * @member: the daemon that puts it
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
 * enum CellTaskState - where a task is in its life
 */
typedef enum
{
  CELL_TASK_WAITING,
  CELL_TASK_STARTING, /* a start is on its way */
  CELL_TASK_RUNNING,
  CELL_TASK_STOPPING, /* it is to end, or its start's fate is not known */
  CELL_TASK_DONE,
} CellTaskState;

/* Most failed runs of a task, or gang, that are told apart.  Queues allow a
 * handful of attempts; where one allows more, so many are made. */
#define CELL_FAILED_RUNS_MAX 16

/**
 * struct CellFailures - failed runs, each counted once
 * A list may tell an end again after a change of planner, and in any order.
 * @count: used entries
 * @run: their numbers
 */
typedef struct
{
  uint32_t count;
  uint32_t run[CELL_FAILED_RUNS_MAX];
} CellFailures;

/* Most lost runs of a task that are told apart: more than it is started again
 * for. */
#define CELL_LOSSES_MAX 8

/* Workers that went down, as far as they are remembered. */
#define CELL_DOWN_MAX 1024

/**
 * struct CellDown - a worker that went out of reach
 * @addr: hash of its address
 * @rack: hash of its rack's name; 0: none
 * @from_ms: it went after this
 * @to_ms: and before this
 * @at_ms: when it was found to be
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
 * struct CellLossSpan - when a run was at the worker with which it was lost
 * @from_ms: since then at most
 * @to_ms: the worker was out of reach by then; 0: another planner lost it
 * @rack: hash of the name of its rack; 0: none
 * @rack_workers: known there then
 * @workers: known then
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
 * struct CellLoss - a run that was lost with its worker, or may be
 * @run: its number; 0: not known
 * @open: a start there is recorded, and nothing else is known of it
 * @recorded: by a former planner
 * @began: the worker told that it had begun
 * @ended: that life of the worker is over; else it is out of reach
 * @in_outage: so many others went down meanwhile that it may be chance
 * @lived_ms: the worker told of it for so long at least
 * @span: when it was there
 * @at_wall_ms: when it was lost, by the cell's time of day
 * @worker: life of it
 * @addr: its address
 */
typedef struct
{
  uint32_t run;
  bool outcome_unknown;
  bool from_predecessor;
  bool began;
  bool worker_ended;
  bool in_outage;
  int64_t lived_ms;
  CellLossSpan span;
  int64_t at_wall_ms;
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
} CellLoss;

/**
 * struct CellLosses - what became of the workers under lost runs of a task
 * @crashed: they ended while the run was there
 * @untold: they ended, and whether the run had begun there is not known
 * @unreachable: they may run on
 * @unreachable_recorded: those of them that a former planner lost
 * @crashed_in_outages: as @crashed, in an outage; none of these is counted
 * above
 * @unreachable_in_outages: as @unreachable, the same
 * @untold_in_outages: as @untold, the same
 * @recorded: those of all these that a former planner lost
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
 * struct CellTask - one task
 * @run: highest number given to a run of it
 * @failures: runs that failed
 * @loss: runs that were lost; owned
 * @booking: room that a run of it holds, or may hold; NULL: none
 * @saved: what a next run resumes
 */
struct CellTask
{
  CellStage *stage;
  uint32_t index;
  CellTaskState state;
  uint32_t last_run;
  CellFailures failures;
  uint32_t failed_slot; /* worker of it, by slot + 1; 0: none */
  uint32_t loss_count;
  CellLoss *loss;
  CellBooking *booking;
  char checkpoint[MUX_TOKEN_LEN];
};

/**
 * struct CellBooking - room held at a worker by one run of a task
 * @since_ms: when the start was sent, or the run first listed
 * @told_ms: when the worker first told that it runs; 0: it has not
 * @percent: of its work, as last listed
 * @moved_ms: when that changed last
 * @stop_at_ms: when a stop is to be sent (again); 0: none wanted
 * @stop_clock_ms: worker's clock at the answered stop; 0: not answered
 * @stopped_ms: when it was first to be stopped
 * @resumed: the run goes on with what an earlier one had saved
 * @began: the worker told that the run had begun
 * @confirmed: a list of this life of the worker named it
 * @former: life that the start was sent to, if another; owned; NULL: none
 * @former_span: when the run was there, then
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
  int64_t stop_clock_ms;
  int64_t stop_since_ms;
  bool resumed;
  bool began;
  bool was_listed;
  bool listed;
  char *previous_incarnation;
  CellLossSpan previous_span;
  CellBooking *prev;
  CellBooking *next;
};

/**
 * struct CellHold - room of a worker that only one gang may use
 */
typedef struct
{
  CellWorker *worker;
  uint32_t tasks;
} CellHold;

/**
 * struct CellGap - room for members of a gang at a worker
 * @at_ms: it is free from then on
 * @tasks: members that it holds, besides those of earlier gaps
 */
typedef struct
{
  CellWorker *worker;
  int64_t from_ms;
  uint32_t tasks;
} CellOpening;

/* Gangs that one worker's room is reserved for. */
#define CELL_RESERVATIONS_MAX 6

/**
 * struct CellReservation - room of a worker kept for a waiting gang
 * @size: so much,
 * @at_ms: from then on
 * @is_old: it was made in the pass before, and not in this one
 * @stands: the same, and holds until its stage's turn in this one
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
 * struct CellSample - workers that one look at a step passes over
 * @slot: of the next one
 * @slots: left to be passed over, with or without a worker
 * @workers: left to be looked at
 * @is_part: they are not all of the cell
 */
typedef struct
{
  uint32_t slot;
  uint32_t slots_left;
  uint32_t workers_left;
  bool is_partial;
} CellWorkerScan;

/* Of a step whose tasks are placed in any data centre. */
#define CELL_ANY_DATA_CENTRE 0

/**
 * struct CellNode - what a member of a CellTree holds for it
 */
typedef struct CellNode CellNode;
struct CellNode
{
  CellNode *parent;
  CellNode *child[2];
  uint32_t priority;
};

/**
 * struct CellTree - a set in order; all zero but @before: empty
 * @before: the first comes before the second; never changes for two members
 * @chance: state of what draws the weights
 */
typedef struct
{
  CellNode *root;
  bool (*before) (const CellNode *, const CellNode *);
  uint64_t random_state;
} CellTree;

/**
 * struct CellOrder - stages with waiting tasks, in planning order
 * @planned: those that a pass has looked at
 * @fresh: the others, in the same order
 * @urgent: of both, those of urgent queues
 * @ranked: of both, those whose rank will change, the next one first
 * @front: where the present pass stands among @planned; NULL: at its end
 * @turn: and the present round
 * @next_urgent: and the present pass among @urgent
 * @numbers: given to stages so far
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
 * enum CellRank - what the end of a step that starts now would be worth
 */
typedef enum
{
  CELL_RANK_STARVED, /* it is to last, and has been away for a while */
  CELL_RANK_IN_TIME,
  CELL_RANK_LATE,
  CELL_RANK_WORTHLESS, /* it still ends, as was promised */
} CellRank;

/**
 * enum CellLack - what keeps a step from its start
 */
typedef enum
{
  CELL_BLOCKED_ON_TURN,    /* no pass has looked at it */
  CELL_BLOCKED_ON_QUERIER, /* no daemon is free to put its question */
  CELL_BLOCKED_ON_ANSWER,  /* which workers are approved is being asked */
  CELL_BLOCKED_ON_PROOF,   /* proofs of approved workers are being renewed */
  CELL_BLOCKED_ON_RECORD,  /* the approvals are not stored yet */
  CELL_BLOCKED_ON_ROOM,
  CELL_BLOCKED_ON_QUOTA, /* its workspace has as much running as it may */
  CELL_BLOCKED_ON_COUNT
} CellBlockedOn;

/**
 * struct CellStepWait - what a step has waited for since it became ready
 * @lacks: what it lacks now
 * @since_ms: since when
 * @lacked_ms: how long it lacked each before
 * @questions: put to the policy service for it
 * @names: workers named in these
 * @approved: approvals in the answers
 * @used: workers that a start went to with a proof
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

/**
 * struct CellStage - one step of one occurrence of a job
 * @ready: its turn has come and some task waits: it is in the plan
 * @ready_ms: since when
 * @round: the planner's round of looks in which it was last looked at
 * @looked_ms: when that was
 * @is_unlooked: it is counted among those that no pass has looked at
 * @told_ms: when the log last told that it waits; 0: never
 * @is_fresh: no pass has looked at it since it became ready
 * @number: decides among stages that are equal in planning order
 * @ranked_until_ms: its rank changes then; INT64_MAX: never
 * @reserving: room is reserved for it
 * @counted_ms: they were counted in the pass of that time
 * @sample_slot: where its next look at workers begins; 0: nowhere yet
 * @left: tasks not yet done
 * @run: GANG: number of its last run
 * @failures: GANG: runs that failed
 * @loss_changes: counts what came to be known of its tasks' losses
 * @losses_written: so much of it is in the progress on its way to the store
 * @losses_stored: and so much is stored
 * @former_lost: a worker has ended that may have run tasks of it for a former
 *   planner
 * @approval: of workers asked about, by their slots
 * @asking: an approval question is under way
 * @asked_ms: when the last one was sent
 * @lost_answers: not answered since one was in the usual time
 * @wait: as the log tells it when all its tasks were sent to workers
 * @due_ms: when its occurrence should have ended
 * @worthless_ms: after which that end is worth nothing
 * @latest_ms: latest start of this stage that still meets that
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
  bool is_in_reserving; /* among those that room is reserved for */
  int64_t reserving_counted_ms;
  uint32_t scan_slot;
  uint64_t service;         /* hash of the pool that runs it */
  uint64_t data_centre;     /* hash of the one that its tasks are placed in */
  int64_t proofs_expire_ms; /* no proof is taken after this */
  uint32_t tasks_left;
  uint32_t last_run;
  uint32_t expected_ms; /* that a run of it will take */
  CellFailures failures;
  uint32_t loss_changes;
  uint32_t losses_written;
  uint32_t losses_stored;
  bool predecessor_runs_lost;
  uint32_t approval_count;
  uint32_t approval_capacity;
  CellApproval *approval;
  uint32_t recorded_count;
  char (*recorded)[MUX_NAME_LEN]; /* workers that a former planner could use */
  bool recorded_added;            /* they stand among @approval */
  bool query_pending;
  int64_t queried_ms;
  uint32_t lost_queries;
  int64_t no_query_until_ms;
  CellStepWait wait;
  int64_t deadline_ms;
  int64_t worthless_ms;
  int64_t latest_start_ms;
  CellRank rank;
  uint32_t hold_count;
  CellHold *hold; /* GANG: room kept while its proofs are renewed */
  int64_t holds_expire_ms;
  CellTask *task;
  CellStage *reserving_prev;
  CellStage *reserving_next;
};

/**
 * enum CellOrigin - how the planner came to know of a job
 */
typedef enum
{
  CELL_ORIGIN_LOAD,   /* read at its takeover */
  CELL_ORIGIN_FEED,   /* stored by another daemon meanwhile */
  CELL_ORIGIN_COMMIT, /* stored by itself */
} CellOrigin;

/**
 * struct CellJob - a job that the planner carries
 * @version: of its row
 * @began_ms: accepted, on this daemon's steady clock
 * @due_ms: promised end
 * @worthless_ms: after which its end is worth nothing
 * @old: its row is older than this planner's fence of the part: a former
 *   planner may have started tasks of it anywhere
 * @early: an occurrence was begun before its time
 * @started: some task has run
 * @cancelled: by its caller
 * @failed: a task failed too often
 * @ended: nothing is left to do but to store the end
 * @dirty: something is to be stored
 * @watched: it is among those that are looked at from time to time
 * @losing: it is among those with lost runs
 * @counted: among those of its queue that wait
 * @progress_stored: a row of its progress stands
 * @progress_lost: it can't be read
 * @ends_stored: a row stands with ends that came while it could not be read
 */
struct CellJob
{
  char id[MUX_JOB_ID_LEN];
  MuxJobSpec *spec;
  CellWorkspace *workspace; /* NULL: it has none */
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
  bool end_stored;
  bool dirty_again; /* changed since the commit on its way was made */
  bool progress_stored;
  bool progress_unreadable;
  bool unreadable_ends_stored;
  uint32_t booking_count;
  uint32_t loss_count; /* of all its tasks */
  uint32_t next_occurrence;
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
 * struct CellUnreadEnd - an end of a run of such a job
 * @task: which; its job is the one that holds this
 */
typedef struct
{
  MuxTaskRef task;
  uint32_t run;
  MuxRunEnd end;
  char checkpoint[MUX_TOKEN_LEN];
} CellUnreadableEnd;

/**
 * struct CellUnread - a job whose row can't be read
 * @seen: there is such a row; else only something stored beside it
 * @noted_wall_ms: time of day when its ends were last stored; 0: they are not
 * @overflow: more ends came than are kept
 * @dirty: its ends, or their removal, are to be stored
 * @dirty_again: more came since the commit on its way was made
 * @spec: as it can be read now, while what stands beside it is; owned
 * @version: of that row
 * @reading: the call that reads it is on its way
 * @next_ms: no such call before
 */
struct CellUnreadable
{
  char id[MUX_JOB_ID_LEN];
  uint32_t part;
  bool has_row;
  int64_t stored_wall_ms;
  bool overflow;
  bool dirty;
  bool in_commit;
  bool dirty_again;
  bool expired;
  uint32_t end_count;
  CellUnreadableEnd *end;
  MuxJobSpec *spec;
  uint64_t version;
  bool reading;
  int64_t next_ms;
  UT_hash_handle hh;
};

/**
 * struct CellEnded - a job that ended while this daemon planned
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
 * enum CellRosterState - what the stored roster says of a worker
 */
typedef enum
{
  CELL_ROSTER_NONE = 1,        /* nothing: no next planner asks it */
  CELL_ROSTER_NAMED = 2,       /* where it is: it may run something */
  CELL_ROSTER_WITH_EXPIRY = 4, /* and when its lease is surely over */
} CellRosterState;

/**
 * struct CellLives - the lives of one worker that the planner knows
 */
typedef struct
{
  char id[MUX_NAME_LEN];
  CellWorker *incarnation;
  UT_hash_handle hh;
} CellIncarnations;

/**
 * struct CellWorker - one life of a worker, as the planner sees it
 * @lives: it and the others of its id
 * @born_ms: when it began, as its name or its answers say; 0: they do not
 * @slot: index of it in the stages' approvals; never used again in a term
 * @listed: in the platform's list
 * @roster: all that the stored roster may say of it
 * @roster_before: the same without the commit on its way
 * @roster_asked: what that commit writes; 0: nothing of this worker
 * @leaves_at_ms: it says that it stays so long; 0: it does not leave, or does
 * not say when
 * @heard: it has answered under our token: its list is complete
 * @reachable: the last call was answered
 * @clock_ms: its clock, as last told
 * @clock_at_ms: our clock when that arrived
 * @lease_until_ms: furthest lease asked of it, on its clock
 * @unanswered_ms: when the last call that was not answered was sent; 0: none
 * @stale_until_ms: what was sent to its former life may still be carried out
 * @acked: ends up to this number are stored
 * @acked_told: and it knows so of these
 * @seen: ends up to this number are known
 * @store_seq: all ends up to @seen are stored once this number is reached
 * @booked: sum of its bookings
 * @lasting: of these, of tasks that run until they are cancelled
 * @stops: bookings that are to be stopped
 * @unserved_ms: how long it was avoided after its last start, as that was
 *   refused or not answered; 0: it was served
 * @strikes: failed runs lately, without one that ended well between
 */
struct CellWorker
{
  MuxWorkerInfo info;
  CellIncarnations *incarnations;
  CellWorker *incarnations_prev;
  CellWorker *incarnations_next;
  uint64_t started_ms;
  uint64_t service;     /* hash of its pool */
  uint64_t data_centre; /* hash of its name */
  uint32_t slot;
  bool listed;
  int64_t unlisted_ms;
  int64_t leaves_at_ms;
  uint32_t roster; /* set of CellRosterState, as the two below */
  uint32_t roster_before;
  uint32_t roster_pending;
  int64_t unreachable_since_ms; /* out of reach since; 0: it is not */
  int64_t down_before_ms;       /* and went before this */
  int64_t marked_expiry_ms; /* as a former planner marked it; 0: not marked */
  int64_t
      lease_over_since_ms; /* its lease is over by what we know; 0: it is not */
  bool confirmed;
  bool reachable;
  bool dead;
  bool replaced;        /* another life answers at its address */
  bool no_queue_logged; /* told that no queue names its service */
  int64_t clock_ms;
  int64_t clock_at_ms;
  int64_t lease_expires_ms;
  int64_t unanswered_sent_ms;
  int64_t stale_until_ms;
  uint64_t acked;
  uint64_t acked_sent;
  uint64_t ends_seen;
  uint64_t ends_change_seq;
  bool renewing;
  int64_t next_renew_ms;
  int64_t avoid_until_ms;
  int64_t backoff_ms;
  int64_t no_fill_until_ms;
  int64_t direct_until_ms; /* no other daemon calls it */
  uint32_t reroutes;       /* decides which daemon calls it */
  int64_t idle_until_ms;   /* it is asked nothing while nothing runs there */
  uint32_t consecutive_failures;
  MuxSize booked;
  MuxSize long_running;
  uint32_t stop_count;
  MuxSize held;        /* room kept for gangs about to start */
  uint32_t hold_count; /* stages that hold some of it */
  uint32_t reservation_count;
  CellReservation reservation[CELL_RESERVATIONS_MAX];
  bool is_reserved; /* it has any: it is in the list of such */
  CellWorker *reserved_prev;
  CellWorker *reserved_next;
  CellMember *proxy;      /* daemon that calls it; NULL: to be chosen */
  int64_t proxy_until_ms; /* it is chosen anew after this */
  CellBooking *bookings;
  UT_hash_handle hh;
};

/**
 * struct CellPart - a part of the jobs' tables, as the planner keeps it
 * @fence_version: of the row that lets this planner change it
 * @term_version: of the row that lets it store jobs and start them at once; a
 *   former planner may have started any job that is older
 * @fenced: that row is ours
 * @fence_doubtful: a commit went unanswered, its version is to be read
 * @term_doubtful: a commit of jobs found another version of that row
 * @dirty: jobs with something to store
 * @unread_dirty: jobs that can't be read, the same
 * @dirty_since_ms: the oldest of them
 * @hurry: a caller waits for what is to be stored
 * @committing: a commit is on its way, since @commit_sent_ms
 * @commit_seq: ends that it covers
 * @stored_seq: ends up to this number of this part are stored
 * @loading: how far the takeover is with it
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
  uint64_t commit_seq;
  uint64_t stored_seq;
  MuxCellTable load_table; /* MUX_TABLE_COUNT: loaded */
  bool load_busy;
  char load_from[MUX_ROW_NAME_LEN];
  int64_t load_next_ms;
  CellSubmission *submissions;
  bool submitting;
  int64_t submit_sent_ms;
  int64_t submit_took_ms; /* the last answered commit of submissions */
  int64_t next_submit_ms;
} CellPart;

/**
 * struct CellSweep - how far the planner is with removing old ends
 * @part: that it reads
 * @from: next page's first key
 * @busy: a call is on its way
 * @next_ms: no call before
 */
typedef struct
{
  uint32_t part;
  char from[MUX_ROW_NAME_LEN];
  bool busy;
  int64_t next_ms;
} CellSweep;

typedef enum
{
  CELL_FOLLOWER,
  CELL_LOADING, /* holds the claim, reads what is there */
  CELL_PLANNING,
} CellRole;

struct MuxCell
{
  MuxCellOptions options;
  MuxCellTime time; /* of this event; with the cell's time of day */
  int64_t own_wall_ms;
  int64_t wall_offset_ms;   /* of the cell's time of day over @time.now_ms */
  int64_t wall_received_ms; /* a planner told it then; 0: none did */
  int64_t next_wall_check_ms;
  uint64_t next_call;
  CellPending *pending;
  CellFollow follow[FOLLOW_COUNT];
  MuxQueueConfig *config;
  int64_t config_confirmed_ms; /* it was the newest then; 0: never */
  bool config_unreadable;      /* a newer one can't be read */
  bool keys_confirmed_logged;  /* as told last */
  CellWorkspace *workspaces;
  CellService *services;
  CellBadRow *bad_rows;
  CellPart part[CELL_PARTS];
  CellJobQuery *job_queries;

  /* The store as this daemon sees it. */
  int64_t store_clock_ms;    /* the store's steady clock as last told, */
  int64_t store_clock_at_ms; /* and ours when that call was sent */
  int64_t reply_clock_ms;    /* as told by the answer that is taken; 0: not */
  int64_t store_served_ms;   /* its last answer that was not a failure */
  int64_t store_failing_ms;  /* first failure since; 0: none */
  int64_t commit_took_ms;    /* the last answered commit of any part */
  int64_t store_changed_ms;  /* it began to fail, or to serve again, then */

  /* The claim. */
  CellClaim claim;
  int64_t claim_read_ms; /* it, or its holder's last sign of life, was read */
  int64_t heartbeat_predecessors_until_ms; /* what that told of planners before
                                              it */
  CellHellos hellos;
  CellPredecessor predecessor; /* of the planner */
  CellRole role;
  uint64_t term; /* version of the claim held; 0: none */
  int64_t term_began_ms;
  int64_t planning_began_ms;    /* all parts were fenced by then */
  int64_t late_starts_until_ms; /* of former planners, at next lives */
  bool jobs_unverified;       /* jobs were read without the claim beside them */
  bool jobs_rereading;        /* they still are */
  bool claim_recheck_busy;    /* a call that reads the claim is on its way */
  uint64_t jobs_reread_count; /* of all jobs, begun so far */
  int64_t claim_verified_ms;  /* the claim was surely ours then */
  int64_t claim_renewed_ms;   /* the same, and others have seen it; 0: never */
  int64_t claim_doubted_ms;   /* when it was last in doubt */
  bool claim_verify_busy;
  int64_t next_verify_ms;
  bool heartbeat_busy;
  int64_t next_heartbeat_ms;
  bool yield_busy;
  bool claim_releasing; /* the claim is being given up */
  int64_t yield_after_ms;
  int64_t last_event_ms;
  bool claiming;
  int64_t claim_after_ms;
  int64_t claim_retry_ms;
  bool planner_restarted; /* its process is gone, a younger one answers */
  int64_t planner_last_contact_ms;
  uint64_t heartbeat_version;       /* of its last sign of life in the store */
  bool heartbeat_exists;            /* that row was not removed */
  int64_t planner_hello_reply_ms;   /* its last answer to a greeting */
  int64_t planner_store_failing_ms; /* it says so since; 0: it does not */
  int64_t planner_late_ms; /* as it says: what arrives there waits so long */
  MuxAdmission admission;  /* the planner's, or as it told last */
  int64_t admission_updated_ms;
  MuxThrottle throttle;    /* the planner's, or as it told last */
  MuxBlob *admission_blob; /* both, as the planner tells them; or NULL */
  int64_t admission_blob_ms;
  int64_t only_planner_failing_ms; /* and this daemon is served since; 0: not */
  int64_t probed_ms;               /* the store answered a look then */
  int64_t next_probe_ms;
  int64_t next_hello_ms;
  bool stopping;
  bool claim_released;

  /* Of the planner alone. */
  CellReplyLatency reply_latency;
  bool late;          /* it takes no new jobs, as it told last */
  bool has_backlog;   /* new jobs would wait, the same */
  bool pool_has_room; /* some pool is not full, as counted last */
  int64_t next_backlog_log_ms;
  uint64_t admission_term; /* in which the backlog was counted last */
  CellJob *jobs;
  CellJob *watched;   /* jobs that time alone may change */
  CellJob *loss_jobs; /* jobs with lost runs */
  uint32_t loss_job_count;
  CellQueueCount *queue_counts;
  CellEndedJob *ended_jobs;
  CellUnreadable *unreadable;
  bool unreadable_overflow;      /* others can't be read, which are not in it */
  bool unreadable_ends_overflow; /* ends are stored of some of those */
  CellSweep sweep;
  CellWorker *workers;
  CellIncarnations *incarnations; /* of each id */
  uint32_t worker_slots;
  uint32_t direct_workers;     /* that no other daemon calls, as last counted */
  CellWorker **worker_at;      /* by slot; NULL: forgotten */
  int64_t all_confirmed_at_ms; /* when @all_heard was looked up */
  bool all_confirmed;          /* no worker of the roster is left to be heard */
  uint32_t
      worker_scan_slot; /* slot that the next look at workers begins with */
  int64_t worker_scanned_ms; /* when the last one was */
  CellWorker *reserved;      /* with room reserved for gangs */
  CellMember *members;
  CellMember *free_members;    /* that work on no approval question */
  int64_t queriers_counted_ms; /* when the next two were counted */
  uint32_t queriers_alive;
  uint32_t queriers_with_long_query; /* of them, with a long question */
  CellApprovalQuery *approval_queries;
  CellPlanOrder plan_order;
  uint32_t late_reservations_left; /* left to late gangs in this pass */
  CellStage *reserving_stages;     /* stages that room is reserved for */
  uint32_t scan_cost;              /* workers looked at in this pass */
  uint32_t idle_scan_cost;         /* for stages that still wait, the same */
  uint32_t steps_scanned;          /* waiting steps, the same */
  uint64_t
      scan_round; /* of looks at all stages; several passes may share one */
  bool replan;
  uint64_t change_seq;
  bool roster_loaded;
  bool roster_busy;
  uint64_t roster_fence;      /* version that its next commit expects */
  bool roster_fence_doubtful; /* a commit went unanswered, it is to be read */
  char roster_from[MUX_ROW_NAME_LEN]; /* first key of its next page */
  int64_t roster_next_ms;
  uint32_t unscanned_steps; /* steps that wait and no pass has looked at yet */
  int64_t next_plan_ms;
  int64_t next_periodic_ms;
  uint64_t quota_term;       /* all workers were heard in it */
  MuxQuota unconfirmed_room; /* of workers whose runs are not known yet */
  int64_t next_overdue_ms;
  int64_t next_loss_check_ms;
  uint32_t down_next; /* counts them */
  CellDownEvent down[CELL_DOWN_MAX];
  int64_t next_wait_log_ms;
  MuxRunTimes run_times; /* as seen, or as a planner told */
  int64_t next_run_times_log_ms;
  int64_t next_load_log_ms;
  int64_t next_full_pass_ms;
  int64_t next_pass_ms; /* no pass before */
  uint64_t last_approval_query;
};

#endif
