#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* A planner that has more to do than its processor bears, and is late. */

#define CELLS 3
/* Over 96, so that daemons carry the planner's calls. */
#define WORKERS 120
/* A carried renewal that waits for news for a second counts as unanswered a
 * second later. */
#define LATE_MS 2500
#define TASK_MS 30000
#define JOBS 40

static void
submit_jobs (World *world)
{
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, world_planner (world),
                           world_job (1, 2, 16000), id);
    }
}

/* Little by little, so that its answers to greetings never stay away. */
static void
fall_behind (World *world, uint32_t cell)
{
  while (world->cell[cell].late_ms < LATE_MS)
    {
      world->cell[cell].late_ms += 50;
      world_run (world, 100);
    }
}

/*
 * Tasks run again that are running, or done.  A planner takes what arrives
 * seconds after it came.  Answers of its workers wait in its own queue when
 * their time is up, and count as lost; it takes the workers for lost, calls
 * them itself, which costs it more, and once their leases are over starts their
 * tasks elsewhere.  Told by worker_lost and worker_back in turn for workers
 * that answer within a ms: 641 times, and 86 starts of 80 tasks, before the
 * time of calls passed with what was taken; and 124 starts while a worker's
 * clock was counted from when its answer was taken, so that leases were asked
 * too short.
 */
static void
test_late_planner_loses_no_worker (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world_run (world, 1000);
  world->task_ms = TASK_MS;
  submit_jobs (world);
  world_run (world, 3000);
  assert_int_equal (world->start_count, 2 * JOBS);
  fall_behind (world, planner);
  world_run (world, TASK_MS + 10000);
  assert_int_equal (world_planner (world), planner);
  print_message ("%u workers lost, %u dead, %u starts\n",
                 world_logged (world, "worker_lost"),
                 world_logged (world, "worker_dead"), world->start_count);
  assert_int_equal (world_logged (world, "worker_lost"), 0);
  assert_int_equal (world->start_count, 2 * JOBS);
  assert_false (world_twice (world));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_planner_loses_no_worker),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
