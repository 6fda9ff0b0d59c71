#include "support/speed_play.h"
#include "support/test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Speeds of workers that are stored for the next planner, in good days and bad.
 */

#define ROWS CELL_SPEED_ROWS
#define LEARN_MS 30000
/* A takeover, and the read of the rows behind it. */
#define TAKEOVER_MS 6000
/* The same with reads that failed. */
#define READ_AGAIN_MS 12000
#define ENTRY_LEN 20

static const char *const row_key[ROWS] = { "s0", "s1", "s2", "s3" };

static SpeedPlay
learned (uint64_t seed)
{
  SpeedPlay play = speed_play_new (seed, true);

  speed_play_load (&play, LEARN_MS);
  assert_int_equal (speed_play_misjudged (&play), 0);
  return play;
}

static void
take_over (SpeedPlay *play)
{
  uint32_t before = world_planner (play->world);

  world_cell_kill (play->world, before);
  world_run (play->world, TAKEOVER_MS);
  assert_int_not_equal (world_planner (play->world), before);
  world_cell_start (play->world, before);
}

/* Return: workers of which the planner knows something. */
static uint32_t
known (const SpeedPlay *play)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < SPEED_WORKERS; i++)
    count += speed_play_worker (play, i)->speed.runs > 0;
  return count;
}

/* Return: bytes of all rows. */
static size_t
stored_bytes (const SpeedPlay *play)
{
  size_t sum = 0;

  for (uint32_t i = 0; i < ROWS; i++)
    {
      char *text = world_row_text (play->world, MUX_TABLE_SPEEDS, row_key[i]);

      sum += text != NULL ? strlen (text) : 0;
      free (text);
    }
  return sum;
}

/* Guards against a new planner that learns all speeds anew. */
static void
test_next_planner_knows_the_speeds (void **state)
{
  SpeedPlay play = learned (1);

  (void) state;
  take_over (&play);
  speed_play_print (&play, "taken over");
  assert_int_equal (speed_play_misjudged (&play), 0);
  assert_int_equal (known (&play), SPEED_WORKERS);
  world_free (play.world);
}

/* Guards against stored speeds that take more than some bytes of each worker,
 * or that are written all the time. */
static void
test_rows_are_short_and_seldom_written (void **state)
{
  SpeedPlay play = learned (2);
  uint32_t version_count = 0;
  uint64_t version = 0;
  size_t bytes = stored_bytes (&play);

  (void) state;
  print_message ("%zu bytes for %u workers\n", bytes, SPEED_WORKERS);
  assert_true (bytes >= SPEED_WORKERS * ENTRY_LEN / 2);
  assert_true (bytes <= SPEED_WORKERS * ENTRY_LEN + ROWS * 16);
  for (uint32_t i = 0; i < 60; i++)
    {
      const WorldRow *row = world_row (play.world, MUX_TABLE_SPEEDS, "s0");

      speed_play_load (&play, 500);
      version_count += row->version != version;
      version = row->version;
    }
  print_message ("%u writes in 30 s\n", version_count);
  assert_true (version_count <= 7);
  world_free (play.world);
}

/* Guards against uniform workers whose speeds are stored, read and compared for
 * nothing. */
static void
test_uniform_speeds_are_not_stored (void **state)
{
  SpeedPlay play = speed_play_new (3, false);

  (void) state;
  speed_play_load (&play, LEARN_MS);
  assert_int_equal (stored_bytes (&play), 0);
  take_over (&play);
  assert_int_equal (world_logged (play.world, "speeds_differ"), 0);
  world_free (play.world);
}

/* Guards against rows that are missing keeping a planner from planning, or from
 * learning. */
static void
test_missing_rows_cost_only_knowledge (void **state)
{
  SpeedPlay play = learned (4);

  (void) state;
  for (uint32_t i = 0; i < ROWS; i++)
    world_remove_row (play.world, MUX_TABLE_SPEEDS, "", row_key[i]);
  take_over (&play);
  for (uint32_t i = 0; i < SPEED_WORKERS; i++)
    assert_int_equal (speed_play_milli (&play, i), 1000);
  speed_play_load (&play, LEARN_MS);
  assert_int_equal (speed_play_misjudged (&play), 0);
  world_free (play.world);
}

