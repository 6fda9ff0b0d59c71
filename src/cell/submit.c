#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Submitted jobs: each is relayed to the planner, or stored by this daemon's
 * own commits, and then its caller is answered.
 */

/* While the store fails, a job is refused after a quarter of a short target, so
 * that a retry at another daemon can still be in time. */
#define REFUSE_AFTER_MS 300
/* A commit whose outcome is unknown is repeated until this long before the
 * caller stops waiting, so that the response still reaches it, */
#define RESPONSE_MARGIN_MS 200
/* and for no longer than this: less than half of what callers usually wait, so
 * that a retry at another daemon can still be in time. */
#define SUBMIT_TIMEOUT_MS 1400
/* A commit takes some 10 ms, 600 ms in a very slow store.  With no reply for
 * this long new jobs are refused, before a commit makes their outcome unknown;
 */
#define STORE_SILENT_MS 800
/* and after this long the reply counts as lost. */
#define COMMIT_TIMEOUT_MS 1200
/* After a commit that failed. */
#define COMMIT_RETRY_MS 60
/* When a refused caller is to retry: short failures of the store are over in a
 * second, and another daemon may serve it at once. */
#define CALLER_RETRY_MS 500

static void
respond (MuxCell *cell,
         uint64_t request_id,
         MuxResponseOutcome outcome,
         uint32_t retry_ms)
{
  MuxResponse reply
      = { .call_id = request_id, .outcome = outcome, .retry_ms = retry_ms };

  cell->options.sink->respond (cell->options.sink, &reply);
}

/* A late planner works off its delay before it accepts more. */
static uint32_t
default_retry_ms (const MuxCell *cell)
{
  return CALLER_RETRY_MS + (uint32_t) cell_planner_late_ms (cell);
}

void
cell_respond (MuxCell *cell, uint64_t request_id, MuxResponseOutcome outcome)
{
  respond (cell, request_id, outcome, default_retry_ms (cell));
}

static void
submission_free (CellSubmission *submission)
{
  mux_blob_unref (submission->sent_value);
  mux_job_free (submission->job);
  mux_blob_unref (submission->value);
  free (submission);
}

static MuxReason
reason_of (const CellSubmission *submission, MuxResponseOutcome outcome)
{
  if (outcome == MUX_RESPONSE_UNKNOWN)
    return MUX_REASON_WRITE_UNKNOWN;
  if (outcome == MUX_RESPONSE_ID_IN_USE)
    return MUX_REASON_OTHER_WORKSPACE;
  return submission->retry_ms != 0 ? MUX_REASON_OVERLOAD
                                   : MUX_REASON_STORE_DOWN;
}

/* The log line holds how long the part's last commit of jobs took, so that the
 * time of storing can be distinguished from that of the response. */
static void
respond_to_submission (MuxCell *cell,
                       const CellPart *part,
                       const CellSubmission *submission,
                       MuxResponseOutcome outcome,
                       const char *why)
{
  bool accepted = outcome == MUX_RESPONSE_ACCEPTED;
  uint32_t retry_ms = submission->retry_ms != 0 ? submission->retry_ms
                                                : default_retry_ms (cell);

  cell_log (cell, accepted ? "accepted" : "refused",
            "{s:s, s:s, s:s, s:s, s:I, s:I, s:I}", "job", submission->job->id,
            "queue", submission->job->queue.name, "workspace",
            submission->job->workspace, "why", why, "commit_ms",
            (json_int_t) part->submit_took_ms, "work_ms",
            (json_int_t) mux_job_core_ms (submission->job), "retry_ms",
            (json_int_t) (accepted ? 0 : retry_ms));
  if (accepted)
    mux_count (cell->options.counters, MUX_COUNT_JOBS_ACCEPTED, 1);
  else
    mux_count_refused (cell->options.counters, reason_of (submission, outcome));
  respond (cell, submission->request_id, outcome, retry_ms);
}

void
cell_submission_end (MuxCell *cell,
                     CellPart *part,
                     CellSubmission *submission,
                     MuxResponseOutcome outcome,
                     const char *why)
{
  if (submission->peer[0] != 0)
    cell_relay_reply (cell, part, submission, outcome, why);
  else
    respond_to_submission (cell, part, submission, outcome, why);
  DL_DELETE (part->submissions, submission);
  submission_free (submission);
}

/*
 * Whether more jobs wait than a slow store can commit before their callers give
 * up.  Further jobs are then refused at once: otherwise all would time out with
 * their commits half done, and the retries would add to the load.
 */
static bool
store_is_saturated (const CellPart *part)
{
  const CellSubmission *submission;
  int64_t commits;
  int64_t waiting;

  if (part->submit_took_ms * 2 < REFUSE_AFTER_MS)
    return false;
  commits = SUBMIT_TIMEOUT_MS / part->submit_took_ms;
  DL_COUNT (part->submissions, submission, waiting);
  return waiting > CELL_COMMIT_JOBS_MAX * (commits > 1 ? commits : 1);
}

/* Whether the job is accepted already, or a submission of it is pending. */
static bool
is_known (MuxCell *cell, const CellSubmission *submission)
{
  const char *id = submission->job->id;
  const CellSubmission *other;

  if (cell_job_find (cell, id) != NULL || cell_job_ended_recently (cell, id))
    return true;
  DL_FOREACH (cell->part[cell_part_of (id)].submissions, other)
  if (other != submission && strcmp (other->job->id, id) == 0)
    return true;
  return false;
}

