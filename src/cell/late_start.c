#include "cell_private.h"

/*
 * Starts that a later incarnation of a worker may still carry out.
 *
 * A start without a reply may arrive at a later incarnation of its worker that
 * has the same id.  That one knows neither the run nor the planner's fencing
 * token, and measures leases by another clock.  Until it has been heard from,
 * or the start can't arrive any more, the task is not started elsewhere: it
 * could run twice.
 *
 * This does not concern starts with a proof of approval, which is valid for one
 * incarnation; nor starts that the worker has confirmed or listed; nor workers
 * whose incarnations have different ids.
 */

/* Added to the sum of the bounds below. */
#define MARGIN_MS 200

/* Return: time from the sending of a start until it can no longer be carried
 * out, nor a run of it be left. */
static int64_t
late_start_max_ms (void)
{
  return CELL_LATE_ORDERS_MS + cell_longest_lease_ms () + MARGIN_MS;
}

bool
cell_start_may_arrive_late (const MuxCell *cell, const CellBooking *booking)
{
  const MuxQueueSpec *queue = &booking->task->stage->job->spec->queue;

  return booking->worker->started_ms != 0 && !booking->began
         && !booking->was_listed && !queue->approval.required
         && cell->time.now_ms < booking->booked_ms + late_start_max_ms ();
}

void
cell_late_starts_of_predecessor (MuxCell *cell, const CellWorker *worker)
{
  int64_t until_ms = cell->predecessor.until_ms + late_start_max_ms ();

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
