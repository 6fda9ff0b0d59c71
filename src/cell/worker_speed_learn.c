#include "cell_private.h"

#include <math.h>
#include <stdlib.h>

/*
 * Learns the workers' speeds from the ends and the progress of their runs.
 *
 * A run is measured from the reply to its start to the list of runs that names
 * its end.  A gang ends everywhere when its slowest member does, so that only
 * the progress of its members is used.
 */

#define MEAN_SPEED_MILLI 1000
#define PERCENT 100
/* Speeds are published at this interval. */
#define UPDATE_MS 500
/* Progress tells the speed once a run was observed for this long.  Other runs
 * than those of gangs are waited for unless they are long. */
#define GANG_OBSERVED_MIN_MS 500
#define RUN_OBSERVED_MIN_MS 3000
/* Progress is in whole percent: from 20 on it is exact to 3%. */
#define PERCENT_MIN 20
#define PERCENT_DEVIATION 0.5
/* Uncertainty of the times at which a run began and was reported, for calls
 * between daemons and workers. */
#define CALL_DEVIATION_MS 30.0
/* A list that comes sooner after the last one was not held back until a run
 * ended: the end was at any time between. */
#define HELD_BACK_MIN_MS 250
#define UNIFORM_DEVIATION \
  0.29 /* of a time that may be anywhere in an interval */
/* Runs of a step that are learned from together, at least, if it has so many:
 * those that end first are the shortest ones. */
#define BATCH_MIN 8
#define BATCH_MAX 24
/* Variance of the time of a gang's member, as queues' times are of gangs. */
#define GANG_VARIANCE 1.0
#define STALL_VARIANCE 0.25

void
cell_speeds_begin (MuxCell *cell)
{
  cell_speed_rows_begin (cell);
  cell->speeds.pool_count = 0;
  cell->speeds.updated_ms = 0;
}

/* Return: NULL if there are too many. */
static CellSpeedGroup *
pool_find (CellSpeeds *speeds, uint64_t service, uint64_t kind)
{
  CellSpeedGroup *pool;

  for (uint32_t i = 0; i < speeds->pool_count; i++)
    if (speeds->pool[i].service == service && speeds->pool[i].kind == kind)
      return &speeds->pool[i];
  if (speeds->pool_count == CELL_SPEED_POOLS_MAX)
    return NULL;
  pool = &speeds->pool[speeds->pool_count++];
  *pool = (CellSpeedGroup){ .service = service, .kind = kind };
  return pool;
}

static CellSpeedGroup *
pool_of (MuxCell *cell, const CellWorker *worker)
{
  return pool_find (&cell->speeds, worker->service, 0);
}

bool
cell_speeds_differ (MuxCell *cell, const CellWorker *worker)
{
  const CellSpeedGroup *pool = pool_of (cell, worker);

  return pool != NULL && pool->differ;
}

static CellSpeedGroup *
kind_of (MuxCell *cell, const CellWorker *worker)
{
  return pool_find (&cell->speeds, worker->service,
                    mux_hash_name (worker->info.kind, 1));
}

static double
prior_of (MuxCell *cell, const CellWorker *worker)
{
  const CellSpeedGroup *kind = kind_of (cell, worker);

  return kind != NULL ? kind->prior_log : 0;
}

static MuxWorkerSpeed *
speed_of (MuxCell *cell, CellWorker *worker)
{
  if (worker->speed.variance == 0)
    mux_worker_speed_begin (&worker->speed, prior_of (cell, worker));
  return &worker->speed;
}

static MuxStepTime
time_of (const MuxCell *cell, const CellStage *stage)
{
  MuxStepTime time;

  time.variance = mux_run_time_estimate (
      &cell->run_times, mux_hash_name (stage->job->spec->queue.name, 0),
      stage->spec->estimate_ms, &time.log);
  if (stage->spec->gang)
    time.variance = GANG_VARIANCE;
  return time;
}

