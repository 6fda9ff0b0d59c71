#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Gangs that wait on a large cell: whatever was lost on the way, one that fits
 * starts once its room is free. */

#define CELLS 3
/* Over 96, so that daemons carry the planner's calls. */
#define WORKERS 120
#define GANG 20
/* An answer of the policy service about a hundred workers, which wide gangs
 * ask for, takes half a second to a second. */
#define LONG_ANSWER_MS 300
/* Two questions of that length, and as long again for what is asked anew. */
#define STARTS_WITHIN_MS 4000
#define LARGE_CELL 350
/* Tasks that fill it take so long; so many come in a job. */
#define BUSY_MS 6000
#define FILL_TASKS 10
/* More workers than a question names. */
#define WIDE_GANG 120
/* A question about a hundred workers takes 1.1 s; two to learn who is approved,
 * two for the proofs, and as much again. */
#define QUESTION_MS 442
#define QUESTION_WORKER_US 6370
#define WIDE_STARTS_WITHIN_MS 8000
/* Over the 0.4 s by which an answer may be late at first. */
#define LATE_ANSWER_MS 1000
#define LATE_STARTS_WITHIN_MS 12000
/* Two starts that go unanswered, with what they take to be stopped, and one
 * run. */
#define ENDS_WITHOUT_IT_MS 9000
/* A step is told of in the log once it has waited so long. */
#define TOLD_AFTER_MS 5000
/* More steps than lines in the time that is looked at. */
#define MANY_JOBS 40

static MuxJobSpec *
gang_of (uint32_t tasks, uint32_t cpu_milli)
{
  MuxJobSpec *job = world_job (1, tasks, cpu_milli);

  job->step[0].gang = true;
  return job;
}

static void
wait_for_question (World *world)
{
  uint32_t before = world->approval_queries;

  for (uint32_t i = 0; i < 1000 && world->approval_queries == before; i++)
    world_run (world, 1);
  assert_int_not_equal (world->approval_queries, before);
}

/*
 * A gang's question to the policy service is on its way through another daemon.
 * That daemon is killed and back before the answer counts as lost, and greets
 * the planner.  If the planner only takes note that the new process asks
 * nothing, nobody ends the question: the step counts as asking for good, and
 * never starts while the whole cell stands idle.
 */
static void
test_question_ends_with_the_daemon_that_asked_it (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world_run (world, 1500);
  planner = world_planner (world);
  world->approve_one_in = 3;
  world->approval_ms = LONG_ANSWER_MS;
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  wait_for_question (world);
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      world_cell_start (world, i);
  world_run (world, STARTS_WITHIN_MS);
  assert_int_equal (world_starts (world, "job-a"), GANG);
  world_free (world);
}

/*
 * Steps wait for many seconds and the log says nothing of them: afterwards
 * nobody can tell a step that no worker is approved for from one whose turn
 * never came.  A line says what it lacks, for all steps one a second at most.
 */
static void
test_log_says_what_a_waiting_step_lacks (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world_run (world, 1500);
  planner = world_planner (world);
  world->approve_one_in = WORKERS;
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  world_run (world, TOLD_AFTER_MS - 500);
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
  world_run (world, TOLD_AFTER_MS + 10000);
  assert_in_range (world->blocked_logged, 10, 17);
  world_free (world);
}

/* A run that is stopped and never listed as ended holds its member's room: the
 * step is in no plan then, and yet it waits. */
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
  world_run (world, TOLD_AFTER_MS + 2000);
  assert_in_range (world->blocked_logged, 1, 2);
  assert_string_equal (world->blocked_on, "ends");
  world_free (world);
}

/*
 * A gang needs 120 workers, one for each task, and all 350 of the cell are
 * approved.  They are full when it learns so and empty later.  The policy
 * service takes a hundred names in a question, and a proof is taken for two
 * seconds.  If the proofs of all its workers had to come with one question, it
 * would never have them, and wait for good.
 */
static void
test_gang_wider_than_a_question_starts (void **state)
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
  world_slow_approvals (world, QUESTION_MS, QUESTION_WORKER_US);
  world_run (world, 200);
  (void) world_submit (world, planner, gang_of (WIDE_GANG, 30000), "job-a");
  world_run (world, BUSY_MS + WIDE_STARTS_WITHIN_MS);
  assert_int_equal (world_starts (world, "job-a"), WIDE_GANG);
  world_free (world);
}

/*
 * A worker carries out what it is told and answers its renewals, but its
 * answers to starts are lost.  A gang that has a member there is stopped as
 * soon as its start counts as unanswered.  If the worker is then taken for as
 * good as any other, the gang chooses it again each time, as it is empty, and
 * never comes to its end, though it needs 20 of 40 workers.
 */
static void
test_gang_does_without_a_worker_that_answers_no_start (void **state)
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
 * The policy service takes longer for a question than the queue says, be it
 * that its configuration is older, that the service is loaded, or the daemon
 * that asks.  If each answer counts as lost for being late, and the next
 * question is given no more time, the step never starts while the service
 * answers all that it is asked.
 */
static void
test_late_answers_are_waited_for_in_the_end (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world_run (world, 1500);
  planner = world_planner (world);
  world->approval_ms = LATE_ANSWER_MS;
  (void) world_submit (world, planner, gang_of (GANG, 30000), "job-a");
  world_run (world, LATE_STARTS_WITHIN_MS);
  assert_int_equal (world_starts (world, "job-a"), GANG);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_log_says_what_a_waiting_step_lacks),
    cmocka_unit_test (test_log_names_a_run_that_does_not_end),
    cmocka_unit_test (test_gang_does_without_a_worker_that_answers_no_start),
    cmocka_unit_test (test_late_answers_are_waited_for_in_the_end),
    cmocka_unit_test (test_gang_wider_than_a_question_starts),
    cmocka_unit_test (test_question_ends_with_the_daemon_that_asked_it),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
