#include "cell_private.h"

#include <string.h>

/*
 * Speeds of the workers of each pool, as placement uses them.  A pool whose
 * workers are alike is placed as if speeds were not known.
 */

/* Interval of counts; speeds of workers change slower than that. */
#define COUNT_INTERVAL_MS 250
/* Cost of free room where speeds differ, of a whole worker: less than that of
 * speed which is not needed. */
#define ROOM_COST 30000

/* Larger speeds in a message are ignored. */
#define SPEED_MAX_MILLI 100000

static CellPoolSpeed *
pool_find (CellPoolSpeeds *speeds, uint64_t service)
{
  CellPoolSpeed *pool;

  for (uint32_t i = 0; i < speeds->count; i++)
    if (speeds->pool[i].service == service)
      return &speeds->pool[i];
  if (speeds->count == CELL_POOL_SPEEDS_MAX)
    return NULL;
  pool = &speeds->pool[speeds->count++];
  memset (pool, 0, sizeof *pool);
  pool->service = service;
  return pool;
}

static void
log_change (MuxCell *cell, const CellPoolSpeed *pool)
{
  cell_log (cell, "pool_speeds", "{s:I, s:b, s:i, s:i}", "service",
            (json_int_t) pool->service, "uneven", pool->is_uneven,
            "slowest_milli", (int) pool->speeds.slowest_milli, "fastest_milli",
            (int) pool->speeds.fastest_milli);
}

void
cell_pool_speeds_tick (MuxCell *cell)
{
  CellPoolSpeeds *speeds = &cell->pool_speeds;
  const CellWorker *worker;
  const CellWorker *next;

  if (cell->time.now_ms < speeds->next_count_ms)
    return;
  speeds->next_count_ms = cell->time.now_ms + COUNT_INTERVAL_MS;
  for (uint32_t i = 0; i < speeds->count; i++)
    {
      memset (&speeds->pool[i].speeds, 0, sizeof speeds->pool[i].speeds);
      speeds->pool[i].differs = false;
    }
  HASH_ITER (hh, cell->workers, worker, next)
  {
    CellPoolSpeed *pool
        = worker->dead ? NULL : pool_find (speeds, worker->service);

    if (pool == NULL)
      continue;
    pool->differs = pool->differs || cell_speeds_differ (cell, worker);
    mux_speed_pool_add (&pool->speeds, cell_worker_speed_milli (worker),
                        worker->info.capacity.cpu_milli);
  }
  for (uint32_t i = 0; i < speeds->count; i++)
    {
      CellPoolSpeed *pool = &speeds->pool[i];
      bool was_uneven = pool->is_uneven;

      mux_speed_pool_finish (&pool->speeds);
      pool->is_uneven = pool->differs;
      if (pool->is_uneven != was_uneven)
        log_change (cell, pool);
    }
}

static const CellPoolSpeed *
uneven_pool_of (const MuxCell *cell, uint64_t service)
{
  const CellPoolSpeeds *speeds = &cell->pool_speeds;

  for (uint32_t i = 0; i < speeds->count; i++)
    if (speeds->pool[i].service == service)
      return speeds->pool[i].is_uneven ? &speeds->pool[i] : NULL;
  return NULL;
}

/* A task that runs until it is cancelled has no end that speed changes. */
static const CellPoolSpeed *
uneven_pool (const MuxCell *cell, const CellStage *stage)
{
  return stage->spec->long_running ? NULL
                                   : uneven_pool_of (cell, stage->service);
}

uint32_t
cell_pool_fastest_milli (const MuxCell *cell, uint64_t service)
{
  const CellPoolSpeed *pool = uneven_pool_of (cell, service);

  return pool != NULL && pool->speeds.fastest_milli > MUX_SPEED_ONE_MILLI
             ? pool->speeds.fastest_milli
             : MUX_SPEED_ONE_MILLI;
}

json_t *
cell_pool_speeds_json (const MuxCell *cell)
{
  json_t *list = json_array ();

  for (uint32_t i = 0; i < cell->pool_speeds.count; i++)
    {
      const CellPoolSpeed *pool = &cell->pool_speeds.pool[i];

      if (pool->is_uneven)
        (void) json_array_append_new (
            list, json_pack ("[I, i, i]", (json_int_t) pool->service,
                             (int) pool->speeds.slowest_milli,
                             (int) pool->speeds.fastest_milli));
    }
  return list;
}

