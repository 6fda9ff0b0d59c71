#include "support/cell_world.h"

#include "support/random.h"
#include "support/test.h"

#include <stdlib.h>
#include <string.h>

/* Lasting tasks that fill beside lasting tasks that serve: neither may be over
 * their limits, the tail of the one or the unavailable tasks of the other. */

#define CELLS 2
#define WORKERS 3
#define FILL_TASKS 6
#define TARGET_MS 100
/* Time that a serving task may be over its target because of its neighbours. */
#define DISRUPTION_MS 4000
#define CALM_RISE_MS 3
#define RISE_MS 60

/* Creates a world with a serving task at each worker and tasks that fill. */
static World *
world_with_services (void)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *serving = world_job (1, WORKERS, 8000);
  MuxJobSpec *filling = world_job (1, FILL_TASKS, 0);

  world->task_ms = 10000000;
  strcpy (world->serving, "serving");
  strcpy (world->filling, "filling");
  world->filling_count = FILL_TASKS;
  world->tail_ms = 20;
  world->tail_rise_ms = CALM_RISE_MS;
  world->tail_target_ms = TARGET_MS;
  world->unavailable_max = 1;
  serving->step[0].long_running = true;
  serving->step[0].tail_target_ms = TARGET_MS;
  serving->step[0].per_worker_max = 1;
  serving->step[0].unavailable_max = 1;
  filling->step[0].long_running = true;
  filling->step[0].best_effort = true;
  filling->step[0].unavailable_max = 1;
  world_run (world, 1000);
  (void) world_submit (world, world_planner (world), serving, "serving");
  world_run (world, 3000);
  (void) world_submit (world, world_planner (world), filling, "filling");
  world_run (world, 4000);
  assert_int_equal (world_starts (world, "serving"), WORKERS);
  assert_int_equal (world_starts (world, "filling"), FILL_TASKS);
  return world;
}

static uint32_t
filling_at (const World *world, uint32_t worker)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->worker[worker].run_end; i++)
    n += world->worker[worker].run[i].used
         && world->worker[worker].run[i].number == 0
         && strcmp (world->worker[worker].run[i].task.job, "filling") == 0;
  return n;
}

/* Sum of the paces of all filling tasks. */
static uint32_t
paces (const World *world)
{
  uint32_t sum = 0;

  for (uint32_t i = 0; i < WORKERS; i++)
    for (uint32_t j = 0; j < world->worker[i].run_end; j++)
      if (world->worker[i].run[j].used && world->worker[i].run[j].number == 0
          && strcmp (world->worker[i].run[j].task.job, "filling") == 0)
        sum += world->worker[i].run[j].pace;
  return sum;
}

static void
assert_both_kept (const World *world)
{
  print_message ("over the target for %lld ms at most, %u stops too many\n",
                 (long long) world->harm_ms, world->taken_away);
  assert_true (world->harm_ms <= DISRUPTION_MS);
  assert_int_equal (world->taken_away, 0);
}

/* Sudden disturbance: the filling tasks must be slowed, not taken away, and be
 * given back what the tail allows once it ends. */
static void
test_disturbing_tasks_are_slowed_and_stay (void **state)
{
  World *world = world_with_services ();

  (void) state;
  world->tail_rise_ms = RISE_MS;
  world_run (world, 20000);
  assert_both_kept (world);
  assert_true (paces (world) < FILL_TASKS * 100);
  assert_int_equal (world_starts (world, "filling"), FILL_TASKS);
  world->tail_rise_ms = CALM_RISE_MS;
  world_run (world, 30000);
  assert_int_equal (paces (world), FILL_TASKS * 100);
  assert_both_kept (world);
  world_free (world);
}

/* Tasks that fill must not all be placed beside one serving task while others
 * have as much room. */
static void
test_filling_tasks_are_spread (void **state)
{
  World *world = world_with_services ();

  (void) state;
  for (uint32_t i = 0; i < WORKERS; i++)
    assert_int_equal (filling_at (world, i), FILL_TASKS / WORKERS);
  world_free (world);
}

/* Answers of the orders are lost, or the orders are carried out seconds later,
 * after newer ones. */
static void
play_faulty_orders (WorldFault fault)
{
  World *world = world_with_services ();

  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].pace_fault = fault;
  world->late_ms = 2500;
  world->tail_rise_ms = RISE_MS;
  world_run (world, 3000);
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].pace_fault = WORLD_SERVES;
  world_run (world, 20000);
  assert_both_kept (world);
  world_free (world);
}

static void
test_lost_answers_of_orders (void **state)
{
  (void) state;
  play_faulty_orders (WORLD_LOSES_ANSWER);
}

static void
test_orders_carried_out_late (void **state)
{
  (void) state;
  play_faulty_orders (WORLD_LATE);
}

/* The planner is replaced while tasks work at a pace: its successor, which
 * does not know that, must neither let them do harm nor leave them slow. */
