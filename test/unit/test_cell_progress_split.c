#include "support/cell_world.h"

#include "support/test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Jobs of which more is known than a row of the store holds. */

#define CELLS 2
#define WORKERS 8
#define SMALL_JOBS 16
/* No worker has so much. */
#define NEVER_CPU_MILLI 70000
#define ROUNDS 150
#define ROUND_MS 100
#define ROUND_STEPS 5
#define ROUND_TASKS 4

static void
submit_small_jobs (World *world)
{
  char id[MUX_JOB_ID_LEN];

  for (uint32_t i = 0; i < SMALL_JOBS; i++)
    {
      snprintf (id, sizeof id, "small-%u", (unsigned) i);
      (void) world_submit (world, world_planner (world), world_job (1, 2, 100),
                           id);
    }
}

static void
assert_small_jobs_completed (World *world)
{
  char id[MUX_JOB_ID_LEN];

  for (uint32_t i = 0; i < SMALL_JOBS; i++)
    {
      snprintf (id, sizeof id, "small-%u", (unsigned) i);
      assert_int_equal (world_state (world, world_planner (world), id),
                        MUX_JOB_COMPLETED);
    }
}

/* Rows of the job's progress, that under its id included. */
static uint32_t
progress_rows (const World *world, const char *id)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->row_count; i++)
    n += world->row[i].table == MUX_TABLE_PROGRESS && !world->row[i].removed
         && strncmp (world->row[i].key, id, strlen (id)) == 0;
  return n;
}

static void
replace_planner (World *world)
{
  uint32_t planner = world_planner (world);

  world_cell_kill (world, planner);
  while (world_planner (world) == planner
         || world_planner (world) == WORLD_CELLS_MAX)
    world_run (world, 10);
  world_cell_start (world, planner);
  world_run (world, 2000);
}

/* Rounds of which the last step can't be done: none of them ends. */
static MuxJobSpec *
endless_rounds (const World *world)
{
  MuxJobSpec *job = world_job (ROUND_STEPS, ROUND_TASKS, 100);

  job->step[ROUND_STEPS - 1].size.cpu_milli = NEVER_CPU_MILLI;
  job->repetitions = ROUNDS;
  job->first_due_ms = WORLD_WALL_MS + world->now_ms;
  job->interval_ms = ROUND_MS;
  return job;
}

/* Steps that are done in rounds that never end outgrow a row: jobs of the same
 * part must start, and the first steps of all rounds be done once, also by a
 * successor. */
static void
test_unfinished_rounds_hold_up_no_other_job (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world_run (world, 1000);
  world->task_ms = 50;
  (void) world_submit (world, world_planner (world), endless_rounds (world),
                       "rounds");
  world_run (world, ROUNDS * ROUND_MS / 2);
  replace_planner (world);
  world_run (world, ROUNDS * ROUND_MS);
  submit_small_jobs (world);
  world_run (world, 3000);
  assert_small_jobs_completed (world);
  replace_planner (world);
  world_run (world, 3000);
  /* Rounds do not begin while 128 steps or more have not ended. */
  assert_true (world_starts (world, "rounds")
               >= 128 * (ROUND_STEPS - 1) * ROUND_TASKS);
  assert_int_equal (world_state (world, world_planner (world), "rounds"),
                    MUX_JOB_ACTIVE);
  assert_int_equal (world->rejected_commits, 0);
  assert_false (world_double_run_acked (world));
  (void) world_request (world, world_planner (world), MUX_REQUEST_CANCEL,
                        "rounds");
  world_run (world, 3000);
  assert_int_equal (world_state (world, world_planner (world), "rounds"),
                    MUX_JOB_CANCELLED);
  assert_int_equal (progress_rows (world, "rounds"), 0);
  world_free (world);
}

