#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The planner answers from memory within a few ms; one that is silent for so
 * long is asked no further, the store is read instead. */
#define PLANNER_MS 250
#define RETRY_MS 80
#define ANSWER_MS 150
/* Key behind that of a job and of its cancel: '~' sorts after both. */
#define BEHIND "~"
#define CANCEL_MARK "!"

enum
{
  STEP_PLANNER,
  STEP_JOB,   /* read the job's row */
  STEP_ENDED, /* read the row of its end */
  STEP_CANCEL /* write the cancel */
};

static void act (MuxCell *cell, CellJobQuery *inquiry);

void
cell_respond_state (MuxCell *cell, uint64_t call, MuxJobState state)
{
  MuxResponse reply
      = { .call_id = call, .outcome = MUX_RESPONSE_STATE, .state = state };

  cell->options.sink->respond (cell->options.sink, &reply);
}

static void
answer_pending (MuxCell *cell, uint64_t call, uint32_t pending)
{
  MuxResponse reply = { .call_id = call,
                        .outcome = MUX_RESPONSE_PENDING,
                        .pending = pending };

  cell->options.sink->respond (cell->options.sink, &reply);
}

static void
inquiry_end (MuxCell *cell, CellJobQuery *inquiry)
{
  HASH_DEL (cell->job_queries, inquiry);
  free (inquiry);
}

static void
end_with (MuxCell *cell, CellJobQuery *inquiry, MuxResponseOutcome outcome)
{
  if (inquiry->verb == MUX_REQUEST_CANCEL)
    cell_log (cell, "cancel", "{s:s, s:i}", "job", inquiry->id, "outcome",
              (int) outcome);
  else if (outcome != MUX_RESPONSE_NO_JOB || inquiry->id[0] != 0)
    cell_log (cell, "state_refused", "{s:s, s:i}", "job", inquiry->id,
              "outcome", (int) outcome);
  cell_respond (cell, inquiry->request_id, outcome);
  inquiry_end (cell, inquiry);
}

static CellJobQuery *
find (MuxCell *cell, uint64_t call)
{
  CellJobQuery *inquiry;

  HASH_FIND (hh, cell->job_queries, &call, sizeof call, inquiry);
  return inquiry;
}

static void
retry_later (MuxCell *cell, CellJobQuery *inquiry, uint32_t step)
{
  inquiry->phase = step;
  inquiry->next_ms = cell->time.now_ms + RETRY_MS;
}

static bool
scan (MuxCell *cell,
      CellJobQuery *inquiry,
      MuxCellTable table,
      CellReplyHandler done)
{
  MuxCellCall *call
      = cell_scan_call (table, cell->part[cell_part_of (inquiry->id)].name);
  CellPending pending = { .on_reply = done, .context = inquiry->request_id };

  if (call == NULL)
    return false;
  snprintf (call->from, sizeof call->from, "%s", inquiry->id);
  snprintf (call->to, sizeof call->to, "%s" BEHIND, inquiry->id);
  return cell_call (cell, call, &pending);
}

static void
cancel_written (MuxCell *cell,
                const CellPending *pending,
                const MuxCellReply *reply)
{
  CellJobQuery *inquiry = find (cell, pending->context);

  if (inquiry == NULL)
    return;
  if (reply->status == MUX_CELL_OK)
    {
      end_with (cell, inquiry, MUX_RESPONSE_CANCELLED);
      return;
    }
  if (reply->status == MUX_CELL_UNKNOWN)
    inquiry->outcome_unknown = true;
  /* The job ended, or its cancel stands: reading tells which. */
  retry_later (cell, inquiry, STEP_JOB);
}

