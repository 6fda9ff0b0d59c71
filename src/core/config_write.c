#include "config_change.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Rows of the transaction that writes a change. */
enum
{
  WRITE_HEAD,
  WRITE_LOG,
  WRITE_CHANGE,
  WRITE_ROWS
};

/* Rows that the check of a change reads. */
enum
{
  CHECK_CHANGE,
  CHECK_HEAD,
  CHECK_ROWS
};

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
             TableCallback done)
{
  if (call == NULL)
    {
      change_pause (core, change, MUX_REASON_INTERNAL);
      return;
    }
  change->state = state;
  call->timeout_ms = TABLE_TIMEOUT_MS;
  if (!call_table (core, call, done, (MuxId){ 0, change->serial }, 0))
    change_pause (core, change, MUX_REASON_RING_FULL);
}

static void
apply_committed (MuxCore *core, const ConfigChange *change, uint64_t revision)
{
  Config *config = core->config;

  mux_count (core->counters, MUX_COUNT_CONFIG_CHANGES, 1);
  core_log (core, MUX_LOG_NOTICE, "config_committed",
            "revision=%" PRIu64 " object=%s/%s who=%s", revision,
            config_sort_name (change->sort), change->name, change->author);
  if (revision != config->revision + 1 || !config_apply_row (core, change->row))
    return;
  config_revision_changed (core, true);
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
  revision = change->checked_revision + 1;
  switch (reply->status)
    {
    case MUX_TABLE_OK:
      apply_committed (core, change, revision);
      change_accepted (core, change, revision);
      break;
    case MUX_TABLE_CONFLICT:
      change_pause (core, change, MUX_REASON_FENCED_ROW);
      break;
    case MUX_TABLE_UNKNOWN:
      /* The write may take effect even after the next check has not found it.
       * A retry has the same change row and the same head as conditions, and
       * the change is refused only once the head is past both, so it can
       * neither apply twice nor after the refusal. */
      change->write_unknown = true;
      change_pause (core, change, MUX_REASON_WRITE_UNKNOWN);
      break;
    case MUX_TABLE_DOWN:
      change_store_down (core, change);
      break;
    default:
      change->state = CHANGE_PAUSED;
      change_expire (core, change, MUX_REASON_INTERNAL);
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
  uint64_t revision = change->checked_revision + 1;
  uint64_t prior = object != NULL ? object->revision : 0;
  uint64_t floor = object != NULL ? 0 : core->config->floor;
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (change->change_id, hex);
  return json_pack ("{s:I, s:s, s:s, s:o, s:I, s:I, s:s, s:s, s:I}", "revision",
                    (json_int_t) revision, "sort",
                    config_sort_name (change->sort), "name", change->name,
                    "value", value, "prior", (json_int_t) prior, "floor",
                    (json_int_t) floor, "change", hex, "who", change->author,
                    "when_ms", (json_int_t) change->wall_ms);
}

static MuxTableCall *
write_call (const ConfigChange *change)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, WRITE_ROWS);
  uint64_t revision = change->checked_revision + 1;
  MuxRow *rows;

  if (call == NULL)
    return NULL;
  rows = call->rows;
  snprintf (rows[WRITE_HEAD].key, MUX_ROW_KEY_LEN, "%s", CONFIG_HEAD_KEY);
  rows[WRITE_HEAD].rev = change->head_rev;
  rows[WRITE_HEAD].value = config_json_blob (
      json_pack ("{s:I}", "revision", (json_int_t) revision));
  config_log_key (rows[WRITE_LOG].key, revision);
  rows[WRITE_LOG].rev = MUX_REV_ABSENT;
  rows[WRITE_LOG].value = config_json_blob (json_incref (change->row));
  change_key (rows[WRITE_CHANGE].key, change->change_id);
  rows[WRITE_CHANGE].rev = MUX_REV_ABSENT;
  rows[WRITE_CHANGE].value = config_json_blob (
      json_pack ("{s:I}", "revision", (json_int_t) revision));
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
refuse_with_findings (MuxCore *core,
                      ConfigChange *change,
                      const MuxFindings *findings)
{
  core_respond_findings (core, change->call_id, findings);
  change_finish (core, change);
}

/* The chain of the object's changes is broken where the object was removed and
 * forgotten, so its older value can't be found. */
static void
look_up_failed (MuxCore *core, ConfigChange *change)
{
  MuxFindings findings = { 0 };

  mux_findings_add (&findings, "to",
                    "revision %" PRIu64 " of %s can't be found from its "
                    "changes; set the value shown by the history",
                    change->revert_to, change->name);
  refuse_with_findings (core, change, &findings);
}

static void
look_up_found (ConfigChange *change, const json_t *value)
{
  json_decref (change->value);
  change->value
      = json_is_object (value) ? json_incref ((json_t *) value) : NULL;
  change->revert = false;
}

