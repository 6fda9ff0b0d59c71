#include "standin/worker_wire.h"

#include "base/number.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *word;
  unsigned int http_status;
} StatusInfo;

static const char *const verb_words[] = {
  [MUX_WORKER_CLAIM] = "claim",           [MUX_WORKER_RENEW] = "renew",
  [MUX_WORKER_START] = "start",           [MUX_WORKER_FETCH] = "fetch",
  [MUX_WORKER_FORGET] = "forget",         [MUX_WORKER_STOP] = "stop",
  [MUX_WORKER_CHECKPOINT] = "checkpoint", [MUX_WORKER_THROTTLE] = "throttle",
  [MUX_WORKER_RELEASE] = "release"
};

static const StatusInfo status_info[]
    = { [MUX_WORKER_OK] = { "ok", 200 },
        [MUX_WORKER_OLD_EPOCH] = { "old_epoch", 409 },
        [MUX_WORKER_OLD_INCARNATION] = { "old_incarnation", 409 },
        [MUX_WORKER_PAST_DEADLINE] = { "late", 410 },
        [MUX_WORKER_TOMBSTONE] = { "tombstone", 409 },
        [MUX_WORKER_NO_ROOM] = { "no_room", 503 },
        [MUX_WORKER_IS_LEAVING] = { "leaving", 503 },
        [MUX_WORKER_BAD_REQUEST] = { "bad", 400 } };

/* An absent header is read as 0. */
static bool
read_number (const struct _u_request *request,
             const char *header,
             uint64_t max,
             uint64_t *out)
{
  const char *text = u_map_get_case (request->map_header, header);

  *out = 0;
  return text == NULL || mux_unsigned_parse (text, max, out);
}

static bool
read_u32 (const struct _u_request *request, const char *header, uint32_t *out)
{
  uint64_t n;
  bool good = read_number (request, header, UINT32_MAX, &n);

  *out = (uint32_t) n;
  return good;
}

static bool
read_name (const struct _u_request *request,
           const char *header,
           char out[MUX_NAME_LEN])
{
  const char *text = u_map_get_case (request->map_header, header);

  if (text == NULL || text[0] == 0)
    return true;
  return mux_name_valid (text) && mux_name_copy (out, text);
}

static bool
read_size (const struct _u_request *request, MuxSize *size)
{
  const char *text = u_map_get_case (request->map_header, "Cuminmux-Size");
  char end;

  if (text == NULL)
    return true;
  return sscanf (text, "%" SCNu32 ",%" SCNu32 ",%" SCNu32 ",%" SCNu32 "%c",
                 &size->cpu_milli, &size->mem_mib, &size->accels, &size->slots,
                 &end)
         == 4;
}

static bool
read_verb (const struct _u_request *request, MuxWorkerVerb *verb)
{
  const char *word = u_map_get (request->map_url, "verb");

  for (int i = MUX_WORKER_CLAIM; i <= MUX_WORKER_RELEASE; i++)
    if (word != NULL && strcmp (word, verb_words[i]) == 0)
      {
        *verb = (MuxWorkerVerb) i;
        return true;
      }
  return false;
}

static bool
needs_task (MuxWorkerVerb verb)
{
  return verb != MUX_WORKER_CLAIM && verb != MUX_WORKER_RENEW
         && verb != MUX_WORKER_RELEASE;
}

static bool
read_labels (const struct _u_request *request, MuxWorkerCall *call)
{
  const char *kind = u_map_get_case (request->map_header, "Cuminmux-Kind");

  return read_name (request, "Cuminmux-Worker", call->worker)
         && read_name (request, "Cuminmux-Owner", call->owner)
         && read_name (request, "Cuminmux-Class", call->class_name)
         && read_name (request, "Cuminmux-Home", call->home)
         && (kind == NULL || mux_kind_parse (kind, &call->kind))
         && read_size (request, &call->size);
}

