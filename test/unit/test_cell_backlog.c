#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* What a backlog of steps that can't start costs the planner. */

#define CELLS 3
#define WORKERS 16
#define WORKER_CPU_MILLI 32000
#define ENDLESS_TASK_MS 100000000
#define BACKLOG 10000
#define STEPS_PER_JOB 20
#define BACKLOG_JOBS (BACKLOG / STEPS_PER_JOB)
#define SETTLE_MS 3000
/* Small jobs arrive meanwhile, for which there is room. */
#define SMALL_CPU_MILLI 1000
#define SMALL_TASK_MS 100
#define SMALL_EVERY_MS 100
#define BACKLOG_PRIORITY 2
#define SMALL_PRIORITY 1
#define CONFIG_MS 20
#define SMALL_JOBS (OBSERVED_MS / SMALL_EVERY_MS)
#define OBSERVED_S 10
#define OBSERVED_MS 10000
/* Planning passes per second over all steps, and over the urgent ones. */
#define PASSES_PER_S (1000 / 16 + 1)
#define URGENT_PASSES_PER_S (1000 / 4 + 1)
/* Scan budget of each kind of pass, in workers, and what a step itself
 * costs. */
#define PASS_SCAN_BUDGET 25000
#define URGENT_PASS_SCAN_BUDGET 6000
#define STEP_SCAN_COST 10
#define STEPS_MAX_PER_S                                   \
  (PASSES_PER_S * (PASS_SCAN_BUDGET / STEP_SCAN_COST + 1) \
   + URGENT_PASSES_PER_S * (URGENT_PASS_SCAN_BUDGET / STEP_SCAN_COST + 1))
#define TAKEOVER_MS 20000
#define WIDE_WORKERS 350
#define WIDE_CPU_MILLI 20000
/* A commit, and the pause after a pass that used its whole budget in vain. */
#define START_DELAY_MAX_MS (100 + PASS_SCAN_BUDGET / VAIN_SCANS_PER_MS)
#define COUNTS 10
#define ANSWER_MS 300
/*
 * An event occurs so often, and each one has the waiting steps scanned, but
 * each kind of pass scans no more than so many workers in vain; a pass is not
 * interrupted within a step, and each job that starts has a budget of its own.
 */
#define EVENT_INTERVAL_MS 8
#define EVENT_JOBS 250
#define VAIN_SCANS_PER_MS 500
#define EVENT_SCANS_MAX                                                      \
  (2 * VAIN_SCANS_PER_MS * EVENT_JOBS * EVENT_INTERVAL_MS + PASS_SCAN_BUDGET \
   + URGENT_PASS_SCAN_BUDGET + (EVENT_JOBS + 2) * (STEP_SCAN_COST + WORKERS))
/* All steps have had their turn after this time. */
#define TURN_MS 2000
/* A waiting step changes its place when it becomes late, and when its end
 * becomes worthless. */
#define MOVES_PER_STEP 2

typedef struct
{
  uint64_t steps;
  uint64_t moves;
  uint64_t jobs;
} Work;

static Work
work (const World *world)
{
  return (
      Work){ .steps = mux_counter_value (world->counters, MUX_COUNT_PLAN_STEPS),
             .moves = mux_counter_value (world->counters, MUX_COUNT_PLAN_MOVES),
             .jobs = mux_counter_value (world->counters, MUX_COUNT_JOB_LOOKS) };
}

/* Its steps may begin in any order, and each needs a whole worker. */
static MuxJobSpec *
wide_job (void)
{
  MuxJobSpec *job = world_job (STEPS_PER_JOB, 1, WORKER_CPU_MILLI);

  for (uint32_t i = 0; i < STEPS_PER_JOB; i++)
    job->step[i].after = 0;
  return job;
}

/* A job that runs as long as the test. */
static MuxJobSpec *
full_job (void)
{
  MuxJobSpec *job = world_job (1, 1, WORKER_CPU_MILLI / 20 * 19);

  job->step[0].estimate_ms = ENDLESS_TASK_MS;
  return job;
}

/* All but a twentieth of each worker is used. */
static World *
full_world (void)
{
  World *world = world_new (CELLS, WORKERS);

  world_run (world, 1000);
  world->task_ms = ENDLESS_TASK_MS;
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "full-%u", i);
      (void) world_submit (world, world_planner (world), full_job (), id);
      world_run (world, 50);
    }
  world_run (world, 2000);
  world->task_ms = SMALL_TASK_MS;
  assert_int_equal (world->start_count, WORKERS);
  return world;
}

