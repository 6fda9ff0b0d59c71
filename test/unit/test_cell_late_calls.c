#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* Calls for one incarnation of a worker that are carried out by a later one
 * under the same id: they ask for a lease by the clock of the former one. */

#define WORKERS 2
#define CPU_MILLI 2000
/* So far the clocks of two incarnations are apart, longer than any lease. */
#define LONG_UP_MS INT64_C (20000)
/* A renewal is given up after less. */
#define GIVEN_UP_MS 2000
/* Longer than any lease and late call. */
#define ALL_OVER_MS 40000
/* Rows about late calls are removed after some 90 s. */
#define ROWS_GONE_MS 120000

typedef struct
{
  uint32_t cells;
  int64_t late_ms;     /* of the renewals */
  int64_t restart_ms;  /* from the renewals to the first restart */
  bool restarts_twice; /* and again after that is known */
  int64_t kill_ms;     /* from the start of the job to the planner's end; 0:
                          none */
  int64_t cut_ms;      /* from the start of the job to the cut */
} Play;

static World *
world_with_late_renewals (const Play *play)
{
  World *world = world_with_ids_kept (play->cells, WORKERS);

  world->task_ms = LONG_UP_MS;
  world->late_ms = play->late_ms;
  world->worker[1].unreachable = true;
  world_run (world, LONG_UP_MS);
  /* Renewals of a worker without runs are few. */
  (void) world_submit (world, world_planner (world), world_job (1, 1, 100),
                       "busy");
  world_run (world, 500);
  world->worker[0].late_renewals = true;
  world_run (world, 1100);
  return world;
}

static void
restart (World *world)
{
  world->worker[0].late_renewals = false;
  world_worker_restart (world, 0);
  world_run (world, 300);
}

/* Return: the world after the play; "job-a" was at worker 0 as it was cut. */
static World *
play_late_renewals (const Play *play)
{
  World *world = world_with_late_renewals (play);
  int64_t left_ms = play->cut_ms;

  world_run (world, play->restart_ms);
  restart (world);
  if (play->restarts_twice)
    restart (world);
  (void) world_submit (world, world_planner (world),
                       world_job (1, 1, CPU_MILLI), "job-a");
  world_run (world, 300);
  assert_int_equal (world_starts (world, "job-a"), 1);
  if (play->kill_ms != 0)
    {
      world_run (world, play->kill_ms);
      left_ms -= play->kill_ms;
      world_cell_kill (world, world_planner (world));
    }
  world_run (world, left_ms);
  world->worker[0].unreachable = true;
  world->worker[1].unreachable = false;
  return world;
}

static uint32_t
plays_with_a_double_run (Play play, int64_t late_from_ms, int64_t late_to_ms)
{
  uint32_t twice = 0;

  for (play.late_ms = late_from_ms; play.late_ms <= late_to_ms;
       play.late_ms += 500)
    {
      World *world = play_late_renewals (&play);

      world_run (world, ALL_OVER_MS);
      twice += world_double_run (world);
      assert_int_equal (world_starts (world, "job-a"), 2);
      world_free (world);
    }
  return twice;
}

/* Guards against a renewal that has no answer yet as the next incarnation
 * answers, and extends its lease later. */
static void
test_renewal_on_its_way_as_the_next_incarnation_answers (void **state)
{
  Play play = { .cells = 1, .restart_ms = 100, .cut_ms = 4000 };

  (void) state;
  assert_int_equal (plays_with_a_double_run (play, 1500, 5000), 0);
}

/* Guards against the same for the incarnation after that. */
static void
test_renewal_on_its_way_reaches_the_incarnation_after_the_next (void **state)
{
  Play play = { .cells = 1,
                .restart_ms = GIVEN_UP_MS,
                .restarts_twice = true,
                .cut_ms = 2000 };

  (void) state;
  assert_int_equal (plays_with_a_double_run (play, 4000, 6000), 0);
}

/* Guards against a successor that knows of no call of its predecessor, and
 * takes a lease as short that such a call has extended. */
static void
test_successor_knows_of_calls_before_its_first_answer (void **state)
{
  (void) state;
  for (int64_t kill_ms = 20; kill_ms < 400; kill_ms += 60)
    {
      Play play = {
        .cells = 2, .restart_ms = 100, .kill_ms = kill_ms, .cut_ms = 3500
      };

      assert_int_equal (plays_with_a_double_run (play, 1500, 4500), 0);
    }
}

/* Guards against the same where the successor never hears the worker. */
static void
test_successor_knows_of_calls_to_a_worker_that_it_never_hears (void **state)
{
  (void) state;
  for (int64_t kill_ms = 100; kill_ms < 900; kill_ms += 100)
    {
      Play play = {
        .cells = 2, .restart_ms = 100, .kill_ms = kill_ms, .cut_ms = kill_ms
      };

      assert_int_equal (plays_with_a_double_run (play, 2500, 14500), 0);
    }
}

