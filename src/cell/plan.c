#include "cell_private.h"

#include <string.h>

/* Between two passes: what several events in a row change is planned once. */
#define PASS_MS 4
/* A pass without any event: proofs run out and avoided workers come back. */
#define IDLE_PASS_MS 100
/* Between two passes over all stages; those between look at urgent ones alone.
 * The others may wait seconds, so that this delay is nothing to them, and each
 * look costs a pass over the workers. */
#define SLOW_PASS_MS 16
/* Workers looked at in a pass over all stages, at some 40 ns each, and in one
 * over the urgent ones.  A backlog of thousands would otherwise take all of the
 * processor, new urgent jobs with it, and never shrink.  A pass that is cut
 * goes on with those behind, until all have had their turn. */
#define PASS_LOOKS 25000
/* A stage costs as much as so many workers, also where none is looked at. */
#define STEP_LOOKS 10
/* Those first in order have this part of each pass: the policy service takes
 * few questions, and would be asked for those behind while the proofs of those
 * in front run out. */
#define FRONT_LOOKS 12500
#define URGENT_PASS_LOOKS 6000
/* Between two passes, for so many looks that started nothing: what waits takes
 * no more than this of the planner's processor from what can start. */
#define IDLE_LOOKS_PER_MS 500
/* Gangs that room is reserved for at once: so many, or one for so many
 * workers.  More of them would leave much of the cell idle while none of them
 * can start. */
#define RESERVATIONS_LEAST 3
#define WORKERS_PER_RESERVATION 70
/* And late ones, beside these: one, and another for so many workers. */
#define WORKERS_PER_LATE_RESERVATION 170

MuxSize
cell_worker_free (const CellWorker *worker)
{
  return mux_size_sub (worker->info.capacity,
                       mux_size_add (worker->booked, worker->held));
}

