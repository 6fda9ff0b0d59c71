#include "support/cell_chaos.h"
#include "support/test.h"

/*
 * Workers are lost permanently, and at the same moment the planner is cut off
 * from the store and the other daemons, frozen, or asked to stop, repeatedly.
 * It stays alive, and may reach workers that no other daemon reaches. Guards
 * against a task that runs twice and an accepted job that never ends.
 * RANDOM_SEED and RANDOM_SEEDS choose other schedules.
 */

#define SEED 1
#define SEEDS 12
#define BUSY_MS 24000
#define LOST_WORKERS_MAX (CHAOS_WORKERS / 2)
#define LOST_AT_ONCE_MAX 2
#define PAUSE_MIN_MS 200
#define PAUSE_SPREAD_MS 2000
#define CUT_MIN_MS 1000
#define CUT_SPREAD_MS 6000
#define TASK_MS 300
/* Tasks that start shortly before the planner is cut off run until a
 * successor could start them again. */
#define LONG_TASK_MS 10000
#define LONG_BEFORE_MS 400
/* One step in so many brings a job or another fault. */
#define JOB_ONE_IN 4
#define FAULT_ONE_IN 40

typedef enum
{
  CUT_OFF,
  FROZEN,
  STOPPED,
  CUT_KIND_COUNT
} CutKind;

/**
 * struct Cuts - how the planner is cut off now
 * @until_ms: time of its reconnection; 0: it is not cut off
 * @lost: number of workers, the first ones, that are lost permanently
 * @losing: number of workers that only the planner can reach, and that are lost
 *   once it is reconnected
 */
typedef struct
{
  Chaos *c;
  uint32_t planner;
  CutKind kind;
  int64_t until_ms;
  int64_t next_ms;
  uint32_t lost;
  uint32_t losing;
  uint32_t count[CUT_KIND_COUNT];
} Cuts;

static MuxCellTime
time_of (const World *world)
{
  return (MuxCellTime){ world->now_ms, WORLD_WALL_MS + world->now_ms,
                        world->now_ms };
}

static void
set_cut_off (WorldCell *cell, bool cut)
{
  cell->isolated = cut;
  cell->store = cut ? WORLD_SILENT : WORLD_SERVES;
}

static void
lose_workers (Cuts *cuts)
{
  uint32_t lost = cuts->lost + 1 + chaos_below (cuts->c, LOST_AT_ONCE_MAX);

  cuts->losing = lost < LOST_WORKERS_MAX ? lost : LOST_WORKERS_MAX;
  if (chaos_below (cuts->c, 2) == 0)
    cuts->lost = cuts->losing;
}

/* Cuts off the planner together with the workers that nobody else reaches,
 * or with all workers. Any other worker would tell it that it has been
 * replaced. */
static void
cut_off (Cuts *cuts, WorldCell *cell)
{
  set_cut_off (cell, true);
  if (cuts->lost < cuts->losing && chaos_below (cuts->c, 3) > 0)
    cell->reachable_workers = cuts->losing;
}

/* Other faults may have made them reachable again. */
static void
keep_workers_lost (const Cuts *cuts)
{
  World *world = cuts->c->world;

  for (uint32_t i = 0; i < cuts->lost; i++)
    world->worker[i].unreachable = true;
  if (cuts->until_ms != 0)
    for (uint32_t i = 0; i < CHAOS_CELLS; i++)
      if (i != cuts->planner)
        world->cell[i].unreachable_workers = cuts->losing;
}

static void
begin_cut (Cuts *cuts)
{
  World *world = cuts->c->world;
  WorldCell *cell;

  cuts->planner = world_planner (world);
  if (cuts->planner == WORLD_CELLS_MAX || world->cell[cuts->planner].frozen)
    return;
  cell = &world->cell[cuts->planner];
  cuts->kind = (CutKind) chaos_below (cuts->c, CUT_KIND_COUNT);
  cuts->count[cuts->kind]++;
  cuts->until_ms = world->now_ms + CUT_MIN_MS
                   + (int64_t) chaos_below (cuts->c, CUT_SPREAD_MS);
  lose_workers (cuts);
  if (cuts->kind == CUT_OFF)
    cut_off (cuts, cell);
  else if (cuts->kind == FROZEN)
    cell->frozen = true;
  else
    mux_cell_stop (cell->cell, time_of (world));
}