static bool
write_cancel (MuxCell *cell, CellJobQuery *inquiry)
{
  MuxCellCall *call
      = cell_commit_call (cell->part[cell_part_of (inquiry->id)].name, 2);
  CellPending pending
      = { .on_reply = cancel_written, .context = inquiry->request_id };
  char key[MUX_ROW_NAME_LEN];

  if (call == NULL)
    return false;
  cell_call_expect (call, MUX_TABLE_JOBS, inquiry->id, inquiry->version);
  snprintf (key, sizeof key, "%s" CANCEL_MARK, inquiry->id);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_JOBS, key)->value
      = mux_blob_new ("{}", 2);
  return cell_call (cell, call, &pending);
}

/* False: the row does not tell how the job ended. */
static bool
read_end (MuxCell *cell, const MuxCellRow *row, MuxJobState *state)
{
  json_t *json = cell_row_json (cell, row);
  bool told = mux_job_state_parse (
                  json_string_value (json_object_get (json, "state")), state)
              && (*state == MUX_JOB_COMPLETED || *state == MUX_JOB_FAILED
                  || *state == MUX_JOB_CANCELLED);

  if (json != NULL && !told)
    cell_report_bad_row (cell, row, CELL_ROW_FIELD, "state");
  json_decref (json);
  return told;
}

static void
ended_read (MuxCell *cell,
            const CellPending *pending,
            const MuxCellReply *reply)
{
  CellJobQuery *inquiry = find (cell, pending->context);
  const MuxCellRow *row;
  MuxJobState state = MUX_JOB_ABSENT;

  if (inquiry == NULL)
    return;
  if (reply->status != MUX_CELL_OK)
    {
      /* The job may end between the two readings: begin with the first. */
      retry_later (cell, inquiry, STEP_JOB);
      return;
    }
  row = cell_reply_find_row (reply, inquiry->id);
  if (row == NULL || !cell_row_is_visible_to (row, &inquiry->caller))
    {
      end_with (cell, inquiry, MUX_RESPONSE_NO_JOB);
      return;
    }
  if (!read_end (cell, row, &state))
    /* It ended, and how can't be told.  A caller who hears "no such job" would
     * hand it in anew; that it can't be cancelled any more is true. */
    end_with (cell, inquiry,
              inquiry->verb == MUX_REQUEST_QUERY ? MUX_RESPONSE_REFUSED
                                                 : MUX_RESPONSE_NO_JOB);
  else if (inquiry->verb == MUX_REQUEST_QUERY)
    {
      cell_respond_state (cell, inquiry->request_id, state);
      inquiry_end (cell, inquiry);
    }
  else
    end_with (cell, inquiry,
              state == MUX_JOB_CANCELLED ? MUX_RESPONSE_CANCELLED
                                         : MUX_RESPONSE_NO_JOB);
}

static void
job_found (MuxCell *cell, CellJobQuery *inquiry, const MuxCellReply *reply)
{
  char cancel[MUX_ROW_NAME_LEN];
  bool cancelled;

  snprintf (cancel, sizeof cancel, "%s" CANCEL_MARK, inquiry->id);
  cancelled = cell_reply_find_row (reply, cancel) != NULL;
  if (!cell_row_is_visible_to (&reply->row[0], &inquiry->caller))
    {
      end_with (cell, inquiry, MUX_RESPONSE_NO_JOB);
      return;
    }
  if (inquiry->verb == MUX_REQUEST_QUERY)
    {
      cell_respond_state (cell, inquiry->request_id, MUX_JOB_ACTIVE);
      inquiry_end (cell, inquiry);
      return;
    }
  if (cancelled)
    {
      end_with (cell, inquiry, MUX_RESPONSE_CANCELLED);
      return;
    }
  inquiry->version = reply->row[0].version;
  inquiry->phase = STEP_CANCEL;
  act (cell, inquiry);
}

static void
job_read (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellJobQuery *inquiry = find (cell, pending->context);

  if (inquiry == NULL)
    return;
  if (reply->status != MUX_CELL_OK)
    retry_later (cell, inquiry, STEP_JOB);
  else if (reply->row_count > 0 && strcmp (reply->row[0].key, inquiry->id) == 0)
    job_found (cell, inquiry, reply);
  else
    {
      inquiry->phase = STEP_ENDED;
      act (cell, inquiry);
    }
}

