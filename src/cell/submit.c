#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller whose job can't be stored is told so when a quarter of a short
 * target is over: its next try, at another daemon, can still be in time. */
#define GIVE_UP_MS 300
/* A commit whose fate is not known is repeated until so long before the caller
 * stops waiting, so that the answer still reaches it, */
#define ANSWER_MS 200
/* and no longer than this: less than half of what callers usually wait, so
 * that a try at another daemon can still be in time. */
#define HOLD_MS 1400
/* A commit takes some 10 ms, 600 ms where the store is at its slowest: without
 * an answer for so long, new jobs are refused before they become doubtful, */
#define SLOW_MS 800
/* and for so long, its answer counts as lost. */
#define TIMEOUT_MS 1200
#define RETRY_MS 60
/* Told to callers who are refused: the store's short troubles are over in a
 * second, another daemon may serve at once. */
#define COME_BACK_MS 500

static void
answer (MuxCell *cell,
        uint64_t call,
        MuxResponseOutcome outcome,
        uint32_t retry_ms)
{
  MuxResponse reply
      = { .call_id = call, .outcome = outcome, .retry_ms = retry_ms };

  cell->options.sink->respond (cell->options.sink, &reply);
}

/* A planner that is late has so much to work off before it takes more. */
static uint32_t
usual_retry_ms (const MuxCell *cell)
{
  return COME_BACK_MS + (uint32_t) cell_planner_late_ms (cell);
}

