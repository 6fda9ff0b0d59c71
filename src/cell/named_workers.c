#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>

/*
 * Candidate workers of a job's steps, stored in the job's own row.
 *
 * A step starts only where a successor will look for it. A record made after
 * the policy service's reply is one more commit, which takes as long as the
 * one that accepted the job, and with a slow store urgent jobs would miss
 * their deadlines. So workers are named before the approval query; one that is
 * approved but not named is recorded first.
 *
 * Whoever reads the job reads its candidates. The planner that wrote them
 * stored the row on condition of the part's term, so that it is older than the
 * fence of a successor, which waits for the named workers as for those in the
 * progress. More workers are named than will be approved, and while one of
 * them has not answered the step waits: so workers are named early only where
 * commits take long.
 */

/* A step's first start waits for a commit that takes less. */
#define SLOW_COMMIT_MS 50
/* Candidates of a step; a wider step records further workers as they are
 * approved. */
#define CANDIDATES_PER_STEP_MAX 32

static bool
is_worth_naming (const MuxJobSpec *spec, const MuxStepSpec *step)
{
  return spec->queue.approval.required && spec->repetitions == 0 && !step->gang
         && !step->long_running;
}

/* Return: false if out of memory. */
static bool
name_candidates (MuxCell *cell, CellStage *stage, MuxStepSpec *step)
{
  CellWorker *worker[CELL_CANDIDATES_MAX];
  uint32_t count;

  count = step->after == 0 ? cell_candidates (cell, stage, worker)
                           : cell_candidates_ahead (cell, stage, worker);
  if (count > CANDIDATES_PER_STEP_MAX)
    count = CANDIDATES_PER_STEP_MAX;
  count = cell_traffic_names (cell, count, step->count);
  free (step->named);
  step->named_count = 0;
  step->named = calloc (count > 0 ? count : 1, sizeof *step->named);
  if (step->named == NULL)
    return false;
  for (uint32_t i = 0; i < count; i++)
    snprintf (step->named[i], MUX_NAME_LEN, "%s", worker[i]->info.id);
  step->named_count = count;
  return true;
}

/* Return: NULL: no worker is named, the row would be too large, or out of
 * memory. */
static MuxBlob *
row_of (MuxCell *cell, CellJob *draft)
{
  MuxJobSpec *spec = draft->spec;
  uint32_t named = 0;
  MuxBlob *row;

  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      if (!is_worth_naming (spec, &spec->step[i]))
        continue;
      if (!name_candidates (cell, draft->stage[i], &spec->step[i]))
        return NULL;
      named += spec->step[i].named_count;
    }
  row = named > 0 ? cell_blob_from_json (mux_job_to_json (spec)) : NULL;
  if (row == NULL || row->len <= CELL_JOB_ROW_BYTES_MAX)
    return row;
  mux_blob_unref (row);
  return NULL;
}

MuxBlob *
cell_row_with_candidates (MuxCell *cell, const MuxBlob *value)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };
  MuxBlob *row = NULL;
  MuxJobSpec *spec;
  CellJob *draft;
  json_t *json;

  if (cell->commit_took_ms < SLOW_COMMIT_MS)
    return NULL;
  json = cell_json_from_blob (value);
  spec = mux_job_from_json (json, &findings);
  json_decref (json);
  if (spec == NULL)
    return NULL;
  draft = cell_job_new (cell, spec);
  if (draft != NULL && draft->stage_count > 0)
    row = row_of (cell, draft);
  cell_job_delete (cell, draft);
  return row;
}
