#include "cell_private.h"

#include <stdlib.h>

/* Predicts when running tasks end and what room their workers have then. */

#define PERCENT 100
#define OVERDUE_PERCENT 10
/* Most running tasks of one worker that are considered; further ones count as
 * never ending. */
#define ENDS_MAX 64

/* Extrapolates from the reported progress; before there is any, uses the
 * expected run time. */
int64_t
cell_booking_remaining_ms (const MuxCell *cell, const CellBooking *booking)
{
  int64_t ran_ms = booking->progressed_ms - booking->booked_ms;
  int64_t ends_ms
      = booking->booked_ms
        + mux_speed_run_ms (booking->task->stage->expected_ms,
                            cell_booking_speed_milli (cell, booking));

  if (booking->percent > 0)
    ends_ms = booking->progressed_ms
              + ran_ms * (PERCENT - booking->percent) / booking->percent;
  return ends_ms > cell->time.now_ms ? ends_ms - cell->time.now_ms : 0;
}

/* A run that should have ended is assumed to take a fraction of its age
 * longer. */
static int64_t
likely_remaining_ms (const MuxCell *cell, const CellBooking *booking)
{
  int64_t left_ms = cell_booking_remaining_ms (cell, booking);
  int64_t ran_ms = cell->time.now_ms - booking->booked_ms;

  return left_ms > 0 ? left_ms : ran_ms * OVERDUE_PERCENT / PERCENT;
}

MuxSize
cell_worker_free_at (const MuxCell *cell,
                     const CellStage *stage,
                     const CellWorker *worker,
                     int64_t at_ms)
{
  MuxSize free = cell_worker_free_for (stage, worker);
  const CellBooking *booking;

  DL_FOREACH (worker->bookings, booking)
  if (!booking->task->stage->spec->long_running
      && cell->time.now_ms + likely_remaining_ms (cell, booking) <= at_ms)
    free = mux_size_add (free, booking->task->stage->spec->size);
  return free;
}

typedef struct
{
  int64_t left_ms;
  MuxSize size;
} ExpectedEnd;

static int
by_time (const void *x, const void *y)
{
  const ExpectedEnd *a = x;
  const ExpectedEnd *b = y;

  return a->left_ms < b->left_ms ? -1 : a->left_ms > b->left_ms;
}

static uint32_t
ends_of (const MuxCell *cell,
         const CellWorker *worker,
         ExpectedEnd end[ENDS_MAX])
{
  const CellBooking *booking;
  uint32_t n = 0;

  DL_FOREACH (worker->bookings, booking)
  {
    if (n == ENDS_MAX)
      break;
    if (!booking->task->stage->spec->long_running)
      end[n++] = (ExpectedEnd){ likely_remaining_ms (cell, booking),
                                booking->task->stage->spec->size };
  }
  if (n > 0)
    qsort (end, n, sizeof *end, by_time);
  return n;
}

/* Returns the members that fit into @free beside @reserved. */
static uint32_t
tasks_beside (const CellStage *stage, MuxSize free, MuxSize reserved)
{
  return cell_stage_cap_per_worker (
      stage, cell_tasks_that_fit (stage, mux_size_sub (free, reserved)));
}

uint32_t
cell_worker_openings (const MuxCell *cell,
                      const CellStage *stage,
                      CellWorker *worker,
                      CellOpening *opening,
                      uint32_t opening_max)
{
  MuxSize reserved = cell_reserved_for_others (stage, worker, INT64_MAX);
  MuxSize free = cell_worker_free_for (stage, worker);
  uint32_t tasks = tasks_beside (stage, free, reserved);
  uint32_t n = 0;
  ExpectedEnd end[ENDS_MAX];
  uint32_t count = ends_of (cell, worker, end);

  if (tasks > 0 && n < opening_max)
    opening[n++] = (CellOpening){ worker, cell->time.now_ms, tasks };
  for (uint32_t i = 0; i < count && n < opening_max; i++)
    {
      uint32_t more;

      free = mux_size_add (free, end[i].size);
      more = tasks_beside (stage, free, reserved);
      if (more <= tasks)
        continue;
      opening[n++] = (CellOpening){ worker, cell->time.now_ms + end[i].left_ms,
                                    more - tasks };
      tasks = more;
    }
  return n;
}
