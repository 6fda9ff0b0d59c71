#include "stage_tasks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The stored list of workers that a stage may run on, for the next planner.  A
 * start waits until its worker is in it, see cell_usable_proof(). */

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
was_recorded (const CellStage *stage, const char *id)
{
  return contains (stage->recorded, stage->recorded_count, id);
}

bool
cell_worker_is_recorded (const CellStage *stage, const CellWorker *worker)
{
  return contains (stage->spec->named, stage->spec->named_count,
                   worker->info.id)
         || was_recorded (stage, worker->info.id);
}

static bool
is_approved (const CellStage *stage, const CellWorker *worker)
{
  const CellApproval *approval = cell_approval_find (stage, worker);

  return approval != NULL && approval->approved;
}

/* Whether an earlier task of the stage has a booking at the same worker. */
static bool
added_before (const CellStage *stage, uint32_t index)
{
  const CellWorker *worker = cell_task_view (stage, index)->booking->worker;

  for (uint32_t i = 0; i < index; i++)
    if (cell_task_view (stage, i)->booking != NULL
        && cell_task_view (stage, i)->booking->worker == worker)
      return true;
  return false;
}

static void
add_to_record (json_t **row, uint32_t rows, const char *id)
{
  uint64_t at = rows > 1 ? mux_hash_name (id, 0) % rows : 0;

  (void) json_array_append_new (row[at], json_string (id));
}

static void
add_workers_of_runs (const CellStage *stage, json_t **row, uint32_t rows)
{
  for (uint32_t i = 0; i < stage->spec->count && stage->task_objects > 0; i++)
    {
      const CellBooking *booking = cell_task_view (stage, i)->booking;

      if (booking == NULL || is_approved (stage, booking->worker)
          || was_recorded (stage, booking->worker->info.id)
          || added_before (stage, i))
        continue;
      add_to_record (row, rows, booking->worker->info.id);
    }
}

/*
 * Builds the list to be stored.  The next planner waits for the workers in it
 * alone, and might start a run again that is at another one.  Workers recorded
 * by predecessors stay in the list until all of them have been heard from, and
 * are then left out once they have ended: the list would grow with each restart
 * of a worker.  If a predecessor left no record, as one of an older version
 * may, workers at which its runs were found are added, since no approval of
 * this planner may ever name them.
 */
void
cell_approvals_json (MuxCell *cell,
                     const CellStage *stage,
                     json_t **row,
                     uint32_t rows)
{
  bool is_settled = cell_stage_is_settled (cell, stage);

  for (uint32_t i = 0; i < rows; i++)
    row[i] = json_array ();
  for (uint32_t i = 0; i < stage->recorded_count; i++)
    if (!is_settled || cell_worker_find (cell, stage->recorded[i]) != NULL)
      add_to_record (row, rows, stage->recorded[i]);
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      const CellWorker *worker = cell->worker_by_slot[stage->approval[i].slot];

      if (stage->approval[i].approved && worker != NULL
          && !was_recorded (stage, worker->info.id))
        add_to_record (row, rows, worker->info.id);
    }
  if (is_settled)
    add_workers_of_runs (stage, row, rows);
}

void
cell_approvals_apply (CellStage *stage, const json_t *json)
{
  size_t count = json_array_size (json);
  char (*recorded)[MUX_NAME_LEN] = realloc (
      stage->recorded, (stage->recorded_count + count + 1) * sizeof *recorded);

  if (recorded == NULL)
    return;
  stage->recorded = recorded;
  for (size_t i = 0; i < count; i++)
    {
      const char *id = json_string_value (json_array_get (json, i));

      if (id != NULL)
        snprintf (recorded[stage->recorded_count++], MUX_NAME_LEN, "%s", id);
    }
}

/*
 * Takes over approvals from the predecessor's record, so that they are not
 * queried again: whether a worker is approved for a step does not change, only
 * proofs expire.
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

/* Whether no run of a predecessor can be there without being known. */
static bool
runs_are_known (MuxCell *cell, const char *id)
{
  const CellWorker *worker = cell_worker_find (cell, id);

  return worker == NULL || !cell_worker_runs_unknown (worker);
}

static bool
all_known (MuxCell *cell, char (*list)[MUX_NAME_LEN], uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (!runs_are_known (cell, list[i]))
      return false;
  return true;
}

/* Returns the longest time until the leases of all listed workers not heard
 * from are over. */
static int64_t
unknown_ms (MuxCell *cell, char (*list)[MUX_NAME_LEN], uint32_t count)
{
  int64_t longest_ms = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      const CellWorker *worker = cell_worker_find (cell, list[i]);
      /* One that has answered lists the rest of its ends soon. */
      int64_t left_ms = runs_are_known (cell, list[i]) || worker->confirmed
                            ? 0
                            : cell_unconfirmed_lease_left (cell, worker);

      if (left_ms > longest_ms)
        longest_ms = left_ms;
    }
  return longest_ms;
}

int64_t
cell_stage_settles_in_ms (MuxCell *cell, const CellStage *stage)
{
  int64_t recorded_ms
      = unknown_ms (cell, stage->recorded, stage->recorded_count);
  int64_t named_ms
      = unknown_ms (cell, stage->spec->named, stage->spec->named_count);

  return recorded_ms > named_ms ? recorded_ms : named_ms;
}

bool
cell_stage_is_settled (MuxCell *cell, const CellStage *stage)
{
  const MuxQueueSpec *queue = &stage->job->spec->queue;

  if (!stage->job->predates_term)
    return true;
  if (!queue->approval.required)
    return cell_all_runs_known (cell) && cell_late_starts_are_over (cell);
  /* The record of its workers can't be read. */
  if (stage->job->progress_unreadable)
    return cell_all_runs_known (cell);
  return all_known (cell, stage->recorded, stage->recorded_count)
         && all_known (cell, stage->spec->named, stage->spec->named_count);
}
