#include "standin/platform_ctl.h"
#include "standin/platform_faults.h"
#include "standin/platform_state.h"
#include "support/test.h"

#define MANY_ROWS 100000

typedef struct
{
  StandinPlatform *platform;
  uint64_t now_ms;
} Fixture;

static uint64_t
fake_now (void *clock)
{
  return *(uint64_t *) clock;
}

static int
set_up (void **state)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  StandinPlatformOptions options
      = { .list_lag_ms = 2000, .now_ms = fake_now, .clock = &fixture->now_ms };

  fixture->platform = standin_platform_new (&options);
  *state = fixture;
  return fixture->platform == NULL;
}

static int
tear_down (void **state)
{
  Fixture *fixture = *state;

  standin_platform_free (fixture->platform);
  free (fixture);
  return 0;
}

static MuxRow
row_of (const char *key, uint64_t rev, const char *value)
{
  MuxRow row = { .rev = rev };

  snprintf (row.key, sizeof row.key, "%s", key);
  if (value != NULL)
    row.value = mux_blob_new (value, strlen (value));
  return row;
}

static MuxTableStatus
txn (Fixture *fixture,
     MuxRow *rows,
     uint32_t count,
     uint64_t *rev,
     StandinRowSet *failed)
{
  MuxTableStatus status
      = standin_platform_txn (fixture->platform, rows, count, rev, failed);

  for (uint32_t i = 0; i < count; i++)
    mux_blob_unref (rows[i].value);
  return status;
}

static uint64_t
put (Fixture *fixture, const char *key, uint64_t rev, const char *value)
{
  MuxRow row = row_of (key, rev, value);
  StandinRowSet failed;
  uint64_t new_rev;

  assert_int_equal (txn (fixture, &row, 1, &new_rev, &failed), MUX_TABLE_OK);
  return new_rev;
}

static void
test_rows_of_a_transaction_share_a_revision (void **state)
{
  Fixture *fixture = *state;
  MuxRow rows[]
      = { row_of ("a", MUX_REV_ABSENT, "1"), row_of ("b", MUX_REV_ANY, "2") };
  StandinRowSet set;
  uint64_t rev;

  assert_int_equal (txn (fixture, rows, 2, &rev, &set), MUX_TABLE_OK);
  assert_int_equal (rev, 1);
  assert_int_equal (put (fixture, "c", MUX_REV_ABSENT, "3"), 2);
  set.count = 3;
  strcpy (set.row[0].key, "b");
  strcpy (set.row[1].key, "none");
  strcpy (set.row[2].key, "c");
  standin_platform_get (fixture->platform, &set);
  assert_int_equal (set.row[0].rev, 1);
  assert_string_equal (set.row[0].value->bytes, "2");
  assert_int_equal (set.row[1].rev, MUX_REV_ABSENT);
  assert_null (set.row[1].value);
  assert_int_equal (set.row[2].rev, 2);
  standin_platform_rows_release (&set);
}

static void
test_conflict_writes_nothing (void **state)
{
  Fixture *fixture = *state;
  uint64_t rev = put (fixture, "held", MUX_REV_ABSENT, "old");
  MuxRow rows[]
      = { row_of ("fresh", MUX_REV_ABSENT, "x"), row_of ("held", rev + 7, "y"),
          row_of ("missing", rev, "z") };
  StandinPlatformStats stats;
  StandinRowSet failed;

  assert_int_equal (txn (fixture, rows, 3, &rev, &failed), MUX_TABLE_CONFLICT);
  assert_int_equal (failed.count, 2);
  assert_string_equal (failed.row[0].key, "held");
  assert_int_equal (failed.row[0].rev, 1);
  assert_string_equal (failed.row[0].value->bytes, "old");
  assert_string_equal (failed.row[1].key, "missing");
  assert_int_equal (failed.row[1].rev, MUX_REV_ABSENT);
  standin_platform_rows_release (&failed);
  standin_platform_stats (fixture->platform, &stats);
  assert_int_equal (stats.rows, 1);
  assert_int_equal (stats.rev, 1);
  assert_int_equal (stats.txns, 2);
  assert_int_equal (stats.conflicts, 1);
  assert_int_equal (stats.rows_written, 1);
}

