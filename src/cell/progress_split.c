#include "progress_split.h"

#include "base/blob.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Progress of a job that does not fit into one row.
 *
 * Each row holds what is known of a few tasks of a stage, or of some of the
 * workers that it may run on, and is written when that has changed.  Rows are
 * independent of each other, so that the changes of one job may take several
 * commits.
 */

/* Position of a row in the order in which a pass writes them. */
#define ROWS_PER_STAGE_BITS 16
#define POSITION(stage, row) ((uint64_t) (stage) << ROWS_PER_STAGE_BITS | (row))
#define POSITION_REMOVALS (UINT64_MAX - 1)
#define POSITION_END UINT64_MAX
/* Entries kept free in a commit for the two rows that end the first pass, and
 * those that end a job. */
#define ENTRIES_RESERVED 7
#define BYTES_RESERVED ((size_t) 3 * CELL_ROW_SENT_BYTES_MAX)

static bool
has_room (const MuxCellCall *call)
{
  return call->change_count + ENTRIES_RESERVED <= CELL_COMMIT_CHANGES_MAX
         && cell_commit_bytes (call) + BYTES_RESERVED <= CELL_COMMIT_BYTES_MAX;
}

CellProgressRow *
cell_split_row_add (CellJob *job, const char *key)
{
  CellProgressRow *row;

  HASH_FIND_STR (job->split.row, key, row);
  if (row != NULL)
    return row;
  row = calloc (1, sizeof *row);
  if (row == NULL)
    return NULL;
  snprintf (row->key, sizeof row->key, "%s", key);
  HASH_ADD_STR (job->split.row, key, row);
  return row;
}

void
cell_split_row_read (CellJob *job, const char *key, const MuxBlob *value)
{
  CellProgressRow *row = cell_split_row_add (job, key);

  if (row != NULL && value != NULL)
    row->hash = XXH3_64bits (value->bytes, value->len);
}

void
cell_progress_split_begin (MuxCell *cell, CellJob *job)
{
  job->split.begun = true;
  cell_log (cell, "progress_split", "{s:s, s:i}", "job", job->id, "stages",
            (int) job->stage_count);
}

/* Adds the row to the commit if it differs from the stored one; takes @json.
 * Return: false if out of memory. */
static bool
write_row (MuxCellCall *call, CellJob *job, const char *key, json_t *json)
{
  MuxBlob *value = cell_blob_from_json (json);
  CellProgressRow *row = cell_split_row_add (job, key);
  uint64_t hash;

  if (row == NULL || value == NULL)
    {
      mux_blob_unref (value);
      return false;
    }
  row->pass = job->split.pass;
  hash = XXH3_64bits (value->bytes, value->len);
  if (row->hash == hash)
    {
      mux_blob_unref (value);
      return true;
    }
  row->in_commit = true;
  row->sent_hash = hash;
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_PROGRESS, key)->value
      = value;
  return true;
}

static void
remove_row (MuxCellCall *call, CellProgressRow *row)
{
  row->in_commit = true;
  row->sent_hash = 0;
  cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_PROGRESS, row->key);
}

/* Return: false: the commit is full; the pass goes on at @position. */
static bool
write_stage_row (MuxCellCall *call,
                 CellJob *job,
                 const CellStage *stage,
                 CellSplitRow row,
                 json_t *json)
{
  char key[CELL_PROGRESS_KEY_LEN];

  if (json == NULL)
    return true;
  if (!has_room (call))
    {
      json_decref (json);
      return false;
    }
  cell_split_key (stage, row, key);
  return write_row (call, job, key, json);
}

/* Return: the number of rows written, or without content, from the stage's row
 * number @from on. */
static uint32_t
write_tasks (MuxCellCall *call,
             CellJob *job,
             const CellStage *stage,
             uint32_t from)
{
  uint32_t rows = cell_split_task_rows (stage->spec);

  for (uint32_t i = from; i < rows; i++)
    if (!write_stage_row (call, job, stage,
                          (CellSplitRow){ CELL_SPLIT_TASKS, i },
                          cell_split_tasks_json (stage, i)))
      return i;
  return rows;
}

/* As write_tasks(), for the rows behind those of the tasks. */
static uint32_t
write_workers (MuxCell *cell,
               MuxCellCall *call,
               CellJob *job,
               const CellStage *stage,
               uint32_t from)
{
  json_t *json[CELL_SPLIT_WORKER_ROWS];
  uint32_t next = CELL_SPLIT_WORKER_ROWS;

  cell_split_workers_json (cell, stage, json);
  for (uint32_t i = 0; i < CELL_SPLIT_WORKER_ROWS; i++)
    {
      if (i < from || next < CELL_SPLIT_WORKER_ROWS)
        json_decref (json[i]);
      else if (!write_stage_row (call, job, stage,
                                 (CellSplitRow){ CELL_SPLIT_WORKERS, i },
                                 json[i]))
        next = i;
    }
  return next;
}

/* Return: position of the first row that did not fit; that of the next stage if
 * all did. */
