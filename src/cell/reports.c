#include "attempts.h"
#include "stage_tasks.h"
#include "token.h"

#include <stdio.h>
#include <string.h>

/* Processes what a worker lists in reply to RENEW: its runs, and the ends of
 * runs that were not acknowledged. */

/* A run that is confirmed and in no list for this long is stopped, so that its
 * room is not held forever. */
#define UNLISTED_RUN_MS 2500
/* A task is stalled if its progress has not changed for this long, and for
 * eight times the estimated time of one percent: it is stopped and run
 * elsewhere, */
#define STALL_MS 1800
#define STALL_FACTOR 8
#define PERCENT 100
/* and its worker is avoided for this long. */
#define STALL_AVOID_MS 3000
/* How long a worker with an orphan run is avoided: it has less room than is
 * known here. */
#define ORPHAN_AVOID_MS 1000
/* A worker with unacknowledged ends is called again after this long: a commit
 * takes some 10 ms, after a window of 30 ms. */
#define RENEW_AFTER_ENDS_MS 200

static bool
is_booked_run (const CellTask *task, const CellWorker *worker, uint32_t run)
{
  return task != NULL && task->booking != NULL
         && task->booking->worker == worker && task->booking->run == run;
}

/* Whether some planner may have started the run. */
static bool
is_run_number (uint32_t run)
{
  return run > 0 && run <= CELL_RUN_MAX;
}

static void
update_running (MuxCell *cell, CellBooking *booking, const MuxRunReport *report)
{
  CellTask *task = booking->task;

  booking->listed = true;
  booking->began = true;
  if (booking->first_report_ms == 0)
    booking->first_report_ms = cell->time.processed_ms;
  cell_loss_run_listed (cell, booking);
  booking->was_listed = true;
  booking->start_unanswered = false;
  booking->usage = report->usage;
  task->stage->job->started = true;
  cell_queue_count_update (cell, task->stage->job);
  if (task->state == CELL_TASK_STARTING)
    (void) cell_task_set_state (cell, task, CELL_TASK_RUNNING);
  if (report->checkpoint != NULL)
    (void) cell_token_set (cell, &task->checkpoint, report->checkpoint);
  if (report->percent != booking->percent)
    {
      booking->percent = report->percent;
      booking->progressed_ms = cell->time.now_ms;
      cell_speed_run_progressed (cell, booking);
    }
}

static void
stop_orphan (MuxCell *cell, CellWorker *worker, const MuxRunReport *report)
{
  cell_log (cell, "stray_run", "{s:s, s:i, s:i, s:i, s:s}", "job",
            report->task.job, "step", (int) report->task.step, "task",
            (int) report->task.index, "run", (int) report->run, "worker",
            worker->info.id);
  worker->avoid_until_ms = cell->time.now_ms + ORPHAN_AVOID_MS;
  cell_stop_orphan (cell, worker, &report->task, report->run);
}

/* Handles a run that this planner did not start, or whose start it had given
 * up: it is adopted if its task has no run, else stopped. */
static void
adopt (MuxCell *cell, CellWorker *worker, const MuxRunReport *report)
{
  CellTask *task = cell_task_find (cell, &report->task);
  CellBooking *booking;

  if (task == NULL || task->booking != NULL || task->state == CELL_TASK_DONE
      || !is_run_number (report->run))
    {
      stop_orphan (cell, worker, report);
      return;
    }
  booking = cell_book (cell, task, worker, report->run);
  if (booking == NULL)
    return;
  /* When it began is not known. */
  booking->speed_learned = true;
  cell_pace_adopt (booking);
  (void) cell_task_set_state (cell, task, CELL_TASK_RUNNING);
  update_running (cell, booking, report);
  if (task->stage->job->cancelled || task->stage->job->failed)
    cell_stop_booking (cell, booking);
  else
    cell_stage_update (cell, task->stage);
}

static void
take_running (MuxCell *cell, CellWorker *worker, const MuxRunReport *report)
{
  CellTask *task = cell_task_find (cell, &report->task);

  if (is_booked_run (task, worker, report->run))
    update_running (cell, task->booking, report);
  else
    adopt (cell, worker, report);
}

/* Takes the end of a run without a booking: one of an earlier term, or one that
 * was given up.  A successful end counts whenever it arrives. */
