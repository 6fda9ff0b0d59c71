#include "job_memory.h"

#include <stdio.h>
#include <string.h>

/* Rows of the table of jobs: jobs, their cancels, and the claim in part "". */

/* The key of a job's cancel is the job's id with this behind it. */
#define CANCEL_SUFFIX '!'

static void
job_row (MuxCell *cell, const MuxCellRow *row)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };
  json_t *json = cell_row_json (cell, row);
  MuxJobSpec *spec;
  CellJob *job;

  cell_job_row_restore (json);
  spec = json != NULL ? mux_job_from_json (json, &findings) : NULL;

  /* An unreadable job is not run, as its dependencies or its attempts may be
   * what is missing.  It is not removed either: a daemon that can read it
   * continues it, and its caller can cancel it. */
  if (json != NULL && spec == NULL)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD,
                         findings.count > 0 ? findings.item[0].text
                                            : "out of memory");
  json_decref (json);
  if (spec == NULL)
    {
      cell_unreadable_add (cell, row->key, true);
      return;
    }
  if (strcmp (spec->id, row->key) != 0)
    {
      cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, "id");
      cell_unreadable_add (cell, row->key, true);
      mux_job_free (spec);
      return;
    }
  if (cell_job_leave_out (cell, spec)
      || cell_unreadable_recover (cell, spec, row->version))
    return;
  job = cell_job_add (cell, spec, row->version);
  if (job == NULL)
    {
      cell_log (cell, "job_dropped", "{s:s, s:s}", "key", row->key, "why",
                "out of memory");
      cell_unreadable_add (cell, row->key, true);
    }
  else if (cell->role == CELL_PLANNING)
    cell_job_advance (cell, job);
}

void
cell_job_add_committed (MuxCell *cell, const MuxBlob *row, uint64_t version)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };
  json_t *json = cell_json_from_blob (row);
  MuxJobSpec *spec = mux_job_from_json (json, &findings);
  CellJob *job = NULL;

  if (spec != NULL
      && (cell_job_find (cell, spec->id) != NULL
          || cell_job_ended_recently (cell, spec->id)))
    mux_job_free (spec);
  else if (spec != NULL)
    job = cell_job_add (cell, spec, version);
  if (job != NULL)
    {
      job->origin = CELL_ORIGIN_COMMIT;
      cell_job_advance (cell, job);
    }
  json_decref (json);
}

static void
cancel_row (MuxCell *cell, const char *id)
{
  CellJob *job = cell_job_find (cell, id);

  if (job != NULL)
    cell_job_cancel (cell, job);
  else
    cell_unreadable_cancel (cell, id);
}

/*
 * Rejects rows that are not those of the job they seem to be.  A longer key,
 * cut to the length of an id, may be the id of another job; and the end of a
 * job in another part than its id's could not be stored, so that each planner
 * would run it again.
 */
static bool
is_in_place (const MuxCell *cell, const MuxCellRow *row, const char *id)
{
  return mux_job_id_valid (id)
         && strcmp (row->part, cell->part[cell_part_of (id)].name) == 0;
}

bool
cell_row_is_cancel (const MuxCellRow *row)
{
  size_t len = strlen (row->key);

  return len > 0 && row->key[len - 1] == CANCEL_SUFFIX;
}

/* The id in the key of a job's row, or of its cancel's. */
static void
row_job_id (const MuxCellRow *row, char id[MUX_ROW_NAME_LEN])
{
  size_t len = strlen (row->key);

  snprintf (id, MUX_ROW_NAME_LEN, "%.*s",
            (int) (cell_row_is_cancel (row) ? len - 1 : len), row->key);
}

/* Stops must not wait until the other rows of the reply have been read, which
 * takes 50 ms for a thousand jobs. A cancel of a job that is read only now
 * counts when its own row's turn comes, and a bad key is reported then. */
void
cell_cancels_apply (MuxCell *cell, const MuxCellReply *reply)
{
  char id[MUX_ROW_NAME_LEN];

  if (cell->role != CELL_PLANNING)
    return;
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      const MuxCellRow *row = &reply->row[i];

      if (!cell_row_is_cancel (row) || row->removed || row->part[0] == 0)
        continue;
      row_job_id (row, id);
      if (is_in_place (cell, row, id))
        cancel_row (cell, id);
    }
}

void
cell_jobs_row (MuxCell *cell, const MuxCellRow *row)
{
  char id[MUX_ROW_NAME_LEN];

  if (row->part[0] == 0)
    {
      cell_claim_row (cell, row);
      return;
    }
  if (row->removed)
    return;
  row_job_id (row, id);
  if (!is_in_place (cell, row, id))
    cell_report_bad_row (cell, row, CELL_ROW_BAD_KEY, "key");
  else if (cell_row_is_cancel (row))
    cancel_row (cell, id);
  else if (cell_job_find (cell, row->key) == NULL
           && !cell_job_ended_recently (cell, row->key))
    job_row (cell, row);
}
