#include "progress_fields.h"
#include "stage_tasks.h"
#include "progress_split.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/*
 * The stored form of a split progress.
 *
 * The row under the job's id: {"started", "failed", "occurrences", "open"}. All
 * steps of the occurrences that have begun are done but those in "open", a list
 * of [occurrence, set of its steps that are done, in hexadecimal digits].
 *
 * Rows under ID#OCCURRENCE.STEP.tNUMBER, with what is known of TASKS_PER_ROW
 * tasks, and of the gang in the first one: {"accepted", "done",
 * "gang_failures", "gang_failure_count", "failures", "failure_counts", "saved",
 * "saved_whole", "lost"}; fields without content are left out.  Rows under
 * ID#OCCURRENCE.STEP.wNUMBER: {"accepted", "workers"}. "accepted" is the time
 * of day when the job was accepted: rows of an earlier job with its id are
 * ignored.
 */

/* At most 48 ranges of failed runs, 8 lost runs with their workers, and a
 * checkpoint are stored of a task: 8 KB, if each byte of a name has to be
 * escaped. */
#define TASKS_PER_ROW 8
/* A row whose long checkpoints would make it larger is stored without them. */
#define ROW_BYTES_MAX 49152
#define KEY_MARK '#'
#define KEY_FORMAT "%s#%" PRIu32 ".%" PRIu32 ".%c%" PRIu32
#define HEX 16

static const char kind_letter[]
    = { [CELL_SPLIT_TASKS] = 't', [CELL_SPLIT_WORKERS] = 'w' };

uint32_t
cell_split_task_rows (const MuxStepSpec *step)
{
  return (step->count + TASKS_PER_ROW - 1) / TASKS_PER_ROW;
}

static CellTaskRange
range_of (const MuxStepSpec *step, uint32_t row)
{
  uint32_t first = row * TASKS_PER_ROW;
  uint32_t left = step->count - first;

  return (CellTaskRange){ .first = first,
                          .count
                          = left < TASKS_PER_ROW ? left : TASKS_PER_ROW };
}

void
cell_split_key (const CellStage *stage,
                CellSplitRow row,
                char key[CELL_PROGRESS_KEY_LEN])
{
  snprintf (key, CELL_PROGRESS_KEY_LEN, KEY_FORMAT, stage->job->id,
            stage->occurrence, stage->step, kind_letter[row.kind], row.number);
}

static bool
is_any_done (const CellStage *stage, CellTaskRange range)
{
  for (uint32_t i = 0; i < range.count; i++)
    if (cell_task_view (stage, range.first + i)->state == CELL_TASK_DONE)
      return true;
  return false;
}

/* Return: NULL: the row would be empty; @json is taken over. */
static json_t *
finish_row (const CellStage *stage, json_t *json)
{
  if (json_object_size (json) == 0)
    {
      json_decref (json);
      return NULL;
    }
  (void) json_object_set_new (
      json, "accepted",
      json_integer ((json_int_t) stage->job->spec->accepted_wall_ms));
  return json;
}

/* Most rows of a wide stage are: they need not be built in each pass. */
static bool
is_empty (const CellStage *stage, uint32_t row)
{
  CellTaskRange range = range_of (stage->spec, row);

  if (row == 0 && stage->failures.count > 0)
    return false;
  for (uint32_t i = 0; i < range.count; i++)
    if (cell_task_view (stage, range.first + i) != &cell_waiting_task)
      return false;
  return true;
}

