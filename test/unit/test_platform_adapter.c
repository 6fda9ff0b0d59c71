#include "../../src/adapter/platform_private.h"
#include "support/platform_fixture.h"
#include "support/test.h"

static void
test_conflict_gives_the_failing_rows (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call = platform_call_new (MUX_TABLE_TXN, 3);
  MuxTableReply *reply = platform_ask (
      fixture, platform_put_new ("held", MUX_REV_ABSENT, "mine"));

  assert_int_equal (reply->status, MUX_TABLE_OK);
  assert_int_equal (reply->rev, 1);
  mux_table_reply_free (reply);
  platform_set_row (call, 0, "fresh", MUX_REV_ABSENT, "x", 1);
  platform_set_row (call, 1, "held", MUX_REV_ABSENT, "yours", 5);
  platform_set_row (call, 2, "missing", 1, "z", 1);
  reply = platform_ask (fixture, call);
  assert_int_equal (reply->status, MUX_TABLE_CONFLICT);
  assert_int_equal (reply->row_count, 2);
  assert_string_equal (reply->rows[0].key, "held");
  assert_int_equal (reply->rows[0].rev, 1);
  assert_string_equal (reply->rows[0].value->bytes, "mine");
  assert_string_equal (reply->rows[1].key, "missing");
  assert_int_equal (reply->rows[1].rev, MUX_REV_ABSENT);
  assert_null (reply->rows[1].value);
  mux_table_reply_free (reply);
  assert_int_equal (platform_stats_of (fixture).rows, 1);
}

static void
test_txn_checks_and_deletes (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call = platform_call_new (MUX_TABLE_TXN, 3);
  MuxTableReply *reply;

  platform_expect_put (fixture, "a", MUX_REV_ANY, "1", MUX_TABLE_OK);
  platform_expect_put (fixture, "b", MUX_REV_ANY, "1", MUX_TABLE_OK);
  platform_set_row (call, 0, "a", 1, NULL, 0);
  platform_set_row (call, 1, "b", 2, NULL, 0);
  call->rows[1].check_only = true;
  platform_set_row (call, 2, "c", MUX_REV_ABSENT, "", 0);
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_OK);
  call = platform_call_new (MUX_TABLE_GET, 3);
  platform_set_row (call, 0, "c", 0, NULL, 0);
  platform_set_row (call, 1, "a", 0, NULL, 0);
  platform_set_row (call, 2, "b", 0, NULL, 0);
  reply = platform_ask (fixture, call);
  assert_int_equal (reply->row_count, 3);
  assert_int_equal (reply->rows[0].rev, 3);
  assert_int_equal (reply->rows[0].value->len, 0);
  assert_null (reply->rows[1].value);
  assert_int_equal (reply->rows[2].rev, 2);
  mux_table_reply_free (reply);
  assert_int_equal (
      mux_counter_value (fixture->counters, MUX_COUNT_TABLE_WRITES), 3);
  assert_int_equal (mux_counter_value (fixture->counters, MUX_COUNT_TABLE_ROWS),
                    4);
  assert_int_equal (
      mux_counter_value (fixture->counters, MUX_COUNT_TABLE_READS), 1);
}

static void
test_scan_pages (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call = platform_call_new (MUX_TABLE_TXN, 5);
  MuxTableReply *reply;
  char after[MUX_ROW_KEY_LEN] = "";
  static const char *const order[] = { "p/1", "p/2", "p/3" };

  platform_set_row (call, 0, "p/2", MUX_REV_ANY, "2", 1);
  platform_set_row (call, 1, "p/3", MUX_REV_ANY, "3", 1);
  platform_set_row (call, 2, "p/1", MUX_REV_ANY, "1", 1);
  platform_set_row (call, 3, "o", MUX_REV_ANY, "x", 1);
  platform_set_row (call, 4, "q", MUX_REV_ANY, "x", 1);
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_OK);
  for (uint32_t page = 0; page < 2; page++)
    {
      call = platform_call_new (MUX_TABLE_SCAN, 2);
      call->limit = 2;
      platform_set_row (call, 0, "p/", 0, NULL, 0);
      platform_set_row (call, 1, after, 0, NULL, 0);
      reply = platform_ask (fixture, call);
      assert_int_equal (reply->status, MUX_TABLE_OK);
      assert_int_equal (reply->row_count, page == 0 ? 2 : 1);
      assert_int_equal (reply->more, page == 0);
      for (uint32_t i = 0; i < reply->row_count; i++)
        assert_string_equal (reply->rows[i].key, order[page * 2 + i]);
      strcpy (after, reply->rows[reply->row_count - 1].key);
      mux_table_reply_free (reply);
    }
}

