#ifndef SUPPORT_OUTAGES_H
#define SUPPORT_OUTAGES_H

#include "support/cell_world.h"

/* Many workers crash by themselves, again and again, under jobs of one kind. */

#define OUTAGE_WORKERS 24
#define OUTAGE_CELLS 3
#define OUTAGE_RACK 4
#define OUTAGE_JOBS 24
#define OUTAGE_TASKS 3
#define OUTAGE_SETTLE_MS 40000
#define OUTAGE_FOREVER_MS INT64_C (100000000)

typedef enum
{
  OUTAGE_SHORT,
  OUTAGE_GANG,
  OUTAGE_LASTING,
  OUTAGE_COUNT
} OutageKind;

typedef void (*OutageWaves) (World *world);

/** outage_world() - with jobs of that kind that run; @silent: workers do not
 * say that they have started again */
World *outage_world (uint32_t cells, OutageKind kind, bool silent);
/** outage_halves() - half of the workers, each time others */
void outage_halves (World *world);
/** outage_same_half() - half of the workers, the same each time */
void outage_same_half (World *world);
/** outage_halves_and_planners() - and the planner with them */
void outage_halves_and_planners (World *world);
/** outage_racks() - one rack after the other, each again and again */
void outage_racks (World *world);
/** outage_singly_in_a_rack() - the workers of one rack, one at a time */
void outage_singly_in_a_rack (World *world);
/** outage_failed_jobs() - of the first @jobs */
uint32_t outage_failed_jobs (World *world, uint32_t jobs);

#endif
