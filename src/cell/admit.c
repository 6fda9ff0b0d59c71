#include "job_memory.h"

#include <stdio.h>
#include <string.h>

/*
 * Admission control of the cell: the planner counts its backlog and sends the
 * expected waits to all daemons, which refuse jobs by them without asking the
 * planner.
 */

/* Interval of counts, the same as that of hellos. */
#define COUNT_INTERVAL_MS 250
/* Interval of log lines about a queue with a backlog. */
#define LOG_INTERVAL_MS 1000
/* The message for other daemons is rebuilt at most this often. */
#define MESSAGE_REUSE_MS 20
/* What the planner sent is ignored after this time. */
#define RECEIVED_KEEP_MS 5000
/* Expected wait from which a backlog is logged. */
#define BACKLOG_WAIT_MS 1000
/* A planner that reported a backlog or a delay, and has not answered relayed
 * jobs, or hellos, for these times is overloaded. */
#define RELAY_TIMEOUT_MS 300
#define HELLO_TIMEOUT_MS 600
/* A planner that was silent for this time is unreachable. */
#define UNREACHABLE_MS 2500

/* Jobs accepted while their queue had another priority are served apart. */
static uint64_t
queue_of (const MuxJobSpec *spec)
{
  return mux_hash_name (spec->queue.name, spec->queue.priority);
}

static int64_t
work_of (const CellStage *stage, uint32_t tasks)
{
  return mux_admission_work (tasks, stage->spec->size.cpu_milli,
                             stage->expected_ms);
}

void
cell_admission_placed (MuxCell *cell, const CellStage *stage)
{
  if (!stage->spec->long_running)
    mux_admission_placed (&cell->admission, queue_of (stage->job->spec),
                          work_of (stage, 1),
                          cell->time.now_ms - stage->ready_ms);
}

/* Long-running jobs and jobs with repetitions have no end that a wait
 * delays. */
static bool
has_deadline (const MuxJobSpec *spec)
{
  if (spec->repetitions > 0)
    return false;
  for (uint32_t i = 0; i < spec->step_count; i++)
    if (spec->step[i].long_running)
      return false;
  return true;
}

static int64_t
work_of_job (const MuxCell *cell, const MuxJobSpec *spec)
{
  int64_t work = 0;

  for (uint32_t i = 0; i < spec->step_count; i++)
    work += mux_admission_work (spec->step[i].count,
                                spec->step[i].size.cpu_milli,
                                cell_expected_ms (cell, spec, &spec->step[i]));
  return work;
}

/* If the planner itself may not place anything, a lack of placements is no sign
 * of overload. */
static bool
may_place (const MuxCell *cell)
{
  return cell_is_active_planner (cell) && !cell->jobs_unverified
         && cell_room_is_current (cell) && cell_starts_are_allowed (cell);
}

void
cell_admission_accepted (MuxCell *cell, const MuxJobSpec *spec)
{
  cell_need_job_accepted (cell);
  if (cell->role != CELL_PLANNING || !may_place (cell) || !has_deadline (spec))
    return;
  mux_admission_accepted (&cell->admission, queue_of (spec),
                          work_of_job (cell, spec));
  cell_shares_accepted (cell, spec, work_of_job (cell, spec));
}

/* Counts jobs that are about to be stored. */
static void
count_submissions (MuxCell *cell)
{
  const CellSubmission *submission;

  for (uint32_t i = 0; i < CELL_PARTS; i++)
    DL_FOREACH (cell->part[i].submissions, submission)
    {
      const MuxJobSpec *spec = submission->job;
      MuxAdmissionStep step
          = { .priority = spec->queue.priority,
              .service = mux_hash_name (spec->queue.service, 0),
              .work = work_of_job (cell, spec),
              .slack_ms = 1 };

      if (has_deadline (spec))
        mux_admission_add_waiting (&cell->admission, queue_of (spec), &step);
    }
}

static void
count_stage (MuxCell *cell, const CellStage *stage)
{
  int64_t now = cell->time.now_ms;
  CellRank rank = cell_stage_rank (stage, now);
  MuxAdmissionStep step = { .late = rank == CELL_RANK_LATE };

  if (stage->spec->long_running || rank == CELL_RANK_WORTHLESS)
    return;
  step.service = stage->service;
  step.priority = stage->job->spec->queue.priority;
  step.work = work_of (stage, cell_stage_waiting_tasks (stage));
  step.waited_ms = now - stage->ready_ms;
  step.slack_ms = stage->deadline_ms - stage->fastest_ms - stage->ready_ms;
  mux_admission_add_waiting (&cell->admission, queue_of (stage->job->spec),
                             &step);
}

