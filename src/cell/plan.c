#include "cell_private.h"

#include <string.h>

/* Shortest time between two planning passes, so that several events in a row
 * cause one pass. */
#define PASS_INTERVAL_MS 4
/* Longest time between two passes while nothing happens: proofs expire and
 * avoided workers become usable again. */
#define IDLE_PASS_INTERVAL_MS 100
/* Shortest time between two passes over all stages.  Passes in between cover
 * urgent stages only: the others may wait for seconds, and each costs a scan
 * over the workers. */
#define FULL_PASS_INTERVAL_MS 16
/* Scan budget of a pass over all stages and of one over the urgent stages, in
 * workers; scanning one takes some 40 ns.  Without a limit a backlog of
 * thousands of steps would use the whole processor, delay new urgent jobs and
 * never shrink.  A pass that exhausts its budget is continued by the next ones
 * until all stages have been scanned. */
#define FULL_PASS_SCAN_BUDGET 25000
/* Cost of a stage in the scan budget even if no worker is scanned for it. */
#define STAGE_SCAN_COST 10
/* Part of each pass's budget for the stages that are first in planning order.
 * The policy service takes few approval queries; without this part they would
 * go to stages further back while the proofs of those in front expire. */
#define FRONT_SCAN_BUDGET 12500
#define URGENT_PASS_SCAN_BUDGET 6000
/* Scan cost without a start that delays the next pass by 1 ms, so that stages
 * that can't start take only a limited part of the planner's processor. */
#define IDLE_SCAN_COST_PER_MS 500
/* Gangs that room is reserved for at the same time: the larger of this minimum
 * and one per this many workers.  More would leave much of the cell idle while
 * none of them can start. */
#define RESERVING_GANGS_MIN 3
#define WORKERS_PER_RESERVING_GANG 70
/* In addition, late gangs: one, and another one per this many workers. */
#define WORKERS_PER_LATE_RESERVING_GANG 170

MuxSize
cell_worker_free (const CellWorker *worker)
{
  return mux_size_sub (worker->info.capacity,
                       mux_size_add (worker->booked, worker->held));
}