static void
take_unbooked_end (MuxCell *cell,
                   CellWorker *worker,
                   CellTask *task,
                   const MuxRunReport *report)
{
  if (task->state == CELL_TASK_DONE)
    return;
  if (report->end == MUX_RUN_DONE || report->end == MUX_RUN_FAILED)
    cell_run_ended (cell, task, worker, report->run, report->end,
                    report->checkpoint, "listed");
  if (task->state != CELL_TASK_DONE)
    return;
  if (task->stage->spec->gang)
    cell_stage_stop_runs (cell, task->stage);
  else if (task->booking != NULL)
    cell_stop_booking (cell, task->booking);
}

/*
 * @seen_before: highest number in earlier lists; ends above it are new.  It is
 *   not compared with worker->ends_seen, as a list need not be sorted: an end
 *   after a higher number would be acknowledged without having been taken, and
 *   its task run again.
 * Return: false: the end can't be kept.
 */
static bool
take_end (MuxCell *cell,
          CellWorker *worker,
          const MuxRunReport *report,
          uint64_t seen_before)
{
  CellTask *task = cell_task_find (cell, &report->task);

  if (report->end_number <= seen_before)
    return true;
  if (report->end_number > worker->ends_seen)
    worker->ends_seen = report->end_number;
  if (!is_run_number (report->run))
    {
      cell_log (cell, "stray_end", "{s:s, s:I, s:s}", "job", report->task.job,
                "run", (json_int_t) report->run, "worker", worker->info.id);
      return true;
    }
  if (task == NULL)
    return cell_unreadable_keep_end (cell, report);
  if (report->end == MUX_RUN_FAILED && !cell_attempts_reserve (cell, task))
    return false;
  if (!is_booked_run (task, worker, report->run))
    {
      take_unbooked_end (cell, worker, task, report);
      return true;
    }
  if (report->end == MUX_RUN_DONE)
    {
      cell_run_time_record (cell, task->booking);
      cell_speed_run_ended (cell, task->booking);
    }
  cell_interference_record (cell, task->booking, report->end);
  cell_unbook (cell, task->booking);
  cell_run_ended (cell, task, worker, report->run, report->end,
                  report->checkpoint, "listed");
  return true;
}

/*
 * An end that can't be kept, and all after it, are not acknowledged, so that
 * the worker lists them again to this planner or to a successor.
 *
 * Return: whether some were left with the worker.
 */
static bool
take_ends (MuxCell *cell, CellWorker *worker, const MuxCellReply *reply)
{
  uint64_t seen_before = worker->ends_seen;
  uint64_t first_left = UINT64_MAX;

  for (uint32_t i = 0; i < reply->report_count; i++)
    {
      const MuxRunReport *report = &reply->report[i];

      if (report->end_number != 0
          && !take_end (cell, worker, report, seen_before)
          && report->end_number < first_left)
        first_left = report->end_number;
    }
  if (worker->ends_seen >= first_left)
    worker->ends_seen = first_left - 1;
  return first_left != UINT64_MAX;
}

/*
 * Once a worker has confirmed the stop of a run it refuses to start it, and so
 * it does after the deadline of the start: a later list without the run proves
 * that it is not there and never will be.
 */
static bool
never_starts (const CellBooking *booking, int64_t clock_ms)
{
  if (booking->listed)
    return false;
  if (booking->stop_clock_ms != 0 && clock_ms > booking->stop_clock_ms)
    return true;
  return !booking->began && booking->start_until_ms != 0
         && clock_ms > booking->start_until_ms;
}

static void
resolve_unstarted (MuxCell *cell, CellWorker *worker, CellBooking *booking)
{
  CellTask *task = booking->task;
  uint32_t run = booking->run;
  const char *evidence = booking->stop_clock_ms != 0 ? "stopped_and_not_listed"
                                                     : "start_expired";

  if (booking->previous_incarnation != NULL)
    {
      cell_lose_resolved (cell, booking);
      return;
    }
  cell_unbook (cell, booking);
  cell_run_ended (cell, task, worker, run, MUX_RUN_LEASE_EXPIRED, NULL,
                  evidence);
}

static bool
is_stalled (const MuxCell *cell, const CellBooking *booking)
{
  const MuxStepSpec *spec = booking->task->stage->spec;
  int64_t unchanged_ms = cell->time.now_ms - booking->progressed_ms;

  /* A member of a gang that is done waits for the others, and one that works at
   * a low pace makes little progress. */
  if (spec->long_running || booking->task->state != CELL_TASK_RUNNING
      || !booking->listed || booking->percent >= PERCENT
      || booking->pace < MUX_PACING_FULL)
    return false;
  return unchanged_ms > STALL_MS
         && unchanged_ms > (int64_t) spec->estimate_ms * STALL_FACTOR / PERCENT;
}