static void
test_check_only_and_delete (void **state)
{
  Fixture *fixture = *state;
  uint64_t rev = put (fixture, "a", MUX_REV_ABSENT, "1");
  MuxRow rows[] = { row_of ("a", rev, NULL), row_of ("b", MUX_REV_ANY, NULL) };
  StandinPlatformStats stats;
  StandinRowSet failed;

  rows[0].check_only = true;
  rows[1].check_only = true;
  assert_int_equal (txn (fixture, rows, 2, &rev, &failed), MUX_TABLE_OK);
  assert_int_equal (rev, 1);
  rows[0].check_only = false;
  assert_int_equal (txn (fixture, rows, 2, &rev, &failed), MUX_TABLE_OK);
  assert_int_equal (rev, 2);
  standin_platform_stats (fixture->platform, &stats);
  assert_int_equal (stats.rows, 0);
  /* A row that is created again gets a revision it never had before. */
  assert_int_equal (put (fixture, "a", MUX_REV_ABSENT, "1"), 3);
}

static void
test_bad_transactions (void **state)
{
  Fixture *fixture = *state;
  MuxRow rows[]
      = { row_of ("a", MUX_REV_ANY, "1"), row_of ("a", MUX_REV_ANY, "2") };
  MuxRow nameless = row_of ("", MUX_REV_ANY, "1");
  StandinPlatformStats stats;
  StandinRowSet failed;
  uint64_t rev;

  assert_int_equal (txn (fixture, rows, 2, &rev, &failed),
                    MUX_TABLE_BAD_REQUEST);
  assert_int_equal (txn (fixture, &nameless, 1, &rev, &failed),
                    MUX_TABLE_BAD_REQUEST);
  assert_int_equal (txn (fixture, rows, 0, &rev, &failed),
                    MUX_TABLE_BAD_REQUEST);
  standin_platform_stats (fixture->platform, &stats);
  assert_int_equal (stats.rows, 0);
}

/* Writes MANY_ROWS rows "r/00000" and up in a scattered order. */
static void
put_many (Fixture *fixture)
{
  MuxRow rows[MUX_ROWS_MAX];
  StandinRowSet failed;
  uint32_t count = 0;
  uint64_t rev;

  for (uint32_t i = 0; i < MANY_ROWS; i++)
    {
      char key[MUX_ROW_KEY_LEN];

      /* 7919 is coprime to MANY_ROWS: every key is written once. */
      snprintf (key, sizeof key, "r/%05u",
                (unsigned) ((uint64_t) i * 7919 % MANY_ROWS));
      rows[count++] = row_of (key, MUX_REV_ABSENT, "v");
      if (count < MUX_ROWS_MAX && i + 1 < MANY_ROWS)
        continue;
      assert_int_equal (txn (fixture, rows, count, &rev, &failed),
                        MUX_TABLE_OK);
      count = 0;
    }
}

static void
test_scan_of_many_rows_is_in_key_order (void **state)
{
  Fixture *fixture = *state;
  StandinRowSet set = { .more = true };
  char after[MUX_ROW_KEY_LEN] = "";
  uint32_t seen = 0;

  put_many (fixture);
  put (fixture, "q/z", MUX_REV_ABSENT, "before");
  put (fixture, "r0", MUX_REV_ABSENT, "behind");
  while (set.more)
    {
      standin_platform_scan (fixture->platform, "r/", after, 100, &set);
      for (uint32_t i = 0; i < set.count; i++)
        assert_int_equal (atoi (set.row[i].key + 2), seen++);
      assert_true (set.count > 0);
      strcpy (after, set.row[set.count - 1].key);
      standin_platform_rows_release (&set);
    }
  assert_int_equal (seen, MANY_ROWS);
}