json_t *
cell_split_tasks_json (const CellStage *stage, uint32_t row)
{
  CellTaskRange range = range_of (stage->spec, row);
  json_t *json;

  if (is_empty (stage, row))
    return NULL;
  json = json_object ();
  if (is_any_done (stage, range))
    (void) json_object_set_new (json, "done", cell_done_json (stage, range));
  if (row == 0)
    {
      cell_add_list (json, "gang_failures", cell_gang_failures_json (stage));
      cell_add_list (json, "gang_failure_count",
                     cell_gang_failure_count_json (stage));
    }
  cell_add_list (json, "failures", cell_failures_json (stage, range));
  cell_add_list (json, "failure_counts",
                 cell_failure_counts_json (stage, range));
  cell_add_list (json, "saved", cell_checkpoints_json (stage, range, false));
  cell_add_list (json, "saved_whole",
                 cell_checkpoints_json (stage, range, true));
  cell_add_list (json, "lost",
                 cell_losses_json (stage, range.first, range.count));
  if (json_object_get (json, "saved_whole") != NULL
      && json_dumpb (json, NULL, 0, JSON_COMPACT) > ROW_BYTES_MAX)
    (void) json_object_del (json, "saved_whole");
  return finish_row (stage, json);
}

void
cell_split_workers_json (MuxCell *cell,
                         const CellStage *stage,
                         json_t *json[CELL_SPLIT_WORKER_ROWS])
{
  json_t *list[CELL_SPLIT_WORKER_ROWS];

  cell_approvals_json (cell, stage, list, CELL_SPLIT_WORKER_ROWS);
  for (uint32_t i = 0; i < CELL_SPLIT_WORKER_ROWS; i++)
    {
      json[i] = json_object ();
      cell_add_list (json[i], "workers", list[i]);
      json[i] = finish_row (stage, json[i]);
    }
}

/* Return: NULL: all steps of the occurrence are done. */
static json_t *
open_occurrence_json (const CellJob *job, uint32_t occurrence)
{
  uint32_t steps = job->spec->step_count;
  uint32_t done = 0;
  uint64_t set = 0;
  char text[HEX + 1];

  for (uint32_t i = 0; i < steps; i++)
    if (cell_job_stage (job, occurrence, i)->tasks_left == 0)
      {
        set |= UINT64_C (1) << i;
        done++;
      }
  if (done == steps)
    return NULL;
  snprintf (text, sizeof text, "%" PRIx64, set);
  return json_pack ("[i, s]", (int) occurrence, text);
}

json_t *
cell_split_head_json (const CellJob *job)
{
  uint32_t occurrences
      = job->first_occurrence + job->stage_count / job->spec->step_count;
  json_t *open = json_array ();

  for (uint32_t i = job->first_occurrence; i < occurrences; i++)
    {
      json_t *json = open_occurrence_json (job, i);

      if (json != NULL)
        (void) json_array_append_new (open, json);
    }
  return json_pack ("{s:b, s:b, s:i, s:o}", "started", (int) job->started,
                    "failed", (int) job->failed, "occurrences",
                    (int) occurrences, "open", open);
}

void
cell_split_head_read (CellJob *job, const MuxBlob *value)
{
  if (value != NULL)
    job->split.head.hash = XXH3_64bits (value->bytes, value->len);
}

bool
cell_progress_is_split (const json_t *json)
{
  return json_object_get (json, "open") != NULL;
}

static bool
is_open_occurrence (const json_t *json, json_int_t occurrences)
{
  const char *set = json_string_value (json_array_get (json, 1));
  size_t len = set != NULL ? strlen (set) : 0;

  return cell_integer_in_range (json_array_get (json, 0), 0, occurrences - 1)
         && len > 0 && len <= HEX && strspn (set, "0123456789abcdef") == len;
}

static const char *
bad_field_in_head (const MuxCell *cell, const CellJob *job, const json_t *json)
{
  const json_t *occurrences = json_object_get (json, "occurrences");
  const json_t *open = json_object_get (json, "open");
  const json_t *entry;
  size_t i;

  if (!json_is_boolean (json_object_get (json, "started")))
    return "started";
  if (!json_is_boolean (json_object_get (json, "failed")))
    return "failed";
  if (!cell_integer_in_range (occurrences, job->spec->repetitions == 0 ? 1 : 0,
                              cell_occurrences_due (cell, job)))
    return "occurrences";
  json_array_foreach (open, i, entry)
  {
    if (!is_open_occurrence (entry, json_integer_value (occurrences)))
      return "open";
  }
  return json_is_array (open) ? NULL : "open";
}

