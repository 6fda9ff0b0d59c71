#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Effects on jobs of a wall clock that jumps on some instances. */

#define CELLS 3
#define WORKERS 4
#define JUMP_MS 2400
#define ALL_CPU_MILLI 32000
#define KEEP_S 60
#define MS_PER_S 1000
/* Between two timer ticks of a planner's jobs, and the time of a start call. */
#define LATE_MS 120
#define LONG_JUMP_MS 30000
/* Occurrences of one job that may be running during the test, a few times
 * over. */
#define CONCURRENT_OCCURRENCES_MAX 4000
/* Each uses the whole worker. */
#define FOLLOWING_JOBS 8

static MuxJobSpec *
timed_job (const World *world, int64_t in_ms, uint32_t times, int64_t every_ms)
{
  MuxJobSpec *job = world_job (1, 1, 1000);

  job->repetitions = times;
  job->first_due_ms = WORLD_WALL_MS + world->now_ms + in_ms;
  job->interval_ms = every_ms;
  return job;
}

/* Checks that each occurrence of the job began once, no earlier than its
 * time, and no later than usual. */
static void
check_times (const World *world, int64_t first_ms, int64_t every_ms)
{
  for (uint32_t i = 0; i < world->start_count; i++)
    {
      const WorldStart *start = &world->start[i];
      int64_t due_ms = first_ms + start->task.occurrence * every_ms;

      print_message ("%u due at %lld began at %lld\n", start->task.occurrence,
                     (long long) due_ms, (long long) start->at_ms);
      assert_true (start->at_ms >= due_ms);
      assert_true (start->at_ms <= due_ms + LATE_MS);
    }
}

/* Six occurrences, a second apart, the first in @first_ms; the wall clock of
 * the planner's instance jumps in @jump_in_ms, and back three seconds later. */
static void
play_jump (int64_t first_ms, int64_t jump_in_ms, int64_t jump_ms)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  int64_t due_ms;

  world_make_urgent (world);
  world_run (world, 1000);
  world->task_ms = 200;
  due_ms = world->now_ms + first_ms;
  (void) world_submit (world, planner, timed_job (world, first_ms, 6, 1000),
                       "timed");
  world_run (world, jump_in_ms);
  world->cell[planner].clock_ahead_ms = jump_ms;
  world_run (world, 3000);
  world->cell[planner].clock_ahead_ms = 0;
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "timed"), 6);
  check_times (world, due_ms, 1000);
  world_free (world);
}

/*
 * The wall clock of the planner's instance jumps ahead and, later, back. A
 * timed job must not run seconds early, when its input is not there yet.
 */
static void
test_jump_ahead_starts_nothing_early (void **state)
{
  (void) state;
  play_jump (3000, 1500, JUMP_MS);
}

/*
 * The wall clock of the planner's instance jumps back, and forward again. A
 * timed job must not run seconds late, or several occurrences at once.
 */
static void
test_jump_back_starts_nothing_late (void **state)
{
  (void) state;
  play_jump (1000, 500, -JUMP_MS);
}

/*
 * The same in the first moments of a planner: its predecessor fails, and the
 * daemon that takes over has a wall clock that has jumped ahead. It plans
 * before any other daemon has sent it a hello.
 */
static void
test_successor_uses_the_cluster_time (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  int64_t first_ms;

  (void) state;
  world_make_urgent (world);
  world_run (world, 1000);
  world->task_ms = 200;
  first_ms = world->now_ms + 6000;
  (void) world_submit (world, planner, timed_job (world, 6000, 1, 1000),
                       "timed");
  world_run (world, 3000);
  world_cell_kill (world, planner);
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].clock_ahead_ms = JUMP_MS;
  while (world_planner (world) == planner)
    world_run (world, 1);
  for (uint32_t i = 0; i < CELLS; i++)
    world->cell[i].clock_ahead_ms = i == world_planner (world) ? JUMP_MS : 0;
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "timed"), 1);
  check_times (world, first_ms, 1000);
  world_free (world);
}

/*
 * The daemon that accepted a job has a wall clock that jumped back: the job
 * looks as old as the jump is long, too late to be of use, and must not wait
 * behind all that came after it.
 */
static void
test_job_from_a_daemon_with_slow_clock_is_not_late (void **state)
{
  World *world = world_new (CELLS, 1);
  uint32_t planner = world_planner (world);
  uint32_t other = (planner + 1) % CELLS;

  (void) state;
  world_run (world, 1000);
  world->task_ms = 400;
  world->cell[other].clock_ahead_ms = -60000;
  (void) world_submit (world, other, world_job (1, 1, ALL_CPU_MILLI), "first");
  for (uint32_t i = 0; i < FOLLOWING_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "next-%u", i);
      (void) world_submit (world, planner, world_job (1, 1, ALL_CPU_MILLI), id);
    }
  while (world->start_count < FOLLOWING_JOBS / 2)
    world_run (world, 10);
  assert_int_equal (world_starts (world, "first"), 1);
  world_free (world);
}