/* Time from the cut of worker 0 until its task runs elsewhere. */
static int64_t
time_to_run_elsewhere (bool restarted, uint32_t cells, bool takeover)
{
  Play play = { .cells = cells, .late_ms = 2 * LONG_UP_MS, .restart_ms = 100 };
  World *world = world_with_late_renewals (&play);
  int64_t cut_ms;
  int64_t took_ms;

  world->worker[0].late_renewals = false;
  if (restarted)
    world_worker_restart (world, 0);
  world_run (world, 3000);
  (void) world_submit (world, world_planner (world),
                       world_job (1, 1, CPU_MILLI), "job-a");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world->worker[0].unreachable = true;
  world->worker[1].unreachable = false;
  if (takeover)
    world_cell_kill (world, world_planner (world));
  cut_ms = world->now_ms;
  while (world_starts (world, "job-a") == 1
         && world->now_ms < cut_ms + ALL_OVER_MS)
    world_run (world, 10);
  took_ms = world->now_ms - cut_ms;
  world_free (world);
  return took_ms;
}

/* A lease of 4 s on a slow clock, its margin, and the next pass. */
#define LEASE_OVER_MS 5000
/* The same after the claim of a planner that was killed, 2.5 s, and a
 * takeover. */
#define TAKEOVER_OVER_MS 8000

/* Guards against waiting for late calls where no incarnation has ended. */
static void
test_worker_that_never_restarted_is_waited_for_no_longer (void **state)
{
  (void) state;
  assert_true (time_to_run_elsewhere (false, 1, false) < LEASE_OVER_MS);
  assert_true (time_to_run_elsewhere (false, 2, true) < TAKEOVER_OVER_MS);
}

/* Guards against waiting forever, or longer than such a call and the longest
 * lease can last. */
static void
test_task_runs_elsewhere_once_no_call_can_come (void **state)
{
  int64_t most_ms = 15000 + 10400 + LEASE_OVER_MS;

  (void) state;
  assert_in_range (time_to_run_elsewhere (true, 1, false), 10000, most_ms);
  assert_in_range (time_to_run_elsewhere (true, 2, true), 10000, most_ms);
}

static const WorldRow *
late_row (const World *world)
{
  char key[MUX_ROW_NAME_LEN];

  snprintf (key, sizeof key, "%s~late", world->worker[0].info.id);
  return world_row (world, MUX_TABLE_ROSTER, key);
}

/* Guards against rows about late calls that stay in the roster for good. */
static void
test_rows_about_late_calls_are_removed (void **state)
{
  Play play = { .cells = 1, .late_ms = 3000, .restart_ms = 100 };
  World *world = world_with_late_renewals (&play);

  (void) state;
  restart (world);
  world_run (world, 500);
  assert_non_null (late_row (world));
  world->worker[1].unreachable = false;
  world_run (world, ROWS_GONE_MS);
  assert_null (late_row (world));
  world_free (world);
}

/* Guards against a row that can't be read: it counts as any call that a
 * predecessor can have sent, and harms nothing else. */
static void
test_row_about_late_calls_that_is_unreadable (void **state)
{
  static const char *const values[]
      = { "{}", "{\"late\":[[1]]}", "{\"late\":[[1,99999999999999]]}", NULL };

  (void) state;
  for (uint32_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      World *world = world_with_ids_kept (2, WORKERS);
      char key[MUX_ROW_NAME_LEN];

      snprintf (key, sizeof key, "%s~late", world->worker[0].info.id);
      world_put_row (world, MUX_TABLE_ROSTER, "", key, values[i]);
      world_put_row (world, MUX_TABLE_ROSTER, "", "~late", "{}");
      world_cell_kill (world, world_planner (world));
      world_run (world, 6000);
      (void) world_submit (world, world_planner (world),
                           world_job (1, 4, CPU_MILLI), "job-a");
      world_run (world, 8000);
      assert_int_equal (world_state (world, world_planner (world), "job-a"),
                        MUX_JOB_COMPLETED);
      assert_int_equal (world_starts (world, "job-a"), 4);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_renewal_on_its_way_as_the_next_incarnation_answers),
    cmocka_unit_test (
        test_renewal_on_its_way_reaches_the_incarnation_after_the_next),
    cmocka_unit_test (test_successor_knows_of_calls_before_its_first_answer),
    cmocka_unit_test (
        test_successor_knows_of_calls_to_a_worker_that_it_never_hears),
    cmocka_unit_test (test_worker_that_never_restarted_is_waited_for_no_longer),
    cmocka_unit_test (test_task_runs_elsewhere_once_no_call_can_come),
    cmocka_unit_test (test_rows_about_late_calls_are_removed),
    cmocka_unit_test (test_row_about_late_calls_that_is_unreadable),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
