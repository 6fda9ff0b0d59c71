#include "config_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Rows of a change's transaction. */
enum
{
  WRITE_HEAD,
  WRITE_LOG,
  WRITE_CHANGE,
  WRITE_ROWS
};

/* Rows of a change's check. */
enum
{
  CHECK_CHANGE,
  CHECK_HEAD,
  CHECK_ROWS
};

static ConfigChange *
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

static MuxId
change_subject (const ConfigChange *change)
{
  return (MuxId){ 0, change->serial };
}

/* Takes the change off the list and frees it; its answer was given. */
static void
change_end (MuxCore *core, ConfigChange *change)
{
  Config *config = core->config;

  DL_DELETE (config->changes, change);
  config->change_count--;
  json_decref (change->value);
  json_decref (change->row);
  free (change);
}

static void
change_refuse (MuxCore *core, ConfigChange *change, MuxReason reason)
{
  uint32_t retry_ms
      = reason == MUX_REASON_STORE_DOWN ? CONFIG_POLL_MS : RETRY_MS;

  config_answer_refused (core, change->call, reason, retry_ms);
  change_end (core, change);
}

/* Time is up, or this daemon ends: say what is known. */
static void
change_give_up (MuxCore *core, ConfigChange *change, MuxReason reason)
{
  if (!change->unsure && change->state != CHANGE_WRITE)
    {
      change_refuse (core, change, reason);
      return;
    }
  config_answer_unknown (core, change->call, change->change);
  change_end (core, change);
}

static void
change_accepted (MuxCore *core, ConfigChange *change, uint64_t revision)
{
  config_answer_done (core, change->call, revision);
  change_end (core, change);
}

static void
change_pause (MuxCore *core, ConfigChange *change, MuxReason reason)
{
  change->state = CHANGE_PAUSED;
  change->wake_ms = core->now_ms;
  if (change->retries++ > 0)
    change->wake_ms += core_jitter (core, RETRY_MS);
  mux_count_retry (core->counters, reason);
}

static void
change_key (char key[MUX_ROW_KEY_LEN], MuxId change)
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (change, hex);
  snprintf (key, MUX_ROW_KEY_LEN, "config/change/%s", hex);
}

static void
change_call (MuxCore *core,
             ConfigChange *change,
             ChangeState state,
             MuxTableCall *call,
             TableDone done)
{
  if (call == NULL)
    {
      change_pause (core, change, MUX_REASON_INTERNAL);
      return;
    }
  change->state = state;
  call->timeout_ms = TABLE_TIMEOUT_MS;
  if (!call_table (core, call, done, change_subject (change), 0))
    change_pause (core, change, MUX_REASON_RING_FULL);
}

/* The store does not answer.  A change of which nothing was written is
 * refused at once; one whose fate is open is looked up until its time. */
static void
change_store_down (MuxCore *core, ConfigChange *change)
{
  config_table_down (core, true);
  if (change->unsure)
    change_pause (core, change, MUX_REASON_STORE_DOWN);
  else
    change_refuse (core, change, MUX_REASON_STORE_DOWN);
}

static void
commit_in_force (MuxCore *core, const json_t *row, uint64_t revision)
{
  Config *config = core->config;

  mux_count (core->counters, MUX_COUNT_CONFIG_CHANGES, 1);
  if (revision != config->revision + 1 || !config_apply_row (core, row))
    return;
  config_moved (core);
  if (revision % CONFIG_SNAPSHOT_EVERY == 0)
    config_snapshot_write (core);
}

static void
write_done (MuxCore *core,
            MuxId subject,
            uint64_t aux,
            const MuxTableReply *reply)
{
  ConfigChange *change = change_find (core, subject, CHANGE_WRITE);
  uint64_t revision;

  (void) aux;
  if (change == NULL)
    return;
  revision = change->checked_from + 1;
  switch (reply->status)
    {
    case MUX_TABLE_OK:
      commit_in_force (core, change->row, revision);
      change_accepted (core, change, revision);
      break;
    case MUX_TABLE_CONFLICT:
      change_pause (core, change, MUX_REASON_FENCED_ROW);
      break;
    case MUX_TABLE_UNKNOWN:
      /* It may even land after the next check has found nothing.  A repeat
       * has the same change row and the same head as conditions, and a
       * refusal is given only once the head is past both, so it can neither
       * apply twice nor after it was refused. */
      change->unsure = true;
      change_pause (core, change, MUX_REASON_WRITE_UNKNOWN);
      break;
    case MUX_TABLE_DOWN:
      change_store_down (core, change);
      break;
    default:
      change_give_up (core, change, MUX_REASON_INTERNAL);
    }
  config_changes_run (core);
}

