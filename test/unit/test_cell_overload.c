#include "support/cell_world.h"
#include "support/test.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

/* More work than room: what callers of each queue get. */

#define CELLS 3
#define WORKERS 16
/* A gang of 8 tasks of 9 processors each 500 ms, and 10 tasks of 6 each 350 ms,
 * all for two seconds: 1.23 times the room of 16 workers of 32 processors. */
#define TASK_MS 2000
#define GANG_TASKS 8
#define GANG_CPU_MILLI 9000
#define GANG_EACH_MS 500
#define PATIENT_TASKS 10
#define PATIENT_CPU_MILLI 6000
#define PATIENT_EACH_MS 350
#define STEP_MS 50
#define LOAD_MS 20000
#define DRAIN_MS 60000
/* The queue's target is five times a second; a gang that begins by then, and
 * runs for two, is in time. */
#define IN_TIME_MS 3000
/* Of a policy service that takes long for each worker. */
#define APPROVAL_QUERY_MS 500
#define APPROVAL_QUERY_US_PER_WORKER 7000
#define MANY_WORKERS 350
#define WAITING_STEPS 100
/* With the rows of the store, which is in memory here. */
#define STEP_BYTES_MAX 12000
#define GANGS (LOAD_MS / GANG_EACH_MS)
#define PATIENT (LOAD_MS / PATIENT_EACH_MS + 1)

typedef struct
{
  World *world;
  uint32_t gangs;
  uint32_t patient;
  int64_t sent_ms[GANGS];
  uint64_t gang_call[GANGS];
  uint64_t patient_call[PATIENT];
} Load;

static void
submit_gang (Load *load)
{
  MuxJobSpec *job = world_job (1, GANG_TASKS, GANG_CPU_MILLI);
  char id[MUX_JOB_ID_LEN];

  job->step[0].gang = true;
  job->step[0].estimate_ms = TASK_MS;
  snprintf (id, sizeof id, "gang-%u", load->gangs);
  load->sent_ms[load->gangs] = load->world->now_ms;
  world_set_priority (load->world, 1);
  world_run (load->world, 20);
  load->gang_call[load->gangs++]
      = world_submit (load->world, world_planner (load->world), job, id);
}

static void
submit_patient (Load *load)
{
  MuxJobSpec *job = world_job (1, PATIENT_TASKS, PATIENT_CPU_MILLI);
  char id[MUX_JOB_ID_LEN];

  job->step[0].estimate_ms = TASK_MS;
  snprintf (id, sizeof id, "patient-%u", load->patient);
  world_set_priority (load->world, 2);
  world_run (load->world, 20);
  load->patient_call[load->patient++]
      = world_submit (load->world, world_planner (load->world), job, id);
}

static Load
play_load (void)
{
  Load load = { .world = world_new (CELLS, WORKERS) };
  int64_t begin_ms;

  world_run (load.world, 1000);
  load.world->task_ms = TASK_MS;
  begin_ms = load.world->now_ms;
  while (load.world->now_ms < begin_ms + LOAD_MS)
    {
      int64_t at_ms = load.world->now_ms - begin_ms;

      if (at_ms >= load.gangs * GANG_EACH_MS && load.gangs < GANGS)
        submit_gang (&load);
      else if (at_ms >= load.patient * PATIENT_EACH_MS)
        submit_patient (&load);
      else
        world_run (load.world, STEP_MS);
    }
  return load;
}

static uint32_t
accepted (const Load *load, const uint64_t *call, uint32_t count)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    n += load->world->response[call[i]].outcome == MUX_RESPONSE_ACCEPTED;
  return n;
}

static uint32_t
gangs_in_time (const Load *load)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < load->gangs; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "gang-%u", i);
      n += world_first_start_ms (load->world, id) - load->sent_ms[i]
           <= IN_TIME_MS;
    }
  return n;
}

/*
 * Callers of the queue of highest priority wait behind those of another. There
 * is a fifth more work than room. Any gap holds a task of the patient queue,
 * so that the room which a gang needs at once is never free, though each gang
 * came first or is due first. All accepted jobs still end.
 */
static void
test_gangs_of_the_first_queue_begin_in_time (void **state)
{
  Load load = play_load ();
  uint32_t in_time = gangs_in_time (&load);

  (void) state;
  print_message ("%u of %u gangs began in time\n", in_time, load.gangs);
  assert_true (in_time * 10 >= load.gangs * 9);
  world_run (load.world, DRAIN_MS);
  assert_int_equal (accepted (&load, load.gang_call, load.gangs), load.gangs);
  assert_int_equal (world_ended_rows (load.world),
                    load.gangs
                        + accepted (&load, load.patient_call, load.patient));
  assert_false (world_double_run (load.world));
  world_free (load.world);
}

