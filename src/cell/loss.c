#include "cell_private.h"

/* Whether a task that lost runs is started again. */

/* A task is given up when its crashes reach WEIGHT_MAX, where one in an outage
 * weighs half of another: three do, or two and one in an outage, as two can be
 * chance while many workers restart. */
#define CRASH_WEIGHT 2
#define WEIGHT_MAX 5
/* It is also given up when two workers crashed and, with those that may have
 * run it, LOSSES_MAX have ended; or when LOSSES_MAX crashed, in outages or
 * not, and no run between them lasted. */
#define CRASHES_MIN 2
#define LOSSES_MAX 5
/* After LOSSES_MAX - 1 losses outside of outages the next start waits for
 * PAUSE_MS, after more losses each one waits for LONG_PAUSE_MS. */
#define PAUSE_MS 20000
#define LONG_PAUSE_MS 300000
/* With this many losses in outages the next start waits until no outage goes
 * on, but no longer than OUTAGE_PAUSE_MS: the next loss decides then. */
#define OUTAGE_LOSSES_MIN 2
#define OUTAGE_PAUSE_MS 4000
/* A worker without contact for this long is gone. Whether a start that it did
 * not answer has begun there no longer matters. */
#define WORKER_GONE_MS 30000
/* After this many losses, some of them in outages, a start waits until the
 * fate of each worker is known. */
#define FATE_WAIT_MS (WORKER_GONE_MS + 2000)
#define BEGAN_MIN 3
/* An outage is recognized this long after a loss. */
#define OUTAGE_KNOWN_MS 2000
/* A run that lasted this many times as long as any that was lost, and was not
 * short, shows that its task does not crash workers. */
#define RUN_TIME_FACTOR 2

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
  bool is_old = now_wall_ms - loss->at_wall_ms > WORKER_GONE_MS;

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

/* A predecessor may have lost runs that are not recorded. */
static bool
is_over_count (const CellLosses *losses)
{
  uint32_t all = losses->crashed + losses->crashed_in_outages;
  uint32_t unconfirmed = losses->unconfirmed + losses->unconfirmed_in_outages;
  uint32_t limit = losses->from_predecessor > 0 ? LOSSES_MAX - 1 : LOSSES_MAX;

  return all >= limit || (all >= limit - 1 && all + unconfirmed >= limit);
}

static bool
is_over_limit (const CellLosses *losses)
{
  return losses->crashed * CRASH_WEIGHT + losses->crashed_in_outages
             >= WEIGHT_MAX
         || (losses->crashed >= CRASHES_MIN
             && losses->crashed + losses->unconfirmed >= LOSSES_MAX)
         || is_over_count (losses);
}

/* A recorded start is no loss; the pause would start again with it. */
static int64_t
since_last_ms (const MuxCell *cell, const CellTask *task)
{
  int64_t last = 0;

  for (uint32_t i = 0; i < task->loss_count; i++)
    if (!task->loss[i].outcome_unknown && task->loss[i].at_wall_ms > last)
      last = task->loss[i].at_wall_ms;
  return cell->time.wall_ms - last;
}

/* An outage that explains the last losses would be known by now. */
static bool
outage_is_ruled_out (const MuxCell *cell, const CellTask *task)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].span.to_ms != 0
        && cell->time.now_ms - task->loss[i].span.to_ms <= OUTAGE_KNOWN_MS)
      return false;
  return since_last_ms (cell, task) > OUTAGE_KNOWN_MS;
}

bool
cell_losses_exceeded (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = cell_task_losses (cell, task);

  return is_over_limit (&losses) && outage_is_ruled_out (cell, task);
}

/* Once the fate of the unreachable workers is known. */
static bool
may_be_over_limit (const CellLosses *losses)
{
  CellLosses worst = *losses;
  uint32_t unconfirmed = losses->unconfirmed + losses->unconfirmed_in_outages;
  uint32_t began;

  worst.crashed += losses->unreachable;
  worst.crashed_in_outages += losses->unreachable_in_outages;
  began = worst.crashed + worst.crashed_in_outages;
  return (losses->crashed_in_outages > 0 && is_over_limit (&worst))
         || (began >= BEGAN_MIN && began + unconfirmed >= LOSSES_MAX);
}

bool
cell_losses_allow_start (const MuxCell *cell, const CellTask *task)
{
  CellLosses losses = cell_task_losses (cell, task);
  uint32_t all = losses.crashed + losses.unconfirmed + losses.unreachable;
  int64_t since_ms = since_last_ms (cell, task);

  if (is_over_limit (&losses))
    return false;
  if (all >= LOSSES_MAX)
    return since_ms > LONG_PAUSE_MS;
  if (all >= LOSSES_MAX - 1)
    return since_ms > PAUSE_MS;
  if (may_be_over_limit (&losses))
    return since_ms > FATE_WAIT_MS;
  return losses.crashed_in_outages + losses.unreachable_in_outages
                 + losses.unconfirmed_in_outages
             < OUTAGE_LOSSES_MIN
         || cell_workers_are_stable (cell) || since_ms > OUTAGE_PAUSE_MS;
}

bool
cell_run_clears_task (const CellTask *task, int64_t ran_ms)
{
  if (task->loss_count == 0 || cell_run_was_short (ran_ms))
    return false;
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (ran_ms < RUN_TIME_FACTOR * task->loss[i].ran_ms)
      return false;
  return true;
}
