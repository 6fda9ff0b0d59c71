#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Reservations of gangs that can still end in time now and no longer could when
 * their room becomes free. */

#define CELLS 3
#define WORKERS 16
/* Takes 20 of the 32 processors of each worker for longer than the gangs may
 * wait. */
#define BLOCK_CPU_MILLI 20000
#define BLOCK_MS 8000
/* Two gangs fill all workers once these tasks have ended. Each is promised
 * within five seconds. */
#define GANGS 3
#define GANG_CPU_MILLI 16000
#define GANG_MS 1000
/* Fits beside the blocking tasks and beside one gang. */
#define BATCH_CPU_MILLI 12000
#define BATCH_MS 12000
#define DRAIN_MS 60000

static void
submit (World *world,
        const char *id,
        uint32_t cpu_milli,
        uint32_t ms,
        bool gang)
{
  MuxJobSpec *job = world_job (1, WORKERS, cpu_milli);

  job->step[0].estimate_ms = ms;
  job->step[0].gang = gang;
  world->task_ms = ms;
  (void) world_submit (world, world_planner (world), job, id);
  world_run (world, 300);
}

/* Guards against room that is kept for gangs until they are late, though it is
 * known from the start that they will be, while a job that can use it in time
 * waits. All gangs still run. */
static void
test_gangs_that_will_be_late_keep_little_room (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  int64_t sent_ms;

  (void) state;
  world->times_at_submit = true;
  world_skip_approval (world);
  world_run (world, 1000);
  submit (world, "block", BLOCK_CPU_MILLI, BLOCK_MS, false);
  assert_int_equal (world_starts (world, "block"), WORKERS);
  for (uint32_t i = 0; i < GANGS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "gang-%u", i);
      submit (world, id, GANG_CPU_MILLI, GANG_MS, true);
    }
  sent_ms = world->now_ms;
  submit (world, "batch", BATCH_CPU_MILLI, BATCH_MS, false);
  world_run (world, DRAIN_MS);
  print_message ("batch began after %lld ms\n",
                 (long long) (world_first_start_ms (world, "batch") - sent_ms));
  assert_true (world_first_start_ms (world, "batch") - sent_ms <= 500);
  assert_int_equal (world_starts (world, "batch"), WORKERS);
  for (uint32_t i = 0; i < GANGS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "gang-%u", i);
      assert_int_equal (world_starts (world, id), WORKERS);
    }
  assert_int_equal (world->over_capacity, 0);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gangs_that_will_be_late_keep_little_room),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
