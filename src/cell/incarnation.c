#include "cell_private.h"

#include "port/incarnation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Workers that start again under their ids.
 *
 * Each life of a worker is a CellWorker of its own, under a name that holds the
 * time of its start: clock, numbers of ends, lease, approvals, strikes and the
 * roster's entry are of that life alone.  An id alone does not keep an order
 * from the next life, though.  So only what a life has listed surely ran there;
 * any other run that was sent to it may be, or come, at the next one, and its
 * room is booked there until the next one's lists and an answered stop tell.
 */

bool
cell_incarnation_add (MuxCell *cell, CellWorker *worker)
{
  char id[MUX_NAME_LEN];
  CellIncarnations *lives;

  mux_incarnation_worker (id, worker->info.id);
  HASH_FIND_STR (cell->incarnations, id, lives);
  if (lives == NULL)
    {
      lives = calloc (1, sizeof *lives);
      if (lives == NULL)
        return false;
      snprintf (lives->id, sizeof lives->id, "%s", id);
      HASH_ADD_STR (cell->incarnations, id, lives);
    }
  worker->incarnations = lives;
  DL_APPEND2 (lives->incarnation, worker, incarnations_prev, incarnations_next);
  return true;
}

void
cell_incarnation_remove (MuxCell *cell, CellWorker *worker)
{
  CellIncarnations *lives = worker->incarnations;

  DL_DELETE2 (lives->incarnation, worker, incarnations_prev, incarnations_next);
  if (lives->incarnation != NULL)
    return;
  HASH_DEL (cell->incarnations, lives);
  free (lives);
}

static CellIncarnations *
lives_of (MuxCell *cell, const char *id)
{
  CellIncarnations *lives;

  HASH_FIND_STR (cell->incarnations, id, lives);
  return lives;
}

bool
cell_incarnation_is_outdated (MuxCell *cell, const char *id, uint64_t born_ms)
{
  const CellIncarnations *lives = lives_of (cell, id);
  const CellWorker *life;

  if (lives == NULL)
    return false;
  DL_FOREACH2 (lives->incarnation, life, incarnations_next)
  if (life->confirmed && life->started_ms > born_ms)
    return true;
  return false;
}

void
cell_incarnations_unlist (MuxCell *cell, const char *id, const CellWorker *but)
{
  const CellIncarnations *lives = lives_of (cell, id);
  CellWorker *life;

  if (lives == NULL)
    return;
  DL_FOREACH2 (lives->incarnation, life, incarnations_next)
  if (life != but && life->listed)
    {
      cell_worker_unlist (cell, life);
      /* It tells itself whether it has ended. */
      life->next_renew_ms = cell->time.now_ms;
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
      /* A next planner looks for it there. */
      cell_job_mark_dirty (cell, booking->task->stage->job);
    }
}

static bool
has_run_of (const CellWorker *life, const char *former)
{
  const CellBooking *booking;

  DL_FOREACH (life->bookings, booking)
  if (booking->previous_incarnation != NULL && !booking->was_listed
      && strcmp (booking->previous_incarnation, former) == 0)
    return true;
  return false;
}

bool
cell_incarnation_is_unresolved (const CellWorker *worker)
{
  const CellWorker *life;

  DL_FOREACH2 (worker->incarnations->incarnation, life, incarnations_next)
  if (has_run_of (life, worker->info.id))
    return true;
  return false;
}

void
cell_incarnation_resolved (MuxCell *cell, const char *life)
{
  CellWorker *worker = cell_worker_find (cell, life);

  if (worker != NULL)
    worker->ends_change_seq = cell->change_seq;
}

static void
end_life (MuxCell *cell, CellWorker *former, CellWorker *next)
{
  if (former->unanswered_sent_ms != 0
      && former->unanswered_sent_ms + CELL_LATE_ORDERS_MS
             > next->stale_until_ms)
    next->stale_until_ms = former->unanswered_sent_ms + CELL_LATE_ORDERS_MS;
  move_bookings (cell, former, next);
  cell_worker_replaced (cell, former);
}

void
cell_incarnations_end_earlier (MuxCell *cell, CellWorker *worker)
{
  CellWorker *life;

  DL_FOREACH2 (worker->incarnations->incarnation, life, incarnations_next)
  if ((!life->dead || life->bookings != NULL)
      && life->started_ms < worker->started_ms)
    end_life (cell, life, worker);
}

CellWorker *
cell_incarnation_next (MuxCell *cell,
                       const CellWorker *former,
                       uint64_t born_ms)
{
  char life[MUX_NAME_LEN];
  CellWorker *worker;

  if (!mux_incarnation_name (life, former->incarnations->id, born_ms))
    return NULL;
  worker = cell_worker_find (cell, life);
  if (worker != NULL)
    return worker;
  worker = cell_worker_add (cell, life);
  if (worker == NULL)
    return NULL;
  /* Its own entry tells the rest; until then nothing starts there. */
  cell_worker_set_info (worker, &former->info);
  worker->unlisted_ms = cell->time.now_ms;
  cell_log (cell, "worker_started_again", "{s:s, s:s, s:s}", "worker", life,
            "former", former->info.id, "addr", worker->info.addr);
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