static uint32_t
min_count (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

uint32_t
cell_tasks_that_fit (const CellStage *stage, MuxSize free)
{
  MuxSize need = stage->spec->size;
  uint32_t n = CELL_WORKER_RUNS_MAX;

  if (need.cpu_milli > 0 && !stage->spec->best_effort)
    n = min_count (n, free.cpu_milli / need.cpu_milli);
  if (need.mem_mib > 0)
    n = min_count (n, free.mem_mib / need.mem_mib);
  if (need.accels > 0)
    n = min_count (n, free.accels / need.accels);
  return n;
}

uint32_t
cell_stage_cap_per_worker (const CellStage *stage, uint32_t tasks)
{
  uint32_t max = stage->spec->per_worker_max;

  return max != 0 && tasks > max ? max : tasks;
}

bool
cell_worker_matches (const CellStage *stage, const CellWorker *worker)
{
  const char *label = stage->spec->label;

  return worker->service == stage->service
         && (label[0] == 0 || strcmp (worker->info.kind, label) == 0
             || strcmp (worker->info.rack, label) == 0);
}

bool
cell_worker_is_eligible (const MuxCell *cell,
                         const CellStage *stage,
                         const CellWorker *worker)
{
  return cell_worker_matches (stage, worker)
         && cell_worker_usable (cell, worker)
         && (!stage->spec->best_effort
             || cell_worker_takes_best_effort (stage, worker));
}

void
cell_plan_add (MuxCell *cell, CellStage *stage)
{
  if (stage->ready)
    return;
  stage->ready = true;
  stage->ready_ms = cell->time.now_ms;
  cell_step_wait_begin (cell, stage);
  stage->scan_round = 0;
  stage->is_unscanned = true;
  cell->unscanned_steps++;
  cell_plan_order_add (cell, stage);
  cell->replan = true;
}

static void
stop_reserving (MuxCell *cell, CellStage *stage)
{
  stage->has_reservation = false;
  if (!stage->is_in_reserving)
    return;
  stage->is_in_reserving = false;
  DL_DELETE2 (cell->reserving_stages, stage, reserving_prev, reserving_next);
}

void
cell_plan_drop (MuxCell *cell, CellStage *stage)
{
  if (!stage->ready)
    return;
  stage->ready = false;
  cell->unscanned_steps -= stage->is_unscanned;
  stage->is_unscanned = false;
  cell_holds_release (stage);
  cell_quota_unreserve (stage);
  cell_stage_undefer (cell, stage);
  stop_reserving (cell, stage);
  cell_plan_order_remove (cell, stage);
}

bool
cell_stage_is_scanned (const MuxCell *cell, const CellStage *stage)
{
  return stage->scan_round == cell->scan_round;
}

static void
begin_reservations (MuxCell *cell)
{
  CellStage *stage;
  CellStage *next_stage;

  cell_reservations_new_pass (cell);
  DL_FOREACH_SAFE2 (cell->reserving_stages, stage, next_stage, reserving_next)
  if (!cell_stage_is_scanned (cell, stage))
    stop_reserving (cell, stage);
}

static uint32_t
reserving_gangs_max (const MuxCell *cell)
{
  uint32_t n = HASH_COUNT (cell->workers) / WORKERS_PER_RESERVING_GANG;

  return n > RESERVING_GANGS_MIN ? n : RESERVING_GANGS_MIN;
}

static void
place_gang_stage (MuxCell *cell, CellStage *stage, uint32_t *reservations_left)
{
  cell_place_gang (cell, stage, reservations_left);
  if (!stage->ready || !stage->has_reservation || stage->is_in_reserving)
    return;
  stage->is_in_reserving = true;
  DL_APPEND2 (cell->reserving_stages, stage, reserving_prev, reserving_next);
}

static void
place_stage (MuxCell *cell, CellStage *stage, uint32_t *reservations_left)
{
  uint32_t cost_before = cell->scan_cost;

  stage->scanned_ms = cell->time.now_ms;
  cell->unscanned_steps -= stage->is_unscanned;
  cell->throttle.scanned += stage->is_unscanned;
  stage->is_unscanned = false;
  cell->steps_scanned++;
  cell->scan_cost += STAGE_SCAN_COST;
  /* Runs that a predecessor may have started have to be found first. */
  if (cell_stage_is_settled (cell, stage))
    {
      if (stage->spec->gang)
        place_gang_stage (cell, stage, reservations_left);
      else
        cell_place_tasks (cell, stage);
    }
  else
    cell_place_unsettled (cell, stage);
  if (stage->ready)
    cell->idle_scan_cost += cell->scan_cost - cost_before;
}

static void
scan_urgent (MuxCell *cell)
{
  uint32_t reservations_left = reserving_gangs_max (cell);
  CellStage *stage;

  cell_plan_order_begin_urgent (&cell->plan_order);
  while (cell->scan_cost <= URGENT_PASS_SCAN_BUDGET
         && (stage = cell_plan_order_next_urgent (&cell->plan_order)) != NULL)
    place_stage (cell, stage, &reservations_left);
}

static void
scan_front (MuxCell *cell, uint32_t *reservations_left)
{
  CellStage *stage;

  cell_plan_order_begin (&cell->plan_order);
  while (cell->scan_cost <= FRONT_SCAN_BUDGET
         && (stage = cell_plan_order_next_front (&cell->plan_order)) != NULL)
    {
      stage->scan_round = cell->scan_round;
      place_stage (cell, stage, reservations_left);
    }
}

/* Counts the stages before @stage in planning order that keep their
 * reservations because this pass skips them. */
static void
count_reserving (MuxCell *cell,
                 const CellStage *stage,
                 uint32_t *reservations_left)
{
  int64_t now_ms = cell->time.now_ms;
  CellStage *other;

  DL_FOREACH2 (cell->reserving_stages, other, reserving_next)
  {
    if (*reservations_left == 0)
      return;
    if (!cell_stage_is_scanned (cell, other) || other->scanned_ms == now_ms
        || other->reserving_counted_ms == now_ms
        || cell_stage_compare (other, stage) > 0)
      continue;
    other->reserving_counted_ms = now_ms;
    (*reservations_left)--;
  }
}

/* Returns false if some stages are left for the next pass. */
static bool
scan_rest (MuxCell *cell, uint32_t *reservations_left)
{
  CellStage *stage;

  while (cell->scan_cost <= FULL_PASS_SCAN_BUDGET)
    {
      stage = cell_plan_order_next_in_round (&cell->plan_order);
      if (stage == NULL)
        return true;
      if (cell_stage_is_scanned (cell, stage))
        {
          cell->scan_cost += STAGE_SCAN_COST;
          continue;
        }
      stage->scan_round = cell->scan_round;
      if (stage->spec->gang)
        count_reserving (cell, stage, reservations_left);
      place_stage (cell, stage, reservations_left);
    }
  return cell_plan_order_is_done (&cell->plan_order);
}

static void
place_deferred (MuxCell *cell, uint32_t *reservations_left)
{
  CellStage *stage;

  cell->placing_deferred = true;
  while (cell->scan_cost <= FULL_PASS_SCAN_BUDGET
         && (stage = cell_stage_next_deferred (cell)) != NULL)
    place_stage (cell, stage, reservations_left);
  cell->placing_deferred = false;
}

static void
scan_all (MuxCell *cell)
{
  uint32_t reservations_left = reserving_gangs_max (cell);

  cell->late_reservations_left
      = 1 + HASH_COUNT (cell->workers) / WORKERS_PER_LATE_RESERVING_GANG;
  scan_front (cell, &reservations_left);
  if (!scan_rest (cell, &reservations_left))
    {
      mux_count (cell->options.counters, MUX_COUNT_PLAN_CUT, 1);
      return;
    }
  place_deferred (cell, &reservations_left);
  cell->scan_round++;
  cell_plan_order_new_round (&cell->plan_order);
}

/*
 * Nothing is placed on outdated data: the room of a worker may shrink at any
 * moment, and only the list of workers shows it.
 */
bool
cell_room_is_current (const MuxCell *cell)
{
  return cell_feed_is_fresh (cell, &cell->feed[CELL_FEED_WORKERS]);
}

/* A step of many tasks may exceed the scan budget of its pass and start most of
 * them; the cost is capped so that stages behind it don't wait for that. */
static int64_t
pass_interval_ms (const MuxCell *cell, int64_t min_ms, uint32_t cost_max)
{
  uint32_t cost
      = cell->idle_scan_cost < cost_max ? cell->idle_scan_cost : cost_max;
  int64_t idle_ms = cost / IDLE_SCAN_COST_PER_MS;

  return idle_ms > min_ms ? idle_ms : min_ms;
}

void
cell_plan (MuxCell *cell)
{
  bool is_full_pass = cell->time.now_ms >= cell->next_full_pass_ms;

  if (!cell_is_active_planner (cell) || cell->stopping || cell->jobs_unverified
      || !cell_room_is_current (cell) || !cell_starts_are_allowed (cell))
    return;
  if (cell->time.now_ms < cell->next_idle_pass_ms && !cell->replan)
    return;
  if (cell->time.now_ms < cell->next_pass_ms)
    return;
  cell->replan = false;
  cell_pool_speeds_tick (cell);
  cell->next_idle_pass_ms = cell->time.now_ms + IDLE_PASS_INTERVAL_MS;
  cell_plan_order_rerank (cell);
  cell->scan_cost = 0;
  cell->idle_scan_cost = 0;
  cell->steps_scanned = 0;
  if (is_full_pass)
    {
      begin_reservations (cell);
      scan_all (cell);
      cell->next_full_pass_ms = cell->time.now_ms
                                + pass_interval_ms (cell, FULL_PASS_INTERVAL_MS,
                                                    FULL_PASS_SCAN_BUDGET);
    }
  else
    scan_urgent (cell);
  cell->next_pass_ms
      = cell->time.now_ms
        + (is_full_pass ? PASS_INTERVAL_MS
                        : pass_interval_ms (cell, PASS_INTERVAL_MS,
                                            URGENT_PASS_SCAN_BUDGET));
  mux_count (cell->options.counters, MUX_COUNT_PLAN_LOOKS, cell->scan_cost);
  mux_count (cell->options.counters, MUX_COUNT_PLAN_STEPS, cell->steps_scanned);
}
