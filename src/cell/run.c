#include "attempts.h"
#include "stage_tasks.h"
#include "token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Starts, stops and ends of runs, and the room booked for them. */

/* A worker that rejects a run number as old has seen a higher one and does not
 * say which: so many numbers are skipped, which can be done 16 times in a term.
 */
#define OLD_RUN_STEP 64
/* After a stop that was refused or not answered. */
#define STOP_RETRY_MS 300
/* How long a worker without room for a start is avoided: its next list shows
 * what runs there. */
#define NO_ROOM_AVOID_MS 300
/* After this many failed runs in a row a worker is suspected of failing
 * whatever it runs, and avoided for a time. */
#define FAILURES_MAX 3
#define FAILURES_AVOID_MS 3000

uint32_t
cell_next_run (const MuxCell *cell, uint32_t last)
{
  uint32_t base = (cell->claim.term_count - 1) * CELL_RUNS_PER_TERM + 1;

  return last + 1 > base ? last + 1 : base;
}

/* Its end would count as one of the later run. */
void
cell_task_raise_last_run (CellTask *task, uint32_t run)
{
  if (run > CELL_RUN_MAX)
    return;
  if (run > task->last_run)
    task->last_run = run;
  if (run > task->stage->last_run)
    task->stage->last_run = run;
}

CellBooking *
cell_book (MuxCell *cell, CellTask *task, CellWorker *worker, uint32_t run)
{
  CellBooking *booking = calloc (1, sizeof *booking);

  if (booking == NULL)
    return NULL;
  booking->task = task;
  booking->worker = worker;
  booking->run = run;
  booking->booked_ms = cell->time.now_ms;
  booking->progressed_ms = cell->time.now_ms;
  booking->kind = cell_interference_kind (task->stage);
  booking->pace = MUX_PACING_FULL;
  booking->pace_sent = MUX_PACING_FULL;
  booking->next_pace_ms = INT64_MAX;
  task->booking = booking;
  cell_task_raise_last_run (task, run);
  task->stage->job->booking_count++;
  cell->booking_count++;
  cell_room_book (worker, task->stage);
  DL_APPEND (worker->bookings, booking);
  return booking;
}

void
cell_unbook (MuxCell *cell, CellBooking *booking)
{
  CellWorker *worker = booking->worker;
  CellTask *task = booking->task;

  DL_DELETE (worker->bookings, booking);
  worker->stop_count -= booking->next_stop_ms != 0;
  cell->stops_due -= booking->next_stop_ms != 0;
  cell_room_release (worker, task->stage);
  task->stage->job->booking_count--;
  cell->booking_count--;
  task->booking = NULL;
  cell->replan = true;
  cell_task_changed (cell, task);
  free (booking->previous_incarnation);
  free (booking);
}

CellTask *
cell_pending_task (MuxCell *cell, const CellPending *pending)
{
  CellTask *task = cell_task_find (cell, &pending->task);

  if (task == NULL || task->booking == NULL
      || task->booking->run != pending->run
      || strcmp (task->booking->worker->info.id, pending->worker) != 0)
    return NULL;
  return task;
}

/* Sends a stop at @at_ms; both counts count each booking once. */
static void
schedule_stop (MuxCell *cell, CellBooking *booking, int64_t at_ms)
{
  booking->worker->stop_count += booking->next_stop_ms == 0;
  cell->stops_due += booking->next_stop_ms == 0;
  booking->next_stop_ms = at_ms;
}

static void
stop_answered (MuxCell *cell,
               const CellPending *pending,
               const MuxCellReply *reply)
{
  CellTask *task = cell_pending_task (cell, pending);
  CellWorker *worker = cell_worker_find (cell, pending->worker);

  if (reply->status == MUX_CELL_OTHER_INCARNATION && worker != NULL)
    {
      cell_worker_replaced (cell, worker);
      return;
    }
  if (reply->status == MUX_CELL_FENCED)
    cell_claim_doubt (cell, "stop_fenced");
  if (task == NULL)
    return;
  if (reply->status == MUX_CELL_OK)
    task->booking->stop_clock_ms = reply->worker_clock_ms;
  else
    schedule_stop (cell, task->booking, cell->time.now_ms + STOP_RETRY_MS);
}

