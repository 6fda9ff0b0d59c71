#ifndef SUPPORT_OUTAGES_H
#define SUPPORT_OUTAGES_H

#include "support/cell_world.h"

/* Repeated crashes of many workers, which the jobs on them did not cause. */

#define OUTAGE_WORKERS 24
#define OUTAGE_CELLS 3
#define OUTAGE_RACK 4 /* workers in a rack */
#define OUTAGE_JOBS 24
#define OUTAGE_TASKS 3
#define OUTAGE_SETTLE_MS 40000
#define OUTAGE_FOREVER_MS INT64_C (100000000)

typedef enum
{
  OUTAGE_SHORT,   /* tasks of 1 s */
  OUTAGE_GANG,    /* gangs of tasks of 4 s */
  OUTAGE_LASTING, /* long-running tasks that do not end */
  OUTAGE_COUNT
} OutageKind;

typedef void (*OutageWaves) (World *world);

/** outage_world() - creates a world with running jobs of @kind; @silent: calls
 * to a crashed worker hang instead of being refused */
World *outage_world (uint32_t cells, OutageKind kind, bool silent);
/** outage_halves() - crashes half of the workers, a different half each time */
void outage_halves (World *world);
/** outage_same_half() - crashes the same half of the workers each time */
void outage_same_half (World *world);
/** outage_halves_and_planners() - crashes alternate halves, and the planner
 * with each */
void outage_halves_and_planners (World *world);
/** outage_racks() - crashes two racks in turn, repeatedly */
void outage_racks (World *world);
/** outage_singly_in_a_rack() - crashes the workers of one rack one at a time,
 * repeatedly */
void outage_singly_in_a_rack (World *world);
/** outage_failed_jobs() - counts the failed ones of the first @jobs jobs */
uint32_t outage_failed_jobs (World *world, uint32_t jobs);

#endif
