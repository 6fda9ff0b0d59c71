#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>
#include <string.h>

/* In which data centre tasks run, and whom a partition between data centres
 * delays. */

#define CELLS 3
#define DATA_CENTRES 3
#define WORKERS 48
/* Twelve jobs a second of six tasks of 1.3 processors, a second each: a tenth
 * of the room. */
#define TASKS 6
#define CPU_MILLI 1300
#define EACH_MS 84
#define JOBS_MAX 128
#define CUT_MS 2500
/* A data centre of 16 workers of 32 processors holds 512. */
#define WHOLE_CPU_MILLI 32000
#define WORKERS_EACH (WORKERS / DATA_CENTRES)

typedef struct
{
  char id[MUX_JOB_ID_LEN];
  uint32_t cell;
} Sent;

typedef struct
{
  World *world;
  uint32_t count;
  Sent sent[JOBS_MAX];
} Load;

static void
submit_next (Load *load)
{
  Sent *sent = &load->sent[load->count];

  sent->cell = load->count % CELLS;
  snprintf (sent->id, sizeof sent->id, "job-%u", load->count++);
  (void) world_submit (load->world, sent->cell, world_job (1, TASKS, CPU_MILLI),
                       sent->id);
}

static void
play_load (Load *load, int64_t ms)
{
  int64_t end_ms = load->world->now_ms + ms;

  while (load->world->now_ms < end_ms)
    {
      submit_next (load);
      world_run (load->world, EACH_MS);
    }
}

static bool
has_ended (const World *world, const char *id)
{
  return world_row (world, MUX_TABLE_ENDED, id) != NULL;
}

/* Set of the data centres that tasks of the job were started in. */
static uint32_t
data_centres_of (const World *world, const char *id)
{
  bool used[DATA_CENTRES] = { false };
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    if (strcmp (world->start[i].task.job, id) == 0)
      used[world->start[i].worker % DATA_CENTRES] = true;
  for (uint32_t i = 0; i < DATA_CENTRES; i++)
    n += used[i];
  return n;
}

static uint32_t
starts_in (const World *world, const char *id, uint32_t data_centre)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += strcmp (world->start[i].task.job, id) == 0
         && world->start[i].worker % DATA_CENTRES == data_centre;
  return n;
}

/* Guards against a partition of one data centre that delays callers of all. */
static void
test_partition_delays_only_jobs_of_its_own_callers (void **state)
{
  Load load = { .world = world_new_over (CELLS, WORKERS, DATA_CENTRES) };
  uint32_t cut = (world_planner (load.world) + 1) % DATA_CENTRES;
  uint32_t under_way = 0;
  uint32_t delayed = 0;

  (void) state;
  world_make_urgent (load.world);
  world_run (load.world, 1000);
  play_load (&load, 3000);
  world_cut_data_centre (load.world, cut, true);
  for (uint32_t i = 0; i < load.count; i++)
    load.sent[i].id[0]
        = has_ended (load.world, load.sent[i].id) ? 0 : load.sent[i].id[0];
  world_run (load.world, CUT_MS);
  for (uint32_t i = 0; i < load.count; i++)
    {
      if (load.sent[i].id[0] == 0 || load.sent[i].cell == cut)
        continue;
      under_way++;
      delayed += !has_ended (load.world, load.sent[i].id);
    }
  assert_true (under_way >= 5);
  assert_int_equal (delayed, 0);
  world_cut_data_centre (load.world, cut, false);
  world_run (load.world, 5000);
  for (uint32_t i = 0; i < load.count; i++)
    assert_true (load.sent[i].id[0] == 0
                 || has_ended (load.world, load.sent[i].id));
  assert_false (world_double_run (load.world));
  world_free (load.world);
}

/* Guards against tasks that are spread though one data centre holds them. */
static void
test_tasks_run_where_their_caller_is (void **state)
{
  World *world = world_new_over (CELLS, WORKERS, DATA_CENTRES);

  (void) state;
  world_run (world, 1000);
  for (uint32_t i = 0; i < CELLS; i++)
    {
      char id[MUX_JOB_ID_LEN];

      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, i, world_job (2, TASKS, CPU_MILLI), id);
      world_run (world, 4000);
      assert_int_equal (starts_in (world, id, i), 2 * TASKS);
    }
  world_free (world);
}

/* Guards against a step that waits for its data centre while others have
 * room, and against one that is spread though another holds it. */
static void
test_full_data_centre_is_replaced_by_another (void **state)
{
  World *world = world_new_over (CELLS, WORKERS, DATA_CENTRES);

  (void) state;
  world_run (world, 1000);
  world->task_ms = 60000;
  (void) world_submit (world, 0, world_job (1, WORKERS_EACH, WHOLE_CPU_MILLI),
                       "filler");
  world_run (world, 500);
  assert_int_equal (starts_in (world, "filler", 0), WORKERS_EACH);
  (void) world_submit (world, 0, world_job (1, TASKS, CPU_MILLI), "job-a");
  world_run (world, 500);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  assert_int_equal (data_centres_of (world, "job-a"), 1);
  world_free (world);
}

/* Guards against a step that no data centre holds alone and that never runs. */
static void
test_wide_step_is_spread (void **state)
{
  World *world = world_new_over (CELLS, WORKERS, DATA_CENTRES);

  (void) state;
  world_run (world, 1000);
  (void) world_submit (
      world, 0, world_job (1, 2 * WORKERS_EACH, WHOLE_CPU_MILLI), "job-a");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "job-a"), 2 * WORKERS_EACH);
  world_free (world);
}

/* Guards against a service that is lost as a whole with one data centre. */
static void
test_service_is_spread_over_data_centres (void **state)
{
  World *world = world_new_over (CELLS, WORKERS, DATA_CENTRES);
  MuxJobSpec *job = world_job (1, WORKERS_EACH, WHOLE_CPU_MILLI);

  (void) state;
  world_run (world, 1000);
  job->step[0].long_running = true;
  (void) world_submit (world, 0, job, "service");
  world_run (world, 1000);
  assert_int_equal (world_starts (world, "service"), WORKERS_EACH);
  assert_true (data_centres_of (world, "service") > 1);
  world_free (world);
}

/* Guards against jobs that wait for an unreachable data centre. */
static void
test_lost_data_centre_takes_no_new_tasks (void **state)
{
  World *world = world_new_over (CELLS, WORKERS, DATA_CENTRES);
  uint32_t planner = world_planner (world);
  uint32_t lost = (planner + 1) % DATA_CENTRES;

  (void) state;
  world_run (world, 1000);
  for (uint32_t i = 0; i < WORKERS; i++)
    if (i % DATA_CENTRES == lost)
      world->worker[i].unreachable = true;
  world_run (world, 2500);
  (void) world_submit (world, lost, world_job (1, TASKS, CPU_MILLI), "job-a");
  world_run (world, 500);
  assert_int_equal (starts_in (world, "job-a", lost), 0);
  assert_int_equal (world_starts (world, "job-a"), TASKS);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_partition_delays_only_jobs_of_its_own_callers),
    cmocka_unit_test (test_tasks_run_where_their_caller_is),
    cmocka_unit_test (test_full_data_centre_is_replaced_by_another),
    cmocka_unit_test (test_wide_step_is_spread),
    cmocka_unit_test (test_service_is_spread_over_data_centres),
    cmocka_unit_test (test_lost_data_centre_takes_no_new_tasks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
