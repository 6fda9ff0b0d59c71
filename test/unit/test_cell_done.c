#include "src/cell/stage_tasks.h"
#include "support/cell_world.h"
#include "support/test.h"

#include <string.h>

/* A task that is done stays done, and counts once, whatever becomes of a later
 * run of it. */

#define CELLS 3
#define WORKERS 3
#define JOB "job-a"
/* A task takes a whole worker. */
#define WHOLE_MILLI 32000
#define TASK_MS 1000
/* By then runs at FIRST have ended, and the planner has not heard of it. */
#define CUT_MS 3000
#define LEASE_OVER_MS 15000
/* Factor of the time at the worker where the other task of the step runs. */
#define SLOW_MILLI 50

enum
{
  FIRST, /* where the task ends well */
  SLOW,  /* where another task of its step is at work */
  NEXT,  /* where the task is started again */
};

/* Two tasks, one at FIRST and one at SLOW, and a step after them. */
static World *
new_world (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_skip_approval (world);
  world->task_ms = TASK_MS;
  world->worker[SLOW].speed_milli = SLOW_MILLI;
  world_worker_room (world, NEXT, 0);
  world_run (world, 1000);
  return world;
}

static uint32_t
starts_at (const World *world, uint32_t worker)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += world->start[i].worker == worker;
  return n;
}

/* Cuts the worker off, and lets it refuse renewals later on, so that the
 * planner soon hears from it once it does not. */
static void
cut_off (World *world, uint32_t worker)
{
  world->worker[worker].unreachable = true;
  world_run (world, CUT_MS);
  world->worker[worker].unreachable = false;
  world->worker[worker].refuses_renewals = true;
}

/* Cuts FIRST off until its lease counts as over and its task is started at
 * NEXT, which has @fault. */
static void
start_again_elsewhere (World *world, WorldFault fault)
{
  uint32_t calls = world->late_refusals;

  world_run (world, 500);
  assert_int_equal (starts_at (world, FIRST), 1);
  world_worker_room (world, NEXT, WHOLE_MILLI);
  world->worker[NEXT].fault = fault;
  cut_off (world, FIRST);
  for (uint32_t ms = 0; ms < LEASE_OVER_MS && world->late_refusals == calls
                        && starts_at (world, NEXT) == 0;
       ms++)
    world_run (world, 1);
  assert_true (world->late_refusals > calls || starts_at (world, NEXT) > 0);
}

static void
assert_step_waits (World *world)
{
  world_run (world, 10000);
  assert_false (world_out_of_order (world));
  assert_int_equal (
      mux_counter_value (world->counters, MUX_COUNT_TASKS_MISCOUNTED), 0);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_ACTIVE);
  world_run (world, 3 * TASK_MS * 1000 / SLOW_MILLI);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_COMPLETED);
  assert_false (world_out_of_order (world));
}

/* The end of a run is heard while the next start of its task is under way,
 * which is refused then: the task must not run again, count twice, and let the
 * next step begin while another task is at work. */
static void
test_refused_start_leaves_a_done_task_done (void **state)
{
  World *world = new_world ();
  uint32_t starts;

  (void) state;
  (void) world_submit (world, 0, world_job (2, 2, WHOLE_MILLI), JOB);
  start_again_elsewhere (world, WORLD_REFUSES_LATE);
  world->worker[FIRST].refuses_renewals = false;
  world_run (world, 2000);
  world->worker[NEXT].fault = WORLD_SERVES;
  starts = world->start_count;
  assert_step_waits (world);
  assert_int_equal (starts, 2);
  assert_int_equal (world->start_count, 4);
  world_free (world);
}

/* The same with a start that may have been carried out. */
static void
test_unanswered_start_leaves_a_done_task_done (void **state)
{
  World *world = new_world ();

  (void) state;
  (void) world_submit (world, 0, world_job (2, 2, WHOLE_MILLI), JOB);
  start_again_elsewhere (world, WORLD_LOSES_ANSWER);
  world->worker[FIRST].refuses_renewals = false;
  world_run (world, 2000);
  world->worker[NEXT].fault = WORLD_SERVES;
  assert_step_waits (world);
  assert_int_equal (world->start_count, 5);
  world_free (world);
}

/* The later run fails after the task's end was heard: it uses no attempt of a
 * task that is done. */
static void
test_failed_run_of_a_done_task_uses_no_attempt (void **state)
{
  World *world = new_world ();

  (void) state;
  world_set_attempts (world, 1);
  world_run (world, 1000);
  world->worker[NEXT].fails = true;
  (void) world_submit (world, 0, world_job (2, 2, WHOLE_MILLI), JOB);
  start_again_elsewhere (world, WORLD_SERVES);
  /* Stops get no reply, so that the run fails by itself. */
  world->worker[NEXT].fault = WORLD_SILENT;
  world->worker[FIRST].refuses_renewals = false;
  world_run (world, 2 * TASK_MS);
  assert_int_equal (world->start[2].end, MUX_RUN_FAILED);
  world->worker[NEXT].fault = WORLD_SERVES;
  world->worker[NEXT].fails = false;
  assert_step_waits (world);
  world_free (world);
}

/* A gang is done by a member that was out of reach, while its next run is under
 * way and one start of that is refused: no member starts again, and what runs
 * is stopped. */
