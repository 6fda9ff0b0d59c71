#include "attempts.h"
#include "job_memory.h"
#include "stage_tasks.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The planner's jobs: their deadlines, their states and their ends. */

/* The planner answers queries about a job that has ended from memory for
 * this long; after that they are answered from the store. */
#define ENDED_RETENTION_MS 30000
/* The end of a job is worth nothing after this many times its promised
 * duration.
 */
#define WORTHLESS_FACTOR 3
/* Workers that an approval query is taken to name in a promised duration. */
#define PROMISED_CANDIDATES 30
#define MILLI 1000
#define US_PER_MS 1000

uint32_t
cell_promised_query_ms (const MuxApprovalSpec *approval)
{
  if (!approval->required)
    return 0;
  return (approval->base_us + PROMISED_CANDIDATES * approval->per_worker_us)
         / US_PER_MS;
}

/* Duration of the longest chain of dependent steps, each with one approval
 * query. */
static int64_t
critical_path_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  int64_t end[MUX_STEPS_MAX];
  int64_t longest = 0;

  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      int64_t begin = 0;

      for (uint32_t j = 0; j < i; j++)
        if ((spec->step[i].after >> j & 1) != 0 && end[j] > begin)
          begin = end[j];
      end[i] = begin + cell_expected_ms (cell, spec, &spec->step[i])
               + cell_promised_query_ms (&spec->queue.approval);
      if (end[i] > longest)
        longest = end[i];
    }
  return longest;
}

int64_t
cell_promised_duration_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  return critical_path_ms (cell, spec) * spec->queue.slack_milli / MILLI
         + spec->queue.target_ms;
}

/* Of the critical path only the runs are shorter on fast workers, not the
 * queries; these are a small part, and count as shortened too where speeds
 * differ. */
int64_t
cell_job_slack_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  uint64_t service = mux_hash_name (spec->queue.service, 0);
  int64_t path_ms = critical_path_ms (cell, spec);

  return cell_promised_duration_ms (cell, spec)
         - path_ms * MUX_SPEED_ONE_MILLI
               / cell_pool_fastest_milli (cell, service);
}

static void
set_deadlines (MuxCell *cell, CellJob *job)
{
  const MuxJobSpec *spec = job->spec;
  int64_t promised = cell_promised_duration_ms (cell, spec);
  int64_t age_ms = cell->time.wall_ms - spec->accepted_wall_ms;

  if (age_ms < 0)
    age_ms = 0;
  job->accepted_ms = cell->time.now_ms - age_ms;
  job->deadline_ms = job->accepted_ms + promised;
  job->worthless_ms = job->accepted_ms + WORTHLESS_FACTOR * promised;
}

CellJob *
cell_job_new (MuxCell *cell, MuxJobSpec *spec)
{
  CellJob *job = calloc (1, sizeof *job);

  if (job == NULL)
    {
      mux_job_free (spec);
      return NULL;
    }
  job->spec = spec;
  job->bytes = cell_job_memory_charge (cell, spec);
  job->workspace = cell_workspace_get (cell, spec->workspace);
  snprintf (job->id, sizeof job->id, "%s", spec->id);
  job->part = cell_part_of (job->id);
  job->payload = mux_blob_new (spec->payload, strlen (spec->payload));
  set_deadlines (cell, job);
  /* Its quota can't be enforced without the workspace. */
  if (job->workspace == NULL && spec->workspace[0] != 0)
    {
      cell_job_delete (cell, job);
      return NULL;
    }
  if (job->payload != NULL
      && (spec->repetitions > 0
          || cell_occurrence_add (cell, job, 0, job->accepted_ms)))
    return job;
  cell_job_delete (cell, job);
  return NULL;
}

CellJob *
cell_job_add (MuxCell *cell, MuxJobSpec *spec, uint64_t version)
{
  CellJob *job = cell_job_new (cell, spec);

  if (job == NULL)
    return NULL;
  job->version = version;
  /* Compared with the part's fence, not with the claim: until the part was
   * fenced, a predecessor that did not know of the claim could still store jobs
   * and start them. */
  job->predates_term = version < cell->part[job->part].term_version;
  job->origin
      = cell->role == CELL_PLANNING ? CELL_ORIGIN_FEED : CELL_ORIGIN_LOAD;
  cell_service_add (cell, job->spec->queue.service);
  HASH_ADD_STR (cell->jobs, id, job);
  cell_queue_count_update (cell, job);
  cell->throttle.accepted += cell->role == CELL_PLANNING;
  if (cell_occurrences_left (job))
    cell_job_watch (cell, job);
  return job;
}