/* Return: false if the stop can't be sent: out of memory, or a ring is full. */
static bool
send_stop (MuxCell *cell,
           CellWorker *worker,
           const MuxTaskRef *task,
           uint32_t run)
{
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_STOP);
  CellPending pending = {
    .on_reply = stop_answered, .term = cell->term, .task = *task, .run = run
  };

  if (call == NULL)
    return false;
  snprintf (pending.worker, sizeof pending.worker, "%s", worker->info.id);
  snprintf (call->worker, sizeof call->worker, "%s", worker->info.id);
  snprintf (call->addr, sizeof call->addr, "%s", worker->info.addr);
  call->task = *task;
  call->run = run;
  call->fence = cell->term;
  call->timeout_ms = CELL_WORKER_TIMEOUT_MS;
  return cell_worker_call (cell, worker, call, &pending);
}

void
cell_stop_orphan (MuxCell *cell,
                  CellWorker *worker,
                  const MuxTaskRef *task,
                  uint32_t run)
{
  if (cell_is_active_planner (cell))
    (void) send_stop (cell, worker, task, run);
}

void
cell_stop_booking (MuxCell *cell, CellBooking *booking)
{
  if (booking->next_stop_ms != 0 || booking->stop_clock_ms != 0)
    return;
  (void) cell_task_set_state (cell, booking->task, CELL_TASK_STOPPING);
  schedule_stop (cell, booking, cell->time.now_ms);
  booking->stop_since_ms = cell->time.now_ms;
  cell_stops_tick (cell, booking->worker);
}

void
cell_stops_tick (MuxCell *cell, CellWorker *worker)
{
  CellBooking *booking;

  /* Called in each tick for each worker, most of which have no stop to send. */
  if (worker->stop_count == 0 || !cell_is_active_planner (cell))
    return;
  DL_FOREACH (worker->bookings, booking)
  {
    MuxTaskRef ref;

    if (booking->next_stop_ms == 0 || cell->time.now_ms < booking->next_stop_ms)
      continue;
    if (!cell_order_is_allowed (cell, worker))
      return;
    ref = cell_task_ref (booking->task);
    /* Not again while the reply is outstanding; one that could not be sent is
     * tried again at once, as the cancel bound leaves no second for it. */
    if (send_stop (cell, worker, &ref, booking->run))
      booking->next_stop_ms
          = cell->time.now_ms + CELL_WORKER_TIMEOUT_MS + STOP_RETRY_MS;
  }
}

void
cell_stops_tick_all (MuxCell *cell)
{
  if (cell->stops_due == 0 || !cell_is_active_planner (cell))
    return;
  for (uint32_t i = 0; i < cell->worker_slots; i++)
    {
      CellWorker *worker = cell->worker_by_slot[i];

      if (worker != NULL && worker->confirmed && !worker->dead)
        cell_stops_tick (cell, worker);
    }
}

void
cell_stage_stop_runs (MuxCell *cell, CellStage *stage)
{
  for (uint32_t i = 0; i < stage->spec->count; i++)
    if (cell_task_view (stage, i)->booking != NULL)
      cell_stop_booking (cell, cell_task_view (stage, i)->booking);
}

static void
fail_without_attempts (MuxCell *cell, CellTask *task)
{
  if (cell_task_attempts_used (task))
    cell_job_fail (cell, task->stage->job, "attempts_used");
}

static void
cancel_start (MuxCell *cell, CellTask *task)
{
  CellStage *stage = task->stage;

  cell_unbook (cell, task->booking);
  (void) cell_task_set_state (cell, task, CELL_TASK_WAITING);
  fail_without_attempts (cell, task);
  /* The other members can't work without this one. */
  if (stage->spec->gang)
    cell_stage_stop_runs (cell, stage);
  cell_job_advance (cell, stage->job);
}

static void
skip_runs (CellTask *task)
{
  uint32_t left = CELL_RUN_MAX - task->last_run;

  cell_task_raise_last_run (
      task, task->last_run + (left < OLD_RUN_STEP ? left : OLD_RUN_STEP));
}

/* Whether the start waited here in vain for one of few connections, which says
 * nothing of the worker's health. */
static bool
found_no_connection (const MuxCell *cell,
                     const CellWorker *worker,
                     const MuxCellReply *reply)
{
  return reply->unsent
         && mux_order_limit_is_short (&worker->orders, cell->time.now_ms);
}