/* How many tasks of the stage fit into @free. */
uint32_t
cell_tasks_that_fit (const CellStage *stage, MuxSize free)
{
  MuxSize need = stage->spec->size;
  uint32_t n = UINT32_MAX;

  if (need.cpu_milli > 0 && !stage->spec->best_effort)
    n = free.cpu_milli / need.cpu_milli;
  if (need.mem_mib > 0 && free.mem_mib / need.mem_mib < n)
    n = free.mem_mib / need.mem_mib;
  if (need.accels > 0 && free.accels / need.accels < n)
    n = free.accels / need.accels;
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

/* The worker may run the stage at all, whatever room it has now. */
bool
cell_worker_is_eligible (const MuxCell *cell,
                         const CellStage *stage,
                         const CellWorker *worker)
{
  return cell_worker_matches (stage, worker)
         && cell_worker_usable (cell, worker)
         && (!stage->spec->best_effort
             || cell->time.now_ms >= worker->no_fill_until_ms);
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
  stop_reserving (cell, stage);
  cell_plan_order_remove (cell, stage);
}

bool
cell_stage_is_scanned (const MuxCell *cell, const CellStage *stage)
{
  return stage->scan_round == cell->scan_round;
}

static void
clear_reservations (MuxCell *cell)
{
  CellStage *stage;
  CellStage *next_stage;

  cell_reservations_new_pass (cell);
  DL_FOREACH_SAFE2 (cell->reserving_stages, stage, next_stage, reserving_next)
  if (!cell_stage_is_scanned (cell, stage))
    stop_reserving (cell, stage);
}

static uint32_t
reservations_max (const MuxCell *cell)
{
  uint32_t n = HASH_COUNT (cell->workers) / WORKERS_PER_RESERVATION;

  return n > RESERVATIONS_LEAST ? n : RESERVATIONS_LEAST;
}

static void
place_gang (MuxCell *cell, CellStage *stage, uint32_t *reservations)
{
  cell_place_gang (cell, stage, reservations);
  if (!stage->ready || !stage->has_reservation || stage->is_in_reserving)
    return;
  stage->is_in_reserving = true;
  DL_APPEND2 (cell->reserving_stages, stage, reserving_prev, reserving_next);
}

static void
place (MuxCell *cell, CellStage *stage, uint32_t *reservations)
{
  uint32_t looks = cell->scan_cost;

  stage->scanned_ms = cell->time.now_ms;
  cell->unscanned_steps -= stage->is_unscanned;
  cell->throttle.scanned += stage->is_unscanned;
  stage->is_unscanned = false;
  cell->steps_scanned++;
  cell->scan_cost += STEP_LOOKS;
  /* What a former planner may have started is looked for first. */
  if (cell_stage_is_settled (cell, stage))
    {
      if (stage->spec->gang)
        place_gang (cell, stage, reservations);
      else
        cell_place_tasks (cell, stage);
    }
  else
    cell_place_unsettled (cell, stage);
  if (stage->ready)
    cell->idle_scan_cost += cell->scan_cost - looks;
}

static void
pass_over_urgent (MuxCell *cell)
{
  uint32_t reservations = reservations_max (cell);
  CellStage *stage;

  cell_plan_order_begin_urgent (&cell->plan_order);
  while (cell->scan_cost <= URGENT_PASS_LOOKS
         && (stage = cell_plan_order_next_urgent (&cell->plan_order)) != NULL)
    place (cell, stage, &reservations);
}

static void
pass_over_front (MuxCell *cell, uint32_t *reservations)
{
  CellStage *stage;

  cell_plan_order_begin (&cell->plan_order);
  while (cell->scan_cost <= FRONT_LOOKS
         && (stage = cell_plan_order_next_front (&cell->plan_order)) != NULL)
    {
      stage->scan_round = cell->scan_round;
      place (cell, stage, reservations);
    }
}

/* Those before @stage that keep their workers, as this pass passes over them.
 */
static void
count_reserving (MuxCell *cell, const CellStage *stage, uint32_t *reservations)
{
  int64_t now_ms = cell->time.now_ms;
  CellStage *other;

  DL_FOREACH2 (cell->reserving_stages, other, reserving_next)
  {
    if (*reservations == 0)
      return;
    if (!cell_stage_is_scanned (cell, other) || other->scanned_ms == now_ms
        || other->reserving_counted_ms == now_ms
        || cell_stage_compare (other, stage) > 0)
      continue;
    other->reserving_counted_ms = now_ms;
    (*reservations)--;
  }
}

/* Return: false: some are left for the next pass. */
static bool
pass_over_rest (MuxCell *cell, uint32_t *reservations)
{
  CellStage *stage;

  while (cell->scan_cost <= PASS_LOOKS)
    {
      stage = cell_plan_order_next_in_round (&cell->plan_order);
      if (stage == NULL)
        return true;
      if (cell_stage_is_scanned (cell, stage))
        {
          cell->scan_cost += STEP_LOOKS;
          continue;
        }
      stage->scan_round = cell->scan_round;
      if (stage->spec->gang)
        count_reserving (cell, stage, reservations);
      place (cell, stage, reservations);
    }
  return cell_plan_order_is_done (&cell->plan_order);
}

static void
pass_over_all (MuxCell *cell)
{
  uint32_t reservations = reservations_max (cell);

  cell->late_reservations_left
      = 1 + HASH_COUNT (cell->workers) / WORKERS_PER_LATE_RESERVATION;
  pass_over_front (cell, &reservations);
  if (!pass_over_rest (cell, &reservations))
    {
      mux_count (cell->options.counters, MUX_COUNT_PLAN_CUT, 1);
      return;
    }
  cell->scan_round++;
  cell_plan_order_new_round (&cell->plan_order);
}

/*
 * Guards against work on room that a worker no longer has: its room may shrink
 * at any moment, and only the list of workers tells.
 */
bool
cell_room_is_current (const MuxCell *cell)
{
  return cell_follow_is_fresh (cell, &cell->follow[FOLLOW_WORKERS]);
}

/* A step of many tasks is looked at beyond the pass's limit, and may have
 * started most of them: what is behind it waits no longer for that. */
static int64_t
pause_ms (const MuxCell *cell, int64_t least_ms, uint32_t most_looks)
{
  uint32_t looks
      = cell->idle_scan_cost < most_looks ? cell->idle_scan_cost : most_looks;
  int64_t idle_ms = looks / IDLE_LOOKS_PER_MS;

  return idle_ms > least_ms ? idle_ms : least_ms;
}

void
cell_plan (MuxCell *cell)
{
  bool all = cell->time.now_ms >= cell->next_full_pass_ms;

  if (!cell_is_active_planner (cell) || cell->stopping || cell->jobs_unverified
      || !cell_room_is_current (cell))
    return;
  if (cell->time.now_ms < cell->next_plan_ms && !cell->replan)
    return;
  if (cell->time.now_ms < cell->next_pass_ms)
    return;
  cell->replan = false;
  cell->next_plan_ms = cell->time.now_ms + IDLE_PASS_MS;
  cell_plan_order_rerank (cell);
  cell->scan_cost = 0;
  cell->idle_scan_cost = 0;
  cell->steps_scanned = 0;
  if (all)
    {
      clear_reservations (cell);
      pass_over_all (cell);
      cell->next_full_pass_ms
          = cell->time.now_ms + pause_ms (cell, SLOW_PASS_MS, PASS_LOOKS);
    }
  else
    pass_over_urgent (cell);
  cell->next_pass_ms
      = cell->time.now_ms
        + (all ? PASS_MS : pause_ms (cell, PASS_MS, URGENT_PASS_LOOKS));
  mux_count (cell->options.counters, MUX_COUNT_PLAN_LOOKS, cell->scan_cost);
  mux_count (cell->options.counters, MUX_COUNT_PLAN_STEPS, cell->steps_scanned);
}