/* Return: why the job is not accepted, for the log; NULL: it is, or it is known
 * already. */
static const char *
overload_reason (MuxCell *cell, CellSubmission *submission)
{
  if (is_known (cell, submission))
    return NULL;
  submission->retry_ms = cell_admission_retry_ms (cell, submission->job);
  if (submission->retry_ms != 0)
    return cell_share_refusal (cell, submission->job);
  submission->retry_ms = cell_throttle_retry_ms (cell, submission->job);
  if (submission->retry_ms != 0)
    return "planner_overload";
  if (cell_accepts_jobs (cell) && !cell_planner_is_overloaded (cell))
    return NULL;
  submission->retry_ms = default_retry_ms (cell);
  return cell_accepts_jobs (cell) ? "planner_busy" : "planner_late";
}

void
cell_submission_enqueue (MuxCell *cell, CellSubmission *submission)
{
  CellPart *part = &cell->part[cell_part_of (submission->job->id)];
  const char *why = overload_reason (cell, submission);

  if (submission->deadline_ms == 0)
    submission->deadline_ms = cell->time.now_ms + SUBMIT_TIMEOUT_MS;
  DL_APPEND (part->submissions, submission);
  if (why != NULL)
    {
      cell_submission_end (cell, part, submission, MUX_RESPONSE_REFUSED, why);
      return;
    }
  cell_admission_accepted (cell, submission->job);
  if (submission->peer[0] == 0 && cell_relay (cell, submission))
    return;
  if (!cell_store_available (cell))
    cell_submission_end (cell, part, submission, MUX_RESPONSE_REFUSED,
                         "store_away");
  else if (store_is_saturated (part))
    cell_submission_end (cell, part, submission, MUX_RESPONSE_REFUSED,
                         "behind");
  else
    cell_submissions_commit (cell, part);
}

void
cell_submit (MuxCell *cell, MuxRequest *request)
{
  MuxJobSpec *job = request->job;
  CellSubmission *submission = calloc (1, sizeof *submission);

  request->job = NULL;
  job->accepted_wall_ms = cell->time.wall_ms;
  (void) mux_name_copy (job->data_centre, cell->options.data_centre);
  if (submission != NULL)
    submission->value = cell_blob_from_json (mux_job_to_json (job));
  if (submission == NULL || submission->value == NULL)
    {
      free (submission);
      mux_job_free (job);
      cell_respond (cell, request->call_id, MUX_RESPONSE_REFUSED);
      return;
    }
  if (submission->value->len > CELL_JOB_ROW_BYTES_MAX)
    {
      mux_count_refused (cell->options.counters, MUX_REASON_BODY_TOO_LARGE);
      cell_log (cell, "job_too_large", "{s:s, s:I}", "job", job->id, "bytes",
                (json_int_t) submission->value->len);
      submission->job = job;
      submission_free (submission);
      cell_respond (cell, request->call_id, MUX_RESPONSE_TOO_LARGE);
      return;
    }
  submission->job = job;
  submission->request_id = request->call_id;
  if (request->timeout_ms < SUBMIT_TIMEOUT_MS + RESPONSE_MARGIN_MS)
    submission->deadline_ms
        = cell->time.now_ms + request->timeout_ms - RESPONSE_MARGIN_MS;
  cell_submission_enqueue (cell, submission);
}

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

/*
 * Ends submissions that are out of time.  Once a commit with the job has gone
 * unanswered it may still take effect, and the job run: its caller is then
 * answered "unknown" or "accepted", never "refused".
 */
static void
end_overdue (MuxCell *cell, CellPart *part)
{
  int64_t now = cell->time.now_ms;
  CellSubmission *submission;
  CellSubmission *next;

  DL_FOREACH_SAFE (part->submissions, submission, next)
  {
    if (submission->in_commit || submission->relayed)
      continue;
    if (submission->outcome_unknown && now >= submission->deadline_ms)
      cell_submission_end (cell, part, submission, MUX_RESPONSE_UNKNOWN,
                           "no_answer");
    else if (!submission->outcome_unknown
             && (now >= submission->deadline_ms || !cell_store_available (cell)
                 || (cell->store_failing_since_ms != 0
                     && now - cell->store_failing_since_ms >= REFUSE_AFTER_MS)))
      cell_submission_end (cell, part, submission, MUX_RESPONSE_REFUSED,
                           "store_failing");
  }
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
  end_overdue (cell, part);
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

void
cell_submit_tick (MuxCell *cell)
{
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      CellPart *part = &cell->part[i];

      if (part->submissions == NULL)
        continue;
      if (part->submitting && cell->store_failing_since_ms == 0
          && cell->time.now_ms - part->submit_sent_ms > STORE_SILENT_MS
          && cell->time.now_ms - cell->store_served_ms > STORE_SILENT_MS)
        cell_store_timed_out (cell, part->submit_sent_ms);
      cell_relay_tick (cell, part);
      end_overdue (cell, part);
      if (!part->submitting && cell->time.now_ms >= part->next_submit_ms)
        cell_submissions_commit (cell, part);
    }
}

void
cell_submit_free (MuxCell *cell)
{
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      CellSubmission *submission;
      CellSubmission *next;

      DL_FOREACH_SAFE (cell->part[i].submissions, submission, next)
      {
        DL_DELETE (cell->part[i].submissions, submission);
        submission_free (submission);
      }
    }
}
