#include "stage_tasks.h"

#include <string.h>

/*
 * Where and when a task is started again after workers crashed under it.
 *
 * All tasks that ran at a worker when it crashed are suspects, and as a rule
 * all but one of them without reason. So the suspects of one crash are spread
 * over the workers with the least to lose: the next crash shows which one is
 * the cause, and the others have run. From its second crash on a task starts
 * only at a worker where no other suspect is starting, one task of its step at
 * a time.
 */

/* A run that began this long ago has not crashed its worker: one that crashed
 * at once would be known to be unreachable by then. */
#define TRIAL_MS 2000
/* If more than one in this many workers crashed under a step, no more of its
 * suspects start at the same time. */
#define WORKERS_PER_TRIAL 8
/* Crashes from which on a task is kept apart from all other suspects. */
#define STRONG_CRASHES 2
/* Crashed workers of one step that are counted for that. */
#define CRASHED_WORKERS_MAX 64
/* Costs in thousandths of a core: for each other suspect there, and for an
 * address where a worker crashed under the task before. */
#define OTHER_SUSPECT_COST 500000
#define SAME_ADDR_COST 10000000

uint32_t
cell_suspected_crashes (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses;

  if (task->loss_count == 0)
    return 0;
  losses = cell_task_losses (cell, task);
  return losses.crashed + losses.unconfirmed
         + losses.unreachable_from_predecessor
         + (losses.crashed_in_outages > 0);
}

bool
cell_start_needs_record (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses;

  if (task->loss_count == 0)
    return false;
  losses = cell_task_losses (cell, task);
  return losses.crashed + losses.unconfirmed
             + losses.unreachable_from_predecessor + losses.crashed_in_outages
             + losses.unreachable_in_outages + losses.unconfirmed_in_outages
         > 0;
}

bool
cell_start_has_record (const CellTask *task)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].outcome_unknown)
      return true;
  return false;
}

static bool
is_on_trial (const MuxCell *cell, const CellBooking *booking)
{
  return cell_suspected_crashes (cell, booking->task) > 0
         && (cell->time.now_ms - booking->booked_ms < TRIAL_MS
             || !booking->worker->reachable);
}

static bool
is_strong_suspect (const MuxCell *cell, const CellTask *task)
{
  return cell_suspected_crashes (cell, task) >= STRONG_CRASHES;
}

typedef struct
{
  uint32_t all;
  uint32_t strong;
  uint32_t strong_waiting; /* start before others */
} Trials;

static void
add_trial (const MuxCell *cell, const CellBooking *booking, Trials *trials)
{
  if (!is_on_trial (cell, booking))
    return;
  trials->all++;
  trials->strong += is_strong_suspect (cell, booking->task);
}

static Trials
trials_at (const MuxCell *cell, const CellWorker *worker)
{
  Trials trials = { 0 };
  const CellBooking *booking;

  DL_FOREACH (worker->bookings, booking)
  add_trial (cell, booking, &trials);
  return trials;
}

static Trials
trials_of (const MuxCell *cell, const CellStage *stage)
{
  Trials trials = { 0 };

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = cell_task_view (stage, i);

      if (task->booking != NULL)
        add_trial (cell, task->booking, &trials);
      else if (task->state == CELL_TASK_WAITING)
        trials.strong_waiting += is_strong_suspect (cell, task)
                                 && cell_losses_allow_start (cell, task);
    }
  return trials;
}

static uint32_t
trials_max (const MuxCell *cell)
{
  uint32_t max = HASH_COUNT (cell->workers) / WORKERS_PER_TRIAL;

  return max > 0 ? max : 1;
}

static bool
is_among (const CellLoss *const *list, uint32_t count, const CellLoss *loss)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (list[i]->worker, loss->worker) == 0)
      return true;
  return false;
}

/* Appends losses at workers that are not yet in the list, up to @max. */
static void
add_crashed (const CellTask *task,
             const CellLoss **list,
             uint32_t *count,
             uint32_t max)
{
  for (uint32_t i = 0; i < task->loss_count && *count < max; i++)
    {
      const CellLoss *loss = &task->loss[i];

      if (loss->worker_ended && loss->began && !loss->in_outage
          && !is_among (list, *count, loss))
        list[(*count)++] = loss;
    }
}

/*
 * A wide step of which all tasks crash their workers would take a worker for
 * each of them at once before anything is known, and again when they are
 * restarted.
 */
static bool
crashed_many (const CellStage *stage, uint32_t max)
{
  const CellLoss *list[CRASHED_WORKERS_MAX + 1];
  uint32_t limit
      = max < CRASHED_WORKERS_MAX ? max + 1 : CRASHED_WORKERS_MAX + 1;
  uint32_t count = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    add_crashed (cell_task_view (stage, i), list, &count, limit);
  return count == limit;
}

/* Whether a successor would know of all the task's losses. */
static bool
losses_are_stored (const CellTask *task)
{
  return task->stage->losses_stored == task->stage->loss_changes;
}

/* Whether the task's losses allow a start. */
static bool
losses_allow_start (const MuxCell *cell, const CellTask *task)
{
  return task->loss_count == 0
         || (cell_losses_allow_start (cell, task)
             && (!cell_start_needs_record (cell, task)
                 || losses_are_stored (task)));
}

bool
cell_task_may_start (const MuxCell *cell, const CellTask *task)
{
  uint32_t max = trials_max (cell);
  Trials trials;

  if (!losses_allow_start (cell, task))
    return false;
  if (cell_suspected_crashes (cell, task) == 0)
    return true;
  trials = trials_of (cell, task->stage);
  if (is_strong_suspect (cell, task))
    return trials.all == 0;
  return trials.strong == 0 && trials.strong_waiting == 0
         && (trials.all < max || !crashed_many (task->stage, max));
}

bool
cell_gang_may_start (const MuxCell *cell, const CellStage *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (!losses_allow_start (cell, cell_task_view (stage, i)))
      return false;
  return true;
}

bool
cell_worker_accepts_suspect (const MuxCell *cell,
                             const CellTask *task,
                             const CellWorker *worker)
{
  Trials trials;

  if (cell_suspected_crashes (cell, task) == 0)
    return true;
  trials = trials_at (cell, worker);
  return is_strong_suspect (cell, task) ? trials.all == 0 : trials.strong == 0;
}

static bool
crashed_there (const CellTask *task, const CellWorker *worker)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (strcmp (task->loss[i].addr, worker->info.addr) == 0)
      return true;
  return false;
}

/* Whether the task's start at the worker is recorded already. */
static bool
is_recorded_there (const CellTask *task, const CellWorker *worker)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].outcome_unknown
        && strcmp (task->loss[i].worker, worker->info.id) == 0)
      return true;
  return false;
}

int64_t
cell_suspect_cost (const MuxCell *cell,
                   const CellTask *task,
                   const CellWorker *worker)
{
  int64_t cost = worker->booked.cpu_milli;

  if (is_recorded_there (task, worker))
    return 0;
  cost += (int64_t) trials_at (cell, worker).all * OTHER_SUSPECT_COST;
  return crashed_there (task, worker) ? cost + SAME_ADDR_COST : cost;
}
