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

void
cell_progress_split_begin (MuxCell *cell, CellJob *job)
{
  job->split.begun = true;
  cell_log (cell, "progress_split", "{s:s, s:i}", "job", job->id, "stages",
            (int) job->stage_count);
}

/* Adds the row to the commit if it differs from the stored one; takes @json.
 * @row: NULL: out of memory
 * Return: false if out of memory. */
static bool
write_row (MuxCellCall *call,
           const CellJob *job,
           CellProgressRow *row,
           const char *key,
           json_t *json)
{
  MuxBlob *value = cell_blob_from_json (json);
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

static bool
write_head (MuxCellCall *call, CellJob *job)
{
  return write_row (call, job, &job->split.head, job->id,
                    cell_split_head_json (job));
}

static void
remove_row (MuxCellCall *call, const CellSplitRef *ref)
{
  char key[CELL_PROGRESS_KEY_LEN];

  cell_split_ref_key (ref, key);
  ref->row->in_commit = true;
  ref->row->sent_hash = 0;
  cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_PROGRESS, key);
}

/* Return: false: the commit is full; the pass goes on at @position. */
static bool
write_stage_row (MuxCellCall *call,
                 CellJob *job,
                 CellStage *stage,
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
  return write_row (call, job, cell_split_row_get (job, stage, row), key, json);
}

/* Return: the number of rows written, or without content, from the stage's row
 * number @from on. */
static uint32_t
write_tasks (MuxCellCall *call, CellJob *job, CellStage *stage, uint32_t from)
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
               CellStage *stage,
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
  CellStage *stage = job->stage[at];
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

static bool
remove_if_old (CellJob *job, const CellSplitRef *ref, void *call)
{
  if (ref->row->pass == job->split.pass || ref->row->in_commit)
    return true;
  if (!has_room (call))
    return false;
  remove_row (call, ref);
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
  /* Rows with nothing to store any more, as their stage is done. */
  return cell_split_rows_visit (job, remove_if_old, call) ? POSITION_END
                                                          : POSITION_REMOVALS;
}

/* The row under the job's id makes a reader use the other ones.  The job's own
 * row is written with it, in a form that an earlier version takes as
 * unreadable: such a planner keeps the ends of its runs, and starts none. */
static bool
write_first_head (MuxCellCall *call, CellJob *job)
{
  if (!job->marked_row_in_commit && !cell_job_row_add (call, job))
    return false;
  job->split.may_be_stored = true;
  return write_head (call, job);
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
  if (split->stored && !write_head (call, job))
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
  return call->change_count + job->split.known + ENTRIES_RESERVED
         <= CELL_COMMIT_CHANGES_MAX;
}

/* The removals of a job that has ended: all of them, or as many as fit. */
typedef struct
{
  MuxCellCall *call;
  bool all;
} Removals;

static bool
remove_any (CellJob *job, const CellSplitRef *ref, void *context)
{
  Removals *removals = context;

  (void) job;
  if (!removals->all && !has_room (removals->call))
    return false;
  remove_row (removals->call, ref);
  return true;
}

bool
cell_progress_split_add_removals (MuxCellCall *call, CellJob *job)
{
  Removals removals = { call, has_room_for_removals (call, job) };

  /* It says how the job ends, which the rows that are left do not. */
  if (!removals.all && job->split.may_be_stored
      && (!has_room (call) || !write_head (call, job)))
    return false;
  (void) cell_split_rows_visit (job, remove_any, &removals);
  return removals.all;
}

/* Return: whether the row is gone from the store. */
static bool
end_commit (CellProgressRow *row, bool stored)
{
  row->in_commit = false;
  row->hash = stored ? row->sent_hash : 0;
  return stored && row->sent_hash == 0;
}

static bool
row_committed (CellJob *job, const CellSplitRef *ref, void *stored)
{
  if (ref->row->in_commit && end_commit (ref->row, *(bool *) stored))
    cell_split_row_forget (job, ref);
  return true;
}

void
cell_progress_split_committed (CellJob *job, bool stored)
{
  CellProgressSplit *split = &job->split;

  if (split->head.in_commit)
    (void) end_commit (&split->head, stored);
  (void) cell_split_rows_visit (job, row_committed, &stored);
  if (!stored || !split->in_pass || job->ended)
    return;
  split->pass_at = split->sent_at;
  split->in_pass = split->sent_at != POSITION_END;
  split->stored = split->stored || !split->in_pass;
}
