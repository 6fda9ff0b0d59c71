#include "cell_private.h"

/* A job's own row, where an earlier version is not to run the job: its field
 * "steps" has another name, so that such a version takes the row as unreadable.
 */

/* What an earlier version can't read of the job's progress. */
enum
{
  STEPS_SPLIT,  /* that it is in several rows */
  STEPS_COUNTS, /* and counts of failed runs */
};

static const char *const steps_field[]
    = { [STEPS_SPLIT] = "split_steps", [STEPS_COUNTS] = "attempts_steps" };

static json_t *
job_json (const CellJob *job)
{
  json_t *json = mux_job_to_json (job->spec);
  const char *field
      = steps_field[job->stores_counts ? STEPS_COUNTS : STEPS_SPLIT];

  if (json_object_set (json, field, json_object_get (json, "steps")) != 0
      || json_object_del (json, "steps") != 0)
    {
      json_decref (json);
      return NULL;
    }
  return json;
}

bool
cell_job_row_add (MuxCellCall *call, const CellJob *job)
{
  MuxBlob *value = cell_blob_from_json (job_json (job));

  if (value == NULL)
    return false;
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_JOBS, job->id)->value
      = value;
  return true;
}

bool
cell_job_row_mark (MuxCellCall *call, CellJob *job)
{
  if (!job->stores_counts || job->marked_row_stored)
    return true;
  job->marked_row_in_commit = cell_job_row_add (call, job);
  return job->marked_row_in_commit;
}

void
cell_job_row_restore (json_t *json)
{
  for (size_t i = 0; i < sizeof steps_field / sizeof steps_field[0]; i++)
    {
      json_t *steps = json_object_get (json, steps_field[i]);

      if (steps == NULL || json_object_get (json, "steps") != NULL)
        continue;
      (void) json_object_set (json, "steps", steps);
      (void) json_object_del (json, steps_field[i]);
    }
}
