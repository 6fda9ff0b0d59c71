#include "stage_tasks.h"

#include <math.h>

/*
 * The planner learns run times and sends them to the other daemons: the next
 * planner continues with them, and all daemons compute the same promised end of
 * a job when they refuse jobs.
 */

/* Interval of the run_times log lines. */
#define LOG_INTERVAL_MS 10000
/* Numbers are sent as integers, in thousandths. */
#define FIXED_POINT_SCALE 1000.0
#define MILLI 1000

static uint64_t
queue_of (const MuxJobSpec *spec)
{
  return mux_hash_name (spec->queue.name, 0);
}

/* Occurrences of one job start in their order only if all of them are ranked by
 * the same run time. */
static bool
is_learned (const MuxJobSpec *spec, const MuxStepSpec *step)
{
  return !step->long_running && spec->repetitions == 0;
}

uint32_t
cell_expected_ms (const MuxCell *cell,
                  const MuxJobSpec *spec,
                  const MuxStepSpec *step)
{
  if (!is_learned (spec, step))
    return step->estimate_ms;
  return mux_run_time_expect (&cell->run_times, queue_of (spec),
                              step->estimate_ms);
}

/* A gang takes as long as on the slowest of its workers. */
static uint32_t
speed_milli (const CellBooking *booking)
{
  const CellStage *stage = booking->task->stage;
  uint32_t slowest = cell_worker_speed_milli (booking->worker);

  if (!stage->spec->gang)
    return slowest;
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellBooking *member = cell_task_view (stage, i)->booking;
      uint32_t speed
          = member != NULL ? cell_worker_speed_milli (member->worker) : slowest;

      slowest = speed < slowest ? speed : slowest;
    }
  return slowest;
}

/* Skips runs that resumed a checkpoint or were started by a predecessor, as
 * their full run time is not known, and counts a gang once.  Times are recorded
 * as at speed one, so that they don't depend on which workers are used. */
void
cell_run_time_record (MuxCell *cell, const CellBooking *booking)
{
  const CellTask *task = booking->task;
  const CellStage *stage = task->stage;

  if (!is_learned (stage->job->spec, stage->spec)
      || task->state == CELL_TASK_DONE || booking->resumed || booking->slowed
      || booking->run < cell_next_run (cell, 0))
    return;
  mux_run_time_record (
      &cell->run_times, queue_of (stage->job->spec), stage->spec->estimate_ms,
      (cell->time.now_ms - booking->booked_ms) * speed_milli (booking) / MILLI);
}

static json_int_t
to_fixed_point (double value)
{
  return (json_int_t) lround (value * FIXED_POINT_SCALE);
}

json_t *
cell_run_times_json (const MuxCell *cell)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < cell->run_times.count; i++)
    {
      const MuxRunTime *time = &cell->run_times.item[i];

      (void) json_array_append_new (
          list, json_pack ("[I, i, I, I, I, I]", (json_int_t) time->queue,
                           (int) time->count, to_fixed_point (time->mean),
                           to_fixed_point (time->variance),
                           to_fixed_point (time->error_mean),
                           to_fixed_point (time->error_variance)));
    }
  return list;
}

static double
fixed_point_at (const json_t *entry, size_t index)
{
  return (double) json_integer_value (json_array_get (entry, index))
         / FIXED_POINT_SCALE;
}

void
cell_run_times_receive (MuxCell *cell, const json_t *list)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (list, i, entry)
  {
    MuxRunTime received = {
      .queue = (uint64_t) json_integer_value (json_array_get (entry, 0)),
      .count = (uint32_t) json_integer_value (json_array_get (entry, 1)),
      .mean = fixed_point_at (entry, 2),
      .variance = fixed_point_at (entry, 3),
      .error_mean = fixed_point_at (entry, 4),
      .error_variance = fixed_point_at (entry, 5),
    };
    MuxRunTime *time;

    if (!mux_run_time_is_valid (&received))
      continue;
    time = mux_run_time_find (&cell->run_times, received.queue);
    if (time != NULL)
      *time = received;
  }
}

void
cell_run_times_tick (MuxCell *cell)
{
  if (cell->time.now_ms < cell->next_run_times_log_ms)
    return;
  cell->next_run_times_log_ms = cell->time.now_ms + LOG_INTERVAL_MS;
  for (uint32_t i = 0; i < cell->run_times.count; i++)
    {
      const MuxRunTime *time = &cell->run_times.item[i];

      cell_log (cell, "run_times", "{s:I, s:i, s:I, s:I, s:I, s:I}", "queue",
                (json_int_t) time->queue, "runs", (int) time->count, "usual_ms",
                (json_int_t) exp (time->mean), "spread_milli",
                to_fixed_point (sqrt (time->variance)), "off_milli",
                to_fixed_point (exp (time->error_mean)), "off_spread_milli",
                to_fixed_point (sqrt (time->error_variance)));
    }
}
