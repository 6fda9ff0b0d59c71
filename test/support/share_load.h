#ifndef SUPPORT_SHARE_LOAD_H
#define SUPPORT_SHARE_LOAD_H

#include "support/cell_world.h"

/*
 * Workspaces of a simulated cluster that send gangs and small jobs at their
 * usual rate, together 0.83 of the room of its workers, or at multiples of it.
 * A refused caller comes again when it was told to, four tries in three seconds
 * at most.
 */

#define SHARE_CELLS 3
#define SHARE_WORKSPACES 8
/* The workspace whose load differs from that of the others. */
#define SHARE_HOT 0
#define SHARE_SMALL_TASKS 3
#define SHARE_SMALL_CPU_MILLI 4000
#define SHARE_STEP_MS 10
/* All send their usual load for this long before share_load_play() changes it.
 */
#define SHARE_BEFORE_MS 4000
#define SHARE_JOBS_MAX 3000

extern const char *const share_workspace_names[SHARE_WORKSPACES];

typedef struct
{
  char id[MUX_JOB_ID_LEN];
  uint32_t number;
  uint32_t workspace;
  bool gang;
  int64_t sent_ms;
  int64_t try_ms;
  int64_t next_ms; /* of the next try; 0: none */
  uint32_t tries;
  uint64_t call;
  bool waits;
  bool accepted;
  int64_t answer_ms; /* time to the last refusal */
} ShareJob;

/**
 * struct ShareLoad - the callers
 * @due_us: time since each workspace's last job, times the multiple of its rate
 * @seed: with @wild: shifts the run times
 * @wild: run times differ from the declared ones
 */
typedef struct
{
  World *world;
  uint32_t count;
  int64_t due_us[SHARE_WORKSPACES];
  uint32_t seed;
  bool wild;
  ShareJob job[SHARE_JOBS_MAX];
} ShareLoad;

typedef struct
{
  uint32_t sent;
  uint32_t accepted;
  uint32_t in_time;
  uint32_t gangs;
  uint32_t gangs_in_time;
  int64_t slowest_refusal_ms;
} ShareSum;

typedef struct
{
  ShareSum hot;
  ShareSum others;
  uint32_t worst_milli; /* share of jobs in time of the worst of the others */
} ShareOutcome;

/** share_load_new() - creates a world; callers show their workspace's key if
 * @with_workspaces, and starts need proofs if @with_approval */
ShareLoad *share_load_new (bool with_workspaces, bool with_approval);
/** share_load_free() - checks that nothing ran twice or beyond a worker's
 * capacity */
void share_load_free (ShareLoad *load);
/** share_load_run() - runs the world for @ms while each workspace sends
 * @tenths / 10 times its usual load */
void share_load_run (ShareLoad *load, int64_t ms, const uint32_t *tenths);
/** share_load_play() - runs the usual load, then for ten seconds @hot and
 * @others tenths of it, and then until all has ended
 * @lose_planner: the planner's process ends in the middle
 * Return: what became of the jobs first sent in the ten seconds. */
ShareOutcome share_load_play (ShareLoad *load,
                              uint32_t hot,
                              uint32_t others,
                              bool lose_planner);
void share_sum_add (ShareSum *sum, const ShareSum *one);
void share_outcome_print (const char *what, const ShareOutcome *outcome);

#endif
