#include "stage_tasks.h"

#include <stdio.h>

/* Jobs, their stages and tasks by name. */

CellJob *
cell_job_find (MuxCell *cell, const char *id)
{
  CellJob *job;

  HASH_FIND_STR (cell->jobs, id, job);
  return job;
}

MuxTaskRef
cell_stage_ref (const CellStage *stage)
{
  MuxTaskRef ref = { .occurrence = stage->occurrence, .step = stage->step };

  snprintf (ref.job, sizeof ref.job, "%s", stage->job->id);
  return ref;
}

MuxTaskRef
cell_task_ref (const CellTask *task)
{
  MuxTaskRef ref = cell_stage_ref (task->stage);

  ref.index = task->index;
  return ref;
}

CellStage *
cell_job_stage (const CellJob *job, uint32_t occurrence, uint32_t step)
{
  uint64_t at;

  if (occurrence < job->first_occurrence || step >= job->spec->step_count)
    return NULL;
  at = (uint64_t) (occurrence - job->first_occurrence) * job->spec->step_count
       + step;
  return at < job->stage_count ? job->stage[at] : NULL;
}

CellStage *
cell_stage_find (MuxCell *cell, const MuxTaskRef *ref)
{
  const CellJob *job = cell_job_find (cell, ref->job);
  CellStage *stage = NULL;

  if (job != NULL)
    stage = cell_job_stage (job, ref->occurrence, ref->step);
  return stage != NULL && ref->index < stage->spec->count ? stage : NULL;
}

CellTask *
cell_task_find (MuxCell *cell, const MuxTaskRef *ref)
{
  CellStage *stage = cell_stage_find (cell, ref);

  return stage != NULL ? cell_task_get (cell, stage, ref->index) : NULL;
}