static void
all_bytes (char bytes[256])
{
  for (uint32_t i = 0; i < 256; i++)
    bytes[i] = (char) i;
}

static void
test_values_hold_any_bytes (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call = platform_call_new (MUX_TABLE_TXN, 1);
  MuxTableReply *reply;
  char bytes[256];

  all_bytes (bytes);
  platform_set_row (call, 0, "bin", MUX_REV_ABSENT, bytes, sizeof bytes);
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_OK);
  reply = platform_ask (fixture, platform_get_new ("bin"));
  assert_int_equal (reply->rows[0].value->len, sizeof bytes);
  assert_memory_equal (reply->rows[0].value->bytes, bytes, sizeof bytes);
  mux_table_reply_free (reply);
}

static void
test_object_round_trip (void **state)
{
  PlatformFixture *fixture = *state;
  const char *name = "job/ä ?&=%2F/input";
  MuxTableCall *call = platform_call_new (MUX_TABLE_OBJECT_PUT, 1);
  MuxTableReply *reply;
  char bytes[256];

  all_bytes (bytes);
  platform_set_row (call, 0, name, 0, bytes, sizeof bytes);
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_OK);
  call = platform_call_new (MUX_TABLE_OBJECT_GET, 1);
  platform_set_row (call, 0, name, 0, NULL, 0);
  reply = platform_ask (fixture, call);
  assert_int_equal (reply->status, MUX_TABLE_OK);
  assert_string_equal (reply->rows[0].key, name);
  assert_int_equal (reply->rows[0].rev, 1);
  assert_int_equal (reply->rows[0].value->len, sizeof bytes);
  assert_memory_equal (reply->rows[0].value->bytes, bytes, sizeof bytes);
  mux_table_reply_free (reply);
  call = platform_call_new (MUX_TABLE_OBJECT_PUT,
                            1); /* no value: it is deleted */
  platform_set_row (call, 0, name, 0, NULL, 0);
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_OK);
  call = platform_call_new (MUX_TABLE_OBJECT_GET, 1);
  platform_set_row (call, 0, name, 0, NULL, 0);
  reply = platform_ask (fixture, call);
  assert_int_equal (reply->status, MUX_TABLE_OK);
  assert_int_equal (reply->rows[0].rev, MUX_REV_ABSENT);
  assert_null (reply->rows[0].value);
  mux_table_reply_free (reply);
}

static void
test_bad_request_is_bad (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call = platform_call_new (MUX_TABLE_TXN, 2);

  platform_set_row (call, 0, "twice", MUX_REV_ANY, "1", 1);
  platform_set_row (call, 1, "twice", MUX_REV_ANY, "2", 1);
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_BAD_REQUEST);
}

/* Lists keep coming, also when nothing has changed. */
static MuxTableStatus
decode_status (MuxTableCall *call,
               long http_status,
               bool no_effect,
               const char *bytes,
               size_t len)
{
  MuxBytes body = { 0 };
  PlatformResponse answer
      = { .status = http_status, .no_effect = no_effect, .body = &body };
  MuxTableReply *reply;
  MuxTableStatus status;

  assert_true (mux_bytes_add (&body, bytes, len));
  reply = mux_platform_decode (call, PLATFORM_ANSWERED, &answer);
  status = reply->status;
  mux_table_reply_free (reply);
  mux_bytes_deinit (&body);
  return status;
}