static void
test_scan_goes_on_after_a_key_that_is_gone (void **state)
{
  Fixture *fixture = *state;
  StandinRowSet set;

  put (fixture, "p/a", MUX_REV_ABSENT, "1");
  put (fixture, "p/c", MUX_REV_ABSENT, "3");
  standin_platform_scan (fixture->platform, "p/", "p/b", 10, &set);
  assert_int_equal (set.count, 1);
  assert_false (set.more);
  assert_string_equal (set.row[0].key, "p/c");
  standin_platform_rows_release (&set);
  standin_platform_scan (fixture->platform, "p/", "p/c", 10, &set);
  assert_int_equal (set.count, 0);
}

static void
test_objects (void **state)
{
  Fixture *fixture = *state;
  MuxBlob *value = mux_blob_new ("a\0b", 3);
  MuxBlob *found;
  uint64_t rev;

  assert_int_equal (
      standin_platform_object_put (fixture->platform, "o/1", value), 1);
  found = standin_platform_object_get (fixture->platform, "o/1", &rev);
  assert_int_equal (found->len, 3);
  assert_memory_equal (found->bytes, "a\0b", 3);
  assert_int_equal (rev, 1);
  mux_blob_unref (found);
  mux_blob_unref (value);
  standin_platform_object_put (fixture->platform, "o/1", NULL);
  assert_null (standin_platform_object_get (fixture->platform, "o/1", &rev));
}

static void
assert_listed (Fixture *fixture, uint32_t count, MuxInstanceState state)
{
  MuxInstanceList *list
      = standin_platform_instances (fixture->platform, 0, NULL);

  assert_int_equal (list->count, count);
  if (count > 0)
    assert_int_equal (list->item[0].state, state);
  free (list);
}

static void
test_list_lags (void **state)
{
  Fixture *fixture = *state;
  MuxInstance instance = { .name = "w1", .state = MUX_INSTANCE_LIVE };

  assert_true (standin_platform_instance_set (fixture->platform, &instance));
  fixture->now_ms = 1999;
  assert_listed (fixture, 0, MUX_INSTANCE_LIVE);
  instance.state = MUX_INSTANCE_LEAVING;
  assert_true (standin_platform_instance_set (fixture->platform, &instance));
  fixture->now_ms = 2000;
  assert_listed (fixture, 1, MUX_INSTANCE_LIVE);
  fixture->now_ms = 3998;
  assert_listed (fixture, 1, MUX_INSTANCE_LIVE);
  fixture->now_ms = 3999;
  assert_listed (fixture, 1, MUX_INSTANCE_LEAVING);
}

static void
assert_changed (Fixture *fixture, uint64_t after, uint32_t count, uint64_t rev)
{
  uint64_t found;
  MuxInstanceList *list
      = standin_platform_instances (fixture->platform, after, &found);

  assert_int_equal (list->count, count);
  assert_int_equal (found, rev);
  assert_int_equal (list->changes_only, after > 0 && after <= rev);
  free (list);
}

static void
test_list_tells_changes (void **state)
{
  Fixture *fixture = *state;
  MuxInstance instance = { .name = "w1", .state = MUX_INSTANCE_LIVE };

  assert_changed (fixture, 0, 0, 0);
  standin_platform_instance_set (fixture->platform, &instance);
  strcpy (instance.name, "w2");
  standin_platform_instance_set (fixture->platform, &instance);
  fixture->now_ms = 2000;
  assert_changed (fixture, 0, 2, 2);
  assert_changed (fixture, 1, 1, 2);
  assert_changed (fixture, 2, 0, 2);
  /* A number that it never gave, as one of a previous incarnation. */
  assert_changed (fixture, 9, 2, 2);
  instance.state = MUX_INSTANCE_GONE;
  standin_platform_instance_set (fixture->platform, &instance);
  assert_changed (fixture, 2, 0, 2);
  fixture->now_ms = 4000;
  assert_changed (fixture, 2, 1, 3);
}

static void
test_gone_is_final (void **state)
{
  Fixture *fixture = *state;
  MuxInstance instance = { .name = "w1", .state = MUX_INSTANCE_GONE };

  assert_true (standin_platform_instance_set (fixture->platform, &instance));
  instance.state = MUX_INSTANCE_LIVE;
  assert_false (standin_platform_instance_set (fixture->platform, &instance));
  fixture->now_ms = 10000;
  assert_listed (fixture, 1, MUX_INSTANCE_GONE);
}

