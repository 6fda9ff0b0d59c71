#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* Candidate workers in a job's row while commits take long: when its steps
 * start, and how a successor uses the names. */

#define CELLS 3
#define WORKERS 48
#define DATA_CENTRES 3
#define TASKS 4
#define CPU_MILLI 1000
#define SLOW_STORE_MS 240
/* Answer of the policy service, a pass of the planner and the way to a worker,
 * several times over. */
#define MARGIN_MS 100
#define LONG_TASK_MS 30000

static int64_t
last_start_ms (const World *world, const char *id, uint32_t step)
{
  int64_t at_ms = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    if (strcmp (world->start[i].task.job, id) == 0
        && world->start[i].task.step == step)
      at_ms = world->start[i].at_ms;
  return at_ms;
}

/* A cell that has seen how long commits take. */
static World *
slow_world (int64_t store_ms)
{
  World *world = world_new_over (CELLS, WORKERS, DATA_CENTRES);

  world_make_urgent (world);
  world_run (world, 1000);
  world->store_ms = store_ms;
  (void) world_submit (world, world_planner (world), world_job (1, 1, 10),
                       "first");
  world_run (world, 10 * store_ms + 3000);
  return world;
}

static bool
names_workers (const World *world, const char *id)
{
  char *text = world_row_text (world, MUX_TABLE_JOBS, id);
  bool named = text != NULL && strstr (text, "\"named\":[") != NULL;

  free (text);
  return named;
}

/* There must be no second commit before the first start while a store is
 * slow: an urgent job would miss its deadline before it runs. */
static void
test_first_start_waits_for_one_slow_commit (void **state)
{
  static const int64_t store_ms[] = { 4, 40, 240 };

  (void) state;
  for (uint32_t i = 0; i < 3; i++)
    {
      World *world = slow_world (store_ms[i]);
      int64_t sent_ms = world->now_ms;
      int64_t took_ms;

      (void) world_submit (world, world_planner (world),
                           world_job (1, TASKS, CPU_MILLI), "job-a");
      world_run (world, 10 * store_ms[i] + 1000);
      assert_int_equal (world_starts (world, "job-a"), TASKS);
      took_ms = world_first_start_ms (world, "job-a") - sent_ms;
      print_message ("store %d ms a call: first start after %d ms\n",
                     (int) store_ms[i], (int) took_ms);
      /* The store applies a commit at once and answers later: the job comes
       * by the feed. */
      assert_true (took_ms <= MARGIN_MS);
      world_free (world);
    }
}

/* The same before each later step. */
static void
test_later_steps_wait_for_no_slow_commit (void **state)
{
  World *world = slow_world (SLOW_STORE_MS);

  (void) state;
  (void) world_submit (world, world_planner (world),
                       world_job (3, TASKS, CPU_MILLI), "job-a");
  world_run (world, 8000);
  for (uint32_t step = 1; step < 3; step++)
    assert_true (last_start_ms (world, "job-a", step)
                 <= last_start_ms (world, "job-a", step - 1) + world->task_ms
                        + MARGIN_MS);
  world_free (world);
}

/* No workers are named with a fast store: each takeover would wait for them,
 * and nothing be gained. */
static void
test_fast_store_names_nobody (void **state)
{
  World *world = slow_world (4);

  (void) state;
  world->task_ms = LONG_TASK_MS;
  (void) world_submit (world, world_planner (world),
                       world_job (1, TASKS, CPU_MILLI), "job-a");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  assert_false (names_workers (world, "job-a"));
  world_free (world);
}

/* The planner fails; the store is fast again, so that nothing else delays. */
static uint32_t
take_over_fast (World *world, uint32_t planner)
{
  world->store_ms = 4;
  world_cell_kill (world, planner);
  for (uint32_t i = 0; i < 4000 && world_planner (world) >= CELLS; i++)
    world_run (world, 1);
  world_run (world, 2500);
  assert_true (world_planner (world) < CELLS);
  return world_planner (world);
}

/* A task must not run twice: a start on a named worker is in no other record,
 * and the successor can't reach that worker. */
