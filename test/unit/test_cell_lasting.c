#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* Long-running tasks run again within some seconds, however full the cell
 * is, while some worker has room for them. */

#define CELLS 3
#define WORKERS 8
/* Longer than any of these tests. */
#define LONG_TASK_MS 60000
#define ENDLESS_TASK_MS 600000
#define LONG_RUNNING_CPU_MILLI 4000
/* Most of each worker; a long-running task fits beside one. */
#define BUSY_CPU_MILLI 26000
#define GANG_CPU_MILLI 30000
#define GANGS_APART_MS 1000
/* From the end of its last run. */
#define RESTART_MS 6000

static World *
world_with_a_long_running_task (void)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, 1, LONG_RUNNING_CPU_MILLI);

  job->step[0].long_running = true;
  world_set_priority (world, 3);
  world_run (world, 1000);
  world->task_ms = LONG_TASK_MS;
  (void) world_submit (world, world_planner (world), job, "lasting");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "lasting"), 1);
  return world;
}

static void
end_its_run (World *world)
{
  WorldWorker *worker = &world->worker[world->start[0].worker];

  worker->fails = true;
  for (uint32_t i = 0; i < worker->run_end; i++)
    if (strcmp (worker->run[i].task.job, "lasting") == 0)
      worker->run[i].ends_ms = world->now_ms;
}

static void
submit_gang (World *world, uint32_t number)
{
  MuxJobSpec *gang = world_job (1, WORKERS - 1, GANG_CPU_MILLI);
  char id[MUX_JOB_ID_LEN];

  gang->step[0].gang = true;
  snprintf (id, sizeof id, "gang-%u", number);
  (void) world_submit (world, world_planner (world), gang, id);
}

/* Guards against a long-running task that waits beside room which is kept
 * for gangs of a queue of higher priority, one after the other. */
static void
test_long_running_task_uses_room_that_is_kept_for_gangs (void **state)
{
  World *world = world_with_a_long_running_task ();

  (void) state;
  world_set_priority (world, 1);
  world_run (world, 100);
  (void) world_submit (world, world_planner (world),
                       world_job (1, WORKERS, BUSY_CPU_MILLI), "busy");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "busy"), WORKERS);
  world_worker_drains (world, world->start[0].worker, true);
  submit_gang (world, 0);
  world_run (world, 1000);
  end_its_run (world);
  for (uint32_t i = 1; i <= RESTART_MS / GANGS_APART_MS; i++)
    {
      submit_gang (world, i);
      world_run (world, GANGS_APART_MS);
    }
  assert_int_equal (world_starts (world, "lasting"), 2);
  world_free (world);
}

/* More than half of a worker, and more than is free beside it. */
#define HALF_CPU_MILLI 17000
#define WIDE_CPU_MILLI 20000
#define SMALL_CPU_MILLI 10000
/* Longer than the end of what waits is worth something. */
#define BUSY_MS 30000

/* Guards against room that is kept for a gang which can't use it, because
 * tasks that never end hold the rest of those workers: other steps wait for
 * ever. */
static void
test_gang_keeps_no_room_beside_tasks_that_never_end (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *long_running_job = world_job (1, WORKERS, HALF_CPU_MILLI);
  MuxJobSpec *gang = world_job (1, WORKERS, WIDE_CPU_MILLI);
  uint32_t planner;

  (void) state;
  long_running_job->step[0].long_running = true;
  gang->step[0].gang = true;
  world_run (world, 1000);
  planner = world_planner (world);
  world->task_ms = ENDLESS_TASK_MS;
  (void) world_submit (world, planner, long_running_job, "lasting");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "lasting"), WORKERS);
  world->task_ms = BUSY_MS;
  (void) world_submit (world, planner, world_job (1, WORKERS, SMALL_CPU_MILLI),
                       "busy");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "busy"), WORKERS);
  (void) world_submit (world, planner, gang, "gang");
  world_run (world, 100);
  (void) world_submit (world, planner, world_job (1, WORKERS, SMALL_CPU_MILLI),
                       "small");
  world_run (world, BUSY_MS + RESTART_MS);
  assert_int_equal (world_starts (world, "gang"), 0);
  assert_int_equal (world_starts (world, "small"), WORKERS);
  world_free (world);
}

/* What arrives in a second is a quarter more than fits. */
#define STREAM_APART_MS 100
#define STREAM_TASKS 8
#define STREAM_TASK_MS 1000
#define QUERY_MIN_MS 100
#define QUERY_MAX_MS 600
#define QUERY_INCREMENT_MS 100
/* Six seconds without a run, and three in which it is to run. */
#define RESTART_MAX_MS 9000

static void
submit_stream (World *world, uint32_t number)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "stream-%u", number);
  (void) world_submit (world, world_planner (world),
                       world_job (1, STREAM_TASKS, LONG_RUNNING_CPU_MILLI), id);
  world_run (world, STREAM_APART_MS);
}

static void
play_full_pool (uint32_t question_ms)
{
  World *world = world_with_a_long_running_task ();
  uint32_t n = 0;

  world_slow_approvals (world, question_ms, 1000);
  world_set_priority (world, 1);
  world_run (world, 100);
  world->task_ms = STREAM_TASK_MS;
  while (n < 3000 / STREAM_APART_MS)
    submit_stream (world, n++);
  end_its_run (world);
  submit_stream (world, n++);
  world->worker[world->start[0].worker].fails = false;
  while (n < (3000 + RESTART_MAX_MS) / STREAM_APART_MS)
    submit_stream (world, n++);
  assert_true (world_starts (world, "lasting") > 1);
  world_free (world);
}

/* Guards against a long-running task that never runs in a full pool, because
 * a queue of higher priority takes each gap before its approval arrives. */
static void
test_long_running_task_runs_again_in_a_full_pool (void **state)
{
  (void) state;
  for (uint32_t ms = QUERY_MIN_MS; ms <= QUERY_MAX_MS; ms += QUERY_INCREMENT_MS)
    play_full_pool (ms);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_long_running_task_uses_room_that_is_kept_for_gangs),
    cmocka_unit_test (test_gang_keeps_no_room_beside_tasks_that_never_end),
    cmocka_unit_test (test_long_running_task_runs_again_in_a_full_pool),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
