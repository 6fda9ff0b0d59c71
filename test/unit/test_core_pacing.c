/* A daemon's periodic traffic stays bounded as the cell grows. */
#include "bench/support/core_harness.h"
#include "support/test.h"

/* A daemon's share of the workers at the largest supported size. */
#define WORKERS 208
#define TASKS_EACH 4
#define MINUTES_MS (5 * 60 * 1000)
#define JOBS 2000
/* Limit of the scans for jobs without a home within MINUTES_MS. */
#define SCANS_MAX 10

static void
test_renewals_are_paced (void **state)
{
  CoreHarnessOptions options = { .workers = WORKERS,
                                 .slots = 64,
                                 .running = WORKERS * TASKS_EACH,
                                 .members = 1 };
  CoreHarness *h = core_harness_new (&options);
  uint64_t before;

  (void) state;
  core_harness_run (h, MINUTES_MS);
  before = h->asked[MUX_WORKER_RENEW];
  core_harness_run (h, MINUTES_MS);
  assert_in_range (h->asked[MUX_WORKER_RENEW] - before, MINUTES_MS / 1000,
                   4 * MINUTES_MS / 1000 + WORKERS);
  assert_int_equal (h->sent[MUX_PEER_TASK_ENDED], 0);
  core_harness_free (h, NULL);
}

/* A daemon with work on all workers, of which the list shows 16. */
static CoreHarness *
few_listed (void)
{
  CoreHarnessOptions options = { .workers = WORKERS,
                                 .listed = 16,
                                 .slots = 64,
                                 .running = WORKERS * TASKS_EACH,
                                 .members = 1 };

  return core_harness_new (&options);
}

static void
expect_all_held (CoreHarness *h)
{
  core_harness_run (h, MINUTES_MS);
  assert_int_equal (h->sent[MUX_PEER_TASK_ENDED], 0);
  assert_int_equal (mux_counter_value (h->counters, MUX_COUNT_CLAIMS), WORKERS);
  core_harness_free (h, NULL);
}

/* A peer dies and its workers fall to this daemon.  Renewals then slow down
 * at once, while the current leases were requested for the faster interval:
 * if the slower interval counted for them, the tasks of workers held from
 * before would be stopped and fail for their callers. */
static void
test_takeover_lets_no_lease_lapse (void **state)
{
  CoreHarness *h = few_listed ();

  (void) state;
  /* At each offset into the fast interval, as renewals may be in flight. */
  for (uint32_t count = 16; count <= WORKERS; count += 16)
    {
      core_harness_list (h, count);
      core_harness_run (h, 1037);
    }
  expect_all_held (h);
}

static void
test_takeover_at_once_lets_no_lease_lapse (void **state)
{
  CoreHarness *h = few_listed ();

  (void) state;
  core_harness_list (h, WORKERS);
  expect_all_held (h);
}

/* Members of other data centres at the largest supported size.  Each of
 * them counts some more members than this core does, and sends that much
 * more rarely. */
static void
test_far_heartbeats_are_bounded (void **state)
{
  CoreHarnessOptions options = { .members = 24, .far_rounds = 28 };
  CoreHarness *h = core_harness_new (&options);
  uint64_t before;

  (void) state;
  before = h->sent[MUX_PEER_HEARTBEAT];
  core_harness_run (h, MINUTES_MS);
  assert_in_range (h->sent[MUX_PEER_HEARTBEAT] - before, MINUTES_MS / 1000,
                   4 * MINUTES_MS / 1000);
  assert_int_equal (h->suspects, 0);
  core_harness_free (h, NULL);
}

/* Stores @count rows of open jobs of @home, spread over all ids. */
static void
put_open_jobs (CoreHarness *h, uint32_t count, const char *home)
{
  for (uint32_t i = 0; i < count; i++)
    {
      MuxId id = { mux_hash_name ("job", i), i };
      char hex[MUX_ID_HEX_LEN];
      char text[512];
      MuxRow row = { .rev = MUX_REV_ABSENT };
      StandinRowSet failed;
      uint64_t rev;

      mux_id_format (id, hex);
      snprintf (row.key, sizeof row.key, "job/open/%s", hex);
      snprintf (text, sizeof text,
                "{\"id\":\"%s\",\"class\":\"c\",\"task_count\":1,"
                "\"state\":\"open\",\"cancel\":false,\"home\":\"%s\","
                "\"home_incarnation\":1,\"object\":\"\",\"done\":0,"
                "\"failed\":0,\"at_ms\":1}",
                hex, home);
      row.value = mux_blob_new (text, strlen (text));
      assert_int_equal (
          standin_platform_txn (h->platform, &row, 1, &rev, &failed),
          MUX_TABLE_OK);
      mux_blob_unref (row.value);
    }
}

static void
test_one_daemon_adopts_all_jobs (void **state)
{
  CoreHarnessOptions options = { .table_ms = 1 };
  CoreHarness *h = core_harness_new (&options);

  (void) state;
  put_open_jobs (h, JOBS, "entry-gone");
  core_harness_run (h, MINUTES_MS);
  assert_int_equal (mux_counter_value (h->counters, MUX_COUNT_JOBS_ADOPTED),
                    JOBS);
  core_harness_free (h, NULL);
}

/* Each of 25 daemons reads its own partitions of the open jobs and only
 * some rows beyond them. */
