#include "cell_private.h"

/* Speeds of workers, as the planner assumes them. */

#define MEAN_SPEED_MILLI 1000

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
