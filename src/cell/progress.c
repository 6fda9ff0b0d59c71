#include "attempts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Commits of the progress and the ends of the planner's jobs. */

/* Changes within this time share a commit, as the store charges for each: a
 * tenth of what an urgent job may wait in all. */
#define COMMIT_WINDOW_MS 30
/* After a commit that failed. */
#define RETRY_MS 100
/* Progress of a job that is larger takes several rows.  As the store counts it;
 * a quarter below the limit of a row. */
#define PROGRESS_ROW_BYTES_MAX 49152
/* Entries of one commit for jobs: an ended job takes four or five, beside the
 * two of the fence; two entries are left for unreadable jobs. */
#define JOB_CHANGES_MAX (CELL_COMMIT_CHANGES_MAX - CELL_UNREADABLE_ROWS_MAX)
#define CHANGES_PER_JOB 5
/* Of these, rows with a value. */
#define ROWS_PER_JOB ((size_t) 2)
#define JOB_BYTES_MAX \
  (CELL_COMMIT_BYTES_MAX - CELL_UNREADABLE_ROWS_MAX * CELL_ROW_SENT_BYTES_MAX)

uint64_t
cell_stored_seq (const MuxCell *cell)
{
  uint64_t min = cell->change_seq;

  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      const CellPart *part = &cell->part[i];

      if ((part->dirty != NULL || part->unreadable_dirty > 0
           || part->committing)
          && part->stored_seq < min)
        min = part->stored_seq;
    }
  return min;
}

/* Whether the commit left nothing of the job to be stored. */
static bool
is_clean (const CellJob *job)
{
  return job->whole_in_commit && !job->dirty_again
         && (job->ended || !job->split.begun
             || job->change_seq <= job->split.pass_seq);
}

static void
stages_stored (CellJob *job)
{
  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      cell_approvals_stored (job->stage[i]);
      job->stage[i]->losses_stored = job->stage[i]->losses_written;
    }
}

/* Called for each job of a commit that succeeded. */
static void
job_stored (MuxCell *cell, CellPart *part, CellJob *job)
{
  bool clean = is_clean (job);

  cell_progress_split_committed (job, true);
  job->marked_row_stored = job->marked_row_stored || job->marked_row_in_commit;
  job->marked_row_in_commit = false;
  job->in_commit = false;
  job->dirty_again = false;
  job->rejections = 0;
  job->progress_stored = true;
  DL_DELETE2 (part->dirty, job, dirty_prev, dirty_next);
  if (job->whole_in_commit)
    {
      job->unreadable_ends_stored = false;
      stages_stored (job);
      cell->replan = true;
    }
  if (!clean)
    {
      DL_APPEND2 (part->dirty, job, dirty_prev, dirty_next);
      return;
    }
  job->dirty = false;
  /* Other members of a gang may still be stopping: the job is kept until their
   * room is free. */
  job->end_stored = job->ended;
  if (job->end_stored)
    cell_job_watch (cell, job);
}

static void
mark_stored (MuxCell *cell, CellPart *part)
{
  CellJob *job;
  CellJob *next;

  DL_FOREACH_SAFE2 (part->dirty, job, next, dirty_next)
  if (job->in_commit)
    job_stored (cell, part, job);
}

static void
mark_not_stored (MuxCell *cell, CellPart *part)
{
  CellJob *job;

  cell_unreadable_committed (cell, part, false);
  for (job = part->dirty; job != NULL; job = job->dirty_next)
    {
      if (job->in_commit)
        cell_progress_split_committed (job, false);
      job->marked_row_in_commit = false;
      job->in_commit = false;
      job->dirty_again = false;
    }
}

/*
 * Changes count as stored once their commit is answered.  Each commit also
 * renews the fence row, so that one that is carried out late, after a newer
 * one, fails on its condition and does not bring old progress back.  A commit
 * that succeeds does not confirm the claim: a successor may have claimed and
 * not have fenced this part yet, and its wait for the end of this planner's
 * orders has begun.
 */
static void
commit_done (MuxCell *cell,
             const CellPending *pending,
             const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];

  part->committing = false;
  cell->commit_took_ms = cell->time.now_ms - part->commit_sent_ms;
  if (reply->status == MUX_CELL_OK)
    {
      part->fence_version = reply->version;
      part->stored_seq = pending->context;
      mark_stored (cell, part);
      cell_unreadable_committed (cell, part, true);
      cell_commit_accepted (cell, part);
      part->dirty_since_ms = cell->time.now_ms;
      return;
    }
  part->next_commit_ms = cell->time.now_ms + RETRY_MS;
  if (reply->status == MUX_CELL_BAD_REQUEST)
    cell_commit_rejected (cell, part, reply);
  mark_not_stored (cell, part);
  if (reply->status == MUX_CELL_UNKNOWN || reply->status == MUX_CELL_CONFLICT)
    part->fence_version_unknown = true;
  if (reply->status == MUX_CELL_CONFLICT)
    part->next_commit_ms = cell->time.now_ms;
}

static json_t *
end_json (const MuxCell *cell, const CellJob *job)
{
  const char *workspace = job->spec->workspace;
  json_t *json
      = json_pack ("{s:s, s:I}", "state", mux_job_state_name (job->end_state),
                   "ended_ms", (json_int_t) cell->time.wall_ms);

  if (workspace[0] != 0)
    (void) json_object_set_new (json, "workspace", json_string (workspace));
  return json;
}

