#include "job_memory.h"

#include <stdlib.h>
#include <string.h>

/* When the occurrences of a repeated job begin. */

/* Wall clocks of two daemons differ by less. */
#define WALL_CLOCK_DIFF_MAX_MS 600000

bool
cell_occurrence_add (MuxCell *cell,
                     CellJob *job,
                     uint32_t occurrence,
                     int64_t began_ms)
{
  uint32_t steps = job->spec->step_count;
  CellStage **stage
      = realloc (job->stage, (job->stage_count + steps) * sizeof (CellStage *));

  if (stage == NULL)
    return false;
  job->stage = stage;
  for (uint32_t i = 0; i < steps; i++)
    {
      job->stage[job->stage_count]
          = cell_stage_new (cell, job, occurrence, i, began_ms);
      if (job->stage[job->stage_count] == NULL)
        return false;
      job->stage_count++;
    }
  job->next_occurrence = occurrence + 1;
  cell_job_memory_update (cell, job);
  return true;
}

/* A result that comes late for it finds no task: its run is stopped, and its
 * end changes nothing.  What has a task's object is not forgotten: the run or
 * the loss that it stands for is. */
static bool
can_be_forgotten (const CellJob *job, uint32_t first_stage)
{
  for (uint32_t i = 0; i < job->spec->step_count; i++)
    {
      const CellStage *stage = job->stage[first_stage + i];

      if (stage->tasks_left > 0 || stage->task_objects > 0
          || stage->split_known > 0 || stage->query_pending)
        return false;
    }
  return true;
}

/*
 * Forgets the first occurrences that are done, except for the last one begun;
 * they are stored as a number alone.  Otherwise a job that is repeated for
 * months would take more memory with each occurrence.
 */
static void
forget_done (MuxCell *cell, CellJob *job)
{
  uint32_t steps = job->spec->step_count;
  uint32_t n = 0;

  /* A pass over split progress goes by positions of stages. */
  if (job->in_commit || job->split.in_pass)
    return;
  while (n + steps < job->stage_count && can_be_forgotten (job, n))
    n += steps;
  if (n == 0)
    return;
  for (uint32_t i = 0; i < n; i++)
    cell_stage_free (cell, job->stage[i]);
  job->stage_count -= n;
  job->first_occurrence += n / steps;
  memmove (job->stage, job->stage + n, job->stage_count * sizeof (CellStage *));
  cell_job_memory_update (cell, job);
}

bool
cell_occurrences_left (const CellJob *job)
{
  return job->next_occurrence < job->spec->repetitions;
}

/* Time of day; at most MUX_WALL_MS_MAX, which is never reached. */
static int64_t
due_ms (const MuxJobSpec *spec, uint32_t occurrence)
{
  int64_t due;

  if (__builtin_mul_overflow (spec->interval_ms, (int64_t) occurrence, &due)
      || __builtin_add_overflow (due, spec->first_due_ms, &due)
      || due > MUX_WALL_MS_MAX)
    return MUX_WALL_MS_MAX;
  return due;
}

/* By the cell's wall clock; negative: it is past due. */
static int64_t
until_due_ms (const MuxCell *cell, const CellJob *job, uint32_t occurrence)
{
  return due_ms (job->spec, occurrence) - cell->time.wall_ms;
}

bool
cell_occurrence_is_due (const MuxCell *cell,
                        const CellJob *job,
                        uint32_t occurrence)
{
  return job->spec->repetitions == 0
         || until_due_ms (cell, job, occurrence) <= 0;
}

/*
 * A job of a million occurrences due at one moment would have a stage for each
 * step of all of them, and the planner run out of memory. The next one begins
 * when one of these has ended.
 */
static bool
too_many_unfinished (const CellJob *job)
{
  uint32_t unfinished = 0;

  for (uint32_t i = 0; i < job->stage_count; i++)
    unfinished += job->stage[i]->tasks_left > 0;
  return unfinished >= CELL_UNFINISHED_STAGES_MAX;
}

static bool
add_next (MuxCell *cell, CellJob *job)
{
  int64_t began_ms
      = cell->time.now_ms + until_due_ms (cell, job, job->next_occurrence);

  if (cell_occurrence_add (cell, job, job->next_occurrence, began_ms))
    return true;
  cell_log (cell, "occurrence_dropped", "{s:s, s:s}", "job", job->id, "why",
            "out of memory");
  return false;
}

void
cell_occurrences_begin (MuxCell *cell, CellJob *job)
{
  forget_done (cell, job);
  while (cell_occurrences_left (job)
         && until_due_ms (cell, job, job->next_occurrence) <= 0
         && !too_many_unfinished (job) && cell_job_may_grow (cell, job)
         && add_next (cell, job))
    ;
}

void
cell_occurrences_skip (CellJob *job, uint32_t count)
{
  if (job->stage_count > 0 || job->spec->repetitions == 0 || count == 0)
    return;
  /* The last one is kept, so that a job of which all are done ends. */
  job->first_occurrence = count - 1;
  job->next_occurrence = count - 1;
}

uint32_t
cell_occurrences_due (const MuxCell *cell, const CellJob *job)
{
  const MuxJobSpec *spec = job->spec;
  int64_t since_ms
      = cell->time.wall_ms + WALL_CLOCK_DIFF_MAX_MS - spec->first_due_ms;
  int64_t due;

  if (spec->repetitions == 0)
    return 1;
  if (since_ms < 0)
    return 0;
  due = spec->interval_ms > 0 ? since_ms / spec->interval_ms + 1
                              : spec->repetitions;
  return (uint32_t) (due < spec->repetitions ? due : spec->repetitions);
}

void
cell_occurrences_restore (MuxCell *cell, CellJob *job, uint32_t count)
{
  while (cell_occurrences_left (job) && job->next_occurrence < count
         && add_next (cell, job))
    ;
  job->began_early = cell_occurrence_is_early (cell, job);
  if (job->began_early)
    cell_job_watch (cell, job);
}

/* A worker, or what is stored, may name an occurrence that is not due. */
bool
cell_occurrence_is_early (const MuxCell *cell, const CellJob *job)
{
  return job->next_occurrence > 0
         && !cell_occurrence_is_due (cell, job, job->next_occurrence - 1);
}
