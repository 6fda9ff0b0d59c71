#ifndef CORE_TASK_H
#define CORE_TASK_H

#include "core_private.h"

/**
 * enum TaskState - state of a task at its home daemon
 *
 * task_steps.c holds the transitions.
 *
 * @TASK_WAITING: no room is requested; ends with the timer, or, for a task of a
 *   gang, when the gang requests its room
 * @TASK_REQUESTING: room is requested from an owner; ends with a grant or a
 *   refusal, until then the timer repeats the request
 * @TASK_HOLDING: granted; other tasks of its gang are not granted yet
 * @TASK_RECORDING: granted; its placement is being written to its own row or
 *   its job's; it starts once that is written
 * @TASK_READING: its row is being read, to learn whether its write took effect
 *   or which attempt is on record
 * @TASK_REFUSING: about to be answered "not run"; the key's row is read first,
 *   as an earlier submission may have run
 * @TASK_STARTED: the start was sent; its reply is awaited
 * @TASK_RUNNING: known to run; its end is awaited
 * @TASK_RESOLVING: the outcome of the start is unknown; the worker is to set a
 *   tombstone, which fails if the task was started
 * @TASK_FOLLOWING: the attempt on record, possibly another daemon's, is polled
 *   at its worker
 * @TASK_STOPPING: cancelled; the stop is repeated until the end is confirmed
 */
typedef enum
{
  TASK_WAITING,
  TASK_REQUESTING,
  TASK_HOLDING,
  TASK_RECORDING,
  TASK_READING,
  TASK_REFUSING,
  TASK_STARTED,
  TASK_RUNNING,
  TASK_RESOLVING,
  TASK_FOLLOWING,
  TASK_STOPPING,
  TASK_STATE_COUNT
} TaskState;

/**
 * enum TaskEventKind - what can happen to a task at its home
 */
typedef enum
{
  TASK_EV_TIMER,
  TASK_EV_GRANTED,
  TASK_EV_REFUSED, /* refused by the owner, or the owner is lost */
  TASK_EV_ROW_WRITTEN,
  TASK_EV_ROW_FOUND, /* the row exists */
  TASK_EV_ROW_ABSENT,
  TASK_EV_ROW_UNKNOWN, /* the outcome of the write is unknown */
  TASK_EV_STORE_DOWN,
  TASK_EV_ENDED, /* it ran and is done, failed or stopped */
  TASK_EV_RUNNING,
  TASK_EV_ABSENT,      /* unknown to the worker, and no tombstone is set */
  TASK_EV_NOT_STARTED, /* this start certainly had no effect */
  TASK_EV_TOMBSTONED,  /* a tombstone keeps it from starting there */
  TASK_EV_WORKER_STATE_LOST, /* it restarted, is gone, or forgot */
  TASK_EV_NO_REPLY,
  TASK_EV_EXPIRED, /* the callers' time limit has passed */
  TASK_EV_CANCEL,
  TASK_EVENT_COUNT
} TaskEventKind;

/* Where an attempt is placed, as its row or its grant says.  @grant_number
 * numbers the grants that this incarnation of the home received, so that no two
 * are taken for one another. */
typedef struct
{
  uint32_t attempt;
  uint64_t grant_number;
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation; /* of the worker */
  char home[MUX_NAME_LEN];
  uint64_t home_incarnation;
  int64_t not_after_ms; /* latest start, on the worker's clock */
  int64_t at_ms;        /* time of day of the grant; old rows are swept by it */
} Intent;

/* An event and its data; all pointers are borrowed. */
typedef struct
{
  TaskEventKind kind;
  const MuxPeerMsg *msg;       /* GRANTED, REFUSED */
  const MuxWorkerReply *reply; /* ENDED */
  const Intent *intent;        /* ROW_FOUND */
  uint64_t rev;                /* ROW_WRITTEN, ROW_FOUND */
  MuxReason reason;            /* why, if the kind does not say it */
  uint32_t retry_ms;           /* REFUSED */
} TaskEvent;

/* A caller that waits for a task's result. */
typedef struct Waiter Waiter;
struct Waiter
{
  uint64_t call_id;
  int64_t expires_ms;
  bool refused; /* will be answered "not run" once the row is read */
  Waiter *next;
};

