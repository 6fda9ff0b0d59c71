#include "call.h"
#include "task_private.h"
#include "worker.h"

#include <stdio.h>
#include <string.h>

/* Calls to workers for a task; each reply becomes an event. */

/* Longest that a start or a fetch waits on its connection for the task's end.
 */
#define WAIT_MAX_MS 60000
/* Workers remember ids and tombstones for at least this long after the latest
 * start; docs/platform/worker.md. */
#define WORKER_MEMORY_MS 300000
/* A started task is polled on a second connection after this multiple of its
 * declared run time plus POLL_DELAY_MS. */
#define POLL_RUN_FACTOR 2
#define POLL_DELAY_MS 1000

static void
raise_ended (MuxCore *core, Task *task, const MuxWorkerReply *reply)
{
  TaskEvent event = { .kind = TASK_EV_ENDED, .reply = reply };

  task_event (core, task, &event);
}

static void
raise_event (MuxCore *core, Task *task, TaskEventKind kind, MuxReason reason)
{
  TaskEvent event = { .kind = kind, .reason = reason };

  task_event (core, task, &event);
}

/*
 * Whether the reply comes after the worker may have discarded what it knew of
 * the attempt.  A caller may retry its key, or a partition heal, that late.  If
 * the task's absence, or a tombstone that could be set because of it, still
 * counted as proof that it never started, a task that ran would run a second
 * time.  So both say no more than the reply of a worker that restarted.
 */
static bool
record_may_be_discarded (const Task *task, const MuxWorkerReply *reply)
{
  return (reply->state == MUX_TASK_ABSENT || reply->state == MUX_TASK_FORGOTTEN)
         && reply->worker_clock_ms
                > task->placement.not_after_ms + WORKER_MEMORY_MS;
}

/* Call number in the upper half, attempt in the lower, so that a reply can be
 * assigned to both. */
static uint64_t
aux_of (uint32_t call, uint32_t attempt)
{
  return (uint64_t) call << 32 | attempt;
}

/*
 * Whether an ABSENT reply is older than one that found the task running.  A
 * fetch and a forget can be in flight together, as after a pause of this
 * process: the fetch finds nothing, a delayed start arrives, the forget finds
 * the task running, and its reply arrives first.  If the fetch's reply counted
 * then, the task would be started elsewhere while it runs, and its room would
 * be released.
 */
static bool
is_stale_absence (const Task *task, uint32_t call, const MuxWorkerReply *reply)
{
  return reply->state == MUX_TASK_ABSENT && call <= task->running_at_call;
}

static void
handle_state (MuxCore *core,
              Task *task,
              uint32_t call,
              const MuxWorkerReply *reply)
{
  if (is_stale_absence (task, call, reply))
    {
      raise_event (core, task, TASK_EV_TIMER, MUX_REASON_NONE);
      return;
    }
  if (record_may_be_discarded (task, reply))
    {
      raise_event (core, task, TASK_EV_WORKER_STATE_LOST,
                   MUX_REASON_UNKNOWN_FATE);
      return;
    }
  switch (reply->state)
    {
    case MUX_TASK_RUNNING:
      task->running_at_call = task->call_count;
      raise_event (core, task, TASK_EV_RUNNING, MUX_REASON_NONE);
      break;
    case MUX_TASK_DONE:
    case MUX_TASK_DONE_GONE:
    case MUX_TASK_FAILED:
    case MUX_TASK_STOPPED:
      raise_ended (core, task, reply);
      break;
    case MUX_TASK_ABSENT:
      raise_event (core, task, TASK_EV_ABSENT, MUX_REASON_NONE);
      break;
    case MUX_TASK_FORGOTTEN:
      raise_event (core, task, TASK_EV_TOMBSTONED, MUX_REASON_FENCED_TOMBSTONE);
      break;
    }
}

/* Reason of a refused start.  In every case the start certainly had no effect.
 */
static MuxReason
start_refusal_reason (MuxWorkerStatus status)
{
  switch (status)
    {
    case MUX_WORKER_OLD_EPOCH:
      return MUX_REASON_FENCED_EPOCH;
    case MUX_WORKER_OLD_INCARNATION:
      return MUX_REASON_FENCED_INCARNATION;
    case MUX_WORKER_PAST_DEADLINE:
      return MUX_REASON_FENCED_LATE;
    case MUX_WORKER_TOMBSTONE:
      return MUX_REASON_FENCED_TOMBSTONE;
    case MUX_WORKER_NO_ROOM:
      return MUX_REASON_WORKER_FULL;
    case MUX_WORKER_IS_LEAVING:
      return MUX_REASON_WORKER_LEAVING;
    case MUX_WORKER_NOT_SENT:
      return MUX_REASON_WORKER_UNREACHED;
    case MUX_WORKER_OK:
    case MUX_WORKER_BAD_REQUEST:
    case MUX_WORKER_NO_ANSWER:
      break;
    }
  return MUX_REASON_INTERNAL;
}