/* Submitted while there is no planner, or most of it would be refused; small
 * jobs that come later belong to a queue of higher priority. */
static void
add_backlog (World *world)
{
  uint32_t planner = world_planner (world);
  uint64_t call[BACKLOG_JOBS];

  world_set_priority (world, BACKLOG_PRIORITY);
  world_run (world, CONFIG_MS);
  world_cell_kill (world, planner);
  for (uint32_t i = 0; i < BACKLOG_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "wait-%u", i);
      call[i] = world_submit (world, (planner + 1) % CELLS, wide_job (), id);
    }
  world_run (world, SETTLE_MS);
  for (uint32_t i = 0; i < BACKLOG_JOBS; i++)
    assert_int_equal (world->response[call[i]].outcome, MUX_RESPONSE_ACCEPTED);
  world_cell_start (world, planner);
  world_set_priority (world, SMALL_PRIORITY);
  world_run (world, SETTLE_MS);
}

static void
submit_small_jobs (World *world)
{
  for (uint32_t i = 0; i < SMALL_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "small-%u", i);
      (void) world_submit (world, world_planner (world),
                           world_job (1, 1, SMALL_CPU_MILLI), id);
      world_run (world, SMALL_EVERY_MS);
    }
}

static Work
work_of_backlog (World *world, bool small_jobs)
{
  Work before;
  Work after;

  add_backlog (world);
  before = work (world);
  if (small_jobs)
    submit_small_jobs (world);
  else
    world_run (world, OBSERVED_MS);
  after = work (world);
  after.steps -= before.steps;
  after.moves -= before.moves;
  after.jobs -= before.jobs;
  print_message ("%u steps wait; a second: %u looked at, %u moved, %u jobs\n",
                 BACKLOG, (unsigned) after.steps / OBSERVED_S,
                 (unsigned) after.moves / OBSERVED_S,
                 (unsigned) after.jobs / OBSERVED_S);
  return after;
}

/* Guards against a planner that a backlog slows down, so that the backlog
 * grows. */
static void
test_pass_costs_no_more_for_a_longer_backlog (void **state)
{
  (void) state;
  for (uint32_t urgent = 0; urgent < 2; urgent++)
    {
      World *world = full_world ();
      Work done;

      if (urgent != 0)
        world_make_urgent (world);
      done = work_of_backlog (world, true);
      assert_true (done.steps <= (uint64_t) OBSERVED_S * STEPS_MAX_PER_S);
      assert_true (done.moves <= (uint64_t) MOVES_PER_STEP * BACKLOG);
      world_free (world);
    }
}

/* Guards against steps that never have their turn behind a long backlog. */
static void
test_steps_behind_a_backlog_have_their_turn (void **state)
{
  World *world = full_world ();

  (void) state;
  world_skip_approval (world);
  (void) work_of_backlog (world, true);
  world_run (world, TURN_MS);
  assert_int_equal (world->start_count, WORKERS + SMALL_JOBS);
  world_free (world);
}

/* Guards against scanning all jobs for the few that time alone changes. */
static void
test_waiting_jobs_are_not_scanned (void **state)
{
  World *world = full_world ();

  (void) state;
  assert_int_equal (work_of_backlog (world, false).jobs, 0);
  assert_int_equal (world->start_count, WORKERS);
  world_free (world);
}

/* Guards against a takeover that takes longer the more jobs wait: for each
 * worker heard from or lost all jobs were searched for lost runs. */
static void
test_takeover_scans_no_waiting_jobs_per_worker (void **state)
{
  World *world = full_world ();
  uint32_t planner;
  uint64_t before;
  uint64_t scanned_jobs;

  (void) state;
  add_backlog (world);
  planner = world_planner (world);
  before = work (world).jobs;
  world_cell_kill (world, planner);
  world_run (world, TAKEOVER_MS);
  assert_true (world_planner (world) < CELLS);
  scanned_jobs = work (world).jobs - before;
  print_message ("%u jobs looked at in a takeover\n", (unsigned) scanned_jobs);
  assert_true (scanned_jobs <= BACKLOG_JOBS + WORKERS);
  world_free (world);
}

static uint64_t
scanned (const World *world)
{
  return mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS);
}

/* Guards against a backlog whose scans in vain take the planner's processor
 * from steps that could start. */
