#include "cell_private.h"

/* Room of workers that tasks of ours have. */

void
cell_room_book (CellWorker *worker, const CellStage *stage)
{
  worker->booked = mux_size_add (worker->booked, stage->spec->size);
  if (stage->spec->long_running)
    worker->long_running
        = mux_size_add (worker->long_running, stage->spec->size);
  cell_quota_charge (stage);
}

void
cell_room_release (CellWorker *worker, const CellStage *stage)
{
  worker->booked = mux_size_sub (worker->booked, stage->spec->size);
  if (stage->spec->long_running)
    worker->long_running
        = mux_size_sub (worker->long_running, stage->spec->size);
  cell_quota_release (stage);
}

/*
 * Guards against room that is waited for, and kept from others, though it never
 * becomes free: tasks that run until they are cancelled hold it.
 */
MuxSize
cell_room_eventual (const CellWorker *worker)
{
  return mux_size_sub (worker->info.capacity, worker->long_running);
}
