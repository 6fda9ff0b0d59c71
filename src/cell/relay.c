#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The planner stores jobs for all daemons, in groups. A part of the store runs
 * one transaction after the other: where each takes 300 ms instead of 5, seven
 * daemons with a commit each wait two seconds, and the store refuses most of
 * them; a single writer needs two commits a second. The planner also serves
 * callers of a daemon that alone can't reach the store.
 */

/* Maximum age of the planner's last reply to a hello for jobs to be relayed
 * to it; three hellos fit. */
#define HELLO_REPLY_MAX_AGE_MS 800

bool
cell_planner_is_reachable (const MuxCell *cell)
{
  return cell->planner_hello_reply_ms != 0
         && cell->planner_store_failing_since_ms == 0
         && cell->time.now_ms - cell->planner_hello_reply_ms
                < HELLO_REPLY_MAX_AGE_MS;
}

/* A planner of the previous version can't read a longer interval, and drops the
 * job without a reply. */
static bool
previous_version_reads (const MuxJobSpec *job)
{
  return job->interval_ms <= UINT32_MAX;
}

bool
cell_relay (MuxCell *cell, CellSubmission *submission)
{
  MuxPeerMsg msg
      = cell_message (cell, MUX_PEER_SUBMIT_REQUEST, cell->claim.name);

  if (cell->role != CELL_FOLLOWER || cell->claim.incarnation == 0
      || !cell_planner_is_reachable (cell)
      || !previous_version_reads (submission->job))
    return false;
  msg.call_id = cell_peer_request_id (cell, submission->request_id);
  msg.body = submission->value;
  submission->relayed = cell->options.sink->peer_send (cell->options.sink,
                                                       cell->claim.addr, &msg);
  submission->relayed_ms = cell->time.now_ms;
  return submission->relayed;
}

/* This daemon stores the job itself. The planner may have stored it already. */
static void
withdraw (CellSubmission *submission, bool outcome_unknown)
{
  submission->relayed = false;
  submission->outcome_unknown = submission->outcome_unknown || outcome_unknown;
}

void
cell_relay_tick (MuxCell *cell, CellPart *part)
{
  bool reachable = cell_planner_is_reachable (cell);
  CellSubmission *submission;
  CellSubmission *next;

  DL_FOREACH_SAFE (part->submissions, submission, next)
  if (submission->relayed
      && (!reachable || cell->time.now_ms >= submission->deadline_ms))
    withdraw (submission, true);
}

void
cell_relay_reply (MuxCell *cell,
                  const CellPart *part,
                  const CellSubmission *submission,
                  MuxResponseOutcome outcome,
                  const char *why)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_SUBMIT_REPLY, submission->peer);

  cell_log (cell, "submission_told", "{s:s, s:s, s:s, s:i, s:I}", "job",
            submission->job->id, "to", submission->peer, "why", why, "outcome",
            (int) outcome, "commit_ms", (json_int_t) part->submit_took_ms);
  msg.call_id = submission->request_id;
  msg.outcome = outcome;
  msg.retry_ms = submission->retry_ms;
  msg.table_ok = cell_store_available (cell);
  (void) cell->options.sink->peer_send (cell->options.sink,
                                        submission->peer_addr, &msg);
}

static void
submit_request_received (MuxCell *cell, const MuxPeerMsg *msg)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };
  json_t *json = cell_json_from_blob (msg->body);
  MuxJobSpec *spec = mux_job_from_json (json, &findings);
  CellSubmission *submission = calloc (1, sizeof *submission);

  json_decref (json);
  if (spec == NULL || submission == NULL)
    {
      mux_job_free (spec);
      free (submission);
      return;
    }
  submission->job = spec;
  submission->request_id = msg->call_id;
  submission->value = mux_blob_ref (msg->body);
  snprintf (submission->peer, sizeof submission->peer, "%s", msg->from);
  snprintf (submission->peer_addr, sizeof submission->peer_addr, "%s",
            msg->from_addr);
  cell_submission_enqueue (cell, submission);
}

static CellSubmission *
find_relayed (MuxCell *cell, uint64_t request_id, CellPart **part)
{
  CellSubmission *submission;

  for (uint32_t i = 0; i < CELL_PARTS; i++)
    DL_FOREACH (cell->part[i].submissions, submission)
  if (submission->relayed && submission->request_id == request_id)
    {
      *part = &cell->part[i];
      return submission;
    }
  return NULL;
}

static void
submit_reply_received (MuxCell *cell, const MuxPeerMsg *msg)
{
  CellPart *part = NULL;
  CellSubmission *submission = find_relayed (
      cell, cell_peer_request_caller (cell, msg->call_id), &part);

  if (submission == NULL)
    return;
  if (msg->outcome == MUX_RESPONSE_ACCEPTED)
    {
      cell_submission_end (cell, part, submission, MUX_RESPONSE_ACCEPTED,
                           "planner");
      return;
    }
  /* A planner that refuses while the store serves it has more to store than
   * the store can take: another daemon's commit would only add to that. */
  if (msg->outcome == MUX_RESPONSE_REFUSED && msg->table_ok)
    {
      submission->retry_ms = msg->retry_ms;
      cell_submission_end (cell, part, submission, MUX_RESPONSE_REFUSED,
                           msg->retry_ms != 0 ? "backlog" : "behind");
      return;
    }
  withdraw (submission, msg->outcome != MUX_RESPONSE_REFUSED);
  cell_submissions_commit (cell, part);
}

void
cell_relay_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (msg->verb == MUX_PEER_SUBMIT_REPLY)
    submit_reply_received (cell, msg);
  else
    submit_request_received (cell, msg);
}
