#include "support/cell_world.h"
#include "support/test.h"

#include <malloc.h>
#include <stdio.h>

/* Memory that the planner takes for jobs. */

#define CELLS 3
#define WORKERS 4
/* The widest job that is accepted. */
#define WIDE_STEPS 64
#define WIDE_TASKS 4096
#define WIDE_JOBS 4
#define CPU_MILLI 500
#define BYTES_PER_MIB (1 << 20)
/* Far below a hundred bytes for each of the tasks. */
#define GROWTH_MAX_BYTES (8 * BYTES_PER_MIB)
#define FEW_TASKS 300
#define SHORT_TASK_MS 50

static int64_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (int64_t) (info.uordblks + info.hblkhd);
}

/* Its steps do not depend on each other. */
static MuxJobSpec *
wide_job (uint32_t steps, uint32_t tasks)
{
  MuxJobSpec *job = world_job (steps, tasks, CPU_MILLI);

  for (uint32_t i = 0; i < steps; i++)
    job->step[i].after = 0;
  return job;
}

static World *
new_world (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_skip_approval (world);
  world_run (world, 3000);
  return world;
}

static void
submit_numbered (World *world, MuxJobSpec *job, uint32_t number)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "job-%u", number);
  (void) world_submit (world, number % CELLS, job, id);
}

/* Guards against memory for each task of a job from its acceptance on: a few
 * small requests then end each planner that reads their jobs. */
static void
test_waiting_tasks_take_no_memory_of_their_own (void **state)
{
  World *world = new_world ();
  int64_t before = allocated_bytes ();

  (void) state;
  for (uint32_t i = 0; i < WIDE_JOBS; i++)
    submit_numbered (world, wide_job (WIDE_STEPS, WIDE_TASKS), i);
  world_run (world, 1000);
  assert_int_equal (world_state (world, 0, "job-0"), MUX_JOB_ACTIVE);
  print_message ("%lld bytes for %d tasks\n",
                 (long long) (allocated_bytes () - before),
                 WIDE_JOBS * WIDE_STEPS * WIDE_TASKS);
  assert_true (allocated_bytes () - before < GROWTH_MAX_BYTES);
  world_free (world);
}

/* Guards against memory that the tasks of a job keep until the whole job has
 * ended. */
static void
test_tasks_that_are_done_take_no_memory_of_their_own (void **state)
{
  World *world = new_world ();
  MuxJobSpec *job = wide_job (2, FEW_TASKS);
  uint32_t running_max = WORKERS * 32000 / CPU_MILLI;

  (void) state;
  world->task_ms = SHORT_TASK_MS;
  job->step[1].after = 1;
  submit_numbered (world, job, 0);
  for (uint32_t i = 0; i < 400 && world_starts (world, "job-0") < FEW_TASKS;
       i++)
    world_run (world, 10);
  world_run (world, 1000);
  assert_true (world_starts (world, "job-0") >= FEW_TASKS);
  assert_true (mux_gauge_value (world->counters, MUX_GAUGE_TASK_OBJECTS)
               <= running_max);
  world_run (world, 20000);
  assert_int_equal (world_state (world, 1, "job-0"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "job-0"), 2 * FEW_TASKS);
  assert_int_equal (mux_gauge_value (world->counters, MUX_GAUGE_TASK_OBJECTS),
                    0);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waiting_tasks_take_no_memory_of_their_own),
    cmocka_unit_test (test_tasks_that_are_done_take_no_memory_of_their_own),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
