#include "cell_private.h"

#include <stdlib.h>

/*
 * Room for a gang that finds too little now.  The earliest moment is worked out
 * at which its approved workers together have room for all members; that room
 * is reserved from then on, and proofs that will be taken then are asked for in
 * time.
 */

/* Of one worker that are looked at. */
#define GAPS_MAX 8
/* Proofs are asked for workers with room for so much more than all members, in
 * percent: some tasks end later than is expected. */
#define SPARE_PERCENT 25
#define PERCENT 100

/**
 * struct Gaps - of the gang's approved workers, in the order of time
 */
typedef struct
{
  uint32_t count;
  CellOpening *gap;
} Gaps;

/* Fewer workers where several have room at the same time. */
static int
soonest_first (const void *x, const void *y)
{
  const CellOpening *a = x;
  const CellOpening *b = y;

  if (a->from_ms != b->from_ms)
    return a->from_ms < b->from_ms ? -1 : 1;
  if (a->tasks != b->tasks)
    return a->tasks > b->tasks ? -1 : 1;
  return a->worker->slot < b->worker->slot ? -1 : 1;
}

static Gaps
gaps_of (const MuxCell *cell,
         const CellStage *stage,
         CellWorker *const *worker,
         uint32_t count)
{
  Gaps gaps
      = { .gap = calloc ((size_t) count * GAPS_MAX + 1, sizeof *gaps.gap) };

  for (uint32_t i = 0; i < count && gaps.gap != NULL; i++)
    gaps.count += cell_worker_openings (cell, stage, worker[i],
                                        &gaps.gap[gaps.count], GAPS_MAX);
  if (gaps.count > 0)
    qsort (gaps.gap, gaps.count, sizeof *gaps.gap, soonest_first);
  return gaps;
}

/* How many of the first gaps hold @tasks; 0: all of them hold fewer. */
static uint32_t
first_that_hold (const Gaps *gaps, uint32_t tasks)
{
  uint32_t held = 0;

  for (uint32_t i = 0; i < gaps->count; i++)
    {
      held += gaps->gap[i].tasks;
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
reserve (MuxCell *cell, CellStage *stage, const Gaps *gaps, uint32_t count)
{
  int64_t at_ms = gaps->gap[count - 1].from_ms;
  uint32_t left = stage->spec->count;

  for (uint32_t i = 0; i < count && left > 0; i++)
    {
      const CellOpening *gap = &gaps->gap[i];
      uint32_t take = gap->tasks < left ? gap->tasks : left;

      if (cell_reserve (cell, stage, gap->worker, take, at_ms))
        left -= take;
    }
}

static void
ask_for_proofs (MuxCell *cell,
                CellStage *stage,
                const Gaps *gaps,
                int64_t at_ms)
{
  CellWorker *worker[CELL_CANDIDATES_MAX];
  uint32_t members = stage->spec->count;
  uint32_t count
      = first_that_hold (gaps, members + members * SPARE_PERCENT / PERCENT);
  uint32_t n = 0;

  if (count == 0)
    count = gaps->count;
  for (uint32_t i = 0; i < count && n < CELL_CANDIDATES_MAX; i++)
    if (!contains (worker, n, gaps->gap[i].worker)
        && !cell_proof_outlasts_query (cell, stage, gaps->gap[i].worker,
                                       CELL_CANDIDATES_MAX))
      worker[n++] = gaps->gap[i].worker;
  if (at_ms - cell->time.now_ms <= cell_approval_query_ms (stage, n))
    (void) cell_approval_query_send (cell, stage, worker, n);
}

void
cell_gang_reserve (MuxCell *cell,
                   CellStage *stage,
                   CellWorker *const *worker,
                   uint32_t count,
                   bool may_ask)
{
  Gaps gaps;
  uint32_t first;

  cell_reservations_mark_stale (cell, stage);
  gaps = gaps_of (cell, stage, worker, count);
  cell->scan_cost += gaps.count;
  first = gaps.gap != NULL ? first_that_hold (&gaps, stage->spec->count) : 0;
  if (first > 0)
    {
      stage->has_reservation = true;
      reserve (cell, stage, &gaps, first);
      if (may_ask)
        ask_for_proofs (cell, stage, &gaps, gaps.gap[first - 1].from_ms);
    }
  free (gaps.gap);
}
