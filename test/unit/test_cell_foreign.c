#include "base/counters.h"
#include "support/cell_world.h"
#include "support/test.h"

#include <stdio.h>

/* Rows of the store written by another writer, or another version of the
 * program: such a row is never used, and everything else goes on. */

#define CELLS 2
#define WORKERS 4
/* A worker that the test knows and its list does not; see stranger(). */
#define STRANGER 9
/* Steps of the job whose progress is lost. */
#define PROGRESS_STEPS 3
/* Jobs that are submitted while noise comes. */
#define NOISE_JOBS 10
/* Tasks of this length outlive a takeover and the lease of a lost worker. */
#define LONG_MS 18000
/* From the planner's failure until its successor has taken over. */
#define TAKEOVER_MS 4000
/* A takeover and the wait for the longest lease of an unconfirmed worker. */
#define LEASES_OVER_MS 16000
/* A byte longer than any name. */
#define LONG_NAME "0123456789abcdef0123456789abcdef0123456789abcdef"
/* Bytes that this program never writes. */
#define GARBAGE "\x01\xff{\"addr\""

static void
submit (World *world, uint32_t steps, uint32_t tasks, const char *id)
{
  uint64_t call = world_submit (world, world_planner (world),
                                world_job (steps, tasks, 1000), id);

  world_run (world, 400);
  assert_true (world->answered[call]);
  assert_int_equal (world->response[call].outcome, MUX_RESPONSE_ACCEPTED);
}

static void
take_over (World *world)
{
  uint32_t planner = world_planner (world);

  world_cell_kill (world, planner);
  world_run (world, TAKEOVER_MS);
  assert_int_not_equal (world_planner (world), planner);
}

static uint32_t
starts_at (const World *world, uint32_t worker, const char *id)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < world->start_count; i++)
    n += world->start[i].worker == worker
         && strcmp (world->start[i].task.job, id) == 0;
  return n;
}

static void
overwrite (World *world, MuxCellTable table, const char *key, const char *value)
{
  char part[MUX_ROW_NAME_LEN];

  memcpy (part, world_row (world, table, key)->part, sizeof part);
  world_put_row (world, table, part, key, value);
}

/* A worker that serves every call to its address, and counts the calls. */
static MuxWorkerInfo
stranger (World *world)
{
  WorldWorker *worker = &world->worker[STRANGER];

  worker->used = true;
  worker->info = world->worker[0].info;
  snprintf (worker->info.id, sizeof worker->info.id, "i-stranger");
  snprintf (worker->info.addr, sizeof worker->info.addr, "10.9.0.1:8000");
  return worker->info;
}

/*
 * Another writer overwrites the entry of a worker that runs a task. No task
 * may start there any more; the one that runs must go on and end once, and the
 * other workers go on as before. When the entry can be parsed again the worker
 * is used again.
 */
static void
test_worker_whose_entry_became_unreadable (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->task_ms = LONG_MS;
  submit (world, 1, 64, "before");
  world_run (world, 1000);
  assert_true (starts_at (world, 0, "before") > 0);
  world->task_ms = 1000;
  world_put_row (world, MUX_TABLE_WORKERS, "", "i-0-1", GARBAGE);
  world_run (world, 100);
  submit (world, 1, 48, "during");
  world_run (world, 3000);
  assert_int_equal (starts_at (world, 0, "during"), 0);
  assert_int_equal (world_starts (world, "during"), 48);
  world_put_row (world, MUX_TABLE_WORKERS, "", "i-0-1", "{}");
  world_run (world, LONG_MS);
  assert_int_equal (world_state (world, 0, "before"), MUX_JOB_COMPLETED);
  assert_int_equal (world_starts (world, "before"), 64);
  submit (world, 1, 100, "after");
  world_run (world, 1000);
  assert_true (starts_at (world, 0, "after") > 0);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * A table is read in full after its history was dropped, page by page, and
 * each page holds rows that can't be parsed, also as its last. All workers
 * with valid rows must be used, and none of the others be called.
 */
static void
test_whole_reading_with_unreadable_rows (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxWorkerInfo info = stranger (world);

  (void) state;
  world->page_rows = 2;
  for (uint32_t i = 0; i < 20; i++)
    {
      char key[MUX_ROW_NAME_LEN];

      snprintf (key, sizeof key, "i-%u-0", i);
      world_put_row (world, MUX_TABLE_WORKERS, "", key, GARBAGE);
      snprintf (key, sizeof key, "i-%u-%070u", i, i);
      world_list_as (world, "", key, &info);
    }
  take_over (world);
  submit (world, 1, 100, "job");
  world_run (world, 5000);
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_COMPLETED);
  for (uint32_t i = 0; i < WORKERS; i++)
    assert_true (starts_at (world, i, "job") > 0);
  assert_int_equal (world->worker[STRANGER].calls, 0);
  world_free (world);
}

