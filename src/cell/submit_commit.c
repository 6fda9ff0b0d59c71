#include "cell_private.h"

#include <string.h>

/* Commits of submitted jobs. */

/* A commit takes some 10 ms, 600 ms in a very slow store; after this long its
 * reply counts as lost. */
#define COMMIT_TIMEOUT_MS 1200
/* After a commit that failed. */
#define COMMIT_RETRY_MS 60

static const MuxCellRow *
find_row (const MuxCellReply *reply, MuxCellTable table, const char *key)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (reply->row[i].table == table && reply->row[i].version != 0
        && strcmp (reply->row[i].key, key) == 0)
      return &reply->row[i];
  return NULL;
}

/* The row of the job, or of its end, if the store has one: by an earlier
 * submission of the same job, or by this commit before its reply was lost. */
static const MuxCellRow *
stored_row (const MuxCellReply *reply, const CellSubmission *submission)
{
  const char *id = submission->job->id;
  const MuxCellRow *row = find_row (reply, MUX_TABLE_JOBS, id);

  return row != NULL ? row : find_row (reply, MUX_TABLE_ENDED, id);
}

static bool
belongs_to_other_workspace (const MuxCellRow *row,
                            const CellSubmission *submission)
{
  CellCaller caller = { .is_restricted = submission->job->workspace[0] != 0 };

  (void) mux_name_copy (caller.workspace, submission->job->workspace);
  return !cell_row_is_visible_to (row, &caller);
}

/*
 * Called for commits that depended on the part's term row: these prove that no
 * successor has read the part yet.  A successor will treat the job as one of an
 * earlier term, and wait for the workers where it may run.  After any other
 * commit a job is only taken from the feed, which announces a successor first:
 * a planner that has been replaced and does not know yet would otherwise start
 * jobs that its successor finds in the store and starts, too.
 */
static void
add_stored_job (MuxCell *cell,
                const CellSubmission *submission,
                uint64_t version)
{
  cell_job_add_committed (cell, submission->sent_value, version);
}

/* The store rejected a commit of the job alone.  An earlier one that went
 * unanswered may have stored it. */
static void
end_rejected (MuxCell *cell, CellPart *part, CellSubmission *submission)
{
  cell_submission_end (cell, part, submission,
                       submission->outcome_unknown ? MUX_RESPONSE_UNKNOWN
                                                   : MUX_RESPONSE_REFUSED,
                       "rejected");
}

/* A rejected commit is narrowed down to the job it fails for. */
static void
limit_next_commit (CellPart *part, MuxCellStatus status)
{
  if (status == MUX_CELL_BAD_REQUEST && part->submit_jobs > 1)
    part->submit_jobs_max = part->submit_jobs / 2;
  else if (status == MUX_CELL_OK)
    part->submit_jobs_max = part->submit_jobs_max * 2;
  if (part->submit_jobs_max >= CELL_COMMIT_JOBS_MAX)
    part->submit_jobs_max = 0;
}

static void
apply_reply (MuxCell *cell,
             CellPart *part,
             CellSubmission *submission,
             const MuxCellReply *reply,
             uint64_t fenced_term)
{
  const MuxCellRow *row = reply->status == MUX_CELL_CONFLICT
                              ? stored_row (reply, submission)
                              : NULL;

  submission->in_commit = false;
  if (reply->status == MUX_CELL_OK && fenced_term != 0
      && fenced_term == cell->term)
    add_stored_job (cell, submission, reply->version);
  if (reply->status == MUX_CELL_OK)
    cell_submission_end (cell, part, submission, MUX_RESPONSE_ACCEPTED,
                         "stored");
  else if (row != NULL && belongs_to_other_workspace (row, submission))
    cell_submission_end (cell, part, submission, MUX_RESPONSE_ID_IN_USE,
                         "other_workspace");
  else if (row != NULL)
    cell_submission_end (cell, part, submission, MUX_RESPONSE_ACCEPTED,
                         "known");
  else if (reply->status == MUX_CELL_UNKNOWN)
    submission->outcome_unknown = true;
  else if (reply->status == MUX_CELL_BAD_REQUEST && part->submit_jobs == 1)
    end_rejected (cell, part, submission);
}

/* Whether the commit's condition on the part's term row held, although another
 * did not. */
static bool
term_row_matches (const CellPart *part, const MuxCellReply *reply)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (reply->row[i].table == MUX_TABLE_FENCE
        && strcmp (reply->row[i].key, CELL_TERM_KEY) == 0)
      return reply->row[i].version == part->term_version;
  return false;
}

