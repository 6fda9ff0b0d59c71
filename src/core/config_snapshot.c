#include "config_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A snapshot spares a new daemon from reading the whole log. Nothing depends
 * on it: if a step fails, the next snapshot is written 256 revisions later. */

MuxBlob *
config_json_blob (json_t *json)
{
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;
  MuxBlob *blob = NULL;

  json_decref (json);
  if (text != NULL)
    blob = mux_blob_new (text, strlen (text));
  free (text);
  return blob;
}

static json_t *
state_json (const Config *config)
{
  json_t *objects = json_array ();
  const ConfigObject *object;

  for (object = config->objects; object != NULL; object = object->hh.next)
    if (json_array_append_new (objects, config_object_json (object)) != 0)
      {
        json_decref (objects);
        return NULL;
      }
  return json_pack ("{s:I, s:I, s:o}", "revision",
                    (json_int_t) config->revision, "floor",
                    (json_int_t) config->floor, "objects", objects);
}

static void
snapshot_end (MuxCore *core)
{
  core->config->snapshot_revision = 0;
}

static void
snapshot_send (MuxCore *core, MuxTableCall *call, TableCallback done)
{
  static const MuxId none;

  if (call == NULL)
    {
      snapshot_end (core);
      return;
    }
  call->timeout_ms = TABLE_TIMEOUT_MS;
  if (!call_table (core, call, done, none, 0))
    snapshot_end (core);
}

static void
row_written (MuxCore *core,
             MuxId subject,
             uint64_t aux,
             const MuxTableReply *reply)
{
  (void) subject;
  (void) aux;
  (void) reply;
  snapshot_end (core);
}

static void
row_write (MuxCore *core, uint64_t rev)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, 1);
  json_int_t revision = (json_int_t) core->config->snapshot_revision;

  if (call != NULL)
    {
      snprintf (call->rows[0].key, MUX_ROW_KEY_LEN, "%s", CONFIG_SNAPSHOT_KEY);
      call->rows[0].rev = rev;
      call->rows[0].value
          = config_json_blob (json_pack ("{s:I}", "revision", revision));
      if (call->rows[0].value == NULL)
        {
          mux_table_call_free (call);
          call = NULL;
        }
    }
  snapshot_send (core, call, row_written);
}

static void
row_read (MuxCore *core,
          MuxId subject,
          uint64_t aux,
          const MuxTableReply *reply)
{
  uint64_t revision;

  (void) subject;
  (void) aux;
  if (reply->status != MUX_TABLE_OK || reply->row_count == 0
      || !config_row_revision (&reply->rows[0], &revision)
      || revision >= core->config->snapshot_revision)
    snapshot_end (core);
  else
    row_write (core, reply->rows[0].rev);
}

static void
object_written (MuxCore *core,
                MuxId subject,
                uint64_t aux,
                const MuxTableReply *reply)
{
  MuxTableCall *call;

  (void) subject;
  (void) aux;
  if (reply->status != MUX_TABLE_OK)
    {
      snapshot_end (core);
      return;
    }
  call = mux_table_call_new (MUX_TABLE_GET, 1);
  if (call != NULL)
    snprintf (call->rows[0].key, MUX_ROW_KEY_LEN, "%s", CONFIG_SNAPSHOT_KEY);
  snapshot_send (core, call, row_read);
}

void
config_snapshot_write (MuxCore *core)
{
  Config *config = core->config;
  MuxBlob *blob;
  MuxTableCall *call;

  if (config->snapshot_revision != 0)
    return;
  blob = config_json_blob (state_json (config));
  if (blob == NULL)
    return;
  call = mux_table_call_new (MUX_TABLE_OBJECT_PUT, 1);
  if (call == NULL)
    {
      mux_blob_unref (blob);
      return;
    }
  config->snapshot_revision = config->revision;
  snprintf (call->rows[0].key, MUX_ROW_KEY_LEN, CONFIG_SNAPSHOT_KEY "/%" PRIu64,
            config->revision);
  call->rows[0].value = blob;
  snapshot_send (core, call, object_written);
}
