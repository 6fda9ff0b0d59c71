#include "support/peer_end.h"
#include "support/peer_sample.h"
#include "support/tcp_forwarder.h"
#include "support/test.h"

#include <zmq.h>

static void
assert_revisions_rise (PeerInbox *inbox)
{
  bool rise = true;

  pthread_mutex_lock (&inbox->mutex);
  for (uint32_t i = 1; i < inbox->count; i++)
    rise = rise && inbox->msgs[i].revision > inbox->msgs[i - 1].revision;
  pthread_mutex_unlock (&inbox->mutex);
  assert_true (rise);
}

static void
test_two_adapters_exchange (void **state)
{
  Peer a = peer_new (SILENT_LONG_MS, NULL);
  Peer b = peer_new (SILENT_LONG_MS, NULL);
  MuxPeerMsg msg = hint ("a", 1);
  MuxBlob *blob = mux_peer_encode (&msg);

  (void) state;
  send_hint (&a, b.addr, "a", 1);
  send_hint (&b, a.addr, "b", 2);
  assert_true (peer_inbox_wait (b.inbox, "a", 1, PEER_WAIT_MS));
  assert_true (peer_inbox_wait (a.inbox, "b", 2, PEER_WAIT_MS));
  assert_false (a.port->send (a.port, "localhost:7411", &msg));
  assert_int_equal (mux_counter_value (a.counters, MUX_COUNT_PEER_SENT), 1);
  assert_int_equal (mux_counter_value (a.counters, MUX_COUNT_PEER_SENT_BYTES),
                    blob->len);
  assert_int_equal (mux_counter_value (a.counters, MUX_COUNT_PEER_RECEIVED), 1);
  mux_blob_unref (blob);
  peer_end (&a);
  peer_end (&b);
}

static void
test_bad_messages_counted (void **state)
{
  Peer b = peer_new (SILENT_LONG_MS, NULL);
  MuxPeerMsg msg = hint ("raw", 1);
  MuxBlob *blob = mux_peer_encode (&msg);
  void *zmq = zmq_ctx_new ();
  void *raw = zmq_socket (zmq, ZMQ_DEALER);
  char endpoint[MUX_ADDR_LEN + 8];
  int linger = 0;

  (void) state;
  snprintf (endpoint, sizeof endpoint, "tcp://%s", b.addr);
  zmq_setsockopt (raw, ZMQ_LINGER, &linger, sizeof linger);
  assert_int_equal (zmq_connect (raw, endpoint), 0);
  zmq_send (raw, "garbage", 7, 0);
  zmq_send (raw, blob->bytes, blob->len, ZMQ_SNDMORE);
  zmq_send (raw, "one frame", 9, ZMQ_SNDMORE);
  zmq_send (raw, "too many", 8, 0);
  zmq_send (raw, blob->bytes, blob->len, 0);
  assert_true (peer_inbox_wait (b.inbox, "raw", 1, PEER_WAIT_MS));
  assert_int_equal (mux_counter_value (b.counters, MUX_COUNT_PEER_BAD), 2);
  assert_int_equal (mux_counter_value (b.counters, MUX_COUNT_PEER_RECEIVED), 1);
  zmq_close (raw);
  zmq_ctx_term (zmq);
  mux_blob_unref (blob);
  peer_end (&b);
}

static void
test_peer_restarts (void **state)
{
  /* A daemon is replaced by another one at the same address.  The sender's
   * connection breaks, and its further messages must reach the new daemon
   * without an action of the sender. */
  Peer a = peer_new (SILENT_LONG_MS, NULL);
  Peer first = peer_new (SILENT_LONG_MS, NULL);
  Peer second;
  char addr[MUX_ADDR_LEN];
  TcpForwarder *forwarder = tcp_forwarder_new (first.addr, addr);

  (void) state;
  send_hint (&a, addr, "a", 1);
  assert_true (peer_inbox_wait (first.inbox, "a", 1, PEER_WAIT_MS));
  second = peer_new (SILENT_LONG_MS, NULL);
  tcp_forwarder_retarget (forwarder, second.addr);
  peer_end (&first);
  send_until_arrived (&a, addr, "a", 2, &second);
  peer_end (&a);
  peer_end (&second);
  tcp_forwarder_free (forwarder);
}

