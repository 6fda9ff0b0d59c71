#ifndef PORT_WORKER_H
#define PORT_WORKER_H

#include "base/blob.h"
#include "base/id.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxWorkerVerb - what a call asks of a worker
 */
typedef enum
{
  MUX_WORKER_CLAIM,      /* become its owner at a higher epoch; lists tasks */
  MUX_WORKER_RENEW,      /* keep the lease; lists what changed */
  MUX_WORKER_START,      /* start a task not seen before */
  MUX_WORKER_FETCH,      /* state and answer of a task; may wait for its end */
  MUX_WORKER_FORGET,     /* tombstone unless it was started; tells which */
  MUX_WORKER_STOP,       /* stop a task; confirmed when it has stopped */
  MUX_WORKER_CHECKPOINT, /* save a task's progress */
  MUX_WORKER_THROTTLE,   /* slow a task down */
  MUX_WORKER_RELEASE,    /* give the claim up; tasks go on */
} MuxWorkerVerb;

/**
 * enum MuxTaskState - a task as its worker sees it
 */
typedef enum
{
  MUX_TASK_ABSENT, /* never seen by this incarnation */
  MUX_TASK_RUNNING,
  MUX_TASK_DONE,      /* ended well; the answer is kept for a while */
  MUX_TASK_FAILED,    /* ended badly by itself */
  MUX_TASK_STOPPED,   /* ended by a stop or by its lease's end */
  MUX_TASK_FORGOTTEN, /* tombstone: never started, never will */
  MUX_TASK_DONE_GONE, /* ended well; the answer is kept no more */
} MuxTaskState;

/**
 * enum MuxWorkerStatus - how a worker call ended
 */
typedef enum
{
  MUX_WORKER_OK,
  MUX_WORKER_OLD_EPOCH,       /* refused: a higher epoch holds the worker */
  MUX_WORKER_OLD_INCARNATION, /* refused: it restarted since */
  MUX_WORKER_PAST_DEADLINE,   /* refused: past the start's last moment */
  MUX_WORKER_TOMBSTONE,       /* refused: this start was put down */
  MUX_WORKER_NO_ROOM,         /* refused: it would hold too much */
  MUX_WORKER_IS_LEAVING,      /* refused: it is leaving */
  MUX_WORKER_BAD,             /* the worker called the request wrong */
  MUX_WORKER_NOT_SENT,        /* certainly never reached the worker */
  MUX_WORKER_NO_ANSWER,       /* may have taken effect */
} MuxWorkerStatus;

/**
 * struct MuxWorkerCall - a call of the core to a worker
 * @call_id: chosen by the core, returned in the reply
 * @verb: what to do
 * @worker: its name
 * @addr: its "ip:port"
 * @owner: the claiming instance
 * @epoch: claim's number; START: epoch of the grant; 0 is not checked
 *   (FETCH, FORGET and STOP speak of a task, not of the claim)
 * @incarnation: life of the worker that is meant; 0 is not checked
 * @lease_ms: CLAIM, RENEW: the lease from now on, on the worker's clock
 * @cursor: RENEW: change number up to which changes are known
 * @task: the task meant
 * @not_after_ms: START: refuse after this, on the worker's own clock; 0: none
 * @timeout_ms: give up and reply NO_ANSWER after this
 * @wait_ms: START, FETCH: answer when the task has ended, at most so long
 * @class_name: START: label
 * @home: START: label: instance that minds the task
 * @kind: START: label
 * @size: START: what it may use
 * @run_ms: START: declared run time
 * @body: START: input; holds a reference
 */
typedef struct
{
  uint64_t call_id;
  MuxWorkerVerb verb;
  char worker[MUX_NAME_LEN];
  char addr[MUX_ADDR_LEN];
  char owner[MUX_NAME_LEN];
  uint64_t epoch;
  uint64_t incarnation;
  uint32_t lease_ms;
  uint64_t cursor;
  MuxId task;
  int64_t not_after_ms;
  uint32_t timeout_ms;
  uint32_t wait_ms;
  char class_name[MUX_NAME_LEN];
  char home[MUX_NAME_LEN];
  MuxKind kind;
  MuxSize size;
  uint32_t run_ms;
  MuxBlob *body;
} MuxWorkerCall;

/**
 * struct MuxTaskReport - one task in a worker's list
 * @task: its id
 * @state: as the worker sees it
 * @class_name: label of its start
 * @home: label of its start
 * @kind: label of its start
 * @size: what was booked by its start
 * @used: what it was seen to use, with the platform's lag
 * @ran_ms: how long it has run, or ran
 */
typedef struct
{
  MuxId task;
  MuxTaskState state;
  char class_name[MUX_NAME_LEN];
  char home[MUX_NAME_LEN];
  MuxKind kind;
  MuxSize size;
  MuxSize used;
  uint32_t ran_ms;
} MuxTaskReport;

/**
 * struct MuxWorkerReply - the end of a worker call
 * @call_id: of the call
 * @verb: of the call
 * @status: how it ended
 * @worker: its name
 * @incarnation: the life that answered; 0 when none did
 * @epoch: highest epoch that the worker knows
 * @owner: who claimed it at that epoch, or ""
 * @worker_now_ms: its clock when it answered
 * @capacity: CLAIM, RENEW: what it can hold
 * @leaving: it will go and takes no starts
 * @cursor: CLAIM, RENEW: change number of this list
 * @state: START, FETCH, FORGET, STOP: the task's state now
 * @ran_ms: of that task
 * @result: answer of a task that is DONE or FAILED; holds a reference
 * @report_count: used reports
 * @reports: CLAIM: every running task; RENEW: tasks changed after the cursor
 */
typedef struct
{
  uint64_t call_id;
  MuxWorkerVerb verb;
  MuxWorkerStatus status;
  char worker[MUX_NAME_LEN];
  uint64_t incarnation;
  uint64_t epoch;
  char owner[MUX_NAME_LEN];
  int64_t worker_clock_ms;
  MuxSize capacity;
  bool leaving;
  uint64_t cursor;
  MuxTaskState state;
  uint32_t ran_ms;
  MuxBlob *result;
  uint32_t report_count;
  MuxTaskReport reports[];
} MuxWorkerReply;

/** mux_worker_reply_new() - zeroed reply to @call; NULL: memory is out */
MuxWorkerReply *mux_worker_reply_new (const MuxWorkerCall *call,
                                      MuxWorkerStatus status,
                                      uint32_t reports);
void mux_worker_reply_free (MuxWorkerReply *reply);
const char *mux_task_state_name (MuxTaskState state);
bool mux_task_state_parse (const char *text, MuxTaskState *state);

#endif
