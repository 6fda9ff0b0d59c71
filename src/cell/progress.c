#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What changed of the planner's jobs goes into the store. */

/* Ends are stored in groups: those that come within this time share a commit,
 * which is paid for.  A tenth of what an urgent job may wait in all. */
#define WINDOW_MS 30
#define RETRY_MS 100
/* Most jobs of one commit, and entries that it holds: an ended job takes four,
 * or five, beside the two of the fence; two are left for ends of jobs that
 * can't be read. */
#define ENDS_MAX 24
#define CHANGES_MAX (CELL_COMMIT_CHANGES_MAX - CELL_UNREADABLE_ROWS_MAX)
#define CHANGES_PER_JOB 5

uint64_t
cell_stored_seq (const MuxCell *cell)
{
  uint64_t least = cell->change_seq;

  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      const CellPart *part = &cell->part[i];

      if ((part->dirty != NULL || part->unreadable_dirty > 0
           || part->committing)
          && part->stored_seq < least)
        least = part->stored_seq;
    }
  return least;
}

static void
take_stored (MuxCell *cell, CellPart *part)
{
  CellJob *job;
  CellJob *next;

  for (job = part->dirty; job != NULL; job = next)
    {
      next = job->dirty_next;
      if (!job->in_commit)
        continue;
      job->in_commit = false;
      job->progress_stored = true;
      job->unreadable_ends_stored = false;
      if (job->dirty_again)
        {
          job->dirty_again = false;
          continue;
        }
      DL_DELETE2 (part->dirty, job, dirty_prev, dirty_next);
      job->dirty = false;
      /* A gang's other members may still be on their way out: the job stays
       * until their room is free. */
      job->end_stored = job->ended;
      if (job->end_stored)
        cell_job_watch (cell, job);
      for (uint32_t i = 0; i < job->stage_count; i++)
        {
          cell_approvals_stored (job->stage[i]);
          job->stage[i]->losses_stored = job->stage[i]->losses_written;
        }
      cell->replan = true;
    }
}

static void
put_back (MuxCell *cell, CellPart *part)
{
  CellJob *job;

  cell_unreadable_committed (cell, part, false);
  for (job = part->dirty; job != NULL; job = job->dirty_next)
    {
      job->in_commit = false;
      job->dirty_again = false;
    }
}

/*
 * What a commit wrote is stored only when it was answered.  Each commit also
 * renews the fence row, so that one that is carried out late, after a newer
 * one, finds its condition broken and can't bring old progress back.  It proves
 * the part's fence, not the claim: a successor may have claimed and not fenced
 * this part yet, and already counts the time after which we order nothing.
 */
static void
committed (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];

  part->committing = false;
  cell->commit_took_ms = cell->time.now_ms - part->commit_sent_ms;
  if (reply->status == MUX_CELL_OK)
    {
      part->fence_version = reply->version;
      part->stored_seq = pending->context;
      take_stored (cell, part);
      cell_unreadable_committed (cell, part, true);
      part->dirty_since_ms = cell->time.now_ms;
      return;
    }
  put_back (cell, part);
  part->next_commit_ms = cell->time.now_ms + RETRY_MS;
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

static void
add_job (MuxCell *cell, MuxCellCall *call, CellJob *job)
{
  char cancel[MUX_ROW_NAME_LEN];

  job->in_commit = true;
  if (job->unreadable_ends_stored)
    cell_unreadable_remove_row (call, job);
  if (!job->ended)
    {
      cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_PROGRESS, job->id)
          ->value
          = cell_blob_from_json (cell_progress_json (cell, job));
      for (uint32_t i = 0; i < job->stage_count; i++)
        {
          cell_approvals_in_commit (job->stage[i]);
          job->stage[i]->losses_written = job->stage[i]->loss_changes;
        }
      return;
    }
  cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_JOBS, job->id);
  /* Also where no cancel is known: one may have been stored just now. */
  snprintf (cancel, sizeof cancel, "%s!", job->id);
  cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_JOBS, cancel);
  if (job->progress_stored)
    cell_call_add_change (call, MUX_CHANGE_REMOVE, MUX_TABLE_PROGRESS, job->id);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_ENDED, job->id)->value
      = cell_blob_from_json (end_json (cell, job));
}

static void
commit (MuxCell *cell, CellPart *part)
{
  MuxCellCall *call = cell_commit_call (part->name, CELL_COMMIT_CHANGES_MAX);
  CellPending pending = { .on_reply = committed,
                          .term = cell->term,
                          .part = (uint32_t) (part - cell->part),
                          .context = cell->change_seq };
  uint32_t jobs = 0;
  bool whole;
  CellJob *job;

  if (call == NULL)
    return;
  part->commit_now = false;
  part->commit_sent_ms = cell->time.now_ms;
  cell_fence_add (cell, part, call);
  for (job = part->dirty; job != NULL; job = job->dirty_next)
    {
      if (jobs++ == ENDS_MAX
          || call->change_count + CHANGES_PER_JOB > CHANGES_MAX)
        break;
      add_job (cell, call, job);
    }
  whole = cell_unreadable_add_rows (cell, part, call) && job == NULL;
  if (!whole)
    pending.context = part->stored_seq;
  part->committing = cell_call (cell, call, &pending);
  if (part->committing)
    return;
  put_back (cell, part);
  part->next_commit_ms = cell->time.now_ms + RETRY_MS;
}

static void
part_tick (MuxCell *cell, CellPart *part)
{
  int64_t now = cell->time.now_ms;

  if ((part->dirty == NULL && part->unreadable_dirty == 0) || part->committing
      || now < part->next_commit_ms
      || (now - part->dirty_since_ms < WINDOW_MS && !part->commit_now))
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
