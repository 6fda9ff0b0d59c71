#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* Gangs of many widths beside urgent and patient tasks. Two queries with the
 * most workers that one may name for each gang, and those of the other
 * queues, take nine tenths of the daemons' time. */

#define CELLS 3
#define WORKERS 350
#define APPROVE_ONE_IN 3
#define WARM_MS 1000
#define LOAD_MS 24000
#define DRAIN_MS 12000
#define CONFIG_MS 10
#define STEP_MS 20
#define NAMES_MAX 100
#define WIDTHS 10
#define WIDEST 60

/* Sizes of tasks, indexed by the number of their job. */
#define SIZES 4

/**
 * struct Queue - a queue and the load submitted to it
 * @query_ms: time that the policy service takes for an approval query, plus
 * @query_us_per_worker: for each worker named in it
 * @cpu_milli: processor of a task; a worker has 32,000
 */
typedef struct
{
  const char *name;
  uint32_t priority;
  uint32_t slack_milli;
  uint32_t each_ms;
  uint32_t task_ms;
  uint32_t query_ms;
  uint32_t query_us_per_worker;
  uint32_t cpu_milli[SIZES];
} Queue;

#define GANG_EACH_MS 145
#define GANG_TASK_MS 4000
#define GANG_QUERY_MS 62
#define GANG_QUERY_US_PER_WORKER 900
#define GANGS (LOAD_MS / GANG_EACH_MS + 1)

/* Half of the workers, and 2.1 of the three daemons with two queries of 100
 * workers for each gang. */
static const Queue gang = {
  .name = "gang",
  .priority = 1,
  .slack_milli = 2200,
  .each_ms = GANG_EACH_MS,
  .task_ms = GANG_TASK_MS,
  .query_ms = GANG_QUERY_MS,
  .query_us_per_worker = GANG_QUERY_US_PER_WORKER,
  .cpu_milli = { 6000, 9000, 12000, 15000 },
};
/* A third of the workers, and half a daemon with a query of 36 workers. */
static const Queue patient = {
  .name = "patient",
  .priority = 2,
  .slack_milli = 4000,
  .each_ms = 78,
  .task_ms = 3400,
  .query_ms = 22,
  .query_us_per_worker = 330,
  .cpu_milli = { 2500, 3500, 3500, 4500 },
};
/* An eighth of the workers. */
static const Queue urgent = {
  .name = "urgent",
  .priority = 0,
  .slack_milli = 1500,
  .each_ms = 28,
  .task_ms = 640,
  .query_ms = 1,
  .query_us_per_worker = 20,
  .cpu_milli = { 4000, 5000, 5000, 6000 },
};

#define PATIENT_TASKS 25
#define URGENT_TASKS 12
/* The widest tenth of the gangs have the same width. */
static const uint32_t width[WIDTHS]
    = { 4, 20, 8, 36, 12, WIDEST, 6, 16, 26, 10 };

/* The queue's target: 2.2 times a run with a query of 30 workers, and a
 * second. */
#define TARGET_MS                                                             \
  (22 * (GANG_TASK_MS + GANG_QUERY_MS + 30 * GANG_QUERY_US_PER_WORKER / 1000) \
       / 10                                                                   \
   + 1000)
/* Two full queries find 66 workers that may run the gang, and one renews the
 * approvals of those it takes. */
#define WIDEST_QUERY_MS \
  (3 * (GANG_QUERY_MS + NAMES_MAX * GANG_QUERY_US_PER_WORKER / 1000))

typedef struct
{
  World *world;
  uint32_t gangs;
  uint32_t urgent;
  uint32_t patient;
  int64_t sent_ms[GANGS];
} Load;

/**
 * struct Served - outcome of some of the gangs
 * @query_time_ms: time of the policy service that their approval queries took
 */
typedef struct
{
  uint32_t all;
  uint32_t in_time;
  int64_t query_time_ms;
} Served;

static void
submit (World *world, const Queue *queue, uint32_t number, uint32_t tasks)
{
  MuxJobSpec *job
      = world_job (1, tasks, queue->cpu_milli[number / WIDTHS % SIZES]);
  char id[MUX_JOB_ID_LEN];

  snprintf (id, sizeof id, "%s-%u", queue->name, number);
  job->step[0].gang = queue == &gang;
  job->step[0].estimate_ms = queue->task_ms;
  world->task_ms = queue->task_ms;
  world_slow_approvals (world, queue->query_ms, queue->query_us_per_worker);
  world_set_priority (world, queue->priority);
  world_set_slack (world, queue->slack_milli);
  world_run (world, CONFIG_MS);
  (void) world_submit (world, world_planner (world), job, id);
}

static bool
is_due (const Queue *queue, uint32_t sent, int64_t at_ms)
{
  return at_ms >= (int64_t) sent * queue->each_ms;
}

static void
submit_gang (Load *load)
{
  load->sent_ms[load->gangs] = load->world->now_ms;
  submit (load->world, &gang, load->gangs, width[load->gangs % WIDTHS]);
  load->gangs++;
}

static Load
play_load (void)
{
  Load load = { .world = world_new (CELLS, WORKERS) };
  World *world = load.world;
  int64_t begin_ms;

  world->approve_one_in = APPROVE_ONE_IN;
  world->approve_by_chance = true;
  world->times_at_submit = true;
  world_run (world, WARM_MS);
  begin_ms = world->now_ms;
  while (world->now_ms < begin_ms + LOAD_MS)
    {
      int64_t at_ms = world->now_ms - begin_ms;

      if (load.gangs < GANGS && is_due (&gang, load.gangs, at_ms))
        submit_gang (&load);
      else if (is_due (&urgent, load.urgent, at_ms))
        submit (world, &urgent, load.urgent++, URGENT_TASKS);
      else if (is_due (&patient, load.patient, at_ms))
        submit (world, &patient, load.patient++, PATIENT_TASKS);
      else
        world_run (world, STEP_MS);
    }
  world_run (world, DRAIN_MS);
  return load;
}

/* Of gangs of @least tasks or more. */
static Served
served_of (const Load *load, uint32_t least)
{
  Served served = { 0 };

  for (uint32_t i = 0; i < load->gangs; i++)
    {
      uint32_t tasks = width[i % WIDTHS];
      char id[MUX_JOB_ID_LEN];

      if (tasks < least)
        continue;
      snprintf (id, sizeof id, "gang-%u", i);
      served.all++;
      served.in_time
          += world_done_by (load->world, id, load->sent_ms[i] + TARGET_MS)
             == tasks;
      served.query_time_ms += world_approval_spent_ms (load->world, id);
    }
  return served;
}

/* Guards against the widest gangs not being served while queries for them
 * occupy all daemons. */
static void
test_widest_gangs_starve_while_daemons_query (void **state)
{
  Load load = play_load ();
  Served all = served_of (&load, 0);
  Served widest = served_of (&load, WIDEST);

  (void) state;
  print_message ("%u of %u gangs in time, %u of the %u widest; asked for %d ms "
                 "each, for %d ms the widest\n",
                 all.in_time, all.all, widest.in_time, widest.all,
                 (int) (all.query_time_ms / all.all),
                 (int) (widest.query_time_ms / widest.all));
  assert_true (10 * widest.in_time * all.all >= 7 * all.in_time * widest.all);
  assert_true (widest.query_time_ms <= (int64_t) WIDEST_QUERY_MS * widest.all);
  assert_false (world_double_run (load.world));
  world_free (load.world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_widest_gangs_starve_while_daemons_query),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
