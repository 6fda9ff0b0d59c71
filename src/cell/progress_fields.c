#include "progress_fields.h"
#include "attempts.h"
#include "stage_tasks.h"
#include "token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Tasks that are done are stored as a bitmap in hexadecimal digits, lowest task
 * first. */
#define BITS_PER_DIGIT 4

/* Failed runs of which the number counts: [number, run up to which no end
 * counts any more, [first, last], ...], with ranges of those above. */
enum
{
  COUNT_FAILED,
  COUNT_CLOSED,
  COUNT_RANGES,
};

void
cell_add_list (json_t *json, const char *field, json_t *list)
{
  if (json_array_size (list) > 0)
    (void) json_object_set_new (json, field, list);
  else
    json_decref (list);
}

json_t *
cell_done_json (const CellStage *stage, CellTaskRange range)
{
  char text[MUX_STEP_TASKS_MAX / BITS_PER_DIGIT + 2] = "";
  uint32_t value = 0;
  uint32_t digits = 0;

  for (uint32_t i = 0; i < range.count; i++)
    {
      if (cell_task_view (stage, range.first + i)->state == CELL_TASK_DONE)
        value |= 1U << i % BITS_PER_DIGIT;
      if (i % BITS_PER_DIGIT != BITS_PER_DIGIT - 1 && i + 1 < range.count)
        continue;
      text[digits++] = "0123456789abcdef"[value];
      value = 0;
    }
  return json_string (text);
}

void
cell_done_apply (MuxCell *cell,
                 CellStage *stage,
                 CellTaskRange range,
                 const json_t *json)
{
  const char *text = json_string_value (json);
  size_t digits = text != NULL ? strlen (text) : 0;

  for (uint32_t i = 0; i < range.count && i / BITS_PER_DIGIT < digits; i++)
    {
      char digit[2] = { text[i / BITS_PER_DIGIT], 0 };

      if ((strtoul (digit, NULL, 16) >> (i % BITS_PER_DIGIT) & 1) != 0)
        (void) cell_task_done (cell, stage, range.first + i);
    }
}

/* Return: NULL if they are stored in the other form, or there are none. */
static json_t *
runs_json (const CellJob *job, const MuxFailedRuns *failed)
{
  json_t *list;

  if (failed->count == 0 || !cell_attempts_are_listed (job, failed))
    return NULL;
  list = json_array ();
  for (uint32_t i = 0; i < failed->range_count; i++)
    for (uint32_t j = 0; j <= failed->range[i].last - failed->range[i].first;
         j++)
      (void) json_array_append_new (
          list, json_integer ((json_int_t) failed->range[i].first + j));
  return list;
}

/* As runs_json(). */
static json_t *
count_json (const CellJob *job, const MuxFailedRuns *failed)
{
  json_t *list;

  if (failed->count == 0 || cell_attempts_are_listed (job, failed))
    return NULL;
  list = json_pack ("[I, I]", (json_int_t) failed->count,
                    (json_int_t) failed->closed_through);
  for (uint32_t i = 0; i < failed->range_count; i++)
    (void) json_array_append_new (
        list, json_pack ("[I, I]", (json_int_t) failed->range[i].first,
                         (json_int_t) failed->range[i].last));
  return list;
}

static json_t *
pairs_json (const CellStage *stage,
            CellTaskRange range,
            json_t *(*value_json) (const CellJob *job,
                                   const MuxFailedRuns *failed))
{
  json_t *list = json_array ();

  for (uint32_t i = range.first; i < range.first + range.count; i++)
    {
      json_t *value
          = value_json (stage->job, &cell_task_view (stage, i)->failures);

      if (value != NULL)
        (void) json_array_append_new (list, json_pack ("[io]", (int) i, value));
    }
  return list;
}

static json_t *
list_or_empty (json_t *list)
{
  return list != NULL ? list : json_array ();
}

json_t *
cell_gang_failures_json (const CellStage *stage)
{
  return list_or_empty (runs_json (stage->job, &stage->failures));
}

json_t *
cell_gang_failure_count_json (const CellStage *stage)
{
  return list_or_empty (count_json (stage->job, &stage->failures));
}

json_t *
cell_failures_json (const CellStage *stage, CellTaskRange range)
{
  return pairs_json (stage, range, runs_json);
}

