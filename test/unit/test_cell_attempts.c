#include "src/cell/cell_types.h"
#include "support/cell_world.h"
#include "support/random.h"
#include "support/test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Attempts of a queue: a task that fails is started again until they are used,
 * and no further. */

#define CELLS 3
#define WORKERS 6
#define JOB "job-a"
#define TASK_MS 20
/* Failed runs that the previous version tells apart. */
#define LISTED_MAX 16
#define MANY_ATTEMPTS 60
/* A takeover, and waiting for workers that were not heard from. */
#define TAKEOVER_MS 20000

static World *
new_world (uint32_t attempts)
{
  World *world = world_new (CELLS, WORKERS);

  world_skip_approval (world);
  world_set_attempts (world, attempts);
  world->task_ms = TASK_MS;
  world_run (world, 1000);
  return world;
}

static void
set_failing (World *world, bool fails)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].fails = fails;
}

/* Runs the world until the job has had @starts. */
static void
run_to_starts (World *world, uint32_t starts)
{
  for (uint32_t i = 0; i < 60000 && world_starts (world, JOB) < starts; i++)
    world_run (world, 2);
  assert_int_equal (world_starts (world, JOB), starts);
}

static uint32_t
other_than (uint32_t cell)
{
  return (cell + 1) % CELLS;
}

static void
kill_planner (World *world)
{
  uint32_t planner = world_planner (world);

  world_cell_kill (world, planner);
  world_run (world, TAKEOVER_MS);
  world_cell_start (world, planner);
  world_run (world, 1000);
}

/* Sets whether half of the workers can be reached. */
static void
set_reachable_half (World *world, bool reachable)
{
  for (uint32_t i = 0; i < WORKERS; i += 2)
    world->worker[i].unreachable = !reachable;
}

static uint32_t
failed_runs (const World *world)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += strcmp (world->start[i].task.job, JOB) == 0
         && world->start[i].ended_ms != 0
         && world->start[i].end == MUX_RUN_FAILED;
  return n;
}

static MuxJobSpec *
gang (uint32_t tasks)
{
  MuxJobSpec *job = world_job (1, tasks, 1000);

  job->step[0].gang = true;
  return job;
}

/* The job is given up after a number of attempts other than its queue's. */
static void
test_all_attempts_are_used (void **state)
{
  static const uint32_t attempts[] = { 1, 2, 15, 16, 17, 40, 200 };

  (void) state;
  for (size_t i = 0; i < sizeof attempts / sizeof attempts[0]; i++)
    {
      World *world = new_world (attempts[i]);

      set_failing (world, true);
      (void) world_submit (world, 0, world_job (1, 1, 1000), JOB);
      world_run (world, 1000 * (1 + (int64_t) attempts[i]));
      assert_int_equal (world_starts (world, JOB), attempts[i]);
      assert_int_equal (world_state (world, 0, JOB), MUX_JOB_FAILED);
      assert_int_equal (world->cell[world_planner (world)].cell->failure_bytes,
                        0);
      world_free (world);
    }
}

/* A job whose next run ends well is given up, as more runs have failed than
 * were told apart. */
static void
test_job_that_fails_more_often_than_listed_completes (void **state)
{
  World *world = new_world (UINT32_MAX);

  (void) state;
  set_failing (world, true);
  (void) world_submit (world, 0, world_job (1, 1, 1000), JOB);
  run_to_starts (world, MANY_ATTEMPTS);
  set_failing (world, false);
  world_run (world, 3000);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_COMPLETED);
  assert_true (world_starts (world, JOB) <= MANY_ATTEMPTS + 1);
  world_free (world);
}

/* A gang counts its failures as a whole, also beyond those that are listed. */
static void
test_gang_uses_all_attempts (void **state)
{
  World *world = new_world (LISTED_MAX + 4);

  (void) state;
  set_failing (world, true);
  (void) world_submit (world, 0, gang (2), JOB);
  world_run (world, 60000);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_FAILED);
  assert_int_equal (world_starts (world, JOB), 2 * (LISTED_MAX + 4));
  world_free (world);
}

/* All runs fail; a successor hears from half of the workers first, and from the
 * others before their leases are over: no attempt more or less. */