static void
test_scans_in_vain_are_bounded_by_time (void **state)
{
  World *world = full_world ();
  uint64_t before;

  (void) state;
  world_skip_approval (world);
  add_backlog (world);
  before = scanned (world);
  for (uint32_t i = 0; i < EVENT_JOBS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "often-%u", i);
      (void) world_submit (world, world_planner (world),
                           world_job (1, 1, SMALL_CPU_MILLI), id);
      world_run (world, EVENT_INTERVAL_MS);
    }
  print_message ("%u looks in %u ms\n", (unsigned) (scanned (world) - before),
                 EVENT_JOBS * EVENT_INTERVAL_MS);
  assert_true (scanned (world) - before <= EVENT_SCANS_MAX);
  world_run (world, TURN_MS);
  assert_int_equal (world->start_count, WORKERS + EVENT_JOBS);
  world_free (world);
}

/* Guards against a step of many tasks, of which one finds no room, that
 * delays all steps behind it. */
static void
test_wide_step_holds_up_nothing_behind_it (void **state)
{
  World *world = world_new (CELLS, WIDE_WORKERS);
  int64_t begin_ms;

  (void) state;
  world_skip_approval (world);
  world_run (world, 1000);
  world->task_ms = ENDLESS_TASK_MS;
  begin_ms = world->now_ms;
  (void) world_submit (world, world_planner (world),
                       world_job (1, WIDE_WORKERS + 1, WIDE_CPU_MILLI), "wide");
  world_run (world, 1);
  (void) world_submit (world, world_planner (world),
                       world_job (1, 1, SMALL_CPU_MILLI), "small");
  world_run (world, TURN_MS);
  print_message ("small one began after %u ms\n",
                 (unsigned) (world_first_start_ms (world, "small") - begin_ms));
  assert_int_equal (world_starts (world, "wide"), WIDE_WORKERS);
  assert_true (world_first_start_ms (world, "small") - begin_ms
               <= START_DELAY_MAX_MS);
  world_free (world);
}

static uint32_t
count_of_queue (World *world)
{
  uint64_t call
      = world_request (world, world_planner (world), MUX_REQUEST_QUERY, "");

  world_run (world, ANSWER_MS);
  assert_true (world->answered[call]);
  return world->response[call].pending;
}

/* Guards against requests for the length of a queue that iterate over the
 * queue. */
static void
test_count_of_a_queue_scans_no_job (void **state)
{
  World *world = full_world ();
  uint64_t before;

  (void) state;
  add_backlog (world);
  before = work (world).jobs;
  for (uint32_t i = 0; i < COUNTS; i++)
    assert_int_equal (count_of_queue (world), BACKLOG_JOBS);
  assert_int_equal (work (world).jobs, before);
  world_free (world);
}

/* Guards against a count that misses a cancel, a takeover, a start or an
 * end. */
static void
test_count_of_a_queue_follows_its_jobs (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world_run (world, 1000);
  world->task_ms = SMALL_TASK_MS;
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].fault = WORLD_REFUSES;
  for (uint32_t i = 0; i < COUNTS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, world_planner (world),
                           world_job (1, 1, SMALL_CPU_MILLI), id);
    }
  world_run (world, 1000);
  assert_int_equal (count_of_queue (world), COUNTS);
  (void) world_request (world, world_planner (world), MUX_REQUEST_CANCEL,
                        "job-0");
  world_run (world, 1000);
  assert_int_equal (count_of_queue (world), COUNTS - 1);
  world_cell_kill (world, world_planner (world));
  world_run (world, TAKEOVER_MS);
  assert_int_equal (count_of_queue (world), COUNTS - 1);
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].fault = WORLD_SERVES;
  world_run (world, TAKEOVER_MS);
  assert_int_equal (count_of_queue (world), 0);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pass_costs_no_more_for_a_longer_backlog),
    cmocka_unit_test (test_steps_behind_a_backlog_have_their_turn),
    cmocka_unit_test (test_waiting_jobs_are_not_scanned),
    cmocka_unit_test (test_scans_in_vain_are_bounded_by_time),
    cmocka_unit_test (test_wide_step_holds_up_nothing_behind_it),
    cmocka_unit_test (test_count_of_a_queue_scans_no_job),
    cmocka_unit_test (test_count_of_a_queue_follows_its_jobs),
    cmocka_unit_test (test_takeover_scans_no_waiting_jobs_per_worker),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
