#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Handover by an impaired planner, and failures around a handover. */

#define CELLS 3
#define WORKERS 8
#define SETTLE_MS 4000
/* An impairment has to last, and then the successor reads the state. */
#define HANDOVER_MS 9000
/* Below the silence after which others claim. */
#define SLOW_MS 900
#define MINUTE_MS 60000
/* CPU share of an instance that meets half of the need of these workers. */
#define WEAK_MILLI 9
/* A normal handover: the release, the head start or the successor's jitter,
 * the claim, and reading the stored state. */
#define NO_PLANNER_MAX_MS 1500

static uint64_t
handovers (const World *world)
{
  return mux_counter_value (world->counters, MUX_COUNT_HANDOVERS_ABILITY)
         + mux_counter_value (world->counters, MUX_COUNT_HANDOVERS_LATE)
         + mux_counter_value (world->counters, MUX_COUNT_HANDOVERS_LINK);
}

static World *
settled_world (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_run (world, SETTLE_MS);
  return world;
}

/* Its process gets little time: what arrives waits, which it sees. */
static void
set_slow (World *world, uint32_t cell, bool slow)
{
  world->cell[cell].input_delay_ms = slow ? SLOW_MS : 0;
}

/* Its link is used up: what arrives waits on the way. */
static void
set_throttled (World *world, uint32_t cell, bool throttled)
{
  world->cell[cell].unseen_delay_ms = throttled ? SLOW_MS : 0;
}

static void
expect_handover (World *world,
                 uint32_t planner,
                 void (*impair) (World *, uint32_t, bool),
                 MuxCounter counter)
{
  uint32_t successor;

  impair (world, planner, true);
  world_run (world, HANDOVER_MS);
  successor = world_planner (world);
  assert_in_range (successor, 0, CELLS - 1);
  assert_int_not_equal (successor, planner);
  assert_int_equal (mux_counter_value (world->counters, counter), 1);
  /* It stays there, also once the former planner is well again. */
  world_run (world, 5000);
  impair (world, planner, false);
  world_run (world, MINUTE_MS);
  assert_int_equal (world_planner (world), successor);
  assert_int_equal (handovers (world), 1);
}

/* A planner whose process is slowed starts everything late, and the cell has
 * no other planner as long as it answers hellos. */
static void
test_slowed_planner_hands_over (void **state)
{
  World *world = settled_world ();

  (void) state;
  expect_handover (world, world_planner (world), set_slow,
                   MUX_COUNT_HANDOVERS_LATE);
  world_free (world);
}

static void
test_planner_behind_a_used_up_link_hands_over (void **state)
{
  World *world = settled_world ();

  (void) state;
  expect_handover (world, world_planner (world), set_throttled,
                   MUX_COUNT_HANDOVERS_LINK);
  world_free (world);
}

/* A former planner that is well again must be able to plan: nobody else may be
 * left. */
static void
test_recovered_planner_takes_part_like_any_member (void **state)
{
  World *world = settled_world ();
  uint32_t planner = world_planner (world);

  (void) state;
  set_slow (world, planner, true);
  world_run (world, HANDOVER_MS);
  set_slow (world, planner, false);
  world_run (world, 1000);
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world_cell_kill (world, i);
  world_run (world, SETTLE_MS);
  assert_int_equal (world_planner (world), planner);
  world_free (world);
}

/* A handover costs a second, so that one for each short delay would cost more
 * than it gains. */
static void
test_short_delay_causes_no_handover (void **state)
{
  World *world = settled_world ();
  uint32_t planner = world_planner (world);

  (void) state;
  for (uint32_t i = 0; i < 6; i++)
    {
      set_slow (world, planner, true);
      world_run (world, 2000);
      set_slow (world, planner, false);
      set_throttled (world, planner, true);
      world_run (world, 2000);
      set_throttled (world, planner, false);
      world_run (world, 4000);
    }
  assert_int_equal (world_planner (world), planner);
  assert_int_equal (handovers (world), 0);
  world_free (world);
}

/* If the load slows all daemons alike, the claim must not go round. */
static void
test_daemons_that_are_all_slow_hand_over_once_a_minute_at_most (void **state)
{
  World *world = settled_world ();

  (void) state;
  for (uint32_t i = 0; i < CELLS; i++)
    set_slow (world, i, true);
  world_run (world, 2 * MINUTE_MS);
  assert_true (handovers (world) <= 3);
  world_free (world);
}

/* Members that are late themselves see slow round trips, which must not pass
 * for a slow link of the planner. */
