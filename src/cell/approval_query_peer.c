#include "progress_fields.h"
#include "token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Messages of approval queries between the planner and the daemons that put
 * them to the policy service for it.
 *
 * The previous version cuts proofs.  So a query and its reply say that their
 * sender does not ("whole_proofs"): a reply without that may hold a cut proof,
 * and one to a query without it leaves out proofs that would be cut.
 */

/* Return: false unless it is a number from 0 to UINT32_MAX. */
static bool
read_u32 (const json_t *json, const char *field, uint32_t *value)
{
  const json_t *number = json_object_get (json, field);

  *value = (uint32_t) json_integer_value (number);
  return cell_integer_in_range (number, 0, UINT32_MAX);
}

/* Return: false: a field is missing, too long or out of range. */
static bool
read_query (const json_t *query, MuxCellCall *call)
{
  const json_t *workers = json_object_get (query, "workers");
  const char *job = json_string_value (json_object_get (query, "job"));

  if (job == NULL || !mux_job_id_valid (job)
      || !read_u32 (query, "occurrence", &call->task.occurrence)
      || !read_u32 (query, "step", &call->task.step)
      || !read_u32 (query, "timeout_ms", &call->timeout_ms))
    return false;
  snprintf (call->task.job, sizeof call->task.job, "%s", job);
  for (uint32_t i = 0; i < call->candidate_count; i++)
    {
      const char *id = json_string_value (json_array_get (workers, i));

      if (id == NULL || !mux_name_copy (call->candidate[i], id))
        return false;
    }
  return true;
}

MuxCellCall *
cell_approval_query_call (const json_t *query)
{
  size_t count = json_array_size (json_object_get (query, "workers"));
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_QUERY_APPROVAL);

  if (call == NULL)
    return NULL;
  call->candidate = calloc (count > 0 ? count : 1, sizeof *call->candidate);
  call->candidate_count = (uint32_t) count;
  if (call->candidate != NULL && read_query (query, call))
    return call;
  mux_cell_call_free (call);
  return NULL;
}

static void
send_reply (MuxCell *cell,
            const char *name,
            const char *addr,
            uint64_t number,
            json_t *body,
            bool answered)
{
  MuxPeerMsg msg = cell_message (cell, MUX_PEER_APPROVAL_REPLY, name);

  msg.call_id = number;
  msg.found = answered;
  msg.body = cell_blob_from_json (body);
  (void) cell->options.sink->peer_send (cell->options.sink, addr, &msg);
  mux_blob_unref (msg.body);
}

static void
query_reply (MuxCell *cell,
             const CellPending *pending,
             const MuxCellReply *reply)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < reply->approval_count; i++)
    if (pending->whole_tokens || cell_token_is_short (reply->approval[i].proof))
      (void) json_array_append_new (
          list, json_pack ("[ss]", reply->approval[i].worker,
                           reply->approval[i].proof->bytes));
  send_reply (cell, pending->peer, pending->peer_addr, pending->context,
              json_pack ("{s:I, s:o, s:b}", "valid_ms",
                         (json_int_t) reply->valid_ms, "approved", list,
                         "whole_proofs", (int) pending->whole_tokens),
              reply->status == MUX_CELL_OK);
}

static void
query_for_planner (MuxCell *cell, const MuxPeerMsg *msg)
{
  json_t *query = cell_json_from_blob (msg->body);
  CellPending pending = { .on_reply = query_reply,
                          .context = msg->call_id,
                          .whole_tokens = json_is_true (
                              json_object_get (query, "whole_proofs")) };

  snprintf (pending.peer, sizeof pending.peer, "%s", msg->from);
  snprintf (pending.peer_addr, sizeof pending.peer_addr, "%s", msg->from_addr);
  if (!cell_call (cell, cell_approval_query_call (query), &pending))
    send_reply (cell, msg->from, msg->from_addr, msg->call_id, json_object (),
                false);
  json_decref (query);
}

/* Return: false: the row can't be used, or out of memory. */
static bool
read_approval (const json_t *row, bool whole, MuxApproval *approval)
{
  const char *id = json_string_value (json_array_get (row, 0));
  const char *proof = json_string_value (json_array_get (row, 1));

  if (id == NULL || proof == NULL || !mux_name_copy (approval->worker, id))
    return false;
  approval->proof = mux_blob_new (proof, strlen (proof));
  return approval->proof != NULL
         && (whole ? cell_proof_fits (approval->proof)
                   : cell_token_is_short (approval->proof));
}

/* One approval that can't be used makes the reply an unanswered query, which
 * goes to another daemon next. */
static void
receive_reply (MuxCell *cell, const MuxPeerMsg *msg)
{
  json_t *json = cell_json_from_blob (msg->body);
  const json_t *list = json_object_get (json, "approved");
  bool whole = json_is_true (json_object_get (json, "whole_proofs"));
  const json_t *valid = json_object_get (json, "valid_ms");
  uint32_t count = (uint32_t) json_array_size (list);
  MuxApproval *approvals = calloc (count > 0 ? count : 1, sizeof *approvals);
  bool ok = msg->found && approvals != NULL
            && cell_integer_in_range (valid, 0, UINT32_MAX);

  for (uint32_t i = 0; ok && i < count; i++)
    ok = read_approval (json_array_get (list, i), whole, &approvals[i]);
  cell_approval_query_done (cell, msg->call_id, ok, approvals, ok ? count : 0,
                            ok ? (uint32_t) json_integer_value (valid) : 0);
  if (approvals != NULL)
    mux_approvals_free (approvals, count);
  json_decref (json);
}

void
cell_approval_peer (MuxCell *cell, const MuxPeerMsg *msg)
{
  if (msg->verb == MUX_PEER_APPROVAL_QUERY)
    query_for_planner (cell, msg);
  else
    receive_reply (cell, msg);
}
