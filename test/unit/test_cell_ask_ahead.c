#include "support/cell_world.h"
#include "support/test.h"

#include <string.h>

/* Approval queries for steps that are not yet ready to start. */

#define CELLS 3
#define WORKERS 8
#define TASKS 4
#define CPU_MILLI 1000
#define APPROVAL_QUERY_MS 60
/* The response to a renewal, a planning pass and the call to a worker. */
#define MARGIN_MS 40
/* Longer than an approval of the test's policy service is valid. */
#define LONG_TASK_MS 8000

static int64_t
start_ms (const World *world, uint32_t step, bool last)
{
  int64_t at_ms = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    if (world->start[i].task.step == step && (last || at_ms == 0))
      at_ms = world->start[i].at_ms;
  return at_ms;
}

/* Guards against an approval query and a commit between any two steps of a
 * chain. */
static void
test_next_step_starts_when_its_predecessor_ends (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (3, TASKS, CPU_MILLI);

  (void) state;
  world_make_urgent (world);
  world->approval_ms = APPROVAL_QUERY_MS;
  world_run (world, 1000);
  (void) world_submit (world, world_planner (world), job, "job-a");
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "job-a"), 3 * TASKS);
  for (uint32_t step = 1; step < 3; step++)
    assert_in_range (start_ms (world, step, true)
                         - start_ms (world, step - 1, true) - world->task_ms,
                     0, MARGIN_MS);
  world_free (world);
}

/* Guards against queries whose approvals expire unused: they take the policy
 * service's time from others. */
static void
test_no_query_whose_approvals_would_expire (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (2, TASKS, CPU_MILLI);

  (void) state;
  world->task_ms = LONG_TASK_MS;
  job->step[0].estimate_ms = LONG_TASK_MS;
  world_run (world, 1000);
  (void) world_submit (world, world_planner (world), job, "job-a");
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  assert_int_equal (world->approval_queries, 1);
  world_run (world, LONG_TASK_MS + 2000);
  assert_int_equal (world_starts (world, "job-a"), 2 * TASKS);
  world_free (world);
}

/* Guards against a step that never runs because the query put ahead for it
 * was lost with the daemon that put it. */
static void
test_lost_early_query_is_retried (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world_make_urgent (world);
  world->approval_ms = APPROVAL_QUERY_MS;
  world_run (world, 1000);
  (void) world_submit (world, world_planner (world),
                       world_job (2, TASKS, CPU_MILLI), "job-a");
  while (world_starts (world, "job-a") < TASKS)
    world_run (world, 1);
  world->lose_approvals = true;
  world_run (world, 500);
  world->lose_approvals = false;
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "job-a"), 2 * TASKS);
  assert_false (world_double_run (world));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_next_step_starts_when_its_predecessor_ends),
    cmocka_unit_test (test_no_query_whose_approvals_would_expire),
    cmocka_unit_test (test_lost_early_query_is_retried),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
