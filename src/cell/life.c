#include "cell_private.h"

#include "port/life.h"

#include <stdio.h>
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

/* Orders that went unanswered are carried out after this time at the latest, in
 * ms. */
#define LATE_ORDERS_MS 15000

static bool
is_life_of (const CellWorker *worker, const char *id)
{
  char own[MUX_NAME_LEN];

  mux_life_id (own, worker->info.id);
  return strcmp (own, id) == 0;
}

/* Another life of the same worker that began before. */
static bool
is_former (const CellWorker *worker, const CellWorker *next)
{
  char id[MUX_NAME_LEN];

  mux_life_id (id, next->info.id);
  return worker != next && worker->born_ms < next->born_ms
         && is_life_of (worker, id);
}

bool
cell_life_is_outdated (MuxCell *cell, const char *id, uint64_t born_ms)
{
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  if (worker->heard && worker->born_ms > born_ms && is_life_of (worker, id))
    return true;
  return false;
}

void
cell_lives_unlist (MuxCell *cell, const char *id, const CellWorker *but)
{
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  if (worker != but && worker->listed && is_life_of (worker, id))
    {
      cell_worker_unlist (cell, worker);
      /* It tells itself whether it has ended. */
      worker->next_renew_ms = cell->time.now_ms;
    }
}

static void
move_booking (CellBooking *booking, CellWorker *to)
{
  CellWorker *from = booking->worker;
  MuxSize size = booking->task->stage->spec->size;

  DL_DELETE (from->bookings, booking);
  from->stops -= booking->stop_at_ms != 0;
  from->booked = mux_size_sub (from->booked, size);
  if (booking->former == NULL)
    booking->former = strdup (from->info.id);
  booking->worker = to;
  booking->stop_clock_ms = 0;
  booking->listed = false;
  DL_APPEND (to->bookings, booking);
  to->stops += booking->stop_at_ms != 0;
  to->booked = mux_size_add (to->booked, size);
}

static void
move_bookings (MuxCell *cell, CellWorker *from, CellWorker *to)
{
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH_SAFE (from->bookings, booking, next)
  if (!booking->confirmed)
    {
      move_booking (booking, to);
      /* A next planner looks for it there. */
      cell_job_dirty (cell, booking->task->stage->job);
    }
}

static void
end_life (MuxCell *cell, CellWorker *former, CellWorker *next)
{
  if (former->unanswered_ms != 0
      && former->unanswered_ms + LATE_ORDERS_MS > next->stale_until_ms)
    next->stale_until_ms = former->unanswered_ms + LATE_ORDERS_MS;
  move_bookings (cell, former, next);
  cell_worker_replaced (cell, former);
}

void
cell_lives_end (MuxCell *cell, CellWorker *worker)
{
  CellWorker *other;
  CellWorker *next;

  if (worker->born_ms == 0)
    return;
  HASH_ITER (hh, cell->workers, other, next)
  if (!other->dead && is_former (other, worker))
    end_life (cell, other, worker);
}

CellWorker *
cell_life_next (MuxCell *cell, const CellWorker *former, uint64_t born_ms)
{
  char id[MUX_NAME_LEN];
  char life[MUX_NAME_LEN];
  CellWorker *worker;

  mux_life_id (id, former->info.id);
  if (!mux_life_name (life, id, born_ms))
    return NULL;
  worker = cell_worker_find (cell, life);
  if (worker != NULL)
    return worker;
  worker = cell_worker_add (cell, life);
  if (worker == NULL)
    return NULL;
  /* Its own entry tells the rest; until then nothing starts there. */
  cell_worker_take_entry (worker, &former->info);
  worker->unlisted_ms = cell->time.now_ms;
  cell_log (cell, "worker_started_again", "{s:s, s:s, s:s}", "worker", life,
            "former", former->info.id, "addr", worker->info.addr);
  return worker;
}

void
cell_life_listed_runs (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH_SAFE (worker->bookings, booking, next)
  if (!booking->confirmed)
    cell_stop_booking (cell, booking);
}
