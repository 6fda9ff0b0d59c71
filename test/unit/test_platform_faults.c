#include "support/platform_fixture.h"
#include "support/test.h"

/* A guest's voucher is redeemed and the platform's response is lost on a
 * reused connection.  The HTTP client may resend such a request by itself;
 * the second one then finds the row of the first and reports a conflict,
 * and the caller is told that somebody else used the voucher. */
static void
test_lost_answer_is_unknown_and_sent_once (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableReply *reply;

  platform_expect_put (fixture, "first", MUX_REV_ABSENT, "1", MUX_TABLE_OK);
  platform_set_faults (fixture, (StandinFaultPlan){ .lose_next = 1 });
  platform_expect_put (fixture, "once", MUX_REV_ABSENT, "2", MUX_TABLE_UNKNOWN);
  assert_int_equal (platform_stats_of (fixture).txns, 2);
  reply = platform_ask (fixture, platform_get_new ("once"));
  assert_int_equal (reply->status, MUX_TABLE_OK);
  assert_int_equal (reply->rows[0].rev, 2);
  assert_string_equal (reply->rows[0].value->bytes, "2");
  mux_table_reply_free (reply);
}

static void
test_lost_object_answer_is_unknown (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call = platform_call_new (MUX_TABLE_OBJECT_PUT, 1);

  platform_set_faults (fixture, (StandinFaultPlan){ .lose_next = 1 });
  platform_set_row (call, 0, "o", 0, "x", 1);
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_UNKNOWN);
  assert_int_equal (platform_stats_of (fixture).object_puts, 1);
}

static void
test_platform_down_is_down (void **state)
{
  PlatformFixture *fixture = *state;

  platform_set_faults (fixture, (StandinFaultPlan){ .down = true });
  platform_expect_put (fixture, "a", MUX_REV_ANY, "1", MUX_TABLE_DOWN);
  platform_expect_get (fixture, "a", MUX_TABLE_DOWN);
  assert_int_equal (platform_stats_of (fixture).txns, 0);
  platform_set_faults (fixture, (StandinFaultPlan){ .down = false });
  platform_expect_put (fixture, "a", MUX_REV_ANY, "1", MUX_TABLE_OK);
}

static void
test_refused_connection_is_down (void **state)
{
  PlatformFixture *fixture = *state;

  platform_expect_put (fixture, "a", MUX_REV_ANY, "1", MUX_TABLE_OK);
  standin_platform_server_free (fixture->server);
  fixture->server = NULL;
  platform_expect_put (fixture, "b", MUX_REV_ANY, "1", MUX_TABLE_DOWN);
  platform_expect_get (fixture, "b", MUX_TABLE_DOWN);
  assert_int_equal (platform_stats_of (fixture).txns, 1);
}

static void
test_cut_data_centre (void **state)
{
  PlatformFixture *fixture = *state;

  platform_set_faults (
      fixture, (StandinFaultPlan){ .cut_count = 1, .cut = { DATA_CENTRE } });
  platform_expect_get (fixture, "a", MUX_TABLE_DOWN);
  /* The request was sent, so the adapter can't know that it had no effect. */
  platform_expect_put (fixture, "a", MUX_REV_ANY, "1", MUX_TABLE_UNKNOWN);
  assert_int_equal (platform_stats_of (fixture).txns, 0);
  platform_set_faults (
      fixture, (StandinFaultPlan){ .cut_count = 1, .cut = { "elsewhere" } });
  platform_expect_put (fixture, "a", MUX_REV_ANY, "1", MUX_TABLE_OK);
}

/* A write hangs in the platform past its timeout and takes effect once the
 * platform recovers.  A caller that was told "not written" would repeat it. */
static void
test_hanging_write_is_unknown (void **state)
{
  PlatformFixture *fixture = *state;

  MuxTableCall *call = platform_put_new ("late", MUX_REV_ABSENT, "1");
  MuxTableReply *reply;
  bool found = false;

  platform_set_faults (fixture, (StandinFaultPlan){ .hang = true });
  call->timeout_ms = HANG_MS;
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_UNKNOWN);
  call = platform_get_new ("late");
  call->timeout_ms = SHORT_MS;
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_DOWN);
  assert_int_equal (platform_stats_of (fixture).txns, 0);
  platform_set_faults (fixture, (StandinFaultPlan){ .hang = false });
  while (!found)
    {
      reply = platform_ask (fixture, platform_get_new ("late"));
      assert_int_equal (reply->status, MUX_TABLE_OK);
      found = reply->rows[0].value != NULL;
      mux_table_reply_free (reply);
    }
  assert_int_equal (platform_stats_of (fixture).txns, 1);
}

