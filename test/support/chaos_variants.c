#include "support/chaos_variants.h"
#include "support/cell_chaos.h"
#include "support/test.h"

#include <inttypes.h>

/* Daemons, store, links and workers of stepped jobs fail at any moment,
 * together and again and again, while callers hand in jobs.  A user would see a
 * task run twice, or an accepted job that never ends.  Each seed is one such
 * quarter of a minute of bad luck; RANDOM_SEED and RANDOM_SEEDS choose others
 * by hand. */

#define SEED 1
#define SEEDS 4
#define BUSY_MS 14000
/* One step in so many makes a daemon late, or in time again. */
#define LATE_ONE_IN 60
#define LATE_MAX_MS 3000
/* The same of a slow store, and of a data centre that is cut off. */
#define SLOW_ONE_IN 60
#define SLOW_LEAST_MS 50
#define SLOW_MORE_MS 350
#define CUT_ONE_IN 80
#define DATA_CENTRES 3
/* The same of a worker that crashes, and of jobs that crash their workers. */
#define CRASH_ONE_IN 20
#define DOWN_LEAST_MS 200
#define DOWN_MORE_MS 6000
/* The same of half of them at once. */
#define OUTAGE_ONE_IN 150
/* A task under which several workers may have crashed waits for up to 30 s
 * before it starts again, twice. */
#define CRASH_SETTLE_MS 60000
/* The same of a worker's room, in shares of what it has at first. */
#define ROOM_ONE_IN 25
#define ROOM_SHARES 4
#define ROOM_SHARE_MILLI 8000
/* After which a worker that started again under its id is listed so. */
#define LIST_LATE_MS 1500
/* The same of a burst, at so many times the rate at which jobs come. */
#define BURST_ONE_IN 70
#define BURST_LEAST_MS 200
#define BURST_MORE_MS 1800
#define BURST_TIMES_MIN 2
#define BURST_TIMES_MAX 10
/* The users' bounds: the usual service is back so long after the last fault,
 * when a job is served up to three times the objective of the world's queue
 * and answered within a quarter of it. */
#define RECOVERY_MS 12000
#define WATCH_MS 2000
#define OBJECTIVE_MS INT64_C (5000)
#define SERVED_MS (3 * OBJECTIVE_MS)
#define ANSWERED_MS (OBJECTIVE_MS / 4)
#define SERVED_ONE_IN 4
/* The same of a planner that is lost, and of a daemon that is back; of workers
 * that are out of reach from the start, and of one that is back. */
#define LOSE_ONE_IN 150
#define BACK_ONE_IN 25
#define GONE (CHAOS_WORKERS / 2)
#define GONE_BACK_ONE_IN 200
#define GONE_AT_MS 1000

/* Some daemon takes what arrives later than before, up to a few seconds, or in
 * time again. */
static void
make_late (Chaos *c)
{
  WorldCell *cell = &c->world->cell[chaos_below (c, CHAOS_CELLS)];

  if (chaos_below (c, LATE_ONE_IN) == 0)
    cell->input_delay_ms
        = chaos_below (c, 2) == 0 ? 0 : chaos_below (c, LATE_MAX_MS);
}

/* Commits take long, so that jobs name the workers that they may run on, and
 * data centres are cut off in turn. */
static void
make_slow (Chaos *c)
{
  World *world = c->world;

  if (chaos_below (c, SLOW_ONE_IN) == 0)
    world->store_ms
        = chaos_below (c, 3) == 0
              ? 5
              : SLOW_LEAST_MS + (int64_t) chaos_below (c, SLOW_MORE_MS);
  if (chaos_below (c, CUT_ONE_IN) == 0)
    world_cut_data_centre (world, chaos_below (c, DATA_CENTRES),
                           chaos_below (c, 2) == 0);
}

/* A worker crashes, and is silent or refuses what is sent to it until it is
 * back. */
static void
crash_worker (Chaos *c)
{
  World *world = c->world;

  if (chaos_below (c, CRASH_ONE_IN) != 0)
    return;
  world->silent_crashes = chaos_below (c, 2) == 0;
  world->down_ms = DOWN_LEAST_MS + (int64_t) chaos_below (c, DOWN_MORE_MS);
  world->crash_ms
      = chaos_below (c, 2) == 0 ? 2 : (int64_t) chaos_below (c, 200);
  if (chaos_below (c, 3) == 0)
    world_worker_crash (world, chaos_below (c, CHAOS_WORKERS));
}

static void
crash_half (Chaos *c)
{
  uint32_t first = chaos_below (c, 2);

  if (chaos_below (c, OUTAGE_ONE_IN) != 0)
    return;
  for (uint32_t i = first; i < CHAOS_WORKERS; i += 2)
    world_worker_crash (c->world, i);
}

static void
change_room (Chaos *c)
{
  if (chaos_below (c, ROOM_ONE_IN) == 0)
    world_worker_room (c->world, chaos_below (c, CHAOS_WORKERS),
                       (1 + chaos_below (c, ROOM_SHARES)) * ROOM_SHARE_MILLI);
}

static void
restore_rooms (World *world)
{
  for (uint32_t i = 0; i < CHAOS_WORKERS; i++)
    world_worker_room (world, i, ROOM_SHARES * ROOM_SHARE_MILLI);
}

