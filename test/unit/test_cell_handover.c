#include "support/cell_world.h"
#include "support/test.h"

#include <stdlib.h>

/* A planner's term ends, in one way or another, at the moment at which some
 * workers are gone for good: long-running tasks that ran there must run again
 * in time. */

#define CELLS 3
#define WORKERS 8
/* The first workers go. */
#define GONE 4
/* CUMINMUX_LEASE_MS in deploy/system.toml. */
#define LEASE_MS 6000
/* A long-running task may be without a run for 3 s, from 6 s after its last
 * one. */
#define BACK_MS (6000 + 3000)
/* After the last order and the last lease of any predecessor. */
#define SETTLED_MS 20000
/* Most of a worker: one task on each. */
#define ALL_CPU_MILLI 30000
/* Longer than any of these tests. */
#define LASTS_MS 600000
/* Moments at which workers go, within the second that a renewal waits. */
#define PHASES_MS 1000
#define PHASE_MS 250

static World *
world_with_deployed_lease (void)
{
  World *world = world_new (CELLS, WORKERS);

  world->lease_ms = LEASE_MS;
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_run (world, SETTLED_MS);
  return world;
}

static void
drain_others (World *world, bool draining)
{
  for (uint32_t i = GONE; i < WORKERS; i++)
    world_worker_drains (world, i, draining);
}

/* One long-running task on each of half of the workers, which are gone just
 * now. */
static World *
world_with_workers_gone (int64_t phase_ms)
{
  World *world = world_with_deployed_lease ();
  MuxJobSpec *job = world_job (1, GONE, ALL_CPU_MILLI);

  job->step[0].long_running = true;
  drain_others (world, true);
  world_run (world, 500);
  world->task_ms = LASTS_MS;
  (void) world_submit (world, world_planner (world), job, "lasting");
  world_run (world, 2000 + phase_ms);
  assert_int_equal (world_starts (world, "lasting"), GONE);
  drain_others (world, false);
  for (uint32_t i = 0; i < GONE; i++)
    world->worker[i].unreachable = true;
  return world;
}

/* The last start of a task, after its loss at @gone_ms. */
static int64_t
last_back_ms (const World *world, int64_t gone_ms)
{
  int64_t last_ms = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    if (world->start[i].at_ms > gone_ms)
      last_ms = world->start[i].at_ms - gone_ms;
  return last_ms;
}

/* Return: whether all tasks ran again in time. */
static bool
are_back (World *world, int64_t gone_ms)
{
  uint32_t starts;

  world_run (world, gone_ms + BACK_MS - world->now_ms);
  starts = world_starts (world, "lasting");
  world_run (world, SETTLED_MS);
  assert_false (world_double_run (world));
  assert_int_equal (world_starts (world, "lasting"), 2 * GONE);
  print_message ("%u of %u back in time, the last after %lld ms\n",
                 starts - GONE, GONE,
                 (long long) last_back_ms (world, gone_ms));
  world_free (world);
  return starts == 2 * GONE;
}

/* The lease must not be longer than the bound leaves time for. */
static void
test_planner_that_stays_starts_lost_tasks_in_time (void **state)
{
  uint32_t late = 0;

  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      World *world = world_with_workers_gone (phase_ms);

      late += !are_back (world, world->now_ms);
    }
  assert_int_equal (late, 0);
}

static void
set_cut (World *world, uint32_t planner, bool cut)
{
  world->cell[planner].isolated = cut;
  world->cell[planner].store = cut ? WORLD_SILENT : WORLD_SERVES;
}

static bool
play_cut (int64_t phase_ms, int64_t cut_ms)
{
  World *world = world_with_workers_gone (phase_ms);
  uint32_t planner = world_planner (world);
  int64_t gone_ms = world->now_ms;

  set_cut (world, planner, true);
  world_run (world, cut_ms);
  assert_int_not_equal (world_planner (world), planner);
  set_cut (world, planner, false);
  return are_back (world, gone_ms);
}

/* Tasks must not wait for the expiry of the claim of a planner that is back
 * and whose hello shows that it sends no orders. */
static void
test_planner_cut_off_and_back_says_what_it_ordered (void **state)
{
  uint32_t late = 0;

  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      late += !play_cut (phase_ms, 2000);
      late += !play_cut (phase_ms, 5600);
    }
  assert_int_equal (late, 0);
}

/* The same after a planner that was frozen. */
static void
test_planner_frozen_and_back_says_what_it_ordered (void **state)
{
  uint32_t late = 0;

  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      World *world = world_with_workers_gone (phase_ms);
      uint32_t planner = world_planner (world);
      int64_t gone_ms = world->now_ms;

      world->cell[planner].frozen = true;
      world_run (world, 5600);
      assert_int_not_equal (world_planner (world), planner);
      world->cell[planner].frozen = false;
      late += !are_back (world, gone_ms);
    }
  assert_int_equal (late, 0);
}