static void
test_late_members_are_no_sign_of_a_slow_link (void **state)
{
  World *world = settled_world ();
  uint32_t planner = world_planner (world);

  (void) state;
  for (uint32_t i = 0; i < CELLS; i++)
    set_slow (world, i, i != planner);
  world_run (world, MINUTE_MS);
  assert_int_equal (handovers (world), 0);
  assert_int_equal (world_planner (world), planner);
  world_free (world);
}

/* A successor that is as slow as the planner would plan no better. */
static void
test_slow_member_is_no_successor (void **state)
{
  World *world = settled_world ();
  uint32_t planner = world_planner (world);
  uint32_t slow = (planner + 1) % CELLS;
  uint32_t other = (planner + 2) % CELLS;

  (void) state;
  set_slow (world, slow, true);
  set_slow (world, planner, true);
  world_run (world, HANDOVER_MS);
  assert_int_equal (world_planner (world), other);
  world_free (world);
}

/* A weak daemon plans alone; then able ones arrive, and it hands over. Runs
 * until the release is written, at least from @version on. */
static World *
world_until_release (void)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t version;

  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_kill (world, i);
  world->cell[0].strength_milli = WEAK_MILLI;
  world_cell_start (world, 0);
  world_run (world, SETTLE_MS);
  assert_int_equal (world_planner (world), 0);
  version = world_claim_version (world);
  world_cell_start (world, 1);
  world_run (world, 1);
  world_cell_start (world, 2);
  for (uint32_t i = 0; i < 5000 && world_claim_version (world) == version; i++)
    world_run (world, 1);
  assert_int_equal (world_planner (world), WORLD_CELLS_MAX);
  return world;
}

/* Return: time until there is a planner that has read the stored state. */
static int64_t
time_without_planner (World *world)
{
  for (int64_t ms = 0; ms < 30000; ms += 5)
    {
      uint32_t planner = world_planner (world);

      if (planner < CELLS && !world->cell[planner].dead
          && world_fenced (world) == 4)
        return ms;
      world_run (world, 5);
    }
  fail_msg ("no planner");
  return 0;
}

static void
expect_sound (World *world)
{
  world->task_ms = 200;
  (void) world_submit (world, 0, world_job (1, 2, 1000), "job-after");
  world_run (world, 5000);
  assert_int_equal (world_starts (world, "job-after"), 2);
  assert_false (world_double_run (world));
}

/* The cell must not wait for a successor that is dead: only for its head
 * start. */
static void
test_others_claim_if_the_successor_dies (void **state)
{
  int64_t usual_ms;
  int64_t longest_ms = 0;
  World *world = world_until_release ();

  (void) state;
  usual_ms = time_without_planner (world);
  assert_in_range (world_planner (world), 1, 2);
  world_free (world);
  for (uint32_t dead = 1; dead <= 2; dead++)
    {
      int64_t ms;

      world = world_until_release ();
      world_cell_kill (world, dead);
      ms = time_without_planner (world);
      if (ms > longest_ms)
        longest_ms = ms;
      expect_sound (world);
      world_free (world);
    }
  print_message ("%lld ms, if the successor dies %lld ms\n",
                 (long long) usual_ms, (long long) longest_ms);
  assert_true (longest_ms <= NO_PLANNER_MAX_MS);
}

/* The successor is cut off from the planner, or from all daemons, once it is
 * chosen. It must claim by the row alone. */
static void
test_partition_at_a_handover_leaves_one_planner (void **state)
{
  (void) state;
  for (uint32_t cut = 0; cut < CELLS; cut++)
    {
      World *world = world_until_release ();

      world->cell[cut].isolated = true;
      assert_true (time_without_planner (world) <= NO_PLANNER_MAX_MS);
      world_run (world, 3000);
      world->cell[cut].isolated = false;
      world_run (world, 3000);
      expect_sound (world);
      world_free (world);
    }
}

/* The store does not answer the release; it carries it out late, at once, or
 * never. */
static void
play_release_unanswered (WorldFault fault, int64_t late_ms, int64_t for_ms)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t yielding;
  MuxJobSpec *job = world_job (1, 2, 1000);

  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_kill (world, i);
  world->cell[0].strength_milli = WEAK_MILLI;
  world_cell_start (world, 0);
  world_run (world, SETTLE_MS);
  world->task_ms = 20000;
  (void) world_submit (world, 0, job, "job-before");
  world_run (world, 1000);
  world->late_ms = late_ms;
  world_cell_start (world, 1);
  world_cell_start (world, 2);
  world_run (world, 600);
  world->cell[0].commits[MUX_TABLE_JOBS] = fault;
  yielding = world_logged (world, "claim_yielded");
  for (int64_t i = 0;
       i < 5000 && world_logged (world, "claim_yielded") == yielding; i++)
    world_run (world, 1);
  world_run (world, for_ms);
  world->cell[0].commits[MUX_TABLE_JOBS] = WORLD_SERVES;
  assert_true (time_without_planner (world) <= 2 * NO_PLANNER_MAX_MS);
  world_run (world, 70000);
  assert_in_range (world_planner (world), 1, 2);
  if (for_ms == 0)
    assert_int_equal (world_starts (world, "job-before"), 2);
  assert_int_equal (world_state (world, 1, "job-before"), MUX_JOB_COMPLETED);
  expect_sound (world);
  world_free (world);
}