static uint64_t
write_stage (MuxCell *cell,
             MuxCellCall *call,
             CellJob *job,
             uint32_t at,
             uint32_t from)
{
  const CellStage *stage = job->stage[at];
  uint32_t task_rows = cell_split_task_rows (stage->spec);
  uint32_t next;

  /* That it is done is stored under the job's id. */
  if (stage->tasks_left == 0)
    return POSITION (at + 1, 0);
  if (from < task_rows)
    {
      from = write_tasks (call, job, stage, from);
      if (from < task_rows)
        return POSITION (at, from);
    }
  next = write_workers (cell, call, job, stage, from - task_rows);
  return next < CELL_SPLIT_WORKER_ROWS ? POSITION (at, task_rows + next)
                                       : POSITION (at + 1, 0);
}

/* Rows with nothing to store any more, as their stage is done. */
static bool
add_old_removals (MuxCellCall *call, CellJob *job)
{
  CellProgressRow *row;
  CellProgressRow *next;

  HASH_ITER (hh, job->split.row, row, next)
  {
    if (row->pass == job->split.pass || row->in_commit)
      continue;
    if (!has_room (call))
      return false;
    remove_row (call, row);
  }
  return true;
}

static void
begin_pass (MuxCell *cell, CellJob *job)
{
  CellProgressSplit *split = &job->split;

  split->in_pass = true;
  split->pass++;
  split->pass_seq = cell->change_seq;
  split->pass_at = 0;
  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      cell_approvals_in_commit (job->stage[i]);
      job->stage[i]->losses_written = job->stage[i]->loss_changes;
    }
}

/* Return: position of the first row that did not fit. */
static uint64_t
write_rows (MuxCell *cell, MuxCellCall *call, CellJob *job)
{
  uint64_t position = job->split.pass_at;

  while (position >> ROWS_PER_STAGE_BITS < job->stage_count)
    {
      uint32_t at = (uint32_t) (position >> ROWS_PER_STAGE_BITS);
      uint64_t next = write_stage (cell, call, job, at,
                                   (uint32_t) (position & UINT16_MAX));

      if (next >> ROWS_PER_STAGE_BITS == at)
        return next;
      position = next;
    }
  return add_old_removals (call, job) ? POSITION_END : POSITION_REMOVALS;
}

/* The row under the job's id makes a reader use the other ones.  The job's own
 * row is written with it, in a form that an earlier version takes as
 * unreadable: such a planner keeps the ends of its runs, and starts none. */
static bool
write_first_head (MuxCellCall *call, CellJob *job)
{
  MuxBlob *value = cell_blob_from_json (cell_split_job_json (job));

  if (value == NULL)
    return false;
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_JOBS, job->id)->value
      = value;
  job->split.may_be_stored = true;
  return write_row (call, job, job->id, cell_split_head_json (job));
}

bool
cell_progress_split_add (MuxCell *cell, MuxCellCall *call, CellJob *job)
{
  CellProgressSplit *split = &job->split;

  if (!split->in_pass)
    begin_pass (cell, job);
  split->sent_at = split->pass_at;
  if (!has_room (call))
    return false;
  /* Before the removal of rows of stages that are done. */
  if (split->stored
      && !write_row (call, job, job->id, cell_split_head_json (job)))
    return false;
  split->sent_at = write_rows (cell, call, job);
  if (split->sent_at == POSITION_END && !split->stored
      && !write_first_head (call, job))
    split->sent_at = POSITION_REMOVALS;
  return split->sent_at == POSITION_END;
}

/* Whether removals of all rows fit into the commit. */
static bool
has_room_for_removals (const MuxCellCall *call, const CellJob *job)
{
  return call->change_count + HASH_COUNT (job->split.row) + ENTRIES_RESERVED
         <= CELL_COMMIT_CHANGES_MAX;
}

bool
cell_progress_split_add_removals (MuxCellCall *call, CellJob *job)
{
  bool all = has_room_for_removals (call, job);
  CellProgressRow *row;
  CellProgressRow *next;

  /* It says how the job ends, which the rows that are left do not. */
  if (!all && job->split.may_be_stored
      && (!has_room (call)
          || !write_row (call, job, job->id, cell_split_head_json (job))))
    return false;
  HASH_ITER (hh, job->split.row, row, next)
  {
    if (strcmp (row->key, job->id) == 0)
      continue;
    if (!all && !has_room (call))
      return false;
    remove_row (call, row);
  }
  return all;
}

static void
row_committed (CellJob *job, CellProgressRow *row, bool stored)
{
  row->in_commit = false;
  row->hash = stored ? row->sent_hash : 0;
  if (!stored || row->sent_hash != 0)
    return;
  HASH_DEL (job->split.row, row);
  free (row);
}

void
cell_progress_split_committed (CellJob *job, bool stored)
{
  CellProgressSplit *split = &job->split;
  CellProgressRow *row;
  CellProgressRow *next;

  HASH_ITER (hh, split->row, row, next)
  if (row->in_commit)
    row_committed (job, row, stored);
  if (!stored || !split->in_pass || job->ended)
    return;
  split->pass_at = split->sent_at;
  split->in_pass = split->sent_at != POSITION_END;
  split->stored = split->stored || !split->in_pass;
}

void
cell_progress_split_free (CellJob *job)
{
  CellProgressRow *row;
  CellProgressRow *next;

  HASH_ITER (hh, job->split.row, row, next)
  {
    HASH_DEL (job->split.row, row);
    free (row);
  }
}
