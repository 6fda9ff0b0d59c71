#include "progress_fields.h"
#include "stage_tasks.h"
#include "token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Tasks that are done are stored as a bitmap in hexadecimal digits, lowest task
 * first. */
#define BITS_PER_DIGIT 4

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

json_t *
cell_runs_json (const CellFailures *failures)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < failures->count; i++)
    (void) json_array_append_new (list, json_integer (failures->run[i]));
  return list;
}

/* Raises @last to the highest run number read, so that no later run gets the
 * number of a failed one: its own failure would not be counted. */
void
cell_runs_apply (CellFailures *failures, uint32_t *last, const json_t *list)
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

json_t *
cell_failures_json (const CellStage *stage, CellTaskRange range)
{
  json_t *list = json_array ();

  for (uint32_t i = range.first; i < range.first + range.count; i++)
    if (cell_task_view (stage, i)->failures.count > 0)
      (void) json_array_append_new (
          list,
          json_pack ("[io]", (int) i,
                     cell_runs_json (&cell_task_view (stage, i)->failures)));
  return list;
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
cell_failures_apply (MuxCell *cell, CellStage *stage, const json_t *list)
{
  const json_t *pair;
  size_t i;

  json_array_foreach (list, i, pair)
  {
    CellTask *task = listed_task (cell, stage, pair);

    if (task != NULL)
      cell_runs_apply (&task->failures, &task->last_run,
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

bool
cell_runs_valid (const json_t *list)
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

bool
cell_failures_valid (const json_t *list, CellTaskRange range)
{
  const json_t *pair;
  size_t i;

  if (!cell_pairs_valid (list, range, JSON_ARRAY))
    return false;
  json_array_foreach (list, i, pair)
  {
    if (!cell_runs_valid (json_array_get (pair, 1)))
      return false;
  }
  return true;
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
