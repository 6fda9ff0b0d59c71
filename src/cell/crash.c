#include "stage_tasks.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Runs that were lost with their workers, counted by task.
 *
 * A task that crashes each worker that starts it, and with it all other runs
 * there, would do so for as long as the cell runs: a lost run has no end that
 * a worker could report, so no attempt is counted for it. So losses are
 * counted here.
 *
 * A worker has crashed under a run that it had reported, if it ended without
 * announcing that it leaves. An unreachable worker may be cut off and running:
 * that does not count against the task until the worker answers again, or
 * until it has been unreachable for so long that it is taken as gone.
 */

/* A long-running task that ran for this long did not crash its worker. */
#define LONG_RUN_MS 60000
/* Interval of checks that depend on time alone. */
#define CHECK_INTERVAL_MS 500
/* A loss is checked for this long against other workers that went down with
 * it. */
#define OUTAGE_CHECK_MS 4000

static void
fail_job (MuxCell *cell, const CellTask *task)
{
  CellJob *job = task->stage->job;

  if (job->failed || job->ended)
    return;
  cell_log_crashed_under (cell, task);
  mux_count (cell->options.counters, MUX_COUNT_JOBS_CRASHING, 1);
  cell_job_fail (cell, job, "crashes_workers");
}

/* The task's losses changed: they are to be stored, and may be too many. */
static void
losses_changed (MuxCell *cell, CellTask *task)
{
  task->stage->loss_changes++;
  cell_job_mark_dirty (cell, task->stage->job);
  if (cell_losses_exceeded (cell, task))
    fail_job (cell, task);
}

static void
drop (CellTask *task, uint32_t i)
{
  task->loss[i] = task->loss[--task->loss_count];
  task->stage->job->loss_count--;
}

/* Drops the record of a start by this planner.
 * Return: whether there was one. */
static bool
drop_own_pending (CellTask *task)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].outcome_unknown && !task->loss[i].from_predecessor)
      {
        drop (task, i);
        return true;
      }
  return false;
}

/* The loss that says least: one whose run is not known to have begun, else
 * the oldest. */
static uint32_t
least_significant (const CellTask *task)
{
  uint32_t least = 0;

  for (uint32_t i = 1; i < task->loss_count; i++)
    {
      const CellLoss *a = &task->loss[i];
      const CellLoss *b = &task->loss[least];

      if (a->began != b->began ? !a->began : a->at_wall_ms < b->at_wall_ms)
        least = i;
    }
  return least;
}

CellLoss *
cell_loss_add (CellTask *task)
{
  CellLoss *list = task->loss;

  if (task->loss_count == CELL_LOSSES_MAX)
    drop (task, least_significant (task));
  else
    list = realloc (list, (task->loss_count + 1) * sizeof *list);
  if (list == NULL)
    return NULL;
  task->loss = list;
  task->stage->job->loss_count++;
  list[task->loss_count] = (CellLoss){ .run = 0 };
  return &list[task->loss_count++];
}

static CellLoss *
add_loss (MuxCell *cell,
          CellTask *task,
          const char *worker,
          const char *addr,
          CellLoss value)
{
  CellLoss *loss = cell_loss_add (task);

  if (loss == NULL)
    return NULL;
  cell_loss_list_add (cell, task->stage->job);
  *loss = value;
  loss->at_wall_ms = cell->time.wall_ms;
  snprintf (loss->worker, sizeof loss->worker, "%s", worker);
  snprintf (loss->addr, sizeof loss->addr, "%s", addr);
  return loss;
}

void
cell_loss_record (MuxCell *cell,
                  CellTask *task,
                  const char *worker,
                  const char *addr,
                  CellLoss value)
{
  CellLoss *loss = add_loss (cell, task, worker, addr, value);

  if (loss == NULL)
    return;
  loss->in_outage = cell_lost_in_outage (cell, task, loss);
  cell_log_loss (cell, task, loss);
  losses_changed (cell, task);
}

static bool
loss_counts (const CellBooking *booking)
{
  const CellTask *task = booking->task;
  const CellJob *job = task->stage->job;

  return !booking->worker->info.draining && task->state != CELL_TASK_DONE
         && !job->cancelled && !job->failed;
}

/* Return: whether any were dropped. */
static bool
drop_all (CellTask *task)
{
  bool any = task->loss_count > 0;

  while (task->loss_count > 0)
    drop (task, 0);
  return any;
}

static CellLoss
loss_of (const MuxCell *cell, const CellBooking *booking)
{
  return (CellLoss){ .run = booking->run,
                     .began = booking->began,
                     .worker_ended = booking->worker->replaced,
                     .ran_ms = cell_run_min_duration_ms (booking),
                     .span = cell_run_span (cell, booking) };
}

static bool
ran_long (const MuxCell *cell, const CellBooking *booking)
{
  return booking->task->stage->spec->long_running
         && cell->time.now_ms - booking->booked_ms >= LONG_RUN_MS;
}

