#include "stage_tasks.h"

/*
 * Whether an order of ours may take away a run that is at work.
 *
 * A step that lasts may limit how many of its tasks are unavailable at the same
 * time as a result of the scheduler's actions.  All tasks that are not known to
 * be at work count, whatever the cause, so that a successor, which does not
 * know what its predecessor stopped, begins with all tasks that no worker has
 * listed.
 */

/* Of a task that lasts, once its startup is over. */
#define AT_WORK_PERCENT 100

static bool
is_at_work (const CellTask *task)
{
  const CellBooking *booking = task->booking;

  return booking != NULL && task->state == CELL_TASK_RUNNING
         && booking->worker->reachable && booking->listed
         && booking->percent >= AT_WORK_PERCENT;
}

bool
cell_run_may_be_stopped (const CellBooking *booking)
{
  const CellStage *stage = booking->task->stage;
  uint32_t away = 0;

  if (!stage->spec->long_running || stage->spec->unavailable_max == 0)
    return true;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    away += cell_task_view (stage, i) != booking->task
            && !is_at_work (cell_task_view (stage, i));
  return away < stage->spec->unavailable_max;
}
