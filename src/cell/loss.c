#include "cell_private.h"

/* What the lost runs of a task say of it. */

/* A task is given up when its crashes weigh so much, one in an outage half of
 * another: three do, or two and one in an outage, as two can be chance while
 * many workers start again; */
#define CRASH_WEIGHT 2
#define WEIGHT_MAX 5
/* or two, and so many have ended that may have run it; or so many crashed, and
 * no run between them lived. */
#define CRASHES_SURE 2
#define LOSSES_MAX 5
/* One less, and the next start waits for so long, in ms; behind them each one
 * for so much longer. */
#define PAUSE_MS 20000
#define LONG_PAUSE_MS 300000
/* So many in outages, and the next start waits until none goes on, but no
 * longer than this, in ms: then the next loss tells. */
#define OUTAGES_SURE 2
#define OUTAGE_PAUSE_MS 4000
/* A worker that is not heard for so long, in ms, is gone.  Whether a start that
 * it did not answer began there is not asked any longer. */
#define GONE_MS 30000
/* Behind so many losses, some of them in outages, a start waits until it is
 * known of each what became of its worker. */
#define TOLD_MS (GONE_MS + 2000)
#define BEGAN_SURE 3
/* An outage is known for one after so long, in ms. */
#define SETTLED_MS 2000
/* A run that lived for so many times as long as any that was lost, and was not
 * young, shows that its task bears it. */
#define LIFE_FACTOR 2

static void
count_in_outage (CellLosses *losses, const CellLoss *loss, bool is_old)
{
  if (loss->began && (loss->worker_ended || is_old))
    losses->crashed_in_outages++;
  else if (loss->began)
    losses->unreachable_in_outages++;
  else if (loss->from_predecessor || !is_old)
    losses->unconfirmed_in_outages++;
}

static void
count_loss (CellLosses *losses, const CellLoss *loss, int64_t now_wall_ms)
{
  bool is_old = now_wall_ms - loss->at_wall_ms > GONE_MS;

  if (loss->outcome_unknown)
    return;
  losses->from_predecessor += loss->from_predecessor;
  if (loss->in_outage)
    count_in_outage (losses, loss, is_old);
  else if (!loss->worker_ended && !is_old)
    {
      losses->unreachable++;
      losses->unreachable_from_predecessor += loss->from_predecessor;
    }
  else if (loss->began)
    losses->crashed++;
  else if (loss->from_predecessor || !is_old)
    losses->unconfirmed++;
}

CellLosses
cell_task_losses (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = { 0 };

  for (uint32_t i = 0; i < task->loss_count; i++)
    count_loss (&losses, &task->loss[i], cell->time.wall_ms);
  return losses;
}

/* A former planner may have lost runs that nobody knows of. */
static bool
are_many (const CellLosses *losses)
{
  uint32_t all = losses->crashed + losses->crashed_in_outages;
  uint32_t untold = losses->unconfirmed + losses->unconfirmed_in_outages;
  uint32_t most = losses->from_predecessor > 0 ? LOSSES_MAX - 1 : LOSSES_MAX;

  return all >= most || (all >= most - 1 && all + untold >= most);
}

static bool
are_enough (const CellLosses *losses)
{
  return losses->crashed * CRASH_WEIGHT + losses->crashed_in_outages
             >= WEIGHT_MAX
         || (losses->crashed >= CRASHES_SURE
             && losses->crashed + losses->unconfirmed >= LOSSES_MAX)
         || are_many (losses);
}

/* A start that is recorded is no loss, else a pause would begin anew with it.
 */
static int64_t
since_last_ms (const MuxCell *cell, const CellTask *task)
{
  int64_t last = 0;

  for (uint32_t i = 0; i < task->loss_count; i++)
    if (!task->loss[i].outcome_unknown && task->loss[i].at_wall_ms > last)
      last = task->loss[i].at_wall_ms;
  return cell->time.wall_ms - last;
}

/* An outage that explains the last of them would be known. */
static bool
are_settled (const MuxCell *cell, const CellTask *task)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].span.to_ms != 0
        && cell->time.now_ms - task->loss[i].span.to_ms <= SETTLED_MS)
      return false;
  return since_last_ms (cell, task) > SETTLED_MS;
}

bool
cell_losses_exceeded (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = cell_task_losses (cell, task);

  return are_enough (&losses) && are_settled (cell, task);
}

/* Once it is known what became of the workers that are out of reach. */
static bool
may_be_enough (const CellLosses *losses)
{
  CellLosses worst = *losses;
  uint32_t untold = losses->unconfirmed + losses->unconfirmed_in_outages;
  uint32_t began;

  worst.crashed += losses->unreachable;
  worst.crashed_in_outages += losses->unreachable_in_outages;
  began = worst.crashed + worst.crashed_in_outages;
  return (losses->crashed_in_outages > 0 && are_enough (&worst))
         || (began >= BEGAN_SURE && began + untold >= LOSSES_MAX);
}

bool
cell_losses_allow_start (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = cell_task_losses (cell, task);
  uint32_t all = losses.crashed + losses.unconfirmed + losses.unreachable;
  int64_t since_ms = since_last_ms (cell, task);

  if (are_enough (&losses))
    return false;
  if (all >= LOSSES_MAX)
    return since_ms > LONG_PAUSE_MS;
  if (all >= LOSSES_MAX - 1)
    return since_ms > PAUSE_MS;
  if (may_be_enough (&losses))
    return since_ms > TOLD_MS;
  return losses.crashed_in_outages + losses.unreachable_in_outages
                 + losses.unconfirmed_in_outages
             < OUTAGES_SURE
         || cell_workers_are_stable (cell) || since_ms > OUTAGE_PAUSE_MS;
}

bool
cell_run_clears_task (const CellTask *task, int64_t lived_ms)
{
  if (task->loss_count == 0 || cell_run_was_short (lived_ms))
    return false;
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (lived_ms < LIFE_FACTOR * task->loss[i].lived_ms)
      return false;
  return true;
}
