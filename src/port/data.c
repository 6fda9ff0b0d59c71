#include "port/peer.h"
#include "port/table.h"
#include "port/worker.h"

#include <stdlib.h>
#include <string.h>

MuxTableCall *
mux_table_call_new (MuxTableVerb verb, uint32_t rows)
{
  MuxTableCall *call = calloc (1, sizeof *call + rows * sizeof call->rows[0]);

  if (call == NULL)
    return NULL;
  call->verb = verb;
  call->row_count = rows;
  return call;
}

static void
rows_unref (MuxRow *rows, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    mux_blob_unref (rows[i].value);
}

void
mux_table_call_free (MuxTableCall *call)
{
  if (call == NULL)
    return;
  rows_unref (call->rows, call->row_count);
  free (call);
}

MuxTableReply *
mux_table_reply_new (const MuxTableCall *call,
                     MuxTableStatus status,
                     uint32_t rows)
{
  MuxTableReply *reply
      = calloc (1, sizeof *reply + rows * sizeof reply->rows[0]);

  if (reply == NULL)
    return NULL;
  reply->call_id = call->call_id;
  reply->verb = call->verb;
  reply->status = status;
  reply->row_count = rows;
  return reply;
}

void
mux_table_reply_free (MuxTableReply *reply)
{
  if (reply == NULL)
    return;
  rows_unref (reply->rows, reply->row_count);
  free (reply);
}

MuxWorkerReply *
mux_worker_reply_new (const MuxWorkerCall *call,
                      MuxWorkerStatus status,
                      uint32_t reports)
{
  MuxWorkerReply *reply
      = calloc (1, sizeof *reply + reports * sizeof reply->reports[0]);

  if (reply == NULL)
    return NULL;
  reply->call_id = call->call_id;
  reply->verb = call->verb;
  reply->status = status;
  mux_name_copy (reply->worker, call->worker);
  reply->report_count = reports;
  return reply;
}

void
mux_worker_reply_free (MuxWorkerReply *reply)
{
  if (reply == NULL)
    return;
  mux_blob_unref (reply->result);
  free (reply);
}

static const char *const task_state_names[]
    = { "absent",  "running",   "done",     "failed",
        "stopped", "forgotten", "done_gone" };

const char *
mux_task_state_name (MuxTaskState state)
{
  return task_state_names[state];
}

bool
mux_task_state_parse (const char *text, MuxTaskState *state)
{
  for (int i = MUX_TASK_ABSENT; i <= MUX_TASK_DONE_GONE; i++)
    if (strcmp (text, task_state_names[i]) == 0)
      {
        *state = (MuxTaskState) i;
        return true;
      }
  return false;
}

const char *
mux_peer_verb_name (MuxPeerVerb verb)
{
  static const char *const names[MUX_PEER_VERB_COUNT]
      = { "heartbeat",    "grant_ask",  "grant",       "grant_refused",
          "grant_cancel", "grant_end",  "task_ended",  "handover",
          "config_hint",  "config_ask", "config_rows", "bye",
          "members",      "job_hint" };

  return names[verb];
}
