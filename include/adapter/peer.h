#ifndef ADAPTER_PEER_H
#define ADAPTER_PEER_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

#include <stddef.h>

/**
 * struct MuxPeerZmqOptions - construction of the peer adapter
 * @inbox: receives messages; borrowed
 * @listen: "ip:port" to bind; port 0: the kernel picks one
 * @name: this instance
 * @queue: messages that may wait to be sent, a power of two
 * @silence_timeout_ms: a link whose sends get no echo for this long is replaced
 * @links_max: most links at once, one an address; 0: MUX_PEER_LINKS_MAX
 * @secret_key: CURVE secret key, Z85, 40 characters; NULL: no encryption
 * @public_key: the matching public key; all daemons of a user share one pair
 * @counters: borrowed; may be NULL
 */
typedef struct
{
  MuxInbox *inbox;
  const char *listen;
  const char *name;
  uint32_t queue;
  uint32_t silence_timeout_ms;
  uint32_t links_max;
  const char *secret_key;
  const char *public_key;
  MuxCounters *counters;
} MuxPeerZmqOptions;

/** mux_peer_zmq_new() - create the peer adapter, which uses ZeroMQ
 * @bound: receives the "ip:port" in use, MUX_ADDR_LEN bytes
 *
 * Its send() also returns false for an address that is no "ip:port".  Its
 * free() sends the messages still queued, which takes at most 2 s.
 * Return: NULL with @err set when it can't listen. */
MuxPeerPort *
mux_peer_zmq_new (const MuxPeerZmqOptions *options, char *bound, MuxError *err);

/** mux_peer_encode() - encode a message as msgpack
 * Return: NULL when out of memory or when the body is over 4 MiB. */
MuxBlob *mux_peer_encode (const MuxPeerMsg *msg);
/** mux_peer_decode() - decode a message
 * @msg: filled on success; its body, if any, is a reference of the caller
 * @err: may be NULL
 * Return: false with @err set when the message is malformed, of another
 * version, or has a field out of range. */
bool
mux_peer_decode (const void *bytes, size_t len, MuxPeerMsg *msg, MuxError *err);

#endif
