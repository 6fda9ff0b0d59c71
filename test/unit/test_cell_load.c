#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

#define CELLS 3
/* Of a cell in which a gang uses a tenth of the workers. */
#define MANY_WORKERS 200
#define WORKERS 4
/* So many that daemons proxy the planner's calls. */
#define PROXIED_WORKERS 100
/* More than the store takes from one planner before callers time out. */
#define BURST 500
/* How long ends are kept, over the 30 s for which the planner remembers them
 * itself, and as many as need several commits. */
#define KEEP_S 100
#define OLD_JOBS 150
/* Waiting jobs, far more than the cell runs at once. */
#define BACKLOG 500
#define FULL_TASK_MS 20000
/* After its start a daemon knows the queues, and has not claimed. */
#define NO_PLANNER_MS 20
/* Arrive within a second, each with a planning pass. */
#define NEW_JOBS 100
/* Under a tenth of a processor at some 40 ns each. */
#define SCANS_PER_S_MAX 2000000
/* A transaction of a store that is a hundred times slower than usual. */
#define SLOW_STORE_MS 500
#define SLOWEST_STORE_MS 900

static uint64_t
submit_numbered (World *world,
                 uint32_t cell,
                 MuxJobSpec *job,
                 const char *name,
                 uint32_t number)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "%s-%u", name, number);
  return world_submit (world, cell, job, id);
}

static MuxJobState
state_numbered (World *world, uint32_t cell, const char *name, uint32_t number)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "%s-%u", name, number);
  return world_state (world, cell, id);
}

/* Sets the time that its tasks take while the cell is full. */
static MuxJobSpec *
set_full_task_time (MuxJobSpec *job)
{
  job->step[0].estimate_ms = FULL_TASK_MS;
  return job;
}

static MuxJobSpec *
wide_gang (void)
{
  MuxJobSpec *job = world_job (1, 20, 30000);

  job->step[0].gang = true;
  return job;
}

/*
 * Two gangs of 20 arrive at once. The policy service takes a hundred names in
 * a query and approves a third of them. If both query the same hundred workers
 * they are approved on the same 33, the first takes 20, and the second waits
 * until the first has ended while 180 workers are idle.
 */
static void
test_gangs_query_different_workers (void **state)
{
  World *world = world_new (CELLS, MANY_WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world_run (world, 1000);
  world->approve_one_in = 3;
  world->task_ms = 8000;
  (void) world_submit (world, planner, wide_gang (), "job-a");
  (void) world_submit (world, planner, wide_gang (), "job-b");
  world_run (world, 2500);
  assert_int_equal (world_starts (world, "job-a"), 20);
  assert_int_equal (world_starts (world, "job-b"), 20);
  world_free (world);
}

static void
submit_burst (World *world, uint32_t cell, uint64_t call[BURST])
{
  for (uint32_t i = 0; i < BURST; i++)
    call[i] = submit_numbered (world, cell, world_job (1, 1, 10), "job", i);
}

/* Submits one job in each part, so that the planner has measured how long a
 * commit takes. */
static void
measure_commit_time (World *world, uint32_t cell)
{
  for (uint32_t i = 0; i < 16; i++)
    (void) submit_numbered (world, cell, world_job (1, 1, 10), "first", i);
  world_run (world, 3000);
}

static uint32_t
count (const World *world,
       const uint64_t call[BURST],
       MuxResponseOutcome outcome)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < BURST; i++)
    n += world->answered[call[i]]
         && world->response[call[i]].outcome == outcome;
  return n;
}

/*
 * The store is a hundred times slower than usual, and more jobs arrive than it
 * can take. If all of them were queued, all callers would wait for over a
 * second and few jobs would be stored in time. Those that can't be are refused
 * at once, with a time to retry, the others are stored.
 */
static void
test_jobs_beyond_a_slow_store_are_refused_at_once (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t call[BURST];
  uint32_t refused;

  (void) state;
  world->store_ms = SLOW_STORE_MS;
  measure_commit_time (world, planner);
  submit_burst (world, planner, call);
  world_run (world, 50);
  refused = count (world, call, MUX_RESPONSE_REFUSED);
  assert_in_range (refused, BURST / 10, BURST * 9 / 10);
  world_run (world, 3000);
  assert_int_equal (count (world, call, MUX_RESPONSE_REFUSED), refused);
  assert_int_equal (count (world, call, MUX_RESPONSE_ACCEPTED),
                    BURST - refused);
  world_free (world);
}

/*
 * The same burst reaches a daemon that does not plan. The planner refuses what
 * it can't store; if the daemon then made commits of its own, all daemons
 * would do so, and the store would reject the planner's commits, too.
 */
static void
test_refused_by_the_planner_is_final (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t other = (planner + 1) % CELLS;
  uint64_t call[BURST];

  (void) state;
  world_run (world, 1000);
  world->store_ms = SLOW_STORE_MS;
  measure_commit_time (world, planner);
  submit_burst (world, other, call);
  world_run (world, 50);
  assert_in_range (count (world, call, MUX_RESPONSE_REFUSED), BURST / 10,
                   BURST * 9 / 10);
  world_run (world, 3000);
  assert_int_equal (world->own_commits[other], 0);
  world_free (world);
}

/* The store answers each call after 0.9 s. A planner that takes this for an
 * outage refuses all callers while the store would still take their jobs. */
