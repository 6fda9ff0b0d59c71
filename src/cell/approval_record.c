#include "cell_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The workers that a stage may run on, as they are stored for a next planner;
 * see approve.c for when a start waits for it. */

void
cell_approvals_in_commit (CellStage *stage)
{
  for (uint32_t i = 0; i < stage->approval_count; i++)
    stage->approval[i].in_commit = stage->approval[i].approved;
}

void
cell_approvals_stored (CellStage *stage)
{
  for (uint32_t i = 0; i < stage->approval_count; i++)
    stage->approval[i].stored
        = stage->approval[i].stored || stage->approval[i].in_commit;
}

static bool
contains (char (*list)[MUX_NAME_LEN], uint32_t count, const char *id)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (list[i], id) == 0)
      return true;
  return false;
}

static bool
is_former (const CellStage *stage, const char *id)
{
  return contains (stage->recorded, stage->recorded_count, id);
}

bool
cell_worker_is_recorded (const CellStage *stage, const CellWorker *worker)
{
  return contains (stage->spec->named, stage->spec->named_count,
                   worker->info.id)
         || is_former (stage, worker->info.id);
}

static bool
is_approved (const CellStage *stage, const CellWorker *worker)
{
  const CellApproval *approval = cell_approval_find (stage, worker);

  return approval != NULL && approval->approved;
}

/* An earlier task runs at the same worker. */
static bool
added_before (const CellStage *stage, uint32_t index)
{
  const CellWorker *worker = stage->task[index].booking->worker;

  for (uint32_t i = 0; i < index; i++)
    if (stage->task[i].booking != NULL
        && stage->task[i].booking->worker == worker)
      return true;
  return false;
}

static void
add_adopted (const CellStage *stage, json_t *list)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      const CellBooking *booking = stage->task[i].booking;

      if (booking == NULL || is_approved (stage, booking->worker)
          || is_former (stage, booking->worker->info.id)
          || added_before (stage, i))
        continue;
      (void) json_array_append_new (list,
                                    json_string (booking->worker->info.id));
    }
}

/*
 * Guards against a run that a third planner starts again: the next one waits
 * for the workers of this list alone.  Those of a former planner stay in it,
 * and where that one left no record, as one of an older version may, those
 * where its runs were found are added, for no approval of this planner may ever
 * name them.
 */
json_t *
cell_approvals_json (MuxCell *cell, const CellStage *stage)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < stage->recorded_count; i++)
    (void) json_array_append_new (list, json_string (stage->recorded[i]));
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      const CellWorker *worker = cell->worker_at[stage->approval[i].slot];

      if (stage->approval[i].approved && worker != NULL
          && !is_former (stage, worker->info.id))
        (void) json_array_append_new (list, json_string (worker->info.id));
    }
  if (cell_stage_is_settled (cell, stage))
    add_adopted (stage, list);
  return list;
}

void
cell_approvals_apply (CellStage *stage, const json_t *json)
{
  size_t count = json_array_size (json);

  free (stage->recorded);
  stage->recorded_count = 0;
  stage->recorded = calloc (count + 1, sizeof *stage->recorded);
  for (size_t i = 0; stage->recorded != NULL && i < count; i++)
    {
      const char *id = json_string_value (json_array_get (json, i));

      if (id != NULL)
        snprintf (stage->recorded[stage->recorded_count++], MUX_NAME_LEN, "%s",
                  id);
    }
}

/*
 * Guards against a successor that asks anew what is known: which workers are
 * approved for a step does not change, only proofs age.
 */
void
cell_approvals_add_recorded (MuxCell *cell, CellStage *stage)
{
  if (stage->recorded_added)
    return;
  stage->recorded_added = true;
  for (uint32_t i = 0; i < stage->recorded_count; i++)
    {
      const CellWorker *worker = cell_worker_find (cell, stage->recorded[i]);
      CellApproval *approval
          = worker != NULL ? cell_approval_add (stage, worker) : NULL;

      if (approval == NULL)
        continue;
      approval->queried = true;
      approval->approved = true;
      approval->stored = true;
    }
}

/* Nothing of a former planner can run there without being known. */
static bool
is_heard (MuxCell *cell, const char *id)
{
  const CellWorker *worker = cell_worker_find (cell, id);

  return worker == NULL || !cell_worker_is_unconfirmed (worker);
}

static bool
all_heard (MuxCell *cell, char (*list)[MUX_NAME_LEN], uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!is_heard (cell, list[i]))
      return false;
  return true;
}

/* The longest wait for any of them. */
static int64_t
unheard_ms (MuxCell *cell, char (*list)[MUX_NAME_LEN], uint32_t count)
{
  int64_t longest_ms = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      int64_t left_ms = is_heard (cell, list[i])
                            ? 0
                            : cell_unconfirmed_lease_left (
                                cell, cell_worker_find (cell, list[i]));

      if (left_ms > longest_ms)
        longest_ms = left_ms;
    }
  return longest_ms;
}

int64_t
cell_stage_settles_in_ms (MuxCell *cell, const CellStage *stage)
{
  int64_t former_ms = unheard_ms (cell, stage->recorded, stage->recorded_count);
  int64_t named_ms
      = unheard_ms (cell, stage->spec->named, stage->spec->named_count);

  return former_ms > named_ms ? former_ms : named_ms;
}

bool
cell_stage_is_settled (MuxCell *cell, const CellStage *stage)
{
  const MuxQueueSpec *queue = &stage->job->spec->queue;

  if (!stage->job->predates_term)
    return true;
  if (!queue->approval.required)
    return cell_all_workers_confirmed (cell)
           && cell_late_starts_are_over (cell);
  /* Where it may run stood in what can't be read. */
  if (stage->job->progress_unreadable)
    return cell_all_workers_confirmed (cell);
  return all_heard (cell, stage->recorded, stage->recorded_count)
         && all_heard (cell, stage->spec->named, stage->spec->named_count);
}
