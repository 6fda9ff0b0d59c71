#ifndef PORT_WORKER_H
#define PORT_WORKER_H

#include "base/blob.h"
#include "base/id.h"
#include "model/spec.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * enum MuxWorkerVerb - operation of a call to a worker
 */
typedef enum
{
  MUX_WORKER_CLAIM,  /* become its owner at a higher epoch; returns its tasks */
  MUX_WORKER_RENEW,  /* renew the lease; returns the tasks that changed */
  MUX_WORKER_START,  /* start a task that it has not seen before */
  MUX_WORKER_FETCH,  /* state and result of a task; may wait for its end */
  MUX_WORKER_FORGET, /* tombstone the task unless it was started; returns its
                        state */
  MUX_WORKER_STOP,   /* stop a task; its state in the reply confirms it */
  MUX_WORKER_CHECKPOINT, /* save a task's progress */
  MUX_WORKER_THROTTLE,   /* slow a task down */
  MUX_WORKER_RELEASE,    /* release the claim; tasks keep running */
} MuxWorkerVerb;

/**
 * enum MuxTaskState - state of a task at its worker
 */
typedef enum
{
  MUX_TASK_ABSENT, /* never seen by this incarnation */
  MUX_TASK_RUNNING,
  MUX_TASK_DONE,      /* succeeded; the result is kept for a while */
  MUX_TASK_FAILED,    /* failed by itself */
  MUX_TASK_STOPPED,   /* ended by a STOP call or by the end of its lease */
  MUX_TASK_FORGOTTEN, /* tombstone: never started, never will */
  MUX_TASK_DONE_GONE, /* succeeded; the result is no longer kept */
} MuxTaskState;

/**
 * enum MuxWorkerStatus - result of a call to a worker
 */
typedef enum
{
  MUX_WORKER_OK,
  MUX_WORKER_OLD_EPOCH,       /* refused: claimed at a higher epoch */
  MUX_WORKER_OLD_INCARNATION, /* refused: the worker was restarted since */
  MUX_WORKER_PAST_DEADLINE,   /* refused: past the deadline of the start */
  MUX_WORKER_TOMBSTONE,       /* refused: the task has a tombstone */
  MUX_WORKER_NO_ROOM,         /* refused: the worker has not enough room */
  MUX_WORKER_IS_LEAVING,      /* refused: the worker is leaving */
  MUX_WORKER_BAD_REQUEST,     /* the worker rejected the request as malformed */
  MUX_WORKER_NOT_SENT,        /* certainly not received by the worker */
  MUX_WORKER_NO_ANSWER,       /* may have taken effect */
} MuxWorkerStatus;

/**
 * struct MuxWorkerCall - a call of the core to a worker
 * @call_id: chosen by the core, returned in the reply
 * @verb: operation
 * @worker: name of the worker
 * @addr: its "ip:port"
 * @owner: the instance that claims or has claimed it
 * @epoch: of the claim; START: of the grant; 0: not checked (FETCH, FORGET and
 *   STOP are about a task, whoever has claimed the worker)
 * @incarnation: of the worker that is meant; 0: not checked
 * @lease_ms: CLAIM, RENEW: length of the lease from its arrival, on the
 *   worker's clock
 * @cursor: RENEW: number of the last change known
 * @task: the task meant
 * @not_after_ms: START: deadline on the worker's clock; 0: none
 * @timeout_ms: the reply is NO_ANSWER after this
 * @wait_ms: START, FETCH: withhold the reply until the task has ended, at most
 *   so long
 * @class_name: START: label
 * @home: START: label: instance that accepted the task and follows it
 * @kind: START: label
 * @size: START: what the task may use
 * @run_ms: START: run time as declared
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
 * @task: id of the task
 * @state: at the worker
 * @class_name: label of its start
 * @home: label of its start
 * @kind: label of its start
 * @size: what its start booked
 * @used: what it was measured to use, some time ago
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
 * struct MuxWorkerReply - result of a call to a worker
 * @call_id: of the call
 * @verb: of the call
 * @status: see enum MuxWorkerStatus
 * @worker: name of the worker
 * @incarnation: of the worker that replied; 0: none did
 * @epoch: highest epoch at which the worker was claimed
 * @owner: who claimed it at that epoch, or ""
 * @worker_clock_ms: its clock when it replied
 * @capacity: CLAIM, RENEW: all that its tasks may use together
 * @leaving: it is going to leave and accepts no starts
 * @cursor: CLAIM, RENEW: number of the last change in this list
 * @state: START, FETCH, FORGET, STOP: the task's state now
 * @ran_ms: of that task
 * @result: output of a task that is DONE or FAILED; holds a reference
 * @report_count: used reports
 * @reports: CLAIM: all running tasks; RENEW: tasks changed after the cursor of
 *   the call
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

/** mux_worker_reply_new() - allocate a zeroed reply to @call
 * Return: NULL when out of memory. */
MuxWorkerReply *mux_worker_reply_new (const MuxWorkerCall *call,
                                      MuxWorkerStatus status,
                                      uint32_t reports);
void mux_worker_reply_free (MuxWorkerReply *reply);
const char *mux_task_state_name (MuxTaskState state);
/** mux_task_state_parse() - read the name of a state
 * Return: false when @text is none. */
bool mux_task_state_parse (const char *text, MuxTaskState *state);

#endif
