#include "cell_private.h"

#include <stdio.h>
#include <string.h>

/* A worker lists so many ends at most: a run may be missing from a full list
 * that has ended all the same. */
#define ENDS_PER_LIST 500
/* A run that was answered as started and is in no list for so long is stopped,
 * so that its room is not held for good. */
#define UNLISTED_RUN_MS 2500
/* A task whose progress stands still for so long, and for so many times what
 * a hundredth of its estimated time takes, is stopped and run elsewhere. */
#define STILL_MS 1800
#define STILL_SHARES 8
#define SHARES 100
/* A worker where that happened is avoided for so long. */
#define STILL_AVOID_MS 3000
/* After a serving task was over its target nothing fills beside it for so
 * long. */
#define NO_FILL_MS 10000
/* A worker that runs what we don't know has less room than booked here. */
#define STRAY_AVOID_MS 1000
/* A worker with ends that were not acknowledged is asked again after so long:
 * a commit takes some 10 ms behind a window of 30. */
#define ENDS_PAUSE_MS 200

static bool
is_ours (const CellTask *task, const CellWorker *worker, uint32_t run)
{
  return task != NULL && task->booking != NULL
         && task->booking->worker == worker && task->booking->run == run;
}

static void
note_running (MuxCell *cell, CellBooking *booking, const MuxRunReport *report)
{
  CellTask *task = booking->task;

  booking->listed = true;
  booking->began = true;
  if (booking->first_report_ms == 0)
    booking->first_report_ms = cell->time.processed_ms;
  cell_loss_run_listed (cell, booking);
  booking->was_listed = true;
  booking->usage = report->usage;
  task->stage->job->started = true;
  cell_queue_count_update (cell, task->stage->job);
  if (task->state == CELL_TASK_STARTING)
    task->state = CELL_TASK_RUNNING;
  if (report->checkpoint[0] != 0)
    snprintf (task->checkpoint, sizeof task->checkpoint, "%s",
              report->checkpoint);
  if (report->percent != booking->percent)
    {
      booking->percent = report->percent;
      booking->progressed_ms = cell->time.now_ms;
    }
}

static void
stray (MuxCell *cell, CellWorker *worker, const MuxRunReport *report)
{
  cell_log (cell, "stray_run", "{s:s, s:i, s:i, s:i, s:s}", "job",
            report->task.job, "step", (int) report->task.step, "task",
            (int) report->task.index, "run", (int) report->run, "worker",
            worker->info.id);
  worker->avoid_until_ms = cell->time.now_ms + STRAY_AVOID_MS;
  cell_stop_orphan (cell, worker, &report->task, report->run);
}

/*
 * A run that this planner did not start, or whose start it had given up: it
 * is taken over if its task has none, else stopped.
 */
static void
adopt (MuxCell *cell, CellWorker *worker, const MuxRunReport *report)
{
  CellTask *task = cell_task_find (cell, &report->task);
  CellBooking *booking;

  if (task == NULL || task->booking != NULL || task->state == CELL_TASK_DONE)
    {
      stray (cell, worker, report);
      return;
    }
  booking = cell_book (cell, task, worker, report->run);
  if (booking == NULL)
    return;
  task->state = CELL_TASK_RUNNING;
  note_running (cell, booking, report);
  if (task->stage->job->cancelled || task->stage->job->failed)
    cell_stop_booking (cell, booking);
  else
    cell_stage_update (cell, task->stage);
}

static void
take_running (MuxCell *cell, CellWorker *worker, const MuxRunReport *report)
{
  CellTask *task = cell_task_find (cell, &report->task);

  if (is_ours (task, worker, report->run))
    note_running (cell, task->booking, report);
  else
    adopt (cell, worker, report);
}

/* An end of a run that is not booked here: of a former planner's time, or of a
 * run that was given up.  A good end counts whenever it comes. */
static void
take_other_end (MuxCell *cell,
                CellWorker *worker,
                CellTask *task,
                const MuxRunReport *report)
{
  if (task->state == CELL_TASK_DONE)
    return;
  if (report->end == MUX_RUN_DONE || report->end == MUX_RUN_FAILED)
    cell_run_ended (cell, task, worker, report->run, report->end,
                    report->checkpoint);
  if (task->state == CELL_TASK_DONE && task->booking != NULL)
    cell_stop_booking (cell, task->booking);
}

/*
 * Guards against an end that is acknowledged and was never taken: a list need
 * not name ends by rising numbers, and one behind a higher number would look
 * like one that was told before.  Its task would be run again.  What is new is
 * told by the highest number of the lists before.
 * Return: false: it can't be kept.
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
  if (task == NULL)
    return cell_unreadable_keep_end (cell, report);
  if (!is_ours (task, worker, report->run))
    {
      take_other_end (cell, worker, task, report);
      return true;
    }
  if (report->end == MUX_RUN_DONE)
    cell_run_time_record (cell, task->booking);
  cell_unbook (cell, task->booking);
  cell_run_ended (cell, task, worker, report->run, report->end,
                  report->checkpoint);
  return true;
}

/*
 * Guards against an end that is forgotten though it could not be kept: neither
 * it nor any behind it is acknowledged, and they are taken again with the next
 * list, as by a successor.
 * Return: whether some were left with the worker.
 */
