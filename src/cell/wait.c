#include "cell_private.h"

#include <string.h>

/*
 * Tells in the log why a step waits.  Without it a step that never starts
 * leaves no trace: the lines of questions and starts are there for what went
 * on, and nothing is told of what did not.
 */

/* A step is told of once it has waited so long: over what a question about a
 * hundred workers and the gathering of their room usually take, some 4 s. */
#define TOLD_AFTER_MS 5000
/* One line in so long for the whole planner: beside the 200 lines a second that
 * a kind of line may have, and one look at all workers, it costs nothing. */
#define LINE_MS 1000
/* The same step again after so long, so that one that waits longest does not
 * hide the others. */
#define TOLD_AGAIN_MS 10000
/* A step that no pass has looked at for so long waits for its turn. */
#define UNSEEN_MS 1000
/* Of a question that a step still has to ask, as far as its length matters for
 * whom it may go to. */
#define QUESTION_WORKERS 40

/* What the workers have for a step; in tasks where it speaks of room. */
typedef struct
{
  uint32_t unheard;  /* workers of a former planner not heard from */
  uint32_t unusable; /* lost, leaving or not in the roster yet */
  uint32_t avoided;  /* after failures or a refused start */
  uint32_t kept;     /* a task there would delay another gang */
  uint32_t held;     /* part of it held for another gang's start */
  uint32_t unasked;  /* the policy service was not asked about them */
  uint32_t room;     /* free now, approved or not */
  uint32_t yes_now;  /* free now on approved ones */
  uint32_t yes_ever; /* on approved ones if they were empty */
  uint32_t proven;   /* free now where a proof is taken */
} Lack;

static void
add_usable (const MuxCell *cell,
            CellStage *stage,
            const CellWorker *worker,
            Lack *lack)
{
  const CellApproval *approval = cell_approval_find (stage, worker);
  bool needed = stage->job->spec->queue.approval.required;
  uint32_t now = cell_stage_cap_per_worker (
      stage, cell_worker_spare_tasks (cell, stage, worker));

  lack->kept += cell_delays_gang (cell, stage, worker);
  lack->held += worker->hold_count > 0 && cell_hold_tasks (stage, worker) == 0;
  lack->unasked += needed && (approval == NULL || !approval->queried);
  lack->room += now;
  if (needed && (approval == NULL || !approval->approved))
    return;
  lack->yes_now += now;
  lack->yes_ever += cell_stage_cap_per_worker (
      stage, cell_tasks_that_fit (stage, worker->info.capacity));
  if (!needed || cell_approval_proof (cell, stage, worker) != NULL)
    lack->proven += now;
}

static Lack
lack_of (MuxCell *cell, CellStage *stage)
{
  Lack lack = { 0 };
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  {
    lack.unheard += cell_worker_is_unconfirmed (worker);
    if (!cell_worker_matches (stage, worker))
      continue;
    if (cell->time.now_ms < worker->avoid_until_ms)
      lack.avoided++;
    else if (!cell_worker_usable (cell, worker))
      lack.unusable++;
    else
      add_usable (cell, stage, worker, &lack);
  }
  return lack;
}

static int64_t
unseen_ms (const MuxCell *cell, const CellStage *stage)
{
  return cell->time.now_ms
         - (stage->scanned_ms > stage->ready_ms ? stage->scanned_ms
                                                : stage->ready_ms);
}

/* Each of them waits for the record of a crash, or is kept apart. */
static bool
all_under_suspicion (const MuxCell *cell, const CellStage *stage)
{
  if (stage->spec->gang)
    return !cell_gang_may_start (cell, stage);
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (stage->task[i].state == CELL_TASK_WAITING
        && cell_task_may_start (cell, &stage->task[i]))
      return false;
  return true;
}

static uint32_t
stopping (const CellStage *stage)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    n += stage->task[i].booking != NULL
         && stage->task[i].state == CELL_TASK_STOPPING;
  return n;
}

/* The first of these that holds keeps the step from its start. */
static const char *
what_lacks (MuxCell *cell, CellStage *stage, const Lack *lack)
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
  if (all_under_suspicion (cell, stage))
    return "crashes";
  if (cell_quota_tasks_allowed (cell, stage) < need)
    return "quota";
  if (stage->query_pending)
    return "answer";
  if (unseen_ms (cell, stage) > UNSEEN_MS)
    return "turn";
  if ((lack->yes_ever < need && lack->unasked > 0)
      || (lack->yes_now >= need && lack->proven < need))
    return cell_can_query (cell, stage, QUESTION_WORKERS) ? "question"
                                                          : "asker";
  if (lack->yes_ever < need)
    return "approvals";
  return lack->yes_now < need ? "room" : "start";
}

static void
tell (MuxCell *cell, CellStage *stage, int64_t since_ms)
{
  int64_t now = cell->time.now_ms;
  Lack lack = lack_of (cell, stage);

  stage->logged_ms = now;
  cell_log (
      cell, "step_waits",
      "{s:s, s:i, s:i, s:I, s:s, s:i, s:I, s:I, s:i, s:i, s:i, s:i, s:i, s:i, "
      "s:i, s:i, s:i, s:i, s:i}",
      "job", stage->job->id, "step", (int) stage->step, "tasks",
      (int) cell_stage_waiting_tasks (stage), "waited_ms",
      (json_int_t) (now - since_ms), "lacks", what_lacks (cell, stage, &lack),
      "stopping", (int) stopping (stage), "asking_ms",
      (json_int_t) (stage->query_pending ? now - stage->queried_ms : 0),
      "unseen_ms", (json_int_t) unseen_ms (cell, stage), "rank",
      (int) stage->rank, "unheard", (int) lack.unheard, "unusable",
      (int) lack.unusable, "avoided", (int) lack.avoided, "kept",
      (int) lack.kept, "held", (int) lack.held, "room", (int) lack.room,
      "approved_now", (int) lack.yes_now, "approved_ever", (int) lack.yes_ever,
      "proven", (int) lack.proven, "unasked", (int) lack.unasked);
}

/* When its wait began; 0: it does not wait. */
static int64_t
waits_since (const CellStage *stage)
{
  int64_t since_ms = 0;

  if (stage->ready)
    return stage->ready_ms;
  if (stage->tasks_left == 0 || stage->job->ended)
    return 0;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = &stage->task[i];

      if (task->booking == NULL || task->state != CELL_TASK_STOPPING)
        continue;
      if (since_ms == 0 || task->booking->stop_since_ms < since_ms)
        since_ms = task->booking->stop_since_ms;
    }
  return since_ms;
}

static CellStage *
longest (MuxCell *cell, int64_t *since_ms)
{
  CellStage *best = NULL;
  CellJob *job;
  CellJob *next;

  HASH_ITER (hh, cell->jobs, job, next)
  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      CellStage *stage = job->stage[i];
      int64_t since = waits_since (stage);

      if (since == 0 || cell->time.now_ms - since < TOLD_AFTER_MS
          || (stage->logged_ms != 0
              && cell->time.now_ms - stage->logged_ms < TOLD_AGAIN_MS)
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
  cell->next_wait_log_ms = cell->time.now_ms + LINE_MS;
  stage = longest (cell, &since_ms);
  if (stage != NULL)
    tell (cell, stage, since_ms);
}
