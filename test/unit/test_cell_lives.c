#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Workers that restart under the same id: effects of the previous incarnation
 * on the next one. */

#define WORKERS 2
#define TASKS 8
/* Longer than a renewal that waits and is lost. */
#define LIST_LATE_MS 2500

/* A start that the worker's next incarnation carried out, unknown to the
 * planner, must not be placed elsewhere once the previous incarnation is
 * known to have ended. */
static void
test_run_that_the_next_life_took_is_not_placed_again (void **state)
{
  (void) state;
  for (int64_t after_ms = 0; after_ms < 1200; after_ms += 20)
    {
      World *world = world_with_ids_kept (1, 4);

      world_skip_approval (world);
      world->silent_crashes = true;
      world->relist_delay_ms = LIST_LATE_MS;
      world->task_ms = 3000;
      world_run (world, 300);
      for (uint32_t i = 0; i < 4; i++)
        world_worker_restart (world, i);
      world_run (world, after_ms);
      (void) world_submit (world, 0, world_job (1, TASKS, 16000), "job-a");
      world_run (world, 15000);
      assert_false (world_double_run_acked (world));
      assert_int_equal (world_starts (world, "job-a"), TASKS);
      assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
      world_free (world);
    }
}

/* An acknowledgement meant for the previous incarnation reaches the next one
 * first: ends that the planner has not received must not be forgotten. */
static void
test_next_life_s_ends_are_not_acknowledged_untaken (void **state)
{
  (void) state;
  for (int64_t after_ms = 0; after_ms < 2000; after_ms += 40)
    {
      World *world = world_with_ids_kept (1, 1);

      world_skip_approval (world);
      world->silent_crashes = true;
      world->relist_delay_ms = LIST_LATE_MS;
      world->task_ms = 100;
      (void) world_submit (world, 0, world_job (1, 40, 1000), "job-a");
      world_run (world, 3000);
      world_worker_restart (world, 0);
      (void) world_submit (world, 0, world_job (1, TASKS, 1000), "job-b");
      world_run (world, after_ms);
      (void) world_submit (world, 0, world_job (1, TASKS, 1000), "job-c");
      world_run (world, 15000);
      assert_false (world_double_run_acked (world));
      assert_int_equal (world_state (world, 0, "job-b"), MUX_JOB_COMPLETED);
      assert_int_equal (world_state (world, 0, "job-c"), MUX_JOB_COMPLETED);
      world_free (world);
    }
}

/* Interval of jobs, and when the planner begins to be late. */
#define JOB_EACH_MS 50
#define LATE_FROM_MS 1000
/* The last job, and the end of the planner's delay. */
#define LAST_JOB_MS 6000
#define LATE_UNTIL_MS 9000

/* Another daemon accepts jobs meanwhile; the worker restarts at @restart_ms,
 * while its planner is late. */
