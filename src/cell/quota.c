#include "stage_tasks.h"

#include <stdlib.h>
#include <string.h>

/*
 * Quotas of workspaces: limits on what a workspace has running on all workers
 * together.
 *
 * Each run that may exist has a booking until it is known to have ended, and
 * the bookings of a workspace are summed up.  A planner knows the runs of its
 * predecessors only after it has heard from their workers.  Until then two
 * bounds hold for the runs of a workspace that it does not know: what those
 * workers can hold, and the tasks that a predecessor may have started.  The
 * smaller one counts as running.
 */

/* After this time a waiting gang gets the quota that becomes free even before
 * more urgent tasks of its workspace. */
#define GANG_FIRST_AFTER_MS 1000

CellWorkspace *
cell_workspace_get (MuxCell *cell, const char *name)
{
  CellWorkspace *workspace;

  if (name[0] == 0)
    return NULL;
  HASH_FIND_STR (cell->workspaces, name, workspace);
  if (workspace != NULL)
    return workspace;
  workspace = calloc (1, sizeof *workspace);
  if (workspace == NULL)
    return NULL;
  (void) mux_name_copy (workspace->name, name);
  HASH_ADD_STR (cell->workspaces, name, workspace);
  return workspace;
}

void
cell_workspaces_configure (MuxCell *cell)
{
  const MuxWorkspaces *given = cell->config->workspaces;

  for (uint32_t i = 0; given != NULL && i < given->count; i++)
    {
      CellWorkspace *workspace = cell_workspace_get (cell, given->item[i].name);

      if (workspace != NULL)
        workspace->spec = given->item[i];
    }
  cell->replan = true;
}

void
cell_workspaces_free (MuxCell *cell)
{
  CellWorkspace *workspace;
  CellWorkspace *next;

  HASH_ITER (hh, cell->workspaces, workspace, next)
  {
    HASH_DEL (cell->workspaces, workspace);
    free (workspace);
  }
}

void
cell_quota_charge (const CellStage *stage)
{
  CellWorkspace *workspace = stage->job->workspace;

  if (workspace != NULL)
    workspace->booked = mux_quota_add (workspace->booked, stage->spec->size, 1);
}

void
cell_quota_release (const CellStage *stage)
{
  CellWorkspace *workspace = stage->job->workspace;

  if (workspace != NULL)
    workspace->booked = mux_quota_sub (workspace->booked, stage->spec->size, 1);
}

/* Returns what is kept free for a waiting gang and denied to @stage. */
static MuxQuota
kept_for_gang (const MuxCell *cell,
               const CellWorkspace *workspace,
               const CellStage *stage)
{
  const CellStage *gang = workspace->waiting_gang;
  MuxQuota none = { 0 };

  if (gang == NULL || gang == stage)
    return none;
  if (cell_stage_compare (stage, gang) < 0
      && cell->time.now_ms - workspace->gang_waiting_since_ms
             < GANG_FIRST_AFTER_MS)
    return none;
  return mux_quota_add (none, gang->spec->size, gang->spec->count);
}

/* A task, or a gang, that exceeds the quota by itself would never start.  It
 * may overrun the quota by the configured share. */
static MuxQuota
limit_for (const MuxCell *cell, const CellStage *stage)
{
  MuxQuota quota = stage->job->workspace->spec.quota;
  uint32_t unit = stage->spec->gang ? stage->spec->count : 1;

  if (mux_quota_tasks_left (quota, (MuxQuota){ 0 }, stage->spec->size) >= unit)
    return quota;
  return mux_quota_raise (quota, cell->options.quota_overrun_milli);
}

uint32_t
cell_quota_tasks_allowed (const MuxCell *cell, const CellStage *stage)
{
  const CellWorkspace *workspace = stage->job->workspace;
  MuxQuota used;

  if (workspace == NULL)
    return UINT32_MAX;
  used = mux_quota_min (workspace->unsettled, cell->unknown_room);
  used = mux_quota_sum (used, workspace->booked);
  used = mux_quota_sum (used, kept_for_gang (cell, workspace, stage));
  return mux_quota_tasks_left (limit_for (cell, stage), used,
                               stage->spec->size);
}