/* Makes both threads of the adapter call the platform at the same time. */
static void
ask_on_both_threads (PlatformFixture *fixture)
{
  platform_set_faults (fixture, (StandinFaultPlan){ .hang = true });
  for (uint32_t i = 0; i < 2; i++)
    assert_true (fixture->port->call (fixture->port, platform_get_new ("a")));
  assert_true (
      standin_platform_faults_wait_held (fixture->faults, 2, PATIENCE_MS));
  platform_set_faults (fixture, (StandinFaultPlan){ .hang = false });
  for (uint32_t i = 0; i < 2; i++)
    {
      MuxTableReply *reply = platform_next_reply (fixture);

      assert_int_equal (reply->status, MUX_TABLE_OK);
      mux_table_reply_free (reply);
    }
}

/* The table seems unreachable for one timeout after another, although it is
 * up.  All open connections are dead without a reset while new ones work,
 * as when a firewall loses its state, and each thread finds that out on its
 * own call. */
static void
test_one_timeout_renews_every_connection (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call;

  fixture->port->free (fixture->port);
  platform_start_adapter (fixture, 2);
  ask_on_both_threads (fixture);
  standin_platform_faults_silence_connections (fixture->faults);
  call = platform_get_new ("a");
  call->timeout_ms = SHORT_MS;
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_DOWN);
  ask_on_both_threads (fixture);
}

/* The same loss, one call later: the new connections work, but a thread
 * that had no time-out still has a dead one among its idle connections.
 * libcurl reuses the oldest idle one, so the next call would time out after
 * all. */
static void
test_silent_connection_never_comes_back (void **state)
{
  PlatformFixture *fixture = *state;
  MuxTableCall *call;

  fixture->port->free (fixture->port);
  platform_start_adapter (fixture, 2);
  ask_on_both_threads (fixture);
  standin_platform_faults_silence_connections (fixture->faults);
  call = platform_get_new ("a");
  call->timeout_ms = SHORT_MS;
  assert_int_equal (platform_ask_status (fixture, call), MUX_TABLE_DOWN);
  for (uint32_t round = 0; round < 3; round++)
    ask_on_both_threads (fixture);
}

/* Each call accepted before the end gets exactly one reply, and none that
 * was still queued is reported as of unknown outcome. */
static void
test_free_answers_every_call (void **state)
{
  PlatformFixture *fixture = *state;
  uint32_t taken = 0;
  uint32_t replies = 0;
  MuxTableReply *reply;

  platform_set_faults (fixture, (StandinFaultPlan){ .hang = true });
  for (uint32_t i = 0; i < 20; i++)
    {
      MuxTableCall *call = platform_put_new ("k", MUX_REV_ANY, "v");

      call->timeout_ms = SHORT_MS;
      taken += fixture->port->call (fixture->port, call);
    }
  fixture->port->free (fixture->port);
  fixture->port = NULL;
  while ((reply = mux_ring_pop (fixture->replies)) != NULL)
    {
      assert_true (reply->status == MUX_TABLE_DOWN
                   || reply->status == MUX_TABLE_UNKNOWN);
      mux_table_reply_free (reply);
      replies++;
    }
  assert_int_equal (taken, 20);
  assert_int_equal (replies, 20);
}

static void
test_full_queue_refuses (void **state)
{
  PlatformFixture *fixture = *state;

  platform_set_faults (fixture, (StandinFaultPlan){ .hang = true });
  assert_true (fixture->port->call (fixture->port, platform_get_new ("a")));
  assert_true (
      standin_platform_faults_wait_held (fixture->faults, 1, PATIENCE_MS));
  for (uint32_t i = 0; i < QUEUE - 1; i++)
    assert_true (fixture->port->call (fixture->port, platform_get_new ("a")));
  assert_false (fixture->port->call (fixture->port, platform_get_new ("a")));
  platform_set_faults (fixture, (StandinFaultPlan){ .hang = false });
  for (uint32_t i = 0; i < QUEUE; i++)
    {
      MuxTableReply *reply = platform_next_reply (fixture);

      assert_int_equal (reply->status, MUX_TABLE_OK);
      mux_table_reply_free (reply);
    }
  assert_null (mux_ring_pop (fixture->replies));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    PLATFORM_TEST (test_lost_answer_is_unknown_and_sent_once),
    PLATFORM_TEST (test_lost_object_answer_is_unknown),
    PLATFORM_TEST (test_platform_down_is_down),
    PLATFORM_TEST (test_refused_connection_is_down),
    PLATFORM_TEST (test_cut_data_centre),
    PLATFORM_TEST (test_hanging_write_is_unknown),
    PLATFORM_TEST (test_one_timeout_renews_every_connection),
    PLATFORM_TEST (test_silent_connection_never_comes_back),
    PLATFORM_TEST (test_free_answers_every_call),
    PLATFORM_TEST (test_full_queue_refuses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