static void
play_late_planner (int64_t late_ms, int64_t restart_ms)
{
  World *world = world_with_ids_kept (2, 1);
  uint32_t planner = world_planner (world);

  world_skip_approval (world);
  world->silent_crashes = true;
  world->task_ms = 50;
  for (int64_t at_ms = 0; at_ms < LATE_UNTIL_MS; at_ms += JOB_EACH_MS)
    {
      char id[MUX_JOB_ID_LEN];

      if (at_ms == LATE_FROM_MS)
        world->cell[planner].input_delay_ms = late_ms;
      if (at_ms == restart_ms)
        world_worker_restart (world, 0);
      snprintf (id, sizeof id, "job-%lld", (long long) at_ms);
      if (at_ms < LAST_JOB_MS)
        (void) world_submit (world, 1 - planner, world_job (1, 1, 1000), id);
      world_run (world, JOB_EACH_MS);
    }
  world->cell[planner].input_delay_ms = 0;
  world_run (world, 10000);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/* A late planner acknowledges what the previous incarnation's last answer
 * listed: the next one's ends must not be forgotten. */
static void
test_late_planner_acknowledges_no_end_of_a_next_life (void **state)
{
  (void) state;
  for (int64_t late_ms = 1000; late_ms <= 1500; late_ms += 500)
    for (int64_t restart_ms = 2000; restart_ms < 4500; restart_ms += 200)
      play_late_planner (late_ms, restart_ms);
}

#define LONG_UP_MS INT64_C (20000)

/* An order for the previous incarnation is carried out @late_ms late by the
 * next one, and asks for a lease by the previous one's clock. The worker is
 * cut off @cut_ms after the order. */
static void
play_lease_of_a_former_life_s_order (int64_t late_ms, int64_t cut_ms)
{
  World *world = world_with_ids_kept (1, 2);

  world_skip_approval (world);
  world->task_ms = LONG_UP_MS;
  world->down_ms = 200;
  world->late_ms = late_ms;
  world->worker[1].unreachable = true;
  world_run (world, LONG_UP_MS);
  world->worker[0].fault = WORLD_LATE;
  (void) world_submit (world, 0, world_job (1, 1, 2000), "job-a");
  world_run (world, 200);
  assert_int_equal (world_starts (world, "job-a"), 0);
  world->worker[0].fault = WORLD_SERVES;
  world_worker_crash (world, 0);
  world_run (world, cut_ms);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world->worker[0].unreachable = true;
  world->worker[1].unreachable = false;
  world_run (world, 3 * LONG_UP_MS);
  assert_false (world_double_run_acked (world));
  assert_int_equal (world_starts (world, "job-a"), 2);
  world_free (world);
}

/* The lease that such an order requests by the previous incarnation's clock
 * must be waited for. */
static void
test_lease_that_a_former_life_s_order_asked_is_waited_for (void **state)
{
  (void) state;
  play_lease_of_a_former_life_s_order (3000, 3000);
}

/* The same if the worker answers once more when no such order can arrive any
 * longer, and is lost then. */
static void
test_lease_asked_by_the_last_late_order_is_waited_for (void **state)
{
  (void) state;
  for (int64_t late_ms = 13000; late_ms <= 14800; late_ms += 300)
    for (int64_t cut_ms = late_ms + 200; cut_ms < late_ms + 3000; cut_ms += 700)
      play_lease_of_a_former_life_s_order (late_ms, cut_ms);
}

static void
list_life (World *world, uint32_t worker, uint64_t born_ms)
{
  MuxWorkerInfo info = world->worker[worker].info;

  info.started_ms = born_ms;
  world_list_as (world, "", info.id, &info);
}

/* A list entry of a previous incarnation, or of one that does not exist, must
 * neither take the worker out of use for good nor end what runs there. */
static void
test_entry_of_another_life_changes_nothing (void **state)
{
  World *world = world_with_ids_kept (1, WORKERS);
  uint64_t born_ms = world->worker[0].info.started_ms;
  uint32_t unlisted;

  (void) state;
  world->task_ms = 4000;
  (void) world_submit (world, 0, world_job (1, TASKS, 8000), "job-a");
  world_run (world, 1000);
  unlisted = world_logged (world, "worker_unlisted");
  list_life (world, 0, born_ms - 5000);
  world_run (world, 100);
  assert_int_equal (world_logged (world, "worker_unlisted"), unlisted);
  list_life (world, 1, born_ms + 5000);
  world_run (world, 1500);
  world_worker_drains (world, 0, false);
  world_worker_drains (world, 1, false);
  world_run (world, 4000);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  (void) world_submit (world, 0, world_job (1, TASKS, 8000), "job-b");
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "job-b"), TASKS);
  assert_int_equal (world_state (world, 0, "job-b"), MUX_JOB_COMPLETED);
  world_free (world);
}

/* An unanswered start arrives @late_ms late, at the worker's next
 * incarnation; no planner reaches that one, and another worker gets the task
 * meanwhile. */
