#include "port/cell.h"

#include <stdlib.h>

MuxCellCall *
mux_cell_call_new (MuxCellVerb verb)
{
  MuxCellCall *call = calloc (1, sizeof *call);

  if (call != NULL)
    call->verb = verb;
  return call;
}

bool
mux_cell_call_alloc_changes (MuxCellCall *call, uint32_t count)
{
  call->change = calloc (count > 0 ? count : 1, sizeof *call->change);
  return call->change != NULL;
}

void
mux_cell_call_free (MuxCellCall *call)
{
  if (call == NULL)
    return;
  for (uint32_t i = 0; i < call->change_count; i++)
    mux_blob_unref (call->change[i].value);
  free (call->change);
  free (call->candidate);
  mux_blob_unref (call->payload);
  mux_blob_unref (call->checkpoint);
  mux_blob_unref (call->proof);
  free (call);
}

MuxCellReply *
mux_cell_reply_new (const MuxCellCall *call, MuxCellStatus status)
{
  MuxCellReply *reply = calloc (1, sizeof *reply);

  if (reply == NULL)
    return NULL;
  reply->verb = call->verb;
  reply->call_id = call->call_id;
  reply->status = status;
  return reply;
}

bool
mux_cell_reply_alloc_rows (MuxCellReply *reply, uint32_t count)
{
  reply->row = calloc (count > 0 ? count : 1, sizeof *reply->row);
  return reply->row != NULL;
}

void
mux_approvals_free (MuxApproval *approvals, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    mux_blob_unref (approvals[i].proof);
  free (approvals);
}

void
mux_cell_reply_free (MuxCellReply *reply)
{
  if (reply == NULL)
    return;
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      mux_blob_unref (reply->row[i].value);
      mux_queue_config_free (reply->row[i].config);
      free (reply->row[i].worker);
    }
  free (reply->row);
  for (uint32_t i = 0; i < reply->report_count; i++)
    mux_blob_unref (reply->report[i].checkpoint);
  free (reply->report);
  mux_approvals_free (reply->approval, reply->approval_count);
  free (reply);
}

const char *
mux_cell_verb_name (MuxCellVerb verb)
{
  static const char *const names[] = {
    [MUX_CELL_COMMIT] = "commit",
    [MUX_CELL_SCAN] = "scan",
    [MUX_CELL_FEED] = "feed",
    [MUX_CELL_START] = "start",
    [MUX_CELL_STOP] = "stop",
    [MUX_CELL_RENEW] = "renew",
    [MUX_CELL_QUERY_APPROVAL] = "query_approval",
    [MUX_CELL_PACE] = "pace",
  };

  return (uint32_t) verb <= MUX_CELL_PACE ? names[verb] : "?";
}

/* The texts of both tables stand in log lines, so they don't follow the names
 * of the values. */
const char *
mux_cell_status_name (MuxCellStatus status)
{
  static const char *const names[] = {
    [MUX_CELL_OK] = "ok",
    [MUX_CELL_CONFLICT] = "conflict",
    [MUX_CELL_NOT_DONE] = "not_done",
    [MUX_CELL_UNKNOWN] = "unknown",
    [MUX_CELL_HISTORY_GONE] = "history_gone",
    [MUX_CELL_OTHER_INCARNATION] = "other_life",
    [MUX_CELL_FENCED] = "fenced",
    [MUX_CELL_OLD_RUN] = "old_run",
    [MUX_CELL_PAST_DEADLINE] = "late",
    [MUX_CELL_NO_ROOM] = "no_room",
    [MUX_CELL_PROOF_REFUSED] = "unproven",
    [MUX_CELL_BAD_REQUEST] = "bad",
  };

  return (uint32_t) status <= MUX_CELL_BAD_REQUEST ? names[status] : "?";
}

const char *
mux_run_end_name (MuxRunEnd end)
{
  static const char *const names[] = {
    [MUX_RUN_DONE] = "done",          [MUX_RUN_FAILED] = "failed",
    [MUX_RUN_STOPPED] = "stopped",    [MUX_RUN_LEASE_EXPIRED] = "lapsed",
    [MUX_RUN_GANG_BROKEN] = "broken", [MUX_RUN_GANG_INCOMPLETE] = "alone"
  };

  return (uint32_t) end <= MUX_RUN_GANG_INCOMPLETE ? names[end] : "?";
}

void
mux_request_free (MuxRequest *request)
{
  if (request == NULL)
    return;
  mux_job_free (request->job);
  free (request->host);
  free (request->path);
  free (request);
}
