#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Queries and cancels of callers.  A query goes to the planner, and to the
 * store if the planner does not answer; a cancel is written to the store.
 */

/* The planner answers from memory within a few ms.  Without its reply for
 * this long the store is read instead. */
#define PLANNER_TIMEOUT_MS 250
/* After a call that failed. */
#define RETRY_MS 80
/* A caller is answered this long before it stops waiting. */
#define RESPONSE_MARGIN_MS 150
/* End of the key range that holds a job and its cancel: '~' sorts after both.
 */
#define KEY_RANGE_END "~"
/* The key of a job's cancel is the job's id with this behind it. */
#define CANCEL_SUFFIX "!"

/* Next call of a query: CellJobQuery.phase.  A query begins with the planner,
 * then reads the two rows; a cancel, or a query at the planner itself, begins
 * with the job's row. */
enum
{
  PHASE_PLANNER, /* ask the planner */
  PHASE_JOB,     /* read the job's row */
  PHASE_ENDED,   /* read the row of its end */
  PHASE_CANCEL   /* write the cancel */
};

static void send_next_call (MuxCell *cell, CellJobQuery *query);

void
cell_respond_state (MuxCell *cell, uint64_t request_id, MuxJobState state)
{
  MuxResponse reply = { .call_id = request_id,
                        .outcome = MUX_RESPONSE_STATE,
                        .state = state };

  cell->options.sink->respond (cell->options.sink, &reply);
}

static void
respond_waiting_count (MuxCell *cell, uint64_t request_id, uint32_t pending)
{
  MuxResponse reply = { .call_id = request_id,
                        .outcome = MUX_RESPONSE_PENDING,
                        .pending = pending };

  cell->options.sink->respond (cell->options.sink, &reply);
}

static void
query_free (MuxCell *cell, CellJobQuery *query)
{
  HASH_DEL (cell->job_queries, query);
  free (query);
}

static void
finish (MuxCell *cell, CellJobQuery *query, MuxResponseOutcome outcome)
{
  if (query->verb == MUX_REQUEST_CANCEL)
    cell_log (cell, "cancel", "{s:s, s:i}", "job", query->id, "outcome",
              (int) outcome);
  else if (outcome != MUX_RESPONSE_NO_JOB || query->id[0] != 0)
    cell_log (cell, "state_refused", "{s:s, s:s, s:i}", "job", query->id, "why",
              outcome == MUX_RESPONSE_NO_JOB ? "no_job" : "no_answer",
              "outcome", (int) outcome);
  cell_respond (cell, query->request_id, outcome);
  query_free (cell, query);
}

static CellJobQuery *
find (MuxCell *cell, uint64_t request_id)
{
  CellJobQuery *query;

  HASH_FIND (hh, cell->job_queries, &request_id, sizeof request_id, query);
  return query;
}

static void
retry_later (MuxCell *cell, CellJobQuery *query, uint32_t step)
{
  query->phase = step;
  query->next_ms = cell->time.now_ms + RETRY_MS;
}

static bool
scan_job (MuxCell *cell,
          CellJobQuery *query,
          MuxCellTable table,
          CellReplyHandler done)
{
  MuxCellCall *call
      = cell_scan_call (table, cell->part[cell_part_of (query->id)].name);
  CellPending pending = { .on_reply = done, .context = query->request_id };

  if (call == NULL)
    return false;
  snprintf (call->from, sizeof call->from, "%s", query->id);
  snprintf (call->to, sizeof call->to, "%s" KEY_RANGE_END, query->id);
  return cell_call (cell, call, &pending);
}

/* The planner need not wait for its feed to show a cancel that it has written
 * itself. */
static void
cancel_own (MuxCell *cell, const char *id)
{
  CellJob *job = cell->role == CELL_PLANNING ? cell_job_find (cell, id) : NULL;

  if (job != NULL)
    cell_job_cancel (cell, job);
}