static void
test_failures_heard_of_late_in_a_takeover_count (void **state)
{
  static const uint32_t attempts[] = { 17, 120 };

  (void) state;
  for (size_t i = 0; i < sizeof attempts / sizeof attempts[0]; i++)
    {
      World *world = new_world (attempts[i]);
      uint32_t planner = world_planner (world);

      set_failing (world, true);
      world->task_ms = 4;
      world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
      (void) world_submit (world, other_than (planner), world_job (1, 1, 1000),
                           JOB);
      run_to_starts (world, attempts[i] - 2);
      world_cell_kill (world, planner);
      world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
      set_reachable_half (world, false);
      while (world_planner (world) == planner)
        world_run (world, 10);
      world_run (world, 1000);
      set_reachable_half (world, true);
      world_run (world, 40000);
      assert_int_equal (world_starts (world, JOB), attempts[i]);
      assert_int_equal (world_state (world, world_planner (world), JOB),
                        MUX_JOB_FAILED);
      world_free (world);
    }
}

/* Some worker lists a failed run of the first task that was started. */
static void
list_end (World *world, uint32_t number)
{
  WorldWorker *worker = &world->worker[0];

  while (worker < &world->worker[WORKERS - 1]
         && worker->run_end == worker->run_capacity)
    worker++;
  assert_true (worker->run_end < worker->run_capacity);
  worker->run[worker->run_end++] = (WorldRun){ .used = true,
                                               .task = world->start[0].task,
                                               .run = number,
                                               .takes_ms = 1,
                                               .number = ++worker->next_end,
                                               .end = MUX_RUN_FAILED };
}

/* A worker lists the end of a run with the highest number that it can name: the
 * next runs of the task would get numbers that are given already, and their
 * failures not count. */
static void
test_run_number_of_no_planner_counts_for_nothing (void **state)
{
  World *world = new_world (LISTED_MAX + 4);

  (void) state;
  set_failing (world, true);
  (void) world_submit (world, 0, world_job (1, 1, 1000), JOB);
  run_to_starts (world, 4);
  list_end (world, UINT32_MAX);
  world_run (world, 60000);
  assert_int_equal (world_starts (world, JOB), LISTED_MAX + 4);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_FAILED);
  for (uint32_t i = 1; i < world->start_count; i++)
    assert_true (world->start[i].run > world->start[i - 1].run);
  assert_int_equal (world_logged (world, "stray_end"), 1);
  world_free (world);
}

/* After the highest run number there is none for a further start, whose end
 * would not count: the job ends, as failed. */
static void
test_no_run_starts_after_the_highest_number (void **state)
{
  (void) state;
  for (uint32_t members = 1; members <= 2; members++)
    {
      World *world = new_world (UINT32_MAX);

      set_failing (world, true);
      (void) world_submit (
          world, 0, members > 1 ? gang (members) : world_job (1, 1, 1000), JOB);
      run_to_starts (world, 4 * members);
      list_end (world, INT32_MAX);
      world_run (world, 60000);
      assert_int_equal (world_state (world, 0, JOB), MUX_JOB_FAILED);
      for (uint32_t j = 0; j < world->start_count; j++)
        assert_true (world->start[j].run < INT32_MAX);
      assert_int_equal (world_logged (world, "stray_end"), 0);
      world_free (world);
    }
}

/* Planners die one after the other, some without having stored any end, so that
 * workers tell their successors of the same ends again. */
static void
test_attempts_are_counted_over_takeovers (void **state)
{
  static const uint32_t attempts[] = { 16, 17, 30, 60 };

  (void) state;
  for (size_t i = 0; i < sizeof attempts / sizeof attempts[0]; i++)
    {
      World *world = new_world (attempts[i]);
      uint32_t quarter = attempts[i] / 4;

      set_failing (world, true);
      (void) world_submit (world, other_than (world_planner (world)),
                           world_job (1, 1, 1000), JOB);
      run_to_starts (world, quarter);
      world->cell[world_planner (world)].commits[MUX_TABLE_PROGRESS]
          = WORLD_REFUSES;
      run_to_starts (world, 2 * quarter);
      kill_planner (world);
      world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
      world_run (world, 1000);
      kill_planner (world);
      world_run (world, 30000);
      assert_int_equal (failed_runs (world), attempts[i]);
      assert_int_equal (world_state (world, world_planner (world), JOB),
                        MUX_JOB_FAILED);
      assert_false (world_double_run (world));
      world_free (world);
    }
}

/* A run that failed is heard of only after later runs, by a successor: its
 * worker was out of reach, and its lease is over. */
static void
test_late_end_gives_no_attempt_beyond_the_lease (void **state)
{
  World *world = new_world (LISTED_MAX + 8);
  uint32_t lost;

  (void) state;
  set_failing (world, true);
  (void) world_submit (world, 0, world_job (1, 1, 1000), JOB);
  run_to_starts (world, LISTED_MAX + 2);
  lost = world->start[world->start_count - 1].worker;
  world->worker[lost].unreachable = true;
  run_to_starts (world, LISTED_MAX + 4);
  world_cell_kill (world, world_planner (world));
  world->worker[lost].unreachable = false;
  world_run (world, 2 * TAKEOVER_MS);
  assert_int_equal (world_state (world, world_planner (world), JOB),
                    MUX_JOB_FAILED);
  assert_in_range (world_starts (world, JOB), LISTED_MAX + 8, LISTED_MAX + 9);
  world_free (world);
}