void
cell_respond (MuxCell *cell, uint64_t call, MuxResponseOutcome outcome)
{
  answer (cell, call, outcome, usual_retry_ms (cell));
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

/* How long the part's last commit of jobs took, by which the moment of storing
 * can be told from that of the answer. */
static void
tell_caller (MuxCell *cell,
             const CellPart *part,
             const CellSubmission *submission,
             MuxResponseOutcome outcome,
             const char *why)
{
  bool accepted = outcome == MUX_RESPONSE_ACCEPTED;
  uint32_t retry_ms = submission->retry_ms != 0 ? submission->retry_ms
                                                : usual_retry_ms (cell);

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
  answer (cell, submission->request_id, outcome, retry_ms);
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
    tell_caller (cell, part, submission, outcome, why);
  DL_DELETE (part->submissions, submission);
  submission_free (submission);
}

/*
 * Guards against a store that is slow and gets slower: more jobs than it can
 * take before their callers stop waiting would all be given up half done, and
 * their next tries would come on top.  What can't be stored in time is refused
 * at once, so that what is stored stays at what the store can carry.
 */
static bool
is_behind (const CellPart *part)
{
  const CellSubmission *submission;
  int64_t commits;
  int64_t waiting;

  if (part->submit_took_ms * 2 < GIVE_UP_MS)
    return false;
  commits = HOLD_MS / part->submit_took_ms;
  DL_COUNT (part->submissions, submission, waiting);
  return waiting > CELL_COMMIT_JOBS_MAX * (commits > 1 ? commits : 1);
}

/* It was accepted before, or is about to be. */
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

/* Why the cell does not take the job; NULL: it does, or knows it already. */
static const char *
overload (MuxCell *cell, CellSubmission *submission)
{
  if (is_known (cell, submission))
    return NULL;
  submission->retry_ms = cell_admission_retry_ms (cell, submission->job);
  if (submission->retry_ms != 0)
    return "backlog";
  submission->retry_ms = cell_throttle_retry_ms (cell, submission->job);
  if (submission->retry_ms != 0)
    return "planner_overload";
  if (cell_accepts_jobs (cell) && !cell_planner_is_overloaded (cell))
    return NULL;
  submission->retry_ms = usual_retry_ms (cell);
  return cell_accepts_jobs (cell) ? "planner_busy" : "planner_late";
}

void
cell_submission_enqueue (MuxCell *cell, CellSubmission *submission)
{
  CellPart *part = &cell->part[cell_part_of (submission->job->id)];
  const char *why = overload (cell, submission);

  if (submission->deadline_ms == 0)
    submission->deadline_ms = cell->time.now_ms + HOLD_MS;
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
  else if (is_behind (part))
    cell_submission_end (cell, part, submission, MUX_RESPONSE_REFUSED,
                         "behind");
  else
    cell_submissions_commit (cell, part);
}

void
cell_submit (MuxCell *cell, MuxRequest *question)
{
  MuxJobSpec *job = question->job;
  CellSubmission *submission = calloc (1, sizeof *submission);

  question->job = NULL;
  job->accepted_wall_ms = cell->time.wall_ms;
  (void) mux_name_copy (job->data_centre, cell->options.data_centre);
  if (submission != NULL)
    submission->value = cell_blob_from_json (mux_job_to_json (job));
  if (submission == NULL || submission->value == NULL)
    {
      free (submission);
      mux_job_free (job);
      cell_respond (cell, question->call_id, MUX_RESPONSE_REFUSED);
      return;
    }
  submission->job = job;
  submission->request_id = question->call_id;
  if (question->timeout_ms < HOLD_MS + ANSWER_MS)
    submission->deadline_ms
        = cell->time.now_ms + question->timeout_ms - ANSWER_MS;
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

/* The row, or the end, of the job stands already: an earlier sending of the
 * same job, or a repetition of this commit after a lost answer. */
static const MuxCellRow *
standing (const MuxCellReply *reply, const CellSubmission *submission)
{
  const char *id = submission->job->id;
  const MuxCellRow *row = find_row (reply, MUX_TABLE_JOBS, id);

  return row != NULL ? row : find_row (reply, MUX_TABLE_ENDED, id);
}

static bool
is_of_other (const MuxCellRow *row, const CellSubmission *submission)
{
  CellCaller caller = { .is_restricted = submission->job->workspace[0] != 0 };

  (void) mux_name_copy (caller.workspace, submission->job->workspace);
  return !cell_row_is_visible_to (row, &caller);
}

/*
 * Guards against a job that two planners start.  A planner that has a successor
 * and does not know yet still stores jobs; if it started them by right of
 * having stored them, the successor, which finds them in the store, would start
 * them, too.  Only a commit on condition of the part's fence proves that the
 * successor has not read the part: it will count the job as old, and wait for
 * the workers where it may run.  Jobs of any other commit come by the feed,
 * which tells of the successor first.
 */
static void
hand_over (MuxCell *cell, const CellSubmission *submission, uint64_t version)
{
  cell_job_add_committed (cell, submission->sent_value, version);
}

static void
settle (MuxCell *cell,
        CellPart *part,
        CellSubmission *submission,
        const MuxCellReply *reply,
        uint64_t fenced_term)
{
  const MuxCellRow *row = reply->status == MUX_CELL_CONFLICT
                              ? standing (reply, submission)
                              : NULL;

  submission->in_commit = false;
  if (reply->status == MUX_CELL_OK && fenced_term != 0
      && fenced_term == cell->term)
    hand_over (cell, submission, reply->version);
  if (reply->status == MUX_CELL_OK)
    cell_submission_end (cell, part, submission, MUX_RESPONSE_ACCEPTED,
                         "stored");
  else if (row != NULL && is_of_other (row, submission))
    cell_submission_end (cell, part, submission, MUX_RESPONSE_ID_IN_USE,
                         "other_workspace");
  else if (row != NULL)
    cell_submission_end (cell, part, submission, MUX_RESPONSE_ACCEPTED,
                         "known");
  else if (reply->status == MUX_CELL_UNKNOWN)
    submission->outcome_unknown = true;
}

/*
 * A refusal must be true.  Guards against a commit that went unanswered and
 * takes effect after its caller was told that the job was not accepted: the
 * job would run all the same.  Once a commit that held the job has gone
 * unanswered the caller hears "unknown" or "accepted", never "refused".
 */
static void
give_up_overdue (MuxCell *cell, CellPart *part)
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
                 || (cell->store_failing_ms != 0
                     && now - cell->store_failing_ms >= GIVE_UP_MS)))
      cell_submission_end (cell, part, submission, MUX_RESPONSE_REFUSED,
                           "store_failing");
  }
}

/* The commit's condition on the part's fence held, whatever else did not. */
static bool
same_term (const CellPart *part, const MuxCellReply *reply)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    if (reply->row[i].table == MUX_TABLE_FENCE
        && strcmp (reply->row[i].key, CELL_TERM_KEY) == 0)
      return reply->row[i].version == part->term_version;
  return false;
}

