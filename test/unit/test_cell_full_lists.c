#include "base/counters.h"
#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Workers with more ends than a list holds. */

#define CELLS 3
#define WORKERS 2
#define SETTLE_MS 2000
#define TASK_MS 4000
#define JOBS 16
#define TASKS 50
/* 800 of these fit into a worker. */
#define CPU_MILLI 40
/* From the start of the tasks until the planner is lost: they end before its
 * successor asks. */
#define BEFORE_MS 3800

static MuxJobSpec *
small_job (void)
{
  MuxJobSpec *job = world_job (1, TASKS, CPU_MILLI);

  job->step[0].size.mem_mib = 1;
  return job;
}

static void
submit_all (World *world, uint32_t jobs)
{
  for (uint32_t i = 0; i < jobs; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, world_planner (world), small_job (), id);
    }
}

static void
assert_all_completed (World *world, uint32_t jobs)
{
  for (uint32_t i = 0; i < jobs; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      assert_int_equal (world_state (world, world_planner (world), id),
                        MUX_JOB_COMPLETED);
    }
}

/* Loses the planner while all tasks of @jobs run on one worker. */
static World *
lose_planner_with (uint32_t jobs)
{
  World *world = world_new (CELLS, WORKERS);

  world->task_ms = TASK_MS;
  world_worker_room (world, 1, 1);
  world_run (world, SETTLE_MS);
  submit_all (world, jobs);
  world_run (world, BEFORE_MS);
  assert_int_equal (world->start_count, jobs * TASKS);
  world_cell_kill (world, world_planner (world));
  return world;
}

/* Guards against a successor that starts tasks again whose good ends are not in
 * the first list of their worker. */
static void
test_successor_waits_for_the_rest_of_a_full_list (void **state)
{
  World *world = lose_planner_with (JOBS);

  (void) state;
  world_run (world, 20000);
  assert_true (world_logged (world, "list_full") > 0);
  assert_true (world_logged (world, "list_complete") > 0);
  assert_false (world_double_run_acked (world));
  assert_int_equal (world->start_count, JOBS * TASKS);
  assert_all_completed (world, JOBS);
  world_free (world);
}

/* Guards against the same with several full lists in a row. */
static void
test_successor_waits_for_many_full_lists (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->task_ms = TASK_MS;
  world_worker_room (world, 0, 160000);
  world_worker_room (world, 1, 1);
  world_run (world, SETTLE_MS);
  submit_all (world, 4 * JOBS);
  world_run (world, BEFORE_MS);
  world_cell_kill (world, world_planner (world));
  world_run (world, 30000);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_LISTS_FULL) > 2);
  assert_false (world_double_run_acked (world));
  assert_all_completed (world, 4 * JOBS);
  world_free (world);
}

/* Guards against the acknowledgement of ends that can't be read. */
static void
test_unreadable_list_is_no_list (void **state)
{
  World *world = lose_planner_with (JOBS);

  (void) state;
  world->unreadable_lists = true;
  world_run (world, 3000);
  assert_int_equal (world_logged (world, "list_full"), 0);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_LISTS_UNREADABLE)
               > 0);
  world->unreadable_lists = false;
  world_run (world, 20000);
  assert_true (world_logged (world, "list_full") > 0);
  assert_int_equal (world->start_count, JOBS * TASKS);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/* Guards against leases that expire while the planner waits for the rest of a
 * list. */
static void
test_leases_are_renewed_during_full_lists (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t lasting;

  (void) state;
  world->task_ms = TASK_MS;
  world_worker_room (world, 1, 1);
  world_run (world, SETTLE_MS);
  submit_all (world, JOBS - 1);
  world_run (world, 200);
  world->task_ms = 20000;
  (void) world_submit (world, world_planner (world), small_job (), "long");
  world_run (world, BEFORE_MS - 200);
  lasting = world_starts (world, "long");
  assert_int_equal (lasting, TASKS);
  world_cell_kill (world, world_planner (world));
  /* No end can be stored, so that the lists stay full. */
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  world_run (world, 10500);
  assert_int_equal (world_logged (world, "list_complete"), 0);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  world_run (world, 20000);
  assert_int_equal (world_starts (world, "long"), TASKS);
  assert_false (world_double_run_acked (world));
  assert_all_completed (world, JOBS - 1);
  world_free (world);
}

/* Guards against a wait without end for a worker that is lost with the rest of
 * its list. */
static void
test_lost_worker_ends_the_wait_for_its_list (void **state)
{
  World *world = lose_planner_with (JOBS);

  (void) state;
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  world_run (world, 3000);
  assert_true (world_logged (world, "list_full") > 0);
  world->worker[0].unreachable = true;
  world_worker_room (world, 1, 32000);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  world_run (world, 40000);
  assert_all_completed (world, JOBS);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_successor_waits_for_the_rest_of_a_full_list),
    cmocka_unit_test (test_successor_waits_for_many_full_lists),
    cmocka_unit_test (test_unreadable_list_is_no_list),
    cmocka_unit_test (test_leases_are_renewed_during_full_lists),
    cmocka_unit_test (test_lost_worker_ends_the_wait_for_its_list),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
