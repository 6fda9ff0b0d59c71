#ifndef CELL_GANG_TYPES_H
#define CELL_GANG_TYPES_H

#include "cell_types.h"

/* Most workers named in one approval query about a gang, as the policy service
 * takes no more. The first one names as many: a second query costs more than
 * many names. */
#define CELL_GANG_NAMES_MAX 100
/* Workers named for each one that is expected to be approved. */
#define CELL_GANG_NAMES_PER_APPROVED 3

/**
 * struct CellPlace - a worker that may hold members of a gang
 * @worker: borrowed
 * @fits_now: members that fit at once
 * @fits_eventually: members that fit beside long-running tasks
 * @queried: a query has named it
 * @approved: the gang may run there
 * @proven: has a proof that is valid now, or needs none
 * @being_recorded: its proof becomes valid once its approval is stored
 * @reserved: for the gang, in this pass or the previous one
 * @above: steps of its speed above that of the gang's slowest worker; 0 if the
 *   pool's workers are alike
 * @unsuitable: too slow for the gang, see cell_gang_choose_speed()
 * @tie_break: decides among equal workers
 */
typedef struct
{
  CellWorker *worker;
  uint32_t fits_now;
  uint32_t fits_eventually;
  bool queried;
  bool approved;
  bool proven;
  bool being_recorded;
  bool reserved;
  uint32_t above;
  bool unsuitable;
  uint64_t tie_break;
} CellPlace;

#endif