static Task *
task_of_reply (MuxCore *core, MuxId key, uint64_t aux)
{
  Task *task = task_find (core, key);

  if (task != NULL && task->attempt == (uint32_t) aux)
    return task;
  /* A reply for a superseded attempt, or for a task that has ended. */
  mux_count (core->counters, MUX_COUNT_EVENTS_DROPPED, 1);
  return NULL;
}

static void
start_done (MuxCore *core, MuxId key, uint64_t aux, const MuxWorkerReply *reply)
{
  Task *task = task_of_reply (core, key, aux);

  if (task == NULL)
    return;
  switch (reply->status)
    {
    case MUX_WORKER_OK:
      handle_state (core, task, (uint32_t) (aux >> 32), reply);
      break;
    case MUX_WORKER_NO_ANSWER:
      raise_event (core, task, TASK_EV_NO_REPLY, MUX_REASON_WORKER_SILENT);
      break;
    case MUX_WORKER_IS_LEAVING:
      worker_set_leaving (core, reply->worker);
      raise_event (core, task, TASK_EV_NOT_STARTED, MUX_REASON_WORKER_LEAVING);
      break;
    default:
      raise_event (core, task, TASK_EV_NOT_STARTED,
                   start_refusal_reason (reply->status));
      break;
    }
}

static void
state_call_done (MuxCore *core,
                 MuxId key,
                 uint64_t aux,
                 const MuxWorkerReply *reply)
{
  Task *task = task_of_reply (core, key, aux);

  if (task == NULL)
    return;
  task->fetch_in_flight = false;
  switch (reply->status)
    {
    case MUX_WORKER_OK:
      handle_state (core, task, (uint32_t) (aux >> 32), reply);
      break;
    case MUX_WORKER_OLD_INCARNATION:
      raise_event (core, task, TASK_EV_WORKER_STATE_LOST,
                   MUX_REASON_FENCED_INCARNATION);
      break;
    default:
      if (worker_gone (core, task->placement.worker))
        raise_event (core, task, TASK_EV_WORKER_STATE_LOST,
                     MUX_REASON_WORKER_SILENT);
      else
        raise_event (core, task, TASK_EV_NO_REPLY, MUX_REASON_WORKER_SILENT);
      break;
    }
}

static bool
send_call (MuxCore *core, Task *task, MuxWorkerCall *call, WorkerCallback done)
{
  return call_worker (core, call, done, task->key,
                      aux_of (++task->call_count, task->attempt));
}

static void
call_init (const Task *task, MuxWorkerVerb verb, MuxWorkerCall *call)
{
  *call = (MuxWorkerCall){ .verb = verb,
                           .task = task->id,
                           .incarnation = task->placement.incarnation,
                           .timeout_ms = WORKER_TIMEOUT_MS };
  mux_name_copy (call->worker, task->placement.worker);
  snprintf (call->addr, sizeof call->addr, "%s", task->placement.addr);
}

static uint32_t
wait_limit_ms (const MuxCore *core, const Task *task)
{
  int64_t left = task->expires_ms - core->now_ms;

  if (left < 0)
    return 0;
  return left > WAIT_MAX_MS ? WAIT_MAX_MS : (uint32_t) left;
}

void
task_call_start (MuxCore *core, Task *task)
{
  MuxWorkerCall call;

  call_init (task, MUX_WORKER_START, &call);
  call.epoch = task->epoch;
  call.not_after_ms = task->placement.not_after_ms;
  call.wait_ms = task->has_job ? 0 : wait_limit_ms (core, task);
  call.timeout_ms += call.wait_ms;
  mux_name_copy (call.class_name, task->class_name);
  mux_name_copy (call.home, core->name);
  call.kind = task->kind;
  call.size = task->size;
  call.run_ms = task->run_ms;
  call.body = task->body;
  task->poll_count = 0;
  mux_count (core->counters, MUX_COUNT_STARTS, 1);
  task_set_timer (core, task,
                  POLL_DELAY_MS + (int64_t) task->run_ms * POLL_RUN_FACTOR);
  if (!send_call (core, task, &call, start_done))
    raise_event (core, task, TASK_EV_NOT_STARTED, MUX_REASON_RING_FULL);
}

void
task_call_fetch (MuxCore *core, Task *task, uint32_t wait_ms)
{
  MuxWorkerCall call;

  if (task->fetch_in_flight)
    return;
  call_init (task, MUX_WORKER_FETCH, &call);
  call.wait_ms = wait_ms;
  call.timeout_ms += wait_ms;
  task->fetch_in_flight = send_call (core, task, &call, state_call_done);
}

void
task_call_forget (MuxCore *core, Task *task)
{
  MuxWorkerCall call;

  call_init (task, MUX_WORKER_FORGET, &call);
  send_call (core, task, &call, state_call_done);
}

void
task_call_stop (MuxCore *core, Task *task)
{
  MuxWorkerCall call;

  call_init (task, MUX_WORKER_STOP, &call);
  send_call (core, task, &call, state_call_done);
}