/* @open: entry of the occurrence in the list of those that are not done; NULL:
 * it is done. */
static void
apply_occurrence (MuxCell *cell,
                  CellJob *job,
                  uint32_t occurrence,
                  const json_t *open)
{
  uint32_t steps = job->spec->step_count;
  uint64_t set = UINT64_MAX;

  if (open != NULL)
    set = strtoull (json_string_value (json_array_get (open, 1)), NULL, HEX);
  for (uint32_t i = 0; i < steps; i++)
    if ((set >> i & 1) != 0)
      cell_tasks_done (cell, cell_job_stage (job, occurrence, i));
}

/* Return: number of the first occurrences that are done; the list is in their
 * order. */
static uint32_t
first_open (const json_t *open, uint32_t occurrences)
{
  return json_array_size (open) > 0 ? (uint32_t) json_integer_value (
             json_array_get (json_array_get (open, 0), 0))
                                    : occurrences;
}

const char *
cell_split_head_apply (MuxCell *cell, CellJob *job, const json_t *json)
{
  const char *bad_field = bad_field_in_head (cell, job, json);
  const json_t *open = json_object_get (json, "open");
  uint32_t occurrences;
  size_t next = 0;

  if (bad_field != NULL)
    return bad_field;
  job->started = json_is_true (json_object_get (json, "started"));
  job->attempts_used = json_is_true (json_object_get (json, "failed"));
  job->split.begun = true;
  job->split.stored = true;
  job->split.may_be_stored = true;
  occurrences
      = (uint32_t) json_integer_value (json_object_get (json, "occurrences"));
  cell_occurrences_skip (job, first_open (open, occurrences));
  cell_occurrences_restore (cell, job, occurrences);
  occurrences
      = job->first_occurrence + job->stage_count / job->spec->step_count;
  for (uint32_t i = job->first_occurrence; i < occurrences; i++)
    {
      const json_t *entry = json_array_get (open, next);
      bool is_open
          = json_integer_value (json_array_get (entry, 0)) == (json_int_t) i
            && entry != NULL;

      apply_occurrence (cell, job, i, is_open ? entry : NULL);
      next += is_open;
    }
  return NULL;
}

/* Return: false: @key is not of a row of a split progress. */
static bool
parse_key (const char *key,
           char id[MUX_JOB_ID_LEN],
           uint32_t *occurrence,
           uint32_t *step,
           CellSplitRow *row)
{
  const char *mark = strchr (key, KEY_MARK);
  char again[CELL_PROGRESS_KEY_LEN];
  char letter;

  if (mark == NULL || mark - key >= MUX_JOB_ID_LEN)
    return false;
  snprintf (id, MUX_JOB_ID_LEN, "%.*s", (int) (mark - key), key);
  if (sscanf (mark + 1, "%" SCNu32 ".%" SCNu32 ".%c%" SCNu32, occurrence, step,
              &letter, &row->number)
      != 4)
    return false;
  row->kind = letter == kind_letter[CELL_SPLIT_TASKS] ? CELL_SPLIT_TASKS
                                                      : CELL_SPLIT_WORKERS;
  snprintf (again, sizeof again, KEY_FORMAT, id, *occurrence, *step,
            kind_letter[row->kind], row->number);
  return strcmp (again, key) == 0 && mux_job_id_valid (id);
}

static bool
is_absent_or (const json_t *value, bool valid)
{
  return value == NULL || valid;
}