static json_t *
log_row (const MuxCore *core, const ConfigChange *change)
{
  const ConfigObject *object
      = config_object (core->config, change->sort, change->name);
  json_t *value
      = change->value != NULL ? json_incref (change->value) : json_null ();
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (change->change, hex);
  return json_pack (
      "{s:I, s:s, s:s, s:o, s:I, s:s, s:s, s:I}", "revision",
      (json_int_t) (change->checked_from + 1), "sort",
      config_sort_name (change->sort), "name", change->name, "value", value,
      "prior", (json_int_t) (object != NULL ? object->revision : 0), "change",
      hex, "who", change->who, "when_ms", (json_int_t) change->wall_ms);
}

static MuxTableCall *
write_call (const ConfigChange *change)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, WRITE_ROWS);
  json_int_t revision = (json_int_t) (change->checked_from + 1);
  MuxRow *rows;

  if (call == NULL)
    return NULL;
  rows = call->rows;
  snprintf (rows[WRITE_HEAD].key, MUX_ROW_KEY_LEN, "%s", CONFIG_HEAD_KEY);
  rows[WRITE_HEAD].rev = change->head_rev;
  rows[WRITE_HEAD].value
      = config_json_blob (json_pack ("{s:I}", "revision", revision));
  config_log_key (rows[WRITE_LOG].key, (uint64_t) revision);
  rows[WRITE_LOG].rev = MUX_REV_ABSENT;
  rows[WRITE_LOG].value = config_json_blob (json_incref (change->row));
  change_key (rows[WRITE_CHANGE].key, change->change);
  rows[WRITE_CHANGE].rev = MUX_REV_ABSENT;
  rows[WRITE_CHANGE].value
      = config_json_blob (json_pack ("{s:I}", "revision", revision));
  for (int i = 0; i < WRITE_ROWS; i++)
    if (rows[i].value == NULL)
      {
        mux_table_call_free (call);
        return NULL;
      }
  return call;
}

static void
change_write (MuxCore *core, ConfigChange *change)
{
  json_decref (change->row);
  change->row = log_row (core, change);
  change_call (core, change, CHANGE_WRITE,
               change->row != NULL ? write_call (change) : NULL, write_done);
}

static void
looked_up (ConfigChange *change, const json_t *value)
{
  json_decref (change->value);
  change->value
      = json_is_object (value) ? json_incref ((json_t *) value) : NULL;
  change->revert = false;
}

static void
look_up_done (MuxCore *core,
              MuxId subject,
              uint64_t aux,
              const MuxTableReply *reply)
{
  ConfigChange *change = change_find (core, subject, CHANGE_LOOK_UP);
  json_t *row;

  (void) aux;
  if (change == NULL)
    return;
  if (reply->status != MUX_TABLE_OK)
    {
      change_store_down (core, change);
      config_changes_run (core);
      return;
    }
  row = reply->row_count > 0 ? config_row_json (&reply->rows[0]) : NULL;
  if (change->cursor <= change->revert_to)
    looked_up (change, json_object_get (row, "value"));
  else
    change->cursor
        = (uint64_t) json_integer_value (json_object_get (row, "prior"));
  if (change->revert && change->cursor == 0)
    looked_up (change, NULL);
  if (row == NULL || ++change->steps > CONFIG_REVERT_STEPS)
    change_refuse (core, change, MUX_REASON_INTERNAL);
  else
    change->state = CHANGE_PAUSED;
  json_decref (row);
  config_changes_run (core);
}

/* Each log row names the change of its object before it: walk back. */
static void
change_look_up (MuxCore *core, ConfigChange *change)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 1);

  if (call != NULL)
    config_log_key (call->rows[0].key, change->cursor);
  change_call (core, change, CHANGE_LOOK_UP, call, look_up_done);
}

