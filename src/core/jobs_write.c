#include "call.h"
#include "commit.h"
#include "jobs_private.h"

#include <stdlib.h>
#include <string.h>

/* Writes of the rows of jobs handled here, and reads after a refused one. */

/* Pause after a write or read that the store did not serve. */
#define STORE_PAUSE_MS 1000

/* Notifies the tasks whose placement was in the write. */
static void
notify_written (MuxCore *core, Job *job)
{
  TaskEvent event = { .kind = TASK_EV_ROW_WRITTEN };

  /* A task's next step may add to the pending placements; the job itself ends
   * or is dropped only by replies of the store. */
  for (uint32_t i = 0; i < job->inflight_count; i++)
    {
      Task *task = task_find (core, job->inflight_keys[i]);

      if (task != NULL && task->state == TASK_RECORDING)
        task_event (core, task, &event);
    }
  job->inflight_count = 0;
}

/* The write failed or its outcome is unknown: it becomes due again, and the
 * tasks keep waiting for it. */
static void
retry_write (MuxCore *core, Job *job, int64_t pause_ms)
{
  for (uint32_t i = 0;
       i < job->inflight_count && job->pending_count < job->header.task_count;
       i++)
    job->pending_keys[job->pending_count++] = job->inflight_keys[i];
  job->inflight_count = 0;
  for (uint32_t i = 0; i < job_part_count (&job->header); i++)
    job->dirty[i] = job->dirty[i] || job->in_write[i];
  job->dirty_any = true;
  job->write_ms = core->now_ms + core_jitter (core, pause_ms);
}

static void
set_written_revisions (Job *job, uint64_t rev)
{
  for (uint32_t i = 0; i < job_part_count (&job->header); i++)
    if (job->in_write[i])
      job->part_rev[i] = rev;
}

static void
write_failed (MuxCore *core, Job *job, MuxTableStatus status)
{
  switch (status)
    {
    case MUX_TABLE_OK:
      break;
    case MUX_TABLE_CONFLICT:
      retry_write (core, job, 0);
      job->needs_reread = true;
      break;
    case MUX_TABLE_UNKNOWN:
      mux_count_retry (core->counters, MUX_REASON_WRITE_UNKNOWN);
      retry_write (core, job, RETRY_MS);
      job->needs_reread = true;
      break;
    case MUX_TABLE_DOWN:
    case MUX_TABLE_BAD_REQUEST:
      mux_count_retry (core->counters, MUX_REASON_STORE_DOWN);
      retry_write (core, job, STORE_PAUSE_MS);
      break;
    }
}

static void
end_done (MuxCore *core,
          MuxId id,
          uint64_t generation,
          const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, generation);

  if (job == NULL)
    return;
  job->writing = false;
  if (reply->status == MUX_TABLE_OK)
    job_ended (core, job);
  else
    write_failed (core, job, reply->status);
}

static void
parts_written (MuxCore *core,
               MuxId id,
               uint64_t generation,
               const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, generation);

  if (job == NULL)
    return;
  job->writing = false;
  if (reply->status != MUX_TABLE_OK)
    {
      write_failed (core, job, reply->status);
      return;
    }
  set_written_revisions (job, reply->rev);
  job->urgent = job->pending_count > 0;
  notify_written (core, job);
}

static uint32_t
count_dirty_parts (const Job *job)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < job_part_count (&job->header); i++)
    count += job->dirty[i];
  return count;
}

/*
 * A write of unknown outcome is repeated and tasks start; if the first write
 * took effect late, it would restore the earlier state: tasks that run would be
 * recorded as not placed, and the next home would start them a second time.  So
 * each part is written on condition of its own revision, which a late write
 * finds changed.  The header's revision, checked in the same transaction,
 * refuses the writes of a previous home.
 */
static bool
fill_parts (Job *job, MuxTableCall *call)
{
  uint32_t row = 1;

  job_row_key ("open", job->id, call->rows[0].key);
  call->rows[0].rev = job->rev;
  call->rows[0].check_only = true;
  for (uint32_t i = 0; i < job_part_count (&job->header); i++)
    {
      job->in_write[i] = job->dirty[i];
      if (!job->dirty[i])
        continue;
      job_part_key (job->id, i, call->rows[row].key);
      call->rows[row].rev = job->part_rev[i];
      call->rows[row].value = job_part_to_blob (job, i);
      if (call->rows[row++].value == NULL)
        return false;
      job->dirty[i] = 0;
    }
  return true;
}

static MuxTableCall *
parts_call (Job *job)
{
  MuxTableCall *call
      = mux_table_call_new (MUX_TABLE_TXN, 1 + count_dirty_parts (job));

  if (call == NULL || fill_parts (job, call))
    return call;
  mux_table_call_free (call);
  return NULL;
}

/*
 * The last write moves the job from the open rows to the ended ones.
 *
 * Its retention is counted from its end, not from its submission: the row of a
 * job that runs for longer than keys are remembered would be swept as it ends,
 * and a repeated submission would run it again.
 */
