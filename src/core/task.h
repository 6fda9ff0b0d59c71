#ifndef CORE_TASK_H
#define CORE_TASK_H

#include "core_private.h"

/**
 * enum TaskState - life of a task at its home
 */
typedef enum
{
  TASK_WAITING,    /* a pause before the next ask */
  TASK_REQUESTING, /* an owner was asked for room */
  TASK_HOLDING,    /* granted; the rest of its gang is not yet */
  TASK_RECORDING,  /* granted; its intent is being written */
  TASK_READING,    /* the write's answer was lost; its row is being read */
  TASK_REFUSING,   /* about to be told "not run"; its row is being read */
  TASK_STARTED,    /* the start is on its way or being carried out */
  TASK_RUNNING,    /* known to run; its end is awaited */
  TASK_RESOLVING,  /* the start's fate is unknown; the worker is being asked */
  TASK_FOLLOWING,  /* another home's attempt is being watched */
  TASK_STOPPING,   /* a stop is on its way */
  TASK_STATE_COUNT
} TaskState;

/**
 * enum TaskEventKind - what can happen to a task at its home
 */
typedef enum
{
  TASK_EV_TIMER,
  TASK_EV_GRANTED,
  TASK_EV_REFUSED, /* the owner won't, or is lost */
  TASK_EV_ROW_WRITTEN,
  TASK_EV_ROW_FOUND, /* a row stands already */
  TASK_EV_ROW_ABSENT,
  TASK_EV_ROW_UNKNOWN, /* the write's answer was lost */
  TASK_EV_STORE_DOWN,
  TASK_EV_ENDED, /* ran: done, failed or stopped */
  TASK_EV_RUNNING,
  TASK_EV_ABSENT,            /* the worker has not seen it, and made no mark */
  TASK_EV_NOT_STARTED,       /* this start certainly had no effect */
  TASK_EV_TOMBSTONED,        /* a tombstone stands: it will never start there */
  TASK_EV_WORKER_STATE_LOST, /* the worker restarted since and forgot */
  TASK_EV_NO_REPLY,          /* no answer from the worker */
  TASK_EV_EXPIRED,           /* the caller's time is over */
  TASK_EV_CANCEL,
  TASK_EVENT_COUNT
} TaskEventKind;

/* What a row or a grant says of where an attempt runs.  @grant counts the
 * grants that this life of the home was given, so that no two are taken for
 * one another. */
typedef struct
{
  uint32_t attempt;
  uint64_t grant_number;
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  uint64_t incarnation;
  char home[MUX_NAME_LEN];
  uint64_t home_incarnation;
  int64_t not_after_ms; /* last moment of its start, worker's clock */
  int64_t at_ms;        /* time of day, for dropping old rows */
} Intent;

/* An event with what came with it; everything is borrowed. */
typedef struct
{
  TaskEventKind kind;
  const MuxPeerMsg *msg;       /* GRANTED, REFUSED */
  const MuxWorkerReply *reply; /* ENDED */
  const Intent *intent;        /* ROW_FOUND */
  uint64_t rev;                /* ROW_WRITTEN, ROW_FOUND */
  MuxReason reason;            /* REFUSED, NOT_STARTED, LOST */
  uint32_t retry_ms;           /* REFUSED */
} TaskEvent;

/* A caller that waits for a task. */
typedef struct Waiter Waiter;
struct Waiter
{
  uint64_t call_id;
  int64_t expires_ms;
  bool refused; /* among those that are about to be told "not run" */
  Waiter *next;
};

