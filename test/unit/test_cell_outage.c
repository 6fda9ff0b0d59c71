#include "support/cell_world.h"
#include "support/test.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Many workers crash by themselves, again and again: no task is the cause. */

#define WORKERS 24
#define CELLS 3
#define RACK 4
#define JOBS 24
#define WAVES 5
#define WAVE_MS 4000
#define RACK_WAVES 8
#define RACK_MS 2000
#define SINGLES 20
#define SINGLE_MS 1000
#define SETTLE_MS 40000
#define SHORT_MS 1000
#define MEDIUM_MS 4000
#define FOREVER_MS INT64_C (100000000)
/* A task that is to last runs again within this time, with room for it. */
#define RESTART_MS 6000
#define TASKS 3
#define PLANNER_DOWN_MS 2000

typedef enum
{
  KIND_SHORT,
  KIND_GANG,
  KIND_LASTING,
  KIND_COUNT
} Kind;

typedef void (*Outages) (World *world);

static World *
world_with_jobs (uint32_t cells, Kind kind, bool silent)
{
  static const int64_t task_ms[] = { SHORT_MS, MEDIUM_MS, FOREVER_MS };
  World *world = world_new (cells, WORKERS);
  char id[MUX_JOB_ID_LEN];

  world->task_ms = task_ms[kind];
  world->silent_crashes = silent;
  for (uint32_t i = 0; i < JOBS; i++)
    {
      MuxJobSpec *job = world_job (kind == KIND_LASTING ? 1 : 4, TASKS, 4000);

      for (uint32_t j = 0; j < job->step_count; j++)
        {
          job->step[j].gang = kind == KIND_GANG;
          job->step[j].long_running = kind == KIND_LASTING;
        }
      snprintf (id, sizeof id, "job-%u", i);
      (void) world_submit (world, 0, job, id);
    }
  world_run (world, 1000);
  return world;
}

/* Half of the workers, each time others. */
static void
crash_halves (World *world)
{
  for (uint32_t i = 0; i < WAVES; i++)
    {
      for (uint32_t j = 0; j < WORKERS; j++)
        if ((j * 7 + j / 3 + i) % 2 == 0)
          world_worker_crash (world, j);
      world_run (world, WAVE_MS);
    }
}

/* Half of the workers, the same each time. */
static void
crash_same_half (World *world)
{
  for (uint32_t i = 0; i < WAVES; i++)
    {
      for (uint32_t j = 0; j < WORKERS; j += 2)
        world_worker_crash (world, j);
      world_run (world, WAVE_MS);
    }
}

static void
crash_halves_and_planners (World *world)
{
  for (uint32_t i = 0; i < WAVES; i++)
    {
      uint32_t planner = world_planner (world);

      for (uint32_t j = i % 2; j < WORKERS; j += 2)
        world_worker_crash (world, j);
      if (planner < CELLS)
        world_cell_kill (world, planner);
      world_run (world, PLANNER_DOWN_MS);
      if (planner < CELLS)
        world_cell_start (world, planner);
      world_run (world, WAVE_MS - PLANNER_DOWN_MS);
    }
}

/* One rack after the other, each again and again. */
static void
crash_racks (World *world)
{
  for (uint32_t i = 0; i < RACK_WAVES; i++)
    {
      for (uint32_t j = 0; j < RACK; j++)
        world_worker_crash (world, i % 2 * RACK + j);
      world_run (world, RACK_MS);
    }
}

/* The workers of one rack, one at a time. */
static void
crash_singly_in_a_rack (World *world)
{
  for (uint32_t i = 0; i < SINGLES; i++)
    {
      world_worker_crash (world, i * 3 % RACK);
      world_run (world, SINGLE_MS);
    }
}

static uint32_t
running (const World *world, const char *id)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += world->start[i].ended_ms == 0
         && strcmp (world->start[i].task.job, id) == 0;
  return n;
}

static uint32_t
failed_jobs (World *world, uint32_t jobs)
{
  char id[MUX_JOB_ID_LEN];
  uint32_t n = 0;

  for (uint32_t i = 0; i < jobs; i++)
    {
      snprintf (id, sizeof id, "job-%u", i);
      n += world_state (world, world_planner (world), id) == MUX_JOB_FAILED;
    }
  return n;
}

