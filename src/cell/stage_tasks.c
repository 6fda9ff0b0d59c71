#include "stage_tasks.h"

#include "attempts.h"
#include "token.h"

#include <stdlib.h>

const CellTask cell_waiting_task = { .state = CELL_TASK_WAITING };
const CellTask cell_done_task = { .state = CELL_TASK_DONE };

/* Only its address is used, as the entry of a task that is done. */
static CellTask *
done_entry (void)
{
  return (CellTask *) &cell_done_task;
}

static bool
make_table (CellStage *stage)
{
  if (stage->task != NULL)
    return true;
  stage->task = calloc (stage->spec->count, sizeof (CellTask *));
  if (stage->task == NULL)
    return false;
  for (uint32_t i = 0; i < stage->spec->count && stage->all_done; i++)
    stage->task[i] = done_entry ();
  return true;
}

static void
drop_table (CellStage *stage)
{
  free (stage->task);
  stage->task = NULL;
}

void
cell_task_changed (MuxCell *cell, CellTask *task)
{
  if (task->is_changed)
    return;
  task->is_changed = true;
  DL_APPEND2 (cell->changed_tasks, task, changed_prev, changed_next);
}

static void
forget_change (MuxCell *cell, CellTask *task)
{
  if (!task->is_changed)
    return;
  task->is_changed = false;
  DL_DELETE2 (cell->changed_tasks, task, changed_prev, changed_next);
}

static CellTask *
add_object (MuxCell *cell, CellStage *stage, uint32_t index)
{
  bool done = cell_task_view (stage, index) == &cell_done_task;
  CellTask *task;

  if (!make_table (stage))
    return NULL;
  task = calloc (1, sizeof *task);
  if (task == NULL)
    return NULL;
  task->stage = stage;
  task->index = index;
  task->state = done ? CELL_TASK_DONE : CELL_TASK_WAITING;
  stage->task[index] = task;
  stage->task_objects++;
  cell->task_objects++;
  cell_task_changed (cell, task);
  return task;
}

CellTask *
cell_task_get (MuxCell *cell, CellStage *stage, uint32_t index)
{
  CellTask *task = cell_task_object (stage, index);

  return task != NULL ? task : add_object (cell, stage, index);
}

static void
report_miscount (MuxCell *cell, const CellStage *stage)
{
  mux_count (cell->options.counters, MUX_COUNT_TASKS_MISCOUNTED, 1);
  cell_log (cell, "task_miscounted", "{s:s, s:i, s:i}", "job", stage->job->id,
            "occurrence", (int) stage->occurrence, "step", (int) stage->step);
}

/* Dependent steps start once no task is left: each task counts once. */
static void
count_done (MuxCell *cell, CellStage *stage)
{
  if (stage->tasks_left > 0)
    stage->tasks_left--;
  else
    report_miscount (cell, stage);
}

bool
cell_task_set_state (MuxCell *cell, CellTask *task, CellTaskState state)
{
  if (task->state == CELL_TASK_DONE)
    return false;
  task->state = state;
  if (state == CELL_TASK_DONE)
    count_done (cell, task->stage);
  cell_task_changed (cell, task);
  return true;
}

bool
cell_task_done (MuxCell *cell, CellStage *stage, uint32_t index)
{
  CellTask *task = cell_task_object (stage, index);

  if (task != NULL)
    return cell_task_set_state (cell, task, CELL_TASK_DONE);
  if (cell_task_view (stage, index)->state == CELL_TASK_DONE
      || !make_table (stage))
    return false;
  stage->task[index] = done_entry ();
  count_done (cell, stage);
  return true;
}

void
cell_tasks_done (MuxCell *cell, CellStage *stage)
{
  for (uint32_t i = 0; i < stage->spec->count && stage->task != NULL; i++)
    (void) cell_task_done (cell, stage, i);
  if (stage->task != NULL && stage->tasks_left > 0)
    report_miscount (cell, stage);
  stage->tasks_left = 0;
  stage->all_done = true;
}

static void
remove_object (MuxCell *cell, CellTask *task)
{
  forget_change (cell, task);
  cell_losses_free (task);
  cell_attempts_clear (cell, task->stage->job, &task->failures);
  (void) cell_token_set (cell, &task->checkpoint, NULL);
  task->stage->task_objects--;
  cell->task_objects--;
  free (task);
}

/* Whether a shared object says the same.  Losses of a task that is done are
 * counted by its job, and stored with it. */
static bool
is_needed (const CellTask *task)
{
  if (task->booking != NULL || task->loss_count > 0)
    return true;
  return task->state != CELL_TASK_DONE
         && (task->state != CELL_TASK_WAITING || task->last_run != 0
             || task->failures.count > 0 || task->failed_slot != 0
             || task->checkpoint != NULL);
}

static void
release (MuxCell *cell, CellTask *task)
{
  CellStage *stage = task->stage;

  stage->task[task->index]
      = task->state == CELL_TASK_DONE ? done_entry () : NULL;
  remove_object (cell, task);
  if (stage->task_objects > 0
      || (stage->tasks_left > 0 && stage->tasks_left < stage->spec->count))
    return;
  stage->all_done = stage->tasks_left == 0;
  drop_table (stage);
}

void
cell_tasks_tick (MuxCell *cell)
{
  CellTask *task;
  CellTask *next;

  DL_FOREACH_SAFE2 (cell->changed_tasks, task, next, changed_next)
  {
    forget_change (cell, task);
    if (!is_needed (task))
      release (cell, task);
  }
  mux_gauge_set (cell->options.counters, MUX_GAUGE_TASK_OBJECTS,
                 (int64_t) cell->task_objects);
}

void
cell_tasks_free (MuxCell *cell, CellStage *stage)
{
  for (uint32_t i = 0; i < stage->spec->count && stage->task_objects > 0; i++)
    {
      CellTask *task = cell_task_object (stage, i);

      if (task == NULL)
        continue;
      if (task->booking != NULL)
        cell_unbook (cell, task->booking);
      remove_object (cell, task);
      stage->task[i] = NULL;
    }
  drop_table (stage);
}