static void
cancel_written (MuxCell *cell,
                const CellPending *pending,
                const MuxCellReply *reply)
{
  CellJobQuery *query = find (cell, pending->context);

  if (query == NULL)
    return;
  if (reply->status == MUX_CELL_OK)
    {
      cancel_own (cell, query->id);
      finish (cell, query, MUX_RESPONSE_CANCELLED);
      return;
    }
  if (reply->status == MUX_CELL_UNKNOWN)
    query->outcome_unknown = true;
  /* The job has ended, or its cancel is stored: read which. */
  retry_later (cell, query, PHASE_JOB);
}

static bool
write_cancel (MuxCell *cell, CellJobQuery *query)
{
  MuxCellCall *call
      = cell_commit_call (cell->part[cell_part_of (query->id)].name, 2);
  CellPending pending
      = { .on_reply = cancel_written, .context = query->request_id };
  char key[MUX_ROW_NAME_LEN];

  if (call == NULL)
    return false;
  cell_call_expect (call, MUX_TABLE_JOBS, query->id, query->version);
  snprintf (key, sizeof key, "%s" CANCEL_SUFFIX, query->id);
  cell_call_add_change (call, MUX_CHANGE_PUT, MUX_TABLE_JOBS, key)->value
      = mux_blob_new ("{}", 2);
  return cell_call (cell, call, &pending);
}

/* Return: false: the row does not say how the job ended. */
static bool
read_end_state (MuxCell *cell, const MuxCellRow *row, MuxJobState *state)
{
  json_t *json = cell_row_json (cell, row);
  bool valid = mux_job_state_parse (
                   json_string_value (json_object_get (json, "state")), state)
               && (*state == MUX_JOB_COMPLETED || *state == MUX_JOB_FAILED
                   || *state == MUX_JOB_CANCELLED);

  if (json != NULL && !valid)
    cell_report_bad_row (cell, row, CELL_ROW_BAD_FIELD, "state");
  json_decref (json);
  return valid;
}

static void
ended_read (MuxCell *cell,
            const CellPending *pending,
            const MuxCellReply *reply)
{
  CellJobQuery *query = find (cell, pending->context);
  const MuxCellRow *row;
  MuxJobState state = MUX_JOB_ABSENT;

  if (query == NULL)
    return;
  if (reply->status != MUX_CELL_OK)
    {
      /* The job may end between the two reads: begin with the first. */
      retry_later (cell, query, PHASE_JOB);
      return;
    }
  row = cell_reply_find_row (reply, query->id);
  if (row == NULL || !cell_row_is_visible_to (row, &query->caller))
    {
      finish (cell, query, MUX_RESPONSE_NO_JOB);
      return;
    }
  if (!read_end_state (cell, row, &state))
    /* How it ended is not readable.  "No such job" would make the caller of a
     * query submit it again; for a cancel it is true that there is no job to
     * cancel. */
    finish (cell, query,
            query->verb == MUX_REQUEST_QUERY ? MUX_RESPONSE_REFUSED
                                             : MUX_RESPONSE_NO_JOB);
  else if (query->verb == MUX_REQUEST_QUERY)
    {
      cell_respond_state (cell, query->request_id, state);
      query_free (cell, query);
    }
  else
    finish (cell, query,
            state == MUX_JOB_CANCELLED ? MUX_RESPONSE_CANCELLED
                                       : MUX_RESPONSE_NO_JOB);
}

static void
job_found (MuxCell *cell, CellJobQuery *query, const MuxCellReply *reply)
{
  char cancel[MUX_ROW_NAME_LEN];
  bool cancelled;

  snprintf (cancel, sizeof cancel, "%s" CANCEL_SUFFIX, query->id);
  cancelled = cell_reply_find_row (reply, cancel) != NULL;
  if (!cell_row_is_visible_to (&reply->row[0], &query->caller))
    {
      finish (cell, query, MUX_RESPONSE_NO_JOB);
      return;
    }
  if (query->verb == MUX_REQUEST_QUERY)
    {
      cell_respond_state (cell, query->request_id, MUX_JOB_ACTIVE);
      query_free (cell, query);
      return;
    }
  if (cancelled)
    {
      finish (cell, query, MUX_RESPONSE_CANCELLED);
      return;
    }
  query->version = reply->row[0].version;
  query->phase = PHASE_CANCEL;
  send_next_call (cell, query);
}

