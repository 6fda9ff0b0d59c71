#include "cell_private.h"

#include <stdio.h>

/*
 * Paces of best-effort tasks beside tasks that serve requests: orders to the
 * workers, and what is done where these have no effect.
 *
 * All best-effort tasks of a worker work at one pace, see cell/pacing.h.  A
 * run starts at the full pace, so that one that starts beside others is
 * ordered to theirs as soon as it is known to have begun.  A planner does not
 * know what its predecessor has ordered: runs that it finds at their workers
 * have no known pace until it has ordered one.
 */

/* After an order that was refused. */
#define RETRY_MS 300
/* The tail at a new pace: a worker applies it within 100 ms, and reports the
 * tail of the last half second. */
#define SETTLE_MS 650
/* An order that went unanswered may be carried out after a newer one.  Until
 * that is over the newer one is repeated. */
#define REPEAT_MS 1000
/* Without a confirmed pace for this long the tails are judged all the same. */
#define UNSETTLED_MAX_MS 1500
/* A serving task that is over its target for this long, while orders have no
 * effect: best-effort tasks are stopped. */
#define STOP_AFTER_MS 2000
/* A task that ends by itself and may not work at all is started elsewhere after
 * this long. */
#define IDLE_MAX_MS 5000
/* From this tail on, in percent of the target, it is followed closely. */
#define TAIL_FOLLOWED_PERCENT 60
#define PERCENT 100
/* Cost of a worker for a best-effort task, in thousandths of a processor: for
 * each such task beside a serving one, for a percent of the pace that they may
 * not work at, and for a percent of the tail's target. */
#define BESIDE_COST 20000
#define PACE_COST 4000
#define TAIL_COST 1000

static bool
is_paced (const CellBooking *booking)
{
  return booking->task->stage->spec->best_effort
         && booking->task->state != CELL_TASK_STOPPING && booking->began;
}

static void
pace_confirmed (MuxCell *cell, CellBooking *booking, uint32_t percent)
{
  int64_t now = cell->time.now_ms;

  if (booking->pace != percent)
    {
      booking->worker->pace_changed_ms = now;
      booking->progressed_ms = now;
    }
  booking->slowed = true;
  booking->pace = percent;
  booking->next_pace_ms
      = now < booking->pace_repeat_until_ms ? now + REPEAT_MS : INT64_MAX;
}

static void
pace_answered (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  CellWorker *worker = cell_worker_find (cell, pending->worker);
  CellTask *task = cell_pending_task (cell, pending);
  CellBooking *booking;

  if (reply->status == MUX_CELL_OTHER_INCARNATION && worker != NULL)
    {
      cell_worker_replaced (cell, worker);
      return;
    }
  if (reply->status == MUX_CELL_FENCED)
    cell_claim_doubt (cell, "pace_fenced");
  if (task == NULL)
    return;
  booking = task->booking;
  if (reply->status == MUX_CELL_OK)
    {
      pace_confirmed (cell, booking, (uint32_t) pending->context);
      booking->worker->pace_due_ms = 0;
      cell_pace_tick (cell, booking->worker);
      return;
    }
  booking->worker->pace_due_ms = 0;
  booking->next_pace_ms = cell->time.now_ms;
  if (reply->status == MUX_CELL_UNKNOWN)
    {
      booking->pace = CELL_PACE_UNKNOWN;
      booking->pace_repeat_until_ms = cell->time.now_ms + CELL_LATE_ORDERS_MS;
    }
  else
    booking->next_pace_ms += RETRY_MS;
}