static void
apply_refusal (MuxCell *cell,
               CellTask *task,
               CellWorker *worker,
               const MuxCellReply *reply)
{
  CellApproval *approval = cell_approval_find (task->stage, worker);
  MuxCellStatus status = reply->status;

  if (found_no_connection (cell, worker, reply))
    cell_worker_back_off (cell, worker, CELL_NO_CONNECTION_BACKOFF_MS);
  else if (status == MUX_CELL_NOT_DONE)
    cell_worker_back_off (cell, worker, CELL_BACKOFF_MIN_MS);
  else if (status == MUX_CELL_NO_ROOM)
    worker->avoid_until_ms = cell->time.now_ms + NO_ROOM_AVOID_MS;
  else if (status == MUX_CELL_OLD_RUN)
    skip_runs (task);
  else if (status == MUX_CELL_FENCED)
    cell_claim_doubt (cell, "start_fenced");
  else if (status == MUX_CELL_PROOF_REFUSED && approval != NULL)
    approval->proof_expires_ms = 0;
}

static void
start_answered (MuxCell *cell,
                const CellPending *pending,
                const MuxCellReply *reply)
{
  CellWorker *worker = cell_worker_find (cell, pending->worker);
  CellTask *task = cell_pending_task (cell, pending);

  cell->starts_unanswered--;
  if (reply->status != MUX_CELL_UNKNOWN)
    cell_reply_latency_record (cell, pending);
  if (reply->status != MUX_CELL_OK)
    cell_log (cell, "start_refused", "{s:s, s:i, s:i, s:i, s:s, s:s}", "job",
              pending->task.job, "step", (int) pending->task.step, "task",
              (int) pending->task.index, "run", (int) pending->run, "worker",
              pending->worker, "status", mux_cell_status_name (reply->status));
  if (reply->status == MUX_CELL_OTHER_INCARNATION && worker != NULL)
    {
      cell_worker_replaced (cell, worker);
      return;
    }
  if (task == NULL || worker == NULL)
    return;
  if (reply->status == MUX_CELL_OK)
    {
      worker->backoff_ms = 0;
      task->booking->began = true;
      cell_pace_run_began (task->booking);
      if (task->booking->first_report_ms == 0)
        task->booking->first_report_ms = cell->time.processed_ms;
      cell_loss_run_began (cell, task);
      if (task->state == CELL_TASK_STARTING)
        (void) cell_task_set_state (cell, task, CELL_TASK_RUNNING);
      if (!task->stage->job->started)
        {
          cell->throttle.started++;
          mux_observe (cell->options.counters, MUX_HIST_JOB_WAIT,
                       cell->time.now_ms - task->stage->job->accepted_ms);
        }
      task->stage->job->started = true;
      cell_queue_count_update (cell, task->stage->job);
      return;
    }
  /* The start may still be carried out: its room stays booked until a stop of
   * the run is confirmed and a later list shows that it is not there.  If the
   * run may not be taken away, the next list shows whether it is there. */
  if (reply->status == MUX_CELL_UNKNOWN)
    {
      worker->unanswered_sent_ms = pending->sent_ms;
      if (!mux_order_limit_is_short (&worker->orders, cell->time.now_ms))
        cell_worker_back_off (cell, worker, CELL_BACKOFF_MIN_MS);
      if (task->stage->spec->gang)
        cell_stage_stop_runs (cell, task->stage);
      else if (cell_run_may_be_stopped (task->booking))
        cell_stop_booking (cell, task->booking);
      else
        task->booking->start_unanswered = true;
      return;
    }
  apply_refusal (cell, task, worker, reply);
  cancel_start (cell, task);
}

bool
cell_start_run (MuxCell *cell,
                CellTask *task,
                CellWorker *worker,
                uint32_t run,
                MuxBlob *checkpoint)
{
  MuxBlob *proof = cell_approval_proof (cell, task->stage, worker);
  MuxCellCall *call = mux_cell_call_new (MUX_CELL_START);
  CellPending pending = { .on_reply = start_answered,
                          .term = cell->term,
                          .task = cell_task_ref (task),
                          .run = run,
                          .asks_for_lease = true };

  if (call == NULL || task->state == CELL_TASK_DONE
      || !cell_starts_are_allowed (cell)
      || cell_book (cell, task, worker, run) == NULL)
    {
      mux_cell_call_free (call);
      return false;
    }
  cell_attempts_run_begins (cell, task, run);
  task->booking->resumed = checkpoint != NULL;
  (void) cell_task_set_state (cell, task, CELL_TASK_STARTING);
  snprintf (pending.worker, sizeof pending.worker, "%s", worker->info.id);
  snprintf (call->worker, sizeof call->worker, "%s", worker->info.id);
  snprintf (call->addr, sizeof call->addr, "%s", worker->info.addr);
  call->checkpoint = mux_blob_ref (checkpoint);
  call->proof = mux_blob_ref (proof);
  call->task = pending.task;
  call->run = run;
  call->fence = cell->term;
  call->lease_expires_ms
      = cell_worker_extend_lease (cell, worker, CELL_LEASE_START);
  task->booking->start_until_ms = call->lease_expires_ms;
  call->payload = mux_blob_ref (task->stage->job->payload);
  call->timeout_ms = CELL_WORKER_TIMEOUT_MS;
  mux_count (cell->options.counters, MUX_COUNT_STARTS, 1);
  if (cell_worker_call (cell, worker, call, &pending))
    {
      cell->starts_unanswered++;
      if (proof != NULL)
        cell_step_proof_used (cell, task->stage, worker);
      cell_admission_placed (cell, task->stage);
      return true;
    }
  cancel_start (cell, task);
  return false;
}

