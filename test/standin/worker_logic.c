#include "standin/worker_logic.h"

#include "standin/worker_state.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Most changes in the reply to one renewal; the next reply has the rest. */
#define CHANGES_MAX 512
#define FAIL_ALL_MS 5

StandinWorker *
standin_worker_new (const StandinWorkerOptions *options)
{
  StandinWorker *worker = calloc (1, sizeof *worker);

  if (worker == NULL)
    return NULL;
  worker->options = *options;
  mux_name_copy (worker->name, options->name);
  worker->options.name = worker->name;
  return worker;
}

void
standin_worker_free (StandinWorker *worker)
{
  StandinTask *task;
  StandinTask *next;

  if (worker == NULL)
    return;
  HASH_CLEAR (hh, worker->by_id);
  for (task = worker->changes; task != NULL; task = next)
    {
      next = task->next;
      standin_worker_task_free (task);
    }
  free (worker);
}

void
standin_worker_set_leaving (StandinWorker *worker, bool leaving)
{
  worker->leaving = leaving;
}

void
standin_worker_set_fail_all (StandinWorker *worker, bool fail_all)
{
  worker->fail_all = fail_all;
}

static MuxWorkerReply *
reply_new (const StandinWorker *worker,
           const MuxWorkerCall *call,
           MuxWorkerStatus status,
           uint32_t reports,
           int64_t now_ms)
{
  MuxWorkerReply *reply = mux_worker_reply_new (call, status, reports);

  if (reply == NULL)
    return NULL;
  mux_name_copy (reply->worker, worker->name);
  reply->incarnation = worker->options.incarnation;
  reply->epoch = worker->epoch;
  if (worker->claimed)
    mux_name_copy (reply->owner, worker->owner);
  reply->worker_clock_ms = now_ms;
  reply->capacity = worker->options.capacity;
  reply->leaving = worker->leaving;
  reply->cursor = worker->change;
  return reply;
}

static MuxWorkerReply *
reply_task (const StandinWorker *worker,
            const MuxWorkerCall *call,
            const StandinTask *task,
            int64_t now_ms)
{
  MuxWorkerReply *reply = reply_new (worker, call, MUX_WORKER_OK, 0, now_ms);

  if (reply == NULL || task == NULL)
    return reply;
  reply->state = task->state;
  reply->ran_ms = standin_worker_task_ran_ms (task, now_ms);
  reply->result = mux_blob_ref (task->answer);
  return reply;
}

static void
report (const StandinTask *task, MuxTaskReport *out, int64_t now_ms)
{
  out->task = task->id;
  out->state = task->state;
  mux_name_copy (out->class_name, task->class_name);
  mux_name_copy (out->home, task->home);
  out->kind = task->kind;
  out->size = task->size;
  out->used = task->used;
  out->ran_ms = standin_worker_task_ran_ms (task, now_ms);
}

static MuxWorkerReply *
refuse (StandinWorker *worker,
        const MuxWorkerCall *call,
        MuxWorkerStatus status,
        const char *reason,
        int64_t now_ms)
{
  standin_worker_log_call (worker, "refuse", reason, call, now_ms);
  return reply_new (worker, call, status, 0, now_ms);
}

static MuxWorkerReply *
do_claim (StandinWorker *worker, const MuxWorkerCall *call, int64_t now_ms)
{
  MuxWorkerReply *reply;
  const StandinTask *task;
  uint32_t i = 0;

  if (call->epoch <= worker->epoch)
    return refuse (worker, call, MUX_WORKER_OLD_EPOCH, "old_epoch", now_ms);
  worker->epoch = call->epoch;
  worker->claimed = true;
  worker->lease_until_ms = now_ms + call->lease_ms;
  mux_name_copy (worker->owner, call->owner);
  standin_worker_log_call (worker, "claim", NULL, call, now_ms);
  reply
      = reply_new (worker, call, MUX_WORKER_OK, worker->running_count, now_ms);
  if (reply == NULL)
    return NULL;
  for (task = worker->running; task != NULL; task = task->run_next)
    {
      report (task, &reply->reports[i++], now_ms);
    }
  return reply;
}