/*
 * An entry has a key that is no worker's: longer than an id, with a line break
 * that would end the header of a call, or in a part that does not hold the
 * list. Such an entry names no worker; changes to it, its removal too, change
 * nothing for the worker whose key it has.
 */
static void
test_keys_that_are_no_workers (void **state)
{
  static const char *const keys[]
      = { "", "i-0-1\r\nX: y", "i 1", "i-\xc3\xbc",
          "i-0000000000000000000000000000000000000000000000001" };
  World *world = world_new (CELLS, WORKERS);
  MuxWorkerInfo info = stranger (world);

  (void) state;
  for (uint32_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    world_list_as (world, "", keys[i], &info);
  world_list_as (world, "elsewhere", "i-elsewhere", &info);
  for (uint32_t i = 0; i < WORKERS; i++)
    world_remove_row (world, MUX_TABLE_WORKERS, "elsewhere",
                      world->worker[i].info.id);
  world_run (world, 3000);
  assert_int_equal (world->worker[STRANGER].calls, 0);
  submit (world, 1, 100, "job");
  world_run (world, 1000);
  for (uint32_t i = 0; i < WORKERS; i++)
    assert_true (starts_at (world, i, "job") > 0);
  world_free (world);
}

/*
 * An entry names a service that no queue has. The worker must not be called,
 * nor be written into the roster; once a queue uses that service, it is used.
 */
static void
test_service_that_no_queue_names (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxWorkerInfo info = stranger (world);

  (void) state;
  snprintf (info.service, sizeof info.service, "unheard-of");
  world_list_as (world, "", info.id, &info);
  info.service[0] = 0;
  world_list_as (world, "", "i-none", &info);
  world_run (world, 3000);
  assert_int_equal (world->worker[STRANGER].calls, 0);
  world_list_as (world, "", info.id, &world->worker[STRANGER].info);
  world_run (world, 1000);
  assert_true (world->worker[STRANGER].calls > 0);
  world_free (world);
}

/*
 * Another writer gives the entry of a worker that runs tasks the address of
 * another worker. Another incarnation answers there, and the planner must not
 * take the first for dead and start its tasks again while they run: an
 * incarnation keeps the address at which it has answered.
 */
static void
test_entry_with_the_address_of_another (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxWorkerInfo info = world->worker[0].info;

  (void) state;
  world->task_ms = LONG_MS;
  submit (world, 1, 64, "job");
  world_run (world, 1000);
  snprintf (info.addr, sizeof info.addr, "%s", world->worker[1].info.addr);
  world_list_as (world, "", info.id, &info);
  world_run (world, LONG_MS + 2000);
  assert_int_equal (world_starts (world, "job"), 64);
  assert_false (world_double_run (world));
  assert_int_equal (world_state (world, 0, "job"), MUX_JOB_COMPLETED);
  world_free (world);
}

/*
 * Two entries have the same address, as after a crash that the list has not
 * noticed yet. The incarnation that answers there keeps its tasks; the other
 * is never used.
 */
static void
test_two_entries_of_one_address (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxWorkerInfo info = world->worker[0].info;

  (void) state;
  world->task_ms = LONG_MS;
  submit (world, 1, 64, "job");
  world_run (world, 1000);
  world_list_as (world, "", "i-twin", &info);
  world_run (world, LONG_MS + 2000);
  assert_int_equal (world_starts (world, "job"), 64);
  assert_int_equal (world_state (world, 0, "job"), MUX_JOB_COMPLETED);
  world_free (world);
}

static void
fail_if_roster_row_frees (const char *value)
{
  World *world = world_new (CELLS, WORKERS);

  world->task_ms = LONG_MS;
  submit (world, 1, 64, "job");
  world_run (world, 1000);
  overwrite (world, MUX_TABLE_ROSTER, "i-0-1", value);
  world_remove_row (world, MUX_TABLE_WORKERS, "", "i-0-1");
  take_over (world);
  world_run (world, LEASES_OVER_MS + LONG_MS);
  assert_false (world_double_run (world));
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_COMPLETED);
  world_free (world);
}

