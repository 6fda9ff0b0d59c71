#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Workers' room shrinks and grows while they run. */

#define WORKERS 4
#define FULL_MILLI 32000

static void
submit (World *world, uint32_t number, uint32_t tasks, uint32_t cpu_milli)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "job-%u", number);
  (void) world_submit (world, 0, world_job (1, tasks, cpu_milli), id);
}

/* Guards against work on room that a worker no longer has. */
static void
test_no_start_on_room_that_has_shrunk (void **state)
{
  World *world = world_new (1, WORKERS);

  (void) state;
  for (uint32_t i = 0; i < 120; i++)
    {
      if (i % 20 == 10)
        for (uint32_t j = 0; j < WORKERS; j++)
          world_worker_room (world, j,
                             i % 40 == 10 ? FULL_MILLI / 4 : FULL_MILLI);
      submit (world, i, 4, 4000);
      world_run (world, 400);
    }
  assert_int_equal (world->over_capacity, 0);
  world_free (world);
}

/* Guards against starts on room that shrank while the planner did not
 * receive the list of workers. */
static void
test_no_start_on_outdated_room (void **state)
{
  World *world = world_new (1, WORKERS);

  (void) state;
  world_run (world, 1000);
  world->cell[0].hanging_feeds = WORLD_FEED_BIT (MUX_TABLE_WORKERS);
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_room (world, i, FULL_MILLI / 4);
  for (uint32_t i = 0; i < 24; i++)
    {
      submit (world, i, 8, 4000);
      world_run (world, 500);
    }
  assert_int_equal (world->over_capacity, 0);
  world->cell[0].hanging_feeds = 0;
  world_run (world, 60000);
  assert_int_equal (world->over_capacity, 0);
  assert_int_equal (world_state (world, 0, "job-0"), MUX_JOB_COMPLETED);
  assert_int_equal (world_state (world, 0, "job-23"), MUX_JOB_COMPLETED);
  world_free (world);
}

#define GANG_TASKS 12
#define GANG_MILLI 9000
#define SLOW_STORE_MS 300
/* By then the planner knows of the smaller room. */
#define KNOWN_AFTER_MS 10

/* Guards against a gang that starts on room which was held for it while its
 * approvals were stored, and is gone. */
static void
test_hold_shrinks_with_its_room (void **state)
{
  (void) state;
  for (int64_t after_ms = 0; after_ms < 2500; after_ms += 50)
    {
      World *world = world_new (1, WORKERS);
      MuxJobSpec *job = world_job (1, GANG_TASKS, GANG_MILLI);

      world_slow_approvals (world, 400, 1000);
      world_run (world, 200);
      world->store_ms = SLOW_STORE_MS;
      job->step[0].gang = true;
      (void) world_submit (world, 0, job, "gang");
      world_run (world, after_ms);
      for (uint32_t i = 0; i < WORKERS; i++)
        {
          world_worker_room (world, i, GANG_MILLI);
          world->worker[i].room[0].until_ms = 0;
        }
      world_run (world, KNOWN_AFTER_MS);
      world->over_capacity = 0;
      world_run (world, 6000);
      assert_int_equal (world->over_capacity, 0);
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_no_start_on_room_that_has_shrunk),
    cmocka_unit_test (test_no_start_on_outdated_room),
    cmocka_unit_test (test_hold_shrinks_with_its_room),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
