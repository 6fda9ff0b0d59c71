#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

#define CELLS 3
#define WORKERS 12
#define WARM_MS 1000
#define RUN_MS 3000
#define APPROVAL_QUERY_MS 200
#define APPROVAL_QUERY_US_PER_WORKER 1000
#define GANG_TASKS 6
#define TASK_CPU_MILLI 14000
#define TASK_MS 10000

static uint64_t
counted (const World *world, MuxCounter counter)
{
  return mux_counter_value (world->counters, counter);
}

static World *
world_with_approvals (void)
{
  World *world = world_new (CELLS, WORKERS);

  world->task_ms = TASK_MS;
  world_slow_approvals (world, APPROVAL_QUERY_MS, APPROVAL_QUERY_US_PER_WORKER);
  world_run (world, WARM_MS);
  return world;
}

static void
submit_gang (World *world, const char *id)
{
  MuxJobSpec *job = world_job (1, GANG_TASKS, TASK_CPU_MILLI);

  job->step[0].gang = true;
  job->step[0].estimate_ms = TASK_MS;
  (void) world_submit (world, world_planner (world), job, id);
}

/* Guards against approval queries that no metric counts. */
static void
test_approval_queries_and_their_use_are_counted (void **state)
{
  World *world = world_with_approvals ();

  (void) state;
  submit_gang (world, "gang");
  world_run (world, RUN_MS);
  assert_int_equal (counted (world, MUX_COUNT_APPROVALS), 1);
  assert_int_equal (counted (world, MUX_COUNT_APPROVAL_NAMES), WORKERS);
  assert_int_equal (counted (world, MUX_COUNT_APPROVALS_GIVEN), WORKERS);
  assert_in_range (counted (world, MUX_COUNT_APPROVALS_USED), 1, GANG_TASKS);
  assert_in_range (counted (world, MUX_COUNT_APPROVAL_TIME), APPROVAL_QUERY_MS,
                   2 * APPROVAL_QUERY_MS);
  world_free (world);
}

/* Guards against workers kept idle for a gang that can't start, without a
 * metric that shows it. */
static void
test_room_kept_for_gangs_is_counted (void **state)
{
  World *world = world_with_approvals ();

  (void) state;
  for (uint32_t i = 0; i < WORKERS / 2; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "gang-%u", i);
      submit_gang (world, id);
    }
  world_run (world, RUN_MS);
  assert_true (world_logged (world, "planner_load") > 0);
  assert_true (counted (world, MUX_COUNT_KEPT_IDLE) > 0);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_approval_queries_and_their_use_are_counted),
    cmocka_unit_test (test_room_kept_for_gangs_is_counted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