static void
send_pace (MuxCell *cell, CellBooking *booking, uint32_t percent)
{
  CellWorker *worker = booking->worker;
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_PACE);
  CellPending pending = { .on_reply = pace_answered,
                          .term = cell->term,
                          .task = cell_task_ref (booking->task),
                          .run = booking->run,
                          .context = percent };

  if (call == NULL)
    return;
  snprintf (pending.worker, sizeof pending.worker, "%s", worker->info.id);
  snprintf (call->worker, sizeof call->worker, "%s", worker->info.id);
  snprintf (call->addr, sizeof call->addr, "%s", worker->info.addr);
  call->task = pending.task;
  call->run = booking->run;
  call->fence = cell->term;
  call->percent = percent;
  call->timeout_ms = CELL_WORKER_TIMEOUT_MS;
  mux_count (cell->options.counters, MUX_COUNT_PACES, 1);
  booking->pace_sent = percent;
  /* Not again while the reply is outstanding. */
  if (cell_worker_call (cell, worker, call, &pending))
    booking->next_pace_ms
        = cell->time.now_ms + CELL_WORKER_TIMEOUT_MS + RETRY_MS;
}

/* A new pace does not wait for the answer to the order of another one, which
 * may then be carried out after it. */
static void
supersede_order (const MuxCell *cell, CellBooking *booking)
{
  if (booking->pace != booking->pace_sent)
    booking->pace_repeat_until_ms = cell->time.now_ms + CELL_LATE_ORDERS_MS;
  booking->next_pace_ms = cell->time.now_ms;
}

void
cell_pace_tick (MuxCell *cell, CellWorker *worker)
{
  uint32_t percent = worker->pacing.percent;
  CellBooking *booking;

  /* Called each 4 ms for each worker. */
  if (cell->time.now_ms < worker->pace_due_ms || !worker->pacing.is_known
      || !cell_is_active_planner (cell)
      || !cell_order_is_allowed (cell, worker))
    return;
  worker->pace_due_ms = INT64_MAX;
  DL_FOREACH (worker->bookings, booking)
  {
    if (!is_paced (booking))
      continue;
    if (booking->pace_sent != percent)
      supersede_order (cell, booking);
    else if (booking->pace != percent && booking->next_pace_ms == INT64_MAX)
      booking->next_pace_ms = cell->time.now_ms;
    if (cell->time.now_ms >= booking->next_pace_ms
        && cell_order_is_allowed (cell, worker))
      send_pace (cell, booking, percent);
    if (booking->next_pace_ms < worker->pace_due_ms)
      worker->pace_due_ms = booking->next_pace_ms;
  }
}

void
cell_pace_run_began (CellBooking *booking)
{
  if (booking->task->stage->spec->best_effort)
    booking->worker->pace_due_ms = 0;
}

/* Return: tail of the listed serving task nearest to its target, in percent of
 * that; 0: there is none. */
static uint32_t
tail_percent (const CellWorker *worker)
{
  uint64_t highest = 0;
  const CellBooking *booking;

  DL_FOREACH (worker->bookings, booking)
  {
    uint32_t target = booking->task->stage->spec->tail_target_ms;
    uint64_t percent;

    if (target == 0 || !booking->listed)
      continue;
    percent = (uint64_t) booking->usage * PERCENT / target;
    highest = percent > highest ? percent : highest;
  }
  return highest < UINT32_MAX ? (uint32_t) highest : UINT32_MAX;
}

static bool
has_serving_task (const CellWorker *worker)
{
  const CellBooking *booking;

  DL_FOREACH (worker->bookings, booking)
  if (booking->task->stage->spec->tail_target_ms > 0)
    return true;
  return false;
}

/* Whether the pace chosen last is in force, and the tail is that at it. */
static bool
is_settled (const MuxCell *cell, const CellWorker *worker)
{
  const CellBooking *booking;

  if (cell->time.now_ms - worker->pace_changed_ms < SETTLE_MS)
    return false;
  DL_FOREACH (worker->bookings, booking)
  if (worker->pacing.is_known && is_paced (booking)
      && booking->pace != worker->pacing.percent)
    return false;
  return true;
}

static void
count_paced (CellWorker *worker)
{
  CellBooking *booking;

  worker->paced_count = 0;
  DL_FOREACH (worker->bookings, booking)
  worker->paced_count += is_paced (booking);
}

/* A worker takes no order, or answers none: of the tasks that may be stopped
 * one after the other is. */