static json_t *
ask_json (const CellJobQuery *inquiry)
{
  json_t *json;

  if (inquiry->id[0] == 0)
    return json_pack ("{s:s}", "queue", inquiry->queue);
  json = json_pack ("{s:s}", "id", inquiry->id);
  if (inquiry->caller.is_restricted)
    (void) json_object_set_new (json, "workspace",
                                json_string (inquiry->caller.workspace));
  return json;
}

static void
ask_planner (MuxCell *cell, CellJobQuery *inquiry)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_JOB_QUERY, cell->claim.name);

  inquiry->next_ms = cell->time.now_ms + PLANNER_MS;
  if (cell->claim.incarnation == 0 || cell->role == CELL_PLANNING)
    return;
  msg.call_id = cell_peer_request_id (cell, inquiry->request_id);
  msg.body = cell_blob_from_json (ask_json (inquiry));
  (void) cell->options.sink->peer_send (cell->options.sink, cell->claim.addr,
                                        &msg);
  mux_blob_unref (msg.body);
}

/* Its claim was in doubt, or it has become the planner since. */
static bool
count_here (MuxCell *cell, CellJobQuery *inquiry)
{
  if (inquiry->id[0] != 0 || !cell_is_active_planner (cell))
    return false;
  answer_pending (cell, inquiry->request_id,
                  cell_queue_waiting (cell, inquiry->queue));
  inquiry_end (cell, inquiry);
  return true;
}

static void
act (MuxCell *cell, CellJobQuery *inquiry)
{
  bool sent = true;

  if (count_here (cell, inquiry))
    return;
  inquiry->next_ms = inquiry->deadline_ms;
  if (inquiry->phase == STEP_PLANNER)
    ask_planner (cell, inquiry);
  else if (inquiry->phase == STEP_JOB)
    sent = scan (cell, inquiry, MUX_TABLE_JOBS, job_read);
  else if (inquiry->phase == STEP_ENDED)
    sent = scan (cell, inquiry, MUX_TABLE_ENDED, ended_read);
  else
    sent = write_cancel (cell, inquiry);
  if (!sent)
    retry_later (cell, inquiry, STEP_JOB);
}

/*
 * The planner itself needs no call for what it has in memory.  A state is at
 * worst an old one there, as an end is shown only once it is stored.  A count
 * of waiting jobs is given only while the claim is trusted: without a bound a
 * planner that was replaced would go on to leave out what came since.
 */
static bool
answer_here (MuxCell *cell,
             const MuxRequest *question,
             const CellCaller *caller,
             const char *id,
             const char *queue)
{
  MuxJobState state;

  if (cell->role != CELL_PLANNING || question->verb != MUX_REQUEST_QUERY)
    return false;
  if (id[0] == 0)
    {
      if (!cell_is_active_planner (cell))
        return false;
      answer_pending (cell, question->call_id,
                      cell_queue_waiting (cell, queue));
      return true;
    }
  if (!cell_job_state (cell, caller, id, &state))
    return false;
  cell_respond_state (cell, question->call_id, state);
  return true;
}

void
cell_job_query_begin (MuxCell *cell,
                      const MuxRequest *question,
                      const CellCaller *caller,
                      const MuxQueueSpec *queue,
                      const char *id)
{
  CellJobQuery *inquiry;

  if (answer_here (cell, question, caller, id, queue->name))
    return;
  inquiry = calloc (1, sizeof *inquiry);
  if (inquiry == NULL)
    {
      cell_respond (cell, question->call_id, MUX_RESPONSE_REFUSED);
      return;
    }
  inquiry->request_id = question->call_id;
  inquiry->caller = *caller;
  inquiry->verb = question->verb;
  inquiry->deadline_ms = cell->time.now_ms + question->timeout_ms - ANSWER_MS;
  snprintf (inquiry->id, sizeof inquiry->id, "%s", id);
  snprintf (inquiry->queue, sizeof inquiry->queue, "%s", queue->name);
  if (question->verb == MUX_REQUEST_CANCEL
      || (cell->role == CELL_PLANNING && id[0] != 0))
    inquiry->phase = STEP_JOB;
  HASH_ADD (hh, cell->job_queries, request_id, sizeof inquiry->request_id,
            inquiry);
  act (cell, inquiry);
}