/*
 * The planner fails while a worker that is missing from the list runs tasks;
 * the roster's row for it can't be parsed. A successor must not take all
 * workers as confirmed and start those tasks again while they run: the key
 * alone says that something may run there, and it waits until the longest
 * lease has expired.
 */
static void
test_unreadable_roster_row (void **state)
{
  static const char *const values[]
      = { GARBAGE,
          "{}",
          "[]",
          "{\"addr\":5}",
          "{\"addr\":\"nowhere\"}",
          "{\"addr\":\"10.1.0.1:0\",\"over_ms\":-1}",
          NULL };

  (void) state;
  for (uint32_t i = 0; i < sizeof values / sizeof values[0]; i++)
    fail_if_roster_row_frees (values[i]);
}

/*
 * The stored expiry of a lost worker is years ahead. Its tasks must run again
 * all the same; no planner can have requested a lease longer than the one that
 * all use.
 */
static void
test_roster_mark_far_in_the_future (void **state)
{
  World *world = world_new (CELLS, WORKERS);

  (void) state;
  world->task_ms = LONG_MS;
  submit (world, 1, 64, "job");
  world_run (world, 1000);
  overwrite (world, MUX_TABLE_ROSTER, "i-0-1",
             "{\"addr\":\"10.1.0.1:8000\",\"over_ms\":9223372036854775807}");
  world_remove_row (world, MUX_TABLE_WORKERS, "", "i-0-1");
  world->worker[0].unreachable = true;
  take_over (world);
  world_run (world, LEASES_OVER_MS + LONG_MS);
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * The roster's row for a worker names an address where nobody answers. Its
 * true entry in the list is not taken, as an incarnation keeps the address at
 * which it was called before. That must last no longer than the longest lease,
 * after which its room is used again; what ran there goes on or runs again
 * after its lease, and nothing runs twice.
 */
static void
test_roster_row_with_a_wrong_address_costs_a_lease (void **state)
{
  World *world = world_new (CELLS, 1);

  (void) state;
  world->task_ms = LONG_MS;
  submit (world, 1, 1, "before");
  world_run (world, 1000);
  overwrite (world, MUX_TABLE_ROSTER, "i-0-1", "{\"addr\":\"10.1.7.7:8000\"}");
  take_over (world);
  submit (world, 1, 1, "after");
  world_run (world, LEASES_OVER_MS + 2 * LONG_MS);
  assert_true (starts_at (world, 0, "after") > 0);
  assert_int_equal (world_state (world, world_planner (world), "before"),
                    MUX_JOB_COMPLETED);
  assert_int_equal (world_state (world, world_planner (world), "after"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * A roster longer than a page: a successor that reads the first page again and
 * again would never begin to plan.
 */
static void
test_roster_of_several_pages (void **state)
{
  World *world = world_new (CELLS, 8);

  (void) state;
  submit (world, 1, 200, "before");
  world_run (world, 3000);
  world->page_rows = 3;
  take_over (world);
  submit (world, 1, 10, "after");
  world_run (world, 3000);
  assert_int_equal (world_state (world, world_planner (world), "after"),
                    MUX_JOB_COMPLETED);
  world_free (world);
}

/* Progress of the job of fail_if_progress_row_runs_again() as if nothing of
 * it were done. */
static json_t *
fresh_progress (void)
{
  json_t *stages = json_array ();

  for (int i = 0; i < PROGRESS_STEPS; i++)
    (void) json_array_append_new (
        stages,
        json_pack ("{s:i, s:i, s:s, s:[], s:[], s:[], s:[]}", "occurrence",
                   i / PROGRESS_STEPS, "step", i % PROGRESS_STEPS, "done", "00",
                   "gang_failures", "failures", "saved", "workers"));
  return json_pack ("{s:b, s:i, s:o}", "started", 1, "occurrences", 1, "stages",
                    stages);
}

/* Progress with one field of it, or of its first stage, replaced. */
static char *
progress_with (const char *field, const char *value)
{
  json_t *json = fresh_progress ();
  json_t *at = json_object_get (json, field) != NULL
                   ? json
                   : json_array_get (json_object_get (json, "stages"), 0);
  char *text;

  if (value != NULL)
    (void) json_object_set_new (at, field,
                                json_loads (value, JSON_DECODE_ANY, NULL));
  else
    (void) json_object_del (at, field);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static void
fail_if_progress_row_runs_again (const char *value)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t starts;

  submit (world, PROGRESS_STEPS, 8, "job");
  world_run (world, 1000);
  overwrite (world, MUX_TABLE_PROGRESS, "job", value);
  starts = world_starts (world, "job");
  assert_true (starts >= 8 && starts < PROGRESS_STEPS * 8);
  take_over (world);
  assert_int_equal (world_starts (world, "job"), starts);
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_FAILED);
  world_free (world);
}

/*
 * The planner fails, and the stored progress of a job can't be parsed, or only
 * in part. A successor that begins anew would run tasks again that were done.
 * Which ones is not known any more: nothing of the job starts again, and its
 * caller is told that it failed, instead of nothing.
 */
static void
test_unreadable_progress_row (void **state)
{
  static const char *const values[] = { GARBAGE, NULL, "[]", "{}" };
  static const struct
  {
    const char *field;
    const char *value;
  } changes[] = {
    { "started", NULL },
    { "occurrences", "\"1\"" },
    { "occurrences", "0" },
    { "occurrences", "4294967295" },
    { "stages", "[]" },
    { "stages", "{}" },
    { "stages", "[7,7,7]" },
    { "occurrence", "1" },
    { "step", "1" },
    { "step", "-1" },
    { "done", "255" },
    { "done", "\"zz\"" },
    { "done", "\"0\"" },
    { "gang_failures", "3" },
    { "failures", "[[0,5]]" },
    { "failures", "[[8,[1]]]" },
    { "saved", "[[0,{}]]" },
    { "workers", NULL },
    { "workers", "[7]" },
    { "workers", "[\"" LONG_NAME "\"]" },
    { "gang_failures", "[\"1\"]" },
    { "gang_failures", "[4294967296]" },
    { "failures", "[[0,[-1]]]" },
  };

  (void) state;
  for (uint32_t i = 0; i < sizeof values / sizeof values[0]; i++)
    fail_if_progress_row_runs_again (values[i]);
  for (uint32_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      char *text = progress_with (changes[i].field, changes[i].value);

      fail_if_progress_row_runs_again (text);
      free (text);
    }
}

/*
 * Valid progress is used, also of a job that runs several times: its
 * occurrences are bounded by the wall clock, so that a row of another writer
 * can't make a planner begin any number of them.
 */
static void
test_progress_of_a_repeated_job (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (2, 4, 1000);

  (void) state;
  job->repetitions = 4;
  job->interval_ms = 1500;
  job->first_due_ms = 1700000000000 + world->now_ms;
  (void) world_submit (world, world_planner (world), job, "job");
  world_run (world, 3500);
  take_over (world);
  world_run (world, TAKEOVER_MS);
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  assert_int_equal (world_logged (world, "row_unreadable"), 0);
  world_free (world);
}

/*
 * The same for a job whose tasks run until it is cancelled. No task of it is
 * ever done, so that nothing can be repeated by going on: it does, once all
 * workers where it may run have answered.
 */
static void
test_unreadable_progress_of_a_service (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  MuxJobSpec *job = world_job (1, 8, 1000);

  (void) state;
  job->step[0].long_running = true;
  world->task_ms = 10 * LONG_MS;
  (void) world_submit (world, world_planner (world), job, "job");
  world_run (world, 2000);
  overwrite (world, MUX_TABLE_PROGRESS, "job", GARBAGE);
  take_over (world);
  world_run (world, LEASES_OVER_MS);
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_ACTIVE);
  assert_int_equal (world_starts (world, "job"), 8);
  assert_false (world_double_run (world));
  world_free (world);
}

static void
fail_if_fence_stops_takeover (const char *key, const char *value)
{
  World *world = world_new (CELLS, WORKERS);
  char part[MUX_ROW_NAME_LEN];

  submit (world, 1, 4, "before");
  for (uint32_t i = 0; i < 4; i++)
    {
      snprintf (part, sizeof part, "p%u", i);
      world_put_row (world, MUX_TABLE_FENCE, part, key, value);
    }
  take_over (world);
  submit (world, 1, 4, "after");
  world_run (world, 3000);
  assert_int_equal (world_state (world, world_planner (world), "after"),
                    MUX_JOB_COMPLETED);
  assert_false (world_double_run (world));
  world_free (world);
}

/*
 * The fence row of a part can't be parsed, names a claim that can't have
 * existed yet, or another row precedes it. A new planner must not give up, or
 * try its write for ever, so that no job runs any more.
 */
static void
test_unreadable_fence_row (void **state)
{
  (void) state;
  fail_if_fence_stops_takeover ("a", "{\"term\":1}");
  fail_if_fence_stops_takeover ("fence", "{\"term\":-1}");
  fail_if_fence_stops_takeover ("fence", "{\"term\":9000000000000000000}");
  fail_if_fence_stops_takeover ("fence", "{\"term\":\"7\"}");
  fail_if_fence_stops_takeover ("fence", GARBAGE);
  fail_if_fence_stops_takeover ("fence", NULL);
}

/*
 * A daemon of another version holds the claim, in a form that can't be parsed,
 * and writes heartbeats. A daemon that takes the claim as vacant would replace
 * it at once, and the two replace each other in turn. The claim is taken only
 * once the heartbeats stop.
 */
static void
test_unreadable_claim_is_not_vacant (void **state)
{
  static const char *const values[]
      = { GARBAGE,
          "[]",
          "{\"name\":\"entry-9\",\"addr\":\"10.0.0.9:7000\","
          "\"incarnation\":\"7\"}",
          "{\"name\":\"entry-9\",\"incarnation\":7}",
          "{\"name\":9,\"addr\":\"10.0.0.9:7000\",\"incarnation\":7}",
          NULL };

  (void) state;
  for (uint32_t v = 0; v < sizeof values / sizeof values[0]; v++)
    {
      World *world = world_new (CELLS, WORKERS);
      uint64_t version;

      world_put_row (world, MUX_TABLE_CLAIM, "", "claim", values[v]);
      version = world_claim_version (world);
      for (uint32_t i = 0; i < 10; i++)
        {
          world_put_row (world, MUX_TABLE_CLAIM, "", "beat", "{}");
          world_run (world, 500);
          assert_int_equal (world_claim_version (world), version);
        }
      world_run (world, TAKEOVER_MS);
      assert_true (world_planner (world) < CELLS);
      submit (world, 1, 4, "job");
      world_run (world, 3000);
      assert_int_equal (world_state (world, 0, "job"), MUX_JOB_COMPLETED);
      world_free (world);
    }
}

/* The same for a claim in another part than its table's own. */
static void
test_claim_in_another_part (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint64_t version;

  (void) state;
  world_run (world, 1000);
  version = world_claim_version (world);
  world_put_row (world, MUX_TABLE_CLAIM, "x", "claim", GARBAGE);
  world_put_row (world, MUX_TABLE_JOBS, "", "claim", GARBAGE);
  world_run (world, 3000);
  assert_int_equal (world_logged (world, "planner_ended"), 0);
  submit (world, 1, 4, "job");
  world_run (world, 3000);
  assert_int_equal (world_state (world, 0, "job"), MUX_JOB_COMPLETED);
  assert_true (version > 0);
  world_free (world);
}

/* A stored job as this program writes it. */
static char *
job_text (const char *id)
{
  MuxJobSpec *job = world_job (1, 1, 1000);
  json_t *json;
  char *text;

  snprintf (job->id, sizeof job->id, "%s", id);
  snprintf (job->queue.name, sizeof job->queue.name, "batch");
  snprintf (job->queue.service, sizeof job->queue.service, "booking");
  job->queue.attempts_max = 3;
  job->queue.slack_milli = 4000;
  json = mux_job_to_json (job);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  mux_job_free (job);
  return text;
}

/*
 * A job's row is in a part that is not its own, or names another job than its
 * key. Its end could not be stored where the row is, so that each new planner
 * would run it again. It is never run, and other jobs are.
 */
static void
test_job_row_out_of_place (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  char *text = job_text ("misplaced");
  char part[MUX_ROW_NAME_LEN];

  (void) state;
  for (uint32_t i = 0; i < 4; i++)
    {
      snprintf (part, sizeof part, "p%u", i);
      world_put_row (world, MUX_TABLE_JOBS, part, "other-key", text);
    }
  world_put_row (world, MUX_TABLE_JOBS, "elsewhere", "misplaced", text);
  world_run (world, 2000);
  take_over (world);
  submit (world, 1, 4, "job");
  world_run (world, 3000);
  assert_int_equal (world_starts (world, "misplaced"), 0);
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_COMPLETED);
  free (text);
  world_free (world);
}

/*
 * A row whose key begins as a job's id does and ends as a cancel's: cut to the
 * length of an id it would cancel a job that nobody cancelled.
 */
static void
test_cancel_key_longer_than_an_id (void **state)
{
  static const char id[] = "0123456789abcdef0123456789abcdef";
  World *world = world_new (CELLS, WORKERS);
  char part[MUX_ROW_NAME_LEN];

  (void) state;
  world->task_ms = 3000;
  submit (world, 1, 4, id);
  memcpy (part, world_row (world, MUX_TABLE_JOBS, id)->part, sizeof part);
  world_put_row (world, MUX_TABLE_JOBS, part,
                 "0123456789abcdef0123456789abcdef-more!", "{}");
  world_put_row (world, MUX_TABLE_JOBS, "elsewhere",
                 "0123456789abcdef0123456789abcdef!", "{}");
  world_run (world, 6000);
  assert_int_equal (world_state (world, 0, id), MUX_JOB_COMPLETED);
  world_free (world);
}

static void
fail_if_job_row_runs (const char *value)
{
  World *world = world_new (CELLS, WORKERS);

  submit (world, 1, 4, "job");
  world_cell_kill (world, world_planner (world));
  overwrite (world, MUX_TABLE_JOBS, "job", value);
  world_run (world, TAKEOVER_MS);
  submit (world, 1, 4, "other");
  world_run (world, TAKEOVER_MS);
  assert_int_equal (world_starts (world, "job"), 4);
  assert_int_equal (world_state (world, world_planner (world), "job"),
                    MUX_JOB_ACTIVE);
  assert_int_equal (world_state (world, world_planner (world), "other"),
                    MUX_JOB_COMPLETED);
  assert_true (world_logged (world, "row_unreadable") >= 1);
  world_free (world);
}

/*
 * A job's row can't be parsed, or only in part. Read with gaps it would run
 * without its order, its attempts or its service. It is not run and not
 * removed: a daemon that understands it can go on, and its caller may cancel
 * it.
 */
static void
test_unreadable_job_row (void **state)
{
  static const char *const values[] = {
    GARBAGE,
    NULL,
    "{\"id\":\"job\",\"steps\":[{\"count\":1}]}",
    "{\"id\":\"job\",\"queue\":{\"service\":\"booking\"},"
    "\"steps\":[{\"count\":1}]}",
    "{\"id\":\"job\",\"queue\":{\"service\":\"booking\",\"attempts_max\":3},"
    "\"steps\":[{\"count\":1},{\"count\":1,\"after\":\"1\"}]}",
    "{\"id\":\"job\",\"queue\":{\"service\":\"booking\",\"attempts_max\":3},"
    "\"payload\":7,\"steps\":[{\"count\":1}]}",
    "{\"id\":\"job\",\"queue\":{\"service\":\"booking\",\"attempts_max\":3},"
    "\"accepted_wall_ms\":-9223372036854775807,\"steps\":[{\"count\":1}]}",
  };

  (void) state;
  for (uint32_t i = 0; i < sizeof values / sizeof values[0]; i++)
    fail_if_job_row_runs (values[i]);
}

/*
 * The row of a job's end can't be parsed. That it exists says that the job
 * ended; a caller who is told that there is no such job would submit it again.
 */
static void
test_unreadable_end (void **state)
{
  static const char *const values[]
      = { GARBAGE, NULL, "{}", "{\"state\":\"absent\"}", "{\"state\":3}" };

  (void) state;
  for (uint32_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      World *world = world_new (CELLS, WORKERS);
      uint64_t call;

      submit (world, 1, 4, "job");
      world_run (world, 3000);
      overwrite (world, MUX_TABLE_ENDED, "job", values[i]);
      take_over (world);
      call = world_request (world, world_planner (world), MUX_REQUEST_QUERY,
                            "job");
      world_run (world, 4000);
      assert_int_equal (world->response[call].outcome, MUX_RESPONSE_REFUSED);
      call = world_request (world, world_planner (world), MUX_REQUEST_CANCEL,
                            "job");
      world_run (world, 4000);
      assert_int_equal (world->response[call].outcome, MUX_RESPONSE_NO_JOB);
      world_free (world);
    }
}

/* The end of another job whose id begins alike is not this one's. */
static void
test_end_of_a_job_whose_id_begins_alike (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  char id[MUX_JOB_ID_LEN];
  char part[MUX_ROW_NAME_LEN];

  (void) state;
  submit (world, 1, 1, "job-1");
  world_run (world, 3000);
  memcpy (part, world_row (world, MUX_TABLE_ENDED, "job-1")->part, sizeof part);
  for (uint32_t i = 0; i < 4; i++)
    {
      snprintf (part, sizeof part, "p%u", i);
      world_put_row (world, MUX_TABLE_ENDED, part, "job-1-more",
                     "{\"state\":\"completed\",\"ended_ms\":1}");
    }
  snprintf (id, sizeof id, "job-1-");
  take_over (world);
  assert_int_equal (world_state (world, world_planner (world), id),
                    MUX_JOB_ABSENT);
  world_free (world);
}

/*
 * A newer configuration can't be parsed. The previous one stays in force,
 * callers are still served, and the log says so once, however often the row is
 * read.
 */
static void
test_unreadable_configuration (void **state)
{
  World *world = world_new (1, WORKERS);

  (void) state;
  world_put_row (world, MUX_TABLE_CONFIG, "", "config", GARBAGE);
  world_put_row (world, MUX_TABLE_CONFIG, "", "wave", GARBAGE);
  for (uint32_t i = 0; i < 5; i++)
    {
      world_run (world, 1000);
      world->compacted_version = world->version;
      world_put_row (world, MUX_TABLE_ENDED, "elsewhere", "tick", "{}");
    }
  submit (world, 1, 4, "job");
  world_run (world, 3000);
  assert_int_equal (world_state (world, 0, "job"), MUX_JOB_COMPLETED);
  assert_int_equal (world_logged (world, "row_unreadable"), 1);
  world_put_row (world, MUX_TABLE_CONFIG, "", "config", "{}");
  world_run (world, 1000);
  assert_int_equal (world_logged (world, "row_unreadable"), 2);
  world_free (world);
}

/* Bytes drawn from a seed, some of them of JSON. */
static uint64_t
draw (uint64_t *seed)
{
  *seed
      = *seed * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return *seed >> 33;
}

static bool
has_completed (const World *world, const char *id)
{
  return strstr (world_row (world, MUX_TABLE_ENDED, id)->value->bytes,
                 "\"completed\"")
         != NULL;
}

static void
put_noise (World *world, uint64_t *seed)
{
  static const MuxCellTable tables[]
      = { MUX_TABLE_WORKERS, MUX_TABLE_CONFIG, MUX_TABLE_ENDED,
          MUX_TABLE_JOBS,    MUX_TABLE_FENCE,  MUX_TABLE_ROSTER };
  static const char *const parts[] = { "", "p0", "p1", "p2", "p3", "x" };
  static const char *const keys[]
      = { "i-90", "config", "a", "a!", "i-91", "noise", "~", "!" };
  static const char alphabet[] = "{}[]\":,0123456789-.eE truefalsn\\u\x01\xff";
  char value[64];
  size_t len = draw (seed) % (sizeof value - 1);

  for (size_t i = 0; i < len; i++)
    value[i] = alphabet[draw (seed) % (sizeof alphabet - 1)];
  value[len] = 0;
  world_put_row (world, tables[draw (seed) % 6], parts[draw (seed) % 6],
                 keys[draw (seed) % 8], draw (seed) % 8 == 0 ? NULL : value);
}

/*
 * Random rows are written to all tables while jobs run and planners change. No
 * process ends, all jobs do, each task runs once, and no worker is called that
 * such a row names.
 */
static void
test_noise_in_all_tables (void **state)
{
  (void) state;
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      World *world = world_new (CELLS, WORKERS);
      uint64_t draws = seed;
      char id[MUX_JOB_ID_LEN];

      for (uint32_t i = 0; i < NOISE_JOBS; i++)
        {
          for (uint32_t j = 0; j < 15; j++)
            put_noise (world, &draws);
          snprintf (id, sizeof id, "job-%u", i);
          if (i == NOISE_JOBS / 2)
            take_over (world);
          submit (world, 2, 4, id);
        }
      world_run (world, 3000);
      for (uint32_t i = 0; i < NOISE_JOBS; i++)
        {
          snprintf (id, sizeof id, "job-%u", i);
          assert_true (has_completed (world, id));
        }
      assert_false (world_double_run (world));
      world_free (world);
    }
}

