#include "support/outages.h"
#include "support/test.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Many workers crash by themselves, again and again: no task is the cause. */

/* A long-running task runs again within this time, if there is room. */
#define RESTART_MS 6000

static uint32_t
running (const World *world, const char *id)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += world->start[i].ended_ms == 0
         && strcmp (world->start[i].task.job, id) == 0;
  return n;
}

/* All long-running tasks run again soon after the last outage, all others
 * end. */
static void
check_none_is_held_back (World *world, OutageKind kind)
{
  char id[MUX_JOB_ID_LEN];

  world_run (world, kind == OUTAGE_LASTING ? RESTART_MS : OUTAGE_SETTLE_MS);
  assert_int_equal (outage_failed_jobs (world, OUTAGE_JOBS), 0);
  for (uint32_t i = 0; i < OUTAGE_JOBS; i++)
    {
      snprintf (id, sizeof id, "job-%u", i);
      if (kind == OUTAGE_LASTING)
        assert_int_equal (running (world, id), OUTAGE_TASKS);
      else
        assert_int_equal (world_state (world, world_planner (world), id),
                          MUX_JOB_COMPLETED);
    }
}

static void
play (uint32_t cells, OutageWaves outages)
{
  for (uint32_t kind = 0; kind < OUTAGE_COUNT; kind++)
    for (uint32_t silent = 0; silent < 2; silent++)
      {
        World *world = outage_world (cells, (OutageKind) kind, silent == 1);

        print_message ("jobs of kind %u, silent %u\n", kind, silent);
        outages (world);
        check_none_is_held_back (world, (OutageKind) kind);
        world_free (world);
      }
}

/* Jobs must not be given up, or held back, because half of the workers goes
 * down every few seconds. */
static void
test_jobs_survive_crashes_of_half_the_workers (void **state)
{
  (void) state;
  play (1, outage_halves);
}

/* The same if it is always the same half. */
static void
test_jobs_survive_crashes_of_the_same_half (void **state)
{
  (void) state;
  play (1, outage_same_half);
}

/* The same, and the planner fails with them. */
static void
test_jobs_survive_crashes_with_their_planners (void **state)
{
  (void) state;
  play (OUTAGE_CELLS, outage_halves_and_planners);
}

/* Jobs must not be given up because racks lose power in turn. */
static void
test_jobs_survive_crashes_of_racks (void **state)
{
  (void) state;
  play (1, outage_racks);
}

/* Jobs must not be given up for the machines of a bad rack. */
static void
test_jobs_survive_single_crashes_in_a_rack (void **state)
{
  (void) state;
  play (1, outage_singly_in_a_rack);
}

#define OTHERS 5
#define STEP_MS 4
#define DOWN_MS 1000
#define UNSTORED_MS 10000
#define LIST_LATE_MS 500
#define ROSTER_MS 100
#define CRASHES_MS 120000

/* Crashes workers of other racks at the same time as each crash of the job. */
static void
crash_others_with (World *world, const char *id)
{
  uint32_t seen = world_crashes (world, id);

  for (int64_t end_ms = world->now_ms + CRASHES_MS; world->now_ms < end_ms;)
    {
      uint32_t worker;

      world_run (world, STEP_MS);
      if (world_crashes (world, id) == seen)
        continue;
      seen = world_crashes (world, id);
      worker = world->start[world->start_count - 1].worker;
      for (uint32_t i = 1; i <= OTHERS; i++)
        world_worker_crash (world, (worker + i * OUTAGE_RACK) % OUTAGE_WORKERS);
    }
}

/* No further start may be allowed because the first crash was lost with its
 * planner and all others are in outages. */
static void
test_crash_lost_with_its_planner_gives_no_further_start (void **state)
{
  World *world = world_with_ids_kept (OUTAGE_CELLS, OUTAGE_WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t known;

  (void) state;
  world->down_ms = DOWN_MS;
  world->relist_delay_ms = LIST_LATE_MS;
  (void) world_submit (world, planner, world_crashing_job (1, 2000, 0),
                       "crash");
  while (world_crashes (world, "crash") == 0)
    world_run (world, STEP_MS);
  known = world_logged (world, "worker_crashed");
  while (world_logged (world, "worker_crashed") == known)
    world_run (world, STEP_MS);
  world_run (world, ROSTER_MS);
  assert_int_equal (world_logged (world, "run_lost"), 0);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_REFUSES);
  world_run (world, UNSTORED_MS);
  world_cell_kill (world, planner);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  crash_others_with (world, "crash");
  assert_false (world_over_crash_budget (world));
  assert_int_equal (world_state (world, world_planner (world), "crash"),
                    MUX_JOB_FAILED);
  world_free (world);
}

/* A step of which all tasks crash their workers must not pass for an outage. */
static void
test_wide_crashing_step_is_no_outage (void **state)
{
  World *world = world_new (1, OUTAGE_WORKERS);

  (void) state;
  (void) world_submit (
      world, 0, world_crashing_job (OUTAGE_WORKERS, 20000, OUTAGE_WORKERS),
      "crash");
  world_run (world, OUTAGE_SETTLE_MS);
  assert_false (world_over_crash_budget (world));
  assert_int_equal (world_state (world, 0, "crash"), MUX_JOB_FAILED);
  world_free (world);
}

#define DAY_MS 100000