static void
count_running (MuxCell *cell)
{
  const CellWorker *worker;
  const CellWorker *next;
  const CellBooking *booking;

  HASH_ITER (hh, cell->workers, worker, next)
  DL_FOREACH (worker->bookings, booking)
  if (!booking->task->stage->spec->long_running)
    mux_admission_add_running (&cell->admission,
                               queue_of (booking->task->stage->job->spec),
                               booking->task->stage->spec->size.cpu_milli);
}

static void
count_backlog (MuxCell *cell)
{
  mux_admission_count_begin (&cell->admission);
  cell_plan_order_visit (cell, count_stage);
  count_submissions (cell);
  count_running (cell);
  mux_gauge_set (cell->options.counters, MUX_GAUGE_QUEUES_UNTRACKED,
                 cell->admission.untracked);
  mux_admission_count_end (&cell->admission, cell->time.now_ms);
}

/* Includes workers that were not heard from yet, as the pool will be complete
 * in a moment. */
static void
update_pool (MuxCell *cell, uint64_t service)
{
  const CellWorker *worker;
  const CellWorker *next;
  int64_t capacity = 0;
  int64_t free = 0;

  HASH_ITER (hh, cell->workers, worker, next)
  if (worker->service == service && !worker->dead)
    {
      capacity += worker->info.capacity.cpu_milli;
      free += cell_worker_free (worker).cpu_milli;
    }
  mux_admission_update_pool (&cell->admission, service, capacity, free);
}

/* Updates each pool once, at its first queue. */
static void
update_pools (MuxCell *cell)
{
  const MuxAdmission *admission = &cell->admission;

  for (uint32_t i = 0; i < admission->count; i++)
    {
      uint32_t first = 0;

      while (admission->queue[first].service != admission->queue[i].service)
        first++;
      if (first == i)
        update_pool (cell, admission->queue[i].service);
    }
}

static uint32_t
waiting_steps (const MuxCell *cell)
{
  uint32_t steps = 0;

  for (uint32_t i = 0; i < cell->admission.count; i++)
    steps += cell->admission.queue[i].waiting;
  return steps;
}

static int64_t
longest_wait_ms (const MuxCell *cell)
{
  int64_t longest = 0;

  for (uint32_t i = 0; i < cell->admission.count; i++)
    if (cell->admission.queue[i].wait_ms > longest)
      longest = cell->admission.queue[i].wait_ms;
  return longest;
}

static void
log_queue (MuxCell *cell, const MuxAdmissionQueue *queue)
{
  cell_log (cell, "queue_waits", "{s:i, s:i, s:I, s:I, s:I, s:I, s:I, s:I}",
            "priority", (int) queue->priority, "steps", (int) queue->waiting,
            "work", (json_int_t) queue->work, "rate", (json_int_t) queue->rate,
            "age", (json_int_t) queue->aged_work / queue->work, "free",
            (json_int_t) queue->free_milli + queue->lower_priority_milli,
            "pool", (json_int_t) queue->pool_milli, "wait_ms",
            (json_int_t) queue->wait_ms);
}

static void
log_backlog (MuxCell *cell, int64_t longest_ms)
{
  bool backlog = longest_ms >= BACKLOG_WAIT_MS;

  mux_observe (cell->options.counters, MUX_HIST_BACKLOG, longest_ms);
  if (backlog != cell->has_backlog)
    cell_log (cell, backlog ? "backlog" : "backlog_over", "{s:I, s:i}",
              "wait_ms", (json_int_t) longest_ms, "steps",
              (int) waiting_steps (cell));
  cell->has_backlog = backlog;
  if (!backlog || cell->time.now_ms < cell->next_backlog_log_ms)
    return;
  cell->next_backlog_log_ms = cell->time.now_ms + LOG_INTERVAL_MS;
  for (uint32_t i = 0; i < cell->admission.count; i++)
    if (cell->admission.queue[i].wait_ms > 0
        && cell->admission.queue[i].work > 0)
      log_queue (cell, &cell->admission.queue[i]);
}

static bool
some_pool_has_room (const MuxCell *cell)
{
  for (uint32_t i = 0; i < cell->admission.count; i++)
    if (cell->admission.queue[i].pool_milli > 0
        && mux_admission_has_room (&cell->admission.queue[i]))
      return true;
  return false;
}

