#include "attempts.h"

#include "job_memory.h"
#include "stage_tasks.h"

/* Ranges of failed runs of a task that a row has room for.  There are more
 * only while a successor has heard from some of the workers where they ran. */
#define STORED_RANGES_MAX 48

static MuxFailedRuns *
failed_runs_of (CellTask *task)
{
  CellStage *stage = task->stage;

  return stage->spec->gang ? &stage->failures : &task->failures;
}

static bool
exceeds_row (const MuxFailedRuns *failed)
{
  return failed->range_count > STORED_RANGES_MAX;
}

/* What failed runs take of the limits that their job and the planner count. */
typedef struct
{
  uint64_t bytes;
  bool exceeds_row;
} Usage;

static Usage
usage_of (const MuxFailedRuns *failed)
{
  return (Usage){ .bytes = mux_failed_runs_bytes (failed),
                  .exceeds_row = exceeds_row (failed) };
}

static void
changed (MuxCell *cell, CellJob *job, const MuxFailedRuns *failed, Usage before)
{
  cell->failure_bytes += mux_failed_runs_bytes (failed) - before.bytes;
  job->oversized_failures += exceeds_row (failed);
  job->oversized_failures -= before.exceeds_row;
  job->stores_counts
      = job->stores_counts || !cell_attempts_are_listed (job, failed);
}

bool
cell_attempts_reserve (MuxCell *cell, CellTask *task)
{
  MuxFailedRuns *failed = failed_runs_of (task);
  Usage before = usage_of (failed);
  bool reserved = mux_failed_runs_reserve (failed);

  changed (cell, task->stage->job, failed, before);
  return reserved;
}

bool
cell_attempts_count (MuxCell *cell, CellTask *task, uint32_t run)
{
  MuxFailedRuns *failed = failed_runs_of (task);
  Usage before = usage_of (failed);
  bool counted = task->state != CELL_TASK_DONE
                 && !task->stage->spec->long_running
                 && mux_failed_runs_add (failed, run);

  changed (cell, task->stage->job, failed, before);
  return counted;
}

static void
close_runs (MuxCell *cell,
            CellJob *job,
            MuxFailedRuns *failed,
            uint32_t through)
{
  Usage before = usage_of (failed);

  mux_failed_runs_close (
      failed, through,
      cell_runs_exceed_memory (cell) ? 0 : MUX_FAILED_RUNS_LISTED);
  changed (cell, job, failed, before);
}

void
cell_attempts_run_begins (MuxCell *cell, CellTask *task, uint32_t run)
{
  close_runs (cell, task->stage->job, failed_runs_of (task), run - 1);
}

static bool
is_used (const CellJob *job, const MuxFailedRuns *failed)
{
  return failed->count >= job->spec->queue.attempts_max;
}

/* Whether the task has to be started again, and no run number is left. */
static bool
run_numbers_used (const CellStage *stage, const CellTask *task)
{
  uint32_t last = stage->spec->gang ? stage->last_run : task->last_run;

  return last >= CELL_RUN_MAX && task->state != CELL_TASK_DONE
         && task->booking == NULL;
}

bool
cell_task_attempts_used (CellTask *task)
{
  const CellStage *stage = task->stage;

  return run_numbers_used (stage, task)
         || (task->state != CELL_TASK_DONE && !stage->spec->long_running
             && is_used (stage->job, failed_runs_of (task)));
}

bool
cell_attempts_used (const CellJob *job)
{
  if (job->attempts_used)
    return true;
  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      const CellStage *stage = job->stage[i];
      bool counts = !stage->spec->long_running;

      if (counts && is_used (job, &stage->failures))
        return true;
      for (uint32_t j = 0; j < stage->spec->count; j++)
        {
          const CellTask *task = cell_task_view (stage, j);

          if (run_numbers_used (stage, task)
              || (counts && is_used (job, &task->failures)))
            return true;
        }
    }
  return false;
}

void
cell_attempts_clear (MuxCell *cell, CellJob *job, MuxFailedRuns *failed)
{
  Usage before = usage_of (failed);

  mux_failed_runs_clear (failed);
  changed (cell, job, failed, before);
}

void
cell_attempts_read (MuxCell *cell, CellJob *job, MuxFailedRuns *failed)
{
  changed (cell, job, failed, (Usage){ .bytes = 0 });
}

bool
cell_attempts_are_listed (const CellJob *job, const MuxFailedRuns *failed)
{
  return failed->closed_through == 0
         && (failed->count < MUX_FAILED_RUNS_LISTED
             || job->spec->queue.attempts_max <= MUX_FAILED_RUNS_LISTED);
}

/* All runs of the task below the one at a worker, if any, have ended. */
static uint32_t
ended_through (const CellTask *task)
{
  return task->booking != NULL ? task->booking->run - 1 : task->last_run;
}

static void
close_gang (MuxCell *cell, CellStage *stage)
{
  uint32_t through = stage->last_run;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = cell_task_view (stage, i);

      if (task->booking != NULL && ended_through (task) < through)
        through = ended_through (task);
    }
  close_runs (cell, stage->job, &stage->failures, through);
}

static void
close_stage (MuxCell *cell, CellStage *stage)
{
  close_gang (cell, stage);
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      CellTask *task = cell_task_object (stage, i);

      if (task != NULL)
        close_runs (cell, stage->job, &task->failures, ended_through (task));
    }
}

/* Closes what all workers have told, or their leases have ended.
 * Return: whether the job's failed runs still exceed a row. */
static bool
exceed_row (MuxCell *cell, CellJob *job)
{
  for (uint32_t i = 0; job->oversized_failures > 0 && i < job->stage_count
                       && cell_all_runs_known (cell);
       i++)
    close_stage (cell, job->stage[i]);
  return job->oversized_failures > 0;
}

bool
cell_attempts_exceed_row (MuxCell *cell, CellJob *job)
{
  bool was_held = job->progress_held;

  job->progress_held = exceed_row (cell, job);
  if (!job->progress_held)
    return false;
  mux_count (cell->options.counters, MUX_COUNT_PROGRESS_HELD, 1);
  if (!was_held)
    cell_log (cell, "progress_held", "{s:s, s:i}", "job", job->id, "tasks",
              (int) job->oversized_failures);
  return true;
}