/* A write that took effect must not be reported as not written, or it is done
 * twice.  A load balancer may respond 502 or 503 after it has passed the
 * request on; only the platform itself can state "no effect". */
static void
test_errors_from_between_leave_doubt (void **state)
{
  MuxTableCall *write = platform_put_new ("a", MUX_REV_ANY, "1");
  MuxTableCall *read = platform_get_new ("a");

  (void) state;
  assert_int_equal (decode_status (write, 503, true, "", 0), MUX_TABLE_DOWN);
  assert_int_equal (decode_status (write, 503, false, "", 0),
                    MUX_TABLE_UNKNOWN);
  assert_int_equal (decode_status (write, 502, false, "", 0),
                    MUX_TABLE_UNKNOWN);
  assert_int_equal (decode_status (read, 502, false, "", 0), MUX_TABLE_DOWN);
  mux_table_call_free (write);
  mux_table_call_free (read);
}

static void
test_garbled_answers (void **state)
{
  static const char rows[] = "\x91\x93\xa1"
                             "a\x07\xc4\x01v"; /* [["a", 7, bin "v"]] */
  size_t len = sizeof rows - 1;
  MuxTableCall *write = platform_put_new ("a", MUX_REV_ANY, "1");
  MuxTableCall *read = platform_get_new ("a");

  (void) state;
  assert_int_equal (decode_status (read, 200, false, rows, len), MUX_TABLE_OK);
  assert_int_equal (decode_status (write, 409, false, rows, len),
                    MUX_TABLE_CONFLICT);
  for (size_t cut = 0; cut < len; cut++)
    {
      assert_int_equal (decode_status (read, 200, false, rows, cut),
                        MUX_TABLE_DOWN);
      assert_int_equal (decode_status (write, 409, false, rows, cut),
                        MUX_TABLE_UNKNOWN);
    }
  assert_int_equal (decode_status (write, 200, false, rows, len),
                    MUX_TABLE_UNKNOWN);
  assert_int_equal (decode_status (read, 200, false, "\x90", 1),
                    MUX_TABLE_DOWN);
  mux_table_call_free (write);
  mux_table_call_free (read);
}

static void
register_instance (PlatformFixture *fixture,
                   const char *name,
                   MuxInstanceRole role,
                   MuxInstanceState state)
{
  MuxInstance instance = { .role = role, .state = state };

  mux_name_copy (instance.name, name);
  mux_name_copy (instance.data_centre, DATA_CENTRE);
  mux_name_copy (instance.rack, "r");
  strcpy (instance.addr, "10.0.0.1:1");
  assert_true (standin_platform_instance_set (fixture->platform, &instance));
}

/* The next list of @count instances that is one of changes, or is not. */
static MuxInstanceList *
next_list (PlatformFixture *fixture, bool changes_only, uint32_t count)
{
  for (;;)
    {
      MuxInstanceList *list = mux_ring_wait (fixture->lists, PATIENCE_MS);

      assert_non_null (list);
      if (list->changes_only == changes_only && list->count == count)
        return list;
      free (list);
    }
}

static void
test_instance_list_arrives (void **state)
{
  PlatformFixture *fixture = *state;
  MuxInstance worker = { .name = "w1",
                         .data_centre = "izki-hall",
                         .rack = "r3",
                         .addr = "10.0.0.9:9000",
                         .state = MUX_INSTANCE_LEAVING,
                         .role = MUX_ROLE_WORKER };
  MuxInstanceList *list;

  assert_true (standin_platform_instance_set (fixture->platform, &worker));
  list = next_list (fixture, false, 1);
  assert_string_equal (list->item[0].name, "w1");
  assert_string_equal (list->item[0].data_centre, "izki-hall");
  assert_string_equal (list->item[0].rack, "r3");
  assert_string_equal (list->item[0].addr, "10.0.0.9:9000");
  assert_int_equal (list->item[0].state, MUX_INSTANCE_LEAVING);
  assert_int_equal (list->item[0].role, MUX_ROLE_WORKER);
  free (list);
}