static int64_t
planner_delay_ms (const MuxCell *cell)
{
  int64_t late_ms = cell_late_ms (cell);
  int64_t scan_wait_ms
      = cell->pool_has_room
            ? mux_throttle_scan_wait_ms (&cell->throttle, cell->unscanned_steps)
            : 0;

  return late_ms > scan_wait_ms ? late_ms : scan_wait_ms;
}

static void
update_throttle (MuxCell *cell)
{
  uint32_t before = cell->throttle.share_milli;
  int64_t behind_ms = planner_delay_ms (cell);

  mux_throttle_update (&cell->throttle, cell->time.now_ms, behind_ms);
  if (cell->throttle.share_milli != before)
    cell_log (cell, "share_taken", "{s:i, s:I, s:I, s:i, s:i}", "milli",
              (int) cell->throttle.share_milli, "behind_ms",
              (json_int_t) behind_ms, "answers_ms",
              (json_int_t) cell_reply_latency_ms (cell), "unlooked",
              (int) cell->unscanned_steps, "looked_s",
              (int) cell->throttle.scan_rate);
}

static json_t *
waits_json (const MuxCell *cell)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < cell->admission.count; i++)
    {
      const MuxAdmissionQueue *queue = &cell->admission.queue[i];

      if (queue->wait_ms > 0)
        (void) json_array_append_new (
            list, json_pack ("[I, I]", (json_int_t) queue->queue,
                             (json_int_t) queue->wait_ms));
    }
  return list;
}

void
cell_admission_blob_reset (MuxCell *cell)
{
  mux_blob_unref (cell->admission_blob);
  cell->admission_blob = NULL;
}

/* Returns one message for all hellos of a short time: there are hundreds of
 * daemons. */
MuxBlob *
cell_admission_blob (MuxCell *cell)
{
  if (cell->admission_blob != NULL
      && cell->time.now_ms - cell->admission_blob_ms < MESSAGE_REUSE_MS)
    return mux_blob_ref (cell->admission_blob);
  cell_admission_blob_reset (cell);
  cell->admission_blob_ms = cell->time.now_ms;
  cell->admission_blob = cell_blob_from_json (cell_predecessors_to_json (
      cell,
      json_pack ("{s:i, s:I, s:o, s:o, s:o, s:o, s:o, s:o, s:o}", "share_milli",
                 (int) cell->throttle.share_milli, "late_ms",
                 (json_int_t) cell_late_ms (cell), "waits", waits_json (cell),
                 "run_times", cell_run_times_json (cell), "need",
                 cell_need_json (cell), "shares", cell_shares_json (cell),
                 "interference", cell_interference_json (cell), "speeds",
                 cell_pool_speeds_json (cell), "job_memory",
                 cell_job_memory_json (cell)),
      cell_predecessors_left_ms (cell)));
  return mux_blob_ref (cell->admission_blob);
}

static void
count (MuxCell *cell)
{
  if (!may_place (cell))
    {
      cell->admission.counted_ms = cell->time.now_ms;
      return;
    }
  count_backlog (cell);
  update_pools (cell);
  cell_shares_count (cell);
  cell->pool_has_room = some_pool_has_room (cell);
  log_backlog (cell, longest_wait_ms (cell));
}

void
cell_admission_tick (MuxCell *cell)
{
  int64_t now = cell->time.now_ms;
  bool began = cell->admission_term != cell->term;

  if (!began && now < cell->admission.counted_ms + COUNT_INTERVAL_MS)
    return;
  cell->admission_term = cell->term;
  cell->admission_updated_ms = now;
  if (began)
    {
      mux_admission_reset (&cell->admission, now);
      mux_throttle_reset (&cell->throttle, now);
    }
  count (cell);
  cell_job_memory_tick (cell);
  update_throttle (cell);
}

static void
apply_waits (MuxCell *cell, const json_t *list)
{
  const json_t *entry;
  size_t i;

  mux_admission_clear_waits (&cell->admission);
  json_array_foreach (list, i, entry)
  {
    uint64_t hash = (uint64_t) json_integer_value (json_array_get (entry, 0));
    json_int_t wait_ms = json_integer_value (json_array_get (entry, 1));
    MuxAdmissionQueue *queue = mux_admission_find (&cell->admission, hash);

    if (queue != NULL && wait_ms > 0 && wait_ms <= MUX_ADMISSION_WAIT_MAX_MS)
      queue->wait_ms = wait_ms;
  }
}