/* The attempts of a job that has begun must not follow a later configuration
 * back: what it was accepted with holds. */
static void
test_changed_configuration_leaves_a_job_its_attempts (void **state)
{
  World *world = new_world (LISTED_MAX + 4);

  (void) state;
  set_failing (world, true);
  (void) world_submit (world, 0, world_job (1, 1, 1000), JOB);
  run_to_starts (world, 5);
  world_set_attempts (world, 2);
  run_to_starts (world, LISTED_MAX + 1);
  world_set_attempts (world, 1000);
  world_run (world, 30000);
  assert_int_equal (world_starts (world, JOB), LISTED_MAX + 4);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_FAILED);
  world_free (world);
}

static bool
is_readable_by_previous_version (const World *world)
{
  MuxFindings findings = { .count = 0 };
  char *text = world_row_text (world, MUX_TABLE_JOBS, JOB);
  json_t *json = json_loads (text, 0, NULL);
  MuxJobSpec *spec = mux_job_from_json (json, &findings);
  bool readable = spec != NULL;

  mux_job_free (spec);
  json_decref (json);
  free (text);
  return readable;
}

/* Return: failed runs of the first task in the form of the previous version. */
static size_t
listed_runs (const World *world)
{
  char *text = world_row_text (world, MUX_TABLE_PROGRESS, JOB);
  json_t *json = json_loads (text, 0, NULL);
  const json_t *stage = json_array_get (json_object_get (json, "stages"), 0);
  const json_t *pair = json_array_get (json_object_get (stage, "failures"), 0);
  size_t n = json_array_size (json_array_get (pair, 1));

  json_decref (json);
  free (text);
  return n;
}

/* A daemon of the previous version fails a job with as many failed runs as it
 * tells apart, or would start it with all attempts anew: it must read either
 * the list that it knows, or no job. */
static void
test_previous_version_reads_few_failures_or_no_job (void **state)
{
  World *world = new_world (MANY_ATTEMPTS);

  (void) state;
  set_failing (world, true);
  world->task_ms = 300;
  (void) world_submit (world, 0, world_job (1, 1, 1000), JOB);
  run_to_starts (world, LISTED_MAX);
  world_run (world, 100);
  assert_true (is_readable_by_previous_version (world));
  assert_int_equal (listed_runs (world), LISTED_MAX - 1);
  run_to_starts (world, LISTED_MAX + 1);
  world_run (world, 100);
  assert_false (is_readable_by_previous_version (world));
  kill_planner (world);
  world_run (world, 60000);
  assert_int_equal (failed_runs (world), MANY_ATTEMPTS);
  assert_int_equal (world_state (world, world_planner (world), JOB),
                    MUX_JOB_FAILED);
  assert_null (world_row (world, MUX_TABLE_JOBS, JOB));
  world_free (world);
}

/* Where a queue allows no more attempts than the previous version tells apart,
 * it reads all. */
static void
test_previous_version_reads_queues_of_few_attempts (void **state)
{
  World *world = new_world (LISTED_MAX);

  (void) state;
  set_failing (world, true);
  world->task_ms = 300;
  (void) world_submit (world, 0, world_job (1, 1, 1000), JOB);
  for (uint32_t i = 1; i <= LISTED_MAX; i++)
    {
      run_to_starts (world, i);
      assert_true (is_readable_by_previous_version (world));
    }
  world_run (world, 3000);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_FAILED);
  world_free (world);
}

/* Replaces the progress of the job by a row of another writer, and its planner
 * by one that reads it. */
static void
read_progress (World *world, const char *failures, const char *counts)
{
  const WorldRow *row = world_row (world, MUX_TABLE_JOBS, JOB);
  char text[2048];

  snprintf (text, sizeof text,
            "{\"started\":true,\"occurrences\":1,\"done\":0,\"stages\":[{"
            "\"occurrence\":0,\"step\":0,\"done\":\"0\",\"gang_failures\":[],"
            "\"failures\":%s,%s%s\"saved\":[],\"lost\":[],\"workers\":[]}]}",
            failures, counts != NULL ? "\"failure_counts\":" : "",
            counts != NULL ? counts : "");
  world_put_row (world, MUX_TABLE_PROGRESS, row->part, JOB, text);
  kill_planner (world);
}