/* All lasting tasks run again soon after the last outage, all others end. */
static void
check_none_is_held_back (World *world, Kind kind)
{
  char id[MUX_JOB_ID_LEN];

  world_run (world, kind == KIND_LASTING ? RESTART_MS : SETTLE_MS);
  assert_int_equal (failed_jobs (world, JOBS), 0);
  for (uint32_t i = 0; i < JOBS; i++)
    {
      snprintf (id, sizeof id, "job-%u", i);
      if (kind == KIND_LASTING)
        assert_int_equal (running (world, id), TASKS);
      else
        assert_int_equal (world_state (world, world_planner (world), id),
                          MUX_JOB_COMPLETED);
    }
}

static void
play (uint32_t cells, Outages outages)
{
  for (uint32_t kind = 0; kind < KIND_COUNT; kind++)
    for (uint32_t silent = 0; silent < 2; silent++)
      {
        World *world = world_with_jobs (cells, (Kind) kind, silent == 1);

        print_message ("jobs of kind %u, silent %u\n", kind, silent);
        outages (world);
        check_none_is_held_back (world, (Kind) kind);
        world_free (world);
      }
}

/* Guards against jobs that are given up, or held back, as half of the workers
 * goes down every few seconds. */
static void
test_jobs_survive_crashes_of_half_the_workers (void **state)
{
  (void) state;
  play (1, crash_halves);
}

/* The same, where it is the same half. */
static void
test_jobs_survive_crashes_of_the_same_half (void **state)
{
  (void) state;
  play (1, crash_same_half);
}

/* The same, and the planner goes with them. */
static void
test_jobs_survive_crashes_with_their_planners (void **state)
{
  (void) state;
  play (CELLS, crash_halves_and_planners);
}

/* Guards against jobs that are given up as racks lose power in turn. */
static void
test_jobs_survive_crashes_of_racks (void **state)
{
  (void) state;
  play (1, crash_racks);
}

/* Guards against jobs that are given up for the machines of a bad rack. */
static void
test_jobs_survive_single_crashes_in_a_rack (void **state)
{
  (void) state;
  play (1, crash_singly_in_a_rack);
}

/* One step of tasks that crash their workers, or of one that does. */
static MuxJobSpec *
crashing_job (Kind kind)
{
  MuxJobSpec *job = kind == KIND_GANG ? world_crashing_job (TASKS, 4000, 1)
                                      : world_crashing_job (1, 2000, 0);

  job->step[0].gang = kind == KIND_GANG;
  job->step[0].long_running = kind == KIND_LASTING;
  return job;
}

static void
play_with_crashing_job (uint32_t cells, Outages outages, Kind kind, bool silent)
{
  World *world = world_with_jobs (cells, KIND_SHORT, silent);

  print_message ("crashing job of kind %u, silent %d\n", kind, silent);
  (void) world_submit (world, 0, crashing_job (kind), "crash");
  outages (world);
  world_run (world, SETTLE_MS);
  assert_false (world_over_budget (world));
  assert_int_equal (world_state (world, world_planner (world), "crash"),
                    MUX_JOB_FAILED);
  assert_int_equal (failed_jobs (world, JOBS), 0);
  world_free (world);
}

/* Guards against a task that is taken for a victim of outages, and goes on
 * crashing its workers among them. */
static void
test_crashing_task_among_outages_is_given_up (void **state)
{
  static const Outages outages[]
      = { crash_halves, crash_same_half, crash_racks, crash_singly_in_a_rack };

  (void) state;
  for (uint32_t i = 0; i < sizeof outages / sizeof outages[0]; i++)
    for (uint32_t kind = 0; kind < KIND_COUNT; kind++)
      play_with_crashing_job (1, outages[i], (Kind) kind, (i + kind) % 2 == 1);
}

/* The same, and the planner goes with each outage. */
static void
test_crashing_task_among_lost_planners_is_given_up (void **state)
{
  (void) state;
  for (uint32_t kind = 0; kind < KIND_COUNT; kind++)
    for (uint32_t silent = 0; silent < 2; silent++)
      play_with_crashing_job (CELLS, crash_halves_and_planners, (Kind) kind,
                              silent == 1);
}

#define OTHERS 5
#define STEP_MS 4
#define DOWN_MS 1000
#define UNSTORED_MS 10000
#define LIST_LATE_MS 500
#define ROSTER_MS 100
#define CRASHES_MS 120000

