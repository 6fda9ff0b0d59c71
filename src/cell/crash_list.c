#include "cell_private.h"

/* The jobs with lost runs, which are few: they are scanned for each worker
 * that answers for the first time, or stops answering. */

void
cell_loss_list_add (MuxCell *cell, CellJob *job)
{
  if (job->in_loss_list || job->loss_count == 0)
    return;
  job->in_loss_list = true;
  cell->loss_job_count++;
  DL_APPEND2 (cell->loss_jobs, job, loss_list_prev, loss_list_next);
}

void
cell_loss_list_remove (MuxCell *cell, CellJob *job)
{
  if (!job->in_loss_list)
    return;
  job->in_loss_list = false;
  cell->loss_job_count--;
  DL_DELETE2 (cell->loss_jobs, job, loss_list_prev, loss_list_next);
}
