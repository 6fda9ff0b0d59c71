#include "support/cell_world.h"
#include "support/test.h"

/* Planners fail one after the other while some workers are gone for good. */

#define CELLS 3
#define WORKERS 8
/* The first workers go. */
#define GONE 4
#define TAKEOVERS_MAX 4
/* Most of a worker: one task on each. */
#define ALL_CPU_MILLI 30000
/* Longer than any of these tests. */
#define LONG_TASK_MS 60000
/* From a planner's loss to its successor's first pass. */
#define TAKEOVER_MS 2000
/* The longest claim lease of a planner that was lost, and the longest worker
 * lease that it could request, on the slowest clock. */
#define TRUST_AND_LEASE_MS 12500
/* A confirmation of the claim after that, an approval query and a start. */
#define PLACE_MS 1000
/* A task's wait counts from the first planner that could not reach its
 * worker; one more may fail as it ends. */
#define RESTART_MS (2 * TAKEOVER_MS + TRUST_AND_LEASE_MS + PLACE_MS)

#define YOUNG_MS 1000

/* One task on each of half of the workers, which go for good with the planner,
 * when that has planned for @age_ms. */
static World *
world_with_workers_gone (bool same_ids, int64_t age_ms)
{
  World *world = world_new (CELLS, WORKERS);

  if (same_ids)
    world_keep_ids (world);
  world_run (world, age_ms);
  for (uint32_t i = GONE; i < WORKERS; i++)
    world_worker_drains (world, i, true);
  world_run (world, 100);
  world->task_ms = LONG_TASK_MS;
  (void) world_submit (world, world_planner (world),
                       world_job (1, GONE, ALL_CPU_MILLI), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), GONE);
  for (uint32_t i = 0; i < GONE; i++)
    world->worker[i].unreachable = true;
  for (uint32_t i = GONE; i < WORKERS; i++)
    world_worker_drains (world, i, false);
  return world;
}

/* Another process of that daemon starts soon. */
static void
lose_planner (World *world)
{
  uint32_t planner = world_planner (world);

  if (planner == WORLD_CELLS_MAX)
    return;
  world_cell_kill (world, planner);
  world_run (world, 100);
  world_cell_start (world, planner);
}

/* The planner is lost with the workers, and @takeovers times more. */
static int64_t
lose_planners (World *world, uint32_t takeovers, int64_t apart_ms)
{
  int64_t gone_ms = world->now_ms;

  lose_planner (world);
  for (uint32_t i = 1; i <= takeovers; i++)
    {
      world_run (world, gone_ms + i * apart_ms - world->now_ms);
      lose_planner (world);
    }
  return gone_ms;
}

static void
play_takeovers (uint32_t takeovers, int64_t apart_ms, bool same_ids)
{
  World *world = world_with_workers_gone (same_ids, YOUNG_MS);
  int64_t gone_ms = lose_planners (world, takeovers, apart_ms);

  world_run (world, gone_ms + RESTART_MS - world->now_ms);
  assert_int_equal (world_starts (world, "job-a"), 2 * GONE);
  assert_false (world_double_run (world));
  world_free (world);
}

/* Tasks of workers that are gone for good must not wait anew with each
 * planner. */
static void
test_planners_lost_in_a_row_wait_once (void **state)
{
  (void) state;
  for (uint32_t takeovers = 1; takeovers <= TAKEOVERS_MAX; takeovers++)
    for (int64_t apart_ms = 3000; apart_ms <= 12000 / takeovers;
         apart_ms += 1000)
      play_takeovers (takeovers, apart_ms, apart_ms % 2000 == 0);
}

/* The longest lease that a planner can request, on the slowest clock. */
#define LEASE_MS 4500
/* The claims of all planners before one of that age have expired. */
#define TRUST_MS 8000

/* Tasks of workers that failed together with their planner must not wait for
 * the expiry of its claim if another process of the same name is there. */
static void
test_planner_that_is_back_under_its_name_trusts_no_claim (void **state)
{
  (void) state;
  for (uint32_t same_ids = 0; same_ids < 2; same_ids++)
    {
      World *world = world_with_workers_gone (same_ids != 0, TRUST_MS);

      lose_planner (world);
      world_run (world, TAKEOVER_MS + LEASE_MS + PLACE_MS);
      assert_int_equal (world_starts (world, "job-a"), 2 * GONE);
      assert_false (world_double_run (world));
      world_free (world);
    }
}

