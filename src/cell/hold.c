#include "cell_private.h"

#include <stdlib.h>

/*
 * Room held for a gang that has found its workers and waits some 400 ms for the
 * proofs of their approval.  Without holds single tasks would take the room one
 * by one meanwhile, and the gang find its workers full each time.
 */

MuxSize
cell_tasks_size (const CellStage *stage, uint32_t tasks)
{
  MuxSize size = stage->spec->size;

  size.cpu_milli *= tasks;
  size.mem_mib *= tasks;
  size.accels *= tasks;
  size.slots *= tasks;
  return size;
}

bool
cell_hold_add (CellStage *stage, CellWorker *worker, uint32_t tasks)
{
  CellHold *hold
      = realloc (stage->hold, (stage->hold_count + 1) * sizeof *stage->hold);

  if (hold == NULL)
    return false;
  stage->hold = hold;
  hold[stage->hold_count++] = (CellHold){ worker, tasks };
  worker->hold_count++;
  worker->held = mux_size_add (worker->held, cell_tasks_size (stage, tasks));
  return true;
}

void
cell_holds_release (CellStage *stage)
{
  for (uint32_t i = 0; i < stage->hold_count; i++)
    {
      CellHold *hold = &stage->hold[i];

      hold->worker->hold_count--;
      hold->worker->held = mux_size_sub (hold->worker->held,
                                         cell_tasks_size (stage, hold->tasks));
    }
  stage->hold_count = 0;
}

/* The capacity of a worker may shrink under a hold: the room is then not free
 * for the holder either. */
MuxSize
cell_worker_free_for (const CellStage *stage, const CellWorker *worker)
{
  MuxSize own = cell_tasks_size (stage, cell_hold_tasks (stage, worker));
  MuxSize others = mux_size_sub (worker->held, own);

  return mux_size_sub (worker->info.capacity,
                       mux_size_add (worker->booked, others));
}

uint32_t
cell_hold_tasks (const CellStage *stage, const CellWorker *worker)
{
  for (uint32_t i = 0; i < stage->hold_count; i++)
    if (stage->hold[i].worker == worker)
      return stage->hold[i].tasks;
  return 0;
}
