#include "../../src/daemon/inbox.h"
#include "support/test.h"

#define RING 4
/* One slot of a ring stays free. */
#define RING_ROOM (RING - 1)

typedef struct
{
  MuxCounters *counters;
  MuxDaemonInbox *inbox;
} Bench;

static int
setup (void **state)
{
  Bench *bench = calloc (1, sizeof *bench);
  MuxInboxOptions options = { .requests = RING,
                              .peers = RING,
                              .worker_replies = RING,
                              .table_replies = RING };

  assert_non_null (bench);
  bench->counters = mux_counters_new ();
  options.counters = bench->counters;
  bench->inbox = mux_inbox_new (&options);
  assert_non_null (bench->inbox);
  *state = bench;
  return 0;
}

static int
teardown (void **state)
{
  Bench *bench = *state;

  mux_inbox_free (bench->inbox);
  mux_counters_free (bench->counters);
  free (bench);
  return 0;
}

static MuxWorkerReply *
reply_new (uint64_t call_id)
{
  MuxWorkerCall call = { .call_id = call_id };

  return mux_worker_reply_new (&call, MUX_WORKER_OK, 0);
}

/* Callers and a peer overload a daemon while a worker replies.  What exceeds
 * their rings is refused and counted; the worker's reply must find room, or the
 * fate of its task would be lost. */
static void
test_flood_leaves_room_for_replies (void **state)
{
  Bench *bench = *state;
  MuxInbox *port = mux_inbox_port (bench->inbox);
  MuxPeerMsg msg = { .verb = MUX_PEER_HEARTBEAT };
  MuxCoreRequest *surplus = calloc (1, sizeof *surplus);
  MuxWorkerReply *reply;

  for (int i = 0; i < RING_ROOM; i++)
    {
      assert_true (mux_inbox_push_request (
          bench->inbox, calloc (1, sizeof (MuxCoreRequest))));
      assert_true (port->peer_msg (port, &msg));
    }
  assert_false (mux_inbox_push_request (bench->inbox, surplus));
  free (surplus);
  assert_false (port->peer_msg (port, &msg));
  assert_int_equal (mux_refused_value (bench->counters, MUX_REASON_RING_FULL),
                    2);
  assert_true (port->worker_reply (port, reply_new (7)));
  reply = mux_inbox_take_worker_reply (bench->inbox);
  assert_int_equal (reply->call_id, 7);
  mux_worker_reply_free (reply);
}

static void
test_latest_instances_count (void **state)
{
  Bench *bench = *state;
  MuxInbox *port = mux_inbox_port (bench->inbox);
  MuxInstanceList *list;

  assert_true (port->instances (port, calloc (1, sizeof *list)));
  list = calloc (1, sizeof *list + sizeof list->item[0]);
  list->count = 1;
  assert_true (port->instances (port, list));
  list = mux_inbox_take_instances (bench->inbox);
  assert_int_equal (list->count, 1);
  free (list);
  assert_null (mux_inbox_take_instances (bench->inbox));
}

/* The instance list is read as changes, and the core is busy for longer than
 * the interval between reads.  If later changes replaced earlier ones, a worker
 * that left in between would get work until the next complete list. */
static void
test_changes_of_instances_add_up (void **state)
{
  Bench *bench = *state;
  MuxInbox *port = mux_inbox_port (bench->inbox);
  MuxInstanceList *list;

  for (uint32_t i = 0; i < 3; i++)
    {
      list = calloc (1, sizeof *list + sizeof list->item[0]);
      list->changes_only = i > 0;
      list->count = 1;
      list->item[0].state = (MuxInstanceState) i;
      assert_true (port->instances (port, list));
    }
  list = mux_inbox_take_instances (bench->inbox);
  assert_false (list->changes_only);
  assert_int_equal (list->count, 3);
  for (uint32_t i = 0; i < 3; i++)
    assert_int_equal (list->item[i].state, i);
  free (list);
}

/* An event pushed between the last poll and the wait must end the wait at once,
 * or a caller would now and then be delayed by up to a second.  The waits here
 * have no timeout, so the test hangs if a wakeup is lost. */
static void
test_no_sleep_past_an_entry (void **state)
{
  Bench *bench = *state;
  MuxInbox *port = mux_inbox_port (bench->inbox);

  mux_inbox_prepare_wait (bench->inbox);
  assert_true (port->worker_reply (port, reply_new (1)));
  mux_inbox_wait (bench->inbox, -1);
  mux_inbox_prepare_wait (bench->inbox);
  mux_inbox_push_disconnect (bench->inbox, 9);
  mux_inbox_wait (bench->inbox, -1);
  assert_int_equal (mux_inbox_take_disconnect (bench->inbox), 9);
  assert_int_equal (mux_inbox_take_disconnect (bench->inbox), 0);
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, setup, teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (test_flood_leaves_room_for_replies),
    TEST (test_latest_instances_count),
    TEST (test_changes_of_instances_add_up),
    TEST (test_no_sleep_past_an_entry),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