/* Follows the chain of changes one step back. Returns false where it is
 * broken. */
static bool
look_up_step (ConfigChange *change, const json_t *row)
{
  const char *name = json_string_value (json_object_get (row, "name"));
  uint64_t prior = json_number (row, "prior");

  if (name == NULL || strcmp (name, change->name) != 0
      || ++change->revisions_read > CONFIG_REVERT_REVISIONS_MAX)
    return false;
  if (change->cursor <= change->revert_to)
    look_up_found (change, json_object_get (row, "value"));
  else if (prior == 0 && change->revert_to <= json_number (row, "floor"))
    return false;
  else if (prior == 0)
    look_up_found (change, NULL);
  change->cursor = prior;
  return true;
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
  if (reply->status != MUX_TABLE_OK || reply->row_count == 0)
    change_store_down (core, change);
  else
    {
      row = config_row_json (&reply->rows[0]);
      change->state = CHANGE_PAUSED;
      if (!look_up_step (change, row))
        look_up_failed (core, change);
      json_decref (row);
    }
  config_changes_run (core);
}

/* Reads the log row at the cursor. Each row names the previous change of its
 * object. */
static void
change_look_up (MuxCore *core, ConfigChange *change)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 1);

  if (call != NULL)
    config_log_key (call->rows[0].key, change->cursor);
  change_call (core, change, CHANGE_LOOK_UP, call, look_up_done);
}

static bool
change_conflicts (const ConfigChange *change, const ConfigObject *object)
{
  return change->has_expected
         && change->expected_revision != config_object_revision (object);
}

/* Starts or continues the search of the log for a revert. Refuses a revert to
 * a revision not reached yet, and one of an object of which nothing is
 * remembered. */
static void
change_look_up_begin (MuxCore *core,
                      ConfigChange *change,
                      const ConfigObject *object)
{
  const Config *config = core->config;

  if (change->revert_to > config->revision
      || (object == NULL && change->revert_to <= config->floor))
    {
      look_up_failed (core, change);
      return;
    }
  if (change->cursor == 0 && object != NULL)
    change->cursor = object->revision;
  if (change->cursor != 0)
    change_look_up (core, change);
  else
    {
      config_respond_absent (core, change->call_id, change->sort);
      change_finish (core, change);
    }
}

static void
change_validate (MuxCore *core, ConfigChange *change)
{
  MuxFindings findings = { 0 };

  if (!config_check (core->config, change->sort, change->name, &change->value,
                     &findings))
    change_pause (core, change, MUX_REASON_INTERNAL);
  else if (findings.count > 0)
    refuse_with_findings (core, change, &findings);
  else
    change_write (core, change);
}

/* Decides on the change, with the revision of the head in force. */
static void
change_decide (MuxCore *core, ConfigChange *change)
{
  ConfigObject *object
      = config_object (core->config, change->sort, change->name);
  bool exists = config_object_revision (object) != 0;

  if (change_conflicts (change, object))
    {
      config_respond_conflict (core, change->call_id, object);
      change_finish (core, change);
    }
  else if (change->revert)
    change_look_up_begin (core, change, object);
  else if (change->sort == MUX_CONFIG_DRAIN
           && exists == (change->value != NULL))
    change_accepted (core, change,
                     exists ? object->revision : core->config->revision);
  else if (change->value == NULL && !exists)
    {
      config_respond_absent (core, change->call_id, change->sort);
      change_finish (core, change);
    }
  else
    change_validate (core, change);
}

static void
change_checked (MuxCore *core, ConfigChange *change, const MuxRow *rows)
{
  Config *config = core->config;
  uint64_t revision, head;

  if (!config_row_revision (&rows[CHECK_CHANGE], &revision)
      || !config_row_revision (&rows[CHECK_HEAD], &head))
    {
      change_expire (core, change, MUX_REASON_INTERNAL);
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
  /* The two rows are not read atomically, and the revision in force may have
   * changed since. Only if it was the same from before the check until now
   * does the absent change row show that no earlier write took effect. */
  else if (head != change->checked_revision || config->revision != head)
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
      config_set_store_down (core, false);
      change_checked (core, change, reply->rows);
    }
  config_changes_run (core);
}

void
change_check (MuxCore *core, ConfigChange *change)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, CHECK_ROWS);

  change->checked_revision = core->config->revision;
  if (call != NULL)
    {
      change_key (call->rows[CHECK_CHANGE].key, change->change_id);
      snprintf (call->rows[CHECK_HEAD].key, MUX_ROW_KEY_LEN, "%s",
                CONFIG_HEAD_KEY);
    }
  change_call (core, change, CHANGE_CHECK, call, check_done);
}
