#include "late_calls.h"

#include "port/incarnation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Workers that restart under the same id.
 *
 * Each incarnation of a worker is a CellWorker of its own, whose name holds
 * the time of its start: clock, numbers of ends, lease, approvals, failure
 * count and roster entry belong to that incarnation alone. An id alone does
 * not keep an order from the next incarnation, though. So only a run that an
 * incarnation has listed certainly ran there; any other run that was sent to
 * it may be at the next one, or may still reach it, and its room is booked
 * there until the next one's lists and an answered stop settle it.
 */

CellIncarnations *
cell_incarnations_get (MuxCell *cell, const char *id)
{
  CellIncarnations *incarnations;

  HASH_FIND_STR (cell->incarnations, id, incarnations);
  if (incarnations != NULL)
    return incarnations;
  incarnations = calloc (1, sizeof *incarnations);
  if (incarnations == NULL)
    return NULL;
  snprintf (incarnations->id, sizeof incarnations->id, "%s", id);
  HASH_ADD_STR (cell->incarnations, id, incarnations);
  return incarnations;
}

void
cell_incarnations_free (MuxCell *cell, CellIncarnations *incarnations)
{
  HASH_DEL (cell->incarnations, incarnations);
  free (incarnations);
}

void
cell_incarnations_free_all (MuxCell *cell)
{
  CellIncarnations *incarnations;
  CellIncarnations *next;

  HASH_ITER (hh, cell->incarnations, incarnations, next)
  cell_incarnations_free (cell, incarnations);
  cell->late_calls_changed = false;
  cell->late_rows_obsolete_ms = 0;
}

bool
cell_incarnation_add (MuxCell *cell, CellWorker *worker)
{
  char id[MUX_NAME_LEN];
  CellIncarnations *incarnations;

  mux_incarnation_worker (id, worker->info.id);
  incarnations = cell_incarnations_get (cell, id);
  if (incarnations == NULL)
    return false;
  worker->incarnations = incarnations;
  DL_APPEND2 (incarnations->incarnation, worker, incarnations_prev,
              incarnations_next);
  return true;
}

void
cell_incarnation_remove (MuxCell *cell, CellWorker *worker)
{
  CellIncarnations *incarnations = worker->incarnations;

  DL_DELETE2 (incarnations->incarnation, worker, incarnations_prev,
              incarnations_next);
  if (incarnations->incarnation == NULL
      && !cell_late_calls_are_needed (incarnations))
    cell_incarnations_free (cell, incarnations);
}

static CellIncarnations *
incarnations_of (MuxCell *cell, const char *id)
{
  CellIncarnations *incarnations;

  HASH_FIND_STR (cell->incarnations, id, incarnations);
  return incarnations;
}

bool
cell_incarnation_is_outdated (MuxCell *cell,
                              const char *id,
                              uint64_t started_ms)
{
  const CellIncarnations *incarnations = incarnations_of (cell, id);
  const CellWorker *incarnation;

  if (incarnations == NULL)
    return false;
  DL_FOREACH2 (incarnations->incarnation, incarnation, incarnations_next)
  if (incarnation->confirmed && incarnation->started_ms > started_ms)
    return true;
  return false;
}

void
cell_incarnations_unlist (MuxCell *cell, const char *id, const CellWorker *but)
{
  const CellIncarnations *incarnations = incarnations_of (cell, id);
  CellWorker *incarnation;

  if (incarnations == NULL)
    return;
  DL_FOREACH2 (incarnations->incarnation, incarnation, incarnations_next)
  if (incarnation != but && incarnation->listed)
    {
      cell_worker_unlist (cell, incarnation);
      /* Its reply tells whether it has ended. */
      incarnation->next_renew_ms = cell->time.now_ms;
    }
}

static void
move_booking (const MuxCell *cell, CellBooking *booking, CellWorker *to)
{
  CellWorker *from = booking->worker;
  const CellStage *stage = booking->task->stage;

  DL_DELETE (from->bookings, booking);
  from->stop_count -= booking->next_stop_ms != 0;
  cell_room_release (from, stage);
  if (booking->previous_incarnation == NULL)
    {
      booking->previous_incarnation = strdup (from->info.id);
      booking->previous_span = cell_run_span (cell, booking);
    }
  booking->worker = to;
  booking->start_until_ms = 0;
  booking->stop_clock_ms = 0;
  booking->listed = false;
  DL_APPEND (to->bookings, booking);
  to->stop_count += booking->next_stop_ms != 0;
  cell_room_book (to, stage);
}

static void
move_bookings (MuxCell *cell, CellWorker *from, CellWorker *to)
{
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH_SAFE (from->bookings, booking, next)
  if (!booking->was_listed)
    {
      move_booking (cell, booking, to);
      /* A successor looks for it there. */
      cell_job_mark_dirty (cell, booking->task->stage->job);
    }
}

static bool
has_run_of (const CellWorker *incarnation, const char *earlier)
{
  const CellBooking *booking;

  DL_FOREACH (incarnation->bookings, booking)
  if (booking->previous_incarnation != NULL && !booking->was_listed
      && strcmp (booking->previous_incarnation, earlier) == 0)
    return true;
  return false;
}

bool
cell_incarnation_is_unresolved (const CellWorker *worker)
{
  const CellWorker *incarnation;

  DL_FOREACH2 (worker->incarnations->incarnation, incarnation,
               incarnations_next)
  if (has_run_of (incarnation, worker->info.id))
    return true;
  return false;
}

void
cell_incarnation_resolved (MuxCell *cell, const char *incarnation)
{
  CellWorker *worker = cell_worker_find (cell, incarnation);

  if (worker != NULL)
    worker->ends_change_seq = cell->change_seq;
}

static void
end_incarnation (MuxCell *cell, CellWorker *earlier, CellWorker *next)
{
  cell_late_calls_end (cell, earlier);
  move_bookings (cell, earlier, next);
  cell_worker_replaced (cell, earlier);
}

void
cell_incarnations_end_earlier (MuxCell *cell, CellWorker *worker)
{
  CellWorker *incarnation;

  DL_FOREACH2 (worker->incarnations->incarnation, incarnation,
               incarnations_next)
  if ((!incarnation->dead || incarnation->bookings != NULL)
      && incarnation->started_ms < worker->started_ms)
    end_incarnation (cell, incarnation, worker);
}

CellWorker *
cell_incarnation_next (MuxCell *cell,
                       const CellWorker *earlier,
                       uint64_t started_ms)
{
  char incarnation[MUX_NAME_LEN];
  CellWorker *worker;

  if (!mux_incarnation_name (incarnation, earlier->incarnations->id,
                             started_ms))
    return NULL;
  worker = cell_worker_find (cell, incarnation);
  if (worker != NULL)
    return worker;
  worker = cell_worker_add (cell, incarnation);
  if (worker == NULL)
    return NULL;
  /* Its own entry in the list has the rest; until then nothing starts there. */
  cell_worker_set_info (worker, &earlier->info);
  worker->unlisted_ms = cell->time.now_ms;
  cell_log (cell, "worker_started_again", "{s:s, s:s, s:s}", "worker",
            incarnation, "former", earlier->info.id, "addr", worker->info.addr);
  return worker;
}

void
cell_incarnation_runs_listed (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH_SAFE (worker->bookings, booking, next)
  if (!booking->was_listed)
    cell_stop_booking (cell, booking);
}
