#include "task_private.h"

#include "budget.h"
#include "commit.h"
#include "config.h"
#include "jobs.h"
#include "timers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A task whose callers have all been answered "unknown" is minded so long. */
#define LINGER_MS 600000
/* Wait advised while this daemon has no configuration yet. */
#define NOT_READY_RETRY_MS 1000

Task *
task_find (MuxCore *core, MuxId key)
{
  Task *task;

  HASH_FIND (hh, core->tasks, &key, sizeof key, task);
  return task;
}

void
task_wake (MuxCore *core, Task *task, int64_t after_ms)
{
  task->wake_ms = core->now_ms + after_ms;
  timers_add (core->timers, task->wake_ms, task->key);
}

static bool
waiter_add (MuxCore *core, Task *task, uint64_t call, int64_t give_up_ms)
{
  Waiter *waiter = calloc (1, sizeof *waiter);

  if (waiter == NULL || !timers_add (core->timers, give_up_ms, task->key))
    {
      free (waiter);
      return false;
    }
  /*
   * Failure: a caller told "unknown" asks again; the task has lingered without
   * callers, with a time limit of its own, and the new caller, who has a
   * shorter one, would be held until that.  The first caller's limit is the
   * task's, and only another caller's can make it later.
   */
  if (task->waiters == NULL || give_up_ms > task->give_up_ms)
    task->give_up_ms = give_up_ms;
  waiter->call = call;
  waiter->give_up_ms = give_up_ms;
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
task_attempt_set (MuxCore *core, Task *task, uint32_t attempt)
{
  if (task->by_id.tbl != NULL)
    HASH_DELETE (by_id, core->tasks_by_id, task);
  task->attempt = attempt;
  task->id = mux_id_of_part (task->key, attempt);
  HASH_ADD (by_id, core->tasks_by_id, id, sizeof task->id, task);
}

static Task *
task_make (MuxCore *core, const TaskOptions *options)
{
  const MuxClassSpec *spec = options->spec;
  Task *task = calloc (1, sizeof *task);

  if (task == NULL)
    return NULL;
  task->key = options->key;
  task_attempt_set (core, task, options->attempt);
  mux_name_copy (task->class_name, spec->name);
  task->kind = spec->kind;
  task->size = spec->size;
  task->size.slots = 1;
  task->run_ms = spec->run_ms;
  task->idempotent = spec->idempotent;
  task->keyed = options->keyed;
  task->minting = options->minting;
  task->has_job = !mux_id_is_none (options->job);
  task->job = options->job;
  task->job_index = options->job_index;
  task->in_gang = options->in_gang;
  task->start_by_ms = core->now_ms + spec->start_within_ms;
  task->give_up_ms = options->give_up_ms;
  task->body = mux_blob_ref (options->body);
  HASH_ADD (hh, core->tasks, key, sizeof task->key, task);
  if (options->call != 0
      && !waiter_add (core, task, options->call, options->give_up_ms))
    {
      task_free (core, task);
      return NULL;
    }
  budget_earn (core, task->class_name);
  return task;
}

bool
task_begin (MuxCore *core, const TaskOptions *options)
{
  Task *task = task_make (core, options);

  if (task == NULL)
    return false;
  task->state = task->in_gang ? TASK_WAITING : TASK_ASKING;
  if (!task->in_gang)
    task_ask (core, task);
  return true;
}

bool
task_resume (MuxCore *core, const TaskOptions *options, const Intent *at)
{
  Task *task = task_make (core, options);

  if (task == NULL)
    return false;
  task->at = *at;
  task->state = TASK_FOLLOWING;
  task_fetch (core, task, 0);
  task_wake (core, task, WORKER_TIMEOUT_MS * 2);
  return true;
}

void
task_mark_refused (Task *task)
{
  for (Waiter *waiter = task->waiters; waiter != NULL; waiter = waiter->next)
    waiter->refused = true;
}

bool
task_tell_refused (MuxCore *core, Task *task, MuxOutcome outcome)
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
      core_answer (core, waiter->call, outcome, task->last_reason,
                   task->last_retry_ms, (MuxId){ 0, 0 }, NULL);
      free (waiter);
    }
  return task->waiters != NULL;
}

/*
 * Failure: work without a key may have run, its caller is told to come back,
 * does so, and it runs a second time.
 */
uint32_t
task_unknown_retry_ms (const Task *task)
{
  return task->keyed || task->ticketed || task->idempotent ? UNKNOWN_RETRY_MS
                                                           : 0;
}

