#include "jobs_private.h"

/*
 * Failure: a gang's home dies when only some of its tasks are recorded as
 * placed.  Its new home would ask for the rest as a gang of the whole size,
 * which never gets complete, and the job hangs.  The rest of a gang that is
 * placed in part asks one by one.
 */
bool
job_none_placed (const Job *job)
{
  for (uint32_t i = 0; i < job->header.task_count; i++)
    if (job->slots[i].state != SLOT_NEW)
      return false;
  return true;
}

/* Every task of the gang still wants a place. */
static bool
all_asking (MuxCore *core, const Job *job)
{
  for (uint32_t i = 0; i < job->header.task_count; i++)
    {
      const Task *t = task_find (core, mux_id_of_part (job->id, i));

      if (t == NULL || (t->state != TASK_ASKING && t->state != TASK_WAITING))
        return false;
    }
  return job_none_placed (job);
}

bool
jobs_gang_broken (MuxCore *core, const Task *task)
{
  const Job *job = job_find (core, task->job);

  return job == NULL || !all_asking (core, job);
}

/*
 * Failure: an owner refuses a gang, and each of its tasks by itself picks
 * another owner from what it knows at that moment.  They pick different ones,
 * and each owner waits for a gang that never gets complete: the job hangs.
 * So the whole gang asks anew, under a new group id and at one moment.
 */
bool
jobs_gang_again (MuxCore *core, Task *task, int64_t pause_ms)
{
  Job *job = job_find (core, task->job);
  MuxId group;

  if (job == NULL || !all_asking (core, job))
    return false;
  group = mux_id_of_part (job->id, MUX_JOB_TASKS_MAX + ++job->rounds);
  for (uint32_t i = 0; i < job->header.task_count; i++)
    task_ask_group (core, task_find (core, mux_id_of_part (job->id, i)), group,
                    pause_ms);
  return true;
}
