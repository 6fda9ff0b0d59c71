#include "attempts.h"
#include "stage_tasks.h"
#include "token.h"

#include <stdlib.h>

/* Stages of jobs: when they are ready, and what they do in the plan. */

/* The workers of a gang are gathered one by one as they become free.  Its
 * latest start is so much earlier for each member: otherwise small gangs, which
 * find room at once, would go first until it is late. */
#define GATHER_MS_PER_TASK 100

/* Returns the longest expected time of the steps that depend on @step. */
static uint32_t
longest_after_ms (const MuxCell *cell, const CellJob *job, uint32_t step)
{
  const MuxJobSpec *spec = job->spec;
  uint32_t after_ms[MUX_STEPS_MAX] = { 0 };

  for (uint32_t i = spec->step_count; i-- > step + 1;)
    {
      uint32_t from_ms = cell_expected_ms (cell, spec, &spec->step[i])
                         + cell_promised_query_ms (&spec->queue.approval)
                         + after_ms[i];

      for (uint32_t j = step; j < i; j++)
        if ((spec->step[i].after >> j & 1) != 0 && from_ms > after_ms[j])
          after_ms[j] = from_ms;
    }
  return after_ms[step];
}

void
cell_stage_set_start_times (const MuxCell *cell, CellStage *stage)
{
  stage->fastest_ms = cell_stage_fastest_ms (cell, stage);
  stage->latest_start_ms = stage->deadline_ms - stage->fastest_ms;
  if (stage->spec->gang)
    stage->latest_start_ms -= (int64_t) stage->spec->count * GATHER_MS_PER_TASK;
}

CellStage *
cell_stage_new (const MuxCell *cell,
                CellJob *job,
                uint32_t occurrence,
                uint32_t step,
                int64_t began_ms)
{
  CellStage *stage = calloc (1, sizeof *stage);

  if (stage == NULL)
    return NULL;
  stage->job = job;
  stage->spec = &job->spec->step[step];
  stage->occurrence = occurrence;
  stage->step = step;
  stage->service = mux_hash_name (job->spec->queue.service, 0);
  stage->tasks_left = stage->spec->count;
  stage->deadline_ms = job->deadline_ms + (began_ms - job->accepted_ms);
  stage->worthless_ms = job->worthless_ms + (began_ms - job->accepted_ms);
  stage->expected_ms = cell_expected_ms (cell, job->spec, stage->spec);
  stage->after_ms = longest_after_ms (cell, job, step);
  cell_stage_set_start_times (cell, stage);
  return stage;
}

void
cell_stage_leave_plan (MuxCell *cell, CellStage *stage)
{
  if (!stage->ready)
    return;
  cell_plan_drop (cell, stage);
  cell_reservations_clear (cell, stage);
}

void
cell_stage_free (MuxCell *cell, CellStage *stage)
{
  cell_stage_leave_plan (cell, stage);
  cell_holds_release (stage);
  free (stage->hold);
  cell_tasks_free (cell, stage);
  cell_attempts_clear (cell, stage->job, &stage->failures);
  cell_approvals_free (cell, stage);
  free (stage->recorded);
  free (stage->step_runs);
  free (stage->split_row);
  free (stage);
}

uint32_t
cell_stage_waiting_tasks (const CellStage *stage)
{
  uint32_t n = 0;

  if (stage->task == NULL)
    return stage->all_done ? 0 : stage->spec->count;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellTask *task = cell_task_view (stage, i);

      n += task->state == CELL_TASK_WAITING && task->booking == NULL;
    }
  return n;
}

bool
cell_stage_gang_has_ended (const CellStage *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (cell_task_view (stage, i)->booking != NULL)
      return false;
  return true;
}

/* A checkpoint of one member is valid for all. */
MuxBlob *
cell_stage_gang_checkpoint (const CellStage *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (cell_task_view (stage, i)->checkpoint != NULL)
      return cell_task_view (stage, i)->checkpoint;
  return NULL;
}

static bool
dependencies_are_done (const CellStage *stage)
{
  for (uint32_t i = 0; i < stage->step; i++)
    if ((stage->spec->after >> i & 1) != 0
        && cell_job_stage (stage->job, stage->occurrence, i)->tasks_left > 0)
      return false;
  return true;
}

