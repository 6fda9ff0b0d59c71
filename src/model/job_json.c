#include "model/job.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool
put (json_t *object, const char *key, json_t *value)
{
  return json_object_set_new (object, key, value) == 0;
}

/* Fields that are 0, false or "" are left out of the stored form and read back
 * as such: most steps use few of their fields, and the store charges by size.
 */
static bool
put_number (json_t *object, const char *key, int64_t value)
{
  return value == 0 || put (object, key, json_integer (value));
}

static bool
put_text (json_t *object, const char *key, const char *value)
{
  return value[0] == 0 || put (object, key, json_string (value));
}

static bool
put_named (json_t *object, const MuxStepSpec *step)
{
  json_t *list;

  if (step->named_count == 0)
    return true;
  list = json_array ();
  for (uint32_t i = 0; list != NULL && i < step->named_count; i++)
    if (json_array_append_new (list, json_string (step->named[i])) != 0)
      {
        json_decref (list);
        return false;
      }
  return list != NULL && put (object, "named", list);
}

static json_t *
step_to_json (const MuxStepSpec *step)
{
  json_t *json = json_object ();
  bool ok = json != NULL && put_number (json, "count", step->count)
            && put_number (json, "cpu_milli", step->size.cpu_milli)
            && put_number (json, "mem_mib", step->size.mem_mib)
            && put_number (json, "accels", step->size.accels)
            && put_number (json, "estimate_ms", step->estimate_ms)
            && put_number (json, "after", (int64_t) step->after)
            && put_number (json, "checkpointing", step->checkpointing)
            && put_number (json, "gang", step->gang)
            && put_number (json, "rack_sensitive", step->rack_sensitive)
            && put_number (json, "copies_allowed", step->copies_allowed)
            && put_number (json, "long_running", step->long_running)
            && put_number (json, "fills", step->best_effort)
            && put_text (json, "label", step->label)
            && put_text (json, "data_rack", step->data_rack)
            && put_number (json, "per_worker_max", step->per_worker_max)
            && put_number (json, "unavailable_max", step->unavailable_max)
            && put_number (json, "tail_target_ms", step->tail_target_ms)
            && put_named (json, step);

  if (ok)
    return json;
  json_decref (json);
  return NULL;
}

static json_t *
queue_to_json (const MuxQueueSpec *queue)
{
  const MuxApprovalSpec *approval = &queue->approval;
  json_t *json = json_object ();
  bool ok
      = json != NULL && put_text (json, "name", queue->name)
        && put_text (json, "service", queue->service)
        && put_number (json, "priority", queue->priority)
        && put_number (json, "attempts_max", queue->attempts_max)
        && put_number (json, "slack_milli", queue->slack_milli)
        && put_number (json, "target_ms", queue->target_ms)
        && put_number (json, "approval", approval->required)
        && put_number (json, "approval_base_us", approval->base_us)
        && put_number (json, "approval_per_worker_us", approval->per_worker_us)
        && put_number (json, "approval_valid_ms", approval->valid_ms);

  if (ok)
    return json;
  json_decref (json);
  return NULL;
}

static json_t *
steps_to_json (const MuxJobSpec *job)
{
  json_t *steps = json_array ();

  for (uint32_t i = 0; steps != NULL && i < job->step_count; i++)
    if (json_array_append_new (steps, step_to_json (&job->step[i])) != 0)
      {
        json_decref (steps);
        return NULL;
      }
  return steps;
}

json_t *
mux_job_to_json (const MuxJobSpec *job)
{
  json_t *json = json_object ();
  bool ok
      = json != NULL && put_text (json, "id", job->id)
        && put_text (json, "workspace", job->workspace)
        && put (json, "queue", queue_to_json (&job->queue))
        && put_text (json, "payload", job->payload != NULL ? job->payload : "")
        && put_number (json, "accepted_wall_ms", job->accepted_wall_ms)
        && put_text (json, "data_centre", job->data_centre)
        && put_number (json, "first_due_ms", job->first_due_ms)
        && put_number (json, "repetitions", job->repetitions)
        && put_number (json, "interval_ms", job->interval_ms)
        && put (json, "steps", steps_to_json (job));

  if (ok)
    return json;
  json_decref (json);
  return NULL;
}

/* Readers of optional fields.  A missing field reads as 0, false or ""; one of
 * another type, out of range or too long is added to @findings. */
static int64_t
get_number (const json_t *json,
            const char *key,
            int64_t min,
            int64_t max,
            MuxFindings *findings)
{
  const json_t *value = json_object_get (json, key);
  json_int_t n = json_integer_value (value);

  if (value == NULL || (json_is_integer (value) && n >= min && n <= max))
    return n;
  mux_findings_add (findings, key, "must be an integer within its range");
  return 0;
}

static uint32_t
get_u32 (const json_t *json, const char *key, MuxFindings *findings)
{
  return (uint32_t) get_number (json, key, 0, UINT32_MAX, findings);
}

static bool
get_flag (const json_t *json, const char *key, MuxFindings *findings)
{
  return get_number (json, key, 0, 1, findings) != 0;
}

static const char *
get_text (const json_t *json, const char *key, MuxFindings *findings)
{
  const json_t *value = json_object_get (json, key);

  if (value != NULL && !json_is_string (value))
    mux_findings_add (findings, key, "must be a string");
  return json_is_string (value) ? json_string_value (value) : "";
}

static void
get_name (const json_t *json,
          const char *key,
          char name[MUX_NAME_LEN],
          MuxFindings *findings)
{
  if (!mux_name_copy (name, get_text (json, key, findings)))
    mux_findings_add (findings, key, "is too long");
}