/* A task at its home, found by @key, which all its attempts share. */
struct Task
{
  MuxId key;
  MuxId id; /* of the current attempt */
  uint32_t attempt;
  TaskState state;
  char class_name[MUX_NAME_LEN];
  MuxKind kind;
  MuxSize size;
  uint32_t run_ms; /* declared run time; 0: none */
  bool idempotent;
  bool key_is_new; /* all callers so far said so */
  bool keyed;      /* has a row once/<key> */
  bool ticketed;   /* it may start only under its ticket's grant */
  bool for_ticket; /* its room is for a new ticket; it does not start here */
  bool has_job;    /* part of a job, whose rows record its placement */
  MuxId job;
  uint32_t job_index;
  bool in_gang; /* not placed yet, and placed only with its whole gang */
  MuxId group;  /* gang that its request belongs to, or none */
  uint32_t group_count;
  Waiter *waiters;
  int64_t start_by_ms;
  int64_t expires_ms; /* INT64_MAX: never */
  int64_t timer_ms;   /* time of its only valid TIMER event */
  MuxBlob *body;
  char owner[MUX_NAME_LEN];  /* requested from, or granted by */
  Intent placement;          /* where it is granted, started or followed */
  uint64_t epoch;            /* of the claim under which it was granted */
  uint64_t row_rev;          /* of its row, required by the next write */
  uint64_t awaited_row_call; /* write or read of its row, by number */
  bool granted;              /* room is booked for it at @owner */
  bool fetch_in_flight;
  bool absent_once;    /* FOLLOWING: the worker reported it absent once */
  bool cancelled;      /* to be stopped as soon as it is found running */
  bool may_have_run;   /* so "not run" can no longer be answered */
  uint32_t poll_count; /* polls of the running attempt, for their back-off */
  uint32_t call_count; /* worker calls made for it */
  uint32_t running_at_call;  /* @call_count when found running, or 0 */
  uint32_t unanswered_calls; /* consecutive calls without a reply */
  uint32_t owners_tried;     /* owners requested by the current attempt */
  uint32_t retries;
  MuxReason last_reason;
  uint32_t last_retry_ms;
  char refused_by[4][MUX_NAME_LEN]; /* owners, for the current attempt */
  UT_hash_handle hh;
  UT_hash_handle by_id; /* in tasks_by_id, under the current attempt's id */
};

/**
 * struct TaskOptions - construction of a task
 * @key: identity of the work, shared by all attempts
 * @spec: its class
 * @keyed: needs a row once/<key>
 * @body: input; a reference is taken
 * @call_id: call of the first caller, or 0
 * @expires_ms: when its callers stop waiting, on the core's clock
 * @job: job it is part of, or none
 * @job_index: its number in that job
 * @attempt: number of the first attempt
 * @in_gang: its gang requests room for it
 * @for_ticket: the room is for a ticket
 * @key_is_new: the caller says that the key has not been sent before
 */
typedef struct
{
  MuxId key;
  const MuxClassSpec *spec;
  bool keyed;
  MuxBlob *body;
  uint64_t call_id;
  int64_t expires_ms;
  MuxId job;
  uint32_t job_index;
  uint32_t attempt;
  bool in_gang;
  bool for_ticket;
  bool key_is_new;
} TaskOptions;

/**
 * task_begin() - creates a task and requests room, unless its gang does
 *
 * Return: false: out of memory, there is no task.  With true the task may have
 * ended already.
 */
bool task_begin (MuxCore *core, const TaskOptions *options);
/** task_resume() - creates a task that a row places at @at, and fetches its
 * state from that worker; returns as task_begin() */
bool task_resume (MuxCore *core, const TaskOptions *options, const Intent *at);
Task *task_find (MuxCore *core, MuxId key);
/** task_event() - runs the step that the table has for @event; it may free the
 * task */
void task_event (MuxCore *core, Task *task, const TaskEvent *event);
/** task_request_owner() - requests room from @owner for one of the @count tasks
 * of the gang @group */
void task_request_owner (MuxCore *core,
                         Task *task,
                         const char *owner,
                         MuxId group,
                         uint32_t count);
/** task_gang_release() - releases its room or cancels the request, and waits
 * for the gang's next round */
void task_gang_release (MuxCore *core, Task *task);
/** task_record_placement() - its whole gang is granted: has the placement
 * written */
void task_record_placement (MuxCore *core, Task *task);
/** task_drop() - frees it without a response: its job has another home now */
void task_drop (MuxCore *core, Task *task);
/** tasks_timer() - handles a timer of the task with the key @subject */
void tasks_timer (MuxCore *core, int64_t at_ms, MuxId subject);
/** tasks_owner_lost() - requests pending at this owner go to others */
void tasks_owner_lost (MuxCore *core, const char *owner);
/** tasks_peer_message() - handles GRANT, GRANT_REFUSED and TASK_ENDED */
void tasks_peer_message (MuxCore *core, const MuxPeerMsg *msg);
/** tasks_request() - handles a caller's request to run one task */
void tasks_request (MuxCore *core, const MuxCoreRequest *request);
/** tasks_waiting_count() - number of tasks that a caller waits for */
uint32_t tasks_waiting_count (const MuxCore *core);
void tasks_free (MuxCore *core);

const char *task_state_name (TaskState state);

#endif
