#include "support/cell_world.h"
#include "support/test.h"

/* Quotas of workspaces: what is started, what waits, and what a successor
 * knows of it. A worker of the test has 32 processors. */

#define CELLS 3
#define WORKERS 8
#define CPU_MILLI 1000
#define QUOTA_TASKS 6

static const char *const names[] = { "desk", "night" };

static MuxQuota
quota_of (uint32_t tasks)
{
  return (MuxQuota){ .cpu_milli = (uint64_t) tasks * CPU_MILLI };
}

static void
set_quota (World *world, uint32_t tasks)
{
  world_set_workspaces (world, world_workspaces (names, 2, quota_of (tasks)));
}

static World *
world_with_quota (uint32_t tasks)
{
  World *world = world_new (CELLS, WORKERS);

  set_quota (world, tasks);
  world_run (world, 5000);
  world_set_key (world, "desk");
  return world;
}

static MuxJobSpec *
gang (uint32_t tasks)
{
  MuxJobSpec *job = world_job (1, tasks, CPU_MILLI);

  job->step[0].gang = true;
  return job;
}

static uint32_t
running (const World *world, const char *workspace)
{
  return (uint32_t) (world_running (world, workspace).cpu_milli / CPU_MILLI);
}

static void
test_step_wider_than_the_quota_runs_in_waves (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);

  (void) state;
  world->task_ms = 1000;
  (void) world_submit (world, 0, world_job (1, 4 * QUOTA_TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 900);
  assert_int_equal (running (world, "desk"), QUOTA_TASKS);
  world_run (world, 12000);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world->over_quota, 0);
  world_free (world);
}

static void
test_waiting_for_quota_is_reported (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);

  (void) state;
  world->task_ms = 20000;
  (void) world_submit (world, 0, world_job (1, 2 * QUOTA_TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 15000);
  assert_string_equal (world->blocked_on, "quota");
  world_free (world);
}

static void
test_full_workspace_delays_no_other (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);

  (void) state;
  world->task_ms = 30000;
  (void) world_submit (world, 0, world_job (1, 4 * QUOTA_TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 2000);
  world_set_key (world, "night");
  (void) world_submit (world, 1, world_job (1, QUOTA_TASKS, CPU_MILLI),
                       "job-b");
  world_run (world, 2000);
  assert_int_equal (running (world, "night"), QUOTA_TASKS);
  assert_int_equal (world->over_quota, 0);
  world_free (world);
}

/* Guards against a gang that waits for ever because single tasks of its
 * workspace take whatever becomes free of the quota. */
static void
test_gang_is_not_starved_by_tasks_of_its_workspace (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);
  char id[16];

  (void) state;
  world->task_ms = 700;
  for (uint32_t i = 0; i < 40; i++)
    {
      if (i == 5)
        (void) world_submit (world, 0, gang (QUOTA_TASKS), "gang");
      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, i % CELLS, world_job (1, 4, CPU_MILLI), id);
      world_run (world, 250);
    }
  assert_int_equal (world_state (world, 0, "gang"), MUX_JOB_COMPLETED);
  assert_int_equal (world->over_quota, 0);
  world_free (world);
}

/* Guards against jobs that are accepted, because they fit into the overrun,
 * and wait for ever. */
static void
test_work_over_the_quota_starts_within_the_overrun (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->quota_overrun_milli = 100;
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  set_quota (world, 10);
  world_run (world, 5000);
  world_set_key (world, "desk");
  (void) world_submit (world, 0, gang (11), "gang");
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "gang"), 11);
  world_set_key (world, "night");
  (void) world_submit (world, 0, world_job (1, 1, 11 * CPU_MILLI), "large");
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "large"), 1);
  assert_int_equal (world->over_quota, 0);
  world_free (world);
}

/* Guards against a job that is accepted and never runs. */
static void
test_job_larger_than_any_quota_is_refused (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);
  uint64_t call;

  (void) state;
  call = world_submit (world, 1, gang (QUOTA_TASKS + 1), "gang");
  world_run (world, 500);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_OVER_QUOTA);
  call = world_submit (world, 1,
                       world_job (1, 1, (QUOTA_TASKS + 1) * CPU_MILLI), "big");
  world_run (world, 500);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_OVER_QUOTA);
  assert_null (world_row (world, MUX_TABLE_JOBS, "gang"));
  assert_null (world_row (world, MUX_TABLE_JOBS, "big"));
  world_free (world);
}

