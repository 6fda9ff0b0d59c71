#include "model/job.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CPU_MILLI 1000
#define ACCEL_CPU_MILLI 8000

static const char *const state_names[MUX_JOB_STATE_COUNT] = {
  [MUX_JOB_QUEUED] = "queued",       [MUX_JOB_ACTIVE] = "active",
  [MUX_JOB_COMPLETED] = "completed", [MUX_JOB_FAILED] = "failed",
  [MUX_JOB_CANCELLED] = "cancelled", [MUX_JOB_ABSENT] = "absent",
};

const char *
mux_job_state_name (MuxJobState state)
{
  return (uint32_t) state < MUX_JOB_STATE_COUNT ? state_names[state] : "?";
}

bool
mux_job_state_parse (const char *text, MuxJobState *state)
{
  for (uint32_t i = 0; text != NULL && i < MUX_JOB_STATE_COUNT; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *state = (MuxJobState) i;
        return true;
      }
  return false;
}

static bool
is_id_char (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || c == '-';
}

bool
mux_job_id_valid (const char *id)
{
  size_t len = strlen (id);

  if (len == 0 || len >= MUX_JOB_ID_LEN)
    return false;
  for (size_t i = 0; i < len; i++)
    if (!is_id_char (id[i]))
      return false;
  return true;
}

MuxJobSpec *
mux_job_new (uint32_t steps)
{
  MuxJobSpec *job = calloc (1, sizeof *job);

  if (job == NULL)
    return NULL;
  job->step_count = steps;
  job->step = calloc (steps > 0 ? steps : 1, sizeof *job->step);
  if (job->step != NULL)
    return job;
  free (job);
  return NULL;
}

void
mux_job_free (MuxJobSpec *job)
{
  if (job == NULL)
    return;
  free (job->payload);
  for (uint32_t i = 0; i < job->step_count; i++)
    free (job->step[i].named);
  free (job->step);
  free (job);
}

void
mux_job_set_queue (MuxJobSpec *job, const MuxQueueSpec *queue)
{
  job->queue = *queue;
  job->queue.host = NULL;
  job->queue.prefix = NULL;
}

static uint64_t
step_core_ms (const MuxStepSpec *step)
{
  uint64_t cpu_milli
      = step->size.cpu_milli + (uint64_t) step->size.accels * ACCEL_CPU_MILLI;
  uint64_t task_ms;
  uint64_t all_ms;

  if (__builtin_mul_overflow (cpu_milli, step->estimate_ms, &task_ms)
      || __builtin_mul_overflow (task_ms / CPU_MILLI, step->count, &all_ms))
    return INT64_MAX;
  return all_ms < INT64_MAX ? all_ms : INT64_MAX;
}

int64_t
mux_job_core_ms (const MuxJobSpec *job)
{
  uint64_t sum_ms = 0;

  for (uint32_t i = 0; i < job->step_count && sum_ms < INT64_MAX; i++)
    sum_ms += step_core_ms (&job->step[i]);
  return sum_ms < INT64_MAX ? (int64_t) sum_ms : INT64_MAX;
}

static void
check_step (const MuxJobSpec *job, uint32_t i, MuxFindings *findings)
{
  const MuxStepSpec *step = &job->step[i];
  char place[32];

  snprintf (place, sizeof place, "steps[%" PRIu32 "]", i);
  if (step->count == 0 || step->count > MUX_STEP_TASKS_MAX)
    mux_findings_add (findings, place, "must have a count of 1 to %d tasks",
                      MUX_STEP_TASKS_MAX);
  if (step->after >> i != 0)
    mux_findings_add (findings, place, "may depend on earlier steps only");
}

bool
mux_job_check (const MuxJobSpec *job, MuxFindings *findings)
{
  uint32_t before = findings->count;

  if (!mux_job_id_valid (job->id))
    mux_findings_add (findings, "id",
                      "must be 1 to %d characters of a-z A-Z 0-9 -",
                      MUX_JOB_ID_LEN - 1);
  (void) mux_job_check_content (job, findings);
  return findings->count == before;
}