void
task_detach (MuxCore *core,
             Task *task,
             MuxOutcome outcome,
             MuxReason reason,
             uint32_t retry_ms)
{
  while (task->waiters != NULL)
    {
      Waiter *waiter = task->waiters;

      task->waiters = waiter->next;
      core_answer (core, waiter->call, outcome, reason, retry_ms, task->id,
                   NULL);
      free (waiter);
    }
  task->give_up_ms = core->now_ms + LINGER_MS;
  timers_add (core->timers, task->give_up_ms, task->key);
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

  /* All submissions of a key share its attempts' ids: another one may run
   * the attempt that this one did not. */
  if (task->keyed && outcome == MUX_OUTCOME_NOT_RUN)
    named = (MuxId){ 0, 0 };
  while (task->waiters != NULL)
    {
      Waiter *waiter = task->waiters;

      task->waiters = waiter->next;
      core_answer (core, waiter->call, outcome, reason, retry_ms, named,
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
  task_ask_cancel (core, task);
  task_free (core, task);
}

/* A caller whose time is over while others still wait for the same task: it
 * may still run for them, so this one can't be told "not run". */
static void
expire_waiters (MuxCore *core, Task *task)
{
  Waiter **at = &task->waiters;

  while (*at != NULL)
    {
      Waiter *waiter = *at;

      if (waiter->give_up_ms > core->now_ms
          || (task->waiters == waiter && waiter->next == NULL))
        {
          at = &waiter->next;
          continue;
        }
      *at = waiter->next;
      core_answer (core, waiter->call, MUX_OUTCOME_UNKNOWN,
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
  if (core->now_ms >= task->give_up_ms)
    event.kind = TASK_EV_GIVE_UP;
  else if (task->wake_ms != at_ms)
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
    /* Its worker may have gone with the daemon that would have told of it,
     * and that need not be the one that granted it. */
    if (task->has_job && task->state == TASK_RUNNING)
      task_look_soon (core, task);
    if ((task->state != TASK_ASKING && task->state != TASK_HOLDING)
        || strcmp (task->owner, owner) != 0)
      continue;
    task_event (core, task, &event);
  }
}

static Task *
of_attempt (MuxCore *core, MuxId id)
{
  Task *task;

  HASH_FIND (by_id, core->tasks_by_id, &id, sizeof id, task);
  return task;
}

static void
on_grant (MuxCore *core, const MuxPeerMsg *msg)
{
  Task *task = of_attempt (core, msg->task);
  TaskEvent event = { .kind = TASK_EV_GRANTED, .msg = msg };

  if (task != NULL && strcmp (task->owner, msg->from) == 0)
    {
      if (task->state == TASK_ASKING)
        task_event (core, task, &event);
      return;
    }
  /* From an owner that was given up on: its room must not stay booked. */
  task_release_stray (core, msg);
}

static void
on_refused (MuxCore *core, const MuxPeerMsg *msg)
{
  Task *task = of_attempt (core, msg->task);
  TaskEvent event = { .kind = TASK_EV_REFUSED,
                      .msg = msg,
                      .reason = msg->reason,
                      .retry_ms = msg->retry_ms };

  if (task != NULL && task->state == TASK_ASKING
      && strcmp (task->owner, msg->from) == 0)
    task_event (core, task, &event);
}

static void
on_ended (MuxCore *core, const MuxPeerMsg *msg)
{
  Task *task = of_attempt (core, msg->task);
  TaskEvent event
      = { .kind = TASK_EV_OTHER_LIFE, .reason = MUX_REASON_FENCED_INCARNATION };

  if (task == NULL)
    return;
  if (msg->state != MUX_TASK_ABSENT)
    {
      /* Only news that there is something to fetch: the answer itself comes
       * from the worker. */
      task->granted = false;
      if (task->state == TASK_RUNNING || task->state == TASK_STARTED)
        task_fetch (core, task, 0);
      return;
    }
  if (strcmp (msg->worker, task->at.worker) == 0)
    task_event (core, task, &event);
}

void
tasks_peer (MuxCore *core, const MuxPeerMsg *msg)
{
  switch (msg->verb)
    {
    case MUX_PEER_GRANT:
      on_grant (core, msg);
      break;
    case MUX_PEER_GRANT_REFUSED:
      on_refused (core, msg);
      break;
    default:
      on_ended (core, msg);
      break;
    }
}

static void
refuse_request (MuxCore *core,
                const MuxAsk *ask,
                MuxReason reason,
                uint32_t retry_ms)
{
  /* Another time or elsewhere the same may be taken, or have been. */
  bool named = ask->key[0] != 0 || ask->ticket[0] != 0;

  core_answer (core, ask->call,
               named && mux_reason_passes (reason) ? MUX_OUTCOME_UNKNOWN
                                                   : MUX_OUTCOME_NOT_RUN,
               reason, retry_ms, (MuxId){ 0, 0 }, NULL);
}

static bool
same_body (const MuxBlob *a, const MuxBlob *b)
{
  size_t a_len = a == NULL ? 0 : a->len;
  size_t b_len = b == NULL ? 0 : b->len;

  return a_len == b_len
         && (a_len == 0 || memcmp (a->bytes, b->bytes, a_len) == 0);
}

/* The same key again at the same daemon: both get the one answer. */
void
task_join (MuxCore *core, Task *task, const MuxAsk *ask)
{
  if (!same_body (task->body, ask->body))
    refuse_request (core, ask, MUX_REASON_KEY_IN_USE, 0);
  else if (!waiter_add (core, task, ask->call, core->now_ms + ask->give_up_ms))
    refuse_request (core, ask, MUX_REASON_INTERNAL, RETRY_MS);
}

bool
task_request_refused (MuxCore *core,
                      const MuxAsk *ask,
                      const MuxClassSpec *spec)
{
  if (core->stopping)
    refuse_request (core, ask, MUX_REASON_STOPPING, RETRY_MS);
  else if (!config_loaded (core))
    refuse_request (core, ask, MUX_REASON_STORE_DOWN, NOT_READY_RETRY_MS);
  else if (spec == NULL)
    refuse_request (core, ask, MUX_REASON_UNKNOWN_CLASS, 0);
  else if (spec->kind != MUX_KIND_SERVICE)
    refuse_request (core, ask, MUX_REASON_KIND_MISMATCH, 0);
  else if (ask->give_up_ms == 0)
    refuse_request (core, ask, MUX_REASON_DEADLINE, 0);
  else
    return false;
  return true;
}

void
tasks_request (MuxCore *core, const MuxAsk *ask)
{
  const MuxClassSpec *spec = config_class (core, ask->name);
  TaskOptions options = { .spec = spec,
                          .body = ask->body,
                          .call = ask->call,
                          .give_up_ms = core->now_ms + ask->give_up_ms,
                          .attempt = 1 };
  Task *task;

  mux_count (core->counters, MUX_COUNT_REQUESTS, 1);
  if (task_request_refused (core, ask, spec))
    return;
  if (ask->key[0] == 0)
    {
      options.key = core_mint (core);
    }
  else
    {
      options.key = mux_id_of_key (ask->name, ask->key);
      options.keyed = true;
    }
  task = task_find (core, options.key);
  if (task != NULL)
    {
      task_join (core, task, ask);
      return;
    }
  if (HASH_COUNT (core->tasks) >= core->opt.queue_max * 2)
    {
      refuse_request (core, ask, MUX_REASON_QUEUE_FULL, RETRY_MS);
      return;
    }
  if (options.keyed && !spec->idempotent && commit_store_down (core))
    {
      refuse_request (core, ask, MUX_REASON_STORE_DOWN, NOT_READY_RETRY_MS);
      return;
    }
  if (!task_begin (core, &options))
    refuse_request (core, ask, MUX_REASON_INTERNAL, RETRY_MS);
}

bool
task_begin_ticket (MuxCore *core,
                   const MuxAsk *ask,
                   const MuxClassSpec *spec,
                   const Ticket *ticket)
{
  TaskOptions options = { .spec = spec,
                          .key = ticket->key,
                          .body = ask->body,
                          .call = ask->call,
                          .give_up_ms = core->now_ms + ask->give_up_ms,
                          .attempt = 1 };
  Task *task = task_make (core, &options);

  if (task == NULL)
    return false;
  task->ticketed = true;
  task->granted = true;
  mux_name_copy (task->owner, ticket->owner);
  task->epoch = ticket->epoch;
  task->at = (Intent){ .attempt = 1,
                       .incarnation = ticket->incarnation,
                       .not_after_ms = ticket->not_after_ms,
                       .home_incarnation = core->opt.incarnation };
  mux_name_copy (task->at.worker, ticket->worker);
  mux_name_copy (task->at.home, core->name);
  snprintf (task->at.addr, sizeof task->at.addr, "%s", ticket->addr);
  task_start_now (core, task);
  return true;
}

uint32_t
tasks_waiting (const MuxCore *core)
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
    /* Every ask gets its answer, also when the daemon ends before it can be
     * told. */
    while (task->waiters != NULL)
      {
        Waiter *waiter = task->waiters;

        task->waiters = waiter->next;
        core_answer (core, waiter->call, MUX_OUTCOME_UNKNOWN,
                     MUX_REASON_STOPPING, task_unknown_retry_ms (task),
                     task->id, NULL);
        free (waiter);
      }
    task_free (core, task);
  }
  budgets_free (core);
}
