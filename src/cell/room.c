#include "cell_private.h"

/* Room of workers that is booked by runs. */

void
cell_room_book (CellWorker *worker, const CellStage *stage)
{
  worker->run_count++;
  worker->booked = mux_size_add (worker->booked, stage->spec->size);
  if (stage->spec->long_running)
    worker->long_running
        = mux_size_add (worker->long_running, stage->spec->size);
  cell_quota_charge (stage);
}

void
cell_room_release (CellWorker *worker, const CellStage *stage)
{
  worker->run_count--;
  worker->booked = mux_size_sub (worker->booked, stage->spec->size);
  if (stage->spec->long_running)
    worker->long_running
        = mux_size_sub (worker->long_running, stage->spec->size);
  cell_quota_release (stage);
}

/*
 * Returns the capacity without long-running tasks.  These hold their room until
 * they are cancelled, so that nothing should wait for it or reserve it.
 */
MuxSize
cell_room_eventual (const CellWorker *worker)
{
  return mux_size_sub (worker->info.capacity, worker->long_running);
}
