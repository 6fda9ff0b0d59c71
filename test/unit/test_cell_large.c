#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Cells of thousands of workers. */

#define CELLS 3
#define FEW 300
#define MANY 3000
#define JOBS 60
#define TASKS 4
#define TASK_MS 60000
#define CPU_MILLI 8000
#define EACH_MS 20
/* One worker of so many is approved for a gang, which needs three. */
#define APPROVED_ONE_IN 40
#define GANG_TASKS 12

typedef struct
{
  World *world;
  uint64_t scanned;
  uint32_t begun;
} Played;

static uint64_t
scanned_workers (const World *world)
{
  return mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS);
}

static Played
play (uint32_t workers, bool needs_approval)
{
  Played played = { .world = world_new (CELLS, workers) };
  World *world = played.world;

  if (!needs_approval)
    world_skip_approval (world);
  world_run (world, 3000);
  world->task_ms = TASK_MS;
  played.scanned = scanned_workers (world);
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, i % CELLS, world_job (1, TASKS, CPU_MILLI),
                           id);
      world_run (world, EACH_MS);
    }
  world_run (world, 2000);
  played.scanned = scanned_workers (world) - played.scanned;
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      played.begun += world_starts (world, id) == TASKS;
    }
  return played;
}

static void
expect_no_growth (bool needs_approval)
{
  Played few = play (FEW, needs_approval);
  Played many = play (MANY, needs_approval);

  print_message ("looks for each step: %u at %d workers, %u at %d\n",
                 (unsigned) (few.scanned / JOBS), FEW,
                 (unsigned) (many.scanned / JOBS), MANY);
  assert_int_equal (few.begun, JOBS);
  assert_int_equal (many.begun, JOBS);
  assert_false (world_double_run (many.world));
  assert_true (many.scanned <= few.scanned * 3 / 2);
  world_free (few.world);
  world_free (many.world);
}

/* Guards against decisions that cost more the more workers there are. */
static void
test_step_scans_no_more_workers_of_a_larger_cell (void **state)
{
  (void) state;
  expect_no_growth (true);
}

/* Guards against the same where workers need no approval. */
static void
test_step_without_approvals_scans_no_more_workers_of_a_larger_cell (
    void **state)
{
  (void) state;
  expect_no_growth (false);
}

/* Guards against a gang that never finds the few workers approved for it,
 * because it scans a part of the cell. */
static void
test_gang_finds_the_few_workers_approved_in_a_large_cell (void **state)
{
  World *world = world_new (CELLS, MANY);
  MuxJobSpec *job = world_job (1, GANG_TASKS, CPU_MILLI);

  (void) state;
  world->approve_one_in = APPROVED_ONE_IN;
  world_run (world, 3000);
  world->task_ms = TASK_MS;
  job->step[0].gang = true;
  (void) world_submit (world, 0, job, "job-a");
  world_run (world, 4000);
  assert_int_equal (world_starts (world, "job-a"), GANG_TASKS);
  world_free (world);
}

/* Guards against the same for a step whose tasks start one by one. */
static void
test_step_finds_the_few_workers_approved_in_a_large_cell (void **state)
{
  World *world = world_new (CELLS, MANY);

  (void) state;
  world->approve_one_in = APPROVED_ONE_IN;
  world_run (world, 3000);
  world->task_ms = TASK_MS;
  (void) world_submit (world, 0, world_job (1, GANG_TASKS, CPU_MILLI), "job-a");
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "job-a"), GANG_TASKS);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_step_scans_no_more_workers_of_a_larger_cell),
    cmocka_unit_test (
        test_step_without_approvals_scans_no_more_workers_of_a_larger_cell),
    cmocka_unit_test (test_gang_finds_the_few_workers_approved_in_a_large_cell),
    cmocka_unit_test (test_step_finds_the_few_workers_approved_in_a_large_cell),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