static void
end_cut (Cuts *cuts)
{
  World *world = cuts->c->world;
  WorldCell *cell = &world->cell[cuts->planner];

  cuts->until_ms = 0;
  cuts->next_ms = world->now_ms + PAUSE_MIN_MS
                  + (int64_t) chaos_below (cuts->c, PAUSE_SPREAD_MS);
  cuts->lost = cuts->losing;
  cell->reachable_workers = 0;
  for (uint32_t i = 0; i < CHAOS_CELLS; i++)
    world->cell[i].unreachable_workers = 0;
  if (cuts->kind == CUT_OFF)
    set_cut_off (cell, false);
  else if (cuts->kind == FROZEN)
    cell->frozen = false;
  else
    world_cell_start (world, cuts->planner);
}

static int64_t
task_ms (const Cuts *cuts)
{
  return cuts->until_ms == 0
                 && cuts->c->world->now_ms >= cuts->next_ms - LONG_BEFORE_MS
             ? LONG_TASK_MS
             : TASK_MS;
}

static void
step_of_cuts (Cuts *cuts)
{
  World *world = cuts->c->world;
  WorldCell *cell = &world->cell[cuts->planner];

  world->task_ms = task_ms (cuts);
  if (cuts->until_ms == 0 && world->now_ms >= cuts->next_ms)
    begin_cut (cuts);
  else if (cuts->until_ms != 0 && world->now_ms >= cuts->until_ms)
    end_cut (cuts);
  else if (cuts->until_ms != 0 && cuts->kind == STOPPED && !cell->dead
           && mux_cell_stopped (cell->cell))
    world_cell_kill (world, cuts->planner);
}

static void
play (uint64_t seed, bool other_faults)
{
  World *world = world_new (CHAOS_CELLS, CHAOS_WORKERS);
  Chaos c = { .world = world, .random = { seed } };
  Cuts cuts = { .c = &c, .next_ms = 1500 };

  if (seed % 2 == 1)
    world_make_urgent (world);
  world_run (world, 1000);
  for (uint32_t at_ms = 0; at_ms < BUSY_MS; at_ms += CHAOS_STEP_MS)
    {
      step_of_cuts (&cuts);
      if (other_faults && chaos_below (&c, FAULT_ONE_IN) == 0)
        chaos_toggle_fault (&c);
      chaos_end_refusal (&c);
      keep_workers_lost (&cuts);
      if (chaos_below (&c, JOB_ONE_IN) == 0)
        chaos_submit (&c);
      world_run (world, CHAOS_STEP_MS);
    }
  world->task_ms = TASK_MS;
  if (cuts.until_ms != 0)
    end_cut (&cuts);
  chaos_heal (world);
  keep_workers_lost (&cuts);
  world_run (world, CHAOS_SETTLE_MS);
  print_message ("%u jobs; planner cut off %u, frozen %u, stopped %u times; %u"
                 " workers gone\n",
                 c.jobs, cuts.count[CUT_OFF], cuts.count[FROZEN],
                 cuts.count[STOPPED], cuts.lost);
  chaos_check (&c, seed);
  world_free (world);
}

static void
play_seeds (bool other_faults)
{
  uint64_t seed = chaos_setting ("RANDOM_SEED", SEED);
  uint64_t seeds = chaos_setting ("RANDOM_SEEDS", SEEDS);

  for (uint64_t i = 0; i < seeds; i++)
    play (seed + i, other_faults);
}

static void
test_no_task_runs_twice_and_no_job_is_lost_as_planners_are_cut_off (
    void **state)
{
  (void) state;
  play_seeds (false);
}

static void
test_jobs_end_once_with_other_faults_beside (void **state)
{
  (void) state;
  play_seeds (true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_no_task_runs_twice_and_no_job_is_lost_as_planners_are_cut_off),
    cmocka_unit_test (test_jobs_end_once_with_other_faults_beside),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