static void
test_looks_for_jobs_are_shared (void **state)
{
  CoreHarnessOptions options = { .members = 24, .near = 1, .table_ms = 1 };
  CoreHarness *h = core_harness_new (&options);
  StandinPlatformStats from;
  StandinPlatformStats to;

  (void) state;
  put_open_jobs (h, JOBS, "entry-m00");
  standin_platform_stats (h->platform, &from);
  core_harness_run (h, MINUTES_MS);
  standin_platform_stats (h->platform, &to);
  assert_in_range (to.rows_read - from.rows_read, JOBS / 25,
                   SCANS_MAX * JOBS / 4);
  assert_int_equal (mux_counter_value (h->counters, MUX_COUNT_JOBS_ADOPTED), 0);
  core_harness_free (h, NULL);
}

static void
put_class (CoreHarness *h, const char *name, const char *kind, int run_ms)
{
  char text[512];

  core_harness_put (h, MUX_CONFIG_PRODUCT, "p",
                    "{\"quota\":{\"cpu_milli\":0,\"mem_mib\":0,"
                    "\"accels\":0,\"slots\":0}}");
  snprintf (text, sizeof text,
            "{\"product\":\"p\",\"kind\":\"%s\",\"idempotent\":true,"
            "\"start_within_ms\":2800,\"start_share_ppm\":990000,"
            "\"size\":{\"cpu_milli\":100,\"mem_mib\":100,\"accels\":0},"
            "\"run_ms\":%d}",
            kind, run_ms);
  core_harness_put (h, MUX_CONFIG_CLASS, name, text);
}

/* An owner of many workers renews rarely, so it learns late that tasks on
 * them have ended.  A job of half a second would take ten to twenty, until
 * the next renewal or a late poll by its home. */
static void
test_job_does_not_wait_for_renewals (void **state)
{
  CoreHarnessOptions options
      = { .workers = WORKERS, .slots = 64, .table_ms = 5 };
  CoreHarness *h = core_harness_new (&options);
  MuxCoreRequest ask = { .verb = MUX_CORE_JOB_SUBMIT,
                         .name = "nightly",
                         .task_count = 320,
                         .body = mux_blob_new ("run_ms=500\n", 11) };

  (void) state;
  put_class (h, "nightly", "batch", 500);
  core_harness_run (h, MINUTES_MS);
  core_harness_ask (h, &ask);
  core_harness_run (h, 6000);
  assert_int_equal (mux_counter_value (h->counters, MUX_COUNT_JOBS_DONE), 1);
  mux_blob_unref (ask.body);
  core_harness_free (h, NULL);
}

/* A service's tasks run for days.  Their owner reports an end to the home,
 * but a daemon that dies may lose that report, as may a worker that dies in
 * the same rack.  Only then does the home poll the tasks often. */
static void
test_looks_at_long_tasks_are_rare (void **state)
{
  CoreHarnessOptions options = {
    .workers = WORKERS, .slots = 64, .remote = true, .members = 2, .table_ms = 1
  };
  CoreHarness *h = core_harness_new (&options);
  MuxCoreRequest ask
      = { .verb = MUX_CORE_JOB_SUBMIT, .name = "desk", .task_count = 1000 };
  uint64_t before;

  (void) state;
  put_class (h, "desk", "long_running", 0);
  core_harness_ask (h, &ask);
  core_harness_run (h, 6 * MINUTES_MS);
  before = h->asked[MUX_WORKER_FETCH];
  core_harness_run (h, 6 * MINUTES_MS);
  assert_in_range (h->asked[MUX_WORKER_FETCH] - before, 500, 2 * 1000);
  before = h->asked[MUX_WORKER_FETCH];
  h->options.members = 1;
  core_harness_run (h, 30000);
  assert_in_range (h->asked[MUX_WORKER_FETCH] - before, 1000, 2 * 1000);
  core_harness_free (h, NULL);
}

/* The table takes 1,000 writes a second from all daemons together.  At one
 * of 25 daemons, keyed requests arrive faster than its share of that: they
 * share writes, and all are answered. */
static void
test_writes_are_shared (void **state)
{
  CoreHarnessOptions options
      = { .workers = 8, .slots = 64, .members = 24, .near = 1, .table_ms = 1 };
  CoreHarness *h = core_harness_new (&options);
  MuxCoreRequest ask = { .verb = MUX_CORE_RUN_TASK,
                         .name = "desk",
                         .timeout_ms = 10000,
                         .body = mux_blob_new ("run_ms=5\n", 9) };
  StandinPlatformStats from;
  StandinPlatformStats to;

  (void) state;
  put_class (h, "desk", "service", 5);
  standin_platform_stats (h->platform, &from);
  for (uint32_t i = 0; i < 2000; i++)
    {
      snprintf (ask.key, sizeof ask.key, "report-%u", i);
      core_harness_ask (h, &ask);
      core_harness_run (h, 5);
    }
  core_harness_run (h, 1000);
  standin_platform_stats (h->platform, &to);
  assert_int_equal (h->answers[MUX_OUTCOME_DONE], 2000);
  assert_in_range (to.txns - from.txns, 200, 11 * 1000 / 25 + 1);
  mux_blob_unref (ask.body);
  core_harness_free (h, NULL);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_looks_at_long_tasks_are_rare),
          cmocka_unit_test (test_job_does_not_wait_for_renewals),
          cmocka_unit_test (test_one_daemon_adopts_all_jobs),
          cmocka_unit_test (test_looks_for_jobs_are_shared),
          cmocka_unit_test (test_far_heartbeats_are_bounded),
          cmocka_unit_test (test_renewals_are_paced),
          cmocka_unit_test (test_writes_are_shared),
          cmocka_unit_test (test_takeover_lets_no_lease_lapse),
          cmocka_unit_test (test_takeover_at_once_lets_no_lease_lapse) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
