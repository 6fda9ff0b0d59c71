#include "task_private.h"

#include "retry_budget.h"
#include "commit.h"
#include "config.h"
#include "jobs.h"
#include "timers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Tasks at their home: creation, callers, timers and end. */

/* How long a task is still handled after its callers were answered "unknown".
 */
#define LINGER_MS 600000

Task *
task_find (MuxCore *core, MuxId key)
{
  Task *task;

  HASH_FIND (hh, core->tasks, &key, sizeof key, task);
  return task;
}

void
task_set_timer (MuxCore *core, Task *task, int64_t after_ms)
{
  task->timer_ms = core->now_ms + after_ms;
  timers_add (core->timers, task->timer_ms, task->key);
}

bool
task_add_waiter (MuxCore *core,
                 Task *task,
                 uint64_t call_id,
                 int64_t expires_ms)
{
  Waiter *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL || !timers_add (core->timers, expires_ms, task->key))
    {
      free (waiter);
      return false;
    }
  /*
   * A caller that was answered "unknown" may come back while the task still
   * lingers with a limit of its own.  If that limit stayed, a caller with a
   * shorter one would be kept waiting until it.  So the first caller sets the
   * limit, and further ones can only make it later.
   */
  if (task->waiters == NULL || expires_ms > task->expires_ms)
    task->expires_ms = expires_ms;
  waiter->call_id = call_id;
  waiter->expires_ms = expires_ms;
  waiter->next = task->waiters;
  task->waiters = waiter;
  return true;
}

void
task_free (MuxCore *core, Task *task)
{
  while (task->waiters != NULL)
    {
      Waiter *waiter = task->waiters;

      task->waiters = waiter->next;
      free (waiter);
    }
  HASH_DELETE (by_id, core->tasks_by_id, task);
  HASH_DEL (core->tasks, task);
  mux_blob_unref (task->body);
  free (task);
}

void
task_set_attempt (MuxCore *core, Task *task, uint32_t attempt)
{
  if (task->by_id.tbl != NULL)
    HASH_DELETE (by_id, core->tasks_by_id, task);
  task->attempt = attempt;
  task->id = mux_id_derive (task->key, attempt);
  HASH_ADD (by_id, core->tasks_by_id, id, sizeof task->id, task);
}

Task *
task_new (MuxCore *core, const TaskOptions *options)
{
  const MuxClassSpec *spec = options->spec;
  Task *task = calloc (1, sizeof *task);

  if (task == NULL)
    return NULL;
  task->key = options->key;
  task_set_attempt (core, task, options->attempt);
  mux_name_copy (task->class_name, spec->name);
  task->kind = spec->kind;
  task->size = spec->size;
  task->size.slots = 1;
  task->run_ms = spec->run_ms;
  task->idempotent = spec->idempotent;
  task->keyed = options->keyed;
  task->for_ticket = options->for_ticket;
  task->key_is_new = options->key_is_new;
  task->has_job = !mux_id_is_none (options->job);
  task->job = options->job;
  task->job_index = options->job_index;
  task->in_gang = options->in_gang;
  task->start_by_ms = core->now_ms + spec->start_within_ms;
  task->expires_ms = options->expires_ms;
  task->body = mux_blob_ref (options->body);
  HASH_ADD (hh, core->tasks, key, sizeof task->key, task);
  if (options->call_id != 0
      && !task_add_waiter (core, task, options->call_id, options->expires_ms))
    {
      task_free (core, task);
      return NULL;
    }
  retry_budget_credit (core, task->class_name);
  return task;
}

bool
task_begin (MuxCore *core, const TaskOptions *options)
{
  Task *task = task_new (core, options);

  if (task == NULL)
    return false;
  task->state = task->in_gang ? TASK_WAITING : TASK_REQUESTING;
  if (!task->in_gang)
    task_request_room (core, task);
  return true;
}

bool
task_resume (MuxCore *core, const TaskOptions *options, const Intent *at)
{
  Task *task = task_new (core, options);

  if (task == NULL)
    return false;
  task->placement = *at;
  task->state = TASK_FOLLOWING;
  task_call_fetch (core, task, 0);
  task_set_timer (core, task, WORKER_TIMEOUT_MS * 2);
  return true;
}

void
task_mark_waiters_refused (Task *task)
{
  for (Waiter *waiter = task->waiters; waiter != NULL; waiter = waiter->next)
    waiter->refused = true;
}

bool
task_respond_refused (MuxCore *core, Task *task, MuxOutcome outcome)
{
  Waiter **at = &task->waiters;

  while (*at != NULL)
    {
      Waiter *waiter = *at;

      if (!waiter->refused)
        {
          at = &waiter->next;
          continue;
        }
      *at = waiter->next;
      /* No attempt is named: another submission of the key may run it. */
      core_respond (core, waiter->call_id, outcome, task->last_reason,
                    task->last_retry_ms, (MuxId){ 0, 0 }, NULL);
      free (waiter);
    }
  return task->waiters != NULL;
}

