#include "src/cell/attempts.h"
#include "src/cell/progress_split.h"
#include "src/cell/stage_tasks.h"
#include "src/cell/token.h"
#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Failed runs in the store, at their largest: a failure that a row loses is an
 * attempt beyond those of the queue. */

#define CELLS 2
#define WORKERS 4
#define JOB "job-a"
/* No worker has so much. */
#define NEVER_CPU_MILLI 70000
#define WIDE_TASKS 4096
/* Of which the progress fits into one row. */
#define FEW_TASKS 36
#define ROUNDS 3
#define ATTEMPTS 4000000000U
/* Ranges of failed runs that are stored of a task. */
#define RANGES 48
#define FIRST_RUN 2000000000U

static World *
new_world (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_skip_approval (world);
  world_set_attempts (world, ATTEMPTS);
  world_run (world, 1000);
  return world;
}

/* All attempts but one are used, with the longest numbers that there are. */
static void
set_failed_runs (MuxFailedRuns *failed, uint32_t number)
{
  failed->count = ATTEMPTS - 1;
  failed->closed_through = FIRST_RUN - 2;
  for (uint32_t i = 0; i < RANGES; i++)
    {
      MuxRunRange range = { .first = FIRST_RUN + 3 * i + number,
                            .last = FIRST_RUN + 3 * i + 1 + number };

      assert_true (mux_failed_runs_append (failed, range));
    }
}

static bool
has_failed_runs (const MuxFailedRuns *failed, uint32_t number)
{
  MuxFailedRuns expected = { .count = 0 };
  bool same;

  set_failed_runs (&expected, number);
  same = failed->count == expected.count
         && failed->closed_through == expected.closed_through
         && failed->range_count == expected.range_count
         && memcmp (failed->range, expected.range,
                    RANGES * sizeof *expected.range)
                == 0;
  mux_failed_runs_clear (&expected);
  return same;
}

/* A number that differs between the job's tasks and gangs. */
static uint32_t
number_of (const CellStage *stage, uint32_t index)
{
  return (stage->occurrence * MUX_STEP_TASKS_MAX + index) * 2;
}

static void
fail_stage (MuxCell *cell, CellStage *stage)
{
  if (stage->spec->gang)
    {
      set_failed_runs (&stage->failures, number_of (stage, 0));
      cell_attempts_read (cell, stage->job, &stage->failures);
      return;
    }
  for (uint32_t i = 0; i < stage->spec->count; i++)
    {
      CellTask *task = cell_task_get (cell, stage, i);

      set_failed_runs (&task->failures, number_of (stage, i));
      cell_attempts_read (cell, stage->job, &task->failures);
    }
}

static void
assert_failed (const CellStage *stage)
{
  if (stage->spec->gang)
    assert_true (has_failed_runs (&stage->failures, number_of (stage, 0)));
  for (uint32_t i = 0; i < stage->spec->count && !stage->spec->gang; i++)
    assert_true (has_failed_runs (&cell_task_view (stage, i)->failures,
                                  number_of (stage, i)));
}

static CellJob *
planned_job (const World *world)
{
  return cell_job_find (world->cell[world_planner (world)].cell, JOB);
}

static void
replace_planner (World *world)
{
  uint32_t planner = world_planner (world);

  world_cell_kill (world, planner);
  while (world_planner (world) == planner
         || world_planner (world) == WORLD_CELLS_MAX)
    world_run (world, 10);
  world_cell_start (world, planner);
  world_run (world, 20000);
}

/* Stores the failures, twice by two planners, and reads them again. */
static void
assert_failures_survive (World *world, MuxJobSpec *spec, bool is_split)
{
  MuxCell *cell = world->cell[world_planner (world)].cell;
  CellJob *job;

  (void) world_submit (world, world_planner (world), spec, JOB);
  world_run (world, 2000);
  job = planned_job (world);
  assert_non_null (job);
  for (uint32_t i = 0; i < job->stage_count; i++)
    fail_stage (cell, job->stage[i]);
  for (uint32_t planner = 0; planner < 3; planner++)
    {
      cell_job_mark_dirty (world->cell[world_planner (world)].cell, job);
      world_run (world, 20000);
      assert_false (job->dirty);
      assert_int_equal (job->split.stored, is_split);
      assert_true (job->marked_row_stored);
      replace_planner (world);
      job = planned_job (world);
      assert_non_null (job);
      assert_false (job->failed);
      for (uint32_t i = 0; i < job->stage_count; i++)
        assert_failed (job->stage[i]);
    }
  assert_int_equal (world->rejected_commits, 0);
  world_free (world);
}