static void
learn (MuxCell *cell, CellStage *stage)
{
  MuxStepRuns *runs = stage->step_runs;
  MuxWorkerSpeed *speed[MUX_STEP_RUNS_MAX];

  if (runs == NULL || runs->unlearned == 0)
    return;
  for (uint32_t i = 0; i < runs->count; i++)
    {
      CellWorker *worker = cell->worker_by_slot[runs->run[i].worker];

      speed[i] = worker != NULL ? speed_of (cell, worker) : NULL;
    }
  mux_step_runs_learn (runs, time_of (cell, stage), speed);
}

static uint32_t
batch_of (const CellStage *stage)
{
  uint32_t half = (stage->spec->count + 1) / 2;

  if (stage->spec->count <= BATCH_MIN)
    return stage->spec->count;
  if (half < BATCH_MIN)
    return BATCH_MIN;
  return half < BATCH_MAX ? half : BATCH_MAX;
}

static void
add_run (MuxCell *cell,
         const CellBooking *booking,
         double took_ms,
         double uncertain_ms)
{
  CellStage *stage = booking->task->stage;

  if (stage->step_runs == NULL)
    stage->step_runs = calloc (1, sizeof *stage->step_runs);
  if (stage->step_runs == NULL)
    return;
  mux_step_runs_add (stage->step_runs, booking->worker->slot, took_ms,
                     uncertain_ms);
  mux_observe (cell->options.counters, MUX_HIST_SPEED,
               cell_worker_speed_milli (booking->worker));
  if (stage->step_runs->unlearned >= batch_of (stage))
    learn (cell, stage);
}

/* The run's full time is known, and its end was not ours to decide. */
static bool
is_usable (const MuxCell *cell, const CellBooking *booking)
{
  const CellStage *stage = booking->task->stage;

  return !stage->spec->long_running && stage->spec->estimate_ms > 0
         && booking->task->state != CELL_TASK_DONE && !booking->resumed
         && !booking->slowed && booking->run >= cell_next_run (cell, 0)
         && booking->previous_incarnation == NULL && booking->next_stop_ms == 0
         && booking->stop_clock_ms == 0 && !stage->job->cancelled;
}

/* It began at any time between these two. */
static int64_t
start_took_ms (const CellBooking *booking)
{
  return booking->first_report_ms > booking->booked_ms
             ? booking->first_report_ms - booking->booked_ms
             : 0;
}

static int64_t
began_ms (const CellBooking *booking)
{
  return booking->booked_ms + start_took_ms (booking) / 2;
}

static double
uncertain_begin_ms (const CellBooking *booking)
{
  return hypot (CALL_DEVIATION_MS,
                UNIFORM_DEVIATION * (double) start_took_ms (booking));
}

static void
add_ended (MuxCell *cell, const CellBooking *booking)
{
  int64_t from_ms = began_ms (booking);
  int64_t to_ms = cell->time.processed_ms;
  int64_t last_ms = booking->worker->last_list_ms;
  int64_t gap_ms = to_ms - (last_ms > from_ms ? last_ms : from_ms);
  double took_ms = (double) (to_ms - from_ms);
  double uncertain_ms = uncertain_begin_ms (booking);

  if (gap_ms > 0 && gap_ms < HELD_BACK_MIN_MS)
    {
      took_ms -= gap_ms / 2.0;
      uncertain_ms = hypot (uncertain_ms, UNIFORM_DEVIATION * gap_ms);
    }
  if (took_ms >= 1)
    add_run (cell, booking, took_ms, uncertain_ms);
}

void
cell_speed_run_ended (MuxCell *cell, CellBooking *booking)
{
  CellStage *stage = booking->task->stage;

  if (!stage->spec->gang && !booking->speed_learned
      && is_usable (cell, booking))
    add_ended (cell, booking);
  if (stage->spec->gang || stage->tasks_left <= 1)
    learn (cell, stage);
}

/* It was done at any time since the last list, and waits for the others. */
static void
add_done_member (MuxCell *cell, const CellBooking *booking, int64_t ran_ms)
{
  int64_t before_ms = booking->worker->last_list_ms - began_ms (booking);

  if (before_ms < 0)
    before_ms = 0;
  add_run (cell, booking, (ran_ms + before_ms) / 2.0,
           UNIFORM_DEVIATION * (ran_ms - before_ms) + CALL_DEVIATION_MS);
}

