#include "cell_private.h"

#include <stdlib.h>

/* When running tasks will have ended, and what room their workers have then. */

#define PERCENT 100
#define OVERDUE_PERCENT 10
/* Running tasks of one worker that are looked at; those beyond count as never
 * ending. */
#define ENDS_MAX 64

/* By its progress; before it has made any, by what is expected. */
int64_t
cell_booking_remaining_ms (const MuxCell *cell, const CellBooking *booking)
{
  int64_t ran_ms = booking->progressed_ms - booking->booked_ms;
  int64_t ends_ms = booking->booked_ms + booking->task->stage->expected_ms;

  if (booking->percent > 0)
    ends_ms = booking->progressed_ms
              + ran_ms * (PERCENT - booking->percent) / booking->percent;
  return ends_ms > cell->time.now_ms ? ends_ms - cell->time.now_ms : 0;
}

/* One that should have ended takes longer by a part of what it has taken. */
static int64_t
likely_left_ms (const MuxCell *cell, const CellBooking *booking)
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
      && cell->time.now_ms + likely_left_ms (cell, booking) <= at_ms)
    free = mux_size_add (free, booking->task->stage->spec->size);
  return free;
}

typedef struct
{
  int64_t left_ms;
  MuxSize size;
} End;

static int
soonest_first (const void *x, const void *y)
{
  const End *a = x;
  const End *b = y;

  return a->left_ms < b->left_ms ? -1 : a->left_ms > b->left_ms;
}

static uint32_t
ends_of (const MuxCell *cell, const CellWorker *worker, End end[ENDS_MAX])
{
  const CellBooking *booking;
  uint32_t n = 0;

  DL_FOREACH (worker->bookings, booking)
  {
    if (n == ENDS_MAX)
      break;
    if (!booking->task->stage->spec->long_running)
      end[n++] = (End){ likely_left_ms (cell, booking),
                        booking->task->stage->spec->size };
  }
  if (n > 0)
    qsort (end, n, sizeof *end, soonest_first);
  return n;
}

/* Members that fit into @free beside what is @reserved. */
static uint32_t
holds_beside (const CellStage *stage, MuxSize free, MuxSize reserved)
{
  return cell_stage_cap_per_worker (
      stage, cell_tasks_that_fit (stage, mux_size_sub (free, reserved)));
}

uint32_t
cell_worker_openings (const MuxCell *cell,
                      const CellStage *stage,
                      CellWorker *worker,
                      CellOpening *gap,
                      uint32_t gap_max)
{
  MuxSize reserved = cell_reserved_for_others (stage, worker, INT64_MAX);
  MuxSize free = cell_worker_free_for (stage, worker);
  uint32_t tasks = holds_beside (stage, free, reserved);
  uint32_t n = 0;
  End end[ENDS_MAX];
  uint32_t count = ends_of (cell, worker, end);

  if (tasks > 0 && n < gap_max)
    gap[n++] = (CellOpening){ worker, cell->time.now_ms, tasks };
  for (uint32_t i = 0; i < count && n < gap_max; i++)
    {
      uint32_t more;

      free = mux_size_add (free, end[i].size);
      more = holds_beside (stage, free, reserved);
      if (more <= tasks)
        continue;
      gap[n++] = (CellOpening){ worker, cell->time.now_ms + end[i].left_ms,
                                more - tasks };
      tasks = more;
    }
  return n;
}