/*
 * The wall clock of the planner's instance jumps by more than rows of ended
 * jobs are kept. It must not remove them: a caller that queries a job that has
 * just ended would be told that there is none.
 */
static void
test_jump_removes_no_ended_job (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world->ended_retention_s = KEEP_S;
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_kill (world, i);
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_run (world, 4000);
  planner = world_planner (world);
  world->task_ms = 200;
  (void) world_submit (world, planner, world_job (1, 1, 1000), "job-a");
  world_run (world, 2000);
  assert_int_equal (world_ended_rows (world), 1);
  world->cell[planner].clock_ahead_ms = 2 * KEEP_S * MS_PER_S;
  world_run (world, KEEP_S * MS_PER_S / 2);
  assert_int_equal (world_ended_rows (world), 1);
  world_free (world);
}

/* A task must not run again after it has succeeded, as with an occurrence
 * that is not due at the successor; here the planner is alone and can't know
 * that its wall clock is ahead. */
static void
test_end_of_an_occurrence_that_a_lone_planner_began_counts (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world_cell_kill (world, i);
  world_make_urgent (world);
  world_run (world, 6000);
  world->task_ms = 300;
  world->cell[planner].clock_ahead_ms = JUMP_MS;
  (void) world_submit (world, planner,
                       timed_job (world, JUMP_MS + 500, 2, 60000), "timed");
  while (world_starts (world, "timed") == 0)
    world_run (world, 1);
  assert_true (world->start[0].at_ms < world->now_ms + JUMP_MS);
  world_cell_kill (world, planner);
  world_cell_start (world, (planner + 1) % CELLS);
  world_run (world, 8000);
  assert_int_equal (world_starts (world, "timed"), 1);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * A planner that is alone, and ahead, begins an occurrence; its successor
 * learns of one task of it and must not take the whole occurrence as begun:
 * the rest would run seconds early.
 */
static void
test_rest_of_an_occurrence_begun_early_waits_for_its_time (void **state)
{
  World *world = world_new (CELLS, 2);
  uint32_t planner = world_planner (world);
  MuxJobSpec *job;
  int64_t due_ms;

  (void) state;
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world_cell_kill (world, i);
  world_make_urgent (world);
  world_run (world, 6000);
  world->worker[1].unreachable = true;
  world_run (world, 2000);
  world->task_ms = 300;
  world->cell[planner].clock_ahead_ms = LONG_JUMP_MS;
  job = timed_job (world, LONG_JUMP_MS + 500, 2, 60000);
  job->step[0].count = 2;
  job->step[0].size.cpu_milli = ALL_CPU_MILLI;
  due_ms = world->now_ms + LONG_JUMP_MS + 500;
  (void) world_submit (world, planner, job, "timed");
  while (world_starts (world, "timed") == 0)
    world_run (world, 1);
  world_cell_kill (world, planner);
  world->worker[1].unreachable = false;
  world_cell_start (world, (planner + 1) % CELLS);
  world_run (world, due_ms - world->now_ms - 1);
  assert_int_equal (world_starts (world, "timed"), 1);
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "timed"), 2);
  assert_false (world_double_run (world));
  world_free (world);
}

/* One job has an occurrence for each of a million moments, all of them now.
 * The planner must not run out of memory, and must start other jobs. */
static void
test_job_of_a_million_occurrences_leaves_room_for_others (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  clock_t began;

  (void) state;
  world_run (world, 1000);
  world->task_ms = 200;
  (void) world_submit (world, planner, timed_job (world, 0, 1000000, 0),
                       "many");
  world_run (world, 500);
  (void) world_submit (world, planner, world_job (1, 1, 1000), "job-a");
  began = world->core_clock;
  world_run (world, 6000);
  print_message (
      "%ld ms of processor time\n",
      (long) ((world->core_clock - began) * MS_PER_S / CLOCKS_PER_SEC));
  assert_int_equal (world_starts (world, "job-a"), 1);
  assert_true (world_starts (world, "many") > 0);
  assert_true (world_starts (world, "many") < CONCURRENT_OCCURRENCES_MAX);
  world_free (world);
}

/* With this many occurrences, what is known of each does not fit into one
 * row. */
#define MANY_OCCURRENCES 1200
#define OCCURRENCE_INTERVAL_MS 10