bool
standin_worker_read_call (const struct _u_request *request, MuxWorkerCall *call)
{
  const char *id = u_map_get_case (request->map_header, "Cuminmux-Task");
  uint64_t not_after_ms;

  memset (call, 0, sizeof *call);
  if (!read_verb (request, &call->verb) || !read_labels (request, call)
      || !read_number (request, "Cuminmux-Epoch", UINT64_MAX, &call->epoch)
      || !read_number (request, "Cuminmux-Incarnation", UINT64_MAX,
                       &call->incarnation)
      || !read_number (request, "Cuminmux-Cursor", UINT64_MAX, &call->cursor)
      || !read_number (request, "Cuminmux-Not-After", INT64_MAX, &not_after_ms)
      || !read_u32 (request, "Cuminmux-Lease-Ms", &call->lease_ms)
      || !read_u32 (request, "Cuminmux-Wait-Ms", &call->wait_ms)
      || !read_u32 (request, "Cuminmux-Run-Ms", &call->run_ms))
    return false;
  call->not_after_ms = (int64_t) not_after_ms;
  if (needs_task (call->verb)
      && (id == NULL || !mux_id_parse (id, &call->task)
          || mux_id_is_none (call->task)))
    return false;
  if (call->verb != MUX_WORKER_START)
    return true;
  call->body = mux_blob_new (request->binary_body, request->binary_body_length);
  return call->body != NULL;
}

static void
put_number (struct _u_response *response, const char *header, uint64_t n)
{
  char text[24];

  snprintf (text, sizeof text, "%" PRIu64, n);
  u_map_put (response->map_header, header, text);
}

static json_t *
report_to_json (const MuxTaskReport *report)
{
  char id[MUX_ID_HEX_LEN];

  mux_id_format (report->task, id);
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:o,s:o,s:I}", "task", id, "state",
      mux_task_state_name (report->state), "class", report->class_name, "home",
      report->home, "kind", mux_kind_name (report->kind), "size",
      mux_size_to_json (report->size), "used", mux_size_to_json (report->used),
      "ran_ms", (json_int_t) report->ran_ms);
}

static void
write_list (const MuxWorkerReply *reply, struct _u_response *response)
{
  json_t *tasks = json_array ();
  json_t *json;

  for (uint32_t i = 0; i < reply->report_count; i++)
    json_array_append_new (tasks, report_to_json (&reply->reports[i]));
  json = json_pack ("{s:o,s:I,s:o}", "capacity",
                    mux_size_to_json (reply->capacity), "cursor",
                    (json_int_t) reply->cursor, "tasks", tasks);
  ulfius_set_json_body_response (response, 200, json);
  json_decref (json);
}

void
standin_worker_write_status (struct _u_response *response,
                             unsigned int http_status,
                             const char *word)
{
  u_map_put (response->map_header, "Cuminmux-Status", word);
  ulfius_set_empty_body_response (response, http_status);
}

void
standin_worker_write_reply (const MuxWorkerReply *reply,
                            const MuxWorkerCall *call,
                            bool repeated,
                            struct _u_response *response)
{
  const StatusInfo *info = &status_info[reply->status];
  char id[MUX_ID_HEX_LEN];

  standin_worker_write_status (response, info->http_status, info->word);
  u_map_put (response->map_header, "Cuminmux-Worker", reply->worker);
  put_number (response, "Cuminmux-Incarnation", reply->incarnation);
  put_number (response, "Cuminmux-Epoch", reply->epoch);
  if (reply->owner[0] != 0)
    u_map_put (response->map_header, "Cuminmux-Owner", reply->owner);
  put_number (response, "Cuminmux-Now-Ms", (uint64_t) reply->worker_clock_ms);
  put_number (response, "Cuminmux-Leaving", reply->leaving);
  if (reply->status == MUX_WORKER_OK
      && (call->verb == MUX_WORKER_CLAIM || call->verb == MUX_WORKER_RENEW))
    write_list (reply, response);
  if (!needs_task (call->verb))
    return;
  mux_id_format (call->task, id);
  u_map_put (response->map_header, "Cuminmux-Task", id);
  if (reply->status != MUX_WORKER_OK)
    return;
  u_map_put (response->map_header, "Cuminmux-State",
             mux_task_state_name (reply->state));
  put_number (response, "Cuminmux-Ran-Ms", reply->ran_ms);
  if (repeated)
    u_map_put (response->map_header, "Cuminmux-Repeated", "1");
  if (reply->result != NULL)
    ulfius_set_binary_body_response (response, info->http_status,
                                     reply->result->bytes, reply->result->len);
}
