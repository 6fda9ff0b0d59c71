#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* A planner that is late because its processor is overloaded. */

#define CELLS 3
/* Over 96, so that daemons proxy the planner's calls. */
#define WORKERS 120
/* A proxied renewal that waits for news for a second counts as unanswered a
 * second later. */
#define LATE_MS 2500
#define TASK_MS 30000
#define JOBS 40

/* Link of a daemon that is too slow to plan for these workers. */
#define SLOW_LINK_KBPS 5000

/* A cell in which no other daemon is as able as the planner, to which that one
 * would hand over; they can be proxies. */
static World *
world_of_one_able (uint32_t workers, uint32_t *planner)
{
  World *world = world_new (CELLS, workers);

  *planner = world_planner (world);
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != *planner)
      {
        world->cell[i].link_kbps = SLOW_LINK_KBPS;
        world_cell_start (world, i);
      }
  world_run (world, 1000);
  assert_int_equal (world_planner (world), *planner);
  return world;
}

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

/* In small steps, so that its responses to hellos are never missed. */
static void
make_late (World *world, uint32_t cell)
{
  while (world->cell[cell].input_delay_ms < LATE_MS)
    {
      world->cell[cell].input_delay_ms += 50;
      world_run (world, 100);
    }
}

/*
 * Tasks run again that are running, or done. A planner handles what arrives
 * seconds after it came. Responses of its workers are in its own queue when
 * their time-outs expire, and count as lost; it takes the workers for lost,
 * calls them itself, which costs it more, and once their leases have expired
 * starts their tasks elsewhere. The log shows worker_lost and worker_back in
 * turn for workers that respond within a ms: 641 times, and 86 starts of 80
 * tasks, before the time-outs allowed for messages not yet handled; and 124
 * starts while a worker's clock was counted from when its response was
 * handled, so that the leases requested were too short.
 */
static void
test_late_planner_loses_no_worker (void **state)
{
  uint32_t planner;
  World *world = world_of_one_able (WORKERS, &planner);
  uint32_t lost;

  (void) state;
  world->task_ms = TASK_MS;
  submit_jobs (world);
  world_run (world, 3000);
  assert_int_equal (world->start_count, 2 * JOBS);
  /* The proxies were restarted. */
  lost = world_logged (world, "worker_lost");
  make_late (world, planner);
  world_run (world, TASK_MS + 10000);
  assert_int_equal (world_planner (world), planner);
  print_message ("%u workers lost, %u dead, %u starts\n",
                 world_logged (world, "worker_lost") - lost,
                 world_logged (world, "worker_dead"), world->start_count);
  assert_int_equal (world_logged (world, "worker_lost"), lost);
  assert_int_equal (world->start_count, 2 * JOBS);
  assert_false (world_double_run (world));
  world_free (world);
}

/* A refusal reaches its caller within this time. */
#define AT_ONCE_MS 50

static MuxResponseOutcome
outcome_at_once (World *world, uint32_t cell, const char *id)
{
  uint64_t question = world_submit (world, cell, world_job (1, 1, 1000), id);

  world_run (world, AT_ONCE_MS);
  assert_true (world->answered[question]);
  return world->response[question].outcome;
}

/*
 * Callers wait for 1.4 s and are told that it is unknown whether their job was
 * accepted; it is, by a planner that can't start it in time and gets later
 * with each job. The planner handles what arrives 2.5 s after it came: its
 * planner_late line says by how much. New jobs are refused at once by all
 * daemons until it has caught up.
 */
static void
test_late_planner_refuses_new_jobs_at_once (void **state)
{
  uint32_t planner;
  World *world = world_of_one_able (WORKERS, &planner);
  uint32_t other = (planner + 1) % CELLS;

  (void) state;
  make_late (world, planner);
  world_run (world, LATE_MS);
  assert_int_equal (outcome_at_once (world, planner, "job-a"),
                    MUX_RESPONSE_REFUSED);
  assert_int_equal (outcome_at_once (world, other, "job-b"),
                    MUX_RESPONSE_REFUSED);
  world->cell[planner].input_delay_ms = 0;
  world_run (world, LATE_MS + 1000);
  assert_int_equal (outcome_at_once (world, planner, "job-a"),
                    MUX_RESPONSE_ACCEPTED);
  assert_int_equal (outcome_at_once (world, other, "job-b"),
                    MUX_RESPONSE_ACCEPTED);
  world_run (world, 2000);
  assert_int_equal (world_starts (world, "job-a"), 1);
  assert_int_equal (world_starts (world, "job-b"), 1);
  world_free (world);
}

#define MANY_WORKERS 352
/* Workers that a planner with proxies calls itself at a time, and the
 * highest rate of calls to each while it responds at once or not at all. */
#define DIRECT_MAX 96
#define CALLS_PER_S 5

/*
 * The cell stops and the planner's process is killed for its memory. Proxies
 * of its calls are late, their responses arrive after the calls' time-outs,
 * and the planner calls all workers itself, each over a connection of its own;
 * with 3000 workers it had 3508 connections and 512 MB.
 */
static void
test_late_proxies_do_not_exhaust_the_planners_memory (void **state)
{
  World *world = world_new (CELLS, MANY_WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t most = 0;

  (void) state;
  world_run (world, 1000);
  for (uint32_t i = 0; i < CELLS; i++)
    if (i != planner)
      make_late (world, i);
  for (uint32_t i = 0; i < 20; i++)
    {
      uint32_t before = world->worker_calls[planner];

      world_run (world, 1000);
      if (world->worker_calls[planner] - before > most)
        most = world->worker_calls[planner] - before;
    }
  print_message ("%u calls in a second, %u workers lost\n", most,
                 world_logged (world, "worker_lost"));
  assert_true (most <= DIRECT_MAX * CALLS_PER_S);
  world_free (world);
}

/* Responses that the planner handles in a second from idle workers, and as
 * many again for workers that come and go. */
#define IDLE_MAX_PER_S 800

/* Guards against a cell with thousands of workers, few of which run
 * anything, that serves nobody: the planner calls each of them without
 * pause, and their responses fill its processor. */
static void
test_idle_workers_cost_the_planner_little (void **state)
{
  World *world = world_new (CELLS, WORLD_WORKERS_MAX);
  uint32_t planner = world_planner (world);
  uint64_t before;
  uint64_t calls_to_idle;

  (void) state;
  world_run (world, 10000);
  before = mux_counter_value (world->counters, MUX_COUNT_WORKER_CALLS);
  world_run (world, 10000);
  calls_to_idle
      = mux_counter_value (world->counters, MUX_COUNT_WORKER_CALLS) - before;
  print_message ("%u calls to %u idle workers in 10 s\n",
                 (unsigned) calls_to_idle, WORLD_WORKERS_MAX);
  assert_true (calls_to_idle <= 10 * IDLE_MAX_PER_S);
  (void) world_submit (world, planner, world_job (1, 1, 1000), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), 1);
  world_run (world, 2000);
  assert_int_equal (world_state (world, planner, "job-a"), MUX_JOB_COMPLETED);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_late_planner_loses_no_worker),
    cmocka_unit_test (test_late_planner_refuses_new_jobs_at_once),
    cmocka_unit_test (test_late_proxies_do_not_exhaust_the_planners_memory),
    cmocka_unit_test (test_idle_workers_cost_the_planner_little),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
