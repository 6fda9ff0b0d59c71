#include "support/peer_end.h"

#include "support/peer_sample.h"

#include "support/test.h"

#include <zmq.h>

KeyPair
key_pair (void)
{
  KeyPair keys;

  assert_int_equal (zmq_curve_keypair (keys.public, keys.secret), 0);
  return keys;
}

MuxPeerZmqOptions
options_of (Peer *peer, uint32_t silent_ms)
{
  return (MuxPeerZmqOptions){ .inbox = &peer->inbox->inbox,
                              .listen = "127.0.0.1:0",
                              .name = "test",
                              .queue = 1024,
                              .silence_timeout_ms = silent_ms,
                              .counters = peer->counters };
}

Peer
peer_prepare (void)
{
  return (Peer){ .inbox = peer_inbox_new (), .counters = mux_counters_new () };
}

void
peer_open (Peer *peer, const MuxPeerZmqOptions *options)
{
  MuxError err = { 0 };

  peer->port = mux_peer_zmq_new (options, peer->addr, &err);
  if (peer->port == NULL)
    fail_msg ("%s", err.text);
}

Peer
peer_new (uint32_t silent_ms, const KeyPair *keys)
{
  Peer peer = peer_prepare ();
  MuxPeerZmqOptions options = options_of (&peer, silent_ms);

  if (keys != NULL)
    {
      options.secret_key = keys->secret;
      options.public_key = keys->public;
    }
  peer_open (&peer, &options);
  return peer;
}

void
peer_end (Peer *peer)
{
  peer->port->free (peer->port);
  peer_inbox_free (peer->inbox);
  mux_counters_free (peer->counters);
}

MuxPeerMsg
hint (const char *from, uint64_t revision)
{
  MuxPeerMsg msg;

  peer_sample (MUX_PEER_CONFIG_HINT, &msg);
  mux_name_copy (msg.from, from);
  msg.revision = revision;
  return msg;
}

void
send_hint (Peer *peer, const char *addr, const char *from, uint64_t revision)
{
  MuxPeerMsg msg = hint (from, revision);

  assert_true (peer->port->send (peer->port, addr, &msg));
}

void
send_until_arrived (Peer *peer,
                    const char *addr,
                    const char *from,
                    uint64_t first,
                    Peer *to)
{
  for (uint64_t i = 0; i < SENDS_MAX; i++)
    {
      send_hint (peer, addr, from, first + i);
      if (peer_inbox_wait (to->inbox, from, first, SEND_EVERY_MS))
        return;
    }
  fail_msg ("nothing arrived");
}