/* Workers of other racks, at once with each crash of the job. */
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
        world_worker_crash (world, (worker + i * RACK) % WORKERS);
    }
}

/* Guards against a start too many as the first crash was lost with its planner
 * and all others are in outages. */
static void
test_crash_lost_with_its_planner_gives_no_further_start (void **state)
{
  World *world = world_with_ids_kept (CELLS, WORKERS);
  uint32_t planner = world_planner (world);
  uint32_t known;

  (void) state;
  world->down_ms = DOWN_MS;
  world->list_late_ms = LIST_LATE_MS;
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
  assert_false (world_over_budget (world));
  assert_int_equal (world_state (world, world_planner (world), "crash"),
                    MUX_JOB_FAILED);
  world_free (world);
}

/* Guards against a step of which all tasks crash their workers that is taken
 * for an outage. */
static void
test_wide_crashing_step_is_no_outage (void **state)
{
  World *world = world_new (1, WORKERS);

  (void) state;
  (void) world_submit (world, 0, world_crashing_job (WORKERS, 20000, WORKERS),
                       "crash");
  world_run (world, SETTLE_MS);
  assert_false (world_over_budget (world));
  assert_int_equal (world_state (world, 0, "crash"), MUX_JOB_FAILED);
  world_free (world);
}

#define DAY_MS 100000

/* Lets pass what is needed until the job has begun @starts runs.  Return:
 * worker of the last one. */
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

/* Guards against a task that is given up as each rack that it is placed in
 * loses power at once. */
static void
test_task_survives_the_loss_of_each_rack (void **state)
{
  World *world = world_new (1, MANY_WORKERS);
  MuxJobSpec *job = world_job (1, 1, 2000);

  (void) state;
  job->step[0].long_running = true;
  world->task_ms = FOREVER_MS;
  (void) world_submit (world, 0, job, "job-0");
  for (uint32_t i = 1; i <= RACKS_LOST; i++)
    {
      uint32_t first = wait_for_start (world, "job-0", i) / RACK * RACK;

      for (uint32_t j = first; j < first + RACK; j++)
        world_worker_crash (world, j);
    }
  world_run (world, RESTART_MS);
  assert_int_equal (failed_jobs (world, 1), 0);
  assert_int_equal (running (world, "job-0"), 1);
  world_free (world);
}

#define LOSSES 4
#define PAUSE_MS 20000
#define START_MS 1000

/* Guards against a task that is held back for twice the pause, as a record of
 * its next start counts as one more loss. */
static void
test_pause_behind_lost_runs_begins_once (void **state)
{
  World *world = world_new (1, WORKERS);

  (void) state;
  world->task_ms = FOREVER_MS;
  (void) world_submit (world, 0, world_job (1, 1, 2000), "job-0");
  for (uint32_t i = 1; i <= LOSSES; i++)
    {
      uint32_t lost = world_logged (world, "run_lost");
      uint32_t worker = wait_for_start (world, "job-0", i);

      world->worker[worker].cut = true;
      while (world_logged (world, "run_lost") == lost)
        world_run (world, STEP_MS);
    }
  world_run (world, PAUSE_MS + START_MS);
  assert_int_equal (world_starts (world, "job-0"), LOSSES + 1);
  world_free (world);
}

#define MARKS_LAST 2

/* Takes from each lost run what the version before did not write. */
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

/* Guards against a count of crashes that can't be read after an upgrade. */
static void
test_losses_of_the_version_before_are_read (void **state)
{
  World *world = world_new (CELLS, WORKERS);
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
  world_run (world, SETTLE_MS);
  assert_false (world_over_budget (world));
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
    cmocka_unit_test (test_crashing_task_among_outages_is_given_up),
    cmocka_unit_test (test_crashing_task_among_lost_planners_is_given_up),
    cmocka_unit_test (test_crash_lost_with_its_planner_gives_no_further_start),
    cmocka_unit_test (test_wide_crashing_step_is_no_outage),
    cmocka_unit_test (test_task_survives_the_loss_of_each_rack),
    cmocka_unit_test (test_pause_behind_lost_runs_begins_once),
    cmocka_unit_test (test_losses_of_the_version_before_are_read),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
