#ifndef SUPPORT_TCP_FORWARDER_H
#define SUPPORT_TCP_FORWARDER_H

#include <stdbool.h>
#include <stdint.h>

/* Stands between two ends like a middlebox, on loopback. */
typedef struct TcpForwarder TcpForwarder;

typedef enum
{
  TCP_FORWARDER_PASS,
  TCP_FORWARDER_SILENT,  /* nothing passes; it comes late, in PASS again */
  TCP_FORWARDER_REFUSE,  /* closes what is open, and each new one at once */
  TCP_FORWARDER_ONE_WAY, /* what callers send passes, answers come late */
  TCP_FORWARDER_DELAY,   /* each piece is held up for a while */
} TcpForwarderMode;

/** tcp_forwarder_new() - forward a port that the kernel picks to @target
 * @target: "127.0.0.1:port"; NULL: none yet, connections are closed
 * @addr: receives the address to connect to, MUX_ADDR_LEN bytes */
TcpForwarder *tcp_forwarder_new (const char *target, char *addr);
void tcp_forwarder_free (TcpForwarder *forwarder);
/** tcp_forwarder_retarget() - where connections from now on lead */
void tcp_forwarder_retarget (TcpForwarder *forwarder, const char *target);
/** tcp_forwarder_mode() - from now on, for all connections */
void tcp_forwarder_mode (TcpForwarder *forwarder, TcpForwarderMode mode);
/** tcp_forwarder_freeze() - forget the connections that stand: they stay open
 * and nothing passes them any more, while new ones work */
void tcp_forwarder_freeze (TcpForwarder *forwarder);
/** tcp_forwarder_wait_closed() - until an end has closed @n connections */
bool tcp_forwarder_wait_closed (TcpForwarder *forwarder, uint32_t n);
/** tcp_forwarder_bytes() - passed on so far, both ways together */
uint64_t tcp_forwarder_bytes (TcpForwarder *forwarder);

#endif