static void
test_gang_that_is_done_is_not_started_again (void **state)
{
  World *world = world_new (CELLS, WORKERS + 1);
  MuxJobSpec *job = world_job (1, 2, WHOLE_MILLI);
  uint32_t starts;

  (void) state;
  job->step[0].gang = true;
  world_skip_approval (world);
  world->task_ms = TASK_MS;
  world_worker_room (world, 2, 0);
  world_worker_room (world, 3, 0);
  world_run (world, 1000);
  (void) world_submit (world, 0, job, JOB);
  world_run (world, 500);
  assert_int_equal (world->start_count, 2);
  world_worker_room (world, 2, WHOLE_MILLI);
  world_worker_room (world, 3, WHOLE_MILLI);
  world->worker[3].fault = WORLD_REFUSES_LATE;
  world->worker[1].unreachable = true;
  cut_off (world, 0);
  world->worker[1].unreachable = false;
  world->worker[1].refuses_renewals = true;
  for (uint32_t ms = 0; ms < LEASE_OVER_MS && world->late_refusals == 0; ms++)
    world_run (world, 1);
  assert_true (world->late_refusals > 0);
  world->worker[0].refuses_renewals = world->worker[1].refuses_renewals = false;
  world_run (world, 100);
  starts = world->start_count;
  world_run (world, 5000);
  assert_int_equal (world->start_count, starts);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_COMPLETED);
  assert_int_equal (
      mux_counter_value (world->counters, MUX_COUNT_TASKS_MISCOUNTED), 0);
  world_free (world);
}

/* A job is cancelled while such a start is refused, and ends as cancelled. */
static void
test_cancelled_job_with_a_done_task_ends (void **state)
{
  World *world = new_world ();

  (void) state;
  (void) world_submit (world, 0, world_job (2, 2, WHOLE_MILLI), JOB);
  start_again_elsewhere (world, WORLD_REFUSES_LATE);
  world->worker[FIRST].refuses_renewals = false;
  world_run (world, 50);
  (void) world_request (world, 0, MUX_REQUEST_CANCEL, JOB);
  world_run (world, 5000);
  assert_int_equal (world_state (world, 0, JOB), MUX_JOB_CANCELLED);
  assert_int_equal (world->start_count, 2);
  world_free (world);
}

/* No state follows on DONE, and each task counts once. */
static void
test_done_is_final (void **state)
{
  World *world = new_world ();
  MuxCell *cell = world->cell[world_planner (world)].cell;
  CellTask *task;
  CellStage *stage;

  (void) state;
  world_worker_room (world, FIRST, 0);
  world_worker_room (world, SLOW, 0);
  world_run (world, 1000);
  (void) world_submit (world, world_planner (world),
                       world_job (1, 3, WHOLE_MILLI), JOB);
  world_run (world, 100);
  stage = cell_job_stage (cell_job_find (cell, JOB), 0, 0);
  assert_non_null (stage);
  task = cell_task_get (cell, stage, 1);
  assert_true (cell_task_done (cell, stage, 1));
  for (int next = CELL_TASK_WAITING; next <= CELL_TASK_DONE; next++)
    {
      assert_false (cell_task_set_state (cell, task, (CellTaskState) next));
      assert_int_equal (task->state, CELL_TASK_DONE);
      assert_int_equal (stage->tasks_left, 2);
    }
  assert_false (cell_task_done (cell, stage, 1));
  assert_true (cell_task_done (cell, stage, 2));
  assert_false (cell_task_done (cell, stage, 2));
  assert_int_equal (stage->tasks_left, 1);
  assert_int_equal (
      mux_counter_value (world->counters, MUX_COUNT_TASKS_MISCOUNTED), 0);
  world_free (world);
}

/* A count that can't be right must be seen, and not wrap around: the step would
 * then be taken for one that has not begun. */
static void
test_impossible_count_is_told (void **state)
{
  World *world = new_world ();
  MuxCell *cell = world->cell[world_planner (world)].cell;
  CellStage *stage;

  (void) state;
  world_worker_room (world, FIRST, 0);
  world_worker_room (world, SLOW, 0);
  world_run (world, 1000);
  (void) world_submit (world, world_planner (world),
                       world_job (1, 3, WHOLE_MILLI), JOB);
  world_run (world, 100);
  stage = cell_job_stage (cell_job_find (cell, JOB), 0, 0);
  stage->tasks_left = 0;
  assert_true (cell_task_done (cell, stage, 1));
  assert_int_equal (stage->tasks_left, 0);
  assert_int_equal (
      mux_counter_value (world->counters, MUX_COUNT_TASKS_MISCOUNTED), 1);
  assert_int_equal (world_logged (world, "task_miscounted"), 1);
  stage->tasks_left = 3;
  cell_tasks_done (cell, stage);
  assert_int_equal (stage->tasks_left, 0);
  assert_int_equal (world_logged (world, "task_miscounted"), 2);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refused_start_leaves_a_done_task_done),
    cmocka_unit_test (test_unanswered_start_leaves_a_done_task_done),
    cmocka_unit_test (test_failed_run_of_a_done_task_uses_no_attempt),
    cmocka_unit_test (test_gang_that_is_done_is_not_started_again),
    cmocka_unit_test (test_cancelled_job_with_a_done_task_ends),
    cmocka_unit_test (test_done_is_final),
    cmocka_unit_test (test_impossible_count_is_told),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