void
cell_admission_receive (MuxCell *cell, const MuxBlob *body)
{
  json_t *json = body != NULL ? cell_json_from_blob (body) : NULL;
  const json_t *share = json_object_get (json, "share_milli");
  json_int_t share_milli = json_integer_value (share);
  json_int_t late_ms = json_integer_value (json_object_get (json, "late_ms"));

  apply_waits (cell, json_object_get (json, "waits"));
  cell_run_times_receive (cell, json_object_get (json, "run_times"));
  cell_need_receive (cell, json);
  cell_shares_receive (cell, json_object_get (json, "shares"));
  cell_interference_receive (cell, json);
  cell_pool_speeds_receive (cell, json_object_get (json, "speeds"));
  cell_job_memory_receive (cell, json_object_get (json, "job_memory"));
  cell->throttle.share_milli = share != NULL && share_milli >= 0
                                       && share_milli < MUX_THROTTLE_FULL_MILLI
                                   ? (uint32_t) share_milli
                                   : MUX_THROTTLE_FULL_MILLI;
  cell->planner_late_ms
      = late_ms > 0 && late_ms < MUX_ADMISSION_WAIT_MAX_MS ? late_ms : 0;
  json_decref (json);
  cell->admission_updated_ms = cell->time.now_ms;
}

static bool
is_recent (const MuxCell *cell)
{
  return cell->admission_updated_ms != 0
         && cell->time.now_ms - cell->admission_updated_ms < RECEIVED_KEEP_MS;
}

uint32_t
cell_admission_retry_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  MuxAdmissionJob job = { .queue = queue_of (spec) };
  int64_t shares_wait_ms = cell_shares_wait_ms (cell, spec);

  if (!is_recent (cell) || !has_deadline (spec)
      || mux_admission_wait_ms (&cell->admission, job.queue) == 0)
    return 0;
  job.slack_ms = cell_job_slack_ms (cell, spec);
  job.chain_length = cell_job_chain_length (spec);
  job.jitter_seed = mux_hash_name (spec->id, cell->claim.version);
  if (shares_wait_ms < 0)
    return mux_admission_retry_ms (&cell->admission, &job);
  /* Without any slack a job that need not wait is accepted all the same. */
  if (job.slack_ms < 0)
    job.slack_ms = 0;
  return mux_shares_retry_ms (
      shares_wait_ms, mux_admission_acceptable_ms (&job), job.jitter_seed);
}

/*
 * Refuses part of the new jobs while the planner can't scan them soon enough.
 * Without it a cell with most of its room free accepts thousands of jobs, and
 * the more there are the fewer of them start.  Between two updates the planner
 * uses its current delay.
 */
uint32_t
cell_throttle_retry_ms (const MuxCell *cell, const MuxJobSpec *spec)
{
  uint32_t share_milli = cell->throttle.share_milli;

  if (!is_recent (cell))
    return 0;
  if (cell->role == CELL_PLANNING)
    share_milli
        = mux_throttle_share_now (&cell->throttle, planner_delay_ms (cell));
  return mux_throttle_retry_ms (share_milli, mux_hash_name (spec->id, 0));
}

static bool
has_overdue_relay (const MuxCell *cell)
{
  const CellSubmission *submission;

  for (uint32_t i = 0; i < CELL_PARTS; i++)
    DL_FOREACH (cell->part[i].submissions, submission)
  if (submission->relayed
      && cell->time.now_ms - submission->relayed_ms >= RELAY_TIMEOUT_MS)
    return true;
  return false;
}

/*
 * Keeps daemons from sending more to a planner that does not answer because of
 * its load.  Else they would relay to it again and again, each time with an
 * unknown outcome, or all store jobs for it.
 */
bool
cell_planner_is_overloaded (const MuxCell *cell)
{
  int64_t silent_ms = cell->time.now_ms - cell->planner_hello_reply_ms;

  if (cell->role != CELL_FOLLOWER || cell->planner_hello_reply_ms == 0
      || cell->planner_store_failing_since_ms != 0
      || silent_ms >= UNREACHABLE_MS)
    return false;
  if (longest_wait_ms (cell) < BACKLOG_WAIT_MS
      && cell->planner_late_ms < RELAY_TIMEOUT_MS)
    return false;
  return silent_ms >= HELLO_TIMEOUT_MS || has_overdue_relay (cell);
}