json_t *
cell_failure_counts_json (const CellStage *stage, CellTaskRange range)
{
  return pairs_json (stage, range, count_json);
}

/* No later run gets the number of a failed one: its own failure would not be
 * counted. */
static void
raise_last (uint32_t *last, uint32_t run)
{
  if (run > *last && run <= CELL_RUN_MAX)
    *last = run;
}

/* @last: the highest run number so far */
static void
runs_apply (MuxCell *cell,
            CellJob *job,
            MuxFailedRuns *failed,
            uint32_t *last,
            const json_t *list)
{
  const json_t *json;
  size_t i;

  cell_attempts_clear (cell, job, failed);
  json_array_foreach (list, i, json)
  {
    uint32_t run = (uint32_t) json_integer_value (json);

    if (mux_failed_runs_reserve (failed))
      (void) mux_failed_runs_add (failed, run);
    else
      job->progress_unreadable = true;
    raise_last (last, run);
  }
  cell_attempts_read (cell, job, failed);
}

static uint32_t
number_at (const json_t *list, size_t index)
{
  return (uint32_t) json_integer_value (json_array_get (list, index));
}

/* As runs_apply(), of a list of count_json(). */
static void
count_apply (MuxCell *cell,
             CellJob *job,
             MuxFailedRuns *failed,
             uint32_t *last,
             const json_t *list)
{
  cell_attempts_clear (cell, job, failed);
  for (size_t i = COUNT_RANGES; i < json_array_size (list); i++)
    {
      const json_t *pair = json_array_get (list, i);
      MuxRunRange range
          = { .first = number_at (pair, 0), .last = number_at (pair, 1) };

      if (!mux_failed_runs_append (failed, range))
        job->progress_unreadable = true;
      raise_last (last, range.last);
    }
  failed->count = number_at (list, COUNT_FAILED);
  failed->closed_through = number_at (list, COUNT_CLOSED);
  raise_last (last, failed->closed_through);
  cell_attempts_read (cell, job, failed);
}

void
cell_gang_failures_apply (MuxCell *cell, CellStage *stage, const json_t *row)
{
  const json_t *runs = json_object_get (row, "gang_failures");
  const json_t *count = json_object_get (row, "gang_failure_count");

  if (json_array_size (runs) > 0)
    runs_apply (cell, stage->job, &stage->failures, &stage->last_run, runs);
  if (json_array_size (count) > 0)
    count_apply (cell, stage->job, &stage->failures, &stage->last_run, count);
}

json_t *
cell_checkpoints_json (const CellStage *stage, CellTaskRange range, bool whole)
{
  json_t *list = json_array ();

  for (uint32_t i = range.first; i < range.first + range.count; i++)
    {
      const CellTask *task = cell_task_view (stage, i);

      if (task->checkpoint != NULL && task->state != CELL_TASK_DONE
          && cell_token_is_short (task->checkpoint) != whole)
        (void) json_array_append_new (
            list, json_pack ("[is]", (int) i, task->checkpoint->bytes));
    }
  return list;
}

/* The index was checked, see cell_pairs_valid(). */
static CellTask *
listed_task (MuxCell *cell, CellStage *stage, const json_t *pair)
{
  json_int_t index = json_integer_value (json_array_get (pair, 0));

  return cell_task_get (cell, stage, (uint32_t) index);
}

void
cell_failures_apply (MuxCell *cell, CellStage *stage, const json_t *row)
{
  const json_t *pair;
  size_t i;

  json_array_foreach (json_object_get (row, "failures"), i, pair)
  {
    CellTask *task = listed_task (cell, stage, pair);

    if (task != NULL)
      runs_apply (cell, stage->job, &task->failures, &task->last_run,
                  json_array_get (pair, 1));
  }
  json_array_foreach (json_object_get (row, "failure_counts"), i, pair)
  {
    CellTask *task = listed_task (cell, stage, pair);

    if (task != NULL)
      count_apply (cell, stage->job, &task->failures, &task->last_run,
                   json_array_get (pair, 1));
  }
}