/* The worker that one planner or another can't reach. */
#define LOST 0
/* The task there runs on until its lease expires; the planner's failure takes
 * 1.2 s of it. */
#define LIVES_ON_MS 2400

static uint32_t
wait_for_planner_other_than (World *world, uint32_t planner)
{
  for (uint32_t i = 0; i < 5000; i++)
    {
      uint32_t next = world_planner (world);

      if (next != planner && next != WORLD_CELLS_MAX)
        return next;
      world_run (world, 1);
    }
  fail_msg ("nobody else plans");
  return planner;
}

static void
set_reach (World *world, bool reached)
{
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].unreachable_workers = reached ? 0 : LOST + 1;
}

/* One long task, which runs on the worker that will be unreachable. */
static World *
world_with_a_run_there (bool same_ids)
{
  World *world = world_new (CELLS, WORKERS);

  if (same_ids)
    world_keep_ids (world);
  world_run (world, 1000);
  world->task_ms = LONG_TASK_MS;
  (void) world_submit (world, world_planner (world),
                       world_job (1, 1, ALL_CPU_MILLI), "job-a");
  world_run (world, 300);
  assert_int_equal (world_starts (world, "job-a"), 1);
  assert_int_equal (world->start[0].worker, LOST);
  return world;
}

/* No predecessor's order there is in force so long after the loss. */
static void
end_behind_the_last_loss (World *world)
{
  world_run (world, TAKEOVER_MS + TRUST_AND_LEASE_MS + PLACE_MS);
  assert_false (world_double_run (world));
  world_free (world);
}

/* The second planner stores an expiry for the worker that it does not reach,
 * then reaches it and renews its leases until long after that expiry. The
 * third does not reach it. */
static void
play_heard_after_its_mark (WorldFault fault,
                           int64_t store_ms,
                           int64_t far_ms,
                           bool same_ids)
{
  World *world = world_with_a_run_there (same_ids);
  uint32_t planner = world_planner (world);

  set_reach (world, false);
  world_cell_kill (world, planner);
  planner = wait_for_planner_other_than (world, planner);
  world->late_ms = far_ms;
  world->store_ms = store_ms;
  world_set_commits (world, MUX_TABLE_ROSTER, fault);
  world_run (world, far_ms);
  set_reach (world, true);
  world_run (world, 500);
  world_set_commits (world, MUX_TABLE_ROSTER, WORLD_SERVES);
  world->store_ms = 5;
  world_run (world, TRUST_AND_LEASE_MS + PLACE_MS);
  set_reach (world, false);
  world_cell_kill (world, planner);
  end_behind_the_last_loss (world);
}

/* The same, and the store accepts no further change of the worker's row. */
static void
play_heard_while_marked (WorldFault fault, int64_t far_ms)
{
  World *world = world_with_a_run_there (false);
  uint32_t planner = world_planner (world);

  set_reach (world, false);
  world_cell_kill (world, planner);
  planner = wait_for_planner_other_than (world, planner);
  world_run (world, far_ms);
  set_reach (world, true);
  world_set_commits (world, MUX_TABLE_ROSTER, fault);
  world_run (world, TRUST_AND_LEASE_MS + PLACE_MS);
  set_reach (world, false);
  world_cell_kill (world, planner);
  world_set_commits (world, MUX_TABLE_ROSTER, WORLD_SERVES);
  end_behind_the_last_loss (world);
}

/* A worker must not count as free by the stored expiry of a planner that has
 * reached it since, and renewed its leases. */