static void
job_read (MuxCell *cell, const CellPending *pending, const MuxCellReply *reply)
{
  CellJobQuery *query = find (cell, pending->context);

  if (query == NULL)
    return;
  if (reply->status != MUX_CELL_OK)
    retry_later (cell, query, PHASE_JOB);
  else if (reply->row_count > 0 && strcmp (reply->row[0].key, query->id) == 0)
    job_found (cell, query, reply);
  else
    {
      query->phase = PHASE_ENDED;
      send_next_call (cell, query);
    }
}

static json_t *
query_json (const CellJobQuery *query)
{
  json_t *json;

  if (query->id[0] == 0)
    return json_pack ("{s:s}", "queue", query->queue);
  json = json_pack ("{s:s}", "id", query->id);
  if (query->caller.is_restricted)
    (void) json_object_set_new (json, "workspace",
                                json_string (query->caller.workspace));
  return json;
}

static void
query_planner (MuxCell *cell, CellJobQuery *query)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_JOB_QUERY, cell->claim.name);

  query->next_ms = cell->time.now_ms + PLANNER_TIMEOUT_MS;
  if (cell->claim.incarnation == 0 || cell->role == CELL_PLANNING)
    return;
  msg.call_id = cell_peer_request_id (cell, query->request_id);
  msg.body = cell_blob_from_json (query_json (query));
  (void) cell->options.sink->peer_send (cell->options.sink, cell->claim.addr,
                                        &msg);
  mux_blob_unref (msg.body);
}

/* The count is this daemon's own if it has become the planner since, or its
 * claim is no longer in doubt. */
static bool
respond_own_count (MuxCell *cell, CellJobQuery *query)
{
  if (query->id[0] != 0 || !cell_is_active_planner (cell))
    return false;
  respond_waiting_count (cell, query->request_id,
                         cell_queue_waiting (cell, query->queue));
  query_free (cell, query);
  return true;
}

static void
send_next_call (MuxCell *cell, CellJobQuery *query)
{
  bool sent = true;

  if (respond_own_count (cell, query))
    return;
  query->next_ms = query->deadline_ms;
  if (query->phase == PHASE_PLANNER)
    query_planner (cell, query);
  else if (query->phase == PHASE_JOB)
    sent = scan_job (cell, query, MUX_TABLE_JOBS, job_read);
  else if (query->phase == PHASE_ENDED)
    sent = scan_job (cell, query, MUX_TABLE_ENDED, ended_read);
  else
    sent = write_cancel (cell, query);
  if (!sent)
    retry_later (cell, query, PHASE_JOB);
}

/*
 * The planner answers from memory.  A state there is at worst outdated, as an
 * end is shown only once it is stored.  A count of waiting jobs is given only
 * while the claim is valid: a planner that has been replaced would leave out,
 * without limit, the jobs accepted since.
 */
static bool
respond_from_memory (MuxCell *cell,
                     const MuxRequest *request,
                     const CellCaller *caller,
                     const char *id,
                     const char *queue)
{
  MuxJobState state;

  if (cell->role != CELL_PLANNING || request->verb != MUX_REQUEST_QUERY)
    return false;
  if (id[0] == 0)
    {
      if (!cell_is_active_planner (cell))
        return false;
      respond_waiting_count (cell, request->call_id,
                             cell_queue_waiting (cell, queue));
      return true;
    }
  if (!cell_job_state (cell, caller, id, &state))
    return false;
  cell_respond_state (cell, request->call_id, state);
  return true;
}

