#ifndef SUPPORT_TCP_FORWARDER_H
#define SUPPORT_TCP_FORWARDER_H

#include <stdbool.h>
#include <stdint.h>

/* Forwards TCP connections on loopback and simulates faults of the network. */
typedef struct TcpForwarder TcpForwarder;

typedef enum
{
  TCP_FORWARDER_PASS,
  TCP_FORWARDER_SILENT,  /* holds all data back until the mode is PASS again */
  TCP_FORWARDER_REFUSE,  /* closes open connections, and new ones at once */
  TCP_FORWARDER_ONE_WAY, /* holds back the data from the target only */
  TCP_FORWARDER_DELAY,   /* delays each chunk of data by 40 ms */
} TcpForwarderMode;

/** tcp_forwarder_new() - forwards a port that the kernel picks to @target
 * @target: "127.0.0.1:port"; NULL: none, new connections are closed
 * @addr: receives the address to connect to, MUX_ADDR_LEN bytes */
TcpForwarder *tcp_forwarder_new (const char *target, char *addr);
void tcp_forwarder_free (TcpForwarder *forwarder);
/** tcp_forwarder_retarget() - sets the target of new connections */
void tcp_forwarder_retarget (TcpForwarder *forwarder, const char *target);
/** tcp_forwarder_mode() - sets the mode of all connections, open or new */
void tcp_forwarder_mode (TcpForwarder *forwarder, TcpForwarderMode mode);
/** tcp_forwarder_freeze() - stops forwarding on the connections open now,
 * without closing them; new ones work */
void tcp_forwarder_freeze (TcpForwarder *forwarder);
/** tcp_forwarder_wait_closed() - waits until @n connections have been closed
 * Return: false after 30 s. */
bool tcp_forwarder_wait_closed (TcpForwarder *forwarder, uint32_t n);
/** tcp_forwarder_bytes() - returns the bytes forwarded, in both directions */
uint64_t tcp_forwarder_bytes (TcpForwarder *forwarder);

#endif