void
cell_checkpoints_apply (MuxCell *cell,
                        CellStage *stage,
                        const json_t *list,
                        bool whole)
{
  const json_t *pair;
  size_t i;

  json_array_foreach (list, i, pair)
  {
    CellTask *task = listed_task (cell, stage, pair);
    const char *text = json_string_value (json_array_get (pair, 1));
    MuxBlob *checkpoint;

    /* The previous version may have cut a longer one. */
    if (!whole && strlen (text) + 1 >= CELL_SHORT_TOKEN_LEN)
      continue;
    checkpoint = mux_blob_new (text, strlen (text));
    if (task != NULL && checkpoint != NULL && cell_checkpoint_fits (checkpoint))
      (void) cell_token_set (cell, &task->checkpoint, checkpoint);
    mux_blob_unref (checkpoint);
  }
}

bool
cell_pairs_valid (const json_t *list, CellTaskRange range, json_type type)
{
  size_t i;
  json_t *pair;

  json_array_foreach (list, i, pair)
  {
    const json_t *value = json_array_get (pair, 1);

    if (!cell_integer_in_range (json_array_get (pair, 0), range.first,
                                (json_int_t) range.first + range.count - 1)
        || value == NULL || json_typeof (value) != type)
      return false;
  }
  return json_is_array (list);
}

static bool
runs_valid (const json_t *list)
{
  const json_t *run;
  size_t i;

  json_array_foreach (list, i, run)
  {
    if (!cell_integer_in_range (run, 0, UINT32_MAX))
      return false;
  }
  return json_is_array (list);
}

/* Ranges are in order, with gaps between, above the runs that count no more,
 * and their runs are among those that failed. */
static bool
count_valid (const json_t *list)
{
  json_int_t failed = json_integer_value (json_array_get (list, COUNT_FAILED));
  json_int_t last = json_integer_value (json_array_get (list, COUNT_CLOSED));

  if (!cell_integer_in_range (json_array_get (list, COUNT_FAILED), 1,
                              UINT32_MAX)
      || !cell_integer_in_range (json_array_get (list, COUNT_CLOSED), 0,
                                 CELL_RUN_MAX))
    return false;
  for (size_t i = COUNT_RANGES; i < json_array_size (list); i++)
    {
      const json_t *range = json_array_get (list, i);
      json_int_t first = json_integer_value (json_array_get (range, 0));
      json_int_t min = i == COUNT_RANGES ? last + 1 : last + 2;

      if (!cell_integer_in_range (json_array_get (range, 0), min, CELL_RUN_MAX)
          || !cell_integer_in_range (json_array_get (range, 1), first,
                                     CELL_RUN_MAX))
        return false;
      last = json_integer_value (json_array_get (range, 1));
      failed -= last - first + 1;
    }
  return failed >= 0;
}

static bool
pairs_hold (const json_t *list,
            CellTaskRange range,
            bool (*is_valid) (const json_t *value))
{
  const json_t *pair;
  size_t i;

  if (!cell_pairs_valid (list, range, JSON_ARRAY))
    return false;
  json_array_foreach (list, i, pair)
  {
    if (!is_valid (json_array_get (pair, 1)))
      return false;
  }
  return true;
}

const char *
cell_failures_bad_field (const json_t *row, CellTaskRange range)
{
  const json_t *runs = json_object_get (row, "gang_failures");
  const json_t *count = json_object_get (row, "gang_failure_count");
  const json_t *failures = json_object_get (row, "failures");
  const json_t *counts = json_object_get (row, "failure_counts");

  if (runs != NULL && !runs_valid (runs))
    return "gang_failures";
  if (count != NULL && !count_valid (count))
    return "gang_failure_count";
  if (failures != NULL && !pairs_hold (failures, range, runs_valid))
    return "failures";
  if (counts != NULL && !pairs_hold (counts, range, count_valid))
    return "failure_counts";
  return NULL;
}

bool
cell_workers_valid (const json_t *list)
{
  const json_t *worker;
  size_t i;

  json_array_foreach (list, i, worker)
  {
    if (!json_is_string (worker) || json_string_length (worker) >= MUX_NAME_LEN)
      return false;
  }
  return json_is_array (list);
}

bool
cell_done_valid (const json_t *value, CellTaskRange range)
{
  const char *text = json_string_value (value);
  size_t digits = (range.count + BITS_PER_DIGIT - 1) / BITS_PER_DIGIT;

  return text != NULL && strlen (text) == digits
         && strspn (text, "0123456789abcdef") == digits;
}

bool
cell_integer_in_range (const json_t *value, json_int_t min, json_int_t max)
{
  return json_is_integer (value) && json_integer_value (value) >= min
         && json_integer_value (value) <= max;
}
