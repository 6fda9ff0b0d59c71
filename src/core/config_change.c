#include "config_change.h"

#include "base/json_load.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

ConfigChange *
change_find (MuxCore *core, MuxId subject, ChangeState state)
{
  ConfigChange *change;

  DL_FOREACH (core->config->changes, change)
  {
    if (change->serial == subject.lo)
      return change->state == state ? change : NULL;
  }
  return NULL;
}

void
change_finish (MuxCore *core, ConfigChange *change)
{
  Config *config = core->config;

  DL_DELETE (config->changes, change);
  config->change_count--;
  json_decref (change->value);
  json_decref (change->row);
  free (change);
}

void
change_refuse (MuxCore *core, ConfigChange *change, MuxReason reason)
{
  uint32_t retry_ms
      = reason == MUX_REASON_STORE_DOWN ? CONFIG_POLL_MS : RETRY_MS;

  config_respond_refused (core, change->call_id, reason, retry_ms);
  change_finish (core, change);
}

void
change_expire (MuxCore *core, ConfigChange *change, MuxReason reason)
{
  if (!change->write_unknown && change->state != CHANGE_WRITE)
    {
      change_refuse (core, change, reason);
      return;
    }
  config_respond_unknown (core, change->call_id, change->change_id);
  change_finish (core, change);
}

void
change_accepted (MuxCore *core, ConfigChange *change, uint64_t revision)
{
  config_respond_done (core, change->call_id, revision);
  change_finish (core, change);
}

void
change_pause (MuxCore *core, ConfigChange *change, MuxReason reason)
{
  change->state = CHANGE_PAUSED;
  change->wake_ms = core->now_ms;
  if (change->retries++ > 0)
    change->wake_ms += core_jitter (core, RETRY_MS);
  mux_count_retry (core->counters, reason);
}

void
change_store_down (MuxCore *core, ConfigChange *change)
{
  config_set_store_down (core, true);
  if (change->write_unknown)
    change_pause (core, change, MUX_REASON_STORE_DOWN);
  else
    change_refuse (core, change, MUX_REASON_STORE_DOWN);
}

static bool
change_due (const MuxCore *core, const ConfigChange *change)
{
  if (change->state == CHANGE_SYNC)
    return core->config->follow == FOLLOW_IDLE;
  return change->state == CHANGE_QUEUED
         || (change->state == CHANGE_PAUSED && core->now_ms >= change->wake_ms);
}

/* A daemon makes its changes one after another: concurrent ones would only
 * conflict on the head row. */
void
config_changes_run (MuxCore *core)
{
  ConfigChange *change, *next;

  DL_FOREACH_SAFE (core->config->changes, change, next)
  {
    if (core->now_ms >= change->expires_ms)
      change_expire (core, change,
                     change->state == CHANGE_QUEUED ? MUX_REASON_QUEUE_FULL
                                                    : MUX_REASON_FENCED_ROW);
  }
  change = core->config->changes;
  if (change != NULL && change_due (core, change))
    change_check (core, change);
}

int64_t
config_changes_wake_ms (const MuxCore *core)
{
  const ConfigChange *change = core->config->changes;
  int64_t at_ms = INT64_MAX;

  if (change == NULL)
    return at_ms;
  if (change_due (core, change))
    return core->now_ms;
  if (change->state == CHANGE_PAUSED)
    at_ms = change->wake_ms;
  DL_FOREACH (core->config->changes, change)
  {
    if (change->expires_ms < at_ms)
      at_ms = change->expires_ms;
  }
  return at_ms;
}

void
config_changes_store_down (MuxCore *core)
{
  ConfigChange *change, *next;

  DL_FOREACH_SAFE (core->config->changes, change, next)
  {
    if (!change->write_unknown && change->state != CHANGE_WRITE)
      change_refuse (core, change, MUX_REASON_STORE_DOWN);
  }
}

void
config_abort_changes (MuxCore *core)
{
  ConfigChange *change, *next;

  if (core->config == NULL)
    return;
  DL_FOREACH_SAFE (core->config->changes, change, next)
  {
    change_expire (core, change, MUX_REASON_STOPPING);
  }
}