static void
overdue (MuxCell *cell, CellJobQuery *inquiry)
{
  bool job = inquiry->id[0] != 0;

  if (cell->time.now_ms >= inquiry->deadline_ms)
    end_with (cell, inquiry,
              inquiry->outcome_unknown ? MUX_RESPONSE_UNKNOWN
                                       : MUX_RESPONSE_REFUSED);
  else if (!cell_store_available (cell) && !inquiry->outcome_unknown
           && inquiry->phase != STEP_PLANNER)
    end_with (cell, inquiry, MUX_RESPONSE_REFUSED);
  else
    {
      if (inquiry->phase == STEP_PLANNER && job)
        inquiry->phase = STEP_JOB;
      act (cell, inquiry);
    }
}

void
cell_job_queries_tick (MuxCell *cell)
{
  CellJobQuery *inquiry;
  CellJobQuery *next;

  HASH_ITER (hh, cell->job_queries, inquiry, next)
  if (cell->time.now_ms >= inquiry->next_ms
      || cell->time.now_ms >= inquiry->deadline_ms)
    overdue (cell, inquiry);
}

static CellCaller
read_caller (const json_t *json)
{
  const char *workspace
      = json_string_value (json_object_get (json, "workspace"));
  CellCaller caller = { .is_restricted = workspace != NULL };

  if (workspace != NULL)
    (void) mux_name_copy (caller.workspace, workspace);
  return caller;
}

static void
tell (MuxCell *cell, const MuxPeerMsg *msg)
{
  MuxPeerMsg told = cell_message (cell, MUX_PEER_JOB_REPLY, msg->from);
  json_t *json = cell_json_from_blob (msg->body);
  const char *id = json_string_value (json_object_get (json, "id"));
  const char *queue = json_string_value (json_object_get (json, "queue"));
  CellCaller caller = read_caller (json);
  MuxJobState state = MUX_JOB_ABSENT;

  told.call_id = msg->call_id;
  if (id != NULL)
    told.found = cell_job_state (cell, &caller, id, &state);
  else if (queue != NULL)
    {
      told.found = true;
      told.queued = cell_queue_waiting (cell, queue);
    }
  told.job_state = state;
  json_decref (json);
  /* A count that is not to be trusted is asked for again. */
  if (id != NULL || cell_is_active_planner (cell))
    (void) cell->options.sink->peer_send (cell->options.sink, msg->from_addr,
                                          &told);
}

static void
take (MuxCell *cell, const MuxPeerMsg *msg)
{
  CellJobQuery *inquiry
      = find (cell, cell_peer_request_caller (cell, msg->call_id));

  if (inquiry == NULL || inquiry->phase != STEP_PLANNER)
    return;
  if (!msg->found)
    {
      inquiry->phase = STEP_JOB;
      act (cell, inquiry);
      return;
    }
  if (inquiry->id[0] == 0)
    answer_pending (cell, inquiry->request_id, msg->queued);
  else
    cell_respond_state (cell, inquiry->request_id,
                        (MuxJobState) msg->job_state);
  inquiry_end (cell, inquiry);
}

void
cell_job_query_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (msg->verb == MUX_PEER_JOB_REPLY)
    take (cell, msg);
  else if (cell->role == CELL_PLANNING)
    tell (cell, msg);
}

void
cell_job_queries_free (MuxCell *cell)
{
  CellJobQuery *inquiry;
  CellJobQuery *next;

  HASH_ITER (hh, cell->job_queries, inquiry, next)
  inquiry_end (cell, inquiry);
}
