#include "cell_private.h"

/*
 * Which workers one look at a step passes over.
 *
 * Guards against a planner whose decisions cost more the larger its cell is: a
 * step that looked at each of 3,000 workers, for each question and each start,
 * left its processor no time for the others.  In a large cell a look ends after
 * a part of the workers; the next one of the same step goes on behind it, so
 * that in the end all have been looked at.  Steps begin apart from each other.
 */

/* A look passes over so many workers at most: all of a small cell, and several
 * times those that a policy question names. */
#define LOOK_MAX 384

bool
cell_worker_scan_is_partial (const MuxCell *cell)
{
  return HASH_COUNT (cell->workers) > LOOK_MAX;
}

uint32_t
cell_worker_scan_max (const MuxCell *cell)
{
  return cell_worker_scan_is_partial (cell) ? LOOK_MAX
                                            : HASH_COUNT (cell->workers);
}

CellWorkerScan
cell_worker_scan_begin (const MuxCell *cell, const CellStage *stage)
{
  CellWorkerScan sample = { .slots_left = cell->worker_slots,
                            .workers_left = cell_worker_scan_max (cell),
                            .is_partial = cell_worker_scan_is_partial (cell) };
  uint64_t first;

  if (!sample.is_partial)
    return sample;
  first = stage->scan_slot != 0 ? stage->scan_slot
                                : mux_hash_name (stage->job->id, stage->step);
  sample.slot = (uint32_t) (first % cell->worker_slots);
  return sample;
}

CellWorker *
cell_worker_scan_next (MuxCell *cell, CellWorkerScan *sample)
{
  while (sample->slots_left > 0 && sample->workers_left > 0)
    {
      CellWorker *worker = cell->worker_at[sample->slot];

      sample->slot = (sample->slot + 1) % cell->worker_slots;
      sample->slots_left--;
      if (worker == NULL)
        continue;
      sample->workers_left--;
      cell->scan_cost++;
      return worker;
    }
  return NULL;
}

void
cell_worker_scan_end (CellStage *stage, const CellWorkerScan *sample)
{
  if (sample->is_partial)
    stage->scan_slot = sample->slot;
}
