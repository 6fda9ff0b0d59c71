#include "jobs_private.h"

#include "config.h"

#include <stdlib.h>

/* Interval of retries to make Tasks for slots that still need one. */
#define ACTIVATION_INTERVAL_MS 1000
/* Delay from the first contact with a daemon to a scan of the open jobs: the
 * other live daemons must have been heard from by then. */
#define NEW_MEMBER_SCAN_MS INT64_C (3000)

Jobs *
jobs_new (void)
{
  return calloc (1, sizeof (Jobs));
}

void
jobs_free (Jobs *jobs)
{
  free (jobs);
}

void
jobs_clear (MuxCore *core)
{
  Job *job, *next;

  if (core->jobs == NULL)
    return;
  HASH_ITER (hh, core->jobs->open, job, next)
  job_free (core, job);
  job_submits_free (core);
  job_waits_free (core);
  job_rechecks_free (core);
}

Job *
job_find (MuxCore *core, MuxId id)
{
  Job *job;

  HASH_FIND (hh, core->jobs->open, &id, sizeof id, job);
  return job;
}

static void
arrays_free (Job *job)
{
  free (job->slots);
  free (job->dirty);
  free (job->in_write);
  free (job->part_rev);
  free (job->inflight_keys);
  free (job->pending_keys);
}

Job *
job_of_generation (MuxCore *core, MuxId id, uint64_t generation)
{
  Job *job = job_find (core, id);

  return job != NULL && job->generation == generation ? job : NULL;
}

Job *
job_new (MuxCore *core, const JobHeader *header, uint64_t rev, MuxBlob *body)
{
  Job *job = calloc (1, sizeof *job);

  if (job == NULL)
    return NULL;
  job->slots = calloc (header->task_count, sizeof *job->slots);
  job->dirty = calloc (job_part_count (header), sizeof *job->dirty);
  job->in_write = calloc (job_part_count (header), sizeof *job->in_write);
  job->part_rev = calloc (job_part_count (header), sizeof *job->part_rev);
  job->inflight_keys = calloc (header->task_count, sizeof *job->inflight_keys);
  job->pending_keys = calloc (header->task_count, sizeof *job->pending_keys);
  if (job->slots == NULL || job->dirty == NULL || job->in_write == NULL
      || job->part_rev == NULL || job->inflight_keys == NULL
      || job->pending_keys == NULL)
    {
      arrays_free (job);
      free (job);
      return NULL;
    }
  job->id = header->id;
  job->generation = ++core->jobs->last_generation;
  job->header = *header;
  job->rev = rev;
  job->body = mux_blob_ref (body);
  HASH_ADD (hh, core->jobs->open, id, sizeof job->id, job);
  return job;
}

void
job_free (MuxCore *core, Job *job)
{
  HASH_DEL (core->jobs->open, job);
  mux_blob_unref (job->body);
  arrays_free (job);
  free (job);
}

static void
refuse (MuxCore *core, const MuxCoreRequest *request, MuxReason reason)
{
  core_respond (core, request->call_id, MUX_OUTCOME_NOT_RUN, reason,
                RETRY_MS * 10, request->id, NULL);
}

void
jobs_request (MuxCore *core, const MuxCoreRequest *request)
{
  if (core->stopping && request->verb != MUX_CORE_JOB_GET
      && request->verb != MUX_CORE_JOB_LIST)
    {
      refuse (core, request, MUX_REASON_STOPPING);
      return;
    }
  switch (request->verb)
    {
    case MUX_CORE_JOB_SUBMIT:
      job_submit (core, request);
      break;
    case MUX_CORE_JOB_WAIT:
      job_wait (core, request);
      break;
    case MUX_CORE_JOB_CANCEL:
      job_request_cancel (core, request);
      break;
    case MUX_CORE_JOB_LIST:
      job_list (core, request);
      break;
    default:
      job_show (core, request);
      break;
    }
}

/*
 * A job may be adopted before this daemon has its class, as right after a
 * start, or its class be configured again after it was removed.  No event of
 * the job itself would then make it go on.
 */
static void
activate_waiting_tasks (MuxCore *core)
{
  Job *job, *next;

  if (core->now_ms < core->jobs->next_activation_ms)
    return;
  core->jobs->next_activation_ms = core->now_ms + ACTIVATION_INTERVAL_MS;
  HASH_ITER (hh, core->jobs->open, job, next)
  if (job->loaded && job->next_new < job->header.task_count)
    job_activate_tasks (core, job);
}

void
jobs_tick (MuxCore *core)
{
  Job *job, *next;

  if (!core->stopping)
    job_scan (core);
  job_waits_tick (core);
  activate_waiting_tasks (core);
  HASH_ITER (hh, core->jobs->open, job, next)
  {
    job_gang_tick (core, job);
    job_write (core, job);
  }
}

int64_t
jobs_wake_ms (const MuxCore *core)
{
  /* A stopping daemon adopts nothing, so these would stay overdue. */
  int64_t at = core->stopping ? INT64_MAX : core->jobs->next_scan_ms;
  int64_t recheck = core->stopping ? INT64_MAX : job_rechecks_wake_ms (core);
  int64_t wait = job_waits_wake_ms (core);
  int64_t write_ms;

  for (const Job *job = core->jobs->open; job != NULL; job = job->hh.next)
    {
      if (job->gang_state != GANG_NONE && job->gang_timer_ms < at)
        at = job->gang_timer_ms;
      write_ms = job_write_wake_ms (core, job);
      if (write_ms < at)
        at = write_ms;
    }
  if (wait < at)
    at = wait;
  if (recheck < at)
    at = recheck;
  return at;
}

void
jobs_member_dead (MuxCore *core, const char *name)
{
  (void) name;
  /* The jitter keeps the daemons from scanning all at the same moment. */
  job_scan_soon (core, RETRY_MS);
}

/*
 * A daemon may record jobs while it is partitioned from this one, die, and come
 * back when the partition has healed.  Its previous incarnation was never known
 * here, so its death causes no scan, and its jobs would wait for the next
 * regular one.
 */
void
jobs_member_new (MuxCore *core)
{
  const Jobs *jobs = core->jobs;

  /* A scan is due soon anyway, as after this daemon's own start. */
  if (!jobs->scanning && jobs->scan_after[0] == 0
      && jobs->next_scan_ms <= core->now_ms + 2 * NEW_MEMBER_SCAN_MS)
    return;
  job_scan_soon (core, NEW_MEMBER_SCAN_MS);
}

void
jobs_row_changed (MuxCore *core, MuxId id)
{
  Job *job = job_find (core, id);

  if (job != NULL)
    job_reread (core, job);
}

bool
jobs_all_recorded (MuxCore *core)
{
  Job *job, *next;

  /* A placement that is not yet written must not be lost with this process: the
   * daemon that adopts the job looks only where the rows say. */
  HASH_ITER (hh, core->jobs->open, job, next)
  if (job->writing || job->urgent)
    return false;
  return core->jobs->submits == NULL;
}