/* Return: name of the first bad field; NULL: none. */
static const char *
bad_field_in_tasks (const json_t *json, CellTaskRange range)
{
  const json_t *done = json_object_get (json, "done");
  const char *bad_failures = cell_failures_bad_field (json, range);
  const json_t *saved = json_object_get (json, "saved");
  const json_t *whole = json_object_get (json, "saved_whole");

  if (!is_absent_or (done, cell_done_valid (done, range)))
    return "done";
  if (bad_failures != NULL)
    return bad_failures;
  if (!is_absent_or (saved, cell_pairs_valid (saved, range, JSON_STRING)))
    return "saved";
  if (!is_absent_or (whole, cell_pairs_valid (whole, range, JSON_STRING)))
    return "saved_whole";
  return cell_losses_valid (json_object_get (json, "lost"), range.first,
                            range.count)
             ? NULL
             : "lost";
}

static const char *
apply_tasks (MuxCell *cell, CellStage *stage, uint32_t row, const json_t *json)
{
  CellTaskRange range = range_of (stage->spec, row);
  const char *bad_field = bad_field_in_tasks (json, range);
  const json_t *saved = json_object_get (json, "saved");
  const json_t *whole = json_object_get (json, "saved_whole");

  if (bad_field != NULL)
    return bad_field;
  cell_done_apply (cell, stage, range, json_object_get (json, "done"));
  cell_gang_failures_apply (cell, stage, json);
  cell_failures_apply (cell, stage, json);
  cell_checkpoints_apply (cell, stage, saved, false);
  cell_checkpoints_apply (cell, stage, whole, true);
  cell_losses_apply (cell, stage, json_object_get (json, "lost"));
  return NULL;
}

static const char *
apply_row (MuxCell *cell,
           CellStage *stage,
           CellSplitRow row,
           const json_t *json)
{
  const json_t *workers = json_object_get (json, "workers");

  if (row.kind == CELL_SPLIT_TASKS)
    return apply_tasks (cell, stage, row.number, json);
  if (!cell_workers_valid (workers))
    return "workers";
  cell_approvals_apply (stage, workers);
  return NULL;
}

static bool
is_of_job (const json_t *json, const CellJob *job)
{
  return json_integer_value (json_object_get (json, "accepted"))
         == (json_int_t) job->spec->accepted_wall_ms;
}

/* Whether the row says something of the stage: that it is done is stored under
 * the job's id. */
static bool
is_of_stage (const CellStage *stage, CellSplitRow row)
{
  return stage != NULL && stage->tasks_left > 0
         && (row.kind != CELL_SPLIT_TASKS
             || row.number < cell_split_task_rows (stage->spec));
}

/* A row whose job is not stored in this form was written by a first pass that
 * did not end: it is known, so that it is replaced or removed, and not used. */
static void
take_row (MuxCell *cell,
          CellJob *job,
          CellStage *stage,
          CellSplitRow split,
          const MuxCellRow *row)
{
  const char *bad_field = NULL;
  json_t *json;

  if (!job->split.stored)
    {
      cell_split_row_read (job, stage, split, row->key, NULL);
      return;
    }
  cell_split_row_read (job, stage, split, row->key, row->value);
  if (!is_of_stage (stage, split))
    return;
  json = cell_row_json (cell, row);
  if (json != NULL && is_of_job (json, job))
    bad_field = apply_row (cell, stage, split, json);
  if (bad_field != NULL)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, bad_field);
  if (json == NULL || bad_field != NULL)
    job->progress_unreadable = true;
  cell_loss_list_add (cell, job);
  json_decref (json);
}

bool
cell_progress_split_row (MuxCell *cell, const MuxCellRow *row)
{
  char id[MUX_JOB_ID_LEN];
  uint32_t occurrence;
  uint32_t step;
  CellSplitRow split;
  CellJob *job;

  if (!parse_key (row->key, id, &occurrence, &step, &split))
    return false;
  job = cell_job_find (cell, id);
  if (job != NULL)
    take_row (cell, job, cell_job_stage (job, occurrence, step), split, row);
  return true;
}