void
cell_speed_run_progressed (MuxCell *cell, CellBooking *booking)
{
  int64_t ran_ms = cell->time.processed_ms - began_ms (booking);
  bool gang = booking->task->stage->spec->gang;
  double took_ms;
  double relative;

  if (booking->speed_learned || booking->percent < PERCENT_MIN
      || (booking->percent >= PERCENT && !gang)
      || ran_ms < (gang ? GANG_OBSERVED_MIN_MS : RUN_OBSERVED_MIN_MS)
      || !is_usable (cell, booking))
    return;
  booking->speed_learned = true;
  if (booking->percent >= PERCENT)
    {
      add_done_member (cell, booking, ran_ms);
      return;
    }
  took_ms = (double) ran_ms * PERCENT / booking->percent;
  relative = hypot (uncertain_begin_ms (booking) / ran_ms,
                    PERCENT_DEVIATION / booking->percent);
  add_run (cell, booking, took_ms, took_ms * relative);
}

void
cell_speed_run_stalled (MuxCell *cell, const CellBooking *booking)
{
  int64_t ran_ms = cell->time.now_ms - began_ms (booking);
  uint32_t percent = booking->percent > 0 ? booking->percent : 1;
  MuxStepTime time = time_of (cell, booking->task->stage);

  if (ran_ms <= 0 || !is_usable (cell, booking))
    return;
  mux_worker_speed_observe (
      speed_of (cell, booking->worker),
      (MuxSpeedSample){ .log
                        = time.log - log ((double) ran_ms * PERCENT / percent),
                        .variance = time.variance + STALL_VARIANCE,
                        .runs = 1 });
}

static void
count_worker (CellSpeedGroup *pool, const CellWorker *worker)
{
  if (pool == NULL)
    return;
  pool->count++;
  pool->sum += exp (worker->speed.mean);
}

static bool
is_observed (const CellWorker *worker)
{
  return worker->speed.runs > 0 && worker->listed && !worker->dead;
}

static void
count_all (MuxCell *cell)
{
  CellWorker *worker;
  CellWorker *next;

  for (uint32_t i = 0; i < cell->speeds.pool_count; i++)
    {
      cell->speeds.pool[i].count = 0;
      cell->speeds.pool[i].known = 0;
      cell->speeds.pool[i].sum = 0;
    }
  HASH_ITER (hh, cell->workers, worker, next)
  if (is_observed (worker))
    {
      count_worker (pool_of (cell, worker), worker);
      count_worker (kind_of (cell, worker), worker);
    }
}

/* Keeps the mean speed of each pool at one.  Of a kind, the mean is what its
 * unobserved workers start from. */
static void
normalize (MuxCell *cell)
{
  CellWorker *worker;
  CellWorker *next;

  HASH_ITER (hh, cell->workers, worker, next)
  {
    const CellSpeedGroup *pool = pool_of (cell, worker);

    if (pool != NULL && pool->count > 0 && worker->speed.variance > 0)
      worker->speed.mean -= log (pool->sum / pool->count);
  }
  for (uint32_t i = 0; i < cell->speeds.pool_count; i++)
    {
      CellSpeedGroup *kind = &cell->speeds.pool[i];
      const CellSpeedGroup *pool = pool_find (&cell->speeds, kind->service, 0);

      kind->prior_log
          = kind->kind != 0 && kind->count > 0 && pool != NULL && pool->differ
                ? log (kind->sum / kind->count) - log (pool->sum / pool->count)
                : 0;
    }
}

/* Return: number of known speeds of the pool, which are put into @speed. */
static uint32_t
collect (MuxCell *cell, const CellSpeedGroup *pool, MuxWorkerSpeed *speed)
{
  CellWorker *worker;
  CellWorker *next;
  uint32_t count = 0;

  HASH_ITER (hh, cell->workers, worker, next)
  if (worker->service == pool->service && is_observed (worker)
      && mux_worker_speed_is_known (&worker->speed))
    speed[count++] = worker->speed;
  return count;
}