/*
 * A caller with work that can't be recognised when it is sent again must not be
 * advised to retry: it may have run, and the retry would run it a second time.
 */
uint32_t
task_unknown_retry_ms (const Task *task)
{
  return task->keyed || task->ticketed || task->idempotent ? UNKNOWN_RETRY_MS
                                                           : 0;
}

void
task_detach_callers (MuxCore *core,
                     Task *task,
                     MuxOutcome outcome,
                     MuxReason reason,
                     uint32_t retry_ms)
{
  while (task->waiters != NULL)
    {
      Waiter *waiter = task->waiters;

      task->waiters = waiter->next;
      core_respond (core, waiter->call_id, outcome, reason, retry_ms, task->id,
                    NULL);
      free (waiter);
    }
  task->expires_ms = core->now_ms + LINGER_MS;
  timers_add (core->timers, task->expires_ms, task->key);
}

void
task_finish (MuxCore *core,
             Task *task,
             MuxOutcome outcome,
             MuxReason reason,
             uint32_t retry_ms,
             MuxTaskState state,
             MuxBlob *result)
{
  MuxId named = task->id;

  /* All submissions of a key share the ids of its attempts: another one may run
   * the attempt that this one did not. */
  if (task->keyed && outcome == MUX_OUTCOME_NOT_RUN)
    named = (MuxId){ 0, 0 };
  while (task->waiters != NULL)
    {
      Waiter *waiter = task->waiters;

      task->waiters = waiter->next;
      core_respond (core, waiter->call_id, outcome, reason, retry_ms, named,
                    result);
      free (waiter);
    }
  if (task->has_job)
    jobs_task_ended (core, task, outcome, reason, state, result);
  task_free (core, task);
}

void
task_drop (MuxCore *core, Task *task)
{
  task_cancel_request (core, task);
  task_free (core, task);
}

/* Answers callers whose time limit has passed while others still wait for the
 * task: it may yet run for those, so the answer can't be "not run". */
static void
expire_waiters (MuxCore *core, Task *task)
{
  Waiter **at = &task->waiters;

  while (*at != NULL)
    {
      Waiter *waiter = *at;

      if (waiter->expires_ms > core->now_ms
          || (task->waiters == waiter && waiter->next == NULL))
        {
          at = &waiter->next;
          continue;
        }
      *at = waiter->next;
      core_respond (core, waiter->call_id, MUX_OUTCOME_UNKNOWN,
                    MUX_REASON_UNKNOWN_FATE, task_unknown_retry_ms (task),
                    task->id, NULL);
      free (waiter);
    }
}

void
tasks_timer (MuxCore *core, int64_t at_ms, MuxId subject)
{
  Task *task = task_find (core, subject);
  TaskEvent event = { .kind = TASK_EV_TIMER };

  if (task == NULL)
    return;
  expire_waiters (core, task);
  if (core->now_ms >= task->expires_ms)
    event.kind = TASK_EV_EXPIRED;
  else if (task->timer_ms != at_ms)
    return;
  task_event (core, task, &event);
}

void
tasks_owner_lost (MuxCore *core, const char *owner)
{
  TaskEvent event
      = { .kind = TASK_EV_REFUSED, .reason = MUX_REASON_PEER_SILENT };
  Task *task, *next;

  HASH_ITER (hh, core->tasks, task, next)
  {
    /* The worker may have failed together with the daemon that would report the
     * task's end, and that need not be the one that granted it. */
    if (task->has_job && task->state == TASK_RUNNING)
      task_poll_soon (core, task);
    if ((task->state != TASK_REQUESTING && task->state != TASK_HOLDING)
        || strcmp (task->owner, owner) != 0)
      continue;
    task_event (core, task, &event);
  }
}

uint32_t
tasks_waiting_count (const MuxCore *core)
{
  uint32_t waiting = 0;

  for (const Task *t = core->tasks; t != NULL; t = t->hh.next)
    if (t->waiters != NULL)
      waiting++;
  return waiting;
}

void
tasks_free (MuxCore *core)
{
  Task *task, *next;

  HASH_ITER (hh, core->tasks, task, next)
  {
    /* Every request is answered, also when the daemon exits before the result
     * is known. */
    while (task->waiters != NULL)
      {
        Waiter *waiter = task->waiters;

        task->waiters = waiter->next;
        core_respond (core, waiter->call_id, MUX_OUTCOME_UNKNOWN,
                      MUX_REASON_STOPPING, task_unknown_retry_ms (task),
                      task->id, NULL);
        free (waiter);
      }
    task_free (core, task);
  }
  retry_budgets_free (core);
}
