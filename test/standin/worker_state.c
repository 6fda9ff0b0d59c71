#include "standin/worker_state.h"

#include <utlist.h>

static void
tell (StandinWorker *worker, const StandinWorkerEvent *event)
{
  if (worker->options.on_event != NULL)
    worker->options.on_event (worker->options.ctx, event);
}

void
standin_worker_log_task (StandinWorker *worker,
                         const char *name,
                         const char *reason,
                         const StandinTask *task,
                         int64_t now_ms)
{
  StandinWorkerEvent event = {
    .event = name,
    .mono_ms = now_ms,
    .task = task->id,
    .class_name = task->class_name,
    .home = task->home,
    .owner = worker->owner,
    .epoch = worker->epoch,
    .size = task->size,
    .state = mux_task_state_name (task->state),
    .reason = reason,
    .body = task->body,
    .answer = task->answer,
    .ran_ms = standin_worker_task_ran_ms (task, now_ms),
  };

  tell (worker, &event);
}

void
standin_worker_log_call (StandinWorker *worker,
                         const char *name,
                         const char *reason,
                         const MuxWorkerCall *call,
                         int64_t now_ms)
{
  StandinWorkerEvent event = {
    .event = name,
    .mono_ms = now_ms,
    .task = call->task,
    .class_name = call->class_name,
    .home = call->home,
    .owner = call->owner,
    .epoch = call->epoch,
    .size = call->size,
    .reason = reason,
    .body = call->body,
  };

  tell (worker, &event);
}

StandinTask *
standin_worker_find (StandinWorker *worker, MuxId id)
{
  StandinTask *task = NULL;

  HASH_FIND (hh, worker->by_id, &id, sizeof id, task);
  return task;
}

static void
touch (StandinWorker *worker, StandinTask *task)
{
  if (task->change != 0)
    DL_DELETE (worker->changes, task);
  task->change = ++worker->change;
  DL_APPEND (worker->changes, task);
}

void
standin_worker_add (StandinWorker *worker, StandinTask *task)
{
  HASH_ADD (hh, worker->by_id, id, sizeof task->id, task);
  touch (worker, task);
}

void
standin_worker_end_task (StandinWorker *worker,
                         StandinTask *task,
                         MuxTaskState state,
                         const char *reason,
                         int64_t now_ms)
{
  DL_DELETE2 (worker->running, task, run_prev, run_next);
  worker->running_count--;
  worker->used = mux_size_sub (worker->used, task->size);
  task->state = state;
  task->ended_ms = now_ms;
  if (state == MUX_TASK_DONE)
    task->answer = standin_worker_task_answer (task, "answer");
  else if (state == MUX_TASK_FAILED)
    task->answer = standin_worker_task_answer (task, "failed");
  DL_APPEND2 (worker->ended, task, end_prev, end_next);
  touch (worker, task);
  if (state == MUX_TASK_STOPPED)
    standin_worker_log_task (worker, "stop", reason, task, now_ms);
  standin_worker_log_task (worker, "end", reason, task, now_ms);
  mux_blob_unref (task->body);
  task->body = NULL;
  if (worker->options.on_end != NULL)
    worker->options.on_end (worker->options.ctx, task->id);
}

static int64_t
lapse_ms (const StandinWorker *worker)
{
  return worker->lease_until_ms + worker->options.grace_ms;
}

void
standin_worker_end_due (StandinWorker *worker, int64_t now_ms)
{
  int64_t until_ms = now_ms < lapse_ms (worker) ? now_ms : lapse_ms (worker);
  StandinTask *task;
  StandinTask *next;

  for (task = worker->running; task != NULL; task = next)
    {
      next = task->run_next;
      if (task->ends_ms <= until_ms)
        standin_worker_end_task (
            worker, task, task->will_fail ? MUX_TASK_FAILED : MUX_TASK_DONE,
            NULL, task->ends_ms);
      else if (now_ms >= lapse_ms (worker))
        standin_worker_end_task (worker, task, MUX_TASK_STOPPED, "lease",
                                 now_ms);
    }
}

static void
show_usage (StandinWorker *worker, int64_t now_ms)
{
  StandinTask *task;

  for (task = worker->running; task != NULL; task = task->run_next)
    {
      if (task->usage_ms > now_ms)
        continue;
      task->usage_ms = STANDIN_WORKER_NEVER;
      task->used = task->will_use;
      touch (worker, task);
    }
}

static void
drop (StandinWorker *worker, StandinTask *task)
{
  DL_DELETE (worker->changes, task);
  HASH_DEL (worker->by_id, task);
  standin_worker_task_free (task);
}

/* Removes tombstones and results after retain_ms.  The task itself is kept for
 * as long again, so that a repeated START does not run it. */
static void
expire (StandinWorker *worker, int64_t now_ms)
{
  int64_t old_ms = now_ms - worker->options.retain_ms;
  StandinTask *task;

  while ((task = worker->ended) != NULL && task->ended_ms <= old_ms)
    {
      DL_DELETE2 (worker->ended, task, end_prev, end_next);
      if (task->state == MUX_TASK_FORGOTTEN)
        {
          drop (worker, task);
          continue;
        }
      mux_blob_unref (task->answer);
      task->answer = NULL;
      if (task->state == MUX_TASK_DONE)
        task->state = MUX_TASK_DONE_GONE;
      DL_APPEND2 (worker->gone, task, end_prev, end_next);
    }
  old_ms -= worker->options.retain_ms;
  while ((task = worker->gone) != NULL && task->ended_ms <= old_ms)
    {
      DL_DELETE2 (worker->gone, task, end_prev, end_next);
      drop (worker, task);
    }
}

static int64_t
next_due (const StandinWorker *worker)
{
  int64_t due_ms
      = worker->running != NULL ? lapse_ms (worker) : STANDIN_WORKER_NEVER;
  const StandinTask *task;

  for (task = worker->running; task != NULL; task = task->run_next)
    {
      if (task->ends_ms < due_ms)
        due_ms = task->ends_ms;
      if (task->usage_ms < due_ms)
        due_ms = task->usage_ms;
    }
  return due_ms;
}

int64_t
standin_worker_tick (StandinWorker *worker, int64_t now_ms)
{
  standin_worker_end_due (worker, now_ms);
  show_usage (worker, now_ms);
  expire (worker, now_ms);
  return next_due (worker);
}
