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

/* A refusal reaches its caller within this time. */
#define AT_ONCE_MS 50

static MuxOutcome
outcome_at_once (World *world, uint32_t cell, const char *id)
{
  uint64_t question = world_submit (world, cell, world_job (1, 1, 1000), id);

  world_run (world, AT_ONCE_MS);
  assert_true (world->answered[question]);
  return world->answer[question].outcome;
}

/*
 * Callers wait for 1.4 s and hear that nobody knows whether their job was
 * accepted; it is, by a planner that can't start it in time, and that is later
 * with each job.  The planner takes what arrives 2.5 s after it came: its
 * planner_late line tells by how much.  New jobs are refused at once, wherever
 * they are handed in, until it has caught up.
 */
static void
test_late_planner_refuses_new_jobs_at_once (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t other = (planner + 1) % CELLS;

  (void) state;
  world_run (world, 1000);
  fall_behind (world, planner);
  world_run (world, LATE_MS);
  assert_int_equal (outcome_at_once (world, planner, "job-a"),
                    MUX_OUTCOME_REFUSED);
  assert_int_equal (outcome_at_once (world, other, "job-b"),
                    MUX_OUTCOME_REFUSED);
  world->cell[planner].late_ms = 0;
  world_run (world, LATE_MS + 1000);
  assert_int_equal (outcome_at_once (world, planner, "job-a"),
                    MUX_OUTCOME_ACCEPTED);
  assert_int_equal (outcome_at_once (world, other, "job-b"),
                    MUX_OUTCOME_ACCEPTED);
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "job-a"), 1);
  assert_int_equal (world_starts (world, "job-b"), 1);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_planner_loses_no_worker),
    cmocka_unit_test (test_late_planner_refuses_new_jobs_at_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
