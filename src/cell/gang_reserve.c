#include "cell_private.h"

#include <stdlib.h>

/*
 * Reserves room for a gang that finds too little now.  Computes the earliest
 * time at which its approved workers together have room for all members,
 * reserves that room from then on, and renews the proofs early enough that they
 * are valid at that time.
 */

/* Most openings of one worker that are considered. */
#define OPENINGS_MAX 8
/* Proofs are requested for workers with room for this many percent more than
 * all members, as some tasks end later than expected. */
#define SPARE_PERCENT 25
#define PERCENT 100

/**
 * struct Openings - openings of the gang's approved workers, sorted by time
 */
typedef struct
{
  uint32_t count;
  CellOpening *opening;
} Openings;

/* At equal times the larger opening goes first, so that fewer workers are
 * used. */
static int
by_time (const void *x, const void *y)
{
  const CellOpening *a = x;
  const CellOpening *b = y;

  if (a->from_ms != b->from_ms)
    return a->from_ms < b->from_ms ? -1 : 1;
  if (a->tasks != b->tasks)
    return a->tasks > b->tasks ? -1 : 1;
  return a->worker->slot < b->worker->slot ? -1 : 1;
}

static Openings
openings_of (const MuxCell *cell,
             const CellStage *stage,
             CellWorker *const *worker,
             uint32_t count)
{
  Openings openings = { .opening = calloc ((size_t) count * OPENINGS_MAX + 1,
                                           sizeof *openings.opening) };

  for (uint32_t i = 0; i < count && openings.opening != NULL; i++)
    openings.count += cell_worker_openings (cell, stage, worker[i],
                                            &openings.opening[openings.count],
                                            OPENINGS_MAX);
  if (openings.count > 0)
    qsort (openings.opening, openings.count, sizeof *openings.opening, by_time);
  return openings;
}

/* Returns how many of the first openings hold @tasks; 0: all of them hold
 * fewer. */
static uint32_t
count_that_hold (const Openings *openings, uint32_t tasks)
{
  uint32_t held = 0;

  for (uint32_t i = 0; i < openings->count; i++)
    {
      held += openings->opening[i].tasks;
      if (held >= tasks)
        return i + 1;
    }
  return 0;
}

static bool
contains (CellWorker *const *list, uint32_t count, const CellWorker *worker)
{
  for (uint32_t i = 0; i < count; i++)
    if (list[i] == worker)
      return true;
  return false;
}

static void
reserve (MuxCell *cell,
         CellStage *stage,
         const Openings *openings,
         uint32_t count)
{
  int64_t at_ms = openings->opening[count - 1].from_ms;
  uint32_t left = stage->spec->count;

  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      const CellOpening *opening = &openings->opening[i];
      uint32_t take = opening->tasks < left ? opening->tasks : left;

      if (cell_reserve (cell, stage, opening->worker, take, at_ms))
        left -= take;
    }
}

static void
query_proofs (MuxCell *cell,
              CellStage *stage,
              const Openings *openings,
              int64_t at_ms)
{
  CellWorker *worker[CELL_CANDIDATES_MAX];
  uint32_t members = stage->spec->count;
  uint32_t count
      = count_that_hold (openings, members + members * SPARE_PERCENT / PERCENT);
  uint32_t n = 0;

  if (count == 0)
    count = openings->count;
  for (uint32_t i = 0; i < count && n < CELL_CANDIDATES_MAX; i++)
    if (!contains (worker, n, openings->opening[i].worker)
        && !cell_proof_outlasts_query (cell, stage, openings->opening[i].worker,
                                       CELL_CANDIDATES_MAX))
      worker[n++] = openings->opening[i].worker;
  if (at_ms - cell->time.now_ms <= cell_approval_query_ms (stage, n))
    (void) cell_approval_query_send (cell, stage, worker, n);
}

void
cell_gang_reserve (MuxCell *cell,
                   CellStage *stage,
                   CellWorker *const *worker,
                   uint32_t count,
                   bool may_query)
{
  Openings openings;
  uint32_t first;

  cell_reservations_mark_stale (cell, stage);
  openings = openings_of (cell, stage, worker, count);
  cell->scan_cost += openings.count;
  first = openings.opening != NULL
              ? count_that_hold (&openings, stage->spec->count)
              : 0;
  if (first > 0)
    {
      stage->has_reservation = true;
      reserve (cell, stage, &openings, first);
      if (may_query)
        query_proofs (cell, stage, &openings,
                      openings.opening[first - 1].from_ms);
    }
  free (openings.opening);
}