void
cell_job_watch (MuxCell *cell, CellJob *job)
{
  if (job->watched)
    return;
  job->watched = true;
  DL_APPEND2 (cell->watched, job, watched_prev, watched_next);
}

static void
unwatch (MuxCell *cell, CellJob *job)
{
  if (!job->watched)
    return;
  job->watched = false;
  DL_DELETE2 (cell->watched, job, watched_prev, watched_next);
}

void
cell_job_remove (MuxCell *cell, CellJob *job)
{
  HASH_DEL (cell->jobs, job);
  cell_queue_count_remove (cell, job);
  cell->job_memory.released_bytes += job->bytes;
  if (job->dirty)
    DL_DELETE2 (cell->part[job->part].dirty, job, dirty_prev, dirty_next);
  cell_job_delete (cell, job);
}

void
cell_job_delete (MuxCell *cell, CellJob *job)
{
  if (job == NULL)
    return;
  unwatch (cell, job);
  cell_loss_list_remove (cell, job);
  cell_progress_split_free (job);
  for (uint32_t i = 0; i < job->stage_count; i++)
    cell_stage_free (cell, job->stage[i]);
  free (job->stage);
  cell_job_memory_release (cell, job->spec, job->bytes);
  mux_blob_unref (job->payload);
  mux_job_free (job->spec);
  free (job);
}

bool
cell_job_ended_recently (MuxCell *cell, const char *id)
{
  CellEndedJob *ended;

  HASH_FIND_STR (cell->ended_jobs, id, ended);
  return ended != NULL;
}

static void
stop_all_runs (MuxCell *cell, CellJob *job)
{
  for (uint32_t i = 0; i < job->stage_count; i++)
    {
      cell_stage_leave_plan (cell, job->stage[i]);
      for (uint32_t j = 0; j < job->stage[i]->spec->count; j++)
        if (cell_task_view (job->stage[i], j)->booking != NULL)
          cell_stop_booking (cell, cell_task_view (job->stage[i], j)->booking);
    }
}

void
cell_job_cancel (MuxCell *cell, CellJob *job)
{
  if (job->cancelled || job->ended)
    return;
  job->cancelled = true;
  cell_queue_count_update (cell, job);
  cell_job_watch (cell, job);
  cell_log (cell, "cancelling", "{s:s, s:i}", "job", job->id, "running",
            (int) job->booking_count);
  if (cell->role != CELL_PLANNING)
    return;
  stop_all_runs (cell, job);
  cell_job_advance (cell, job);
}

void
cell_job_fail (MuxCell *cell, CellJob *job, const char *why)
{
  if (job->failed || job->ended)
    return;
  job->failed = true;
  cell_job_watch (cell, job);
  cell_log (cell, "job_failing", "{s:s, s:s}", "job", job->id, "why", why);
  stop_all_runs (cell, job);
  cell_job_advance (cell, job);
}

void
cell_job_mark_dirty (MuxCell *cell, CellJob *job)
{
  CellPart *part = &cell->part[job->part];

  job->change_seq = ++cell->change_seq;
  if (job->dirty)
    {
      job->dirty_again = job->in_commit;
      return;
    }
  job->dirty = true;
  if (part->dirty == NULL && part->unreadable_dirty == 0)
    part->dirty_since_ms = cell->time.now_ms;
  DL_APPEND2 (part->dirty, job, dirty_prev, dirty_next);
}

static void
end_job (MuxCell *cell, CellJob *job, MuxJobState state)
{
  job->ended = true;
  cell_queue_count_update (cell, job);
  job->end_state = state;
  for (uint32_t i = 0; i < job->stage_count; i++)
    cell_stage_leave_plan (cell, job->stage[i]);
  mux_count (cell->options.counters, MUX_COUNT_JOBS_DONE, 1);
  mux_observe (cell->options.counters, MUX_HIST_JOB_TIME,
               cell->time.now_ms - job->accepted_ms);
  cell_log (cell, "job_ended", "{s:s, s:s, s:I, s:I}", "job", job->id, "state",
            mux_job_state_name (state), "took_ms",
            (json_int_t) (cell->time.now_ms - job->accepted_ms), "due_ms",
            (json_int_t) (job->deadline_ms - job->accepted_ms));
  cell_job_mark_dirty (cell, job);
}