/* Return: the first task changed after @cursor; NULL: none. */
static const StandinTask *
first_change (const StandinWorker *worker, uint64_t cursor)
{
  const StandinTask *task = worker->changes;

  if (task == NULL || task->prev->change <= cursor)
    return NULL;
  task = task->prev;
  while (task != worker->changes && task->prev->change > cursor)
    task = task->prev;
  return task;
}

static MuxWorkerReply *
do_renew (StandinWorker *worker, const MuxWorkerCall *call, int64_t now_ms)
{
  const StandinTask *task = first_change (worker, call->cursor);
  MuxWorkerReply *reply
      = reply_new (worker, call, MUX_WORKER_OK, CHANGES_MAX, now_ms);
  uint32_t count = 0;

  if (reply == NULL)
    return NULL;
  worker->lease_until_ms = now_ms + call->lease_ms;
  for (; task != NULL && count < CHANGES_MAX; task = task->next)
    {
      if (task->state != MUX_TASK_FORGOTTEN)
        report (task, &reply->reports[count++], now_ms);
      reply->cursor = task->change;
    }
  reply->report_count = count;
  return reply;
}

static MuxWorkerReply *
start_new (StandinWorker *worker, const MuxWorkerCall *call, int64_t now_ms)
{
  StandinTask *task
      = standin_worker_task_new (call, now_ms, worker->options.run_ms);

  if (task == NULL)
    return NULL;
  if (worker->fail_all)
    {
      task->will_fail = true;
      task->ends_ms = now_ms + FAIL_ALL_MS;
    }
  task->usage_ms = now_ms + worker->options.usage_lag_ms;
  worker->used = mux_size_add (worker->used, task->size);
  worker->running_count++;
  DL_APPEND2 (worker->running, task, run_prev, run_next);
  standin_worker_add (worker, task);
  standin_worker_log_task (worker, "start", NULL, task, now_ms);
  standin_worker_end_due (worker, now_ms);
  return reply_task (worker, call, task, now_ms);
}

static MuxWorkerReply *
do_start (StandinWorker *worker,
          const MuxWorkerCall *call,
          int64_t now_ms,
          bool *repeated)
{
  StandinTask *task = standin_worker_find (worker, call->task);
  MuxSize free = mux_size_sub (worker->options.capacity, worker->used);
  MuxSize need = call->size;

  need.slots = 1;
  if (task != NULL && task->state == MUX_TASK_FORGOTTEN)
    return refuse (worker, call, MUX_WORKER_TOMBSTONE, "tombstone", now_ms);
  if (task != NULL)
    {
      *repeated = true;
      return reply_task (worker, call, task, now_ms);
    }
  if (call->epoch < worker->epoch)
    return refuse (worker, call, MUX_WORKER_OLD_EPOCH, "old_epoch", now_ms);
  if (call->epoch > worker->epoch)
    return refuse (worker, call, MUX_WORKER_BAD_REQUEST, "unknown_epoch",
                   now_ms);
  if (!worker->claimed || now_ms >= worker->lease_until_ms)
    return refuse (worker, call, MUX_WORKER_OLD_EPOCH, "lapsed", now_ms);
  if (call->not_after_ms != 0 && now_ms > call->not_after_ms)
    return refuse (worker, call, MUX_WORKER_PAST_DEADLINE, "late", now_ms);
  if (worker->leaving)
    return refuse (worker, call, MUX_WORKER_IS_LEAVING, "leaving", now_ms);
  if (!mux_size_fits (need, free))
    {
      standin_worker_log_call (worker, "overcommit_attempt", NULL, call,
                               now_ms);
      return refuse (worker, call, MUX_WORKER_NO_ROOM, "no_room", now_ms);
    }
  return start_new (worker, call, now_ms);
}

static MuxWorkerReply *
do_forget (StandinWorker *worker, const MuxWorkerCall *call, int64_t now_ms)
{
  StandinTask *task = standin_worker_find (worker, call->task);

  if (task != NULL)
    return reply_task (worker, call, task, now_ms);
  task = calloc (1, sizeof *task);
  if (task == NULL)
    return NULL;
  task->id = call->task;
  task->state = MUX_TASK_FORGOTTEN;
  task->ended_ms = now_ms;
  DL_APPEND2 (worker->ended, task, end_prev, end_next);
  standin_worker_add (worker, task);
  standin_worker_log_task (worker, "forget", NULL, task, now_ms);
  return reply_task (worker, call, task, now_ms);
}

