#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Calls to workers and their ends as they travel between daemons: arrays, in
 * the order of the lines below, since there are thousands a second. */

enum
{
  CALL_VERB,
  CALL_TIMEOUT,
  CALL_ADDR,
  CALL_WORKER,
  CALL_TASK,
  CALL_RUN = CALL_TASK + 4,
  CALL_FENCE,
  CALL_LEASE,
  CALL_ACKED,
  CALL_WAIT,
  CALL_CHECKPOINT,
  CALL_PROOF,
  CALL_PAYLOAD,
  CALL_FIELDS
};

enum
{
  REPORT_TASK,
  REPORT_RUN = REPORT_TASK + 4,
  REPORT_PERCENT,
  REPORT_USAGE,
  REPORT_NUMBER,
  REPORT_END,
  REPORT_CHECKPOINT
};

static void
add_number (json_t *list, int64_t value)
{
  (void) json_array_append_new (list, json_integer (value));
}

static void
add_text (json_t *list, const char *value)
{
  (void) json_array_append_new (list, json_string (value));
}

static void
add_task (json_t *list, const MuxTaskRef *task)
{
  add_text (list, task->job);
  add_number (list, task->occurrence);
  add_number (list, task->step);
  add_number (list, task->index);
}

static int64_t
number_at (const json_t *list, size_t i)
{
  return json_integer_value (json_array_get (list, i));
}

static void
text_at (const json_t *list, size_t i, char *text, size_t size)
{
  const char *value = json_string_value (json_array_get (list, i));

  snprintf (text, size, "%s", value != NULL ? value : "");
}

static void
task_at (const json_t *list, size_t i, MuxTaskRef *task)
{
  text_at (list, i, task->job, sizeof task->job);
  task->occurrence = (uint32_t) number_at (list, i + 1);
  task->step = (uint32_t) number_at (list, i + 2);
  task->index = (uint32_t) number_at (list, i + 3);
}

json_t *
cell_carried_call_json (const MuxCellCall *call)
{
  json_t *list = json_array ();

  add_number (list, call->verb);
  add_number (list, call->timeout_ms);
  add_text (list, call->addr);
  add_text (list, call->worker);
  add_task (list, &call->task);
  add_number (list, call->run);
  add_number (list, (int64_t) call->fence);
  add_number (list, call->lease_until_ms);
  add_number (list, (int64_t) call->acked);
  add_number (list, call->wait_ms);
  add_text (list, call->checkpoint);
  add_text (list, call->proof);
  add_text (list, call->payload != NULL ? call->payload->bytes : "");
  return list;
}

MuxCellCall *
cell_carried_call (const json_t *json)
{
  int64_t verb = number_at (json, CALL_VERB);
  const char *payload = json_string_value (json_array_get (json, CALL_PAYLOAD));
  MuxCellCall *call;

  if (json_array_size (json) != CALL_FIELDS || payload == NULL
      || (verb != MUX_CELL_START && verb != MUX_CELL_STOP
          && verb != MUX_CELL_RENEW))
    return NULL;
  call = mux_cell_call_new ((MuxCellVerb) verb);
  if (call == NULL)
    return NULL;
  call->timeout_ms = (uint32_t) number_at (json, CALL_TIMEOUT);
  text_at (json, CALL_ADDR, call->addr, sizeof call->addr);
  text_at (json, CALL_WORKER, call->worker, sizeof call->worker);
  task_at (json, CALL_TASK, &call->task);
  call->run = (uint32_t) number_at (json, CALL_RUN);
  call->fence = (uint64_t) number_at (json, CALL_FENCE);
  call->lease_until_ms = number_at (json, CALL_LEASE);
  call->acked = (uint64_t) number_at (json, CALL_ACKED);
  call->wait_ms = (uint32_t) number_at (json, CALL_WAIT);
  text_at (json, CALL_CHECKPOINT, call->checkpoint, sizeof call->checkpoint);
  text_at (json, CALL_PROOF, call->proof, sizeof call->proof);
  call->payload = mux_blob_new (payload, strlen (payload));
  if (call->payload != NULL && call->addr[0] != 0)
    return call;
  mux_cell_call_free (call);
  return NULL;
}

static json_t *
report_json (const MuxRunReport *report)
{
  json_t *list = json_array ();

  add_task (list, &report->task);
  add_number (list, report->run);
  add_number (list, report->percent);
  add_number (list, report->usage);
  add_number (list, (int64_t) report->number);
  add_number (list, report->end);
  add_text (list, report->checkpoint);
  return list;
}

static void
read_report (const json_t *list, MuxRunReport *report)
{
  int64_t end = number_at (list, REPORT_END);

  task_at (list, REPORT_TASK, &report->task);
  report->run = (uint32_t) number_at (list, REPORT_RUN);
  report->percent = (uint32_t) number_at (list, REPORT_PERCENT);
  report->usage = (uint32_t) number_at (list, REPORT_USAGE);
  report->number = (uint64_t) number_at (list, REPORT_NUMBER);
  report->end
      = end >= 0 && end <= MUX_RUN_ALONE ? (MuxRunEnd) end : MUX_RUN_LAPSED;
  text_at (list, REPORT_CHECKPOINT, report->checkpoint,
           sizeof report->checkpoint);
}

json_t *
cell_carried_reply_json (const MuxCellReply *reply)
{
  json_t *reports = json_array ();

  for (uint32_t i = 0; i < reply->report_count; i++)
    (void) json_array_append_new (reports, report_json (&reply->report[i]));
  return json_pack ("[iiIo]", (int) reply->verb, (int) reply->status,
                    (json_int_t) reply->clock_ms, reports);
}

MuxCellReply *
cell_carried_reply (const json_t *json, uint64_t call_id)
{
  MuxCellCall call
      = { .verb = (MuxCellVerb) number_at (json, 0), .call_id = call_id };
  int64_t status = number_at (json, 1);
  const json_t *reports = json_array_get (json, 3);
  MuxCellReply *reply;

  if (!json_is_array (reports) || status < 0 || status > MUX_CELL_BAD)
    return NULL;
  reply = mux_cell_reply_new (&call, (MuxCellStatus) status);
  if (reply == NULL)
    return NULL;
  reply->clock_ms = number_at (json, 2);
  reply->report = calloc (json_array_size (reports) + 1, sizeof *reply->report);
  if (reply->report == NULL)
    {
      mux_cell_reply_free (reply);
      return NULL;
    }
  reply->report_count = (uint32_t) json_array_size (reports);
  for (uint32_t i = 0; i < reply->report_count; i++)
    read_report (json_array_get (reports, i), &reply->report[i]);
  return reply;
}