/* Callers beyond the usual ones hand in jobs for a while. */
static void
burst (Chaos *c)
{
  int64_t now_ms = c->world->now_ms;

  if (chaos_below (c, BURST_ONE_IN) == 0)
    {
      c->burst_factor
          = BURST_TIMES_MIN
            + chaos_below (c, BURST_TIMES_MAX - BURST_TIMES_MIN + 1);
      c->burst_until_ms
          = now_ms + BURST_LEAST_MS + chaos_below (c, BURST_MORE_MS);
    }
  if (now_ms < c->burst_until_ms)
    world_callers_hand_in (&c->callers, c->burst_factor - 1, CHAOS_STEP_MS);
}

/* Return: the usual service is not back in time, or a job of a burst was lost,
 * or refused and has run. */
static bool
burst_left_something (Chaos *c, int64_t watched_ms)
{
  WorldServed back
      = world_served (&c->callers, watched_ms, ANSWERED_MS, SERVED_MS);
  WorldServed all = world_served (&c->callers, 0, ANSWERED_MS, SERVED_MS);

  print_message ("%u calls, %u refused; at last %u calls, %u answered late,"
                 " %u served\n",
                 all.calls, all.refused, back.calls, back.late_answers,
                 back.in_time);
  return back.calls == 0 || back.late_answers > 0
         || back.in_time * SERVED_ONE_IN < back.calls || all.open > 0
         || all.refused_and_run > 0;
}

static void
lose_workers (World *world)
{
  for (uint32_t i = 0; i < GONE; i++)
    world->worker[i].unreachable = true;
}

/* One planner after the other is lost, while workers are gone that only some of
 * them, or none, will hear. */
static void
lose_planners (Chaos *c)
{
  World *world = c->world;
  uint32_t planner = world_planner (world);

  if (chaos_below (c, LOSE_ONE_IN) == 0 && planner != WORLD_CELLS_MAX)
    world_cell_kill (world, planner);
  for (uint32_t i = 0; i < CHAOS_CELLS; i++)
    if (world->cell[i].dead && chaos_below (c, BACK_ONE_IN) == 0)
      world_cell_start (world, i);
  if (chaos_below (c, GONE_BACK_ONE_IN) == 0)
    world->worker[chaos_below (c, GONE)].unreachable = chaos_below (c, 2) == 0;
}

static void
play (uint64_t seed, const ChaosVariant *variant)
{
  World *world = world_new_over (CHAOS_CELLS, CHAOS_WORKERS,
                                 variant->slow ? DATA_CENTRES : 1);
  Chaos c = { .world = world, .random = { seed }, .crashes = variant->crashes };
  int64_t watched_ms;

  c.callers = (WorldCallers){ .world = world,
                              .every_ms = CHAOS_STEP_MS * CHAOS_JOB_ONE_IN,
                              .tasks = 2,
                              .cpu_milli = 5000,
                              .attempts = CHAOS_ATTEMPTS };
  world->task_ms = 300;
  world->feed_rows = variant->follow_rows;
  if (variant->same_ids)
    world_keep_ids (world);
  world->relist_delay_ms = variant->same_ids ? LIST_LATE_MS : 0;
  /* Without a proof that is of one life nothing else keeps a late start from
   * the next one. */
  if (variant->same_ids && seed % 3 == 0)
    world_skip_approval (world);
  if (seed % 2 == 1)
    world_make_urgent (world);
  world_run (world, 1000);
  for (uint32_t at_ms = 0; at_ms < BUSY_MS; at_ms += CHAOS_STEP_MS)
    {
      if (variant->gone && at_ms == GONE_AT_MS)
        lose_workers (world);
      if (variant->gone)
        lose_planners (&c);
      if (variant->late)
        make_late (&c);
      if (variant->slow)
        make_slow (&c);
      if (variant->crashes)
        crash_worker (&c);
      if (variant->outages)
        crash_half (&c);
      if (variant->rooms)
        change_room (&c);
      if (variant->bursts)
        burst (&c);
      if (seed % 4 < 2)
        chaos_step (&c);
      else
        chaos_step_of_takeovers (&c);
    }
  chaos_heal (world);
  if (variant->rooms)
    restore_rooms (world);
  for (uint32_t i = 0; i < CHAOS_CELLS; i++)
    world->cell[i].input_delay_ms = 0;
  if (variant->bursts)
    world_run (world, RECOVERY_MS);
  watched_ms = world->now_ms;
  if (variant->bursts)
    world_burst (&c.callers, 1, WATCH_MS);
  world_run (world, CHAOS_SETTLE_MS + (variant->crashes ? CRASH_SETTLE_MS : 0));
  chaos_check (&c, seed);
  if (variant->bursts && burst_left_something (&c, watched_ms))
    fail_msg ("seed %" PRIu64 ": a burst left something", seed);
  world_free (world);
}

void
chaos_play_seeds (const ChaosVariant *variant)
{
  uint64_t seed = chaos_setting ("RANDOM_SEED", SEED);
  uint64_t seeds = chaos_setting ("RANDOM_SEEDS", SEEDS);

  for (uint64_t i = 0; i < seeds; i++)
    play (seed + i, variant);
}
