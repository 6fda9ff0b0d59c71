#include "job_memory.h"

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
 * this long new jobs are refused, before a commit makes their outcome unknown.
 */
#define STORE_SILENT_MS 800
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
submission_free (MuxCell *cell, CellSubmission *submission)
{
  if (submission->bytes != 0)
    cell_job_memory_release (cell, submission->job, submission->bytes);
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
  submission_free (cell, submission);
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
  submission->retry_ms = cell_job_memory_retry_ms (cell, submission->job);
  if (submission->retry_ms != 0)
    {
      mux_count (cell->options.counters, MUX_COUNT_JOBS_NO_MEMORY, 1);
      return "job_memory";
    }
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
  submission->bytes = cell_job_memory_charge (cell, submission->job);
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

static void
respond_never_fits (MuxCell *cell, uint64_t request_id, const MuxJobSpec *job)
{
  MuxResponse reply = { .call_id = request_id,
                        .outcome = MUX_RESPONSE_NEVER_FITS,
                        .bytes = cell_job_bytes (job),
                        .max_bytes = cell_job_max_bytes (cell) };

  mux_count_refused (cell->options.counters, MUX_REASON_NEVER_FITS);
  cell_log (cell, "job_never_fits", "{s:s, s:I, s:I}", "job", job->id, "bytes",
            (json_int_t) reply.bytes, "max", (json_int_t) reply.max_bytes);
  cell->options.sink->respond (cell->options.sink, &reply);
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
      submission_free (cell, submission);
      cell_respond (cell, request->call_id, MUX_RESPONSE_TOO_LARGE);
      return;
    }
  submission->job = job;
  if (cell_job_bytes (job) > cell_job_max_bytes (cell))
    {
      respond_never_fits (cell, request->call_id, job);
      submission_free (cell, submission);
      return;
    }
  submission->request_id = request->call_id;
  if (request->timeout_ms < SUBMIT_TIMEOUT_MS + RESPONSE_MARGIN_MS)
    submission->deadline_ms
        = cell->time.now_ms + request->timeout_ms - RESPONSE_MARGIN_MS;
  cell_submission_enqueue (cell, submission);
}

/*
 * Once a commit with the job has gone
 * unanswered it may still take effect, and the job run: its caller is then
 * answered "unknown" or "accepted", never "refused".
 */
void
cell_submissions_end_overdue (MuxCell *cell, CellPart *part)
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
      cell_submissions_end_overdue (cell, part);
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
        submission_free (cell, submission);
      }
    }
}
