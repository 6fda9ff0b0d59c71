#include "cell_private.h"

#include <stdlib.h>
#include <string.h>

/* A question is put so long before its answer is needed. */
#define ASK_BEFORE_MS 900

static uint32_t
running_there (const CellStage *stage, const CellWorker *worker)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    n += stage->task[i].booking != NULL
         && stage->task[i].booking->worker == worker;
  return n;
}

uint32_t
cell_worker_startable_tasks (const MuxCell *cell,
                             const CellStage *stage,
                             const CellWorker *worker)
{
  uint32_t n;
  uint32_t there;

  if (!cell_worker_is_eligible (cell, stage, worker))
    return 0;
  n = cell_worker_spare_tasks (cell, stage, worker);
  if (stage->spec->per_worker_max == 0 || n == 0)
    return n;
  there = running_there (stage, worker);
  if (there >= stage->spec->per_worker_max)
    return 0;
  return n < stage->spec->per_worker_max - there
             ? n
             : stage->spec->per_worker_max - there;
}

/* What a worker costs beyond its room, in thousandths of a processor: a task
 * goes where it failed before last, and rather outside the step's data centre
 * than away from its data. */
#define DELAY_COST 250000
#define OUTSIDE_COST 500000
#define FAR_COST 1000000
#define FAILED_COST 10000000

/* Smaller is better: the least room left over, so that wide gaps stay for
 * tasks that need them. */
static int64_t
cost_of (const MuxCell *cell, const CellTask *task, const CellWorker *worker)
{
  const MuxStepSpec *spec = task->stage->spec;
  int64_t cost = cell_suspected_crashes (cell, task) > 0
                     ? cell_suspect_cost (cell, task, worker)
                     : cell_worker_free (worker).cpu_milli;

  if (spec->data_rack[0] != 0
      && strcmp (spec->data_rack, worker->info.rack) != 0)
    cost += FAR_COST;
  if (task->failed_slot == worker->slot + 1)
    cost += FAILED_COST;
  if (cell_is_outside_data_centre (task->stage, worker))
    cost += OUTSIDE_COST;
  if (cell_delays_gang (cell, task->stage, worker))
    cost += DELAY_COST;
  return cost;
}

typedef struct
{
  CellWorker *worker; /* NULL: none so far */
  int64_t cost;
  bool kept_apart; /* from what begins on one that has room */
} Choice;

static void
consider (const MuxCell *cell,
          const CellTask *task,
          CellWorker *worker,
          Choice *best)
{
  int64_t cost;

  if (cell_worker_startable_tasks (cell, task->stage, worker) == 0)
    return;
  if (!cell_worker_accepts_suspect (cell, task, worker))
    {
      best->kept_apart = true;
      return;
    }
  cost = cost_of (cell, task, worker);
  if (best->worker != NULL && cost >= best->cost)
    return;
  best->worker = worker;
  best->cost = cost;
}

/* Where workers are approved, those alone are looked at: a dozen, not all. */
static Choice
best_approved (MuxCell *cell, const CellTask *task)
{
  const CellStage *stage = task->stage;
  Choice best = { .worker = NULL };

  cell->scan_cost += stage->approval_count;
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      CellWorker *worker = cell->worker_at[stage->approval[i].slot];

      if (worker != NULL
          && cell_usable_proof (cell, &stage->approval[i]) != NULL)
        consider (cell, task, worker, &best);
    }
  return best;
}

static Choice
best_worker (MuxCell *cell, const CellTask *task)
{
  Choice best = { .worker = NULL };
  CellWorkerScan sample;
  CellWorker *worker;

  if (task->stage->job->spec->queue.approval.required)
    return best_approved (cell, task);
  sample = cell_worker_scan_begin (cell, task->stage);
  while ((worker = cell_worker_scan_next (cell, &sample)) != NULL)
    consider (cell, task, worker, &best);
  if (best.worker == NULL)
    cell_worker_scan_end (task->stage, &sample);
  return best;
}

static uint32_t
may_start (const MuxCell *cell, const CellStage *stage)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    n += stage->task[i].state == CELL_TASK_WAITING
         && stage->task[i].booking == NULL
         && cell_task_may_start (cell, &stage->task[i]);
  return n;
}

/*
 * Guards against a task that is to last and never runs in a full pool: the room
 * that a worker has as the policy service is asked about it is taken before the
 * answer and its record are there.  So it is held meanwhile, where the worker
 * is known to be approved.
 */
