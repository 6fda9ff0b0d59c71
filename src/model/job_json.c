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

/* What is 0, false or "" is left out and read back as such: most steps use
 * few of their fields, and each stored byte is paid for. */
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
            && put_number (json, "fills", step->fills)
            && put_text (json, "label", step->label)
            && put_text (json, "data_rack", step->data_rack)
            && put_number (json, "per_worker_max", step->per_worker_max)
            && put_number (json, "unavailable_max", step->unavailable_max)
            && put_number (json, "tail_target_ms", step->tail_target_ms);

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
        && put_number (json, "approval", approval->needed)
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
        && put (json, "queue", queue_to_json (&job->queue))
        && put_text (json, "payload", job->payload != NULL ? job->payload : "")
        && put_number (json, "accepted_wall_ms", job->accepted_wall_ms)
        && put_number (json, "first_due_ms", job->first_due_ms)
        && put_number (json, "repetitions", job->repetitions)
        && put_number (json, "interval_ms", job->interval_ms)
        && put (json, "steps", steps_to_json (job));

  if (ok)
    return json;
  json_decref (json);
  return NULL;
}

static uint32_t
get_u32 (const json_t *json, const char *key)
{
  json_int_t n = json_integer_value (json_object_get (json, key));

  return n > 0 && n <= UINT32_MAX ? (uint32_t) n : 0;
}

static void
get_name (const json_t *json, const char *key, char name[MUX_NAME_LEN])
{
  const char *text = json_string_value (json_object_get (json, key));

  if (text != NULL)
    (void) mux_name_copy (name, text);
}

static void
step_from_json (const json_t *json, MuxStepSpec *step)
{
  step->count = get_u32 (json, "count");
  step->size.cpu_milli = get_u32 (json, "cpu_milli");
  step->size.mem_mib = get_u32 (json, "mem_mib");
  step->size.accels = get_u32 (json, "accels");
  step->estimate_ms = get_u32 (json, "estimate_ms");
  step->after = (uint64_t) json_integer_value (json_object_get (json, "after"));
  step->checkpointing = get_u32 (json, "checkpointing") != 0;
  step->gang = get_u32 (json, "gang") != 0;
  step->rack_sensitive = get_u32 (json, "rack_sensitive") != 0;
  step->copies_allowed = get_u32 (json, "copies_allowed") != 0;
  step->long_running = get_u32 (json, "long_running") != 0;
  step->fills = get_u32 (json, "fills") != 0;
  get_name (json, "label", step->label);
  get_name (json, "data_rack", step->data_rack);
  step->per_worker_max = get_u32 (json, "per_worker_max");
  step->unavailable_max = get_u32 (json, "unavailable_max");
  step->tail_target_ms = get_u32 (json, "tail_target_ms");
}

static void
queue_from_json (const json_t *json, MuxQueueSpec *queue)
{
  get_name (json, "name", queue->name);
  get_name (json, "service", queue->service);
  queue->priority = get_u32 (json, "priority");
  queue->attempts_max = get_u32 (json, "attempts_max");
  queue->slack_milli = get_u32 (json, "slack_milli");
  queue->target_ms = get_u32 (json, "target_ms");
  queue->approval.needed = get_u32 (json, "approval") != 0;
  queue->approval.base_us = get_u32 (json, "approval_base_us");
  queue->approval.per_worker_us = get_u32 (json, "approval_per_worker_us");
  queue->approval.valid_ms = get_u32 (json, "approval_valid_ms");
}

static bool
fill_job (const json_t *json, MuxJobSpec *job)
{
  const json_t *steps = json_object_get (json, "steps");
  const char *id = json_string_value (json_object_get (json, "id"));
  const char *payload = json_string_value (json_object_get (json, "payload"));

  if (id != NULL)
    snprintf (job->id, sizeof job->id, "%s", id);
  job->payload = strdup (payload != NULL ? payload : "");
  queue_from_json (json_object_get (json, "queue"), &job->queue);
  job->accepted_wall_ms
      = json_integer_value (json_object_get (json, "accepted_wall_ms"));
  job->first_due_ms
      = json_integer_value (json_object_get (json, "first_due_ms"));
  job->repetitions = get_u32 (json, "repetitions");
  job->interval_ms = get_u32 (json, "interval_ms");
  for (uint32_t i = 0; i < job->step_count; i++)
    step_from_json (json_array_get (steps, i), &job->step[i]);
  return job->payload != NULL;
}

MuxJobSpec *
mux_job_from_json (const json_t *json, MuxFindings *findings)
{
  size_t steps = json_array_size (json_object_get (json, "steps"));
  MuxJobSpec *job;

  if (steps == 0 || steps > MUX_STEPS_MAX)
    {
      mux_findings_add (findings, "steps", "1 to %d are needed", MUX_STEPS_MAX);
      return NULL;
    }
  job = mux_job_new ((uint32_t) steps);
  if (job == NULL)
    {
      mux_findings_add (findings, "job", "memory is out");
      return NULL;
    }
  if (fill_job (json, job) && mux_job_check (job, findings))
    return job;
  mux_job_free (job);
  return NULL;
}