static void
lose_run (MuxCell *cell, CellBooking *booking)
{
  CellTask *task = booking->task;
  CellWorker *worker = booking->worker;
  CellLoss loss = loss_of (cell, booking);
  bool long_run = ran_long (cell, booking);
  bool counts = loss_counts (booking) && !long_run;

  snprintf (loss.addr, sizeof loss.addr, "%s", worker->info.addr);
  cell_unbook (cell, booking);
  cell_run_ended (cell, task, worker, loss.run, MUX_RUN_LEASE_EXPIRED, NULL,
                  worker->replaced ? "worker_replaced" : "lease_over");
  (void) drop_own_pending (task);
  if (long_run || cell_run_clears_task (task, loss.ran_ms))
    (void) drop_all (task);
  if (!cell_run_was_short (loss.ran_ms)
      && cell_lost_in_outage (cell, task, &loss))
    return;
  if (counts)
    cell_loss_record (cell, task, worker->info.id, worker->info.addr, loss);
}

void
cell_loss_run_listed (MuxCell *cell, const CellBooking *booking)
{
  if (cell_run_clears_task (booking->task, cell_run_min_duration_ms (booking))
      && drop_all (booking->task))
    losses_changed (cell, booking->task);
}

void
cell_lose_resolved (MuxCell *cell, CellBooking *booking)
{
  CellTask *task = booking->task;
  CellWorker *worker = booking->worker;
  CellLoss loss = loss_of (cell, booking);
  bool counts = loss_counts (booking);
  char previous[MUX_NAME_LEN];

  loss.worker_ended = true;
  loss.span = booking->previous_span;
  snprintf (previous, sizeof previous, "%s", booking->previous_incarnation);
  cell_unbook (cell, booking);
  cell_run_ended (cell, task, worker, loss.run, MUX_RUN_LEASE_EXPIRED, NULL,
                  "stopped_and_not_listed");
  (void) drop_own_pending (task);
  if (counts)
    cell_loss_record (cell, task, previous, worker->info.addr, loss);
  cell_incarnation_resolved (cell, previous);
}

void
cell_lose_runs (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH_SAFE (worker->bookings, booking, next)
  if (!cell_start_may_arrive_late (cell, booking))
    lose_run (cell, booking);
}

/*
 * A suspect starts only where the store has a record of the start, so that a
 * crash is not lost with its planner: a successor knows whose end to count.
 */
bool
cell_start_is_recorded (MuxCell *cell, CellTask *task, const CellWorker *worker)
{
  CellLoss pending = { .outcome_unknown = true };

  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].outcome_unknown
        && strcmp (task->loss[i].worker, worker->info.id) == 0)
      return true;
  (void) drop_own_pending (task);
  if (add_loss (cell, task, worker->info.id, worker->info.addr, pending)
      == NULL)
    return false;
  losses_changed (cell, task);
  if (task->stage->job->spec->queue.priority == 0)
    cell->part[task->stage->job->part].commit_now = true;
  return false;
}

void
cell_loss_run_began (MuxCell *cell, CellTask *task)
{
  for (uint32_t i = 0; i < task->loss_count; i++)
    if (task->loss[i].outcome_unknown && !task->loss[i].began)
      {
        task->loss[i].began = true;
        losses_changed (cell, task);
      }
}

void
cell_loss_run_ended (MuxCell *cell, CellTask *task)
{
  if (task->loss_count > 0 && drop_own_pending (task))
    losses_changed (cell, task);
}

/*
 * A run may have begun without a record while the loss before it was taken for
 * a partition. It gets one once that loss counts.
 *
 * Return: whether it did.
 */
static bool
record_run (MuxCell *cell, CellTask *task)
{
  const CellBooking *booking = task->booking;
  CellLoss pending = { .outcome_unknown = true };
  const char *incarnation;

  if (booking == NULL || cell_start_has_record (task)
      || !cell_start_needs_record (cell, task))
    return false;
  pending.began = booking->began;
  incarnation = booking->previous_incarnation != NULL
                    ? booking->previous_incarnation
                    : booking->worker->info.id;
  return add_loss (cell, task, incarnation, booking->worker->info.addr, pending)
         != NULL;
}

typedef bool (*LossUpdate) (CellTask *task,
                            uint32_t i,
                            const CellWorker *worker);

CellLossSpan
cell_predecessor_span (const MuxCell *cell, const CellWorker *worker)
{
  return cell_outage_span (cell, worker, cell->term_began_ms);
}

/* The span of a loss that a predecessor recorded. */
static void
find_span (const MuxCell *cell,
           const CellWorker *worker,
           CellTask *task,
           uint32_t i)
{
  CellLoss *loss = &task->loss[i];

  if (i >= task->loss_count || loss->outcome_unknown || loss->span.to_ms != 0)
    return;
  loss->span = cell_predecessor_span (cell, worker);
  loss->in_outage = loss->in_outage || cell_lost_in_outage (cell, task, loss);
}