static MuxWorkerReply *
do_stop (StandinWorker *worker, const MuxWorkerCall *call, int64_t now_ms)
{
  StandinTask *task = standin_worker_find (worker, call->task);

  if (task != NULL && task->state == MUX_TASK_RUNNING)
    standin_worker_end_task (worker, task, MUX_TASK_STOPPED, "asked", now_ms);
  return reply_task (worker, call, task, now_ms);
}

static MuxWorkerReply *
do_note (StandinWorker *worker,
         const MuxWorkerCall *call,
         const char *event,
         int64_t now_ms)
{
  const StandinTask *task = standin_worker_find (worker, call->task);

  if (task != NULL && task->state == MUX_TASK_RUNNING)
    standin_worker_log_task (worker, event, NULL, task, now_ms);
  return reply_task (worker, call, task, now_ms);
}

static MuxWorkerReply *
do_release (StandinWorker *worker, const MuxWorkerCall *call, int64_t now_ms)
{
  worker->claimed = false;
  standin_worker_log_call (worker, "release", NULL, call, now_ms);
  return reply_new (worker, call, MUX_WORKER_OK, 0, now_ms);
}

/* CLAIM and START check the epoch themselves; an epoch of 0 is not checked. */
static MuxWorkerStatus
check_epoch (const StandinWorker *worker, const MuxWorkerCall *call)
{
  bool of_claim
      = call->verb == MUX_WORKER_RENEW || call->verb == MUX_WORKER_RELEASE;

  if (call->verb == MUX_WORKER_CLAIM || call->verb == MUX_WORKER_START
      || (call->epoch == 0 && !of_claim))
    return MUX_WORKER_OK;
  if (call->epoch > worker->epoch)
    return MUX_WORKER_BAD_REQUEST;
  if (call->epoch < worker->epoch || (of_claim && !worker->claimed))
    return MUX_WORKER_OLD_EPOCH;
  return MUX_WORKER_OK;
}

MuxWorkerReply *
standin_worker_call (StandinWorker *worker,
                     const MuxWorkerCall *call,
                     int64_t now_ms,
                     bool *repeated)
{
  bool ignored = false;
  MuxWorkerStatus status = check_epoch (worker, call);

  if (repeated == NULL)
    repeated = &ignored;
  *repeated = false;
  standin_worker_tick (worker, now_ms);
  if (call->incarnation != 0
      && call->incarnation != worker->options.incarnation)
    return refuse (worker, call, MUX_WORKER_OLD_INCARNATION, "old_incarnation",
                   now_ms);
  if (status != MUX_WORKER_OK)
    return refuse (worker, call, status,
                   status == MUX_WORKER_BAD_REQUEST ? "unknown_epoch"
                                                    : "old_epoch",
                   now_ms);
  switch (call->verb)
    {
    case MUX_WORKER_CLAIM:
      return do_claim (worker, call, now_ms);
    case MUX_WORKER_RENEW:
      return do_renew (worker, call, now_ms);
    case MUX_WORKER_START:
      return do_start (worker, call, now_ms, repeated);
    case MUX_WORKER_FETCH:
      return reply_task (worker, call, standin_worker_find (worker, call->task),
                         now_ms);
    case MUX_WORKER_FORGET:
      return do_forget (worker, call, now_ms);
    case MUX_WORKER_STOP:
      return do_stop (worker, call, now_ms);
    case MUX_WORKER_CHECKPOINT:
      return do_note (worker, call, "checkpoint", now_ms);
    case MUX_WORKER_THROTTLE:
      return do_note (worker, call, "throttle", now_ms);
    case MUX_WORKER_RELEASE:
      return do_release (worker, call, now_ms);
    }
  return refuse (worker, call, MUX_WORKER_BAD_REQUEST, "unknown_verb", now_ms);
}
