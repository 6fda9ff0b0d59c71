#ifndef CELL_STAGE_TASKS_H
#define CELL_STAGE_TASKS_H

#include "cell_private.h"

/*
 * Tasks of a stage.  A task has an object of its own from its first start
 * until it is done; all that has not been started, or is done, shares one of
 * the two objects below.  So a planner's memory follows what runs and what
 * went wrong, not what was submitted.
 */

/** cell_waiting_task, cell_done_task - shared; only their state has a meaning
 */
extern const CellTask cell_waiting_task;
extern const CellTask cell_done_task;

/** cell_task_view() - the task, or the shared object that stands for it, whose
 * stage and index are not set */
static inline const CellTask *
cell_task_view (const CellStage *stage, uint32_t index)
{
  if (stage->task == NULL)
    return stage->all_done ? &cell_done_task : &cell_waiting_task;
  return stage->task[index] != NULL ? stage->task[index] : &cell_waiting_task;
}

/** cell_task_object() - the task's own object; NULL: it has none */
static inline CellTask *
cell_task_object (const CellStage *stage, uint32_t index)
{
  CellTask *task = stage->task != NULL ? stage->task[index] : NULL;

  return task != &cell_done_task ? task : NULL;
}

/** cell_task_copy() - the task as cell_task_view() shows it, with stage and
 * index; what it points to stays the stage's */
static inline CellTask
cell_task_copy (CellStage *stage, uint32_t index)
{
  CellTask task = *cell_task_view (stage, index);

  task.stage = stage;
  task.index = index;
  return task;
}

/** cell_task_get() - the task's own object, made if it has none.  One that
 * says no more than a shared object is freed at the next tick.
 * Return: NULL when out of memory. */
CellTask *cell_task_get (MuxCell *cell, CellStage *stage, uint32_t index);
/** cell_task_set_state() - changes the state of a task; no other code does
 * Return: false: the task is done, which is final. */
bool cell_task_set_state (MuxCell *cell, CellTask *task, CellTaskState state);
/** cell_task_done() - marks the task as done
 * Return: false: it was. */
bool cell_task_done (MuxCell *cell, CellStage *stage, uint32_t index);
/** cell_tasks_done() - marks all tasks of the stage as done */
void cell_tasks_done (MuxCell *cell, CellStage *stage);
/** cell_task_changed() - the task may need no object any more */
void cell_task_changed (MuxCell *cell, CellTask *task);
/** cell_tasks_tick() - frees objects that are not needed; no other code holds
 * on to a task between two events */
void cell_tasks_tick (MuxCell *cell);
/** cell_tasks_free() - frees the tasks of the stage */
void cell_tasks_free (MuxCell *cell, CellStage *stage);

#endif