/* Calls @update for all losses; it returns whether it changed the loss. */
static void
for_each_loss (MuxCell *cell, const CellWorker *worker, LossUpdate update)
{
  CellJob *job;
  CellJob *next;

  mux_count (cell->options.counters, MUX_COUNT_JOB_LOOKS, cell->loss_job_count);
  DL_FOREACH_SAFE2 (cell->loss_jobs, job, next, loss_list_next)
  for (uint32_t i = 0; i < job->stage_count && job->loss_count > 0; i++)
    for (uint32_t j = 0; j < job->stage[i]->spec->count; j++)
      {
        CellTask *task = cell_task_object (job->stage[i], j);
        bool any_changed = false;

        for (uint32_t k = task != NULL ? task->loss_count : 0; k > 0; k--)
          if (update (task, k - 1, worker))
            {
              any_changed = true;
              find_span (cell, worker, task, k - 1);
            }
        if (any_changed)
          {
            (void) record_run (cell, task);
            losses_changed (cell, task);
          }
      }
}

static bool
is_booked_at (const CellTask *task, const CellWorker *worker)
{
  return task->booking != NULL && task->booking->worker == worker;
}

static bool
mark_worker_ended (CellTask *task, uint32_t i)
{
  CellLoss *loss = &task->loss[i];

  if (loss->worker_ended || (loss->outcome_unknown && !loss->from_predecessor))
    return false;
  loss->outcome_unknown = false;
  loss->worker_ended = true;
  return true;
}

static bool
update_worker_confirmed (CellTask *task, uint32_t i, const CellWorker *worker)
{
  CellLoss *loss = &task->loss[i];

  if (strcmp (loss->worker, worker->info.id) != 0)
    return strcmp (loss->addr, worker->info.addr) == 0
           && mark_worker_ended (task, i);
  if (loss->outcome_unknown && is_booked_at (task, worker))
    loss->from_predecessor = false;
  else if (loss->from_predecessor || !loss->outcome_unknown)
    drop (task, i);
  return true;
}

static bool
update_worker_ended (CellTask *task, uint32_t i, const CellWorker *worker)
{
  return strcmp (task->loss[i].worker, worker->info.id) == 0
         && mark_worker_ended (task, i);
}

static bool
update_worker_unreachable (CellTask *task, uint32_t i, const CellWorker *worker)
{
  CellLoss *loss = &task->loss[i];

  if (!loss->outcome_unknown || !loss->from_predecessor
      || strcmp (loss->worker, worker->info.id) != 0)
    return false;
  loss->outcome_unknown = false;
  return true;
}

void
cell_losses_worker_confirmed (MuxCell *cell, const CellWorker *worker)
{
  for_each_loss (cell, worker, update_worker_confirmed);
}

void
cell_losses_worker_dead (MuxCell *cell, const CellWorker *worker)
{
  for_each_loss (cell, worker,
                 worker->replaced ? update_worker_ended
                                  : update_worker_unreachable);
  if (!worker->confirmed && !worker->info.draining)
    cell_losses_of_predecessor (cell, worker);
}

/* Whether other workers went down at the same moment shows a little later. */
static bool
mark_in_outage (const MuxCell *cell, CellTask *task, uint32_t i)
{
  CellLoss *loss = &task->loss[i];

  if (loss->in_outage || loss->outcome_unknown
      || cell->time.now_ms - loss->span.to_ms > OUTAGE_CHECK_MS
      || !cell_lost_in_outage (cell, task, loss))
    return false;
  loss->in_outage = true;
  if (!cell_run_was_short (loss->ran_ms))
    drop (task, i);
  return true;
}

static void
check_task (MuxCell *cell, CellTask *task)
{
  bool any_changed = false;

  for (uint32_t i = task->loss_count; i > 0; i--)
    any_changed = mark_in_outage (cell, task, i - 1) || any_changed;
  if (record_run (cell, task) || any_changed)
    losses_changed (cell, task);
  else if (cell_losses_exceeded (cell, task))
    fail_job (cell, task);
}

static void
check_job (MuxCell *cell, const CellJob *job)
{
  for (uint32_t i = 0; i < job->stage_count; i++)
    for (uint32_t j = 0; j < job->stage[i]->spec->count; j++)
      if (cell_task_view (job->stage[i], j)->loss_count > 0)
        check_task (cell, cell_task_object (job->stage[i], j));
}

void
cell_losses_tick (MuxCell *cell)
{
  CellJob *job;
  CellJob *next;

  if (cell->time.now_ms < cell->next_loss_check_ms)
    return;
  cell->next_loss_check_ms = cell->time.now_ms + CHECK_INTERVAL_MS;
  mux_count (cell->options.counters, MUX_COUNT_JOB_LOOKS, cell->loss_job_count);
  DL_FOREACH_SAFE2 (cell->loss_jobs, job, next, loss_list_next)
  if (job->loss_count == 0)
    cell_loss_list_remove (cell, job);
  else if (!job->failed && !job->ended)
    check_job (cell, job);
}

void
cell_losses_free (CellTask *task)
{
  free (task->loss);
}