static bool
play_stop (int64_t phase_ms, int64_t in_ms)
{
  World *world = world_with_workers_gone (phase_ms);
  uint32_t planner = world_planner (world);
  int64_t gone_ms = world->now_ms;

  world_run (world, in_ms);
  mux_cell_stop (world->cell[planner].cell,
                 (MuxCellTime){ world->now_ms, WORLD_WALL_MS + world->now_ms,
                                world->now_ms });
  world_run (world, 400);
  assert_true (mux_cell_stopped (world->cell[planner].cell));
  world_cell_kill (world, planner);
  assert_int_not_equal (world_planner (world), planner);
  world_run (world, 100);
  world_cell_start (world, planner);
  return are_back (world, gone_ms);
}

/* Tasks must not wait for the expiry of a claim that was released. */
static void
test_planner_that_gives_up_its_claim_orders_nothing_more (void **state)
{
  uint32_t late = 0;

  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      late += !play_stop (phase_ms, 0);
      late += !play_stop (phase_ms, 500);
    }
  assert_int_equal (late, 0);
}

/* Tasks must not wait for the longest claim lease of a planner whose instance
 * never comes back. */
static void
test_planner_gone_for_good_is_followed_by_one_that_knows_its_orders (
    void **state)
{
  uint32_t late = 0;

  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      World *world = world_with_workers_gone (phase_ms);

      world_cell_kill (world, world_planner (world));
      late += !are_back (world, world->now_ms);
    }
  assert_int_equal (late, 0);
}

/* Its claim is written once more, as by a commit that was applied late. */
static void
claim_again (World *world)
{
  char *text = world_row_text (world, MUX_TABLE_CLAIM, "claim");

  world_put_row (world, MUX_TABLE_CLAIM, "", "claim", text);
  free (text);
}

/* A planner must not wait for the expiry of its own claim. */
static void
test_planner_that_claims_again_knows_its_own_orders (void **state)
{
  uint32_t late = 0;

  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      World *world = world_with_workers_gone (phase_ms);
      uint32_t planner = world_planner (world);
      int64_t gone_ms = world->now_ms;
      uint32_t began = world_logged (world, "planner_began");

      claim_again (world);
      world_run (world, 500);
      assert_int_equal (world_planner (world), planner);
      assert_int_equal (world_logged (world, "planner_began"), began + 1);
      late += !are_back (world, gone_ms);
    }
  assert_int_equal (late, 0);
}

/* The workers are reachable from a planner that is cut off from everything
 * else, and from nobody once it is back. */
static World *
world_with_workers_of_the_planner (int64_t phase_ms, uint32_t *planner)
{
  World *world = world_with_workers_gone (phase_ms);

  *planner = world_planner (world);
  for (uint32_t i = 0; i < GONE; i++)
    world->worker[i].unreachable = false;
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].unreachable_workers = i != *planner ? GONE : 0;
  world->cell[*planner].reachable_workers = GONE;
  set_cut (world, *planner, true);
  return world;
}

static void
play_cut_with_its_workers (int64_t phase_ms, int64_t cut_ms)
{
  uint32_t planner;
  World *world = world_with_workers_of_the_planner (phase_ms, &planner);

  world_run (world, cut_ms);
  assert_int_not_equal (world_planner (world), planner);
  for (uint32_t i = 0; i < GONE; i++)
    world->worker[i].unreachable = true;
  set_cut (world, planner, false);
  (void) are_back (world, world->now_ms);
}

/* What a predecessor says when it is back must not make leases that it
 * renewed while it was cut off count as expired too early. */
static void
test_planner_cut_off_with_its_workers_counts_its_last_renewal (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    for (int64_t cut_ms = 2000; cut_ms <= 8000; cut_ms += 2000)
      play_cut_with_its_workers (phase_ms, cut_ms);
}

/* A row of another writer without a holder must not pass for a released
 * claim. */
static void
test_claim_that_another_writer_empties_is_not_given_up (void **state)
{
  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    {
      uint32_t planner;
      World *world = world_with_workers_of_the_planner (phase_ms, &planner);

      world_put_row (world, MUX_TABLE_CLAIM, "", "claim",
                     "{\"name\":\"\",\"addr\":\"\",\"incarnation\":0,"
                     "\"gave_up\":1,\"former_ms\":0}");
      world_run (world, SETTLED_MS);
      assert_false (world_double_run (world));
      world_free (world);
    }
}

/* The store fails for all for @out_ms, serves the others again, and the
 * planner is killed @after_ms later, at the moment at which its workers are
 * cut off. */
