#include "cell_private.h"

/* Workers that are kept free for waiting gangs.  They stand in a list of their
 * own, as each step that leaves the plan gives up those kept for it. */

static bool
is_kept (const CellWorker *worker)
{
  return worker->reserved != NULL || worker->last_reserved != NULL;
}

static void
update (MuxCell *cell, CellWorker *worker)
{
  if (worker->is_kept == is_kept (worker))
    return;
  worker->is_kept = is_kept (worker);
  if (worker->is_kept)
    DL_APPEND2 (cell->kept, worker, kept_prev, kept_next);
  else
    DL_DELETE2 (cell->kept, worker, kept_prev, kept_next);
}

void
cell_reserve (MuxCell *cell, CellStage *stage, CellWorker *worker)
{
  worker->reserved = stage;
  update (cell, worker);
}

void
cell_reservation_renew (MuxCell *cell, CellWorker *worker, bool is_valid)
{
  worker->last_reserved = worker->reserved;
  if (!is_valid)
    worker->reserved = NULL;
  update (cell, worker);
}

void
cell_reservations_clear (MuxCell *cell, const CellStage *stage)
{
  CellWorker *worker;
  CellWorker *next;

  DL_FOREACH_SAFE2 (cell->kept, worker, next, kept_next)
  {
    if (worker->reserved == stage)
      worker->reserved = NULL;
    if (worker->last_reserved == stage)
      worker->last_reserved = NULL;
    update (cell, worker);
  }
}

void
cell_reservation_forget (MuxCell *cell, CellWorker *worker)
{
  worker->reserved = NULL;
  worker->last_reserved = NULL;
  update (cell, worker);
}