/*
 * Callers wait for a policy service that is busy with queries it has already
 * answered. Until the commit that records which workers were approved is
 * stored, nothing may start on the response, and the step was queried again at
 * once.
 */
static void
test_answered_step_is_not_queried_again (void **state)
{
  (void) state;
  for (uint32_t gang = 0; gang < 2; gang++)
    {
      World *world = world_new (CELLS, WORKERS);
      MuxJobSpec *job = world_job (1, GANG_TASKS, GANG_CPU_MILLI);

      job->step[0].gang = gang != 0;
      world_slow_approvals (world, APPROVAL_QUERY_MS,
                            APPROVAL_QUERY_US_PER_WORKER);
      world_run (world, 1000);
      world->task_ms = TASK_MS;
      (void) world_submit (world, world_planner (world), job, "job-a");
      world_run (world, 2 * APPROVAL_QUERY_MS);
      assert_int_equal (world_starts (world, "job-a"), GANG_TASKS);
      assert_int_equal (world->approval_queries, 1);
      world_free (world);
    }
}

/*
 * All jobs of a cell stop, and with 3,000 workers the planner is killed for
 * its memory, repeatedly. While it is late, each waiting step takes memory for
 * every worker there is. With 350 workers a step took 15 KB, now 5, the rows
 * of the store in memory included.
 */
static void
test_waiting_step_takes_no_memory_for_each_worker (void **state)
{
  World *world = world_new (CELLS, MANY_WORKERS);
  size_t before;
  size_t bytes;

  (void) state;
  world_run (world, 1000);
  for (uint32_t i = 0; i < MANY_WORKERS; i++)
    world->worker[i].fault = WORLD_REFUSES;
  before = mallinfo2 ().uordblks;
  for (uint32_t i = 0; i < WAITING_STEPS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "wait-%u", i);
      (void) world_submit (world, world_planner (world),
                           world_job (1, 1, GANG_CPU_MILLI), id);
      world_run (world, STEP_MS);
    }
  world_run (world, 4000);
  bytes = (mallinfo2 ().uordblks - before) / WAITING_STEPS;
  print_message ("%zu bytes a step\n", bytes);
  assert_int_equal (world_ended_rows (world), 0);
  assert_true (bytes < STEP_BYTES_MAX);
  world_free (world);
}

#define WAITING_GANGS 100
/* The policy service takes so many names in a query. */
#define NAMES_MAX 100
/* What a step costs by itself, in workers scanned. */
#define STEP_SCAN_COST 10
#define BUSY_MS 60000

/* Guards against gangs that wait for a daemon free to put a query, and
 * meanwhile have all workers scanned for them in each pass. */
static void
test_gang_that_can_not_query_scans_only_approved_workers (void **state)
{
  World *world = world_new (CELLS, MANY_WORKERS);
  uint64_t steps;
  uint64_t scanned;

  (void) state;
  world_slow_approvals (world, BUSY_MS, 0);
  world_run (world, 1000);
  for (uint32_t i = 0; i < WAITING_GANGS; i++)
    {
      MuxJobSpec *job = world_job (1, GANG_TASKS, GANG_CPU_MILLI);
      char id[MUX_JOB_ID_LEN];

      job->step[0].gang = true;
      snprintf (id, sizeof id, "gang-%u", i);
      (void) world_submit (world, world_planner (world), job, id);
    }
  world_run (world, 2000);
  steps = mux_counter_value (world->counters, MUX_COUNT_PLAN_STEPS);
  scanned = mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS);
  world_run (world, 2000);
  steps = mux_counter_value (world->counters, MUX_COUNT_PLAN_STEPS) - steps;
  scanned = mux_counter_value (world->counters, MUX_COUNT_PLAN_LOOKS) - scanned;
  print_message ("%u looks at workers for %u at gangs\n", (unsigned) scanned,
                 (unsigned) steps);
  assert_true (steps >= WAITING_GANGS - CELLS);
  assert_true (scanned <= steps * (STEP_SCAN_COST + NAMES_MAX));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gangs_of_the_first_queue_begin_in_time),
    cmocka_unit_test (test_answered_step_is_not_queried_again),
    cmocka_unit_test (test_waiting_step_takes_no_memory_for_each_worker),
    cmocka_unit_test (test_gang_that_can_not_query_scans_only_approved_workers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