static bool
is_twice_after_outage (int64_t out_ms, int64_t after_ms)
{
  World *world = world_with_workers_gone (0);
  uint32_t planner = world_planner (world);
  bool twice;

  for (uint32_t i = 0; i < GONE; i++)
    world->worker[i].unreachable = false;
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].store = WORLD_SILENT;
  world_run (world, out_ms);
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].store = i == planner ? WORLD_SILENT : WORLD_SERVES;
  world_run (world, after_ms);
  assert_int_equal (world_planner (world), planner);
  for (uint32_t i = 0; i < GONE; i++)
    world->worker[i].unreachable = true;
  world_cell_kill (world, planner);
  world_run (world, SETTLED_MS);
  twice = world_double_run (world);
  if (twice)
    print_message ("twice: outage of %lld ms, killed %lld ms later\n",
                   (long long) out_ms, (long long) after_ms);
  world_free (world);
  return twice;
}

/* A successor must not assume the short claim lease if its own hellos let the
 * planner extend its claim until a moment ago. */
static void
test_planner_that_ordered_through_an_outage_is_waited_for (void **state)
{
  uint32_t twice = 0;

  (void) state;
  for (int64_t out_ms = 3000; out_ms <= 7000; out_ms += 1000)
    for (int64_t after_ms = 200; after_ms <= 600; after_ms += 200)
      twice += is_twice_after_outage (out_ms, after_ms);
  assert_int_equal (twice, 0);
}

/* CPU shares of an instance that meets half of the need of planning for these
 * few workers, and of a fully able one. */
#define WEAK_MILLI 9
#define STRONG_MILLI 1000

/* The store refuses a weak planner's handover; then that planner stops, and
 * does not learn that its claim was released.
 *
 * Return: calls to workers since. */
static uint32_t
calls_after_stop (int64_t phase_ms, int64_t in_ms)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, WORKERS, ALL_CPU_MILLI);
  uint64_t version;
  uint32_t calls;

  job->step[0].long_running = true;
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_kill (world, i);
  world->cell[0].strength_milli = WEAK_MILLI;
  world_cell_start (world, 0);
  world_run (world, SETTLED_MS);
  assert_int_equal (world_planner (world), 0);
  world->task_ms = LASTS_MS;
  (void) world_submit (world, 0, job, "job");
  world_run (world, 2000 + phase_ms);
  assert_int_equal (world_starts (world, "job"), WORKERS);
  world->store_ms = 60;
  world->cell[0].commits[MUX_TABLE_CLAIM] = WORLD_REFUSES;
  world->cell[1].strength_milli = STRONG_MILLI;
  world_cell_start (world, 1);
  world_run (world, in_ms);
  world->cell[0].commits[MUX_TABLE_CLAIM] = WORLD_LOSES_ANSWER;
  world->cell[0].hanging_feeds
      = WORLD_FEED_BIT (MUX_TABLE_CLAIM) | WORLD_FEED_BIT (MUX_TABLE_JOBS);
  world->cell[0].isolated = true;
  version = world_claim_version (world);
  mux_cell_stop (world->cell[0].cell,
                 (MuxCellTime){ world->now_ms, WORLD_WALL_MS + world->now_ms,
                                world->now_ms });
  assert_int_not_equal (world_claim_version (world), version);
  calls = world->worker_calls[0];
  world_run (world, 2000);
  calls = world->worker_calls[0] - calls;
  if (calls != 0)
    print_message ("stopped after %lld ms: %u calls\n", (long long) in_ms,
                   calls);
  world_free (world);
  return calls;
}

/* A planner must send no orders after the row by which it released its claim,
 * though an earlier attempt to do so was refused. */
static void
test_planner_that_yields_and_stops_orders_nothing_more (void **state)
{
  uint32_t calls = 0;

  (void) state;
  for (int64_t phase_ms = 0; phase_ms < PHASES_MS; phase_ms += PHASE_MS)
    for (int64_t in_ms = 200; in_ms <= 300; in_ms += 20)
      calls += calls_after_stop (phase_ms, in_ms);
  assert_int_equal (calls, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_planner_that_stays_starts_lost_tasks_in_time),
    cmocka_unit_test (test_planner_cut_off_and_back_says_what_it_ordered),
    cmocka_unit_test (test_planner_frozen_and_back_says_what_it_ordered),
    cmocka_unit_test (test_planner_that_gives_up_its_claim_orders_nothing_more),
    cmocka_unit_test (
        test_planner_gone_for_good_is_followed_by_one_that_knows_its_orders),
    cmocka_unit_test (test_planner_that_claims_again_knows_its_own_orders),
    cmocka_unit_test (
        test_planner_cut_off_with_its_workers_counts_its_last_renewal),
    cmocka_unit_test (test_claim_that_another_writer_empties_is_not_given_up),
    cmocka_unit_test (
        test_planner_that_ordered_through_an_outage_is_waited_for),
    cmocka_unit_test (test_planner_that_yields_and_stops_orders_nothing_more),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