uint32_t
config_pending_changes (const MuxCore *core)
{
  return core->config->change_count;
}

static void
set_value (const MuxCoreRequest *request, ConfigChange *change)
{
  static const MuxJsonLimits limits
      = { MUX_JSON_BODY_DEPTH_MAX, MUX_JSON_BODY_VALUES_MAX };

  if (request->verb == MUX_CORE_CONFIG_PUT && request->body != NULL)
    change->value = mux_json_load (request->body->bytes, request->body->len,
                                   &limits, JSON_REJECT_DUPLICATES, NULL);
  else if (request->verb == MUX_CORE_DRAIN && request->drain)
    change->value = json_object ();
}

static ConfigChange *
change_new (MuxCore *core, const MuxCoreRequest *request)
{
  ConfigChange *change = calloc (1, sizeof *change);

  if (change == NULL)
    return NULL;
  change->serial = ++core->config->serial;
  change->call_id = request->call_id;
  change->sort
      = request->verb == MUX_CORE_DRAIN ? MUX_CONFIG_DRAIN : request->sort;
  mux_name_copy (change->name, request->name);
  mux_name_copy (change->author, request->author);
  change->has_expected = request->has_expected;
  change->expected_revision = request->expected_revision;
  change->change_id = mux_id_is_none (request->change_id)
                          ? core_new_task_id (core)
                          : request->change_id;
  change->wall_ms = request->wall_ms;
  change->revert = request->verb == MUX_CORE_CONFIG_REVERT;
  change->revert_to = request->revision;
  change->expires_ms = core->now_ms + CONFIG_CHANGE_LIMIT_MS;
  set_value (request, change);
  return change;
}

static MuxReason
refusal_reason (const MuxCore *core, const MuxCoreRequest *request)
{
  if (core->stopping)
    return MUX_REASON_STOPPING;
  if (core->config->store_down)
    return MUX_REASON_STORE_DOWN;
  if (core->config->change_count >= CONFIG_CHANGES_MAX)
    return MUX_REASON_QUEUE_FULL;
  if (request->verb == MUX_CORE_CONFIG_PUT && request->body == NULL)
    return MUX_REASON_BAD_JSON;
  return MUX_REASON_NONE;
}

static void
check_names (const MuxCoreRequest *request, MuxFindings *findings)
{
  if (!mux_name_valid (request->name))
    mux_findings_add (findings, "name", "must be 1 to 47 of a-z A-Z 0-9 . _ -");
  else if (request->verb != MUX_CORE_DRAIN && request->sort == MUX_CONFIG_CELL
           && strcmp (request->name, CONFIG_CELL_NAME) != 0)
    mux_findings_add (findings, "name", "must be \"%s\"", CONFIG_CELL_NAME);
  if (request->verb == MUX_CORE_CONFIG_PUT && request->sort == MUX_CONFIG_DRAIN)
    mux_findings_add (findings, "sort", "use the drain call of the worker");
  for (const char *at = request->author; *at != 0; at++)
    if (*at < ' ' || *at > '~')
      {
        mux_findings_add (findings, "who", "must be printable ASCII");
        return;
      }
}

void
config_change_request (MuxCore *core, const MuxCoreRequest *request)
{
  MuxReason reason = refusal_reason (core, request);
  MuxFindings findings = { 0 };
  ConfigChange *change;

  check_names (request, &findings);
  if (reason != MUX_REASON_NONE)
    {
      config_respond_refused (core, request->call_id, reason, CONFIG_POLL_MS);
      return;
    }
  if (findings.count > 0)
    {
      core_respond_findings (core, request->call_id, &findings);
      return;
    }
  change = change_new (core, request);
  if (change == NULL)
    {
      config_respond_refused (core, request->call_id, MUX_REASON_INTERNAL, 0);
      return;
    }
  DL_APPEND (core->config->changes, change);
  core->config->change_count++;
  if (request->verb == MUX_CORE_CONFIG_PUT && change->value == NULL)
    change_refuse (core, change, MUX_REASON_BAD_JSON);
  config_changes_run (core);
}