static bool
read_plan (const char *text, StandinFaultPlan *plan, MuxFindings *findings)
{
  json_t *json = json_loads (text, 0, NULL);
  bool silence;
  bool good;

  memset (findings, 0, sizeof *findings);
  good = standin_platform_ctl_plan (json, plan, &silence, findings);
  json_decref (json);
  return good;
}

static void
test_control_changes_only_what_it_names (void **state)
{
  StandinFaultPlan plan = { .slow_ms = 5 };
  MuxFindings findings;

  (void) state;
  assert_true (read_plan ("{\"down\":true,\"refuse_from\":[\"a\",\"b\"],"
                          "\"lose_write_answers\":{\"lose_ppm\":3,\"seed\":4}}",
                          &plan, &findings));
  assert_true (plan.down);
  assert_int_equal (plan.slow_ms, 5);
  assert_int_equal (plan.cut_count, 2);
  assert_string_equal (plan.cut[1], "b");
  assert_int_equal (plan.lose_ppm, 3);
  assert_int_equal (plan.lose_seed, 4);
  assert_false (
      read_plan ("{\"down\":1,\"slow_ms\":-1,\"odd\":0}", &plan, &findings));
  assert_int_equal (findings.count, 3);
  assert_string_equal (findings.item[2].place, "odd");
}

static void
test_losses_follow_the_seed (void **state)
{
  StandinFaults *faults = standin_platform_faults_new ();
  StandinFaultPlan plan = { .lose_ppm = 250000, .lose_seed = 11 };
  StandinFaultPlan none = { 0 };
  bool first[200];
  uint32_t lost = 0;

  (void) state;
  standin_platform_faults_set (faults, &plan);
  for (uint32_t i = 0; i < 200; i++)
    lost += first[i] = standin_platform_faults_lose_reply (faults);
  assert_in_range (lost, 25, 75);
  standin_platform_faults_set (faults, &none);
  assert_false (standin_platform_faults_lose_reply (faults));
  standin_platform_faults_set (faults, &plan);
  for (uint32_t i = 0; i < 200; i++)
    assert_int_equal (standin_platform_faults_lose_reply (faults), first[i]);
  standin_platform_faults_free (faults);
}

static void
test_cut_strikes_the_named_data_centre (void **state)
{
  StandinFaults *faults = standin_platform_faults_new ();
  StandinFaultPlan plan = { .cut_count = 2, .cut = { "bahla-hall", "e7" } };
  const char *const cut[] = { "bahla-hall", "e1" };
  const char *const cut_by_name[] = { "izki-hall", "e7" };
  const char *const other[] = { "izki-hall", "e2" };

  (void) state;
  standin_platform_faults_set (faults, &plan);
  assert_int_equal (standin_platform_faults_admit (faults, cut, 1, false, 0),
                    STANDIN_CLOSE);
  assert_int_equal (
      standin_platform_faults_admit (faults, cut_by_name, 1, true, 0),
      STANDIN_CLOSE);
  assert_int_equal (standin_platform_faults_admit (faults, other, 1, false, 0),
                    STANDIN_ADMIT);
  standin_platform_faults_free (faults);
}

int
main (void)
{
#define STATE_TEST(name) \
  cmocka_unit_test_setup_teardown (name, set_up, tear_down)
  const struct CMUnitTest tests[] = {
    STATE_TEST (test_rows_of_a_transaction_share_a_revision),
    STATE_TEST (test_conflict_writes_nothing),
    STATE_TEST (test_check_only_and_delete),
    STATE_TEST (test_bad_transactions),
    STATE_TEST (test_scan_of_many_rows_is_in_key_order),
    STATE_TEST (test_scan_goes_on_after_a_key_that_is_gone),
    STATE_TEST (test_objects),
    STATE_TEST (test_list_lags),
    STATE_TEST (test_list_tells_changes),
    STATE_TEST (test_gone_is_final),
    cmocka_unit_test (test_control_changes_only_what_it_names),
    cmocka_unit_test (test_losses_follow_the_seed),
    cmocka_unit_test (test_cut_strikes_the_named_data_centre),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