static void
answer_findings (MuxCore *core,
                 ConfigChange *change,
                 const MuxFindings *findings)
{
  core_answer_findings (core, change->call, findings);
  change_end (core, change);
}

static bool
change_beaten (const ConfigChange *change, const ConfigObject *object)
{
  return change->expect_set
         && change->expect != config_object_revision (object);
}

/* The state in force is that of the head: decide on the change. */
static void
change_decide (MuxCore *core, ConfigChange *change)
{
  ConfigObject *object
      = config_object (core->config, change->sort, change->name);
  bool exists = config_object_revision (object) != 0;
  MuxFindings findings = { 0 };

  if (change_beaten (change, object))
    {
      config_answer_lost (core, change->call, object);
      change_end (core, change);
    }
  else if (change->revert && object != NULL)
    {
      if (change->cursor == 0)
        change->cursor = object->revision;
      change_look_up (core, change);
    }
  else if (change->sort == MUX_CONFIG_DRAIN
           && exists == (change->value != NULL))
    change_accepted (core, change,
                     exists ? object->revision : core->config->revision);
  else if (change->value == NULL && !exists)
    {
      config_answer_absent (core, change->call, change->sort);
      change_end (core, change);
    }
  else if (!config_check (core->config, change->sort, change->name,
                          &change->value, &findings))
    change_pause (core, change, MUX_REASON_INTERNAL);
  else if (findings.count > 0)
    answer_findings (core, change, &findings);
  else
    change_write (core, change);
}

static void
change_checked (MuxCore *core, ConfigChange *change, const MuxRow *rows)
{
  Config *config = core->config;
  uint64_t revision, head;

  if (!config_row_revision (&rows[CHECK_CHANGE], &revision)
      || !config_row_revision (&rows[CHECK_HEAD], &head))
    {
      change_give_up (core, change, MUX_REASON_INTERNAL);
      return;
    }
  if (revision != 0)
    {
      change_accepted (core, change, revision);
      return;
    }
  change->head_rev = rows[CHECK_HEAD].rev;
  if (head > config->revision)
    {
      change->state = CHANGE_SYNC;
      config_follow (core);
    }
  /* The two rows are not read at one moment, and the state may have moved
   * since.  Only when it is the same from before the check until now does
   * the missing change row say that no earlier write of it has landed. */
  else if (head != change->checked_from || config->revision != head)
    change_pause (core, change, MUX_REASON_FENCED_ROW);
  else
    change_decide (core, change);
}

static void
check_done (MuxCore *core,
            MuxId subject,
            uint64_t aux,
            const MuxTableReply *reply)
{
  ConfigChange *change = change_find (core, subject, CHANGE_CHECK);

  (void) aux;
  if (change == NULL)
    return;
  if (reply->status != MUX_TABLE_OK || reply->row_count < CHECK_ROWS)
    change_store_down (core, change);
  else
    {
      config_table_down (core, false);
      change_checked (core, change, reply->rows);
    }
  config_changes_run (core);
}

static void
change_check (MuxCore *core, ConfigChange *change)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, CHECK_ROWS);

  change->checked_from = core->config->revision;
  if (call != NULL)
    {
      change_key (call->rows[CHECK_CHANGE].key, change->change);
      snprintf (call->rows[CHECK_HEAD].key, MUX_ROW_KEY_LEN, "%s",
                CONFIG_HEAD_KEY);
    }
  change_call (core, change, CHANGE_CHECK, call, check_done);
}

static bool
change_due (const MuxCore *core, const ConfigChange *change)
{
  if (change->state == CHANGE_SYNC)
    return core->config->follow == FOLLOW_IDLE;
  return change->state == CHANGE_QUEUED
         || (change->state == CHANGE_PAUSED && core->now_ms >= change->wake_ms);
}

/* Changes of one daemon are made one after another: two at once would only
 * beat each other to the head. */
void
config_changes_run (MuxCore *core)
{
  ConfigChange *change, *next;

  DL_FOREACH_SAFE (core->config->changes, change, next)
  {
    if (core->now_ms >= change->give_up_ms)
      change_give_up (core, change, MUX_REASON_FENCED_ROW);
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
    if (change->give_up_ms < at_ms)
      at_ms = change->give_up_ms;
  }
  return at_ms;
}