/* A job of many occurrences, and a change of planner half way. @estimate_ms:
 * run time that its caller declares for each. */
static void
play_many_occurrences (uint32_t estimate_ms)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  MuxJobSpec *job;

  world_run (world, 1000);
  world->task_ms = 20;
  job = timed_job (world, 0, MANY_OCCURRENCES, OCCURRENCE_INTERVAL_MS);
  job->step[0].estimate_ms = estimate_ms;
  (void) world_submit (world, planner, job, "many");
  world_run (world, MANY_OCCURRENCES * OCCURRENCE_INTERVAL_MS / 2);
  world_cell_kill (world, planner);
  world_run (world, MANY_OCCURRENCES * OCCURRENCE_INTERVAL_MS / 2 + 10000);
  print_message ("%u starts\n", world_starts (world, "many"));
  assert_int_equal (world_state (world, (planner + 1) % CELLS, "many"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/*
 * A job of many occurrences must not have more progress than a row of the
 * store holds. The store would refuse the commit, and with it all others of
 * that part, ends of tasks among them (commit_refused in the log, again and
 * again): the jobs of a quarter of all callers would never end. Occurrences
 * that are done are stored as their number.
 */
static void
test_progress_of_many_occurrences_fits_into_a_row (void **state)
{
  (void) state;
  play_many_occurrences (1000);
}

/* A job must end though its first occurrences are late and are put behind
 * later ones: what is known of all in between is stored. */
static void
test_progress_of_many_late_rounds_fits_into_a_row (void **state)
{
  (void) state;
  play_many_occurrences (20);
}

/* Guards against occurrences that begin at once because the time of a later one
 * can't be held: by its interval, or by their sum. */
static void
test_occurrences_of_long_intervals_wait (void **state)
{
  static const int64_t intervals_ms[]
      = { INT64_C (7776000000), INT64_C (1) << 32, MUX_WALL_MS_MAX };

  (void) state;
  for (uint32_t i = 0; i < sizeof intervals_ms / sizeof intervals_ms[0]; i++)
    {
      World *world = world_new (CELLS, WORKERS);

      world_run (world, 1000);
      world->task_ms = 200;
      (void) world_submit (
          world, world_planner (world),
          timed_job (world, 0, i == 0 ? 4 : UINT32_MAX, intervals_ms[i]),
          "timed");
      world_run (world, 4000);
      assert_int_equal (world_starts (world, "timed"), 1);
      world_cell_kill (world, world_planner (world));
      world_run (world, 8000);
      assert_int_equal (world_starts (world, "timed"), 1);
      assert_int_equal (world_state (world, world_planner (world), "timed"),
                        MUX_JOB_ACTIVE);
      world_free (world);
    }
}

/* Guards against a job that is never accepted beside a planner of the previous
 * version, which drops one with a longer interval when it is relayed. */
static void
test_job_of_a_long_interval_is_stored_by_its_daemon (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t follower;
  uint32_t commits;
  uint64_t call;

  (void) state;
  world_run (world, 2000);
  follower = (world_planner (world) + 1) % CELLS;
  commits = world->own_commits[follower];
  call = world_submit (world, follower, timed_job (world, 0, 2, UINT32_MAX),
                       "relayed");
  world_run (world, 500);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_ACCEPTED);
  assert_int_equal (world->own_commits[follower], commits);
  call = world_submit (world, follower,
                       timed_job (world, 0, 2, INT64_C (1) << 32), "stored");
  world_run (world, 500);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_ACCEPTED);
  assert_true (world->own_commits[follower] > commits);
  world_run (world, 3000);
  assert_int_equal (world_starts (world, "relayed"), 1);
  assert_int_equal (world_starts (world, "stored"), 1);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jump_ahead_starts_nothing_early),
    cmocka_unit_test (test_jump_back_starts_nothing_late),
    cmocka_unit_test (test_successor_uses_the_cluster_time),
    cmocka_unit_test (test_job_from_a_daemon_with_slow_clock_is_not_late),
    cmocka_unit_test (test_jump_removes_no_ended_job),
    cmocka_unit_test (
        test_end_of_an_occurrence_that_a_lone_planner_began_counts),
    cmocka_unit_test (
        test_rest_of_an_occurrence_begun_early_waits_for_its_time),
    cmocka_unit_test (test_job_of_a_million_occurrences_leaves_room_for_others),
    cmocka_unit_test (test_progress_of_many_occurrences_fits_into_a_row),
    cmocka_unit_test (test_progress_of_many_late_rounds_fits_into_a_row),
    cmocka_unit_test (test_occurrences_of_long_intervals_wait),
    cmocka_unit_test (test_job_of_a_long_interval_is_stored_by_its_daemon),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