static void
test_mark_of_a_worker_not_heard_falls_before_its_first_lease (void **state)
{
  static const WorldFault fault[]
      = { WORLD_SERVES, WORLD_LOSES_ANSWER, WORLD_LATE, WORLD_REFUSES };

  (void) state;
  for (uint32_t i = 0; i < 4; i++)
    for (int64_t far_ms = 700; far_ms <= LIVES_ON_MS; far_ms += 300)
      play_heard_after_its_mark (fault[i], 5, far_ms, far_ms % 200 == 0);
  for (int64_t far_ms = 700; far_ms <= LIVES_ON_MS; far_ms += 300)
    {
      play_heard_while_marked (WORLD_REFUSES, far_ms);
      play_heard_while_marked (WORLD_SILENT, far_ms);
    }
  for (int64_t store_ms = 200; store_ms <= 800; store_ms += 200)
    for (int64_t far_ms = 700; far_ms <= LIVES_ON_MS; far_ms += 800)
      play_heard_after_its_mark (WORLD_SERVES, store_ms, far_ms, false);
}

/* The first planner is cut off with the worker and renews its leases as long
 * as its claim is valid. The second stores an expiry for the worker and
 * fails. */
static void
play_former_planner_that_goes_on (int64_t phase_ms,
                                  int64_t second_ms,
                                  bool is_back)
{
  World *world = world_with_a_run_there (false);
  uint32_t first = world_planner (world);
  uint32_t second;

  world_run (world, phase_ms);
  set_reach (world, false);
  world->cell[first].unreachable_workers = 0;
  world->cell[first].reachable_workers = LOST + 1;
  world->cell[first].isolated = true;
  world->cell[first].hanging_feeds
      = WORLD_FEED_BIT (MUX_TABLE_CLAIM) | WORLD_FEED_BIT (MUX_TABLE_JOBS);
  world->cell[first].store = WORLD_SILENT;
  second = wait_for_planner_other_than (world, first);
  world_run (world, second_ms);
  world_cell_kill (world, second);
  if (is_back)
    {
      world_run (world, 100);
      world_cell_start (world, second);
    }
  else
    (void) wait_for_planner_other_than (world, second);
  end_behind_the_last_loss (world);
}

/* A stored expiry must not pass while a predecessor that does not know of its
 * successors still renews leases. */
static void
test_mark_counts_the_trust_of_a_former_planner (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 1000; phase_ms += 500)
    for (int64_t second_ms = 500; second_ms < 9000; second_ms += 1000)
      play_former_planner_that_goes_on (phase_ms, second_ms, false);
}

/* The same if the second planner is back at once, which says nothing of the
 * first. */
static void
test_planner_that_is_back_says_nothing_of_those_before_it (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < 1000; phase_ms += 500)
    for (int64_t second_ms = 500; second_ms < 9000; second_ms += 1000)
      play_former_planner_that_goes_on (phase_ms, second_ms, true);
}

#define SHORT_TASK_MS 3000
/* After the leases that a predecessor could request are over. */
#define BACK_MS 10000
#define ROOM_ELSEWHERE_MS 4000

/* Guards against a task that runs again although its worker, which a successor
 * had taken as gone, is back with the end of its run: it was not called. */
static void
test_end_at_a_worker_that_is_back_is_known_before_a_start_elsewhere (
    void **state)
{
  World *world = world_with_ids_kept (2, 2);

  (void) state;
  world->task_ms = SHORT_TASK_MS;
  world_worker_room (world, 1, 0);
  world_run (world, 1000);
  (void) world_submit (world, world_planner (world), world_job (1, 1, 1000),
                       "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world->worker[0].unreachable = true;
  world_cell_kill (world, world_planner (world));
  world_run (world, BACK_MS);
  world->worker[0].unreachable = false;
  world_run (world, ROOM_ELSEWHERE_MS);
  world_worker_room (world, 1, ALL_CPU_MILLI);
  world_run (world, 6000);
  assert_true (world_logged (world, "worker_dead") > 0);
  assert_int_equal (world_starts (world, "job-a"), 1);
  assert_int_equal (world_state (world, world_planner (world), "job-a"),
                    MUX_JOB_COMPLETED);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_end_at_a_worker_that_is_back_is_known_before_a_start_elsewhere),
    cmocka_unit_test (test_planners_lost_in_a_row_wait_once),
    cmocka_unit_test (
        test_mark_of_a_worker_not_heard_falls_before_its_first_lease),
    cmocka_unit_test (test_mark_counts_the_trust_of_a_former_planner),
    cmocka_unit_test (test_planner_that_is_back_under_its_name_trusts_no_claim),
    cmocka_unit_test (
        test_planner_that_is_back_says_nothing_of_those_before_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
