#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* Gangs of one queue and of many widths, beside tasks of a queue of higher
 * and one of lower priority: somewhat more work than room. */

#define CELLS 3
#define WORKERS 350
/* Short, so that three daemons can put all approval queries. */
#define APPROVAL_QUERY_MS 20
#define APPROVAL_QUERY_US_PER_WORKER 300
#define APPROVE_ONE_IN 3
#define WARM_MS 1000
#define LOAD_MS 24000
#define DRAIN_MS 30000
#define CONFIG_MS 10
#define STEP_MS 20
#define TASK_MS 4000
/* Two on a worker. */
#define GANG_CPU_MILLI 14000
#define GANG_EACH_MS 100
#define GANGS (LOAD_MS / GANG_EACH_MS)
#define WIDTHS 10
#define WIDEST 60
#define URGENT_TASKS 3
#define URGENT_CPU_MILLI 8000
#define URGENT_EACH_MS 30
#define PATIENT_TASKS 10
#define PATIENT_CPU_MILLI 6000
#define PATIENT_EACH_MS 200
/* The queue's target: four times a run with a query of 30 workers, and a
 * second. */
#define TARGET_MS                                     \
  (4                                                  \
       * (TASK_MS + APPROVAL_QUERY_MS                 \
          + 30 * APPROVAL_QUERY_US_PER_WORKER / 1000) \
   + 1000)

/* The widest tenth of the gangs have the same width. */
static const uint32_t width[WIDTHS]
    = { 4, 20, 8, 36, 12, WIDEST, 6, 16, 26, 10 };

typedef struct
{
  World *world;
  uint32_t gangs;
  uint32_t urgent;
  uint32_t patient;
  int64_t sent_ms[GANGS];
} Load;

typedef struct
{
  uint32_t all;
  uint32_t in_time;
} Share;

static void
submit (Load *load, MuxJobSpec *job, const char *id, uint32_t priority)
{
  job->step[0].gang = priority == 1;
  job->step[0].estimate_ms = TASK_MS;
  world_set_priority (load->world, priority);
  world_run (load->world, CONFIG_MS);
  (void) world_submit (load->world, world_planner (load->world), job, id);
}

static void
submit_gang (Load *load)
{
  uint32_t tasks = width[load->gangs % WIDTHS];
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "gang-%u", load->gangs);
  load->sent_ms[load->gangs++] = load->world->now_ms;
  submit (load, world_job (1, tasks, GANG_CPU_MILLI), id, 1);
}

static void
submit_urgent (Load *load)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "urgent-%u", load->urgent++);
  submit (load, world_job (1, URGENT_TASKS, URGENT_CPU_MILLI), id, 0);
}

static void
submit_patient (Load *load)
{
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "patient-%u", load->patient++);
  submit (load, world_job (1, PATIENT_TASKS, PATIENT_CPU_MILLI), id, 2);
}

static Load
play_load (void)
{
  Load load = { .world = world_new (CELLS, WORKERS) };
  int64_t begin_ms;

  load.world->approve_one_in = APPROVE_ONE_IN;
  load.world->approve_by_job = true;
  load.world->task_ms = TASK_MS;
  world_slow_approvals (load.world, APPROVAL_QUERY_MS,
                        APPROVAL_QUERY_US_PER_WORKER);
  world_run (load.world, WARM_MS);
  begin_ms = load.world->now_ms;
  while (load.world->now_ms < begin_ms + LOAD_MS)
    {
      int64_t at_ms = load.world->now_ms - begin_ms;

      if (load.gangs < GANGS && at_ms >= load.gangs * GANG_EACH_MS)
        submit_gang (&load);
      else if (at_ms >= load.urgent * URGENT_EACH_MS)
        submit_urgent (&load);
      else if (at_ms >= load.patient * PATIENT_EACH_MS)
        submit_patient (&load);
      else
        world_run (load.world, STEP_MS);
    }
  world_run (load.world, DRAIN_MS);
  return load;
}

/* Of gangs of @least tasks or more. */
static Share
share_of (const Load *load, uint32_t least)
{
  Share share = { 0 };

  for (uint32_t i = 0; i < load->gangs; i++)
    {
      uint32_t tasks = width[i % WIDTHS];
      char id[MUX_JOB_ID_LEN];

      if (tasks < least)
        continue;
      snprintf (id, sizeof id, "gang-%u", i);
      share.all++;
      share.in_time
          += world_done_by (load->world, id, load->sent_ms[i] + TARGET_MS)
             == tasks;
    }
  return share;
}

/* Guards against the widest gangs being served less than half as often as
 * all. */
static void
test_widest_gangs_wait_while_urgent_tasks_take_their_room (void **state)
{
  Load load = play_load ();
  Share all = share_of (&load, 0);
  Share widest = share_of (&load, WIDEST);

  (void) state;
  print_message ("%u of %u gangs in time, %u of the %u widest\n", all.in_time,
                 all.all, widest.in_time, widest.all);
  assert_true (2 * widest.in_time * all.all >= all.in_time * widest.all);
  assert_false (world_double_run (load.world));
  world_free (load.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_widest_gangs_wait_while_urgent_tasks_take_their_room),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
