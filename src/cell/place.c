#include "cell_private.h"

#include <stdlib.h>
#include <string.h>

/* Workers named in a policy question beyond those that the tasks would need
 * if all were approved: most services approve a third to two thirds. */
#define CANDIDATES_FACTOR 3
#define CANDIDATES_LEAST 6
/* As many as the service takes.  With 30 at most wide steps asked several times
 * in turn: 2.5 questions a placed step, now 2.0. */
#define CANDIDATES_MAX 100
#define NO_ROOM_MS 8

static uint32_t
running_there (const CellStage *stage, const CellWorker *worker)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    n += stage->task[i].booking != NULL
         && stage->task[i].booking->worker == worker;
  return n;
}

static bool
kept_for_another (const CellStage *stage, const CellWorker *worker)
{
  return worker->reserved != NULL && worker->reserved != stage
         && stage->job->spec->queue.priority != 0;
}

uint32_t
cell_worker_takes (const MuxCell *cell,
                   const CellStage *stage,
                   const CellWorker *worker)
{
  uint32_t n;
  uint32_t there;

  if (!cell_worker_fits (cell, stage, worker)
      || kept_for_another (stage, worker))
    return 0;
  n = cell_worker_holds (stage, cell_worker_free (worker));
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
#define OUTSIDE_COST 500000
#define FAR_COST 1000000
#define FAILED_COST 10000000

/* Smaller is better: the least room left over, so that wide gaps stay for
 * tasks that need them. */
static int64_t
cost_of (const CellTask *task, const CellWorker *worker)
{
  const MuxStepSpec *spec = task->stage->spec;
  int64_t cost = cell_worker_free (worker).cpu_milli;

  if (spec->data_rack[0] != 0
      && strcmp (spec->data_rack, worker->info.rack) != 0)
    cost += FAR_COST;
  if (task->failed_slot == worker->slot + 1)
    cost += FAILED_COST;
  if (cell_is_outside (task->stage, worker))
    cost += OUTSIDE_COST;
  return cost;
}

typedef struct
{
  CellWorker *worker; /* NULL: none so far */
  int64_t cost;
} Choice;

static void
consider (const MuxCell *cell,
          const CellTask *task,
          CellWorker *worker,
          Choice *best)
{
  int64_t cost;

  if (cell_worker_takes (cell, task->stage, worker) == 0)
    return;
  cost = cost_of (task, worker);
  if (best->worker == NULL || cost < best->cost)
    *best = (Choice){ worker, cost };
}

/* Where workers are approved, those alone are looked at: a dozen, not all. */
static CellWorker *
best_approved (MuxCell *cell, const CellTask *task)
{
  const CellStage *stage = task->stage;
  Choice best = { NULL, 0 };

  cell->looks += stage->approval_count;
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      CellWorker *worker = cell->worker_at[stage->approval[i].slot];

      if (worker != NULL
          && cell_proof_taken (cell, &stage->approval[i]) != NULL)
        consider (cell, task, worker, &best);
    }
  return best.worker;
}

static CellWorker *
best_worker (MuxCell *cell, const CellTask *task)
{
  Choice best = { NULL, 0 };
  CellWorker *worker;
  CellWorker *next;

  if (task->stage->job->spec->queue.approval.needed)
    return best_approved (cell, task);
  cell->looks += HASH_COUNT (cell->workers);
  HASH_ITER (hh, cell->workers, worker, next)
  consider (cell, task, worker, &best);
  return best.worker;
}

typedef struct
{
  CellWorker *worker;
  uint32_t tasks;
  bool approved;
  bool outside; /* the step's data centre */
  bool near;    /* it can start there once its approval is recorded */
} Candidate;

/* Those known to be approved first, then those of the step's data centre, then
 * those with least room: workers stay empty for gangs, which need many at
 * once. */
static int
by_room (const void *x, const void *y)
{
  const Candidate *a = x;
  const Candidate *b = y;

  if (a->approved != b->approved)
    return a->approved ? -1 : 1;
  if (a->outside != b->outside)
    return a->outside ? 1 : -1;
  if (a->tasks != b->tasks)
    return a->tasks < b->tasks ? -1 : 1;
  return a->worker->slot < b->worker->slot ? -1 : 1;
}

