#include "support/cell_world.h"
#include "support/test.h"

#define CELLS 3
#define WORKERS 4
/* CPU shares of an instance that meets half of the need of planning for these
 * few workers, and of a fully able one. */
#define WEAK_MILLI 9
#define STRONG_MILLI 500
/* The loss of a planner is noticed after a second; its successor then reads. */
#define TAKEOVER_MS 4000

/*
 * A data centre is cut off from the others and from the store, and comes back.
 * Its daemons have not heard the planner for seconds, through no fault of the
 * planner's: if they claimed as soon as the store answers again, each
 * partition would end with a takeover, and all urgent jobs would wait for it.
 * A job's row is written at once, while the feed of the claim still hangs on a
 * connection from before.
 */
static void
test_daemon_back_from_a_cut_claims_nothing (void **state)
{
  (void) state;
  for (int64_t cut_ms = 1500; cut_ms < 6000; cut_ms += 100)
    {
      World *world = world_new (CELLS, WORKERS);
      uint32_t planner = world_planner (world);
      uint32_t other = (planner + 1) % CELLS;
      uint64_t version;

      world_run (world, 1000);
      version = world_claim_version (world);
      world->cell[other].isolated = true;
      world->cell[other].store = WORLD_SILENT;
      world_run (world, cut_ms);
      world->cell[other].store = WORLD_SERVES;
      (void) world_submit (world, other, world_job (1, 1, 1000), "job-a");
      world_run (world, 300);
      world->cell[other].isolated = false;
      world_run (world, 3000);
      assert_int_equal (world_claim_version (world), version);
      assert_int_equal (world_planner (world), planner);
      world_free (world);
    }
}

/*
 * The planner fails while another daemon is cut off from the store. That one
 * must still be able to claim once it is back, if no other is left.
 */
static void
test_last_daemon_claims_after_a_cut (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t last = (planner + 1) % CELLS;

  (void) state;
  world->cell[last].store = WORLD_SILENT;
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != last)
      world_cell_kill (world, i);
  world_run (world, 4000);
  world->cell[last].store = WORLD_SERVES;
  world_run (world, TAKEOVER_MS);
  assert_int_equal (world_planner (world), last);
  world_free (world);
}

static void
start_weak_alone (World *world, uint32_t weak)
{
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != weak)
      world_cell_kill (world, i);
  world->cell[weak].strength_milli = WEAK_MILLI;
  world_cell_start (world, weak);
  world_run (world, TAKEOVER_MS);
}

/*
 * All strong instances are down for a while, and a small one becomes planner.
 * When they are back it must hand over to one of them: it lacks the processor
 * to plan for all workers, and callers would be refused for good.
 */
static void
test_weak_planner_yields_to_a_strong_daemon (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  start_weak_alone (world, 0);
  assert_int_equal (world_planner (world), 0);
  world->task_ms = 4000;
  (void) world_submit (world, 0, world_job (1, 3, 1000), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 3);
  world->cell[1].strength_milli = STRONG_MILLI;
  world_cell_start (world, 1);
  world_run (world, 2000);
  assert_int_equal (world_planner (world), 1);
  world_run (world, 5000);
  assert_int_equal (world_state (world, 0, "job-a"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-a"), 3);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * Daemons of equal CPU share: none hands over to another, else the claim would
 * go round for ever.
 */
static void
test_planner_keeps_the_plan_among_equals (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t version;

  (void) state;
  world_run (world, 1000);
  version = world_claim_version (world);
  world_cell_start (world, (planner + 1) % CELLS);
  world_run (world, 5000);
  assert_int_equal (world_claim_version (world), version);
  assert_int_equal (world_planner (world), planner);
  world_free (world);
}

/*
 * The store fails for all daemons and comes back for all. Followers have heard
 * from the planner that the store fails it, which was as true of themselves;
 * if that counted as a failure of the planner alone, the first daemon served
 * again would claim, and urgent jobs would wait for a takeover when all could
 * go on.
 */
static void
test_planner_keeps_the_plan_after_an_outage_for_all (void **state)
{
  (void) state;
  for (int64_t away_ms = 1000; away_ms < 6000; away_ms += 100)
    {
      World *world = world_new (CELLS, WORKERS);
      uint32_t planner = world_planner (world);
      uint64_t version;

      world_run (world, 1000);
      version = world_claim_version (world);
      for (uint32_t i = 0; i < CELLS; i++)
        world->cell[i].store = WORLD_REFUSES;
      world_run (world, away_ms);
      for (uint32_t i = 0; i < CELLS; i++)
        world->cell[i].store = WORLD_SERVES;
      world_run (world, 3000);
      assert_int_equal (world_claim_version (world), version);
      assert_int_equal (world_planner (world), planner);
      world_free (world);
    }
}

/* A commit that goes unanswered ends after 1.5 s; then its fate is asked for,
 * and the jobs are read. */
#define CLAIM_KNOWN_MS 1800

/*
 * The planner has failed, another daemon's claim is stored and its answer
 * lost; the feed of the claim hangs as well. Nobody plans until the owner of
 * the claim learns of it: jobs must not stop for seconds longer than a
 * takeover takes.
 */
static void
test_claim_with_a_lost_answer_is_read_back (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t version;
  uint32_t plans;
  int64_t claimed_ms;

  (void) state;
  world_run (world, 1000);
  plans = world_logged (world, "planning");
  version = world_claim_version (world);
  for (uint32_t i = 0; i < CELLS; i++)
    {
      world->cell[i].commits[MUX_TABLE_CLAIM] = WORLD_LOSES_ANSWER;
      world->cell[i].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_CLAIM);
    }
  world_cell_kill (world, planner);
  while (world_claim_version (world) == version)
    world_run (world, 1);
  claimed_ms = world->now_ms;
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].commits[MUX_TABLE_CLAIM] = WORLD_SERVES;
  while (world_logged (world, "planning") == plans)
    world_run (world, 1);
  print_message ("plans %lld ms after its claim\n",
                 (long long) (world->now_ms - claimed_ms));
  assert_true (world->now_ms - claimed_ms < CLAIM_KNOWN_MS);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_daemon_back_from_a_cut_claims_nothing),
    cmocka_unit_test (test_last_daemon_claims_after_a_cut),
    cmocka_unit_test (test_weak_planner_yields_to_a_strong_daemon),
    cmocka_unit_test (test_planner_keeps_the_plan_among_equals),
    cmocka_unit_test (test_planner_keeps_the_plan_after_an_outage_for_all),
    cmocka_unit_test (test_claim_with_a_lost_answer_is_read_back),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
