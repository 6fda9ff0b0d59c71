#ifndef SUPPORT_CELL_CHAOS_H
#define SUPPORT_CELL_CHAOS_H

#include "support/cell_world.h"
#include "support/random.h"
#include "support/world_callers.h"

/*
 * A world of stepped jobs in which anything fails at any moment while callers
 * hand in jobs, drawn from a seed.
 */

#define CHAOS_CELLS 3
#define CHAOS_WORKERS 8
/* Steps between two looks at what could fail next. */
#define CHAOS_STEP_MS 20
/* One step in so many brings a job. */
#define CHAOS_JOB_ONE_IN 3
#define CHAOS_JOBS_MAX 300
/* Longer than the wait for a worker that no planner has heard (16.5 s with the
 * leases of these daemons), with the jobs that ran there behind it. */
#define CHAOS_SETTLE_MS 40000
/* Of the world's queue. */
#define CHAOS_ATTEMPTS 3

typedef struct
{
  World *world;
  MuxRandom random;
  uint32_t refused_planner; /* planner that the store refuses */
  uint64_t claim;           /* then known */
  int64_t refused_until_ms; /* it is served again by then; 0: none is refused */
  bool crashes;             /* workers crash, some jobs crash theirs */
  uint32_t jobs;
  uint64_t request[CHAOS_JOBS_MAX];
  WorldCallers callers; /* of bursts */
  uint32_t burst_factor;
  int64_t burst_until_ms;
} Chaos;

uint32_t chaos_below (Chaos *c, uint32_t bound);
/** chaos_submit() - hand a job in at any daemon that is up */
void chaos_submit (Chaos *c);
/** chaos_fail_something() - or let it work again */
void chaos_toggle_fault (Chaos *c);
/** chaos_serve_replaced() - end what replaced a planner, when it is due */
void chaos_end_refusal (Chaos *c);
/** chaos_step() - any fault at any time: few takeovers, much that is away at
 * once */
void chaos_step (Chaos *c);
/** chaos_step_of_takeovers() - one takeover after the other, at any moment of
 * what goes on besides */
void chaos_step_of_takeovers (Chaos *c);
/** chaos_mend() - all is well */
void chaos_heal (World *world);
/** chaos_check() - fail the test if a task ran twice, too often or where it had
 * no room, or if an accepted job neither ended well nor may fail */
void chaos_check (Chaos *c, uint64_t seed);
/** chaos_setting() - number in the environment */
uint64_t chaos_setting (const char *name, uint64_t otherwise);

#endif
