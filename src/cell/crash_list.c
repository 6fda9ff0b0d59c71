#include "cell_private.h"

/* The jobs with lost runs: few of all, and looked at for each worker that is
 * heard first, or no longer. */

void
cell_losses_note (MuxCell *cell, CellJob *job)
{
  if (job->losing || job->loss_count == 0)
    return;
  job->losing = true;
  cell->losing_count++;
  DL_APPEND2 (cell->losing, job, losing_prev, losing_next);
}

void
cell_losses_forget (MuxCell *cell, CellJob *job)
{
  if (!job->losing)
    return;
  job->losing = false;
  cell->losing_count--;
  DL_DELETE2 (cell->losing, job, losing_prev, losing_next);
}
