#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The stored form of a job's progress: done tasks, failed and lost runs,
 * checkpoints, and the workers where tasks may run. */

/* Done tasks are stored as a bitmap in hexadecimal digits, lowest task first.
 */
#define BITS_PER_DIGIT 4

static void
bitmap_format (const CellStage *stage, char *text)
{
  uint32_t digits = (stage->spec->count + BITS_PER_DIGIT - 1) / BITS_PER_DIGIT;

  for (uint32_t d = 0; d < digits; d++)
    {
      uint32_t value = 0;

      for (uint32_t b = 0; b < BITS_PER_DIGIT; b++)
        {
          uint32_t i = d * BITS_PER_DIGIT + b;

          if (i < stage->spec->count && stage->task[i].state == CELL_TASK_DONE)
            value |= 1U << b;
        }
      text[d] = "0123456789abcdef"[value];
    }
  text[digits] = 0;
}

static void
bitmap_apply (CellStage *stage, const char *text)
{
  size_t digits = strlen (text);

  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      char digit[2] = { 0, 0 };

      if (i / BITS_PER_DIGIT >= digits)
        return;
      digit[0] = text[i / BITS_PER_DIGIT];
      if ((strtoul (digit, NULL, 16) >> (i % BITS_PER_DIGIT) & 1) == 0
          || stage->task[i].state == CELL_TASK_DONE)
        continue;
      stage->task[i].state = CELL_TASK_DONE;
      stage->tasks_left--;
    }
}

static json_t *
runs_json (const CellFailures *failures)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < failures->count; i++)
    (void) json_array_append_new (list, json_integer (failures->run[i]));
  return list;
}

/* Raises @last to the highest run number read, so that no later run gets the
 * number of a failed one: its own failure would not be counted. */
static void
runs_apply (CellFailures *failures, uint32_t *last, const json_t *list)
{
  const json_t *json;
  size_t i;

  failures->count = 0;
  json_array_foreach (list, i, json)
  {
    uint32_t run = (uint32_t) json_integer_value (json);

    if (failures->count < CELL_FAILED_RUNS_MAX)
      failures->run[failures->count++] = run;
    if (run > *last)
      *last = run;
  }
}

static json_t *
failures_json (const CellStage *stage)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (stage->task[i].failures.count > 0)
      (void) json_array_append_new (
          list,
          json_pack ("[io]", (int) i, runs_json (&stage->task[i].failures)));
  return list;
}

static json_t *
checkpoints_json (const CellStage *stage)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (stage->task[i].checkpoint[0] != 0
        && stage->task[i].state != CELL_TASK_DONE)
      (void) json_array_append_new (
          list, json_pack ("[is]", (int) i, stage->task[i].checkpoint));
  return list;
}

static json_t *
stage_json (MuxCell *cell, const CellStage *stage)
{
  char bitmap[MUX_STEP_TASKS_MAX / BITS_PER_DIGIT + 2];

  bitmap_format (stage, bitmap);
  return json_pack ("{s:i, s:i, s:s, s:o, s:o, s:o, s:o, s:o}", "occurrence",
                    (int) stage->occurrence, "step", (int) stage->step, "done",
                    bitmap, "gang_failures", runs_json (&stage->failures),
                    "failures", failures_json (stage), "saved",
                    checkpoints_json (stage), "lost", cell_losses_json (stage),
                    "workers", cell_approvals_json (cell, stage));
}

/*
 * Return: number of stages of the first occurrences that are done in full,
 * which are stored as a number alone.  With an entry for each, the progress of
 * a job of some 400 occurrences exceeds a row: the store would refuse each
 * commit of the part from then on, and no end of any job there be stored and
 * acknowledged.
 */
static uint32_t
leading_done_stages (const CellJob *job)
{
  uint32_t done = 0;

  while (done < job->stage_count && job->stage[done]->tasks_left == 0)
    done++;
  return done - done % job->spec->step_count;
}