static void
test_release_without_an_answer_leaves_one_planner (void **state)
{
  (void) state;
  for (int64_t for_ms = 0; for_ms <= 3000; for_ms += 1500)
    {
      play_release_unanswered (WORLD_SILENT, 0, for_ms);
      play_release_unanswered (WORLD_LOSES_ANSWER, 0, for_ms);
      play_release_unanswered (WORLD_REFUSES, 0, for_ms);
      for (int64_t late_ms = 1000; late_ms <= 4000; late_ms += 1000)
        play_release_unanswered (WORLD_LATE, late_ms, for_ms);
    }
}

/* While the store is slow no handover begins: no orders are sent until the
 * release is written. */
static void
test_no_handover_while_the_store_is_slow (void **state)
{
  World *world = settled_world ();
  uint32_t planner = world_planner (world);

  (void) state;
  world->store_ms = 1300;
  set_slow (world, planner, true);
  world_run (world, HANDOVER_MS);
  assert_int_equal (handovers (world), 0);
  world_free (world);
}

/* Daemons of an older version send neither need nor limits. */
static void
play_older (uint32_t older, uint32_t older_too)
{
  World *world = world_new (CELLS, WORKERS);

  for (uint32_t i = 0; i < CELLS; i++)
    {
      world_cell_kill (world, i);
      world->cell[i].link_kbps = 100000;
      world->cell[i].older_version = i == older || i == older_too;
    }
  world->cell[0].strength_milli = WEAK_MILLI;
  world_cell_start (world, 0);
  world_run (world, SETTLE_MS);
  world_cell_start (world, 1);
  world_cell_start (world, 2);
  world_run (world, HANDOVER_MS);
  expect_sound (world);
  world_cell_kill (world, world_planner (world));
  world_run (world, SETTLE_MS);
  assert_in_range (world_planner (world), 0, CELLS - 1);
  assert_false (world->cell[world_planner (world)].dead);
  assert_true (handovers (world) <= 2);
  for (uint32_t i = 0; i < CELLS; i++)
    if (world->cell[i].dead)
      world_cell_start (world, i);
  world_run (world, SETTLE_MS);
  expect_sound (world);
  world_free (world);
}

static void
test_older_version_beside_a_new_one (void **state)
{
  (void) state;
  for (uint32_t i = 0; i < CELLS; i++)
    for (uint32_t j = i; j < CELLS; j++)
      play_older (i, j);
}

/* A claim that another writer, or a later version, has filled with handovers
 * that make no sense must be read like one without. */
static void
test_malformed_handovers_are_ignored (void **state)
{
  World *world = settled_world ();

  (void) state;
  world_put_row (world, MUX_TABLE_CLAIM, "", "claim",
                 "{\"name\":\"\",\"addr\":\"\",\"incarnation\":0,"
                 "\"handovers\":[3,[],[\"a\"],[\"a\",\"whim\",5],"
                 "[\"a\",\"late\",-1],[\"\",\"late\",1],{},null,"
                 "[\"a\",\"late\",1e9],[\"a\",\"late\",99999999]]}");
  world_run (world, SETTLE_MS);
  assert_in_range (world_planner (world), 0, CELLS - 1);
  set_slow (world, world_planner (world), true);
  world_run (world, HANDOVER_MS);
  assert_int_equal (handovers (world), 1);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slowed_planner_hands_over),
    cmocka_unit_test (test_planner_behind_a_used_up_link_hands_over),
    cmocka_unit_test (test_recovered_planner_takes_part_like_any_member),
    cmocka_unit_test (test_short_delay_causes_no_handover),
    cmocka_unit_test (
        test_daemons_that_are_all_slow_hand_over_once_a_minute_at_most),
    cmocka_unit_test (test_late_members_are_no_sign_of_a_slow_link),
    cmocka_unit_test (test_slow_member_is_no_successor),
    cmocka_unit_test (test_others_claim_if_the_successor_dies),
    cmocka_unit_test (test_partition_at_a_handover_leaves_one_planner),
    cmocka_unit_test (test_release_without_an_answer_leaves_one_planner),
    cmocka_unit_test (test_no_handover_while_the_store_is_slow),
    cmocka_unit_test (test_older_version_beside_a_new_one),
    cmocka_unit_test (test_malformed_handovers_are_ignored),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