static void
test_silent_link_is_replaced (void **state)
{
  /* Messages to one peer stop arriving for good, although no connection error
   * is reported and a new connection to the same peer works: a middlebox has
   * lost the state of the connection and drops its packets. */
  Peer a = peer_new (SILENT_SHORT_MS, NULL);
  Peer b = peer_new (SILENT_SHORT_MS, NULL);
  char addr[MUX_ADDR_LEN];
  TcpForwarder *forwarder = tcp_forwarder_new (b.addr, addr);

  (void) state;
  send_until_arrived (&a, addr, "a", 1, &b);
  tcp_forwarder_freeze (forwarder);
  send_until_arrived (&a, addr, "a", SENDS_MAX + 1, &b);
  peer_end (&a);
  assert_revisions_rise (b.inbox);
  peer_end (&b);
  tcp_forwarder_free (forwarder);
}

/* Reads one message of a ROUTER; the hash of its identity, 0: none came. */
static uint32_t
router_read (void *router)
{
  unsigned char identity[256];
  zmq_pollitem_t item = { router, 0, ZMQ_POLLIN, 0 };
  uint32_t hash = 1;
  char payload[256];
  int len;

  if (zmq_poll (&item, 1, SEND_EVERY_MS) <= 0)
    return 0;
  len = zmq_recv (router, identity, sizeof identity, 0);
  for (int i = 0; i < len; i++)
    hash = hash * 31 + identity[i];
  zmq_recv (router, payload, sizeof payload, 0);
  return hash;
}

static void
test_link_without_echo_is_replaced (void **state)
{
  /* A connection looks alive, because a middlebox still answers ZeroMQ's
   * heartbeats, but no echo comes from the peer itself.  Only the link's own
   * silence timeout detects this. */
  Peer a = peer_new (SILENT_SHORT_MS, NULL);
  void *zmq = zmq_ctx_new ();
  void *router = zmq_socket (zmq, ZMQ_ROUTER);
  char endpoint[MUX_ADDR_LEN + 8];
  size_t len = sizeof endpoint;
  int linger = 0;
  uint32_t first = 0;
  uint32_t last = 0;

  (void) state;
  zmq_setsockopt (router, ZMQ_LINGER, &linger, sizeof linger);
  assert_int_equal (zmq_bind (router, "tcp://127.0.0.1:*"), 0);
  zmq_getsockopt (router, ZMQ_LAST_ENDPOINT, endpoint, &len);
  for (uint64_t i = 0; i < SENDS_MAX && last == first; i++)
    {
      uint32_t hash;

      send_hint (&a, endpoint + strlen ("tcp://"), "a", i);
      while ((hash = router_read (router)) != 0 && last == first)
        {
          first = first == 0 ? hash : first;
          last = hash;
        }
    }
  assert_int_not_equal (first, last);
  assert_true (mux_retry_value (a.counters, MUX_REASON_PEER_SILENT) >= 1);
  peer_end (&a);
  zmq_close (router);
  zmq_ctx_term (zmq);
}

static void
test_idle_link_is_closed (void **state)
{
  Peer a = peer_new (SILENT_SHORT_MS, NULL);
  Peer b = peer_new (SILENT_LONG_MS, NULL);
  char addr[MUX_ADDR_LEN];
  TcpForwarder *forwarder = tcp_forwarder_new (b.addr, addr);

  (void) state;
  send_until_arrived (&a, addr, "a", 1, &b);
  assert_true (tcp_forwarder_wait_closed (forwarder, 1));
  send_until_arrived (&a, addr, "a", SENDS_MAX + 1, &b);
  peer_end (&a);
  peer_end (&b);
  tcp_forwarder_free (forwarder);
}

static void
test_links_are_bounded (void **state)
{
  Peer a = peer_prepare ();
  Peer b = peer_new (1000, NULL);
  MuxPeerZmqOptions options = options_of (&a, 1000);
  const char *port = strrchr (b.addr, ':');
  char addr[MUX_ADDR_LEN];

  (void) state;
  options.links_max = 256;
  peer_open (&a, &options);
  send_hint (&a, b.addr, "a", 1);
  for (int i = 0; i < 256; i++)
    {
      snprintf (addr, sizeof addr, "127.1.0.%d%s", i, port);
      send_hint (&a, addr, "a", 1);
    }
  send_until_arrived (&a, b.addr, "a", 2, &b);
  assert_int_equal (mux_refused_value (a.counters, MUX_REASON_RING_FULL), 1);
  peer_end (&a);
  peer_end (&b);
}

#define DAEMONS 600
#define HOSTS 250

/* With too few links, some daemons of a large cell would never get a message of
 * the planner. */
