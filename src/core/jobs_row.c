#include "jobs_private.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Keys and contents of a job's rows. */

const char *
job_state_name (JobState state)
{
  static const char *const names[JOB_STATE_COUNT]
      = { "open", "done", "failed", "cancelled" };

  return names[state];
}

const char *
slot_state_name (SlotState state)
{
  static const char *const names[SLOT_STATE_COUNT]
      = { "new", "placed", "done", "failed", "unknown", "cancelled" };

  return names[state];
}

static bool
job_state_parse (const char *text, JobState *state)
{
  for (uint32_t i = 0; i < JOB_STATE_COUNT; i++)
    if (strcmp (text, job_state_name ((JobState) i)) == 0)
      {
        *state = (JobState) i;
        return true;
      }
  return false;
}

void
job_row_key (const char *prefix, MuxId id, char out[MUX_ROW_KEY_LEN])
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (id, hex);
  snprintf (out, MUX_ROW_KEY_LEN, "job/%s/%s", prefix, hex);
}

void
job_part_key (MuxId id, uint32_t part, char out[MUX_ROW_KEY_LEN])
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (id, hex);
  snprintf (out, MUX_ROW_KEY_LEN, "job/part/%s/%04u", hex, part);
}

uint32_t
job_part_count (const JobHeader *header)
{
  return (header->task_count + TASKS_PER_PART - 1) / TASKS_PER_PART;
}

static MuxBlob *
json_blob (json_t *json)
{
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);
  MuxBlob *blob = text == NULL ? NULL : mux_blob_new (text, strlen (text));

  json_decref (json);
  free (text);
  return blob;
}

MuxBlob *
job_header_to_blob (const JobHeader *header)
{
  char hex[MUX_ID_HEX_LEN];

  mux_id_format (header->id, hex);
  return json_blob (json_pack (
      "{s:s, s:s, s:I, s:s, s:b, s:s, s:I, s:s, s:I, s:I, s:I}", "id", hex,
      "class", header->class_name, "task_count",
      (json_int_t) header->task_count, "state", job_state_name (header->state),
      "cancel", header->cancel_requested, "home", header->home,
      "home_incarnation", (json_int_t) header->home_incarnation, "object",
      header->object, "done", (json_int_t) header->done, "failed",
      (json_int_t) header->failed, "at_ms", (json_int_t) header->at_ms));
}

bool
job_header_from_blob (const MuxBlob *blob, JobHeader *header)
{
  json_t *json
      = blob == NULL ? NULL : json_loadb (blob->bytes, blob->len, 0, NULL);
  const char *id, *class_name, *state, *home, *object;
  json_int_t tasks, incarnation, done, failed, at_ms;
  int cancel;
  bool valid
      = json != NULL
        && json_unpack (
               json, "{s:s, s:s, s:I, s:s, s:b, s:s, s:I, s:s, s:I, s:I, s:I}",
               "id", &id, "class", &class_name, "task_count", &tasks, "state",
               &state, "cancel", &cancel, "home", &home, "home_incarnation",
               &incarnation, "object", &object, "done", &done, "failed",
               &failed, "at_ms", &at_ms)
               == 0;

  *header = (JobHeader){ 0 };
  valid = valid && mux_id_parse (id, &header->id)
          && job_state_parse (state, &header->state) && tasks > 0
          && tasks <= MUX_JOB_TASKS_MAX && strlen (object) < OBJECT_KEY_LEN
          && mux_name_copy (header->class_name, class_name)
          && mux_name_copy (header->home, home);
  if (valid)
    {
      header->task_count = (uint32_t) tasks;
      header->cancel_requested = cancel != 0;
      header->home_incarnation = (uint64_t) incarnation;
      header->done = (uint32_t) done;
      header->failed = (uint32_t) failed;
      header->at_ms = at_ms;
      snprintf (header->object, sizeof header->object, "%s", object);
    }
  json_decref (json);
  return valid;
}

static uint32_t
part_end (const Job *job, uint32_t part)
{
  uint32_t end = (part + 1) * TASKS_PER_PART;

  return end < job->header.task_count ? end : job->header.task_count;
}

MuxBlob *
job_part_to_blob (const Job *job, uint32_t part)
{
  json_t *array = json_array ();

  for (uint32_t i = part * TASKS_PER_PART; i < part_end (job, part); i++)
    {
      const Slot *slot = &job->slots[i];

      json_array_append_new (
          array, json_pack ("[I, I, s, s, I, I]", (json_int_t) slot->state,
                            (json_int_t) slot->attempt, slot->worker,
                            slot->addr, (json_int_t) slot->incarnation,
                            (json_int_t) slot->not_after_ms));
    }
  return json_blob (array);
}

static bool
slot_from_json (Slot *slot, json_t *json)
{
  json_int_t state, attempt, incarnation, not_after_ms;
  const char *worker, *addr;

  if (json_unpack (json, "[I, I, s, s, I, I]", &state, &attempt, &worker, &addr,
                   &incarnation, &not_after_ms)
          != 0
      || state < 0 || state >= SLOT_STATE_COUNT || attempt < 0
      || attempt >= UINT32_MAX || strlen (addr) >= MUX_ADDR_LEN
      || !mux_name_copy (slot->worker, worker))
    return false;
  slot->state = (SlotState) state;
  slot->attempt = (uint32_t) attempt;
  slot->incarnation = (uint64_t) incarnation;
  slot->not_after_ms = not_after_ms;
  snprintf (slot->addr, sizeof slot->addr, "%s", addr);
  return true;
}

bool
job_part_from_blob (Job *job, uint32_t part, const MuxBlob *blob)
{
  json_t *array
      = blob == NULL ? NULL : json_loadb (blob->bytes, blob->len, 0, NULL);
  uint32_t first = part * TASKS_PER_PART;
  bool valid = json_is_array (array)
               && json_array_size (array) == part_end (job, part) - first;

  for (uint32_t i = first; valid && i < part_end (job, part); i++)
    valid = slot_from_json (&job->slots[i], json_array_get (array, i - first));
  json_decref (array);
  return valid;
}

uint32_t
job_part_of_key (const Job *job, const char *key)
{
  const char *number = strrchr (key, '/');
  char want[MUX_ROW_KEY_LEN];
  uint32_t part
      = number == NULL ? UINT32_MAX : (uint32_t) strtoul (number + 1, NULL, 10);

  if (part >= job_part_count (&job->header))
    return UINT32_MAX;
  job_part_key (job->id, part, want);
  return strcmp (want, key) == 0 ? part : UINT32_MAX;
}

void
job_set_part_revisions (Job *job, const MuxTableReply *reply)
{
  memset (job->part_rev, 0,
          job_part_count (&job->header) * sizeof *job->part_rev);
  for (uint32_t i = 0; i < reply->row_count; i++)
    {
      uint32_t part = job_part_of_key (job, reply->rows[i].key);

      if (part < job_part_count (&job->header))
        job->part_rev[part] = reply->rows[i].rev;
    }
}

bool
job_read_parts (MuxCore *core, Job *job, TableCallback done)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_SCAN, 2);
  char hex[MUX_ID_HEX_LEN];

  if (call == NULL)
    return false;
  mux_id_format (job->id, hex);
  snprintf (call->rows[0].key, sizeof call->rows[0].key, "job/part/%s/", hex);
  call->limit = MUX_ROWS_MAX;
  return call_table (core, call, done, job->id, job->generation);
}