static void
stop_instead (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;

  DL_FOREACH (worker->bookings, booking)
  if (is_paced (booking) && booking->pace != worker->pacing.percent
      && cell_run_may_be_stopped (booking))
    cell_stop_booking (cell, booking);
}

/* Tasks that end by themselves are started elsewhere if they may not work here
 * for long. */
static void
stop_idle (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;

  if (worker->pacing.percent > 0
      || cell->time.now_ms - worker->pace_ordered_ms < IDLE_MAX_MS)
    return;
  DL_FOREACH (worker->bookings, booking)
  if (is_paced (booking) && !booking->task->stage->spec->long_running)
    cell_stop_booking (cell, booking);
}

static void
watch_over_target (MuxCell *cell, CellWorker *worker, uint32_t tail)
{
  int64_t now = cell->time.now_ms;

  if (tail <= PERCENT)
    worker->over_target_since_ms = 0;
  else if (worker->over_target_since_ms == 0)
    worker->over_target_since_ms = now;
  /* An order that was sent just now may still have its effect. */
  if (worker->over_target_since_ms != 0
      && now - worker->over_target_since_ms >= STOP_AFTER_MS
      && now - worker->pace_ordered_ms >= UNSETTLED_MAX_MS)
    stop_instead (cell, worker);
}

static void
observe (MuxCell *cell, CellWorker *worker, uint32_t tail)
{
  int64_t now = cell->time.now_ms;

  if (!is_settled (cell, worker)
      && now - worker->pace_ordered_ms < UNSETTLED_MAX_MS)
    return;
  if (!mux_pacing_observe (&worker->pacing, tail, now))
    return;
  worker->pace_ordered_ms = now;
  cell_log (cell, "paced", "{s:s, s:i, s:i, s:i, s:i}", "worker",
            worker->info.id, "tasks", (int) worker->paced_count, "percent",
            (int) worker->pacing.percent, "tail_percent", (int) tail,
            "rise_milli", (int) worker->pacing.rise_milli);
}

void
cell_pace_update (MuxCell *cell, CellWorker *worker)
{
  uint32_t tail;

  count_paced (worker);
  worker->tail_percent = tail_percent (worker);
  tail = worker->tail_percent;
  if (worker->paced_count == 0)
    {
      mux_pacing_idle (&worker->pacing, tail);
      return;
    }
  if (has_serving_task (worker))
    observe (cell, worker, tail);
  else if (!worker->pacing.is_known || worker->pacing.percent < MUX_PACING_FULL)
    mux_pacing_init (&worker->pacing);
  worker->pace_due_ms = 0;
  cell_pace_tick (cell, worker);
  watch_over_target (cell, worker, tail);
  stop_idle (cell, worker);
}

void
cell_pace_adopt (CellBooking *booking)
{
  if (!booking->task->stage->spec->best_effort)
    return;
  booking->pace = CELL_PACE_UNKNOWN;
  booking->pace_sent = CELL_PACE_UNKNOWN;
  if (booking->worker->paced_count == 0)
    mux_pacing_forget (&booking->worker->pacing);
}

bool
cell_pace_needs_reports (const CellWorker *worker)
{
  return worker->paced_count > 0
         && (!worker->pacing.is_known
             || worker->pacing.percent < MUX_PACING_FULL
             || worker->tail_percent >= TAIL_FOLLOWED_PERCENT);
}

bool
cell_worker_takes_best_effort (const CellStage *stage, const CellWorker *worker)
{
  return stage->spec->long_running || worker->pacing.percent > 0;
}

int64_t
cell_best_effort_cost (const CellStage *stage, const CellWorker *worker)
{
  const CellBooking *booking;
  int64_t beside = 0;

  if (!stage->spec->best_effort || !has_serving_task (worker))
    return 0;
  DL_FOREACH (worker->bookings, booking)
  beside += booking->task->stage->spec->best_effort;
  return (beside + 1) * BESIDE_COST
         + (int64_t) (MUX_PACING_FULL - worker->pacing.percent) * PACE_COST
         + (int64_t) (worker->tail_percent < PERCENT ? worker->tail_percent
                                                     : PERCENT)
               * TAIL_COST;
}