void
cell_pool_speeds_receive (MuxCell *cell, const json_t *list)
{
  const json_t *entry;
  size_t i;

  for (uint32_t j = 0; j < cell->pool_speeds.count; j++)
    cell->pool_speeds.pool[j].is_uneven = false;
  json_array_foreach (list, i, entry)
  {
    json_int_t service = json_integer_value (json_array_get (entry, 0));
    json_int_t slowest = json_integer_value (json_array_get (entry, 1));
    json_int_t fastest = json_integer_value (json_array_get (entry, 2));
    CellPoolSpeed *pool;

    if (slowest <= 0 || fastest < slowest || fastest > SPEED_MAX_MILLI)
      continue;
    pool = pool_find (&cell->pool_speeds, (uint64_t) service);
    if (pool == NULL)
      return;
    pool->is_uneven = true;
    pool->speeds.slowest_milli = (uint32_t) slowest;
    pool->speeds.fastest_milli = (uint32_t) fastest;
  }
}

bool
cell_stage_has_uneven_pool (const MuxCell *cell, const CellStage *stage)
{
  return uneven_pool (cell, stage) != NULL;
}

uint32_t
cell_placing_speed_milli (const MuxCell *cell,
                          const CellStage *stage,
                          const CellWorker *worker)
{
  return cell_stage_has_uneven_pool (cell, stage)
             ? cell_worker_speed_milli (worker)
             : MUX_SPEED_ONE_MILLI;
}

MuxSpeedNeed
cell_speed_need (const MuxCell *cell, const CellStage *stage, int64_t in_ms)
{
  const CellPoolSpeed *pool = uneven_pool (cell, stage);
  MuxSpeedNeed need = {
    .left_ms = stage->deadline_ms - cell->time.now_ms - in_ms,
    .expected_ms = stage->expected_ms + stage->after_ms,
    .slowest_milli = MUX_SPEED_ONE_MILLI,
    .fastest_milli = MUX_SPEED_ONE_MILLI,
  };

  if (pool != NULL)
    {
      need.slowest_milli = pool->speeds.slowest_milli;
      need.fastest_milli = pool->speeds.fastest_milli;
    }
  return need;
}

uint32_t
cell_speed_cost (const MuxCell *cell,
                 const CellStage *stage,
                 const CellWorker *worker,
                 int64_t in_ms)
{
  MuxSpeedNeed need;

  if (!cell_stage_has_uneven_pool (cell, stage))
    return 0;
  need = cell_speed_need (cell, stage, in_ms);
  return mux_speed_cost (&need, cell_worker_speed_milli (worker));
}

bool
cell_speed_suits (const MuxCell *cell,
                  const CellStage *stage,
                  const CellWorker *worker,
                  int64_t in_ms)
{
  MuxSpeedNeed need;
  MuxSpeedFit fit;

  if (!cell_stage_has_uneven_pool (cell, stage))
    return true;
  need = cell_speed_need (cell, stage, in_ms);
  fit = mux_speed_fit (&need, cell_worker_speed_milli (worker));
  return fit == MUX_SPEED_ENOUGH || fit == MUX_SPEED_NEEDED;
}

bool
cell_speed_is_too_slow (const MuxCell *cell,
                        const CellStage *stage,
                        const CellWorker *worker,
                        int64_t in_ms)
{
  MuxSpeedNeed need;

  if (!cell_stage_has_uneven_pool (cell, stage))
    return false;
  need = cell_speed_need (cell, stage, in_ms);
  return mux_speed_fit (&need, cell_worker_speed_milli (worker))
         == MUX_SPEED_TOO_SLOW;
}

int64_t
cell_room_cost (const MuxCell *cell,
                const CellStage *stage,
                const CellWorker *worker)
{
  uint64_t free = cell_worker_free (worker).cpu_milli;

  if (!cell_stage_has_uneven_pool (cell, stage))
    return (int64_t) free;
  return (int64_t) (free * ROOM_COST
                    / (uint64_t) (worker->info.capacity.cpu_milli + 1));
}

uint32_t
cell_stage_fastest_ms (const MuxCell *cell, const CellStage *stage)
{
  const CellPoolSpeed *pool = uneven_pool (cell, stage);

  return pool != NULL ? (uint32_t) mux_speed_run_ms (stage->expected_ms,
                                                     pool->speeds.fastest_milli)
                      : stage->expected_ms;
}