static void
test_named_worker_out_of_reach_holds_the_step (void **state)
{
  World *world = slow_world (SLOW_STORE_MS);
  uint32_t planner = world_planner (world);

  (void) state;
  world->task_ms = LONG_TASK_MS;
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  (void) world_submit (world, planner, world_job (1, TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  assert_true (names_workers (world, "job-a"));
  world->worker[world->start[world->start_count - 1].worker].unreachable = true;
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  (void) take_over_fast (world, planner);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  world_run (world, 40000);
  assert_false (world_double_run (world));
  assert_true (world_starts (world, "job-a") > TASKS);
  world_free (world);
}

/* A job that was accepted must not be lost with its planner before its first
 * start. */
static void
test_planner_lost_before_the_first_start (void **state)
{
  World *world = slow_world (SLOW_STORE_MS);
  uint32_t planner = world_planner (world);

  (void) state;
  world->approval_ms = 400;
  (void) world_submit (world, planner, world_job (2, TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, SLOW_STORE_MS);
  assert_true (names_workers (world, "job-a"));
  assert_int_equal (world_starts (world, "job-a"), 0);
  (void) take_over_fast (world, planner);
  world_run (world, 8000);
  assert_int_equal (world_starts (world, "job-a"), 2 * TASKS);
  assert_non_null (world_row (world, MUX_TABLE_ENDED, "job-a"));
  world_free (world);
}

/* A job must not wait for good for named workers that have left. */
static void
test_named_workers_all_left (void **state)
{
  World *world = slow_world (SLOW_STORE_MS);
  uint32_t planner = world_planner (world);

  (void) state;
  world->approval_ms = 400;
  (void) world_submit (world, planner, world_job (1, TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, SLOW_STORE_MS + 100);
  for (uint32_t i = 0; i < WORKERS; i++)
    if (i % DATA_CENTRES == planner % DATA_CENTRES)
      {
        world_worker_set_unlisted (world, i, true);
        world->worker[i].unreachable = true;
      }
  world_run (world, 12000);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  for (uint32_t i = 0; i < world->start_count; i++)
    if (strcmp (world->start[i].task.job, "job-a") == 0)
      assert_int_not_equal (world->start[i].worker % DATA_CENTRES,
                            planner % DATA_CENTRES);
  assert_false (world_double_run (world));
  world_free (world);
}

/* The commit of a job took effect and went unanswered: the job comes by the
 * feed, and is started once, where its row names workers. */
static void
test_commit_whose_answer_is_lost_starts_once (void **state)
{
  World *world = slow_world (SLOW_STORE_MS);
  uint32_t planner = world_planner (world);

  (void) state;
  world->cell[planner].commits[MUX_TABLE_JOBS] = WORLD_LOSES_ANSWER;
  (void) world_submit (world, planner, world_job (2, TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, 1500);
  world->cell[planner].commits[MUX_TABLE_JOBS] = WORLD_SERVES;
  world_run (world, 10000);
  assert_int_equal (world_starts (world, "job-a"), 2 * TASKS);
  assert_non_null (world_row (world, MUX_TABLE_ENDED, "job-a"));
  assert_false (world_double_run (world));
  world_free (world);
}

/* A worker that is approved but not named must be recorded before a start. */
static void
test_worker_that_is_not_named_is_recorded_first (void **state)
{
  World *world = slow_world (SLOW_STORE_MS);
  uint32_t planner = world_planner (world);

  (void) state;
  world->task_ms = LONG_TASK_MS;
  world->approval_ms = 400;
  (void) world_submit (world, planner, world_job (1, TASKS, CPU_MILLI),
                       "job-a");
  world_run (world, SLOW_STORE_MS + 100);
  for (uint32_t i = 0; i < WORKERS; i++)
    if (i % DATA_CENTRES == planner % DATA_CENTRES)
      world_worker_drains (world, i, true);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "job-a"), 0);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  world_run (world, 6000);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_start_waits_for_one_slow_commit),
    cmocka_unit_test (test_later_steps_wait_for_no_slow_commit),
    cmocka_unit_test (test_fast_store_names_nobody),
    cmocka_unit_test (test_named_worker_out_of_reach_holds_the_step),
    cmocka_unit_test (test_planner_lost_before_the_first_start),
    cmocka_unit_test (test_named_workers_all_left),
    cmocka_unit_test (test_commit_whose_answer_is_lost_starts_once),
    cmocka_unit_test (test_worker_that_is_not_named_is_recorded_first),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