#define NO_ROOM_CPU_MILLI 70000

/* Return: a world with a job that no worker has room for. */
static World *
world_with_waiting_job (uint32_t attempts)
{
  World *world = new_world (attempts);

  (void) world_submit (world, 0, world_job (1, 1, NO_ROOM_CPU_MILLI), JOB);
  world_run (world, 500);
  set_failing (world, true);
  return world;
}

static void
give_room (World *world)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_room (world, i, NO_ROOM_CPU_MILLI);
  world_run (world, 30000);
}

/* The failures that a daemon of the previous version has stored count. */
static void
test_rows_of_the_previous_version_are_read (void **state)
{
  World *world = world_with_waiting_job (20);

  (void) state;
  read_progress (world, "[[0,[3,1,2,9,8,7,20,21,22,23,24,25]]]", NULL);
  give_room (world);
  assert_int_equal (world_starts (world, JOB), 8);
  assert_true (world->start[0].run > 25);
  assert_int_equal (world_state (world, world_planner (world), JOB),
                    MUX_JOB_FAILED);
  world_free (world);
}

/* The same of a count with ranges, and the next run has a number above them. */
static void
test_counted_failures_are_read (void **state)
{
  World *world = world_with_waiting_job (110);

  (void) state;
  read_progress (world, "[]", "[[0,[100,50000,[50002,50003],[60000,60000]]]],");
  give_room (world);
  assert_int_equal (world_starts (world, JOB), 10);
  assert_true (world->start[0].run > 60000);
  assert_int_equal (world_state (world, world_planner (world), JOB),
                    MUX_JOB_FAILED);
  world_free (world);
}

/* As test_no_run_starts_after_the_highest_number, read by a successor. */
static void
test_stored_highest_number_starts_nothing (void **state)
{
  World *world = world_with_waiting_job (110);

  (void) state;
  read_progress (world, "[]", "[[0,[20,2147483646,[2147483647,2147483647]]]],");
  give_room (world);
  assert_int_equal (world_starts (world, JOB), 0);
  assert_int_equal (world_state (world, world_planner (world), JOB),
                    MUX_JOB_FAILED);
  world_free (world);
}

/* A count that can't be right, as another writer may leave it, counts as an
 * unreadable progress: no task starts by it. */
static void
test_bad_counts_start_nothing (void **state)
{
  static const char *const counts[] = {
    "[[0,[0,0]]],",
    "[[0,[5]]],",
    "[[0,[20,30,[30,31]]]],",
    "[[0,[20,30,[40,39]]]],",
    "[[0,[20,30,[40,41],[42,43]]]],",
    "[[0,[20,30,[40,4294967296]]]],",
    "[[0,[20,-1]]],",
    "[[0,\"20\"]],",
    "[[1,[20,30]]],",
    "[[0,[2,30,[40,42]]]],",
    "[[0,[20,2147483648]]],",
  };

  (void) state;
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      World *world = world_with_waiting_job (UINT32_MAX);

      read_progress (world, "[]", counts[i]);
      give_room (world);
      assert_int_equal (world_starts (world, JOB), 0);
      assert_int_equal (world_state (world, world_planner (world), JOB),
                        MUX_JOB_FAILED);
      world_free (world);
    }
}

#define WIDE_TASKS 4096
#define WIDE_ATTEMPTS 100000
#define RANGES 48

/* All tasks have used all attempts but one, with as many ranges as are stored
 * and the largest numbers. */
static json_t *
largest_counts (uint32_t first, uint32_t count)
{
  json_t *list = json_array ();

  for (uint32_t i = first; i < first + count; i++)
    {
      json_t *value
          = json_pack ("[i, I]", WIDE_ATTEMPTS - 1, (json_int_t) 2000000000);

      for (int j = 0; j < RANGES; j++)
        json_array_append_new (
            value, json_pack ("[I, I]", (json_int_t) 2000000002 + 4 * j,
                              (json_int_t) 2000000003 + 4 * j));
      json_array_append_new (list, json_pack ("[io]", (int) i, value));
    }
  return list;
}

static void
put_row (World *world, const char *part, const char *key, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  assert_true (strlen (text) <= WORLD_ROW_BYTES);
  world_put_row (world, MUX_TABLE_PROGRESS, part, key, text);
  free (text);
  json_decref (json);
}

static json_int_t
accepted_wall_ms (const World *world)
{
  char *text = world_row_text (world, MUX_TABLE_JOBS, JOB);
  json_t *json = json_loads (text, 0, NULL);
  json_int_t ms
      = json_integer_value (json_object_get (json, "accepted_wall_ms"));

  json_decref (json);
  free (text);
  return ms;
}