/* One job of which each round has to wait for a step that is done late. */
static void
test_rounds_that_end_at_last_leave_no_rows (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world_run (world, 1000);
  world->task_ms = 50;
  (void) world_submit (world, world_planner (world), endless_rounds (world),
                       "rounds");
  world_run (world, ROUNDS * ROUND_MS + 2000);
  assert_int_equal (world_logged (world, "progress_split"), 1);
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_room (world, i, NEVER_CPU_MILLI * ROUND_TASKS);
  world_run (world, 2000);
  replace_planner (world);
  world_run (world, 20000);
  assert_int_equal (world_state (world, world_planner (world), "rounds"),
                    MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "rounds"),
                    ROUNDS * ROUND_STEPS * ROUND_TASKS);
  assert_int_equal (progress_rows (world, "rounds"), 0);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

#define LARGE_TASKS 1000

/* Checkpoints of a large job outgrow a row, and commits go unanswered when its
 * rows are first written: other jobs must end, and a successor must run none of
 * its tasks again that are done. */
static void
test_checkpoints_of_a_large_job_hold_up_no_other_job (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, LARGE_TASKS, 250);

  (void) state;
  world_run (world, 1000);
  world->task_ms = 12000;
  world->checkpoint_len = 160;
  for (uint32_t i = 0; i < WORKERS; i++)
    world->worker[i].speed_milli = 600 + 100 * i;
  job->step[0].size.mem_mib = 1;
  job->step[0].checkpointing = true;
  (void) world_submit (world, world_planner (world), job, "large");
  world_run (world, 4000);
  submit_small_jobs (world);
  while (world_logged (world, "progress_split") == 0 && world->now_ms < 30000)
    world_run (world, 1);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_LOSES_ANSWER);
  world_run (world, 200);
  world_set_commits (world, MUX_TABLE_PROGRESS, WORLD_SERVES);
  world_run (world, 300);
  assert_int_equal (world_logged (world, "progress_split"), 1);
  replace_planner (world);
  world_run (world, 40000);
  assert_small_jobs_completed (world);
  assert_int_equal (world_state (world, world_planner (world), "large"),
                    MUX_JOB_COMPLETED);
  assert_int_equal (world->rejected_commits, 0);
  assert_int_equal (progress_rows (world, "large"), 0);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/* A job fails whose progress takes several rows, and the planner is replaced
 * while they are removed: its successor must not run its tasks again. */
static void
test_failed_job_of_many_rows_stays_failed (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t starts;

  (void) state;
  world_run (world, 1000);
  world->task_ms = 50;
  (void) world_submit (world, world_planner (world), endless_rounds (world),
                       "rounds");
  world_run (world, ROUNDS * ROUND_MS);
  assert_int_equal (world_logged (world, "progress_split"), 1);
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      world->worker[i].fails = true;
      world_worker_room (world, i, NEVER_CPU_MILLI * ROUND_TASKS);
    }
  while (world_logged (world, "job_ended") == 0)
    world_run (world, 1);
  starts = world_starts (world, "rounds");
  replace_planner (world);
  world_run (world, 3000);
  assert_int_equal (world_state (world, world_planner (world), "rounds"),
                    MUX_JOB_FAILED);
  assert_int_equal (world_starts (world, "rounds"), starts);
  assert_int_equal (progress_rows (world, "rounds"), 0);
  world_free (world);
}

/* A planner of an earlier version must not take the job as one of which
 * nothing is done: to it the row of the job is unreadable. */
static void
test_split_job_is_unreadable_to_earlier_versions (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxFindings findings = { .count = 0 };
  char *text;
  json_t *json;

  (void) state;
  world_run (world, 1000);
  world->task_ms = 50;
  (void) world_submit (world, world_planner (world), endless_rounds (world),
                       "rounds");
  world_run (world, ROUNDS * ROUND_MS);
  text = world_row_text (world, MUX_TABLE_JOBS, "rounds");
  assert_non_null (text);
  json = json_loads (text, 0, NULL);
  assert_null (mux_job_from_json (json, &findings));
  assert_true (findings.count > 0);
  json_decref (json);
  free (text);
  world_free (world);
}

#define OLD_TASKS 800
#define OLD_DONE 40

/* The progress of a job of @OLD_TASKS tasks as earlier versions wrote it, in
 * one row of 60 KB: some tasks are done, and the others have saved something.
 */
