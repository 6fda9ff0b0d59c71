#include "progress_split.h"

#include "base/blob.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* What is known of the rows of a split progress in the store: an entry of a
 * table for each row of a stage. */

static uint32_t
rows_of (const CellStage *stage)
{
  return cell_split_task_rows (stage->spec) + CELL_SPLIT_WORKER_ROWS;
}

static uint32_t
index_of (const CellStage *stage, CellSplitRow row)
{
  return row.kind == CELL_SPLIT_TASKS
             ? row.number
             : cell_split_task_rows (stage->spec) + row.number;
}

static CellSplitRow
row_at (const CellStage *stage, uint32_t index)
{
  uint32_t task_rows = cell_split_task_rows (stage->spec);

  return index < task_rows
             ? (CellSplitRow){ CELL_SPLIT_TASKS, index }
             : (CellSplitRow){ CELL_SPLIT_WORKERS, index - task_rows };
}

/* A row of another writer may have any number. */
static bool
has_row (const CellStage *stage, CellSplitRow row)
{
  return row.number < (row.kind == CELL_SPLIT_TASKS
                           ? cell_split_task_rows (stage->spec)
                           : CELL_SPLIT_WORKER_ROWS);
}

CellProgressRow *
cell_split_row_get (CellJob *job, CellStage *stage, CellSplitRow row)
{
  CellProgressRow *entry;

  if (stage->split_row == NULL)
    stage->split_row = calloc (rows_of (stage), sizeof *stage->split_row);
  if (stage->split_row == NULL)
    return NULL;
  entry = &stage->split_row[index_of (stage, row)];
  job->split.known += !entry->known;
  stage->split_known += !entry->known;
  entry->known = true;
  return entry;
}

static CellProgressRow *
stray_get (CellJob *job, const char *key)
{
  CellStrayRow *stray;

  HASH_FIND_STR (job->split.stray, key, stray);
  if (stray != NULL)
    return &stray->row;
  stray = calloc (1, sizeof *stray);
  if (stray == NULL)
    return NULL;
  snprintf (stray->key, sizeof stray->key, "%s", key);
  stray->row.known = true;
  HASH_ADD_STR (job->split.stray, key, stray);
  job->split.known++;
  return &stray->row;
}

void
cell_split_row_read (CellJob *job,
                     CellStage *stage,
                     CellSplitRow row,
                     const char *key,
                     const MuxBlob *value)
{
  CellProgressRow *entry = stage != NULL && has_row (stage, row)
                               ? cell_split_row_get (job, stage, row)
                               : stray_get (job, key);

  if (entry != NULL && value != NULL)
    entry->hash = XXH3_64bits (value->bytes, value->len);
}

void
cell_split_ref_key (const CellSplitRef *ref, char key[CELL_PROGRESS_KEY_LEN])
{
  if (ref->stage != NULL)
    cell_split_key (ref->stage, row_at (ref->stage, ref->index), key);
  else
    snprintf (key, CELL_PROGRESS_KEY_LEN, "%s", ref->stray->key);
}

void
cell_split_row_forget (CellJob *job, const CellSplitRef *ref)
{
  job->split.known--;
  if (ref->stage == NULL)
    {
      HASH_DEL (job->split.stray, ref->stray);
      free (ref->stray);
      return;
    }
  *ref->row = (CellProgressRow){ .known = false };
  if (--ref->stage->split_known > 0)
    return;
  free (ref->stage->split_row);
  ref->stage->split_row = NULL;
}

bool
cell_split_rows_visit (CellJob *job,
                       bool (*visit) (CellJob *job,
                                      const CellSplitRef *ref,
                                      void *context),
                       void *context)
{
  CellStrayRow *stray;
  CellStrayRow *next;

  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      CellStage *stage = job->stage[i];

      /* The last one that is forgotten takes the table with it. */
      for (uint32_t j = 0; stage->split_row != NULL && j < rows_of (stage); j++)
        if (stage->split_row[j].known
            && !visit (job,
                       &(CellSplitRef){ .stage = stage,
                                        .index = j,
                                        .row = &stage->split_row[j] },
                       context))
          return false;
    }
  HASH_ITER (hh, job->split.stray, stray, next)
  if (!visit (job, &(CellSplitRef){ .stray = stray, .row = &stray->row },
              context))
    return false;
  return true;
}

static bool
forget (CellJob *job, const CellSplitRef *ref, void *context)
{
  (void) context;
  cell_split_row_forget (job, ref);
  return true;
}

void
cell_progress_split_free (CellJob *job)
{
  (void) cell_split_rows_visit (job, forget, NULL);
}