/* The widest step, of which each task has failed as often as it may but once:
 * its rows must be read and stored without a failure lost, or the tasks get
 * attempts that they have used. */
static void
test_largest_counts_of_the_widest_step_are_kept (void **state)
{
  World *world = new_world (WIDE_ATTEMPTS);
  char part[MUX_ROW_NAME_LEN];
  char key[MUX_ROW_NAME_LEN];

  (void) state;
  (void) world_submit (world, 0, world_job (1, WIDE_TASKS, NO_ROOM_CPU_MILLI),
                       JOB);
  world_run (world, 1000);
  snprintf (part, sizeof part, "%s",
            world_row (world, MUX_TABLE_JOBS, JOB)->part);
  put_row (world, part, JOB,
           json_pack ("{s:b, s:b, s:i, s:[[i, s]]}", "started", 1, "failed", 0,
                      "occurrences", 1, "open", 0, "0"));
  for (uint32_t i = 0; i < WIDE_TASKS; i += 8)
    {
      snprintf (key, sizeof key, JOB "#0.0.t%u", (unsigned) (i / 8));
      put_row (world, part, key,
               json_pack ("{s:I, s:o}", "accepted", accepted_wall_ms (world),
                          "failure_counts", largest_counts (i, 8)));
    }
  kill_planner (world);
  assert_int_equal (world->rejected_commits, 0);
  set_failing (world, true);
  give_room (world);
  assert_int_equal (world->rejected_commits, 0);
  assert_int_equal (world_state (world, world_planner (world), JOB),
                    MUX_JOB_FAILED);
  assert_in_range (world_starts (world, JOB), 1, WORKERS + 1);
  world_free (world);
}

/* Return: the ranges of failed runs of the job's first task at the planner. */
static uint32_t
planner_ranges (World *world)
{
  const MuxCell *cell = world->cell[world_planner (world)].cell;
  const CellJob *job;

  HASH_FIND_STR (cell->jobs, JOB, job);
  return job->stage[0]->task[0]->failures.range_count;
}

/* A store that takes no progress leaves so many ends with the workers that what
 * a successor has heard from a few of them does not fit into a row: it must
 * wait for the others, and neither drop failures nor give the job up. */
static void
test_scattered_failures_wait_for_their_workers (void **state)
{
  World *world = new_world (UINT32_MAX);
  uint32_t planner = world_planner (world);
  uint32_t starts;

  (void) state;
  set_failing (world, true);
  world->task_ms = 4;
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  (void) world_submit (world, other_than (planner), world_job (1, 1, 1000),
                       JOB);
  run_to_starts (world, 200);
  world_cell_kill (world, planner);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  set_reachable_half (world, false);
  while (world_planner (world) == planner)
    world_run (world, 10);
  world_run (world, 2500);
  starts = world_starts (world, JOB);
  print_message ("%u ranges after %u starts\n", planner_ranges (world), starts);
  set_reachable_half (world, true);
  set_failing (world, false);
  world->task_ms = TASK_MS;
  world_run (world, TAKEOVER_MS);
  assert_true (mux_counter_value (world->counters, MUX_COUNT_PROGRESS_HELD)
               > 0);
  assert_int_equal (world->rejected_commits, 0);
  assert_int_equal (world_state (world, world_planner (world), JOB),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_attempts_are_used),
    cmocka_unit_test (test_job_that_fails_more_often_than_listed_completes),
    cmocka_unit_test (test_gang_uses_all_attempts),
    cmocka_unit_test (test_attempts_are_counted_over_takeovers),
    cmocka_unit_test (test_failures_heard_of_late_in_a_takeover_count),
    cmocka_unit_test (test_run_number_of_no_planner_counts_for_nothing),
    cmocka_unit_test (test_no_run_starts_after_the_highest_number),
    cmocka_unit_test (test_stored_highest_number_starts_nothing),
    cmocka_unit_test (test_late_end_gives_no_attempt_beyond_the_lease),
    cmocka_unit_test (test_changed_configuration_leaves_a_job_its_attempts),
    cmocka_unit_test (test_previous_version_reads_few_failures_or_no_job),
    cmocka_unit_test (test_previous_version_reads_queues_of_few_attempts),
    cmocka_unit_test (test_rows_of_the_previous_version_are_read),
    cmocka_unit_test (test_counted_failures_are_read),
    cmocka_unit_test (test_bad_counts_start_nothing),
    cmocka_unit_test (test_largest_counts_of_the_widest_step_are_kept),
    cmocka_unit_test (test_scattered_failures_wait_for_their_workers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