json_t *
cell_progress_json (MuxCell *cell, const CellJob *job)
{
  json_t *stages = json_array ();
  uint32_t steps = job->spec->step_count;
  uint32_t done = leading_done_stages (job);

  for (uint32_t i = done; i < job->stage_count; i++)
    (void) json_array_append_new (stages, stage_json (cell, job->stage[i]));
  return json_pack ("{s:b, s:i, s:i, s:o}", "started", (int) job->started,
                    "occurrences", (int) (job->stage_count / steps), "done",
                    (int) (done / steps), "stages", stages);
}

static void
apply_pairs (CellStage *stage, const json_t *failures, const json_t *saved)
{
  size_t i;
  json_t *pair;

  json_array_foreach (failures, i, pair)
  {
    json_int_t index = json_integer_value (json_array_get (pair, 0));

    if (index < 0 || index >= stage->spec->count)
      continue;
    runs_apply (&stage->task[index].failures, &stage->task[index].last_run,
                json_array_get (pair, 1));
  }
  json_array_foreach (saved, i, pair)
  {
    json_int_t index = json_integer_value (json_array_get (pair, 0));
    const char *text = json_string_value (json_array_get (pair, 1));

    if (index >= 0 && index < stage->spec->count && text != NULL)
      snprintf (stage->task[index].checkpoint,
                sizeof stage->task[index].checkpoint, "%s", text);
  }
}

static void
apply_stage (CellJob *job, const json_t *json)
{
  json_int_t at = json_integer_value (json_object_get (json, "occurrence"))
                      * job->spec->step_count
                  + json_integer_value (json_object_get (json, "step"));
  const char *done = json_string_value (json_object_get (json, "done"));
  CellStage *stage;

  if (at < 0 || at >= job->stage_count || done == NULL)
    return;
  stage = job->stage[at];
  bitmap_apply (stage, done);
  runs_apply (&stage->failures, &stage->last_run,
              json_object_get (json, "gang_failures"));
  cell_approvals_apply (stage, json_object_get (json, "workers"));
  apply_pairs (stage, json_object_get (json, "failures"),
               json_object_get (json, "saved"));
  cell_losses_apply (stage, json_object_get (json, "lost"));
}

/* Return: whether @list is a list of pairs of a task's index and a @type. */
static bool
is_pair_list (const json_t *list, uint32_t tasks, json_type type)
{
  size_t i;
  json_t *pair;

  json_array_foreach (list, i, pair)
  {
    const json_t *index = json_array_get (pair, 0);
    const json_t *value = json_array_get (pair, 1);

    if (!json_is_integer (index) || json_integer_value (index) < 0
        || json_integer_value (index) >= (json_int_t) tasks || value == NULL
        || json_typeof (value) != type)
      return false;
  }
  return json_is_array (list);
}

static bool
is_bitmap (const json_t *value, uint32_t tasks)
{
  const char *text = json_string_value (value);
  size_t digits = (tasks + BITS_PER_DIGIT - 1) / BITS_PER_DIGIT;

  return text != NULL && strlen (text) == digits
         && strspn (text, "0123456789abcdef") == digits;
}

static bool
is_integer_in_range (const json_t *value, json_int_t min, json_int_t max)
{
  return json_is_integer (value) && json_integer_value (value) >= min
         && json_integer_value (value) <= max;
}

/* @at: index of the stage; stages are stored in order.
 * Return: name of the first bad field; NULL: none. */