static char *
old_progress (void)
{
  json_t *saved = json_array ();
  json_t *json;
  char done[OLD_TASKS / 4 + 1];
  char checkpoint[80];
  char *text;

  memset (done, '0', sizeof done - 1);
  memset (done, 'f', OLD_DONE / 4);
  done[sizeof done - 1] = 0;
  for (int i = OLD_DONE; i < OLD_TASKS; i++)
    {
      snprintf (checkpoint, sizeof checkpoint, "%070d", i);
      json_array_append_new (saved, json_pack ("[is]", i, checkpoint));
    }
  json = json_pack ("{s:b, s:i, s:i, s:[{s:i, s:i, s:s, s:[], s:[], s:o, s:[], "
                    "s:[]}]}",
                    "started", 1, "occurrences", 1, "done", 0, "stages",
                    "occurrence", 0, "step", 0, "done", done, "gang_failures",
                    "failures", "saved", saved, "lost", "workers");
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

/* A successor reads the progress that an earlier version left in one row, and
 * may then have to split it. */
static void
test_large_row_of_an_earlier_version_is_read (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, OLD_TASKS, NEVER_CPU_MILLI);
  char *text = old_progress ();
  const WorldRow *row;

  (void) state;
  assert_true (strlen (text) > 49152 && strlen (text) < WORLD_ROW_BYTES);
  world_run (world, 1000);
  world->task_ms = 3000;
  job->step[0].size.mem_mib = 1;
  (void) world_submit (world, world_planner (world), job, "old");
  world_run (world, 1000);
  row = world_row (world, MUX_TABLE_JOBS, "old");
  world_put_row (world, MUX_TABLE_PROGRESS, row->part, "old", text);
  free (text);
  for (uint32_t i = 0; i < WORKERS; i++)
    world_worker_room (world, i, NEVER_CPU_MILLI * OLD_TASKS / WORKERS);
  replace_planner (world);
  world_run (world, 1000);
  assert_int_equal (world_logged (world, "progress_split"), 1);
  replace_planner (world);
  world_run (world, 30000);
  assert_int_equal (world_state (world, world_planner (world), "old"),
                    MUX_JOB_COMPLETED);
  assert_true (world_starts (world, "old") <= OLD_TASKS - OLD_DONE);
  assert_int_equal (progress_rows (world, "old"), 0);
  assert_false (world_double_run_acked (world));
  world_free (world);
}

/* A job whose own row would be larger than the store takes is refused at once,
 * and the caller is told why. */
static void
test_job_beyond_a_row_is_refused (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (MUX_STEPS_MAX, 1, 100);
  uint64_t request;

  (void) state;
  world_run (world, 1000);
  for (uint32_t i = 0; i < MUX_STEPS_MAX; i++)
    {
      job->step[i].after = 0;
      memset (job->step[i].label, 1, MUX_NAME_LEN - 1);
      memset (job->step[i].data_rack, 1, MUX_NAME_LEN - 1);
    }
  free (job->payload);
  job->payload = calloc (1, MUX_JOB_PAYLOAD_MAX + 1);
  memset (job->payload, 1, MUX_JOB_PAYLOAD_MAX);
  request = world_submit (world, world_planner (world), job, "huge");
  world_run (world, 100);
  assert_int_equal (world->response[request].outcome, MUX_RESPONSE_TOO_LARGE);
  assert_int_equal (world->rejected_commits, 0);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_unfinished_rounds_hold_up_no_other_job),
    cmocka_unit_test (test_rounds_that_end_at_last_leave_no_rows),
    cmocka_unit_test (test_checkpoints_of_a_large_job_hold_up_no_other_job),
    cmocka_unit_test (test_failed_job_of_many_rows_stays_failed),
    cmocka_unit_test (test_split_job_is_unreadable_to_earlier_versions),
    cmocka_unit_test (test_large_row_of_an_earlier_version_is_read),
    cmocka_unit_test (test_job_beyond_a_row_is_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
