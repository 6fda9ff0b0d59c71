#include "cell_private.h"

/*
 * Room of workers that is reserved for waiting gangs, each from the time at
 * which the gang is expected to start.  Reservations are made again in each
 * full pass, in planning order; those of the previous pass are kept as stale
 * until it ends.  Workers with reservations are in a list, as each stage that
 * leaves the plan has to give up its own.
 */

/* Declared times may be exceeded by this many percent. */
#define OVERRUN_PERCENT 25
#define PERCENT 100

static void
update_list (MuxCell *cell, CellWorker *worker)
{
  bool is_reserved = worker->reservation_count > 0;

  if (worker->is_reserved == is_reserved)
    return;
  worker->is_reserved = is_reserved;
  if (is_reserved)
    DL_APPEND2 (cell->reserved_workers, worker, reserved_prev, reserved_next);
  else
    DL_DELETE2 (cell->reserved_workers, worker, reserved_prev, reserved_next);
}

static CellReservation *
find (CellWorker *worker, const CellStage *stage)
{
  for (uint32_t i = 0; i < worker->reservation_count; i++)
    if (worker->reservation[i].stage == stage)
      return &worker->reservation[i];
  return NULL;
}

static void
drop (MuxCell *cell, CellWorker *worker, CellReservation *reservation)
{
  *reservation = worker->reservation[--worker->reservation_count];
  update_list (cell, worker);
}

bool
cell_reserve (MuxCell *cell,
              CellStage *stage,
              CellWorker *worker,
              uint32_t tasks,
              int64_t at_ms)
{
  CellReservation *reservation = find (worker, stage);
  MuxSize size = cell_tasks_size (stage, tasks);

  if (reservation == NULL)
    {
      if (worker->reservation_count == CELL_RESERVATIONS_MAX)
        return false;
      reservation = &worker->reservation[worker->reservation_count++];
    }
  else if (!reservation->is_stale)
    size = mux_size_add (reservation->size, size);
  *reservation
      = (CellReservation){ .stage = stage, .size = size, .from_ms = at_ms };
  update_list (cell, worker);
  return true;
}

void
cell_reservations_new_pass (MuxCell *cell)
{
  CellWorker *worker;
  CellWorker *next;

  DL_FOREACH_SAFE2 (cell->reserved_workers, worker, next, reserved_next)
  for (uint32_t i = worker->reservation_count; i-- > 0;)
    {
      CellReservation *reservation = &worker->reservation[i];

      if (cell_stage_is_scanned (cell, reservation->stage))
        continue;
      if (reservation->is_stale)
        drop (cell, worker, reservation);
      else if (cell_stage_is_late (reservation->stage) && !reservation->is_kept)
        reservation->is_kept = true;
      else
        reservation->is_stale = true;
    }
}

void
cell_reservations_mark_stale (MuxCell *cell, const CellStage *stage)
{
  CellWorker *worker;

  DL_FOREACH2 (cell->reserved_workers, worker, reserved_next)
  {
    CellReservation *reservation = find (worker, stage);

    if (reservation != NULL)
      reservation->is_stale = true;
  }
}

bool
cell_reservations_keep (MuxCell *cell, const CellStage *stage)
{
  CellWorker *worker;
  bool any = false;

  DL_FOREACH2 (cell->reserved_workers, worker, reserved_next)
  {
    CellReservation *reservation = find (worker, stage);

    if (reservation == NULL)
      continue;
    reservation->is_stale = false;
    reservation->is_kept = false;
    any = true;
  }
  return any;
}

bool
cell_was_reserved (const CellStage *stage, const CellWorker *worker)
{
  for (uint32_t i = 0; i < worker->reservation_count; i++)
    if (worker->reservation[i].stage == stage)
      return true;
  return false;
}

/* A gang that comes before the reservation's gang in planning order takes the
 * room: it needs all its room at once. */
static bool
is_for_another (const CellReservation *reservation, const CellStage *stage)
{
  if (reservation->is_stale || reservation->stage == stage)
    return false;
  return stage == NULL || !stage->spec->gang
         || cell_stage_compare (stage, reservation->stage) > 0;
}

MuxSize
cell_reserved_for_others (const CellStage *stage,
                          const CellWorker *worker,
                          int64_t at_ms)
{
  MuxSize size = { 0 };

  for (uint32_t i = 0; i < worker->reservation_count; i++)
    if (is_for_another (&worker->reservation[i], stage)
        && worker->reservation[i].from_ms <= at_ms)
      size = mux_size_add (size, worker->reservation[i].size);
  return size;
}

/* Whether a task of @stage that starts there now will have ended by @at_ms. */
static bool
ends_by (const MuxCell *cell,
         const CellStage *stage,
         const CellWorker *worker,
         int64_t at_ms)
{
  uint32_t speed_milli = cell_placing_speed_milli (cell, stage, worker);
  int64_t takes_ms = mux_speed_run_ms (stage->expected_ms, speed_milli)
                     * (PERCENT + OVERRUN_PERCENT) / PERCENT;

  return cell->time.now_ms + takes_ms <= at_ms;
}

/* Urgent tasks can't wait; they prefer other workers by their cost.  A
 * long-running task is to run again as soon as possible and needs only a small
 * part of the room. */
static bool
ignores_reservations (const CellStage *stage)
{
  return stage->job->spec->queue.priority == 0 || stage->spec->long_running;
}

/* Returns how many of @tasks, which fit there now, leave each gang its reserved
 * room. */
static uint32_t
tasks_beside_reserved (const MuxCell *cell,
                       const CellStage *stage,
                       const CellWorker *worker,
                       uint32_t tasks)
{
  for (uint32_t i = 0; i < worker->reservation_count && tasks > 0; i++)
    {
      const CellReservation *reservation = &worker->reservation[i];
      int64_t at_ms = reservation->from_ms;
      MuxSize free;
      uint32_t left;

      if (!is_for_another (reservation, stage)
          || ends_by (cell, stage, worker, at_ms))
        continue;
      free = cell_worker_free_at (cell, stage, worker, at_ms);
      free = mux_size_sub (free,
                           cell_reserved_for_others (stage, worker, at_ms));
      left = cell_tasks_that_fit (stage, free);
      tasks = left < tasks ? left : tasks;
    }
  return tasks;
}

uint32_t
cell_worker_spare_tasks (const MuxCell *cell,
                         const CellStage *stage,
                         const CellWorker *worker)
{
  uint32_t now
      = cell_tasks_that_fit (stage, cell_worker_free_for (stage, worker));
  uint32_t left = worker->run_count < CELL_WORKER_RUNS_MAX
                      ? CELL_WORKER_RUNS_MAX - worker->run_count
                      : 0;

  if (now > left)
    now = left;
  return ignores_reservations (stage)
             ? now
             : tasks_beside_reserved (cell, stage, worker, now);
}

bool
cell_delays_gang (const MuxCell *cell,
                  const CellStage *stage,
                  const CellWorker *worker)
{
  return tasks_beside_reserved (cell, stage, worker, 1) == 0;
}

void
cell_reservations_clear (MuxCell *cell, const CellStage *stage)
{
  CellWorker *worker;
  CellWorker *next;

  DL_FOREACH_SAFE2 (cell->reserved_workers, worker, next, reserved_next)
  {
    CellReservation *reservation = find (worker, stage);

    if (reservation != NULL)
      drop (cell, worker, reservation);
  }
}

void
cell_reservations_clear_worker (MuxCell *cell, CellWorker *worker)
{
  worker->reservation_count = 0;
  update_list (cell, worker);
}