static bool
all_tasks_done (const CellJob *job)
{
  for (uint32_t i = 0; i < job->stage_count; i++)
    if (job->stage[i]->tasks_left > 0)
      return false;
  return !cell_occurrences_left (job);
}

void
cell_job_advance (MuxCell *cell, CellJob *job)
{
  if (job->ended)
    return;
  if (job->cancelled || job->failed)
    {
      if (job->booking_count == 0 && cell_all_runs_known (cell))
        end_job (cell, job,
                 job->cancelled ? MUX_JOB_CANCELLED : MUX_JOB_FAILED);
      return;
    }
  cell_occurrences_begin (cell, job);
  if (job->stage_count > 0 && all_tasks_done (job))
    {
      end_job (cell, job, MUX_JOB_COMPLETED);
      return;
    }
  for (uint32_t i = 0; i < job->stage_count; i++)
    cell_stage_update (cell, job->stage[i]);
}

/*
 * The job's stored progress can't be read, and with it which tasks are done:
 * these would run again.  Such a job fails, so that its caller can act, instead
 * of waiting forever.  Tasks that run until they are cancelled are never done,
 * and go on.
 */
static bool
may_rerun_done_tasks (const CellJob *job)
{
  if (!job->progress_unreadable)
    return false;
  for (uint32_t i = 0; i < job->spec->step_count; i++)
    if (!job->spec->step[i].long_running)
      return true;
  return job->spec->repetitions > 0;
}

void
cell_job_resume (MuxCell *cell, CellJob *job)
{
  if (may_rerun_done_tasks (job))
    cell_job_fail (cell, job, "progress_unreadable");
  else if (cell_attempts_used (job))
    cell_job_fail (cell, job, "attempts_used_before");
  else
    cell_job_advance (cell, job);
}

static void
expire_ended_jobs (MuxCell *cell)
{
  CellEndedJob *ended;
  CellEndedJob *next;

  /* They are in the order of their ends. */
  HASH_ITER (hh, cell->ended_jobs, ended, next)
  {
    if (cell->time.now_ms - ended->ended_ms < ENDED_RETENTION_MS)
      return;
    HASH_DEL (cell->ended_jobs, ended);
    free (ended);
  }
}

/* Called once the job's end is stored and no run of it holds room. */
static void
move_to_ended (MuxCell *cell, CellJob *job)
{
  CellEndedJob *ended = calloc (1, sizeof *ended);

  if (ended != NULL)
    {
      snprintf (ended->id, sizeof ended->id, "%s", job->id);
      (void) mux_name_copy (ended->workspace, job->spec->workspace);
      ended->state = job->end_state;
      ended->ended_ms = cell->time.now_ms;
      HASH_ADD_STR (cell->ended_jobs, id, ended);
    }
  cell_job_remove (cell, job);
}

/* Whether the job may change state without an event of its own: as its next
 * occurrence is due, or once all workers have been heard from. */
static bool
needs_watching (const CellJob *job)
{
  return cell_occurrences_left (job) || job->began_early || job->cancelled
         || job->failed;
}

static void
check_watched (MuxCell *cell, CellJob *job)
{
  mux_count (cell->options.counters, MUX_COUNT_JOB_LOOKS, 1);
  if (job->end_stored && job->booking_count == 0)
    move_to_ended (cell, job);
  else if (!needs_watching (job) && !job->end_stored)
    unwatch (cell, job);
  else if (!job->ended)
    {
      job->began_early
          = job->began_early && cell_occurrence_is_early (cell, job);
      cell_job_advance (cell, job);
    }
}

void
cell_jobs_tick (MuxCell *cell)
{
  CellJob *job;
  CellJob *next;

  expire_ended_jobs (cell);
  DL_FOREACH_SAFE2 (cell->watched, job, next, watched_next)
  check_watched (cell, job);
}

bool
cell_job_state (MuxCell *cell,
                const CellCaller *caller,
                const char *id,
                MuxJobState *state)
{
  CellJob *job = cell_job_find (cell, id);
  CellEndedJob *ended;

  if (job != NULL)
    {
      if (!cell_caller_may_see (caller, job->spec->workspace))
        return false;
      *state = job->end_stored  ? job->end_state
               : job->cancelled ? MUX_JOB_CANCELLED
               : job->started   ? MUX_JOB_ACTIVE
                                : MUX_JOB_QUEUED;
      return true;
    }
  HASH_FIND_STR (cell->ended_jobs, id, ended);
  if (ended == NULL || !cell_caller_may_see (caller, ended->workspace))
    return false;
  *state = ended->state;
  return true;
}