void
config_changes_store_down (MuxCore *core)
{
  ConfigChange *change, *next;

  DL_FOREACH_SAFE (core->config->changes, change, next)
  {
    if (!change->unsure && change->state != CHANGE_WRITE)
      change_refuse (core, change, MUX_REASON_STORE_DOWN);
  }
}

void
config_abandon (MuxCore *core)
{
  ConfigChange *change, *next;

  if (core->config == NULL)
    return;
  DL_FOREACH_SAFE (core->config->changes, change, next)
  {
    change_give_up (core, change, MUX_REASON_STOPPING);
  }
}

uint32_t
config_changing (const MuxCore *core)
{
  return core->config->change_count;
}

static void
take_value (const MuxAsk *ask, ConfigChange *change)
{
  if (ask->verb == MUX_ASK_CONFIG_PUT && ask->body != NULL)
    change->value = json_loadb (ask->body->bytes, ask->body->len, 0, NULL);
  else if (ask->verb == MUX_ASK_DRAIN && ask->flag)
    change->value = json_object ();
}

static ConfigChange *
change_new (MuxCore *core, const MuxAsk *ask)
{
  ConfigChange *change = calloc (1, sizeof *change);

  if (change == NULL)
    return NULL;
  change->serial = ++core->config->serial;
  change->call = ask->call;
  change->sort = ask->verb == MUX_ASK_DRAIN ? MUX_CONFIG_DRAIN : ask->sort;
  mux_name_copy (change->name, ask->name);
  mux_name_copy (change->who, ask->who);
  change->expect_set = ask->expect_set;
  change->expect = ask->expect;
  change->change
      = mux_id_is_none (ask->change) ? core_mint (core) : ask->change;
  change->wall_ms = ask->wall_ms;
  change->revert = ask->verb == MUX_ASK_CONFIG_REVERT;
  change->revert_to = ask->revision;
  change->give_up_ms = core->now_ms + CONFIG_CHANGE_LIMIT_MS;
  take_value (ask, change);
  return change;
}

static MuxReason
ask_reason (const MuxCore *core, const MuxAsk *ask)
{
  if (core->stopping)
    return MUX_REASON_STOPPING;
  if (core->config->down)
    return MUX_REASON_STORE_DOWN;
  if (core->config->change_count >= CONFIG_CHANGES_MAX)
    return MUX_REASON_QUEUE_FULL;
  if (ask->verb == MUX_ASK_CONFIG_PUT && ask->body == NULL)
    return MUX_REASON_BAD_JSON;
  return MUX_REASON_NONE;
}

static void
check_name (const MuxAsk *ask, MuxFindings *findings)
{
  if (!mux_name_valid (ask->name))
    mux_findings_add (findings, "name", "must be 1 to 47 of a-z A-Z 0-9 . _ -");
  else if (ask->verb != MUX_ASK_DRAIN && ask->sort == MUX_CONFIG_CELL
           && strcmp (ask->name, CONFIG_CELL_NAME) != 0)
    mux_findings_add (findings, "name", "must be \"%s\"", CONFIG_CELL_NAME);
}

void
config_change_ask (MuxCore *core, const MuxAsk *ask)
{
  MuxReason reason = ask_reason (core, ask);
  MuxFindings findings = { 0 };
  ConfigChange *change;

  check_name (ask, &findings);
  if (reason != MUX_REASON_NONE)
    {
      config_answer_refused (core, ask->call, reason, CONFIG_POLL_MS);
      return;
    }
  if (findings.count > 0)
    {
      core_answer_findings (core, ask->call, &findings);
      return;
    }
  change = change_new (core, ask);
  if (change == NULL)
    {
      config_answer_refused (core, ask->call, MUX_REASON_INTERNAL, 0);
      return;
    }
  DL_APPEND (core->config->changes, change);
  core->config->change_count++;
  if (ask->verb == MUX_ASK_CONFIG_PUT && change->value == NULL)
    change_refuse (core, change, MUX_REASON_BAD_JSON);
  config_changes_run (core);
}
