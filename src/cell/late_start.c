#include "cell_private.h"

/*
 * Starts that a worker's next life may still carry out.
 *
 * Guards against a task that runs twice: a start that went unanswered may be
 * carried out by a later life of its worker under the same id, which knows
 * neither the run nor the planner's token, and asks for a lease by another
 * clock.  As long as nobody hears that life, no other worker gets the task.
 *
 * A start with a proof of approval is none of these: a proof is good for one
 * life.  Nor is one that its worker has answered, or listed; nor one to a
 * worker whose lives have ids of their own.
 */

#define MARGIN_MS 200

/* From a start, or the last one that a planner can have sent, until no run of
 * it can be left. */
static int64_t
over_ms (void)
{
  return CELL_LATE_ORDERS_MS + cell_longest_lease_ms () + MARGIN_MS;
}

bool
cell_start_may_arrive_late (const MuxCell *cell, const CellBooking *booking)
{
  const MuxQueueSpec *queue = &booking->task->stage->job->spec->queue;

  return booking->worker->started_ms != 0 && !booking->began
         && !booking->was_listed && !queue->approval.required
         && cell->time.now_ms < booking->booked_ms + over_ms ();
}

void
cell_late_starts_of_predecessor (MuxCell *cell, const CellWorker *worker)
{
  int64_t until_ms = cell->predecessor.until_ms + over_ms ();

  if (worker->confirmed || worker->started_ms == 0)
    return;
  if (until_ms > cell->late_starts_until_ms)
    cell->late_starts_until_ms = until_ms;
}

bool
cell_late_starts_are_over (const MuxCell *cell)
{
  return cell->time.now_ms >= cell->late_starts_until_ms;
}