static uint32_t
collect (MuxCell *cell, CellStage *stage, Candidate *candidate)
{
  CellWorker *worker;
  CellWorker *next;
  uint32_t n = 0;

  cell->looks += HASH_COUNT (cell->workers);
  HASH_ITER (hh, cell->workers, worker, next)
  {
    const CellApproval *approval;
    uint32_t tasks = cell_worker_takes (cell, stage, worker);

    if (tasks == 0)
      continue;
    approval = cell_approval (stage, worker);
    if (approval != NULL && approval->asked && !approval->yes)
      continue;
    candidate[n++]
        = (Candidate){ worker, tasks, approval != NULL && approval->yes,
                       cell_is_outside (stage, worker),
                       cell_approval_is_near (cell, approval) };
  }
  return n;
}

/* Enough workers that the share usually approved holds all tasks; those known
 * to be approved count in full. */
static uint32_t
enough (const Candidate *candidate, uint32_t count, uint32_t waiting)
{
  uint32_t held = 0;
  uint32_t n;

  for (n = 0; n < count && n < CANDIDATES_MAX; n++)
    {
      if (n >= CANDIDATES_LEAST && held >= CANDIDATES_FACTOR * waiting)
        break;
      if (candidate[n].approved && held >= CANDIDATES_FACTOR * waiting)
        break;
      held += candidate[n].approved ? CANDIDATES_FACTOR * candidate[n].tasks
                                    : candidate[n].tasks;
    }
  return n;
}

static uint32_t
near_tasks (const Candidate *candidate, uint32_t count)
{
  uint32_t tasks = 0;

  for (uint32_t i = 0; i < count; i++)
    tasks += candidate[i].near ? candidate[i].tasks : 0;
  return tasks;
}

static void
ask (MuxCell *cell, CellStage *stage)
{
  Candidate *candidate;
  CellWorker *worker[CANDIDATES_MAX];
  uint32_t count;

  if (!cell_can_ask (cell, stage, CANDIDATES_LEAST))
    return;
  candidate = calloc (HASH_COUNT (cell->workers) + 1, sizeof *candidate);
  if (candidate == NULL)
    return;
  cell_choose_data_centre (cell, stage);
  count = collect (cell, stage, candidate);
  if (count > 0)
    qsort (candidate, count, sizeof *candidate, by_room);
  /* Nobody has room: asked again when something can have changed. */
  if (count == 0)
    stage->ask_after_ms = cell->time.now_ms + NO_ROOM_MS;
  /* The record of what was approved is on its way. */
  if (near_tasks (candidate, count) >= cell_stage_waiting (stage))
    count = 0;
  count = enough (candidate, count, cell_stage_waiting (stage));
  for (uint32_t i = 0; i < count; i++)
    worker[i] = candidate[i].worker;
  (void) cell_approval_ask (cell, stage, worker, count);
  free (candidate);
}

void
cell_place_tasks (MuxCell *cell, CellStage *stage)
{
  bool needed = stage->job->spec->queue.approval.needed;
  /* Without a proof that is taken now no worker needs to be looked at. */
  bool short_of_workers = needed && cell->time.now_ms >= stage->proof_until_ms;
  uint32_t sent = 0;

  if (!needed)
    cell_choose_data_centre (cell, stage);
  for (uint32_t i = 0; i < stage->spec->count && !short_of_workers; i++)
    {
      CellTask *task = &stage->task[i];
      CellWorker *worker;

      if (task->state != CELL_TASK_WAITING || task->booking != NULL)
        continue;
      worker = best_worker (cell, task);
      if (worker == NULL)
        short_of_workers = true;
      else if (!cell_start (cell, task, worker, cell_next_run (cell, task->run),
                            task->saved))
        return;
      else
        sent++;
    }
  if (sent > 0 && cell_stage_waiting (stage) == 0)
    cell_stage_placed (cell, stage, sent);
  if (short_of_workers && needed)
    ask (cell, stage);
  cell_stage_update (cell, stage);
}