void
cell_stage_update (MuxCell *cell, CellStage *stage)
{
  bool ready = stage->tasks_left > 0 && !stage->job->cancelled
               && !stage->job->failed && !stage->job->ended
               && dependencies_are_done (stage)
               && cell_occurrence_is_due (cell, stage->job, stage->occurrence);

  if (ready && stage->spec->gang)
    ready = cell_stage_gang_has_ended (stage);
  if (ready)
    ready = cell_stage_waiting_tasks (stage) > 0;
  if (ready)
    cell_plan_add (cell, stage);
  else
    cell_stage_leave_plan (cell, stage);
}

static const char *
origin_name (CellOrigin origin)
{
  static const char *const name[] = {
    [CELL_ORIGIN_LOAD] = "load",
    [CELL_ORIGIN_FEED] = "feed",
    [CELL_ORIGIN_COMMIT] = "own_commit",
  };

  return name[origin];
}

/* Logs the speeds that were assumed of its workers; nothing where all of them
 * count as average. */
static void
log_speeds (MuxCell *cell, const CellStage *stage)
{
  const CellWorker *slowest = NULL;
  uint32_t fastest_milli = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellBooking *booking = cell_task_view (stage, i)->booking;
      uint32_t milli;

      if (booking == NULL)
        continue;
      milli = cell_worker_speed_milli (booking->worker);
      if (slowest == NULL || milli < cell_worker_speed_milli (slowest))
        slowest = booking->worker;
      fastest_milli = milli > fastest_milli ? milli : fastest_milli;
    }
  if (slowest == NULL || slowest->speed_milli == 0)
    return;
  cell_log (cell, "placed_by_speed", "{s:s, s:i, s:i, s:i, s:i}", "job",
            stage->job->id, "step", (int) stage->step, "slowest_milli",
            (int) cell_worker_speed_milli (slowest), "fastest_milli",
            (int) fastest_milli, "expected_ms",
            (int) cell_worker_expected_ms (stage, slowest));
}

/* Returns the speed of the slowest worker that runs a task of the stage. */
static uint32_t
lowest_speed_milli (const MuxCell *cell, const CellStage *stage)
{
  uint32_t lowest = UINT32_MAX;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellBooking *booking = cell_task_view (stage, i)->booking;

      if (booking != NULL && cell_booking_speed_milli (cell, booking) < lowest)
        lowest = cell_booking_speed_milli (cell, booking);
    }
  return lowest != UINT32_MAX ? lowest : MUX_SPEED_ONE_MILLI;
}

/* One line for a step, not for each task, to save processor time. */
void
cell_stage_log_placed (MuxCell *cell, const CellStage *stage, uint32_t tasks)
{
  int64_t now = cell->time.now_ms;
  int64_t latest_ms = stage->deadline_ms - stage->fastest_ms;
  uint32_t speed_milli = lowest_speed_milli (cell, stage);

  log_speeds (cell, stage);
  /* By version and term the reader can tell whether the job was stored before
   * the planner's term began, and so what it had to wait for. */
  cell_log (cell, "placed",
            "{s:s, s:i, s:i, s:i, s:I, s:I, s:I, s:I, s:s, s:o, s:i, s:i, s:i, "
            "s:i, s:i, s:I}",
            "job", stage->job->id, "step", (int) stage->step, "tasks",
            (int) tasks, "run", (int) stage->last_run, "waited_ms",
            (json_int_t) (now - stage->ready_ms), "late_ms",
            (json_int_t) (now - latest_ms), "version",
            (json_int_t) stage->job->version, "term", (json_int_t) cell->term,
            "known_by", origin_name (stage->job->origin), "lacked_ms",
            cell_step_wait_json (cell, stage), "questions",
            (int) stage->wait.queries, "names", (int) stage->wait.candidates,
            "approved", (int) stage->wait.approved, "used",
            (int) stage->wait.used, "speed_milli", (int) speed_milli,
            "expected_ms",
            (json_int_t) mux_speed_run_ms (stage->expected_ms, speed_milli));
}