static void
group_done (MuxCell *cell,
            const CellPending *pending,
            const MuxCellReply *reply)
{
  CellPart *part = &cell->part[pending->part];
  bool replaced = pending->context != 0 && reply->status == MUX_CELL_CONFLICT
                  && !same_term (part, reply);
  CellSubmission *submission;
  CellSubmission *next;

  part->submitting = false;
  part->submit_took_ms = cell->time.now_ms - part->submit_sent_ms;
  cell->commit_took_ms = part->submit_took_ms;
  DL_FOREACH_SAFE (part->submissions, submission, next)
  if (submission->in_commit)
    settle (cell, part, submission, reply, pending->context);
  if (reply->status == MUX_CELL_BAD_REQUEST)
    cell_log (cell, "commit_bad", "{s:s}", "part", part->name);
  if (replaced)
    {
      part->term_version_unknown = true;
      cell_claim_doubt (cell, "submit_fenced");
    }
  part->next_submit_ms
      = reply->status == MUX_CELL_OK
                || (reply->status == MUX_CELL_CONFLICT && !replaced)
            ? cell->time.now_ms
            : cell->time.now_ms + RETRY_MS;
  give_up_overdue (cell, part);
  if (cell->time.now_ms >= part->next_submit_ms)
    cell_submissions_commit (cell, part);
}

/* The workers named may be others than at an earlier try. */
static void
name_workers (MuxCell *cell, CellSubmission *submission)
{
  MuxBlob *named = cell->role == CELL_PLANNING
                       ? cell_row_with_candidates (cell, submission->value)
                       : NULL;

  mux_blob_unref (submission->sent_value);
  submission->sent_value
      = named != NULL ? named : mux_blob_ref (submission->value);
}

static void
add_to_group (MuxCell *cell, MuxCellCall *call, CellSubmission *submission)
{
  const char *id = submission->job->id;

  cell_call_expect (call, MUX_TABLE_JOBS, id, 0);
  cell_call_expect (call, MUX_TABLE_ENDED, id, 0);
  name_workers (cell, submission);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_JOBS, id)->value
      = mux_blob_ref (submission->sent_value);
  submission->in_commit = true;
}

static bool
twice_in_group (const CellPart *part, const CellSubmission *submission)
{
  const CellSubmission *other;

  DL_FOREACH (part->submissions, other)
  if (other->in_commit && strcmp (other->job->id, submission->job->id) == 0)
    return true;
  return false;
}

/* Whose row it is that refused the last commit: a successor's, which ends this
 * term, or another writer's. */
static void
read_term (MuxCell *cell, CellPart *part)
{
  part->next_submit_ms = cell->time.now_ms + RETRY_MS;
  if (!part->reading_fence)
    cell_fence_read (cell, part);
}

/* One commit of a part at a time: those that come meanwhile share the next. */
void
cell_submissions_commit (MuxCell *cell, CellPart *part)
{
  MuxCellCall *call;
  CellPending pending
      = { .on_reply = group_done, .part = (uint32_t) (part - cell->part) };
  CellSubmission *submission;
  uint32_t jobs = 0;

  if (part->submissions == NULL || part->submitting)
    return;
  if (cell->role == CELL_PLANNING && part->term_version_unknown)
    {
      read_term (cell, part);
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
  call->timeout_ms = TIMEOUT_MS;
  part->submit_sent_ms = cell->time.now_ms;
  DL_FOREACH (part->submissions, submission)
  {
    if (jobs == CELL_COMMIT_JOBS_MAX)
      break;
    if (submission->relayed || twice_in_group (part, submission))
      continue;
    add_to_group (cell, call, submission);
    jobs++;
  }
  if (jobs == 0)
    {
      mux_cell_call_free (call);
      return;
    }
  part->submitting = cell_call (cell, call, &pending);
  if (part->submitting)
    return;
  DL_FOREACH (part->submissions, submission)
  submission->in_commit = false;
  part->next_submit_ms = cell->time.now_ms + RETRY_MS;
}

void
cell_submit_tick (MuxCell *cell)
{
  for (uint32_t i = 0; i < CELL_PARTS; i++)
    {
      CellPart *part = &cell->part[i];

      if (part->submissions == NULL)
        continue;
      if (part->submitting && cell->store_failing_ms == 0
          && cell->time.now_ms - part->submit_sent_ms > SLOW_MS
          && cell->time.now_ms - cell->store_served_ms > SLOW_MS)
        cell_store_timed_out (cell, part->submit_sent_ms);
      cell_relay_tick (cell, part);
      give_up_overdue (cell, part);
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
