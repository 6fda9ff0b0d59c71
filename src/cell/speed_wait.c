#include "cell_private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Tasks whose free workers are too slow, and that wait because a faster worker
 * is expected to have room soon enough.
 *
 * The openings of faster workers are listed once for all tasks of one size, as
 * in a burst many stages wait for them in each pass; the n-th task that waits
 * in a pass counts on the n-th opening.
 */

/* A list of openings is used for this long: a few planning passes. */
#define LIST_KEEP_MS 20
/* Openings of one worker that are considered. */
#define OPENINGS_PER_WORKER 2

static int
by_time (const void *x, const void *y)
{
  const CellSpeedOpening *a = x;
  const CellSpeedOpening *b = y;

  return a->at_ms < b->at_ms ? -1 : a->at_ms > b->at_ms;
}

/* Adds the worker's openings after now: one that is open now and was not chosen
 * is kept from the task by a rule. */
static void
add_openings (MuxCell *cell,
              const CellStage *stage,
              CellWorker *worker,
              int64_t until_ms,
              CellSpeedSupply *supply)
{
  CellOpening opening[OPENINGS_PER_WORKER];
  uint32_t count = cell_worker_openings (cell, stage, worker, opening,
                                         OPENINGS_PER_WORKER);

  cell->scan_cost++;
  for (uint32_t i = 0; i < count; i++)
    for (uint32_t j = 0;
         j < opening[i].tasks && supply->count < CELL_SPEED_OPENINGS_MAX; j++)
      if (opening[i].from_ms > cell->time.now_ms
          && opening[i].from_ms <= until_ms)
        supply->opening[supply->count++] = (CellSpeedOpening){
          .at_ms = opening[i].from_ms,
          .speed_milli = cell_worker_speed_milli (worker),
        };
}

static bool
is_faster (const CellWorker *worker, uint32_t than_milli)
{
  return mux_speed_above (cell_worker_speed_milli (worker), than_milli) > 0;
}

/* Lists the approved workers whose proof is valid when they open. */
static void
list_approved (MuxCell *cell, const CellStage *stage, CellSpeedSupply *supply)
{
  for (uint32_t i = 0; i < stage->approval_count; i++)
    {
      const CellApproval *approval = &stage->approval[i];
      CellWorker *worker = cell->worker_by_slot[approval->slot];

      if (worker != NULL && is_faster (worker, supply->least_milli)
          && cell_usable_proof (cell, approval) != NULL
          && cell_worker_is_eligible (cell, stage, worker))
        add_openings (cell, stage, worker, approval->proof_expires_ms, supply);
    }
}

static void
list_all (MuxCell *cell, const CellStage *stage, CellSpeedSupply *supply)
{
  for (uint32_t i = 0; i < cell->worker_slots; i++)
    {
      CellWorker *worker = cell->worker_by_slot[i];

      if (worker != NULL && worker->service == stage->service
          && is_faster (worker, supply->least_milli)
          && cell_worker_is_eligible (cell, stage, worker))
        add_openings (cell, stage, worker, stage->deadline_ms, supply);
    }
}

static bool
is_current (const MuxCell *cell,
            const CellSpeedSupply *supply,
            const CellStage *stage,
            uint32_t least_milli)
{
  return !stage->job->spec->queue.approval.required
         && stage->spec->label[0] == 0 && supply->listed_ms != 0
         && cell->time.now_ms < supply->listed_ms + LIST_KEEP_MS
         && supply->service == stage->service
         && supply->least_milli == least_milli
         && memcmp (&supply->size, &stage->spec->size, sizeof supply->size)
                == 0;
}

static void
list_openings (MuxCell *cell, const CellStage *stage, uint32_t least_milli)
{
  CellSpeedSupply *supply = &cell->pool_speeds.supply;
  bool is_shared = !stage->job->spec->queue.approval.required
                   && stage->spec->label[0] == 0;

  if (is_current (cell, supply, stage, least_milli))
    return;
  supply->listed_ms = is_shared ? cell->time.now_ms : 0;
  supply->service = stage->service;
  supply->size = stage->spec->size;
  supply->least_milli = least_milli;
  supply->count = 0;
  supply->taken = 0;
  if (stage->job->spec->queue.approval.required)
    list_approved (cell, stage, supply);
  else
    list_all (cell, stage, supply);
  if (supply->count > 0)
    qsort (supply->opening, supply->count, sizeof *supply->opening, by_time);
}

bool
cell_waits_for_speed (MuxCell *cell,
                      const CellTask *task,
                      const CellWorker *free)
{
  CellStage *stage = task->stage;
  CellSpeedSupply *supply = &cell->pool_speeds.supply;
  MuxSpeedNeed need = cell_speed_need (cell, stage, 0);
  MuxSpeedWait wait = { .free_milli = cell_worker_speed_milli (free) };
  uint32_t next;

  if (cell_speed_suits (cell, stage, free, 0))
    return false;
  if (stage->speed_wait_since_ms >= stage->ready_ms)
    wait.waited_ms = cell->time.now_ms - stage->speed_wait_since_ms;
  list_openings (cell, stage, wait.free_milli);
  if (supply->pass_ms != cell->time.now_ms)
    supply->taken = 0;
  supply->pass_ms = cell->time.now_ms;
  for (next = supply->taken; next < supply->count; next++)
    if (supply->opening[next].at_ms > cell->time.now_ms)
      break;
  if (next == supply->count)
    return false;
  wait.fast_milli = supply->opening[next].speed_milli;
  wait.opens_ms = supply->opening[next].at_ms - cell->time.now_ms;
  if (!mux_speed_should_wait (&need, &wait))
    return false;
  supply->taken = next + 1;
  if (stage->speed_wait_since_ms < stage->ready_ms)
    {
      stage->speed_wait_since_ms = cell->time.now_ms;
      mux_count (cell->options.counters, MUX_COUNT_SPEED_WAITS, 1);
    }
  return true;
}
