#include "support/cell_world.h"
#include "support/test.h"

#include <stdlib.h>

/* Daemons, their store and their workers fail at random around a change of
 * planner: no long-running task may run twice. */

#define CELLS 3
#define WORKERS 8
#define TASKS 4
#define LEASE_MS 6000
#define SETTLED_MS 20000
#define ALL_CPU_MILLI 30000
#define LASTS_MS 600000
#define SEEDS 60

static uint32_t
draw (uint32_t *state, uint32_t below)
{
  *state = *state * 1664525u + 1013904223u;
  return (*state >> 8) % below;
}

/* The store fails each daemon for a random time; the planner ends, and maybe
 * the next one too, while no other daemon reaches the workers. */
static void
play (World *world, uint32_t *state)
{
  static const WorldFault fault[]
      = { WORLD_SILENT, WORLD_SILENT, WORLD_REFUSES, WORLD_LOSES_ANSWER };
  int64_t from_ms[CELLS];
  int64_t to_ms[CELLS];
  int64_t end_ms = draw (state, 9000);
  int64_t next_end_ms = end_ms + 1000 + draw (state, 3000);
  bool ends_twice = draw (state, 2) != 0;
  uint32_t how = draw (state, 3);
  WorldFault drawn = fault[draw (state, 4)];
  int64_t base_ms = draw (state, 8000);

  for (uint32_t i = 0; i < CELLS; i++)
    {
      from_ms[i] = draw (state, 1200);
      to_ms[i] = base_ms + draw (state, 2000);
    }
  for (int64_t at_ms = 0; at_ms < 22000; at_ms += 50)
    {
      uint32_t planner = world_planner (world);

      for (uint32_t i = 0; i < CELLS; i++)
        world->cell[i].store
            = at_ms >= from_ms[i] && at_ms < to_ms[i] ? drawn : WORLD_SERVES;
      if (at_ms == end_ms / 50 * 50)
        for (uint32_t j = 0; j < TASKS; j++)
          world->worker[j].unreachable = true;
      if (planner < CELLS
          && (at_ms == end_ms / 50 * 50
              || (ends_twice && at_ms == next_end_ms / 50 * 50)))
        {
          if (how == 0)
            world_cell_kill (world, planner);
          else if (how == 1)
            world->cell[planner].frozen = true;
          else
            world->cell[planner].isolated = true;
        }
      if (at_ms == (next_end_ms + 1500) / 50 * 50)
        for (uint32_t i = 0; i < CELLS; i++)
          {
            world->cell[i].frozen = false;
            world->cell[i].isolated = false;
            if (world->cell[i].dead)
              world_cell_start (world, i);
          }
      world_run (world, 50);
    }
}

static bool
is_twice (uint32_t seed)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, TASKS, ALL_CPU_MILLI);
  uint32_t state = seed * 2654435761u;
  bool twice;

  world->lease_ms = LEASE_MS;
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_run (world, SETTLED_MS);
  for (uint32_t i = TASKS; i < WORKERS; i++)
    world_worker_drains (world, i, true);
  world_run (world, 500);
  job->step[0].long_running = true;
  world->task_ms = LASTS_MS;
  (void) world_submit (world, world_planner (world), job, "lasting");
  world_run (world, 2000);
  for (uint32_t i = TASKS; i < WORKERS; i++)
    world_worker_drains (world, i, false);
  play (world, &state);
  twice = world_double_run (world);
  if (twice)
    print_message ("twice: seed %u\n", seed);
  world_free (world);
  return twice;
}

/* Seeds that have shown a task running twice; always run. */
static const uint32_t kept_seed[] = { 111, 126, 190, 379, 399 };

/* FIRST_SEED and SEEDS of the environment select others. */
static uint32_t
setting (const char *name, uint32_t usual)
{
  const char *value = getenv (name);

  return value != NULL ? (uint32_t) atoi (value) : usual;
}

/* A successor must not count a predecessor's orders as expired too early, in
 * any order of outages, ends and restarts. */
static void
test_no_lasting_task_runs_twice_around_a_change_of_planner (void **state)
{
  uint32_t from = setting ("FIRST_SEED", 1);
  uint32_t seeds = setting ("SEEDS", SEEDS);
  uint32_t twice = 0;

  (void) state;
  for (uint32_t seed = from; seed < from + seeds; seed++)
    twice += is_twice (seed);
  for (uint32_t i = 0; i < sizeof kept_seed / sizeof kept_seed[0]; i++)
    twice += is_twice (kept_seed[i]);
  assert_int_equal (twice, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (
      test_no_lasting_task_runs_twice_around_a_change_of_planner) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