static void
test_slow_store_is_not_taken_as_unreachable (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint64_t call[4];

  (void) state;
  world_run (world, 1000);
  world->store_ms = SLOWEST_STORE_MS;
  for (uint32_t i = 0; i < 4; i++)
    {
      call[i]
          = submit_numbered (world, planner, world_job (1, 1, 10), "job", i);
      world_run (world, 850);
    }
  world_run (world, 3000);
  for (uint32_t i = 0; i < 4; i++)
    assert_int_equal (world->response[call[i]].outcome, MUX_RESPONSE_ACCEPTED);
  world_free (world);
}

/*
 * After an outage thousands of jobs wait on a cell that is full. If each pass
 * scanned all workers for each of them, the planner's processor would do
 * nothing else: new urgent jobs would wait as well, and the backlog would
 * never shrink. Scans are bounded, and each waiting job still gets its turn.
 */
static void
test_backlog_leaves_processor_time_for_new_jobs (void **state)
{
  World *world = world_new (1, MANY_WORKERS);
  uint64_t call[BACKLOG];
  uint64_t scanned;

  (void) state;
  world->task_ms = FULL_TASK_MS;
  world_run (world, 1000);
  for (uint32_t i = 0; i < MANY_WORKERS; i++)
    (void) submit_numbered (
        world, 0, set_full_task_time (world_job (1, 1, 31000)), "full", i);
  world_run (world, 3000);
  /* Submitted while there is no planner, or most of them would be refused. */
  world_cell_start (world, 0);
  world_run (world, NO_PLANNER_MS);
  for (uint32_t i = 0; i < BACKLOG; i++)
    call[i] = submit_numbered (
        world, 0,
        set_full_task_time (i % 2 == 0 ? wide_gang ()
                                       : world_job (1, 3, 31000)),
        "wait", i);
  world_run (world, 3000);
  assert_int_equal (count (world, call, MUX_RESPONSE_ACCEPTED), BACKLOG);
  /* Of a queue without a backlog, or they would be refused. */
  world_set_priority (world, 2);
  world_run (world, 20);
  scanned = mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS);
  for (uint32_t i = 0; i < NEW_JOBS; i++)
    {
      call[i] = submit_numbered (world, 0, world_job (1, 1, 10), "new", i);
      world_run (world, 1000 / NEW_JOBS);
    }
  scanned = mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS) - scanned;
  for (uint32_t i = 0; i + 1 < NEW_JOBS; i++)
    assert_int_equal (world->response[call[i]].outcome, MUX_RESPONSE_ACCEPTED);
  assert_in_range (scanned, 1, SCANS_PER_S_MAX);
  world->task_ms = 50;
  world_run (world, 30000);
  for (uint32_t i = 0; i < BACKLOG; i += 50)
    assert_int_equal (state_numbered (world, 0, "wait", i), MUX_JOB_COMPLETED);
  world_free (world);
}

/*
 * A daemon that proxies the planner's calls to half of the workers dies with a
 * call to each in flight. The planner has to take all of them as unanswered at
 * once and call again: one after the other, what ended on the last worker
 * would be noticed, and its caller notified, only five seconds later.
 */
static void
test_all_calls_of_a_dead_proxy_fail_at_once (void **state)
{
  World *world = world_new (CELLS, PROXIED_WORKERS);
  uint32_t planner = world_planner (world);

  (void) state;
  world_run (world, 1500);
  (void) world_submit (world, planner, world_job (1, PROXIED_WORKERS, 31000),
                       "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), PROXIED_WORKERS);
  world_cell_kill (world, (planner + 1) % CELLS);
  world_run (world, 3500);
  assert_int_equal (world_state (world, planner, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

/* A cell ends a hundred thousand jobs a day. If their rows stayed, the store
 * would be full after some months and take no new job. Callers may query a
 * job's end for as long as the settings say; after that its row is removed. */
static void
test_ended_jobs_are_removed_after_their_retention (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t planner;

  (void) state;
  world->ended_retention_s = KEEP_S;
  for (uint32_t i = 0; i < CELLS; i++)
    world_cell_start (world, i);
  world_run (world, 2000);
  planner = world_planner (world);
  for (uint32_t i = 0; i < OLD_JOBS; i++)
    (void) submit_numbered (world, planner, world_job (1, 1, 1000), "old", i);
  world_run (world, KEEP_S * 500);
  assert_int_equal (world_ended_rows (world), OLD_JOBS);
  (void) world_submit (world, planner, world_job (1, 1, 10), "young");
  world_run (world, KEEP_S * 800);
  assert_int_equal (world_ended_rows (world), 1);
  assert_int_equal (world_state (world, planner, "young"), MUX_JOB_COMPLETED);
  assert_int_equal (world_state (world, (planner + 1) % CELLS, "old-0"),
                    MUX_JOB_ABSENT);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gangs_query_different_workers),
    cmocka_unit_test (test_jobs_beyond_a_slow_store_are_refused_at_once),
    cmocka_unit_test (test_refused_by_the_planner_is_final),
    cmocka_unit_test (test_slow_store_is_not_taken_as_unreachable),
    cmocka_unit_test (test_backlog_leaves_processor_time_for_new_jobs),
    cmocka_unit_test (test_all_calls_of_a_dead_proxy_fail_at_once),
    cmocka_unit_test (test_ended_jobs_are_removed_after_their_retention),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
