#include "config_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void
config_log_key (char key[MUX_ROW_KEY_LEN], uint64_t revision)
{
  snprintf (key, MUX_ROW_KEY_LEN, CONFIG_LOG_PREFIX "%020" PRIu64, revision);
}

uint64_t
json_number (const json_t *json, const char *key)
{
  return (uint64_t) json_integer_value (json_object_get (json, key));
}

json_t *
config_row_json (const MuxRow *row)
{
  if (row->value == NULL)
    return NULL;
  return json_loadb (row->value->bytes, row->value->len, 0, NULL);
}

bool
config_row_revision (const MuxRow *row, uint64_t *revision)
{
  json_t *json;

  *revision = 0;
  if (row->value == NULL)
    return true;
  json = config_row_json (row);
  *revision = json_number (json, "revision");
  json_decref (json);
  return *revision != 0;
}

void
config_set_store_down (MuxCore *core, bool down)
{
  Config *config = core->config;

  if (config->store_down == down)
    return;
  config->store_down = down;
  core_log (core, down ? MUX_LOG_WARNING : MUX_LOG_NOTICE,
            down ? "config_store_down" : "config_store_up", "revision=%" PRIu64,
            config->revision);
}

static void
follow_end (MuxCore *core)
{
  Config *config = core->config;

  config->follow = FOLLOW_IDLE;
  config->next_poll_ms = core->now_ms + core_jitter (core, CONFIG_POLL_MS);
  if (config->follow_again && !config->store_down)
    config->next_poll_ms = core->now_ms;
  config->follow_again = false;
  config_changes_run (core);
}

static void
follow_failed (MuxCore *core)
{
  Config *config = core->config;

  config_set_store_down (core, true);
  follow_end (core);
  config_changes_store_down (core);
  if (!config->loaded || config->known_revision > config->revision)
    config_request_rows (core, NULL);
}

static void
follow_caught_up (MuxCore *core)
{
  core->config->loaded = true;
  core->config->log_gap_reported = false;
  follow_end (core);
}

static void follow_log (MuxCore *core);

static void
follow_send (MuxCore *core,
             FollowState state,
             MuxTableCall *call,
             TableCallback done)
{
  static const MuxId none;

  core->config->follow = state;
  if (call == NULL)
    {
      follow_end (core);
      return;
    }
  call->timeout_ms = TABLE_TIMEOUT_MS;
  if (!call_table (core, call, done, none, 0))
    follow_end (core);
}

static bool
apply_rows (MuxCore *core, const MuxTableReply *reply)
{
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      json_t *row = config_row_json (&reply->rows[i]);
      bool applied = row != NULL && config_apply_row (core, row);

      json_decref (row);
      if (!applied)
        return false;
    }
  return true;
}

/* The log lacks a revision that the head names, or memory is exhausted. The
 * configuration in force stays, and the next poll tries again. */
static void
follow_log_gap (MuxCore *core)
{
  Config *config = core->config;

  if (!config->log_gap_reported)
    core_log (core, MUX_LOG_ERR, "config_stuck",
              "revision=%" PRIu64 " head=%" PRIu64, config->revision,
              config->head);
  config->log_gap_reported = true;
  follow_end (core);
}

static void
log_read (MuxCore *core,
          MuxId subject,
          uint64_t aux,
          const MuxTableReply *reply)
{
  Config *config = core->config;
  uint64_t before = config->revision;

  (void) subject;
  (void) aux;
  if (reply->status != MUX_TABLE_OK)
    {
      follow_failed (core);
      return;
    }
  apply_rows (core, reply);
  if (config->revision > before)
    config_revision_changed (core, false);
  if (config->revision >= config->head)
    follow_caught_up (core);
  else if (config->revision > before)
    follow_log (core);
  else
    follow_log_gap (core);
}

static void
follow_log (MuxCore *core)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_SCAN, 2);

  if (call != NULL)
    {
      call->limit = MUX_ROWS_MAX;
      snprintf (call->rows[0].key, MUX_ROW_KEY_LEN, "%s", CONFIG_LOG_PREFIX);
      config_log_key (call->rows[1].key, core->config->revision);
    }
  follow_send (core, FOLLOW_LOG, call, log_read);
}

static void
apply_snapshot (MuxCore *core, const MuxTableReply *reply)
{
  Config *config = core->config;
  json_t *state = NULL;
  uint64_t revision;

  if (reply->row_count > 0)
    state = config_row_json (&reply->rows[0]);
  revision = json_number (state, "revision");
  if (revision > config->revision
      && config_apply_state (core, json_object_get (state, "objects"), true,
                             json_number (state, "floor"), revision))
    config_revision_changed (core, false);
  json_decref (state);
}

/* A snapshot that can't be read is skipped: the log is complete without it. */
static void
snapshot_read (MuxCore *core,
               MuxId subject,
               uint64_t aux,
               const MuxTableReply *reply)
{
  (void) subject;
  (void) aux;
  if (reply->status == MUX_TABLE_OK)
    apply_snapshot (core, reply);
  follow_log (core);
}

static void
snapshot_row_read (MuxCore *core,
                   MuxId subject,
                   uint64_t aux,
                   const MuxTableReply *reply)
{
  MuxTableCall *call;
  uint64_t revision;

  (void) subject;
  (void) aux;
  if (reply->status != MUX_TABLE_OK)
    {
      follow_failed (core);
      return;
    }
  if (reply->row_count == 0 || !config_row_revision (&reply->rows[0], &revision)
      || revision <= core->config->revision)
    {
      follow_log (core);
      return;
    }
  call = mux_table_call_new (MUX_TABLE_OBJECT_GET, 1);
  if (call != NULL)
    snprintf (call->rows[0].key, MUX_ROW_KEY_LEN,
              CONFIG_SNAPSHOT_KEY "/%" PRIu64, revision);
  follow_send (core, FOLLOW_SNAPSHOT, call, snapshot_read);
}

static void
follow_snapshot (MuxCore *core)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 1);

  if (call != NULL)
    snprintf (call->rows[0].key, MUX_ROW_KEY_LEN, "%s", CONFIG_SNAPSHOT_KEY);
  follow_send (core, FOLLOW_SNAPSHOT_ROW, call, snapshot_row_read);
}

static void
head_read (MuxCore *core,
           MuxId subject,
           uint64_t aux,
           const MuxTableReply *reply)
{
  Config *config = core->config;

  (void) subject;
  (void) aux;
  if (reply->status != MUX_TABLE_OK || reply->row_count == 0
      || !config_row_revision (&reply->rows[0], &config->head))
    {
      follow_failed (core);
      return;
    }
  config_set_store_down (core, false);
  if (config->head <= config->revision)
    follow_caught_up (core);
  else if (config->head - config->revision > CONFIG_SNAPSHOT_EVERY)
    follow_snapshot (core);
  else
    follow_log (core);
}

void
config_follow (MuxCore *core)
{
  Config *config = core->config;
  MuxTableCall *call;

  config->next_poll_ms = core->now_ms + core_jitter (core, CONFIG_POLL_MS);
  if (config->follow != FOLLOW_IDLE)
    {
      config->follow_again = true;
      return;
    }
  call = mux_table_call_new (MUX_TABLE_GET, 1);
  if (call != NULL)
    snprintf (call->rows[0].key, MUX_ROW_KEY_LEN, "%s", CONFIG_HEAD_KEY);
  follow_send (core, FOLLOW_HEAD, call, head_read);
}

void
config_revision_changed (MuxCore *core, bool committed)
{
  Config *config = core->config;

  if (config->known_revision < config->revision)
    config->known_revision = config->revision;
  config_send_hint (core, committed);
}
