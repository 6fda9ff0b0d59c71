#include "cell_private.h"

/*
 * Scans over the workers for one step.
 *
 * In a large cell a scan ends after a part of the workers, and the next one of
 * the same step continues behind it, so that all workers are reached in the
 * end.  Steps begin at different workers.  If each step scanned each of 3,000
 * workers for each query and each start, the planner's processor would have no
 * time for other steps.
 */

/* Most workers of one scan: all workers of a small cell, and several times
 * those that an approval query names. */
#define SCAN_WORKERS_MAX 384

bool
cell_worker_scan_is_partial (const MuxCell *cell)
{
  return HASH_COUNT (cell->workers) > SCAN_WORKERS_MAX;
}

uint32_t
cell_worker_scan_max (const MuxCell *cell)
{
  return cell_worker_scan_is_partial (cell) ? SCAN_WORKERS_MAX
                                            : HASH_COUNT (cell->workers);
}

CellWorkerScan
cell_worker_scan_begin (const MuxCell *cell, const CellStage *stage)
{
  CellWorkerScan scan = { .slots_left = cell->worker_slots,
                          .workers_left = cell_worker_scan_max (cell),
                          .is_partial = cell_worker_scan_is_partial (cell) };
  uint64_t first;

  if (!scan.is_partial)
    return scan;
  first = stage->scan_slot != 0 ? stage->scan_slot
                                : mux_hash_name (stage->job->id, stage->step);
  scan.slot = (uint32_t) (first % cell->worker_slots);
  return scan;
}

CellWorker *
cell_worker_scan_next (MuxCell *cell, CellWorkerScan *scan)
{
  while (scan->slots_left > 0 && scan->workers_left > 0)
    {
      CellWorker *worker = cell->worker_by_slot[scan->slot];

      scan->slot = (scan->slot + 1) % cell->worker_slots;
      scan->slots_left--;
      if (worker == NULL)
        continue;
      scan->workers_left--;
      cell->scan_cost++;
      return worker;
    }
  return NULL;
}

void
cell_worker_scan_end (CellStage *stage, const CellWorkerScan *scan)
{
  if (scan->is_partial)
    stage->scan_slot = scan->slot;
}