bool
mux_job_check_content (const MuxJobSpec *job, MuxFindings *findings)
{
  uint32_t before = findings->count;

  if (job->step_count == 0 || job->step_count > MUX_STEPS_MAX)
    mux_findings_add (findings, "steps", "must have 1 to %d entries",
                      MUX_STEPS_MAX);
  else
    for (uint32_t i = 0; i < job->step_count; i++)
      check_step (job, i, findings);
  if (job->first_due_ms > MUX_WALL_MS_MAX
      || job->first_due_ms < -MUX_WALL_MS_MAX)
    mux_findings_add (findings, "first_due_ms", "is out of range");
  if (job->interval_ms < 0 || job->interval_ms > MUX_WALL_MS_MAX)
    mux_findings_add (findings, "interval_ms", "is out of range");
  if (job->payload != NULL && strlen (job->payload) > MUX_JOB_PAYLOAD_MAX)
    mux_findings_add (findings, "payload", "must be at most %d bytes",
                      MUX_JOB_PAYLOAD_MAX);
  return findings->count == before;
}

MuxQueueConfig *
mux_queue_config_new (uint32_t count)
{
  MuxQueueConfig *config;

  config = calloc (1, sizeof *config + count * sizeof config->item[0]);
  if (config != NULL)
    config->count = count;
  return config;
}

static bool
copy_queue (MuxQueueSpec *to, const MuxQueueSpec *from)
{
  *to = *from;
  to->host = strdup (from->host);
  to->prefix = strdup (from->prefix);
  return to->host != NULL && to->prefix != NULL;
}

bool
mux_queue_config_alloc_pools (MuxQueueConfig *config, uint32_t count)
{
  config->pool = calloc (count, sizeof *config->pool);
  if (config->pool == NULL && count > 0)
    return false;
  config->pool_count = count;
  return true;
}

MuxQueueConfig *
mux_queue_config_copy (const MuxQueueConfig *from)
{
  MuxQueueConfig *config = mux_queue_config_new (from->count);
  bool ok = config != NULL;

  if (!ok)
    return NULL;
  config->version = from->version;
  for (uint32_t i = 0; i < from->count; i++)
    ok = copy_queue (&config->item[i], &from->item[i]) && ok;
  ok = mux_queue_config_alloc_pools (config, from->pool_count) && ok;
  for (uint32_t i = 0; i < config->pool_count; i++)
    config->pool[i] = from->pool[i];
  if (from->workspaces != NULL)
    config->workspaces = mux_workspaces_copy (from->workspaces);
  if (ok && (from->workspaces == NULL || config->workspaces != NULL))
    return config;
  mux_queue_config_free (config);
  return NULL;
}

void
mux_queue_config_free (MuxQueueConfig *config)
{
  if (config == NULL)
    return;
  mux_workspaces_free (config->workspaces);
  free (config->pool);
  for (uint32_t i = 0; i < config->count; i++)
    {
      free (config->item[i].host);
      free (config->item[i].prefix);
    }
  free (config);
}

const MuxQueueSpec *
mux_queue_find (const MuxQueueConfig *config,
                const char *host,
                const char *path,
                const char **rest)
{
  const MuxQueueSpec *best = NULL;
  size_t best_len = 0;

  for (uint32_t i = 0; i < config->count; i++)
    {
      const MuxQueueSpec *queue = &config->item[i];
      size_t len = strlen (queue->prefix);

      if (strcmp (queue->host, host) != 0
          || strncmp (queue->prefix, path, len) != 0)
        continue;
      if (best != NULL && len <= best_len)
        continue;
      best = queue;
      best_len = len;
    }
  if (best != NULL)
    *rest = path + best_len;
  return best;
}