void
cell_quota_reserve (const MuxCell *cell, const CellStage *stage)
{
  CellWorkspace *workspace = stage->job->workspace;

  if (workspace == NULL || workspace->waiting_gang == stage
      || (workspace->waiting_gang != NULL
          && cell_stage_compare (workspace->waiting_gang, stage) <= 0))
    return;
  workspace->waiting_gang = stage;
  workspace->gang_waiting_since_ms = cell->time.now_ms;
}

void
cell_quota_unreserve (const CellStage *stage)
{
  CellWorkspace *workspace = stage->job->workspace;

  if (workspace != NULL && workspace->waiting_gang == stage)
    workspace->waiting_gang = NULL;
}

static MuxSize
largest_capacity (MuxCell *cell)
{
  MuxSize largest = { 0 };
  const CellWorker *worker;

  for (worker = cell->workers; worker != NULL; worker = worker->hh.next)
    {
      const MuxSize *room = &worker->info.capacity;

      if (room->cpu_milli > largest.cpu_milli)
        largest.cpu_milli = room->cpu_milli;
      if (room->mem_mib > largest.mem_mib)
        largest.mem_mib = room->mem_mib;
      if (room->accels > largest.accels)
        largest.accels = room->accels;
    }
  return largest;
}

/* Sums up workers that may run something that is not known yet.  Each
 * counts as the largest one, since the size of those no longer in the worker
 * list is not known. */
static MuxQuota
room_of_unknown (MuxCell *cell)
{
  MuxSize largest = largest_capacity (cell);
  MuxQuota room = { 0 };
  const CellWorker *worker;

  for (worker = cell->workers; worker != NULL; worker = worker->hh.next)
    if (cell_worker_runs_unknown (worker))
      room = mux_quota_add (room, largest, 1);
  return room;
}

static uint32_t
unbooked_tasks (const CellStage *stage)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < stage->spec->count; i++)
    n += cell_task_view (stage, i)->state != CELL_TASK_DONE
         && cell_task_view (stage, i)->booking == NULL;
  return n;
}

static void
count_unsettled (MuxCell *cell, const CellJob *job)
{
  CellWorkspace *workspace = job->workspace;

  if (workspace == NULL || !job->predates_term)
    return;
  for (uint32_t i = 0; i < job->stage_count; i++)
    if (job->stage[i]->tasks_left > 0
        && !cell_stage_is_settled (cell, job->stage[i]))
      workspace->unsettled
          = mux_quota_add (workspace->unsettled, job->stage[i]->spec->size,
                           unbooked_tasks (job->stage[i]));
}

/* Once all workers have listed their runs in a term, no run of a predecessor is
 * left to be found. */
void
cell_quota_tick (MuxCell *cell)
{
  CellWorkspace *workspace;
  const CellJob *job;
  bool all_known;

  if (cell->workspaces == NULL || cell->quota_term == cell->term)
    return;
  all_known = cell_all_runs_known (cell);
  if (all_known)
    cell->quota_term = cell->term;
  cell->unknown_room = (MuxQuota){ 0 };
  if (!all_known)
    cell->unknown_room = room_of_unknown (cell);
  for (workspace = cell->workspaces; workspace != NULL;
       workspace = workspace->hh.next)
    workspace->unsettled = (MuxQuota){ 0 };
  for (job = cell->jobs; job != NULL && !all_known; job = job->hh.next)
    count_unsettled (cell, job);
}

bool
cell_quota_never_fits (const MuxCell *cell, const MuxJobSpec *spec)
{
  CellWorkspace *workspace;
  MuxQuota limit;

  if (spec->workspace[0] == 0)
    return false;
  HASH_FIND_STR (cell->workspaces, spec->workspace, workspace);
  if (workspace == NULL)
    return false;
  limit = mux_quota_raise (workspace->spec.quota,
                           cell->options.quota_overrun_milli);
  for (uint32_t i = 0; i < spec->step_count; i++)
    {
      const MuxStepSpec *step = &spec->step[i];

      if (mux_quota_tasks_left (limit, (MuxQuota){ 0 }, step->size)
          < (step->gang ? step->count : 1))
        return true;
    }
  return false;
}