/* A task at its home, found by @key, which stays over its attempts. */
struct Task
{
  MuxId key;
  MuxId id; /* of this attempt */
  uint32_t attempt;
  TaskState state;
  char class_name[MUX_NAME_LEN];
  MuxKind kind;
  MuxSize size;
  uint32_t run_ms;
  bool idempotent;
  bool key_is_new; /* every submission so far was said to be the key's first */
  bool keyed;      /* has a row once/<key> */
  bool ticketed;   /* it may start under its ticket's grant alone */
  bool for_ticket; /* its room is for a ticket, not for a start from here */
  bool has_job;    /* its row is the job's */
  MuxId job;
  uint32_t job_index;
  bool in_gang; /* not placed yet, and only with its whole gang */
  MuxId group;
  uint32_t group_count;
  Waiter *waiters;
  int64_t start_by_ms;
  int64_t expires_ms; /* INT64_MAX: never */
  int64_t timer_ms;
  MuxBlob *body;
  char owner[MUX_NAME_LEN]; /* asked, or who granted */
  Intent placement;         /* where it is granted, started or followed */
  uint64_t epoch;
  uint64_t row_rev;
  uint64_t awaited_row_call; /* which write or read of its row is awaited */
  bool granted;              /* room is booked for it at @owner */
  bool fetch_in_flight;      /* a fetch is on its way */
  bool absent_once;          /* FOLLOWING: seen absent once */
  bool cancelled;            /* to be stopped as soon as it is found */
  bool may_have_run;   /* an attempt may have run: "not run" can't be said */
  uint32_t poll_count; /* at this attempt, while it runs */
  uint32_t call_count; /* made of workers for it */
  uint32_t running_at_call;  /* @calls when it was seen running; 0: not yet */
  uint32_t unanswered_calls; /* calls in a row without an answer */
  uint32_t owners_tried;     /* owners asked for this attempt */
  uint32_t retries;
  MuxReason last_reason;
  uint32_t last_retry_ms;
  char refused_by[4][MUX_NAME_LEN]; /* owners that refused this attempt */
  UT_hash_handle hh;
  UT_hash_handle by_id; /* in tasks_by_id, under the present attempt's id */
};

/**
 * struct TaskOptions - construction of a task
 * @key: stays over attempts
 * @spec: its class
 * @keyed: needs a row once/<key>
 * @body: input; a reference is taken
 * @call: first waiter, or 0
 * @give_up_ms: on the core's clock
 * @job: job it is part of, or none
 * @job_index: its number there
 * @attempt: first attempt to make
 * @in_gang: the job's gang asks for it
 * @minting: the room is for a ticket
 * @first: the caller says that the key has not been sent before
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
 * task_begin() - a new task: asks for room, unless its gang will for it
 *
 * Return: false: memory is out and there is no task.  With true it may have
 * ended already.
 */
bool task_begin (MuxCore *core, const TaskOptions *options);
/** task_resume() - a task that a row places on a worker: find out there;
 * false as above */
bool task_resume (MuxCore *core, const TaskOptions *options, const Intent *at);
Task *task_find (MuxCore *core, MuxId key);
/** task_event() - run the state table; the task may be gone after it */
void task_event (MuxCore *core, Task *task, const TaskEvent *event);
/** task_ask_owner() - ask @owner for a place as one of @count of @group */
void task_request_owner (MuxCore *core,
                         Task *task,
                         const char *owner,
                         MuxId group,
                         uint32_t count);
/** task_gang_wait() - give back what it holds or asks for, and wait */
void task_gang_release (MuxCore *core, Task *task);
/** task_record() - its gang is held: have its placement written */
void task_record_placement (MuxCore *core, Task *task);
/** task_drop() - forget it without a word (its job went to another home) */
void task_drop (MuxCore *core, Task *task);
/** tasks_timer() - a timer of @subject fired */
void tasks_timer (MuxCore *core, int64_t at_ms, MuxId subject);
/** tasks_owner_lost() - asks at this owner go elsewhere */
void tasks_owner_lost (MuxCore *core, const char *owner);
/** tasks_peer() - GRANT, GRANT_REFUSED, TASK_ENDED */
void tasks_peer_message (MuxCore *core, const MuxPeerMsg *msg);
/** tasks_request() - a caller's request */
void tasks_request (MuxCore *core, const MuxCoreRequest *ask);
/** tasks_waiting() - tasks whose caller still waits */
uint32_t tasks_waiting_count (const MuxCore *core);
void tasks_free (MuxCore *core);

const char *task_state_name (TaskState state);

#endif