static MuxTableCall *
end_call (const MuxCore *core, Job *job)
{
  uint32_t parts = job_part_count (&job->header);
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_TXN, 2 + parts);

  if (call == NULL)
    return NULL;
  job->header.state = job->header.cancel_requested ? JOB_CANCELLED
                      : job->header.failed > 0     ? JOB_FAILED
                                                   : JOB_DONE;
  if (core->wall_ms > job->header.at_ms)
    job->header.at_ms = core->wall_ms;
  job_row_key ("open", job->id, call->rows[0].key);
  call->rows[0].rev = job->rev;
  job_row_key ("done", job->id, call->rows[1].key);
  call->rows[1].rev = MUX_REV_ANY;
  call->rows[1].value = job_header_to_blob (&job->header);
  for (uint32_t i = 0; i < parts; i++)
    {
      job_part_key (job->id, i, call->rows[2 + i].key);
      call->rows[2 + i].rev = MUX_REV_ANY;
    }
  if (call->rows[1].value != NULL)
    return call;
  mux_table_call_free (call);
  return NULL;
}

static void
send_write (MuxCore *core, Job *job)
{
  bool last = job->ended;
  MuxTableCall *call = last ? end_call (core, job) : parts_call (job);

  memcpy (job->inflight_keys, job->pending_keys,
          job->pending_count * sizeof *job->inflight_keys);
  job->inflight_count = job->pending_count;
  job->pending_count = 0;
  job->dirty_any = false;
  if (call != NULL
      && call_table (core, call, last ? end_done : parts_written, job->id,
                     job->generation))
    {
      job->writing = true;
      core->jobs->next_write_ms
          = core->now_ms + commit_write_interval_ms (core);
      return;
    }
  retry_write (core, job, RETRY_MS);
}

static void
reread_failed (MuxCore *core, Job *job)
{
  job->reading = false;
  job->write_ms = core->now_ms + core_jitter (core, STORE_PAUSE_MS);
}

static void
parts_reread (MuxCore *core,
              MuxId id,
              uint64_t generation,
              const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, generation);

  if (job == NULL)
    return;
  if (reply->status != MUX_TABLE_OK)
    {
      reread_failed (core, job);
      return;
    }
  job->reading = false;
  job->needs_reread = false;
  job_set_part_revisions (job, reply);
}

static void
reread_done (MuxCore *core,
             MuxId id,
             uint64_t generation,
             const MuxTableReply *reply)
{
  Job *job = job_of_generation (core, id, generation);
  JobHeader header;

  if (job == NULL)
    return;
  if (reply->status != MUX_TABLE_OK || reply->row_count < 2)
    {
      reread_failed (core, job);
      return;
    }
  if (job_header_from_blob (reply->rows[1].value, &header))
    {
      /* This daemon's last write, whose reply was lost, or another home's. */
      job->header = header;
      job_ended (core, job);
      return;
    }
  if (!job_header_from_blob (reply->rows[0].value, &header)
      || strcmp (header.home, core->name) != 0
      || header.home_incarnation != core->opt.incarnation)
    {
      job_release (core, job);
      return;
    }
  job->rev = reply->rows[0].rev;
  if (header.cancel_requested && !job->header.cancel_requested)
    job_cancel (core, job);
  if (!job_read_parts (core, job, parts_reread))
    reread_failed (core, job);
}

static void
send_reread (MuxCore *core, Job *job)
{
  MuxTableCall *call = mux_table_call_new (MUX_TABLE_GET, 2);

  if (call != NULL)
    {
      job_row_key ("open", job->id, call->rows[0].key);
      job_row_key ("done", job->id, call->rows[1].key);
    }
  if (call != NULL
      && call_table (core, call, reread_done, job->id, job->generation))
    job->reading = true;
  else
    reread_failed (core, job);
}

void
job_reread (MuxCore *core, Job *job)
{
  job->needs_reread = true;
  job->write_ms = core->now_ms;
}

void
job_write (MuxCore *core, Job *job)
{
  if ((!job->dirty_any && !job->needs_reread) || job->writing || job->reading
      || core->now_ms < job->write_ms)
    return;
  if (job->needs_reread)
    send_reread (core, job);
  else if (core->now_ms >= core->jobs->next_write_ms)
    send_write (core, job);
}

int64_t
job_write_wake_ms (const MuxCore *core, const Job *job)
{
  if ((!job->dirty_any && !job->needs_reread) || job->writing || job->reading)
    return INT64_MAX;
  if (!job->needs_reread && core->jobs->next_write_ms > job->write_ms)
    return core->jobs->next_write_ms;
  return job->write_ms;
}

void
job_ended (MuxCore *core, Job *job)
{
  core_log (core, 6, "job_ended", "class=%s state=%s done=%u failed=%u",
            job->header.class_name, job_state_name (job->header.state),
            job->header.done, job->header.failed);
  mux_count (core->counters, MUX_COUNT_JOBS_DONE, 1);
  job_waits_notify (core, &job->header);
  job_free (core, job);
}
