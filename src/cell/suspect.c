#include "cell_private.h"

#include <string.h>

/*
 * Where and when a task is started again after workers crashed under it.
 *
 * All that ran at a worker that crashes is under suspicion, and all but one of
 * it, as a rule, without reason.  So the suspects of one crash are kept apart,
 * on workers with the least to lose: who is the cause shows with the next one,
 * and the others have run.  From the second crash on a task gets a worker where
 * no other suspect begins, one of its step at a time.
 */

/* A run that began so long ago, in ms, has shown that its worker bears it: by
 * then one that crashed at once is known to be out of reach. */
#define TRIAL_MS 2000
/* A step under which more than one of so many workers crashed has no more of
 * its suspects begin at a time. */
#define WORKERS_PER_TRIAL 8
/* Crashes from which on a task is kept apart from all other suspects. */
#define STRONG_CRASHES 2
/* Workers of one step that are told apart for that. */
#define MANY_MAX 64
/* In thousandths of a processor: with another suspect, or at an address where a
 * worker crashed under it before. */
#define SUSPECTS_COST 500000
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
is_strong (const MuxCell *cell, const CellTask *task)
{
  return cell_suspected_crashes (cell, task) >= STRONG_CRASHES;
}

typedef struct
{
  uint32_t all;
  uint32_t strong;
  uint32_t strong_waiting; /* their turn comes first */
} Trials;

static void
add_trial (const MuxCell *cell, const CellBooking *booking, Trials *trials)
{
  if (!is_on_trial (cell, booking))
    return;
  trials->all++;
  trials->strong += is_strong (cell, booking->task);
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
      const CellTask *task = &stage->task[i];

      if (task->booking != NULL)
        add_trial (cell, task->booking, &trials);
      else if (task->state == CELL_TASK_WAITING)
        trials.strong_waiting
            += is_strong (cell, task) && cell_losses_allow_start (cell, task);
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

/* Appends those of other workers than are in the list, up to its end. */
static void
add_crashed (const CellTask *task,
             const CellLoss **list,
             uint32_t *count,
             uint32_t most)
{
  for (uint32_t i = 0; i < task->loss_count && *count < most; i++)
    {
      const CellLoss *loss = &task->loss[i];

      if (loss->worker_ended && loss->began && !loss->in_outage
          && !is_among (list, *count, loss))
        list[(*count)++] = loss;
    }
}

/*
 * Guards against a wide step of which all tasks crash their workers: it takes a
 * worker for each of them at once before anything is known, and would do so
 * again.
 */
static bool
took_many (const CellStage *stage, uint32_t max)
{
  const CellLoss *list[MANY_MAX + 1];
  uint32_t most = max < MANY_MAX ? max + 1 : MANY_MAX + 1;
  uint32_t count = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    add_crashed (&stage->task[i], list, &count, most);
  return count == most;
}

/* A next planner knows of its losses. */
static bool
is_stored (const CellTask *task)
{
  return task->stage->losses_stored == task->stage->loss_changes;
}

/* As far as its losses are concerned. */
static bool
may_be_lost_again (const MuxCell *cell, const CellTask *task)
{
  return task->loss_count == 0
         || (cell_losses_allow_start (cell, task)
             && (!cell_start_needs_record (cell, task) || is_stored (task)));
}

bool
cell_task_may_start (const MuxCell *cell, const CellTask *task)
{
  uint32_t max = trials_max (cell);
  Trials trials;

  if (!may_be_lost_again (cell, task))
    return false;
  if (cell_suspected_crashes (cell, task) == 0)
    return true;
  trials = trials_of (cell, task->stage);
  if (is_strong (cell, task))
    return trials.all == 0;
  return trials.strong == 0 && trials.strong_waiting == 0
         && (trials.all < max || !took_many (task->stage, max));
}

bool
cell_gang_may_start (const MuxCell *cell, const CellStage *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (!may_be_lost_again (cell, &stage->task[i]))
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
  return is_strong (cell, task) ? trials.all == 0 : trials.strong == 0;
}

static bool
crashed_there (const CellTask *task, const CellWorker *worker)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (strcmp (task->loss[i].addr, worker->info.addr) == 0)
      return true;
  return false;
}

/* Its start there is recorded already. */
static bool
is_open_there (const CellTask *task, const CellWorker *worker)
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

  if (is_open_there (task, worker))
    return 0;
  cost += (int64_t) trials_at (cell, worker).all * SUSPECTS_COST;
  return crashed_there (task, worker) ? cost + SAME_ADDR_COST : cost;
}