static void
test_lowered_quota_stops_nothing_that_runs (void **state)
{
  World *world = world_with_quota (2 * QUOTA_TASKS);

  (void) state;
  world->task_ms = 8000;
  (void) world_submit (world, 0, world_job (1, 6 * QUOTA_TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 2000);
  assert_int_equal (running (world, "desk"), 2 * QUOTA_TASKS);
  set_quota (world, QUOTA_TASKS);
  world_run (world, 4000);
  assert_int_equal (running (world, "desk"), 2 * QUOTA_TASKS);
  assert_int_equal (world_starts (world, "job-a"), 2 * QUOTA_TASKS);
  world_run (world, 6000);
  assert_int_equal (running (world, "desk"), QUOTA_TASKS);
  assert_int_equal (world->over_quota, 0);
  world_free (world);
}

static void
test_raised_quota_starts_what_waits (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);

  (void) state;
  world->task_ms = 30000;
  (void) world_submit (world, 0, world_job (1, 3 * QUOTA_TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 2000);
  set_quota (world, 3 * QUOTA_TASKS);
  world_run (world, 3000);
  assert_int_equal (running (world, "desk"), 3 * QUOTA_TASKS);
  world_free (world);
}

/* Guards against a successor that starts a workspace's other jobs before it
 * knows what the workspace has running. */
static void
test_successor_counts_what_runs (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);

  (void) state;
  world->task_ms = 15000;
  (void) world_submit (world, 0, world_job (1, QUOTA_TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 1000);
  for (uint32_t i = 0; i < CELLS - 1; i++)
    {
      char id[16];

      world_cell_kill (world, world_planner (world));
      snprintf (id, sizeof id, "more-%u", i);
      world_run (world, 3000);
      (void) world_submit (world, world_planner (world),
                           world_job (1, QUOTA_TASKS, CPU_MILLI), id);
      world_run (world, 1000);
      assert_int_equal (running (world, "desk"), QUOTA_TASKS);
    }
  assert_int_equal (world->over_quota, 0);
  world_free (world);
}

/* The same with an unreachable worker that may run tasks of the workspace. */
static void
test_successor_counts_unreachable_workers (void **state)
{
  World *world = world_with_quota (QUOTA_TASKS);
  uint32_t planner;

  (void) state;
  world->task_ms = 12000;
  (void) world_submit (world, 0, world_job (1, QUOTA_TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 1000);
  planner = world_planner (world);
  for (uint32_t i = 0; i < WORKERS / 2; i++)
    world->worker[i].unreachable = true;
  world_cell_kill (world, planner);
  world_run (world, 2500);
  planner = world_planner (world);
  (void) world_submit (world, planner,
                       world_job (1, 2 * QUOTA_TASKS, CPU_MILLI), "job-b");
  for (uint32_t i = 0; i < 40; i++)
    {
      world_run (world, 100);
      assert_true (running (world, "desk") <= QUOTA_TASKS);
    }
  assert_int_equal (world->over_quota, 0);
  world_free (world);
}

/* Guards against a pause for all workspaces after each change of planner. */
static void
test_workspace_far_below_quota_waits_for_no_unconfirmed_worker (void **state)
{
  World *world = world_with_quota (64 * QUOTA_TASKS);
  uint32_t planner;

  (void) state;
  world_skip_approval (world);
  world->task_ms = 12000;
  (void) world_submit (world, 0, world_job (1, 2, CPU_MILLI), "job-a");
  world_run (world, 3000);
  planner = world_planner (world);
  world->worker[0].unreachable = true;
  world_cell_kill (world, planner);
  world_run (world, 2500);
  planner = world_planner (world);
  world_set_key (world, "night");
  (void) world_submit (world, planner, world_job (1, 4, CPU_MILLI), "job-b");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "job-b"), 4);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_step_wider_than_the_quota_runs_in_waves),
    cmocka_unit_test (test_waiting_for_quota_is_reported),
    cmocka_unit_test (test_full_workspace_delays_no_other),
    cmocka_unit_test (test_gang_is_not_starved_by_tasks_of_its_workspace),
    cmocka_unit_test (test_work_over_the_quota_starts_within_the_overrun),
    cmocka_unit_test (test_job_larger_than_any_quota_is_refused),
    cmocka_unit_test (test_lowered_quota_stops_nothing_that_runs),
    cmocka_unit_test (test_raised_quota_starts_what_waits),
    cmocka_unit_test (test_successor_counts_what_runs),
    cmocka_unit_test (test_successor_counts_unreachable_workers),
    cmocka_unit_test (
        test_workspace_far_below_quota_waits_for_no_unconfirmed_worker),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