/* Waits until the job has begun @starts runs.
 *
 * Return: worker of the last one. */
static uint32_t
wait_for_start (World *world, const char *id, uint32_t starts)
{
  for (int64_t end_ms = world->now_ms + DAY_MS; world->now_ms < end_ms;)
    {
      world_run (world, STEP_MS);
      if (world_starts (world, id) == starts)
        return world->start[world->start_count - 1].worker;
    }
  fail_msg ("%s does not run", id);
  return 0;
}

#define MANY_WORKERS 48
#define RACKS_LOST 4

/* A task must not be given up because each rack in which it is placed loses
 * power at once. */
static void
test_task_survives_the_loss_of_each_rack (void **state)
{
  World *world = world_new (1, MANY_WORKERS);
  MuxJobSpec *job = world_job (1, 1, 2000);

  (void) state;
  job->step[0].long_running = true;
  world->task_ms = OUTAGE_FOREVER_MS;
  (void) world_submit (world, 0, job, "job-0");
  for (uint32_t i = 1; i <= RACKS_LOST; i++)
    {
      uint32_t first
          = wait_for_start (world, "job-0", i) / OUTAGE_RACK * OUTAGE_RACK;

      for (uint32_t j = first; j < first + OUTAGE_RACK; j++)
        world_worker_crash (world, j);
    }
  world_run (world, RESTART_MS);
  assert_int_equal (outage_failed_jobs (world, 1), 0);
  assert_int_equal (running (world, "job-0"), 1);
  world_free (world);
}

#define LOSSES 4
#define PAUSE_MS 20000
#define START_MS 1000

/* A task must not be held back for twice the pause because a record of its
 * next start counts as one more loss. */
static void
test_pause_behind_lost_runs_begins_once (void **state)
{
  World *world = world_new (1, OUTAGE_WORKERS);

  (void) state;
  world->task_ms = OUTAGE_FOREVER_MS;
  (void) world_submit (world, 0, world_job (1, 1, 2000), "job-0");
  for (uint32_t i = 1; i <= LOSSES; i++)
    {
      uint32_t lost = world_logged (world, "run_lost");
      uint32_t worker = wait_for_start (world, "job-0", i);

      world->worker[worker].unreachable = true;
      while (world_logged (world, "run_lost") == lost)
        world_run (world, STEP_MS);
    }
  world_run (world, PAUSE_MS + START_MS);
  assert_int_equal (world_starts (world, "job-0"), LOSSES + 1);
  world_free (world);
}

#define MARKS_LAST 2

/* Removes from each lost run the fields that the previous version did not
 * write. */
static void
cut_losses (json_t *json)
{
  const char *key;
  json_t *value;
  size_t i;

  if (json_is_object (json))
    json_object_foreach (json, key, value)
    {
      json_t *group;
      json_t *run;
      size_t j;
      size_t k;

      if (strcmp (key, "lost") != 0)
        {
          cut_losses (value);
          continue;
        }
      json_array_foreach (value, j, group) json_array_foreach (
          json_array_get (group, json_array_size (group) - 1), k,
          run) while (json_array_size (run) > MARKS_LAST + 1)
          json_array_remove (run, MARKS_LAST + 1);
    }
  else if (json_is_array (json))
    json_array_foreach (json, i, value) cut_losses (value);
}

/* The count of crashes must be readable after an upgrade. */
static void
test_losses_of_the_version_before_are_read (void **state)
{
  World *world = world_new (OUTAGE_CELLS, OUTAGE_WORKERS);
  uint32_t planner = world_planner (world);
  char part[MUX_ROW_NAME_LEN];
  json_t *json;
  char *text;

  (void) state;
  (void) world_submit (world, 0, world_crashing_job (1, 2000, 0), "crash");
  while (world_crashes (world, "crash") < 2)
    world_run (world, 10);
  world_run (world, 500);
  world_cell_kill (world, planner);
  text = world_row_text (world, MUX_TABLE_PROGRESS, "crash");
  json = json_loads (text, 0, NULL);
  assert_non_null (strstr (text, "\"lost\""));
  free (text);
  cut_losses (json);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  memcpy (part, world_row (world, MUX_TABLE_PROGRESS, "crash")->part,
          sizeof part);
  world_put_row (world, MUX_TABLE_PROGRESS, part, "crash", text);
  free (text);
  world_run (world, OUTAGE_SETTLE_MS);
  assert_false (world_over_crash_budget (world));
  assert_int_equal (world_crashes (world, "crash"), 3);
  assert_int_equal (world_state (world, world_planner (world), "crash"),
                    MUX_JOB_FAILED);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_jobs_survive_crashes_of_half_the_workers),
    cmocka_unit_test (test_jobs_survive_crashes_of_the_same_half),
    cmocka_unit_test (test_jobs_survive_crashes_with_their_planners),
    cmocka_unit_test (test_jobs_survive_crashes_of_racks),
    cmocka_unit_test (test_jobs_survive_single_crashes_in_a_rack),
    cmocka_unit_test (test_crash_lost_with_its_planner_gives_no_further_start),
    cmocka_unit_test (test_wide_crashing_step_is_no_outage),
    cmocka_unit_test (test_task_survives_the_loss_of_each_rack),
    cmocka_unit_test (test_pause_behind_lost_runs_begins_once),
    cmocka_unit_test (test_losses_of_the_version_before_are_read),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
