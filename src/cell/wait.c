#include "stage_tasks.h"

#include <string.h>

/*
 * Logs why a step waits.  Approval queries and starts are logged as they
 * happen; without this a step for which none happens would leave no trace.
 */

/* A step is logged once it has waited for this long: an approval query about a
 * hundred workers and the gathering of their room usually take some 4 s. */
#define LOG_AFTER_MS 5000
/* Interval of lines, for the planner as a whole: the cost of one line, where
 * 200 a second are allowed of each event, and of a scan of all workers is
 * negligible. */
#define LOG_INTERVAL_MS 1000
/* A step is logged again after this long, so that the one that waits longest
 * does not hide the others. */
#define LOG_AGAIN_MS 10000
/* A step that has not been scanned for this long is blocked on its turn. */
#define UNSCANNED_MS 1000
/* Size assumed of a query that is yet to be sent: a long one may not be put by
 * each daemon. */
#define QUERY_WORKERS 40

/* What the workers have for a step: numbers of workers, then room in tasks. */
typedef struct
{
  uint32_t unconfirmed;   /* may run something of an earlier term */
  uint32_t unusable;      /* unreachable, leaving or not in the roster yet */
  uint32_t avoided;       /* after failures or a refused start */
  uint32_t reserved;      /* a task there would delay another gang */
  uint32_t held;          /* some room is held for another gang's start */
  uint32_t not_queried;   /* no approval query has named them */
  uint32_t room;          /* free now, approved or not */
  uint32_t approved_now;  /* free now at approved workers */
  uint32_t approved_ever; /* at approved workers if they were empty */
  uint32_t proven;        /* free now where a valid proof is known */
} Supply;

static void
add_usable_worker (const MuxCell *cell,
                   CellStage *stage,
                   const CellWorker *worker,
                   Supply *supply)
{
  const CellApproval *approval = cell_approval_find (stage, worker);
  bool needed = stage->job->spec->queue.approval.required;
  uint32_t now = cell_stage_cap_per_worker (
      stage, cell_worker_spare_tasks (cell, stage, worker));

  supply->reserved += cell_delays_gang (cell, stage, worker);
  supply->held
      += worker->hold_count > 0 && cell_hold_tasks (stage, worker) == 0;
  supply->not_queried += needed && (approval == NULL || !approval->queried);
  supply->room += now;
  if (needed && (approval == NULL || !approval->approved))
    return;
  supply->approved_now += now;
  supply->approved_ever += cell_stage_cap_per_worker (
      stage, cell_tasks_that_fit (stage, worker->info.capacity));
  if (!needed || cell_approval_proof (cell, stage, worker) != NULL)
    supply->proven += now;
}

static Supply
count_supply (MuxCell *cell, CellStage *stage)
{
  Supply supply = { 0 };
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  {
    supply.unconfirmed += cell_worker_runs_unknown (worker);
    if (!cell_worker_matches (stage, worker))
      continue;
    if (cell->time.now_ms < worker->avoid_until_ms)
      supply.avoided++;
    else if (!cell_worker_usable (cell, worker))
      supply.unusable++;
    else
      add_usable_worker (cell, stage, worker, &supply);
  }
  return supply;
}

static int64_t
unscanned_ms (const MuxCell *cell, const CellStage *stage)
{
  return cell->time.now_ms
         - (stage->scanned_ms > stage->ready_ms ? stage->scanned_ms
                                                : stage->ready_ms);
}

/* Whether no waiting task may start now, as workers crashed under it: it waits
 * until the record of that is stored, or for a worker of its own. */
static bool
all_under_suspicion (const MuxCell *cell, const CellStage *stage)
{
  if (stage->spec->gang)
    return !cell_gang_may_start (cell, stage);
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (cell_task_view (stage, i)->state == CELL_TASK_WAITING
        && cell_task_may_start (cell, cell_task_view (stage, i)))
      return false;
  return true;
}

static uint32_t
stopping (const CellStage *stage)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    n += cell_task_view (stage, i)->booking != NULL
         && cell_task_view (stage, i)->state == CELL_TASK_STOPPING;
  return n;
}

