#include "progress_fields.h"
#include "stage_tasks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The stored form of a job's progress: done tasks, failed and lost runs,
 * checkpoints, and the workers where tasks may run. */

static CellTaskRange
all_tasks (const MuxStepSpec *step)
{
  return (CellTaskRange){ .first = 0, .count = step->count };
}

static json_t *
stage_json (MuxCell *cell, const CellStage *stage)
{
  CellTaskRange all = all_tasks (stage->spec);
  json_t *json;
  json_t *workers;

  cell_approvals_json (cell, stage, &workers, 1);
  json = json_pack ("{s:i, s:i, s:o, s:o, s:o, s:o, s:o, s:o, s:o}",
                    "occurrence", (int) stage->occurrence, "step",
                    (int) stage->step, "done", cell_done_json (stage, all),
                    "gang_failures", cell_gang_failures_json (stage),
                    "failures", cell_failures_json (stage, all), "saved",
                    cell_checkpoints_json (stage, all, false), "saved_whole",
                    cell_checkpoints_json (stage, all, true), "lost",
                    cell_losses_json (stage, all.first, all.count), "workers",
                    workers);
  cell_add_list (json, "gang_failure_count",
                 cell_gang_failure_count_json (stage));
  cell_add_list (json, "failure_counts", cell_failure_counts_json (stage, all));
  return json;
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
  uint32_t first = job->first_occurrence;
  uint32_t done = leading_done_stages (job);

  for (uint32_t i = done; i < job->stage_count; i++)
    (void) json_array_append_new (stages, stage_json (cell, job->stage[i]));
  return json_pack ("{s:b, s:i, s:i, s:o}", "started", (int) job->started,
                    "occurrences", (int) (first + job->stage_count / steps),
                    "done", (int) (first + done / steps), "stages", stages);
}

static void
apply_stage (MuxCell *cell, CellJob *job, const json_t *json)
{
  json_t *occurrence = json_object_get (json, "occurrence");
  json_t *step = json_object_get (json, "step");
  CellStage *stage
      = cell_job_stage (job, (uint32_t) json_integer_value (occurrence),
                        (uint32_t) json_integer_value (step));

  if (stage == NULL)
    return;
  cell_done_apply (cell, stage, all_tasks (stage->spec),
                   json_object_get (json, "done"));
  cell_gang_failures_apply (cell, stage, json);
  cell_approvals_apply (stage, json_object_get (json, "workers"));
  cell_failures_apply (cell, stage, json);
  cell_checkpoints_apply (cell, stage, json_object_get (json, "saved"), false);
  cell_checkpoints_apply (cell, stage, json_object_get (json, "saved_whole"),
                          true);
  cell_losses_apply (cell, stage, json_object_get (json, "lost"));
}

/* @at: index of the stage; stages are stored in order.
 * Return: name of the first bad field; NULL: none. */
static const char *
bad_field_in_stage (const CellJob *job, size_t at, const json_t *json)
{
  json_int_t occurrence = (json_int_t) at / job->spec->step_count;
  json_int_t step = (json_int_t) at % job->spec->step_count;
  CellTaskRange all = all_tasks (&job->spec->step[step]);
  const json_t *whole = json_object_get (json, "saved_whole");
  const char *bad_failures = cell_failures_bad_field (json, all);

  if (!cell_integer_in_range (json_object_get (json, "occurrence"), occurrence,
                              occurrence))
    return "occurrence";
  if (!cell_integer_in_range (json_object_get (json, "step"), step, step))
    return "step";
  if (!cell_done_valid (json_object_get (json, "done"), all))
    return "done";
  if (!json_is_array (json_object_get (json, "gang_failures")))
    return "gang_failures";
  if (!json_is_array (json_object_get (json, "failures")))
    return "failures";
  if (bad_failures != NULL)
    return bad_failures;
  if (!cell_pairs_valid (json_object_get (json, "saved"), all, JSON_STRING))
    return "saved";
  if (whole != NULL && !cell_pairs_valid (whole, all, JSON_STRING))
    return "saved_whole";
  if (!cell_losses_valid (json_object_get (json, "lost"), all.first, all.count))
    return "lost";
  return cell_workers_valid (json_object_get (json, "workers")) ? NULL
                                                                : "workers";
}

/* Number of occurrences that are stored as a number alone; 0 in rows of an
 * earlier version, which lack the field. */
static uint32_t
stored_done_occurrences (const json_t *json)
{
  return (uint32_t) json_integer_value (json_object_get (json, "done"));
}

static void
apply_done (MuxCell *cell, CellJob *job, uint32_t occurrences)
{
  for (uint32_t i = job->first_occurrence; i < occurrences; i++)
    for (uint32_t j = 0; j < job->spec->step_count; j++)
      if (cell_job_stage (job, i, j) != NULL)
        cell_tasks_done (cell, cell_job_stage (job, i, j));
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
  uint64_t first
      = (uint64_t) stored_done_occurrences (json) * job->spec->step_count;
  json_t *stage;
  size_t i;

  if (!json_is_boolean (json_object_get (json, "started")))
    return "started";
  if (!cell_integer_in_range (occurrences, min,
                              cell_occurrences_due (cell, job)))
    return "occurrences";
  if (done != NULL
      && !cell_integer_in_range (done, 0, json_integer_value (occurrences)))
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
  const char *bad_field;
  json_t *stages = json_object_get (json, "stages");
  json_t *stage;
  size_t i;

  if (cell_progress_is_split (json))
    return cell_split_head_apply (cell, job, json);
  bad_field = bad_field_in_progress (cell, job, json);
  if (bad_field != NULL)
    return bad_field;
  job->started = json_is_true (json_object_get (json, "started"));
  cell_occurrences_skip (job, stored_done_occurrences (json));
  cell_occurrences_restore (
      cell, job,
      (uint32_t) json_integer_value (json_object_get (json, "occurrences")));
  apply_done (cell, job, stored_done_occurrences (json));
  json_array_foreach (stages, i, stage) apply_stage (cell, job, stage);
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
  if (cell_progress_is_split (json))
    cell_split_head_read (job, row->value);
  if (json != NULL)
    bad_field = cell_progress_apply (cell, job, json);
  if (bad_field != NULL)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, bad_field);
  job->progress_unreadable = json == NULL || bad_field != NULL;
  cell_queue_count_update (cell, job);
  json_decref (json);
}
