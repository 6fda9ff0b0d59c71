#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Gangs that wait on a large cell: whatever was lost, a gang that fits
 * starts once its room is free. */

#define CELLS 3
/* Over 96, so that daemons proxy the planner's calls. */
#define WORKERS 120
#define GANG 20
/* A response of the policy service for a hundred workers, which wide gangs
 * query, takes half a second to a second. */
#define LONG_QUERY_MS 300
/* Two queries of that length, and as long again for the retries. */
#define STARTS_WITHIN_MS 4000
#define LARGE_CELL 350
/* Duration of the tasks that fill it, and their number in a job. */
#define BUSY_MS 6000
#define FILL_TASKS 10
/* More workers than a query may name. */
#define WIDE_GANG 120
/* A query of a hundred workers takes 1.1 s; two to learn which are approved,
 * two for the approvals to start with, and as much again. */
#define APPROVAL_QUERY_MS 442
#define APPROVAL_QUERY_US_PER_WORKER 6370
#define WIDE_STARTS_WITHIN_MS 8000
/* Over the 0.4 s by which a response may be late at first. */
#define LATE_RESPONSE_MS 1000
#define LATE_STARTS_WITHIN_MS 12000
/* Two unanswered starts, the time to stop what they started, and one run. */
#define ENDS_WITHOUT_IT_MS 9000
/* A step is logged once it has waited so long. */
#define LOGGED_AFTER_MS 5000
/* More steps than log lines in the time observed. */
#define MANY_JOBS 40

static MuxJobSpec *
gang_of (uint32_t tasks, uint32_t cpu_milli)
{
  MuxJobSpec *job = world_job (1, tasks, cpu_milli);

  job->step[0].gang = true;
  return job;
}

static void
wait_for_approval_query (World *world)
{
  uint32_t before = world->approval_queries;

  for (uint32_t i = 0; i < 1000 && world->approval_queries == before; i++)
    world_run (world, 1);
  assert_int_not_equal (world->approval_queries, before);
}

/*
 * A gang's approval query is in flight through another daemon. That daemon is
 * killed and restarts before the response times out, and sends the planner a
 * hello. If the planner only notes that the new process has no query in
 * flight, the old one never ends: the step counts as querying for ever, and
 * never starts while the whole cell is idle.
 */
static void
test_approval_query_ends_with_its_daemon (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world_run (world, 1500);
  planner = world_planner (world);
  world->approve_one_in = 3;
  world->approval_ms = LONG_QUERY_MS;
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  wait_for_approval_query (world);
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world_cell_start (world, i);
  world_run (world, STARTS_WITHIN_MS);
  assert_int_equal (world_starts (world, "job-a"), GANG);
  world_free (world);
}

/*
 * Steps wait for many seconds and the log does not mention them: afterwards a
 * step that no worker is approved for can't be told from one whose turn never
 * came. A line says what each is blocked on, at most one a second for all
 * steps.
 */
static void
test_log_says_what_a_step_is_blocked_on (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world_run (world, 1500);
  planner = world_planner (world);
  world->approve_one_in = WORKERS;
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  world_run (world, LOGGED_AFTER_MS - 500);
  assert_int_equal (world->blocked_logged, 0);
  world_run (world, 2000);
  assert_int_equal (world->blocked_logged, 1);
  assert_string_equal (world->blocked_on, "approvals");
  for (uint32_t i = 0; i < MANY_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "wait-%u", i);
      (void) world_submit (world, planner, world_job (1, 2, 40000), id);
    }
  world_run (world, LOGGED_AFTER_MS + 10000);
  assert_in_range (world->blocked_logged, 10, 17);
  world_free (world);
}

/* A run that is stopped and never listed as ended holds its member's room:
 * the step is not in the plan then, and still waits. */
static void
test_log_names_a_run_that_does_not_end (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world->task_ms = 100000;
  world_run (world, 1500);
  planner = world_planner (world);
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), GANG);
  world->worker[world->start[0].worker].fault = WORLD_SILENT;
  (void) world_request (world, planner, MUX_REQUEST_CANCEL, "job-a");
  world_run (world, LOGGED_AFTER_MS + 2000);
  assert_in_range (world->blocked_logged, 1, 2);
  assert_string_equal (world->blocked_on, "ends");
  world_free (world);
}

/*
 * A gang needs 120 workers, one for each task, and all 350 of the cell are
 * approved. They are full when it learns so and empty later. The policy
 * service takes a hundred names in a query, and an approval is valid for two
 * seconds. If the approvals of all its workers had to come with one query, it
 * would never have them, and wait for ever.
 */
static void
test_gang_wider_than_a_query_starts (void **state)
{
  World *world = world_new (CELLS, LARGE_CELL);
  uint32_t planner;

  (void) state;
  world->task_ms = BUSY_MS;
  world_run (world, 1500);
  planner = world_planner (world);
  for (uint32_t i = 0; i < LARGE_CELL / FILL_TASKS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "full-%u", i);
      (void) world_submit (world, planner, world_job (1, FILL_TASKS, 31000),
                           id);
    }
  world_run (world, 2000);
  assert_int_equal (world->start_count, LARGE_CELL);
  world_slow_approvals (world, APPROVAL_QUERY_MS, APPROVAL_QUERY_US_PER_WORKER);
  world_run (world, 200);
  (void) world_submit (world, planner, gang_of (WIDE_GANG, 30000), "job-a");
  world_run (world, BUSY_MS + WIDE_STARTS_WITHIN_MS);
  assert_int_equal (world_starts (world, "job-a"), WIDE_GANG);
  world_free (world);
}

/*
 * A worker carries out its commands and answers renewals, but its responses to
 * starts are lost. A gang with a member there is stopped as soon as its start
 * times out. If the worker is then preferred like any other, the gang chooses
 * it again each time, as it is empty, and never ends, though it needs 20 of 40
 * workers.
 */
static void
test_gang_avoids_a_worker_that_answers_no_start (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world_run (world, 1500);
  planner = world_planner (world);
  world->approve_one_in = 3;
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  world_run (world, 200);
  assert_int_equal (world_starts (world, "job-a"), GANG);
  world->worker[world->start[0].worker].fault = WORLD_LOSES_ANSWER;
  world_worker_restart (world, world->start[1].worker);
  world_run (world, ENDS_WITHOUT_IT_MS);
  assert_int_equal (world_ended_rows (world), 1);
  world_free (world);
}

/*
 * The policy service takes longer for a query than the queue's configuration
 * says, because that is outdated, or the service or the querying daemon is
 * loaded. If each response is discarded as late, and the next query gets no
 * longer time-out, the step never starts while the service answers every
 * query.
 */
static void
test_late_approvals_get_a_longer_timeout (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world_run (world, 1500);
  planner = world_planner (world);
  world->approval_ms = LATE_RESPONSE_MS;
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  world_run (world, LATE_STARTS_WITHIN_MS);
  assert_int_equal (world_starts (world, "job-a"), GANG);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_log_says_what_a_step_is_blocked_on),
    cmocka_unit_test (test_log_names_a_run_that_does_not_end),
    cmocka_unit_test (test_gang_avoids_a_worker_that_answers_no_start),
    cmocka_unit_test (test_late_approvals_get_a_longer_timeout),
    cmocka_unit_test (test_gang_wider_than_a_query_starts),
    cmocka_unit_test (test_approval_query_ends_with_its_daemon),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