/* A gang is done when one of its members is. */
static void
mark_done (MuxCell *cell, const CellTask *task)
{
  if (task->stage->spec->gang)
    cell_tasks_done (cell, task->stage);
  else
    (void) cell_task_done (cell, task->stage, task->index);
}

void
cell_end_apply (MuxCell *cell,
                CellTask *task,
                uint32_t run,
                MuxRunEnd end,
                MuxBlob *checkpoint)
{
  CellStage *stage = task->stage;

  cell_task_raise_last_run (task, run);
  if (checkpoint != NULL && task->state != CELL_TASK_DONE)
    (void) cell_token_set (cell, &task->checkpoint, checkpoint);
  if (end == MUX_RUN_DONE && (stage->spec->gang || !stage->spec->long_running))
    mark_done (cell, task);
  else if (end == MUX_RUN_FAILED && cell_attempts_reserve (cell, task))
    (void) cell_attempts_count (cell, task, run);
  else if (end == MUX_RUN_FAILED)
    stage->job->progress_unreadable = true;
}

static void
count_failure (MuxCell *cell, CellTask *task, CellWorker *worker, uint32_t run)
{
  task->failed_slot = worker->slot + 1;
  worker->consecutive_failures++;
  if (worker->consecutive_failures >= FAILURES_MAX)
    {
      worker->avoid_until_ms = cell->time.now_ms + FAILURES_AVOID_MS;
      cell_log (cell, "worker_avoided", "{s:s, s:i}", "worker", worker->info.id,
                "strikes", (int) worker->consecutive_failures);
    }
  (void) cell_attempts_count (cell, task, run);
}

void
cell_run_ended (MuxCell *cell,
                CellTask *task,
                CellWorker *worker,
                uint32_t run,
                MuxRunEnd end,
                MuxBlob *checkpoint,
                const char *evidence)
{
  CellStage *stage = task->stage;
  CellJob *job = stage->job;

  cell_task_raise_last_run (task, run);
  if (end != MUX_RUN_LEASE_EXPIRED)
    {
      cell_job_mark_dirty (cell, job);
      cell_loss_run_ended (cell, task);
    }
  if (checkpoint != NULL && task->state != CELL_TASK_DONE)
    (void) cell_token_set (cell, &task->checkpoint, checkpoint);
  if (end != MUX_RUN_DONE)
    cell_log (cell, "run_ended", "{s:s, s:i, s:i, s:i, s:s, s:s, s:s}", "job",
              job->id, "step", (int) stage->step, "task", (int) task->index,
              "run", (int) run, "worker", worker->info.id, "end",
              mux_run_end_name (end), "evidence", evidence);
  if (end == MUX_RUN_FAILED)
    mux_count (cell->options.counters, MUX_COUNT_RUNS_FAILED, 1);
  else if (end == MUX_RUN_STOPPED)
    mux_count (cell->options.counters, MUX_COUNT_RUNS_STOPPED, 1);
  else if (end == MUX_RUN_LEASE_EXPIRED)
    mux_count (cell->options.counters, MUX_COUNT_RUNS_LOST, 1);
  if (end == MUX_RUN_DONE && !stage->spec->long_running)
    {
      worker->consecutive_failures = 0;
      mark_done (cell, task);
    }
  else if (task->booking == NULL)
    (void) cell_task_set_state (cell, task, CELL_TASK_WAITING);
  if (end == MUX_RUN_FAILED)
    count_failure (cell, task, worker, run);
  fail_without_attempts (cell, task);
  if (end != MUX_RUN_DONE && stage->spec->gang)
    cell_stage_stop_runs (cell, stage);
  cell_job_advance (cell, job);
}
