#ifndef ADAPTER_PEER_H
#define ADAPTER_PEER_H

#include "base/counters.h"
#include "base/error.h"
#include "port/ports.h"

#include <stddef.h>

/**
 * struct MuxPeerZmqOptions - construction of the peer adapter
 * @inbox: where messages go
 * @listen: "ip:port" to bind; port 0 lets the kernel pick
 * @name: this instance
 * @queue: messages that may wait to be sent, power of two
 * @silent_ms: a link that carried nothing for this long is replaced
 * @links_max: addresses that it speaks to at once; 0: as many as it can
 * @secret_key: CURVE secret key, Z85, 40 characters; NULL: no encryption
 * @public_key: the matching public key; one pair serves all daemons of a user
 * @counters: may be NULL
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

/** mux_peer_zmq_new() - ZeroMQ between daemons
 * @bound: receives the "ip:port" in use, MUX_ADDR_LEN bytes
 * Its send() also returns false for an address that is no "ip:port".  Its
 * free() hands over what waits, for at most 2 s.
 * Return: NULL with @err set when it can't listen. */
MuxPeerPort *
mux_peer_zmq_new (const MuxPeerZmqOptions *options, char *bound, MuxError *err);

/** mux_peer_encode() - msgpack form; NULL: memory is out, or a body over
 * 4 MiB */
MuxBlob *mux_peer_encode (const MuxPeerMsg *msg);
/** mux_peer_decode() - false with @err when malformed, of another version, or
 * with a field out of range; on true @msg->body may hold a reference */
bool
mux_peer_decode (const void *bytes, size_t len, MuxPeerMsg *msg, MuxError *err);

#endif