/* Guards against a torn row that is taken for speeds, or hides the others. */
static void
test_torn_rows_are_reported_and_the_others_used (void **state)
{
  static const char *const torn[] = { "",
                                      "{\"w\":",
                                      "{}",
                                      "{\"w\":3}",
                                      "{\"w\":\"0123\"}",
                                      "{\"w\":\"zzzzzzzzzzzzzzzzzzzz\"}",
                                      "{\"w\":\"000000000000ffffffff\"}" };

  (void) state;
  for (uint32_t i = 0; i < sizeof torn / sizeof torn[0]; i++)
    {
      SpeedPlay play = learned (5);
      uint32_t reported = world_logged (play.world, "row_unreadable");

      world_put_row (play.world, MUX_TABLE_SPEEDS, "", "s1", torn[i]);
      world_put_row (play.world, MUX_TABLE_SPEEDS, "", "s2", NULL);
      take_over (&play);
      print_message ("%s: %u of %u known\n", torn[i], known (&play),
                     SPEED_WORKERS);
      assert_true (world_logged (play.world, "row_unreadable") >= reported + 2);
      assert_true (known (&play) > 0 && known (&play) < SPEED_WORKERS);
      world_free (play.world);
    }
}

/* Guards against a store that does not take the speeds slowing anything but
 * their keeping. */
static void
test_failed_writes_cost_only_knowledge (void **state)
{
  static const WorldFault fault[]
      = { WORLD_REFUSES, WORLD_LOSES_ANSWER, WORLD_SILENT, WORLD_LATE };

  (void) state;
  for (uint32_t i = 0; i < sizeof fault / sizeof fault[0]; i++)
    {
      SpeedPlay play = speed_play_new (6, true);
      uint32_t planner = world_planner (play.world);
      char id[MUX_JOB_ID_LEN];

      play.world->late_ms = 3000;
      world_set_commits (play.world, MUX_TABLE_SPEEDS, fault[i]);
      speed_play_load (&play, LEARN_MS);
      assert_int_equal (speed_play_misjudged (&play), 0);
      assert_true (world_logged (play.world, "speeds_not_stored") > 0);
      assert_int_equal (world_planner (play.world), planner);
      world_set_commits (play.world, MUX_TABLE_SPEEDS, WORLD_SERVES);
      speed_play_load (&play, 15000);
      assert_true (stored_bytes (&play) > 0);
      take_over (&play);
      assert_int_equal (speed_play_misjudged (&play), 0);
      world_run (play.world, 20000);
      for (uint32_t j = 0; j < play.jobs; j++)
        {
          snprintf (id, sizeof id, "job-%u", j);
          assert_int_equal (world_done_by (play.world, id, play.world->now_ms),
                            SPEED_TASKS);
        }
      assert_false (world_double_run (play.world));
      world_free (play.world);
    }
}

/* Guards against a takeover that waits for the speeds: the store answers the
 * new planner until it plans, and then nothing for a while. */
static void
test_unanswered_read_delays_nothing (void **state)
{
  SpeedPlay play = learned (7);
  uint32_t before = world_planner (play.world);
  uint32_t planned = world_logged (play.world, "planning");
  uint32_t next = 1 - before;

  (void) state;
  play.world->page_rows = 1;
  world_cell_kill (play.world, before);
  while (world_logged (play.world, "planning") == planned)
    world_run (play.world, 10);
  world_run (play.world, 300);
  play.world->cell[next].store = WORLD_SILENT;
  world_run (play.world, 3000);
  assert_true (world_logged (play.world, "speeds_not_read") > 0);
  play.world->cell[next].store = WORLD_SERVES;
  world_run (play.world, READ_AGAIN_MS);
  assert_int_equal (world_planner (play.world), next);
  assert_int_equal (speed_play_misjudged (&play), 0);
  world_free (play.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_next_planner_knows_the_speeds),
    cmocka_unit_test (test_rows_are_short_and_seldom_written),
    cmocka_unit_test (test_uniform_speeds_are_not_stored),
    cmocka_unit_test (test_missing_rows_cost_only_knowledge),
    cmocka_unit_test (test_torn_rows_are_reported_and_the_others_used),
    cmocka_unit_test (test_failed_writes_cost_only_knowledge),
    cmocka_unit_test (test_unanswered_read_delays_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
