#include "cell_private.h"

#include <math.h>

/*
 * What the planner learns of run times, and tells the other daemons: the next
 * planner goes on with it, and all refuse by the same promised times.
 */

/* Between two lines of the log. */
#define LINE_MS 10000
/* Numbers are told in so many parts of one. */
#define PARTS 1000.0

static uint64_t
queue_of (const MuxJobSpec *spec)
{
  return mux_hash_name (spec->queue.name, 0);
}

/* Occurrences of one job go on being started in their order only while all of
 * them are ranked by one time. */
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

/* A run that resumes what was saved, or that a former planner started, tells
 * nothing of a whole one; a gang ends once. */
void
cell_run_time_record (MuxCell *cell, const CellBooking *booking)
{
  const CellTask *task = booking->task;
  const CellStage *stage = task->stage;

  if (!is_learned (stage->job->spec, stage->spec)
      || task->state == CELL_TASK_DONE || booking->resumed
      || booking->run < cell_next_run (cell, 0))
    return;
  mux_run_time_record (&cell->run_times, queue_of (stage->job->spec),
                       stage->spec->estimate_ms,
                       cell->time.now_ms - booking->booked_ms);
}

static json_int_t
in_parts (double value)
{
  return (json_int_t) lround (value * PARTS);
}

json_t *
cell_run_times_json (const MuxCell *cell)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < cell->run_times.count; i++)
    {
      const MuxRunTime *time = &cell->run_times.item[i];

      (void) json_array_append_new (
          list,
          json_pack ("[I, i, I, I, I, I]", (json_int_t) time->queue,
                     (int) time->count, in_parts (time->mean),
                     in_parts (time->variance), in_parts (time->error_mean),
                     in_parts (time->error_variance)));
    }
  return list;
}

static double
part_at (const json_t *entry, size_t index)
{
  return (double) json_integer_value (json_array_get (entry, index)) / PARTS;
}

void
cell_run_times_receive (MuxCell *cell, const json_t *list)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (list, i, entry)
  {
    MuxRunTime told = {
      .queue = (uint64_t) json_integer_value (json_array_get (entry, 0)),
      .count = (uint32_t) json_integer_value (json_array_get (entry, 1)),
      .mean = part_at (entry, 2),
      .variance = part_at (entry, 3),
      .error_mean = part_at (entry, 4),
      .error_variance = part_at (entry, 5),
    };
    MuxRunTime *time;

    if (!mux_run_time_is_valid (&told))
      continue;
    time = mux_run_time_find (&cell->run_times, told.queue);
    if (time != NULL)
      *time = told;
  }
}

void
cell_run_times_tick (MuxCell *cell)
{
  if (cell->time.now_ms < cell->next_run_times_log_ms)
    return;
  cell->next_run_times_log_ms = cell->time.now_ms + LINE_MS;
  for (uint32_t i = 0; i < cell->run_times.count; i++)
    {
      const MuxRunTime *time = &cell->run_times.item[i];

      cell_log (cell, "run_times", "{s:I, s:i, s:I, s:I, s:I, s:I}", "queue",
                (json_int_t) time->queue, "runs", (int) time->count, "usual_ms",
                (json_int_t) exp (time->mean), "spread_milli",
                in_parts (sqrt (time->variance)), "off_milli",
                in_parts (exp (time->error_mean)), "off_spread_milli",
                in_parts (sqrt (time->error_variance)));
    }
}
