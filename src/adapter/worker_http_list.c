#include "worker_http_wire.h"

#include <jansson.h>
#include <string.h>

static bool
read_size (const json_t *json, const char *name, MuxSize *size)
{
  MuxFindings findings = { 0 };

  return mux_size_from_json (json_object_get (json, name), name, size,
                             &findings);
}

static bool
read_name (const json_t *json, const char *field, char out[MUX_NAME_LEN])
{
  const char *text = json_string_value (json_object_get (json, field));

  return text != NULL && mux_name_copy (out, text);
}

static bool
read_state (const json_t *json, MuxTaskState *state)
{
  const char *text = json_string_value (json_object_get (json, "state"));

  return text != NULL && mux_task_state_parse (text, state);
}

static bool
read_task (const json_t *json, MuxTaskReport *report)
{
  const char *id = json_string_value (json_object_get (json, "task"));
  const char *kind = json_string_value (json_object_get (json, "kind"));
  json_int_t ran_ms = json_integer_value (json_object_get (json, "ran_ms"));

  if (id == NULL || !mux_id_parse (id, &report->task)
      || !read_state (json, &report->state)
      || !read_name (json, "class", report->class_name)
      || !read_name (json, "home", report->home) || kind == NULL
      || !mux_kind_parse (kind, &report->kind)
      || !read_size (json, "size", &report->size)
      || !read_size (json, "used", &report->used))
    return false;
  report->ran_ms = ran_ms < UINT32_MAX ? (uint32_t) ran_ms : UINT32_MAX;
  return ran_ms >= 0;
}

static bool
read_tasks (const json_t *tasks, MuxWorkerReply *reply)
{
  for (uint32_t i = 0; i < reply->report_count; i++)
    if (!read_task (json_array_get (tasks, i), &reply->reports[i]))
      return false;
  return true;
}

static MuxWorkerReply *
read_json (const MuxWorkerCall *call, const json_t *json)
{
  const json_t *tasks = json_object_get (json, "tasks");
  const json_t *cursor = json_object_get (json, "cursor");
  MuxWorkerReply *reply;

  if (!json_is_array (tasks) || !json_is_integer (cursor))
    return NULL;
  reply = mux_worker_reply_new (call, MUX_WORKER_OK,
                                (uint32_t) json_array_size (tasks));
  if (reply == NULL)
    return NULL;
  reply->cursor = (uint64_t) json_integer_value (cursor);
  if (read_size (json, "capacity", &reply->capacity)
      && read_tasks (tasks, reply))
    return reply;
  mux_worker_reply_free (reply);
  return NULL;
}

MuxWorkerReply *
mux_worker_read_list (const MuxWorkerCall *call, const char *bytes, size_t len)
{
  json_t *json = json_loadb (bytes, len, 0, NULL);
  MuxWorkerReply *reply = read_json (call, json);

  json_decref (json);
  return reply;
}