void
cell_job_query_begin (MuxCell *cell,
                      const MuxRequest *request,
                      const CellCaller *caller,
                      const MuxQueueSpec *queue,
                      const char *id)
{
  CellJobQuery *query;

  if (respond_from_memory (cell, request, caller, id, queue->name))
    return;
  query = calloc (1, sizeof *query);
  if (query == NULL)
    {
      cell_respond (cell, request->call_id, MUX_RESPONSE_REFUSED);
      return;
    }
  query->request_id = request->call_id;
  query->caller = *caller;
  query->verb = request->verb;
  query->deadline_ms
      = cell->time.now_ms + request->timeout_ms - RESPONSE_MARGIN_MS;
  snprintf (query->id, sizeof query->id, "%s", id);
  snprintf (query->queue, sizeof query->queue, "%s", queue->name);
  if (request->verb == MUX_REQUEST_CANCEL
      || (cell->role == CELL_PLANNING && id[0] != 0))
    query->phase = PHASE_JOB;
  HASH_ADD (hh, cell->job_queries, request_id, sizeof query->request_id, query);
  send_next_call (cell, query);
}

static void
handle_timeout (MuxCell *cell, CellJobQuery *query)
{
  bool job = query->id[0] != 0;

  if (cell->time.now_ms >= query->deadline_ms)
    finish (cell, query,
            query->outcome_unknown ? MUX_RESPONSE_UNKNOWN
                                   : MUX_RESPONSE_REFUSED);
  else if (!cell_store_available (cell) && !query->outcome_unknown
           && query->phase != PHASE_PLANNER)
    finish (cell, query, MUX_RESPONSE_REFUSED);
  else
    {
      if (query->phase == PHASE_PLANNER && job)
        query->phase = PHASE_JOB;
      send_next_call (cell, query);
    }
}

void
cell_job_queries_tick (MuxCell *cell)
{
  CellJobQuery *query;
  CellJobQuery *next;

  HASH_ITER (hh, cell->job_queries, query, next)
  if (cell->time.now_ms >= query->next_ms
      || cell->time.now_ms >= query->deadline_ms)
    handle_timeout (cell, query);
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
answer_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  MuxPeerMsg reply = cell_message (cell, MUX_PEER_JOB_REPLY, msg->from);
  json_t *json = cell_json_from_blob (msg->body);
  const char *id = json_string_value (json_object_get (json, "id"));
  const char *queue = json_string_value (json_object_get (json, "queue"));
  CellCaller caller = read_caller (json);
  MuxJobState state = MUX_JOB_ABSENT;

  reply.call_id = msg->call_id;
  if (id != NULL)
    reply.found = cell_job_state (cell, &caller, id, &state);
  else if (queue != NULL)
    {
      reply.found = true;
      reply.queued = cell_queue_waiting (cell, queue);
    }
  reply.job_state = state;
  json_decref (json);
  /* Without a valid claim no count is sent, and the peer asks again. */
  if (id != NULL || cell_is_active_planner (cell))
    (void) cell->options.sink->peer_send (cell->options.sink, msg->from_addr,
                                          &reply);
}

static void
take_planner_reply (MuxCell *cell, const MuxPeerMsg *msg)
{
  CellJobQuery *query
      = find (cell, cell_peer_request_caller (cell, msg->call_id));

  if (query == NULL || query->phase != PHASE_PLANNER)
    return;
  if (!msg->found)
    {
      query->phase = PHASE_JOB;
      send_next_call (cell, query);
      return;
    }
  if (query->id[0] == 0)
    respond_waiting_count (cell, query->request_id, msg->queued);
  else
    cell_respond_state (cell, query->request_id, (MuxJobState) msg->job_state);
  query_free (cell, query);
}

void
cell_job_query_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (msg->verb == MUX_PEER_JOB_REPLY)
    take_planner_reply (cell, msg);
  else if (cell->role == CELL_PLANNING)
    answer_peer (cell, msg);
}

void
cell_job_queries_free (MuxCell *cell)
{
  CellJobQuery *query;
  CellJobQuery *next;

  HASH_ITER (hh, cell->job_queries, query, next)
  query_free (cell, query);
}