static void
hold_approved (MuxCell *cell, CellStage *stage)
{
  uint32_t left = may_start (cell, stage);

  cell_holds_release (stage);
  for (uint32_t i = 0; i < stage->approval_count && left > 0; i++)
    {
      const CellApproval *approval = &stage->approval[i];
      CellWorker *worker = cell->worker_at[approval->slot];

      if (worker == NULL || !approval->approved
          || (!stage->query_pending
              && !cell_approval_is_being_recorded (cell, approval))
          || cell_worker_startable_tasks (cell, stage, worker) == 0)
        continue;
      if (!cell_hold_add (stage, worker, 1))
        return;
      left--;
    }
}

static void
ask (MuxCell *cell, CellStage *stage)
{
  CellWorker *worker[CELL_CANDIDATES_MAX];
  uint32_t count;

  if (!cell_can_query (cell, stage, CELL_CANDIDATES_MIN))
    return;
  count = cell_candidates (cell, stage, worker);
  (void) cell_approval_query_send (cell, stage, worker, count);
}

void
cell_place_unsettled (MuxCell *cell, CellStage *stage)
{
  int64_t wait_ms;

  if (stage->spec->gang || stage->query_pending
      || !stage->job->spec->queue.approval.required)
    return;
  wait_ms = cell_stage_settles_in_ms (cell, stage);
  if (wait_ms > ASK_BEFORE_MS
      || stage->proofs_expire_ms > cell->time.now_ms + wait_ms)
    return;
  ask (cell, stage);
}

/**
 * struct Placing - one look at a step's waiting tasks
 * @sent: starts on their way
 * @over_quota: its workspace may have no more running
 * @short_of_workers: some task has none to go to
 */
typedef struct
{
  uint32_t sent;
  bool over_quota;
  bool short_of_workers;
} Placing;

/* Of a step that nobody was asked about in this look. */
static CellBlockedOn
what_lacks (MuxCell *cell, const CellStage *stage, const Placing *placing)
{
  if (placing->over_quota)
    return CELL_BLOCKED_ON_QUOTA;
  if (!placing->short_of_workers)
    return CELL_BLOCKED_ON_RECORD;
  return !stage->job->spec->queue.approval.required
                 || cell_can_query (cell, stage, CELL_CANDIDATES_MIN)
             ? CELL_BLOCKED_ON_ROOM
             : CELL_BLOCKED_ON_QUERIER;
}

/* Return: false when its start can't be made: memory or a ring is out. */
static bool
place_task (MuxCell *cell, CellTask *task, Placing *placing)
{
  Choice best = best_worker (cell, task);

  if (best.worker == NULL)
    {
      placing->short_of_workers = !best.kept_apart;
      return true;
    }
  if (cell_start_needs_record (cell, task)
      && !cell_start_is_recorded (cell, task, best.worker))
    return true;
  if (!cell_start_run (cell, task, best.worker,
                       cell_next_run (cell, task->last_run), task->checkpoint))
    return false;
  placing->sent++;
  return true;
}

static bool
place_all (MuxCell *cell, CellStage *stage, Placing *placing)
{
  for (uint32_t i = 0; i < stage->spec->count && !placing->short_of_workers;
       i++)
    {
      CellTask *task = &stage->task[i];

      if (task->state != CELL_TASK_WAITING || task->booking != NULL
          || !cell_task_may_start (cell, task))
        continue;
      placing->over_quota = cell_quota_tasks_allowed (cell, stage) == 0;
      if (placing->over_quota)
        return true;
      if (!place_task (cell, task, placing))
        return false;
    }
  return true;
}

void
cell_place_tasks (MuxCell *cell, CellStage *stage)
{
  bool needed = stage->job->spec->queue.approval.required;
  Placing placing = {
    .over_quota = cell_quota_tasks_allowed (cell, stage) == 0,
    /* Without a proof that is taken now no worker needs to be looked at. */
    .short_of_workers = needed && cell->time.now_ms >= stage->proofs_expire_ms,
  };

  if (placing.over_quota)
    {
      cell_step_blocked_on (cell, stage, CELL_BLOCKED_ON_QUOTA);
      return;
    }
  if (!needed)
    cell_choose_data_centre (cell, stage);
  if (!place_all (cell, stage, &placing))
    return;
  if (placing.sent > 0 && cell_stage_waiting_tasks (stage) == 0)
    {
      cell_stage_log_placed (cell, stage, placing.sent);
      cell_query_ahead (cell, stage);
    }
  if (placing.short_of_workers && needed)
    ask (cell, stage);
  if (!stage->query_pending && cell_stage_waiting_tasks (stage) > 0)
    cell_step_blocked_on (cell, stage, what_lacks (cell, stage, &placing));
  if (stage->rank == CELL_RANK_STARVED)
    hold_approved (cell, stage);
  cell_stage_update (cell, stage);
}