static void
test_failures_survive_in_one_row (void **state)
{
  (void) state;
  assert_failures_survive (new_world (),
                           world_job (1, FEW_TASKS, NEVER_CPU_MILLI), false);
}

static void
test_failures_survive_in_several_rows (void **state)
{
  (void) state;
  assert_failures_survive (new_world (),
                           world_job (1, WIDE_TASKS, NEVER_CPU_MILLI), true);
}

static void
test_failures_of_a_gang_survive (void **state)
{
  MuxJobSpec *job = world_job (1, 2, NEVER_CPU_MILLI);

  (void) state;
  job->step[0].gang = true;
  assert_failures_survive (new_world (), job, false);
}

/* The steps of several rounds, single tasks and a gang. */
static void
test_failures_of_a_repeated_job_survive (void **state)
{
  World *world = new_world ();
  MuxJobSpec *job = world_job (2, FEW_TASKS, NEVER_CPU_MILLI);

  (void) state;
  job->step[1].gang = true;
  job->step[1].after = 0;
  job->repetitions = ROUNDS;
  job->first_due_ms = WORLD_WALL_MS + world->now_ms;
  job->interval_ms = 100;
  assert_failures_survive (world, job, true);
}

static void
add_losses (CellTask *task)
{
  for (uint32_t i = 0; i < CELL_LOSSES_MAX; i++)
    {
      CellLoss *loss = cell_loss_add (task);

      assert_non_null (loss);
      *loss = (CellLoss){ .run = UINT32_MAX,
                          .outcome_unknown = true,
                          .from_predecessor = true,
                          .ran_ms = INT64_MAX / 2,
                          .at_wall_ms = MUX_WALL_MS_MAX };
      memset (loss->worker, 1, sizeof loss->worker - 1);
      loss->worker[0] = (char) (2 + i);
      loss->worker[1] = (char) (2 + task->index % 8);
      memset (loss->addr, 1, sizeof loss->addr - 1);
    }
}

/* All that is stored of eight tasks and their gang, with texts of which each
 * byte has to be escaped, must fit into a row. */
static void
test_largest_row_of_tasks_fits (void **state)
{
  World *world = new_world ();
  MuxCell *cell = world->cell[world_planner (world)].cell;
  MuxJobSpec *spec = world_job (1, WIDE_TASKS, NEVER_CPU_MILLI);
  char checkpoint[CELL_SHORT_TOKEN_LEN];
  CellStage *stage;
  size_t bytes;
  json_t *json;

  (void) state;
  (void) world_submit (world, world_planner (world), spec, JOB);
  world_run (world, 2000);
  stage = planned_job (world)->stage[0];
  memset (checkpoint, 1, sizeof checkpoint);
  fail_stage (cell, stage);
  set_failed_runs (&stage->failures, 0);
  cell_attempts_read (cell, stage->job, &stage->failures);
  for (uint32_t i = 0; i < 8; i++)
    {
      CellTask *task = cell_task_get (cell, stage, i);

      add_losses (task);
      task->checkpoint = mux_blob_new (checkpoint, CELL_SHORT_TOKEN_LEN - 2);
    }
  json = cell_split_tasks_json (stage, 0);
  bytes = json_dumpb (json, NULL, 0, JSON_COMPACT);
  print_message ("%zu bytes\n", bytes);
  assert_true (bytes <= CELL_ROW_BYTES_MAX);
  json_decref (json);
  for (uint32_t i = 0; i < 8; i++)
    {
      CellTask *task = cell_task_get (cell, stage, i);

      mux_blob_unref (task->checkpoint);
      task->checkpoint = NULL;
    }
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failures_survive_in_one_row),
    cmocka_unit_test (test_failures_survive_in_several_rows),
    cmocka_unit_test (test_failures_of_a_gang_survive),
    cmocka_unit_test (test_failures_of_a_repeated_job_survive),
    cmocka_unit_test (test_largest_row_of_tasks_fits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