static void
commit_done (MuxCell *cell,
             const CellPending *pending,
             const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];
  bool replaced = pending->context != 0 && reply->status == MUX_CELL_CONFLICT
                  && !term_row_matches (part, reply);
  CellSubmission *submission;
  CellSubmission *next;

  part->submitting = false;
  part->submit_took_ms = cell->time.now_ms - part->submit_sent_ms;
  cell->commit_took_ms = part->submit_took_ms;
  limit_next_commit (part, reply->status);
  DL_FOREACH_SAFE (part->submissions, submission, next)
  if (submission->in_commit)
    apply_reply (cell, part, submission, reply, pending->context);
  if (replaced)
    {
      part->term_version_unknown = true;
      cell_claim_doubt (cell, "submit_fenced");
    }
  part->next_submit_ms
      = reply->status == MUX_CELL_OK
                || (reply->status == MUX_CELL_CONFLICT && !replaced)
                || reply->status == MUX_CELL_BAD_REQUEST
            ? cell->time.now_ms
            : cell->time.now_ms + COMMIT_RETRY_MS;
  cell_submissions_end_overdue (cell, part);
  if (cell->time.now_ms >= part->next_submit_ms)
    cell_submissions_commit (cell, part);
}

/* The row names candidate workers, which may differ from those of an earlier
 * attempt. */
static void
set_sent_value (MuxCell *cell, CellSubmission *submission)
{
  MuxBlob *named = cell->role == CELL_PLANNING
                       ? cell_row_with_candidates (cell, submission->value)
                       : NULL;

  mux_blob_unref (submission->sent_value);
  submission->sent_value
      = named != NULL ? named : mux_blob_ref (submission->value);
}

static void
add_to_commit (MuxCell *cell, MuxCellCall *call, CellSubmission *submission)
{
  const char *id = submission->job->id;

  cell_call_expect (call, MUX_TABLE_JOBS, id, 0);
  cell_call_expect (call, MUX_TABLE_ENDED, id, 0);
  set_sent_value (cell, submission);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_JOBS, id)->value
      = mux_blob_ref (submission->sent_value);
  submission->in_commit = true;
}

static bool
id_is_in_commit (const CellPart *part, const CellSubmission *submission)
{
  const CellSubmission *other;

  DL_FOREACH (part->submissions, other)
  if (other->in_commit && strcmp (other->job->id, submission->job->id) == 0)
    return true;
  return false;
}

/* The last commit found another term row: a successor's, which ends this term,
 * or another writer's. */
static void
reread_term (MuxCell *cell, CellPart *part)
{
  part->next_submit_ms = cell->time.now_ms + COMMIT_RETRY_MS;
  if (!part->reading_fence)
    cell_fence_read (cell, part);
}

/* A part has one commit outstanding; jobs that arrive meanwhile share the next.
 */
void
cell_submissions_commit (MuxCell *cell, CellPart *part)
{
  MuxCellCall *call;
  CellPending pending
      = { .on_reply = commit_done, .part = (uint32_t) (part - cell->part) };
  CellSubmission *submission;
  uint32_t max = part->submit_jobs_max != 0 ? part->submit_jobs_max
                                            : CELL_COMMIT_JOBS_MAX;

  if (part->submissions == NULL || part->submitting)
    return;
  if (cell->role == CELL_PLANNING && part->term_version_unknown)
    {
      reread_term (cell, part);
      return;
    }
  call = cell_commit_call (part->name, 3 * CELL_COMMIT_JOBS_MAX + 1);
  if (call == NULL)
    return;
  if (cell->role == CELL_PLANNING)
    {
      cell_call_expect (call, MUX_TABLE_FENCE, CELL_TERM_KEY,
                        part->term_version);
      pending.context = cell->term;
    }
  call->timeout_ms = COMMIT_TIMEOUT_MS;
  part->submit_sent_ms = cell->time.now_ms;
  part->submit_jobs = 0;
  DL_FOREACH (part->submissions, submission)
  {
    if (part->submit_jobs == max
        || cell_commit_bytes (call) + CELL_ROW_SENT_BYTES_MAX
               > CELL_COMMIT_BYTES_MAX)
      break;
    if (submission->relayed || id_is_in_commit (part, submission))
      continue;
    add_to_commit (cell, call, submission);
    part->submit_jobs++;
  }
  if (part->submit_jobs == 0)
    {
      mux_cell_call_free (call);
      return;
    }
  part->submitting = cell_call (cell, call, &pending);
  if (part->submitting)
    return;
  DL_FOREACH (part->submissions, submission)
  submission->in_commit = false;
  part->next_submit_ms = cell->time.now_ms + COMMIT_RETRY_MS;
}
