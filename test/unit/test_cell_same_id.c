#include "support/cell_world.h"
#include "support/test.h"

/* Workers restart under the same ids. */

#define WORKERS 2
#define TASKS 8

/* Ends are numbered from the beginning with each start of a worker: new ones
 * must not be taken for ends already known. */
static void
test_ends_of_a_worker_s_next_start_are_taken (void **state)
{
  World *world = world_with_ids_kept (1, WORKERS);

  (void) state;
  (void) world_submit (world, 0, world_job (1, 40, 1000), "job-a");
  world_run (world, 6000);
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_restart (world, i);
  world_run (world, 1000);
  (void) world_submit (world, 0, world_job (1, TASKS, 1000), "job-b");
  world_run (world, 10000);
  assert_false (world_double_run_acked (world));
  assert_int_equal (world_starts (world, "job-b"), TASKS);
  assert_int_equal (world_state (world, 0, "job-b"), MUX_JOB_COMPLETED);
  world_free (world);
}

/* A gang must run though its workers' room was booked for runs of their
 * previous incarnations. */
static void
test_room_of_a_worker_s_former_start_is_free (void **state)
{
  World *world = world_with_ids_kept (1, WORKERS);
  MuxJobSpec *gang = world_job (1, TASKS, 8000);

  (void) state;
  world->task_ms = 3000;
  gang->step[0].gang = true;
  (void) world_submit (world, 0, gang, "gang");
  world_run (world, 1000);
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_restart (world, i);
  world_run (world, 2500);
  assert_int_equal (world_starts (world, "gang"), 2 * TASKS);
  world_run (world, 5000);
  assert_int_equal (world_state (world, 0, "gang"), MUX_JOB_COMPLETED);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/* An order for a worker's previous incarnation that the next one carries out,
 * which has seen no fencing token and refuses no run, must not run a task
 * twice. */
static void
test_late_start_for_a_former_start_runs_nothing_twice (void **state)
{
  (void) state;
  for (int64_t down_ms = 200; down_ms < 6000; down_ms += 200)
    {
      World *world = world_with_ids_kept (1, 4);

      world_skip_approval (world);
      world_run (world, 200);
      world->late_ms = 3500;
      world->down_ms = down_ms;
      world->task_ms = 2000;
      for (uint32_t i = 0; i < 4; i++)
        world->worker[i].fault = WORLD_LATE;
      (void) world_submit (world, 0, world_job (1, 4, 20000), "job-a");
      world_run (world, 100);
      for (uint32_t i = 0; i < 4; i++)
        {
          world->worker[i].fault = WORLD_SERVES;
          if (i < 2)
            world_worker_crash (world, i);
        }
      world_run (world, 30000);
      assert_false (world_double_run_acked (world));
      assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
      world_free (world);
    }
}

/* Tasks must not run twice if the planner changes while workers restart. */
static void
test_planner_s_successor_tells_a_worker_s_starts_apart (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 3000; phase_ms += 100)
    {
      World *world = world_with_ids_kept (3, 4);
      uint32_t planner = world_planner (world);

      (void) world_submit (world, 0, world_job (2, TASKS, 4000), "job-a");
      world_run (world, phase_ms);
      world_worker_restart (world, 0);
      world_worker_restart (world, 1);
      world_cell_kill (world, planner);
      world_run (world, 30000);
      planner = world_planner (world);
      assert_false (world_double_run_acked (world));
      assert_int_equal (world_state (world, planner, "job-a"),
                        MUX_JOB_COMPLETED);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ends_of_a_worker_s_next_start_are_taken),
    cmocka_unit_test (test_room_of_a_worker_s_former_start_is_free),
    cmocka_unit_test (test_late_start_for_a_former_start_runs_nothing_twice),
    cmocka_unit_test (test_planner_s_successor_tells_a_worker_s_starts_apart),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
