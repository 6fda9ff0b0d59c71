#include "support/peer_end.h"
#include "support/test.h"

#include <zmq.h>

static void
test_other_keys_get_nothing_through (void **state)
{
  /* Messages of a daemon of another user, or of one without encryption, are not
   * accepted, and its attempts do not keep our own from arriving. */
  KeyPair ours = key_pair ();
  KeyPair theirs = key_pair ();
  Peer a = peer_new (SILENT_LONG_MS, &ours);
  Peer b = peer_new (SILENT_LONG_MS, &ours);
  Peer other = peer_new (SILENT_SHORT_MS, &theirs);
  Peer plain = peer_new (SILENT_SHORT_MS, NULL);
  uint64_t n = 0;

  (void) state;
  while (n < SENDS_MAX
         && (mux_retry_value (other.counters, MUX_REASON_PEER_SILENT) < 2
             || mux_retry_value (plain.counters, MUX_REASON_PEER_SILENT) < 2))
    {
      send_hint (&other, b.addr, "other", n);
      send_hint (&plain, b.addr, "plain", n);
      send_hint (&a, b.addr, "a", n);
      assert_true (peer_inbox_wait (b.inbox, "a", n++, PEER_WAIT_MS));
      /* No message arrives: this paces the senders. */
      (void) peer_inbox_wait (a.inbox, "nobody", 0, SEND_EVERY_MS);
    }
  assert_true (n < SENDS_MAX);
  assert_int_equal (peer_inbox_seen (b.inbox, "other"), 0);
  assert_int_equal (peer_inbox_seen (b.inbox, "plain"), 0);
  peer_end (&a);
  peer_end (&b);
  peer_end (&other);
  peer_end (&plain);
}

/* A client that knows the listener's public key and has a pair of its own. */
static void *
stranger_connect (void *zmq, const KeyPair *server, const char *addr)
{
  KeyPair own = key_pair ();
  void *socket = zmq_socket (zmq, ZMQ_DEALER);
  char endpoint[MUX_ADDR_LEN + 8];
  int linger = 0;

  snprintf (endpoint, sizeof endpoint, "tcp://%s", addr);
  zmq_setsockopt (socket, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, server->public, KEY_TEXT);
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, own.public, KEY_TEXT);
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, own.secret, KEY_TEXT);
  assert_int_equal (zmq_socket_monitor (socket, "inproc://stranger",
                                        ZMQ_EVENT_HANDSHAKE_FAILED_AUTH
                                            | ZMQ_EVENT_HANDSHAKE_SUCCEEDED),
                    0);
  assert_int_equal (zmq_connect (socket, endpoint), 0);
  return socket;
}

static void
test_stranger_that_knows_the_public_key (void **state)
{
  /* The public key, which is not secret, is enough for a client to open CURVE's
   * handshake with a key pair of its own.  Unless the listener checks the
   * client's key, too, anybody who knows the public key has access. */
  KeyPair ours = key_pair ();
  Peer b = peer_new (SILENT_LONG_MS, &ours);
  MuxPeerMsg msg = hint ("stranger", 1);
  MuxBlob *blob = mux_peer_encode (&msg);
  void *zmq = zmq_ctx_new ();
  void *socket = stranger_connect (zmq, &ours, b.addr);
  void *monitor = zmq_socket (zmq, ZMQ_PAIR);
  int wait_ms = PEER_WAIT_MS;
  uint16_t event = 0;
  char frame[6];

  (void) state;
  zmq_setsockopt (monitor, ZMQ_RCVTIMEO, &wait_ms, sizeof wait_ms);
  assert_int_equal (zmq_connect (monitor, "inproc://stranger"), 0);
  zmq_send (socket, blob->bytes, blob->len, 0);
  assert_int_equal (zmq_recv (monitor, frame, sizeof frame, 0), sizeof frame);
  memcpy (&event, frame, sizeof event);
  assert_int_equal (event, ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
  assert_int_equal (peer_inbox_seen (b.inbox, "stranger"), 0);
  mux_blob_unref (blob);
  zmq_socket_monitor (socket, NULL, 0);
  zmq_close (monitor);
  zmq_close (socket);
  zmq_ctx_term (zmq);
  peer_end (&b);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_other_keys_get_nothing_through),
    cmocka_unit_test (test_stranger_that_knows_the_public_key),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