#define ODD_ROWS 60
#define ODD_EVERY_MS 150
#define ODD_MS 15000
#define ODD_LINES_PER_S 5

/* Guards against a log that another writer fills by changing its odd entries
 * again and again, and against jobs that wait for that. */
static void
test_odd_entries_that_change_fill_no_log (void **state)
{
  World *world = world_new (CELLS, WORKERS);
  uint32_t versions = 0;

  (void) state;
  world->task_ms = 500;
  world_run (world, 1000);
  for (uint32_t at_ms = 0; at_ms < ODD_MS; at_ms += ODD_EVERY_MS)
    {
      for (uint32_t i = 0; i < ODD_ROWS; i++, versions++)
        {
          char key[MUX_ROW_NAME_LEN];

          snprintf (key, sizeof key, "i-odd-%u", i);
          world_put_row (world, MUX_TABLE_WORKERS, "", key, GARBAGE);
        }
      world_run (world, ODD_EVERY_MS);
    }
  assert_true (world_logged (world, "row_unreadable")
               <= ODD_LINES_PER_S * (ODD_MS / 1000 + 1));
  assert_true (world_logged (world, "row_unreadable") > 0);
  assert_int_equal (
      mux_counter_value (world->counters, MUX_COUNT_ROWS_BAD_VALUE), versions);
  submit (world, 1, 8, "after");
  world_run (world, 2000);
  assert_true (has_completed (world, "after"));
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_worker_whose_entry_became_unreadable),
    cmocka_unit_test (test_whole_reading_with_unreadable_rows),
    cmocka_unit_test (test_keys_that_are_no_workers),
    cmocka_unit_test (test_service_that_no_queue_names),
    cmocka_unit_test (test_entry_with_the_address_of_another),
    cmocka_unit_test (test_two_entries_of_one_address),
    cmocka_unit_test (test_unreadable_roster_row),
    cmocka_unit_test (test_roster_mark_far_in_the_future),
    cmocka_unit_test (test_roster_row_with_a_wrong_address_costs_a_lease),
    cmocka_unit_test (test_roster_of_several_pages),
    cmocka_unit_test (test_unreadable_progress_row),
    cmocka_unit_test (test_progress_of_a_repeated_job),
    cmocka_unit_test (test_unreadable_progress_of_a_service),
    cmocka_unit_test (test_unreadable_fence_row),
    cmocka_unit_test (test_unreadable_claim_is_not_vacant),
    cmocka_unit_test (test_claim_in_another_part),
    cmocka_unit_test (test_job_row_out_of_place),
    cmocka_unit_test (test_cancel_key_longer_than_an_id),
    cmocka_unit_test (test_unreadable_job_row),
    cmocka_unit_test (test_unreadable_end),
    cmocka_unit_test (test_end_of_a_job_whose_id_begins_alike),
    cmocka_unit_test (test_unreadable_configuration),
    cmocka_unit_test (test_noise_in_all_tables),
    cmocka_unit_test (test_odd_entries_that_change_fill_no_log),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