static World *
behind_a_silent_life (uint32_t cells,
                      int64_t late_ms,
                      bool asked,
                      bool takeover)
{
  World *world = world_with_ids_kept (cells, WORKERS);

  if (!asked)
    world_skip_approval (world);
  world->task_ms = LONG_UP_MS;
  world->down_ms = 200;
  world->late_ms = late_ms;
  world->worker[1].unreachable = true;
  world_run (world, LONG_UP_MS);
  world->worker[0].fault = WORLD_LATE;
  (void) world_submit (world, world_planner (world), world_job (1, 1, 2000),
                       "job-a");
  world_run (world, 200);
  world->worker[0].fault = WORLD_SERVES;
  world_worker_crash (world, 0);
  world->worker[0].unreachable = true;
  world->worker[1].unreachable = false;
  if (takeover)
    world_cell_kill (world, world_planner (world));
  return world;
}

static bool
is_twice_behind_a_silent_life (uint32_t cells, int64_t late_ms, bool takeover)
{
  World *world = behind_a_silent_life (cells, late_ms, false, takeover);
  bool twice;

  world_run (world, 3 * LONG_UP_MS);
  twice = world_double_run_acked (world);
  world_free (world);
  return twice;
}

/* A task must not be placed again while its start may still reach the next
 * incarnation of an unreachable worker. */
static void
test_late_start_at_a_next_life_that_is_not_heard (void **state)
{
  uint32_t twice = 0;

  (void) state;
  for (int64_t late_ms = 2000; late_ms <= 14000; late_ms += 3000)
    twice += is_twice_behind_a_silent_life (1, late_ms, false);
  assert_int_equal (twice, 0);
}

/* The same if a successor waits only until the predecessor's claim and the
 * lease have expired. */
static void
test_late_start_at_a_next_life_behind_a_takeover (void **state)
{
  uint32_t twice = 0;

  (void) state;
  for (int64_t late_ms = 8000; late_ms <= 14000; late_ms += 3000)
    twice += is_twice_behind_a_silent_life (2, late_ms, true);
  assert_int_equal (twice, 0);
}

/* A task must run elsewhere in the end, though its start might have arrived. */
static void
test_task_runs_elsewhere_once_its_start_can_t_come (void **state)
{
  (void) state;
  for (uint32_t cells = 1; cells <= 2; cells++)
    {
      World *world
          = behind_a_silent_life (cells, 4 * LONG_UP_MS, false, cells == 2);

      world_run (world, 3 * LONG_UP_MS);
      assert_int_equal (world_starts (world, "job-a"), 1);
      assert_int_equal (world_state (world, cells - 1, "job-a"),
                        MUX_JOB_COMPLETED);
      world_free (world);
    }
}

/* Longer than the lease, and than its end takes to be known. */
#define LEASE_OVER_MS 10000

/* A task must not wait for a start that the worker's next incarnation
 * refuses. */
static void
test_approved_task_waits_for_the_lease_alone (void **state)
{
  World *world = behind_a_silent_life (1, 4 * LONG_UP_MS, true, false);

  (void) state;
  world_run (world, LEASE_OVER_MS);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_run_that_the_next_life_took_is_not_placed_again),
    cmocka_unit_test (test_next_life_s_ends_are_not_acknowledged_untaken),
    cmocka_unit_test (
        test_lease_that_a_former_life_s_order_asked_is_waited_for),
    cmocka_unit_test (test_late_planner_acknowledges_no_end_of_a_next_life),
    cmocka_unit_test (test_lease_asked_by_the_last_late_order_is_waited_for),
    cmocka_unit_test (test_entry_of_another_life_changes_nothing),
    cmocka_unit_test (test_late_start_at_a_next_life_that_is_not_heard),
    cmocka_unit_test (test_late_start_at_a_next_life_behind_a_takeover),
    cmocka_unit_test (test_task_runs_elsewhere_once_its_start_can_t_come),
    cmocka_unit_test (test_approved_task_waits_for_the_lease_alone),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