static void
test_successor_of_a_planner_that_slowed_tasks (void **state)
{
  World *world = world_with_services ();
  uint32_t planner = world_planner (world);

  (void) state;
  world->tail_rise_ms = RISE_MS;
  world_run (world, 10000);
  world_cell_kill (world, planner);
  world_run (world, 15000);
  assert_both_kept (world);
  world->tail_rise_ms = CALM_RISE_MS;
  world_run (world, 30000);
  assert_int_equal (paces (world), FILL_TASKS * 100);
  assert_both_kept (world);
  world_free (world);
}

/* A worker restarts while its tasks work at a pace: those that start there or
 * elsewhere begin at the full one. */
static void
test_worker_restarts_while_tasks_are_slowed (void **state)
{
  World *world = world_with_services ();

  (void) state;
  world->tail_rise_ms = RISE_MS;
  world_run (world, 10000);
  world->down_ms = 500;
  world_worker_crash (world, 0);
  world_run (world, 25000);
  assert_both_kept (world);
  assert_true (world_starts (world, "filling") > FILL_TASKS);
  world_free (world);
}

/* Workers that take no such order: tasks may be stopped, one at a time. */
static void
test_workers_that_can_not_slow_tasks (void **state)
{
  World *world = world_with_services ();

  (void) state;
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].pace_fault = WORLD_REFUSES;
  world->tail_rise_ms = RISE_MS;
  world_run (world, 15000);
  assert_int_equal (world->taken_away, 0);
  world_free (world);
}

/* Starts of several tasks of a step go unanswered, though they were carried
 * out: the stops of those that work must keep the step's limit. */
static void
test_unanswered_starts_are_not_all_stopped (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, FILL_TASKS, 1000);

  (void) state;
  world_run (world, 1000);
  world->task_ms = 10000000;
  strcpy (world->filling, "lasting");
  world->filling_count = FILL_TASKS;
  world->unavailable_max = 1;
  job->step[0].long_running = true;
  job->step[0].unavailable_max = 1;
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].fault = WORLD_LOSES_ANSWER;
  (void) world_submit (world, world_planner (world), job, "lasting");
  while (world_starts (world, "lasting") < FILL_TASKS)
    world_run (world, 1);
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].fault = WORLD_SERVES;
  world_run (world, 8000);
  assert_int_equal (world->taken_away, 0);
  assert_int_equal (world_starts (world, "lasting"), FILL_TASKS);
  world_free (world);
}

#define SEEDS 6
#define CHANGES 20

/* Changes how much the tasks disturb each other, at random moments. */
static void
play_changes (uint64_t seed, bool with_faults)
{
  static const uint32_t rises[] = { 0, CALM_RISE_MS, 15, 40, RISE_MS, 150 };
  static const WorldFault faults[]
      = { WORLD_SERVES, WORLD_SERVES, WORLD_LOSES_ANSWER, WORLD_SILENT,
          WORLD_LATE };
  World *world = world_with_services ();
  MuxRandom random = { .state = seed };

  world->late_ms = 2500;
  for (uint32_t i = 0; i < CHANGES; i++)
    {
      uint32_t number = mux_random_below (&random, WORKERS);
      uint32_t fault
          = with_faults
                ? mux_random_below (&random, sizeof faults / sizeof faults[0])
                : 0;

      world->tail_ms = 10 + mux_random_below (&random, 60);
      world->tail_rise_ms
          = rises[mux_random_below (&random, sizeof rises / sizeof rises[0])];
      world->worker[number].pace_fault = faults[fault];
      world_run (world, 500 + mux_random_below (&random, 2000));
      world->worker[number].pace_fault = WORLD_SERVES;
      if (with_faults && mux_random_below (&random, 8) == 0)
        {
          uint32_t planner = world_planner (world);

          world_cell_kill (world, planner);
          world_run (world, 5000);
          world_cell_start (world, planner);
        }
      world_run (world, 500 + mux_random_below (&random, 6000));
    }
  if (world->taken_away > 0 || (!with_faults && world->harm_ms > DISRUPTION_MS))
    fail_msg ("seed %llu: over for %lld ms, %u stops too many",
              (unsigned long long) seed, (long long) world->harm_ms,
              world->taken_away);
  world_free (world);
}

/* With no fault near neither limit may be exceeded, however the disturbance
 * changes. */
static void
test_random_disturbances (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    play_changes (seed, false);
}

/* Orders that are lost or late, and planners that are replaced, must not make
 * more tasks unavailable than their step allows. */
static void
test_random_disturbances_with_faults (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    play_changes (seed, true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_disturbing_tasks_are_slowed_and_stay),
    cmocka_unit_test (test_filling_tasks_are_spread),
    cmocka_unit_test (test_lost_answers_of_orders),
    cmocka_unit_test (test_orders_carried_out_late),
    cmocka_unit_test (test_successor_of_a_planner_that_slowed_tasks),
    cmocka_unit_test (test_worker_restarts_while_tasks_are_slowed),
    cmocka_unit_test (test_workers_that_can_not_slow_tasks),
    cmocka_unit_test (test_unanswered_starts_are_not_all_stopped),
    cmocka_unit_test (test_random_disturbances),
    cmocka_unit_test (test_random_disturbances_with_faults),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