static void
test_list_is_read_as_changes (void **state)
{
  PlatformFixture *fixture = *state;
  MuxInstanceList *list;

  register_instance (fixture, "w1", MUX_ROLE_WORKER, MUX_INSTANCE_LIVE);
  register_instance (fixture, "w2", MUX_ROLE_WORKER, MUX_INSTANCE_LIVE);
  register_instance (fixture, "e1", MUX_ROLE_ENTRY, MUX_INSTANCE_LIVE);
  /* Nothing changes: the list holds the entry instance only. */
  list = next_list (fixture, true, 1);
  assert_string_equal (list->item[0].name, "e1");
  free (list);
  register_instance (fixture, "w1", MUX_ROLE_WORKER, MUX_INSTANCE_GONE);
  list = next_list (fixture, true, 2);
  assert_string_equal (list->item[0].name, "w1");
  assert_int_equal (list->item[0].state, MUX_INSTANCE_GONE);
  assert_string_equal (list->item[1].name, "e1");
  free (list);
}

/* A list with one malformed entry is refused: an instance missing from it would
 * look as if it did not exist. */
static void
test_list_is_whole_or_nothing (void **state)
{
  static const char good[]
      = "{\"instances\":[{\"name\":\"w\",\"data_centre\":\"d\",\"rack\":\"r\","
        "\"addr\":\"10.0.0.1:1\",\"state\":\"gone\",\"role\":\"entry\"}]}";
  char odd[sizeof good];
  MuxInstanceList *list;
  uint64_t rev;

  (void) state;
  list = mux_platform_decode_list (good, sizeof good - 1, &rev);
  assert_non_null (list);
  assert_int_equal (list->count, 1);
  assert_int_equal (list->item[0].state, MUX_INSTANCE_GONE);
  assert_int_equal (list->item[0].role, MUX_ROLE_ENTRY);
  free (list);
  strcpy (odd, good);
  memcpy (strstr (odd, "gone"), "GONE", 4);
  assert_null (mux_platform_decode_list (odd, sizeof odd - 1, &rev));
  assert_null (mux_platform_decode_list (good, sizeof good - 2, &rev));
  assert_null (mux_platform_decode_list ("{}", 2, &rev));
}

/* A worker registers as "w 1\r\nCuminmux-Epoch: 9".  In a request header or a
 * log line its name would inject a line, and no daemon can send it to another.
 * It is skipped; the other instances are kept. */
static void
test_instance_without_usable_name_is_left_out (void **state)
{
  static const char text[]
      = "{\"instances\":[{\"name\":\"w 1\\r\\nCuminmux-Epoch: 9\","
        "\"data_centre\":\"d\",\"rack\":\"r\",\"addr\":\"10.0.0.1:1\","
        "\"state\":\"live\",\"role\":\"worker\"},{\"name\":\"w2\","
        "\"data_centre\":\"d\",\"rack\":\"r\",\"addr\":\"10.0.0.2:1\","
        "\"state\":\"live\",\"role\":\"worker\"}]}";
  MuxInstanceList *list;
  uint64_t rev;

  (void) state;
  list = mux_platform_decode_list (text, sizeof text - 1, &rev);
  assert_non_null (list);
  assert_int_equal (list->count, 1);
  assert_string_equal (list->item[0].name, "w2");
  free (list);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    PLATFORM_TEST (test_conflict_gives_the_failing_rows),
    PLATFORM_TEST (test_txn_checks_and_deletes),
    PLATFORM_TEST (test_scan_pages),
    PLATFORM_TEST (test_values_hold_any_bytes),
    PLATFORM_TEST (test_object_round_trip),
    PLATFORM_TEST (test_bad_request_is_bad),
    PLATFORM_TEST (test_instance_list_arrives),
    PLATFORM_TEST (test_list_is_read_as_changes),
    cmocka_unit_test (test_errors_from_between_leave_doubt),
    cmocka_unit_test (test_garbled_answers),
    cmocka_unit_test (test_list_is_whole_or_nothing),
    cmocka_unit_test (test_instance_without_usable_name_is_left_out),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
