#include "stage_tasks.h"

#include <stdlib.h>

/* Runs of a predecessor that may have been lost with a worker that this planner
 * never heard. */

/* Room for so many stages at first. */
#define STAGES_MIN 16
/* Runs that are taken to be lost, as many as so many of their pools hold. */
#define POOLS_MAX_MILLI 2000
#define MILLI 1000

/*
 * If the planner fails with the first crash, its successor gets no reply from
 * a worker that was approved for the step, or finds another incarnation at its
 * address, and can't tell which of the step's tasks had been started there. So
 * the loss counts for each of them. A task that is already a suspect has a
 * record of its start.
 */
static uint32_t
lose_predecessor_runs_of (MuxCell *cell,
                          CellStage *stage,
                          const CellWorker *worker,
                          uint32_t max)
{
  CellLoss loss = { .worker_ended = worker->replaced,
                    .from_predecessor = true,
                    .span = cell_predecessor_span (cell, worker) };
  uint32_t started = 0;

  stage->predecessor_runs_lost = true;
  for (uint32_t i = 0; i < stage->spec->count && started < max; i++)
    {
      const CellTask *view = cell_task_view (stage, i);
      CellTask *task = NULL;

      started += view->state != CELL_TASK_DONE;
      if (view->state == CELL_TASK_WAITING && view->booking == NULL
          && view->loss_count == 0)
        task = cell_task_get (cell, stage, i);
      if (task != NULL)
        cell_loss_record (cell, task, worker->info.id, worker->info.addr, loss);
    }
  return started;
}

/* Returns how many tasks of the stage its whole pool can hold. */
static uint32_t
pool_tasks (const MuxCell *cell, const CellStage *stage)
{
  uint64_t tasks = 0;
  const CellWorker *worker;
  const CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  if (worker->service == stage->service)
    tasks += cell_tasks_that_fit (stage, worker->info.capacity);
  return tasks > 0 && tasks < UINT32_MAX ? (uint32_t) tasks : UINT32_MAX;
}

static bool
may_have_runs_at (const CellStage *stage, const CellWorker *worker)
{
  return stage->ready && !stage->predecessor_runs_lost
         && (!stage->job->spec->queue.approval.required
             || cell_worker_is_recorded (stage, worker));
}

static int
in_planning_order (const void *a, const void *b)
{
  return cell_stage_compare (*(CellStage *const *) a, *(CellStage *const *) b);
}

/* Return: the stages that may have had runs there, in planning order; owned by
 * the caller; NULL when out of memory. */
static CellStage **
stages_at (const MuxCell *cell, const CellWorker *worker, uint32_t *count)
{
  CellStage **list = NULL;
  uint32_t capacity = 0;
  CellJob *job;
  CellJob *next;

  *count = 0;
  HASH_ITER (hh, cell->jobs, job, next)
  for (uint32_t i = 0; i < job->stage_count && job->predates_term; i++)
    if (may_have_runs_at (job->stage[i], worker))
      {
        if (*count == capacity)
          {
            CellStage **larger;

            capacity = capacity * 2 + STAGES_MIN;
            larger = realloc (list, capacity * sizeof (CellStage *));
            if (larger == NULL)
              return list;
            list = larger;
          }
        list[(*count)++] = job->stage[i];
      }
  if (*count > 0)
    qsort (list, *count, sizeof (CellStage *), in_planning_order);
  return list;
}

/*
 * A planner starts the first tasks of a stage first, and the stages in
 * planning order: only as many can have been started as the pool holds, or
 * twice as many as the order may have been another one.  To suspect all tasks
 * that wait would take the memory that these have none of.
 */
void
cell_losses_of_predecessor (MuxCell *cell, const CellWorker *worker)
{
  uint64_t pools_milli = 0;
  uint32_t count;
  CellStage **list = stages_at (cell, worker, &count);

  for (uint32_t i = 0; i < count && pools_milli < POOLS_MAX_MILLI; i++)
    {
      uint32_t max = pool_tasks (cell, list[i]);
      uint32_t started = lose_predecessor_runs_of (cell, list[i], worker, max);

      pools_milli += (uint64_t) started * MILLI / max;
    }
  free (list);
}