static bool
take_ends (MuxCell *cell, CellWorker *worker, const MuxCellReply *reply)
{
  uint64_t seen_before = worker->ends_seen;
  uint64_t least_left = UINT64_MAX;

  for (uint32_t i = 0; i < reply->report_count; i++)
    {
      const MuxRunReport *report = &reply->report[i];

      if (report->end_number != 0
          && !take_end (cell, worker, report, seen_before)
          && report->end_number < least_left)
        least_left = report->end_number;
    }
  if (worker->ends_seen >= least_left)
    worker->ends_seen = least_left - 1;
  return least_left != UINT64_MAX;
}

/* After a run's stop was answered the worker refuses it; a list made later
 * that does not name it proves that it is not there and never will be. */
static void
settle (MuxCell *cell, CellWorker *worker, CellBooking *booking)
{
  CellTask *task = booking->task;
  uint32_t run = booking->run;

  if (booking->previous_incarnation != NULL)
    {
      cell_lose_resolved (cell, booking);
      return;
    }
  cell_unbook (cell, booking);
  cell_run_ended (cell, task, worker, run, MUX_RUN_LEASE_EXPIRED, "");
}

/* Tasks that fill must not push a serving task over its target.  Where one is
 * over it, those beside it are stopped and none is placed for a while: the
 * serving task's users are waiting, what fills is not. */
static void
protect_serving (MuxCell *cell, CellWorker *worker)
{
  bool over = false;
  CellBooking *booking;

  DL_FOREACH (worker->bookings, booking)
  {
    uint32_t target = booking->task->stage->spec->tail_target_ms;

    over = over || (target > 0 && booking->listed && booking->usage > target);
  }
  if (!over)
    return;
  worker->no_fill_until_ms = cell->time.now_ms + NO_FILL_MS;
  DL_FOREACH (worker->bookings, booking)
  if (booking->task->stage->spec->best_effort)
    cell_stop_booking (cell, booking);
}

static bool
stands_still (const MuxCell *cell, const CellBooking *booking)
{
  const MuxStepSpec *spec = booking->task->stage->spec;
  int64_t still_ms = cell->time.now_ms - booking->progressed_ms;

  /* At its end a gang's member waits for the others. */
  if (spec->long_running || booking->task->state != CELL_TASK_RUNNING
      || !booking->listed || booking->percent >= SHARES)
    return false;
  return still_ms > STILL_MS
         && still_ms > (int64_t) spec->estimate_ms * STILL_SHARES / SHARES;
}

static void
check_booking (MuxCell *cell,
               CellWorker *worker,
               CellBooking *booking,
               int64_t clock_ms,
               bool whole)
{
  int64_t age_ms = cell->time.now_ms - booking->booked_ms;

  if (!booking->listed && booking->stop_clock_ms != 0
      && clock_ms > booking->stop_clock_ms && whole)
    {
      settle (cell, worker, booking);
      return;
    }
  if (!booking->listed && booking->task->state == CELL_TASK_RUNNING
      && age_ms > UNLISTED_RUN_MS && whole)
    cell_stop_booking (cell, booking);
  if (!stands_still (cell, booking))
    return;
  cell_log (cell, "run_still", "{s:s, s:i, s:i, s:s, s:i}", "job",
            booking->task->stage->job->id, "step",
            (int) booking->task->stage->step, "task",
            (int) booking->task->index, "worker", worker->info.id, "percent",
            (int) booking->percent);
  worker->avoid_until_ms = cell->time.now_ms + STILL_AVOID_MS;
  cell_stop_booking (cell, booking);
}

/*
 * Guards against a task that runs again after it ended well: occurrences begin
 * by the planner's time of day, and a former planner's may be ahead.  What a
 * list names of an occurrence that is not due here would be unknown: its run
 * would be stopped as a stray one, its end acknowledged and forgotten.
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

void
cell_reports_apply (MuxCell *cell,
                    CellWorker *worker,
                    const MuxCellReply *reply)
{
  uint64_t seen = worker->ends_seen;
  uint32_t ends = 0;
  bool left;
  CellBooking *booking;
  CellBooking *next;

  DL_FOREACH (worker->bookings, booking)
  booking->listed = false;
  for (uint32_t i = 0; i < reply->report_count; i++)
    begin_listed_occurrence (cell, &reply->report[i].task);
  for (uint32_t i = 0; i < reply->report_count; i++)
    ends += reply->report[i].end_number != 0;
  left = take_ends (cell, worker, reply);
  for (uint32_t i = 0; i < reply->report_count; i++)
    if (reply->report[i].end_number == 0)
      take_running (cell, worker, &reply->report[i]);
  protect_serving (cell, worker);
  DL_FOREACH_SAFE (worker->bookings, booking, next)
  check_booking (cell, worker, booking, reply->worker_clock_ms,
                 ends < ENDS_PER_LIST);
  if (worker->ends_seen != seen)
    worker->ends_change_seq = cell->change_seq;
  /* What waits at the worker is listed at once. */
  if (worker->ends_seen != seen || left)
    worker->next_renew_ms = cell->time.now_ms + ENDS_PAUSE_MS;
}