/* Return: what the step is blocked on, the first that applies. */
static const char *
blocked_on (MuxCell *cell, CellStage *stage, const Supply *supply)
{
  uint32_t need = stage->spec->gang ? stage->spec->count : 1;

  if (!cell_is_active_planner (cell))
    return "claim";
  if (stopping (stage) > 0)
    return "ends";
  if (!cell_stage_is_settled (cell, stage))
    return "workers_unheard";
  if (!cell_room_is_current (cell))
    return "list";
  if (!cell_starts_are_allowed (cell))
    return "cancels";
  if (all_under_suspicion (cell, stage))
    return "crashes";
  if (cell_quota_tasks_allowed (cell, stage) < need)
    return "quota";
  if (stage->query_pending)
    return "answer";
  if (unscanned_ms (cell, stage) > UNSCANNED_MS)
    return "turn";
  if ((supply->approved_ever < need && supply->not_queried > 0)
      || (supply->approved_now >= need && supply->proven < need))
    return cell_can_query (cell, stage, QUERY_WORKERS) ? "question" : "asker";
  if (supply->approved_ever < need)
    return "approvals";
  return supply->approved_now < need ? "room" : "start";
}

static void
log_wait (MuxCell *cell, CellStage *stage, int64_t since_ms)
{
  int64_t now = cell->time.now_ms;
  Supply supply = count_supply (cell, stage);

  stage->logged_ms = now;
  cell_log (
      cell, "step_waits",
      "{s:s, s:i, s:i, s:I, s:s, s:i, s:I, s:I, s:i, s:i, s:i, s:i, s:i, s:i, "
      "s:i, s:i, s:i, s:i, s:i}",
      "job", stage->job->id, "step", (int) stage->step, "tasks",
      (int) cell_stage_waiting_tasks (stage), "waited_ms",
      (json_int_t) (now - since_ms), "lacks", blocked_on (cell, stage, &supply),
      "stopping", (int) stopping (stage), "asking_ms",
      (json_int_t) (stage->query_pending ? now - stage->queried_ms : 0),
      "unseen_ms", (json_int_t) unscanned_ms (cell, stage), "rank",
      (int) stage->rank, "unheard", (int) supply.unconfirmed, "unusable",
      (int) supply.unusable, "avoided", (int) supply.avoided, "kept",
      (int) supply.reserved, "held", (int) supply.held, "room",
      (int) supply.room, "approved_now", (int) supply.approved_now,
      "approved_ever", (int) supply.approved_ever, "proven",
      (int) supply.proven, "unasked", (int) supply.not_queried);
}

/* Return: when its wait began; 0: it does not wait. */
static int64_t
waiting_since_ms (const CellStage *stage)
{
  int64_t since_ms = 0;

  if (stage->ready)
    return stage->ready_ms;
  if (stage->tasks_left == 0 || stage->job->ended)
    return 0;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = cell_task_view (stage, i);

      if (task->booking == NULL || task->state != CELL_TASK_STOPPING)
        continue;
      if (since_ms == 0 || task->booking->stop_since_ms < since_ms)
        since_ms = task->booking->stop_since_ms;
    }
  return since_ms;
}

static CellStage *
longest_waiting (MuxCell *cell, int64_t *since_ms)
{
  CellStage *best = NULL;
  CellJob *job;
  CellJob *next;

  HASH_ITER (hh, cell->jobs, job, next)
  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      CellStage *stage = job->stage[i];
      int64_t since = waiting_since_ms (stage);

      if (since == 0 || cell->time.now_ms - since < LOG_AFTER_MS
          || (stage->logged_ms != 0
              && cell->time.now_ms - stage->logged_ms < LOG_AGAIN_MS)
          || (best != NULL && since >= *since_ms))
        continue;
      best = stage;
      *since_ms = since;
    }
  return best;
}

void
cell_wait_log_tick (MuxCell *cell)
{
  int64_t since_ms = 0;
  CellStage *stage;

  if (cell->time.now_ms < cell->next_wait_log_ms)
    return;
  cell->next_wait_log_ms = cell->time.now_ms + LOG_INTERVAL_MS;
  stage = longest_waiting (cell, &since_ms);
  if (stage != NULL)
    log_wait (cell, stage, since_ms);
}