static void
check_booking (MuxCell *cell,
               CellWorker *worker,
               CellBooking *booking,
               int64_t clock_ms,
               bool complete)
{
  int64_t age_ms = cell->time.now_ms - booking->booked_ms;

  if (complete && never_starts (booking, clock_ms))
    {
      resolve_unstarted (cell, worker, booking);
      return;
    }
  if (!booking->listed && complete
      && (booking->start_unanswered
          || (booking->task->state == CELL_TASK_RUNNING
              && age_ms > UNLISTED_RUN_MS)))
    cell_stop_booking (cell, booking);
  if (!is_stalled (cell, booking))
    return;
  cell_log (cell, "run_still", "{s:s, s:i, s:i, s:s, s:i}", "job",
            booking->task->stage->job->id, "step",
            (int) booking->task->stage->step, "task",
            (int) booking->task->index, "worker", worker->info.id, "percent",
            (int) booking->percent);
  worker->avoid_until_ms = cell->time.now_ms + STALL_AVOID_MS;
  cell_speed_run_stalled (cell, booking);
  cell_stop_booking (cell, booking);
}

/*
 * Begins the occurrence that a listed run belongs to, if it is not due here
 * yet: a predecessor's time of day may have been ahead.  Otherwise its runs
 * would be stopped as orphans, and its ends acknowledged and lost, so that
 * tasks which are done would run again.
 */
static void
begin_listed_occurrence (MuxCell *cell, const MuxTaskRef *task)
{
  CellJob *job = cell_job_find (cell, task->job);

  if (job == NULL || job->ended || task->occurrence < job->next_occurrence
      || task->occurrence >= job->spec->repetitions)
    return;
  cell_occurrences_restore (cell, job, task->occurrence + 1);
  cell_job_advance (cell, job);
}

/*
 * A run of a predecessor that has ended may be missing from a list that leaves
 * ends out: its task would be started again, and its end then be listed and
 * acknowledged.
 */
static void
update_runs_known (MuxCell *cell,
                   CellWorker *worker,
                   const MuxCellReply *reply,
                   bool complete)
{
  if (worker->runs_known)
    return;
  if (!complete)
    {
      mux_count (cell->options.counters, MUX_COUNT_LISTS_FULL, 1);
      if (worker->list_full_since_ms != 0)
        return;
      worker->list_full_since_ms = cell->time.now_ms;
      cell_log (cell, "list_full", "{s:s, s:i, s:i}", "worker", worker->info.id,
                "runs", (int) reply->report_count, "ends",
                (int) reply->end_count);
      return;
    }
  worker->runs_known = true;
  cell->replan = true;
  if (worker->list_full_since_ms != 0)
    cell_log (cell, "list_complete", "{s:s, s:I}", "worker", worker->info.id,
              "took_ms",
              (json_int_t) (cell->time.now_ms - worker->list_full_since_ms));
  worker->list_full_since_ms = 0;
}

void
cell_reports_apply (MuxCell *cell,
                    CellWorker *worker,
                    const MuxCellReply *reply)
{
  uint64_t seen = worker->ends_seen;
  bool complete = reply->end_count < MUX_ENDS_PER_LIST;
  bool left;
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH (worker->bookings, booking)
  booking->listed = false;
  for (uint32_t i = 0; i < reply->report_count; i++)
    begin_listed_occurrence (cell, &reply->report[i].task);
  left = take_ends (cell, worker, reply);
  for (uint32_t i = 0; i < reply->report_count; i++)
    if (reply->report[i].end_number == 0)
      take_running (cell, worker, &reply->report[i]);
  cell_pace_update (cell, worker);
  DL_FOREACH_SAFE (worker->bookings, booking, next)
  check_booking (cell, worker, booking, reply->worker_clock_ms, complete);
  update_runs_known (cell, worker, reply, complete);
  worker->last_list_ms = cell->time.processed_ms;
  if (worker->ends_seen != seen)
    worker->ends_change_seq = cell->change_seq;
  /* Ends that wait at the worker are listed again soon. */
  if (worker->ends_seen != seen || left)
    worker->next_renew_ms = cell->time.now_ms + RENEW_AFTER_ENDS_MS;
}