static const char *
bad_field_in_stage (const CellJob *job, size_t at, const json_t *json)
{
  json_int_t occurrence = (json_int_t) at / job->spec->step_count;
  json_int_t step = (json_int_t) at % job->spec->step_count;
  uint32_t tasks = job->spec->step[step].count;

  if (!is_integer_in_range (json_object_get (json, "occurrence"), occurrence,
                            occurrence))
    return "occurrence";
  if (!is_integer_in_range (json_object_get (json, "step"), step, step))
    return "step";
  if (!is_bitmap (json_object_get (json, "done"), tasks))
    return "done";
  if (!json_is_array (json_object_get (json, "gang_failures")))
    return "gang_failures";
  if (!is_pair_list (json_object_get (json, "failures"), tasks, JSON_ARRAY))
    return "failures";
  if (!is_pair_list (json_object_get (json, "saved"), tasks, JSON_STRING))
    return "saved";
  if (!cell_losses_valid (json_object_get (json, "lost"), tasks))
    return "lost";
  return json_is_array (json_object_get (json, "workers")) ? NULL : "workers";
}

/* Number of stages that are stored as a number alone; 0 in rows of an earlier
 * version, which lack the field. */
static uint64_t
stored_leading_done_stages (const CellJob *job, const json_t *json)
{
  return (uint64_t) json_integer_value (json_object_get (json, "done"))
         * job->spec->step_count;
}

static void
apply_done (CellJob *job, uint64_t stages)
{
  for (uint64_t i = 0; i < stages && i < job->stage_count; i++)
    {
      CellStage *stage = job->stage[i];

      for (uint32_t j = 0; j < stage->spec->count; j++)
        stage->task[j].state = CELL_TASK_DONE;
      stage->tasks_left = 0;
    }
}

/* Checks the whole of it, as tasks that are done would run again if only a part
 * were read.
 * Return: name of the first bad field; NULL: none. */
static const char *
bad_field_in_progress (const MuxCell *cell,
                       const CellJob *job,
                       const json_t *json)
{
  const json_t *stages = json_object_get (json, "stages");
  const json_t *occurrences = json_object_get (json, "occurrences");
  const json_t *done = json_object_get (json, "done");
  json_int_t min = job->spec->repetitions == 0 ? 1 : 0;
  uint64_t first = stored_leading_done_stages (job, json);
  json_t *stage;
  size_t i;

  if (!json_is_boolean (json_object_get (json, "started")))
    return "started";
  if (!is_integer_in_range (occurrences, min, cell_occurrences_due (cell, job)))
    return "occurrences";
  if (done != NULL
      && !is_integer_in_range (done, 0, json_integer_value (occurrences)))
    return "done";
  if (!json_is_array (stages)
      || first + json_array_size (stages)
             != (uint64_t) json_integer_value (occurrences)
                    * job->spec->step_count)
    return "stages";
  json_array_foreach (stages, i, stage)
  {
    const char *bad_field = bad_field_in_stage (job, first + i, stage);

    if (bad_field != NULL)
      return bad_field;
  }
  return NULL;
}

const char *
cell_progress_apply (MuxCell *cell, CellJob *job, const json_t *json)
{
  const char *bad_field = bad_field_in_progress (cell, job, json);
  json_t *stages = json_object_get (json, "stages");
  json_t *stage;
  size_t i;

  if (bad_field != NULL)
    return bad_field;
  job->started = json_is_true (json_object_get (json, "started"));
  cell_occurrences_restore (
      cell, job,
      (uint32_t) json_integer_value (json_object_get (json, "occurrences")));
  apply_done (job, stored_leading_done_stages (job, json));
  json_array_foreach (stages, i, stage) apply_stage (job, stage);
  cell_loss_list_add (cell, job);
  return NULL;
}

void
cell_progress_row (MuxCell *cell, const MuxCellRow *row)
{
  CellJob *job = cell_job_find (cell, row->key);
  const char *bad_field = NULL;
  json_t *json;

  if (job == NULL)
    return;
  json = cell_row_json (cell, row);
  job->progress_stored = true;
  if (json != NULL)
    bad_field = cell_progress_apply (cell, job, json);
  if (bad_field != NULL)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, bad_field);
  job->progress_unreadable = json == NULL || bad_field != NULL;
  cell_queue_count_update (cell, job);
  json_decref (json);
}