static void
compare_workers (MuxCell *cell,
                 CellSpeedGroup *pool,
                 MuxWorkerSpeed *speed,
                 double *scratch)
{
  bool before = pool->differ;

  pool->known = collect (cell, pool, speed);
  pool->differ = mux_worker_speeds_differ (speed, pool->known, scratch, before);
  if (pool->differ == before)
    return;
  cell_log (cell, pool->differ ? "speeds_differ" : "speeds_alike",
            "{s:I, s:i, s:i}", "pool", (json_int_t) pool->service, "workers",
            (int) pool->count, "known", (int) pool->known);
  /* Times at speed one are others from now on. */
  mux_run_times_relearn (&cell->run_times);
}

static void
compare_pools (MuxCell *cell)
{
  uint32_t workers = HASH_COUNT (cell->workers);
  MuxWorkerSpeed *speed = calloc (workers + 1, sizeof *speed);
  double *scratch = calloc (workers + 1, sizeof *scratch);

  for (uint32_t i = 0;
       speed != NULL && scratch != NULL && i < cell->speeds.pool_count; i++)
    if (cell->speeds.pool[i].kind == 0)
      compare_workers (cell, &cell->speeds.pool[i], speed, scratch);
  free (speed);
  free (scratch);
}

/* Change of a speed that is logged though its class stays. */
#define LOGGED_DIFF_PERCENT 20

static bool
is_worth_a_line (const CellWorker *worker, MuxSpeedClass class, uint32_t milli)
{
  uint32_t logged = worker->logged_milli;
  uint32_t diff = milli > logged ? milli - logged : logged - milli;

  return class != worker->speed_class
         || (logged != 0 && diff * PERCENT > logged * LOGGED_DIFF_PERCENT);
}

static void
log_speed (MuxCell *cell, CellWorker *worker)
{
  uint32_t milli = cell_worker_speed_milli (worker);
  MuxSpeedClass class = mux_speed_class (milli, worker->speed_class);

  if (!is_worth_a_line (worker, class, milli))
    return;
  cell_log (cell, "worker_speed", "{s:s, s:s, s:s, s:i, s:i, s:i}", "worker",
            worker->info.id, "class", mux_speed_class_name (class), "before",
            mux_speed_class_name (worker->speed_class), "speed_milli",
            (int) milli, "uncertain_milli",
            (int) lround (sqrt (worker->speed.variance) * MEAN_SPEED_MILLI),
            "runs", (int) worker->speed.runs);
  worker->speed_class = class;
  worker->logged_milli = milli;
}

static void
publish (MuxCell *cell, CellWorker *worker, int64_t passed_ms)
{
  double prior = prior_of (cell, worker);
  bool observed = worker->speed.variance > 0;

  if (observed && worker->bookings == NULL)
    mux_worker_speed_age (&worker->speed, prior, passed_ms);
  worker->speed_milli
      = cell_speeds_differ (cell, worker) ? mux_worker_speed_to_milli (
            observed ? worker->speed.mean : prior, worker->speed_milli)
                                          : 0;
  log_speed (cell, worker);
}

void
cell_speeds_tick (MuxCell *cell)
{
  int64_t passed_ms = cell->time.now_ms - cell->speeds.updated_ms;
  CellWorker *worker;
  CellWorker *next;

  if (passed_ms < UPDATE_MS && cell->speeds.updated_ms != 0)
    return;
  if (cell->speeds.updated_ms == 0)
    passed_ms = 0;
  cell->speeds.updated_ms = cell->time.now_ms;
  cell_speed_rows_tick (cell);
  HASH_ITER (hh, cell->workers, worker, next)
  cell_speed_restore (cell, worker);
  count_all (cell);
  normalize (cell);
  compare_pools (cell);
  HASH_ITER (hh, cell->workers, worker, next)
  publish (cell, worker, passed_ms);
}

uint32_t
cell_worker_speed_milli (const CellWorker *worker)
{
  return worker->speed_milli != 0 ? worker->speed_milli : MEAN_SPEED_MILLI;
}

uint32_t
cell_worker_expected_ms (const CellStage *stage, const CellWorker *worker)
{
  return (uint32_t) ((uint64_t) stage->expected_ms * MEAN_SPEED_MILLI
                     / cell_worker_speed_milli (worker));
}