static void
test_all_daemons_of_a_large_cell_are_reached (void **state)
{
  Peer a = peer_new (SILENT_LONG_MS, NULL);
  Peer b = peer_prepare ();
  MuxPeerZmqOptions options = options_of (&b, SILENT_LONG_MS);
  const char *port;

  (void) state;
  options.listen = "0.0.0.0:0";
  peer_open (&b, &options);
  port = strrchr (b.addr, ':');
  for (int i = 0; i < DAEMONS; i++)
    {
      char addr[MUX_ADDR_LEN];
      char name[MUX_NAME_LEN];

      snprintf (addr, sizeof addr, "127.1.%d.%d%s", i / HOSTS, i % HOSTS + 1,
                port);
      snprintf (name, sizeof name, "a-%d", i);
      send_hint (&a, addr, name, 1);
    }
  for (int i = 0; i < DAEMONS; i++)
    {
      char name[MUX_NAME_LEN];

      snprintf (name, sizeof name, "a-%d", i);
      assert_true (peer_inbox_wait (b.inbox, name, 1, PEER_WAIT_MS));
    }
  assert_int_equal (mux_refused_value (a.counters, MUX_REASON_RING_FULL), 0);
  peer_end (&a);
  peer_end (&b);
}

static void
test_last_word_arrives (void **state)
{
  /* A daemon sends BYE and stops at once.  If its sockets were closed before
   * the message is sent, its peers would use it until its heartbeats time out.
   */
  Peer a = peer_new (SILENT_LONG_MS, NULL);
  Peer b = peer_new (SILENT_LONG_MS, NULL);
  MuxPeerMsg bye;

  (void) state;
  peer_sample (MUX_PEER_BYE, &bye);
  assert_true (a.port->send (a.port, b.addr, &bye));
  peer_end (&a);
  assert_int_equal (peer_inbox_seen (b.inbox, bye.from), 1);
  peer_end (&b);
}

static void
test_full_ring_refuses (void **state)
{
  enum
  {
    QUEUE = 8
  };
  Peer a = peer_new (SILENT_LONG_MS, NULL);
  Peer b = peer_prepare ();
  MuxPeerZmqOptions options = options_of (&b, SILENT_LONG_MS);
  MuxPeerMsg msg = hint ("b", QUEUE);

  (void) state;
  options.queue = QUEUE;
  peer_open (&b, &options);
  peer_inbox_close_gate (b.inbox);
  send_hint (&a, b.addr, "a", 1);
  assert_true (peer_inbox_wait_at_gate (b.inbox));
  /* The thread of b is blocked at the gate: nothing leaves its ring, of which
   * one slot always stays free. */
  for (uint64_t i = 1; i < QUEUE; i++)
    send_hint (&b, a.addr, "b", i);
  assert_false (b.port->send (b.port, a.addr, &msg));
  peer_inbox_open_gate (b.inbox);
  assert_true (peer_inbox_wait (a.inbox, "b", QUEUE - 1, PEER_WAIT_MS));
  assert_true (b.port->send (b.port, a.addr, &msg));
  assert_true (peer_inbox_wait (a.inbox, "b", QUEUE, PEER_WAIT_MS));
  assert_int_equal (peer_inbox_seen (a.inbox, "b"), QUEUE);
  peer_end (&a);
  peer_end (&b);
}

static void
assert_new_refused (const MuxPeerZmqOptions *options, MuxErrorCode code)
{
  MuxError err = { 0 };
  char addr[MUX_ADDR_LEN];

  assert_null (mux_peer_zmq_new (options, addr, &err));
  assert_int_equal (err.code, code);
}

static void
test_wrong_options_refused (void **state)
{
  KeyPair one = key_pair ();
  KeyPair two = key_pair ();
  Peer b = peer_new (SILENT_LONG_MS, NULL);
  MuxPeerZmqOptions good = options_of (&b, SILENT_LONG_MS);
  MuxPeerZmqOptions options = good;

  (void) state;
  options.listen = b.addr;
  assert_new_refused (&options, MUX_ERROR_IO);
  options.listen = "localhost:0";
  assert_new_refused (&options, MUX_ERROR_USAGE);
  options = good;
  options.queue = 3;
  assert_new_refused (&options, MUX_ERROR_USAGE);
  options = good;
  options.secret_key = one.secret;
  assert_new_refused (&options, MUX_ERROR_USAGE);
  options.public_key = two.public;
  assert_new_refused (&options, MUX_ERROR_USAGE);
  peer_end (&b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_adapters_exchange),
    cmocka_unit_test (test_bad_messages_counted),
    cmocka_unit_test (test_peer_restarts),
    cmocka_unit_test (test_silent_link_is_replaced),
    cmocka_unit_test (test_link_without_echo_is_replaced),
    cmocka_unit_test (test_idle_link_is_closed),
    cmocka_unit_test (test_links_are_bounded),
    cmocka_unit_test (test_all_daemons_of_a_large_cell_are_reached),
    cmocka_unit_test (test_last_word_arrives),
    cmocka_unit_test (test_full_ring_refuses),
    cmocka_unit_test (test_wrong_options_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