/* An invalid name is an error: if it were skipped, a run on that worker would
 * not be found. */
static void
read_named (const json_t *json, MuxStepSpec *step, MuxFindings *findings)
{
  const json_t *list = json_object_get (json, "named");
  size_t count = json_array_size (list);

  if (list == NULL)
    return;
  if (!json_is_array (list) || count > MUX_STEP_NAMED_MAX)
    {
      mux_findings_add (findings, "named", "must be a list of at most %d names",
                        MUX_STEP_NAMED_MAX);
      return;
    }
  step->named = calloc (count > 0 ? count : 1, sizeof *step->named);
  if (step->named == NULL)
    {
      mux_findings_add (findings, "named", "out of memory");
      return;
    }
  for (size_t i = 0; i < count; i++)
    {
      const char *name = json_string_value (json_array_get (list, i));

      if (name == NULL || !mux_name_copy (step->named[i], name))
        mux_findings_add (findings, "named",
                          "has an entry that is not a valid name");
    }
  step->named_count = (uint32_t) count;
}

static void
step_from_json (const json_t *json, MuxStepSpec *step, MuxFindings *findings)
{
  if (!json_is_object (json))
    mux_findings_add (findings, "steps", "has an entry that is not an object");
  step->count = get_u32 (json, "count", findings);
  step->size.cpu_milli = get_u32 (json, "cpu_milli", findings);
  step->size.mem_mib = get_u32 (json, "mem_mib", findings);
  step->size.accels = get_u32 (json, "accels", findings);
  step->estimate_ms = get_u32 (json, "estimate_ms", findings);
  step->after = (uint64_t) get_number (json, "after", 0, INT64_MAX, findings);
  step->checkpointing = get_flag (json, "checkpointing", findings);
  step->gang = get_flag (json, "gang", findings);
  step->rack_sensitive = get_flag (json, "rack_sensitive", findings);
  step->copies_allowed = get_flag (json, "copies_allowed", findings);
  step->long_running = get_flag (json, "long_running", findings);
  step->best_effort = get_flag (json, "fills", findings);
  get_name (json, "label", step->label, findings);
  get_name (json, "data_rack", step->data_rack, findings);
  step->per_worker_max = get_u32 (json, "per_worker_max", findings);
  step->unavailable_max = get_u32 (json, "unavailable_max", findings);
  step->tail_target_ms = get_u32 (json, "tail_target_ms", findings);
  read_named (json, step, findings);
}

static void
queue_from_json (const json_t *json, MuxQueueSpec *queue, MuxFindings *findings)
{
  get_name (json, "name", queue->name, findings);
  get_name (json, "service", queue->service, findings);
  queue->priority = get_u32 (json, "priority", findings);
  queue->attempts_max = get_u32 (json, "attempts_max", findings);
  queue->slack_milli = get_u32 (json, "slack_milli", findings);
  queue->target_ms = get_u32 (json, "target_ms", findings);
  queue->approval.required = get_flag (json, "approval", findings);
  queue->approval.base_us = get_u32 (json, "approval_base_us", findings);
  queue->approval.per_worker_us
      = get_u32 (json, "approval_per_worker_us", findings);
  queue->approval.valid_ms = get_u32 (json, "approval_valid_ms", findings);
  /* Every queue has both.  Without a service no task would start, and without
   * attempts the job would fail at once. */
  if (queue->service[0] == 0)
    mux_findings_add (findings, "service", "is missing");
  if (queue->attempts_max == 0)
    mux_findings_add (findings, "attempts_max", "is missing");
}

static bool
read_job (const json_t *json, MuxJobSpec *job, MuxFindings *findings)
{
  const json_t *steps = json_object_get (json, "steps");
  const char *id = get_text (json, "id", findings);

  /* A truncated id could be that of another job; an id that is too long stays
   * empty, which mux_job_check() rejects. */
  if (strlen (id) < sizeof job->id)
    snprintf (job->id, sizeof job->id, "%s", id);
  get_name (json, "workspace", job->workspace, findings);
  job->payload = strdup (get_text (json, "payload", findings));
  queue_from_json (json_object_get (json, "queue"), &job->queue, findings);
  job->accepted_wall_ms
      = get_number (json, "accepted_wall_ms", 0, MUX_WALL_MS_MAX, findings);
  get_name (json, "data_centre", job->data_centre, findings);
  job->first_due_ms = get_number (json, "first_due_ms", -MUX_WALL_MS_MAX,
                                  MUX_WALL_MS_MAX, findings);
  job->repetitions = get_u32 (json, "repetitions", findings);
  job->interval_ms
      = get_number (json, "interval_ms", 0, MUX_WALL_MS_MAX, findings);
  for (uint32_t i = 0; i < job->step_count; i++)
    step_from_json (json_array_get (steps, i), &job->step[i], findings);
  return job->payload != NULL;
}

MuxJobSpec *
mux_job_from_json (const json_t *json, MuxFindings *findings)
{
  size_t steps = json_array_size (json_object_get (json, "steps"));
  MuxJobSpec *job;

  if (steps == 0 || steps > MUX_STEPS_MAX)
    {
      mux_findings_add (findings, "steps", "must have 1 to %d entries",
                        MUX_STEPS_MAX);
      return NULL;
    }
  job = mux_job_new ((uint32_t) steps);
  if (job == NULL)
    {
      mux_findings_add (findings, "job", "out of memory");
      return NULL;
    }
  if (read_job (json, job, findings) && mux_job_check (job, findings)
      && findings->count == 0)
    return job;
  mux_job_free (job);
  return NULL;
}