/* Return: whether all of the job's end is in the commit. */
static bool
add_end (MuxCell *cell, MuxCellCall *call, CellJob *job)
{
  char cancel[MUX_ROW_NAME_LEN];

  if (!cell_progress_split_add_removals (call, job)
      || call->change_count + CHANGES_PER_JOB > JOB_CHANGES_MAX)
    return false;
  if (job->unreadable_ends_stored)
    cell_unreadable_remove_row (call, job);
  cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_JOBS, job->id);
  /* Even if no cancel is known: one may have just been stored. */
  snprintf (cancel, sizeof cancel, "%s!", job->id);
  cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_JOBS, cancel);
  if (job->progress_stored)
    cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_PROGRESS, job->id);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_ENDED, job->id)->value
      = cell_blob_from_json (end_json (cell, job));
  return true;
}

/* Return: false: it does not fit into a row, and is not added. */
static bool
add_progress_row (MuxCell *cell, MuxCellCall *call, CellJob *job)
{
  MuxBlob *value = cell_blob_from_json (cell_progress_json (cell, job));

  if (value != NULL && value->len > PROGRESS_ROW_BYTES_MAX)
    {
      mux_blob_unref (value);
      return false;
    }
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_PROGRESS, job->id)
      ->value
      = value;
  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      cell_approvals_in_commit (job->stage[i]);
      job->stage[i]->losses_written = job->stage[i]->loss_changes;
    }
  return true;
}

static bool
add_progress (MuxCell *cell, MuxCellCall *call, CellJob *job)
{
  bool whole = true;

  if (!cell_job_row_mark (call, job))
    return false;
  if (!job->split.begun && !add_progress_row (cell, call, job))
    cell_progress_split_begin (cell, job);
  if (job->split.begun)
    whole = cell_progress_split_add (cell, call, job);
  if (whole && job->unreadable_ends_stored)
    cell_unreadable_remove_row (call, job);
  return whole;
}

/* Return: the changes up to this number of the job are stored by the commit. */
static uint64_t
add_job (MuxCell *cell, CellPart *part, MuxCellCall *call, CellJob *job)
{
  job->in_commit = true;
  part->commit_items++;
  job->whole_in_commit
      = job->ended ? add_end (cell, call, job) : add_progress (cell, call, job);
  if (!job->whole_in_commit)
    return part->stored_seq;
  return job->split.begun && !job->ended ? job->split.pass_seq
                                         : cell->change_seq;
}

/* Whether the job's changes may be part of a commit with @jobs jobs before it.
 * A job whose changes were rejected is committed alone. */
static bool
fits (const MuxCellCall *call, uint32_t jobs, const CellJob *job)
{
  return call->change_count + CHANGES_PER_JOB <= JOB_CHANGES_MAX
         && (jobs == 0 || job->rejections == 0)
         && cell_commit_bytes (call) + ROWS_PER_JOB * CELL_ROW_SENT_BYTES_MAX
                <= JOB_BYTES_MAX;
}

/* Return: changes of the part's jobs up to this number are stored by the
 * commit. */
static uint64_t
add_jobs (MuxCell *cell, CellPart *part, MuxCellCall *call)
{
  uint32_t max = cell_commit_items_max (part);
  uint64_t stored_seq = cell->change_seq;
  CellJob *job;

  DL_FOREACH2 (part->dirty, job, dirty_next)
  {
    uint64_t job_seq = part->stored_seq;
    bool is_held
        = !job->ended
          && (job->not_storable || cell_attempts_exceed_row (cell, job));

    if (!is_held
        && (part->commit_items >= max || !fits (call, part->commit_items, job)))
      return part->stored_seq;
    if (!is_held)
      job_seq = add_job (cell, part, call, job);
    if (job_seq < stored_seq)
      stored_seq = job_seq;
    if (job->in_commit && job->rejections > 0)
      return job->dirty_next == NULL ? stored_seq : part->stored_seq;
  }
  return stored_seq;
}

/* While commits are narrowed down the rows wait for the jobs. */
static bool
add_unreadable_rows (MuxCell *cell, CellPart *part, MuxCellCall *call)
{
  if (part->unreadable_dirty == 0)
    return true;
  if (part->commit_probe
      || (part->commit_narrowed > 0 && part->commit_items > 0))
    return false;
  return cell_unreadable_add_rows (cell, part, call, &part->commit_items);
}

static void
commit (MuxCell *cell, CellPart *part)
{
  MuxCellCall *call = cell_commit_call (part->name, CELL_COMMIT_CHANGES_MAX);
  CellPending pending = { .on_reply = commit_done,
                          .term = cell->term,
                          .part = (uint32_t) (part - cell->part) };

  if (call == NULL)
    return;
  part->commit_now = false;
  part->commit_sent_ms = cell->time.now_ms;
  cell_fence_add (cell, part, call);
  part->commit_items = 0;
  pending.context = add_jobs (cell, part, call);
  if (!add_unreadable_rows (cell, part, call))
    pending.context = part->stored_seq;
  if (part->commit_items > 0 || part->commit_probe)
    part->committing = cell_call (cell, call, &pending);
  else
    mux_cell_call_free (call);
  if (part->committing)
    return;
  mark_not_stored (cell, part);
  part->next_commit_ms = cell->time.now_ms + RETRY_MS;
}

static void
part_tick (MuxCell *cell, CellPart *part)
{
  int64_t now = cell->time.now_ms;

  if ((part->dirty == NULL && part->unreadable_dirty == 0) || part->committing
      || now < part->next_commit_ms
      || (now - part->dirty_since_ms < COMMIT_WINDOW_MS && !part->commit_now))
    return;
  if (part->fence_version_unknown)
    {
      if (!part->reading_fence)
        cell_fence_read (cell, part);
      return;
    }
  commit (cell, part);
}

void
cell_progress_tick (MuxCell *cell)
{
  for (uint32_t i = 0; i < CELL_PARTS && cell->role == CELL_PLANNING; i++)
    part_tick (cell, &cell->part[i]);
}
