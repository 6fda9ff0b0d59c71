#include "support/cell_world.h"
#include "support/test.h"

/* Tasks at a worker that leaves. */

#define CELLS 3
#define WORKERS 2
#define ALL_CPU_MILLI 32000
#define TASK_MS 6000
/* Run time at the notice, and how long the worker stays after it. */
#define RAN_MS 2000
#define LONG_NOTICE_MS 3500
#define SHORT_NOTICE_MS 1800
/* Until the list shows the notice, a stop is answered and the task starts
 * elsewhere. */
#define MOVE_MS 1500
/* Time of a stop that is carried out before the worker is gone. */
#define STOP_MS 900

typedef struct
{
  World *world;
  uint32_t worker; /* where the task runs */
  int64_t gone_ms; /* when that worker is gone */
} Leaving;

static Leaving
task_on_a_leaving_worker (MuxJobSpec *job, uint32_t notice_ms)
{
  Leaving leaving = { .world = world_new (CELLS, WORKERS) };
  World *world = leaving.world;

  world_run (world, 1000);
  world->task_ms = TASK_MS;
  job->step[0].estimate_ms = TASK_MS;
  (void) world_submit (world, world_planner (world), job, "job-a");
  while (world->start_count == 0)
    world_run (world, 1);
  leaving.worker = world->start[0].worker;
  world_run (world, RAN_MS);
  leaving.gone_ms = world->now_ms + notice_ms;
  world_worker_leaves (world, leaving.worker, notice_ms);
  return leaving;
}

/*
 * A task that saves checkpoints must not run on at a worker that leaves until
 * both are gone, which loses all since its last checkpoint, seconds of each
 * processor. It is stopped in time, and not much earlier.
 */
static void
test_task_that_saves_is_stopped_in_time (void **state)
{
  uint32_t const notice_ms[] = { SHORT_NOTICE_MS, LONG_NOTICE_MS };

  (void) state;
  for (uint32_t i = 0; i < 2; i++)
    {
      MuxJobSpec *job = world_job (1, 1, ALL_CPU_MILLI);
      Leaving leaving;

      job->step[0].checkpointing = true;
      leaving = task_on_a_leaving_worker (job, notice_ms[i]);
      world_run (leaving.world, notice_ms[i] + MOVE_MS);
      assert_int_equal (leaving.world->start[0].end, MUX_RUN_STOPPED);
      assert_true (leaving.world->start[0].ended_ms
                   <= leaving.gone_ms - STOP_MS);
      assert_true (leaving.world->start[0].ended_ms
                   >= leaving.gone_ms - 2 * STOP_MS);
      assert_int_equal (leaving.world->start_count, 2);
      assert_int_not_equal (leaving.world->start[1].worker, leaving.worker);
      assert_false (world_double_run (leaving.world));
      world_free (leaving.world);
    }
}

/*
 * A task without checkpoints that will be lost with its worker starts
 * elsewhere as soon as the notice is known: what it does until then is of no
 * use, and its caller waits for it.
 */
static void
test_task_that_would_be_lost_starts_elsewhere_at_once (void **state)
{
  Leaving leaving = task_on_a_leaving_worker (world_job (1, 1, ALL_CPU_MILLI),
                                              SHORT_NOTICE_MS);

  (void) state;
  world_run (leaving.world, MOVE_MS);
  assert_int_equal (leaving.world->start_count, 2);
  assert_true (leaving.world->start[1].at_ms < leaving.gone_ms - STOP_MS);
  assert_false (world_double_run (leaving.world));
  world_free (leaving.world);
}

/*
 * A task that ends before its worker leaves must not be stopped by the notice.
 */
static void
test_task_that_ends_before_the_worker_leaves_is_let_be (void **state)
{
  Leaving leaving
      = task_on_a_leaving_worker (world_job (1, 1, ALL_CPU_MILLI), TASK_MS);

  (void) state;
  world_run (leaving.world, TASK_MS);
  assert_int_equal (leaving.world->start_count, 1);
  assert_int_equal (leaving.world->start[0].end, MUX_RUN_DONE);
  world_free (leaving.world);
}

/*
 * A worker is gone before its notice was known. Its runs end with its lease
 * and run once elsewhere, as with any worker that is lost.
 */
static void
test_worker_that_is_gone_before_its_notice (void **state)
{
  Leaving leaving = task_on_a_leaving_worker (world_job (1, 1, ALL_CPU_MILLI),
                                              LONG_NOTICE_MS);
  World *world = leaving.world;

  (void) state;
  world->worker[leaving.worker].unreachable = true;
  world_run (world, 30000);
  assert_int_equal (world->start_count, 2);
  assert_false (world_double_run (world));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_task_that_saves_is_stopped_in_time),
    cmocka_unit_test (test_task_that_would_be_lost_starts_elsewhere_at_once),
    cmocka_unit_test (test_task_that_ends_before_the_worker_leaves_is_let_be),
    cmocka_unit_test (test_worker_that_is_gone_before_its_notice),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
