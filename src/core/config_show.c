#include "config_private.h"

#include <stdio.h>

void
config_respond_done (MuxCore *core, uint64_t call_id, uint64_t revision)
{
  core_respond_json (core, call_id, 200,
                     json_pack ("{s:I}", "revision", (json_int_t) revision));
}

void
config_respond_refused (MuxCore *core,
                        uint64_t call_id,
                        MuxReason reason,
                        uint32_t retry_ms)
{
  static const MuxId none;

  core_respond (core, call_id, MUX_OUTCOME_NOT_RUN, reason, retry_ms, none,
                NULL);
}

/* Sends a refusal with a JSON body of more detail than core_respond() gives.
 * Takes ownership of @json; sends no body when memory is exhausted. */
static void
respond_refusal (MuxCore *core,
                 uint64_t call_id,
                 MuxOutcome outcome,
                 MuxReason reason,
                 json_t *json)
{
  MuxCoreResponse response
      = { .call_id = call_id, .outcome = outcome, .reason = reason };

  response.status = mux_reason_status (reason);
  response.is_json = true;
  response.body = config_json_blob (json);
  mux_count_refused (core->counters, reason);
  core->sink->respond (core->sink, &response);
  mux_blob_unref (response.body);
}

void
config_respond_absent (MuxCore *core, uint64_t call_id, MuxConfigSort sort)
{
  static const MuxReason reasons[MUX_CONFIG_SORT_COUNT]
      = { MUX_REASON_UNKNOWN_CLASS, MUX_REASON_UNKNOWN_PRODUCT,
          MUX_REASON_UNKNOWN_PATH, MUX_REASON_UNKNOWN_WORKER };

  config_respond_refused (core, call_id, reasons[sort], 0);
}

static json_t *
object_view (const ConfigObject *object)
{
  return json_pack ("{s:s, s:I, s:O}", "name", object->name, "revision",
                    (json_int_t) object->revision, "value", object->value);
}

void
config_respond_conflict (MuxCore *core, uint64_t call_id, ConfigObject *object)
{
  uint64_t revision = config_object_revision (object);
  json_t *value = revision != 0 ? json_incref (object->value) : json_null ();

  respond_refusal (core, call_id, MUX_OUTCOME_NOT_RUN, MUX_REASON_REVISION,
                   json_pack ("{s:s, s:s, s:s, s:I, s:o}", "outcome", "not_run",
                              "reason", "revision", "text",
                              mux_reason_help (MUX_REASON_REVISION), "revision",
                              (json_int_t) revision, "value", value));
}

void
config_respond_unknown (MuxCore *core, uint64_t call_id, MuxId change)
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (change, hex);
  respond_refusal (core, call_id, MUX_OUTCOME_UNKNOWN, MUX_REASON_WRITE_UNKNOWN,
                   json_pack ("{s:s, s:s, s:s, s:s}", "outcome", "unknown",
                              "reason", "write_unknown", "text",
                              "retry with the same change id", "change", hex));
}

static void
show_one (MuxCore *core, const MuxCoreRequest *request)
{
  const ConfigObject *object
      = config_object (core->config, request->sort, request->name);

  if (config_object_revision (object) == 0)
    config_respond_absent (core, request->call_id, request->sort);
  else
    core_respond_json (core, request->call_id, 200, object_view (object));
}

static void
show_all (MuxCore *core, const MuxCoreRequest *request)
{
  Config *config = core->config;
  const ConfigObject *object;
  json_t *items = json_array ();

  config_objects_sort (config, false);
  for (object = config->objects; object != NULL; object = object->hh.next)
    if (object->sort == request->sort && object->value != NULL
        && json_array_append_new (items, object_view (object)) != 0)
      {
        json_decref (items);
        core_respond_json (core, request->call_id, 200, NULL);
        return;
      }
  core_respond_json (core, request->call_id, 200,
                     json_pack ("{s:I, s:o}", "revision",
                                (json_int_t) config->revision, "items", items));
}

static void
history_read (MuxCore *core,
              MuxId subject,
              uint64_t call_id,
              const MuxTableReply *reply)
{
  json_t *changes;

  (void) subject;
  if (reply->status != MUX_TABLE_OK)
    {
      config_respond_refused (core, call_id, MUX_REASON_STORE_DOWN,
                              CONFIG_POLL_MS);
      return;
    }
  changes = json_array ();
  for (uint32_t i = 0; i < reply->row_count; i++)
    json_array_append_new (changes, config_row_json (&reply->rows[i]));
  core_respond_json (
      core, call_id, 200,
      json_pack ("{s:o, s:b}", "changes", changes, "more", (int) reply->more));
}

static void
show_history (MuxCore *core, const MuxCoreRequest *request)
{
  static const MuxId none;
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_SCAN, 2);

  if (call == NULL)
    {
      config_respond_refused (core, request->call_id, MUX_REASON_INTERNAL, 0);
      return;
    }
  call->timeout_ms = TABLE_TIMEOUT_MS;
  call->limit = CONFIG_HISTORY_PAGE;
  snprintf (call->rows[0].key, MUX_ROW_KEY_LEN, "%s", CONFIG_LOG_PREFIX);
  config_log_key (call->rows[1].key, request->revision);
  if (!call_table (core, call, history_read, none, request->call_id))
    config_respond_refused (core, request->call_id, MUX_REASON_RING_FULL,
                            RETRY_MS);
}

void
config_show (MuxCore *core, const MuxCoreRequest *request)
{
  if (request->verb == MUX_CORE_CONFIG_HISTORY)
    show_history (core, request);
  else if (!core->config->loaded)
    config_respond_refused (core, request->call_id, MUX_REASON_STORE_DOWN,
                            CONFIG_POLL_MS);
  else if (request->verb == MUX_CORE_CONFIG_GET)
    show_one (core, request);
  else
    show_all (core, request);
}
