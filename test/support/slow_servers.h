#ifndef SUPPORT_SLOW_SERVERS_H
#define SUPPORT_SLOW_SERVERS_H

#include <stdint.h>

/* Numbers of requests are below. */
#define SLOW_SERVERS_REQUESTS_MAX 4096

/* HTTP servers on loopback, in a process of their own, that answer late or
 * never. The path of a request, "/DELAY/NUMBER", gives the time in ms from its
 * arrival to its answer, and the answer's body. */
typedef struct SlowServers SlowServers;

typedef enum
{
  SLOW_SERVER_ANSWERS,
  SLOW_SERVER_SILENT,  /* reads requests and keeps their connections open */
  SLOW_SERVER_STOPS,   /* the same, behind the first bytes of an answer */
  SLOW_SERVER_CLOSES,  /* closes the connection in place of the answer */
  SLOW_SERVER_REFUSES, /* does not listen */
  SLOW_SERVER_FULL,    /* its queue of connections to accept is full */
} SlowServerKind;

/** slow_servers_new() - starts @count servers, of all kinds, on ports that the
 * kernel picks
 * Return: never NULL; aborts on failure. */
SlowServers *slow_servers_new (uint32_t count);
void slow_servers_free (SlowServers *servers);
SlowServerKind slow_servers_kind (const SlowServers *servers, uint32_t server);
/** slow_servers_addr() - "127.0.0.1:port", valid until slow_servers_free() */
const char *slow_servers_addr (const SlowServers *servers, uint32_t server);
/** slow_servers_received() - how often request @number was received */
uint32_t slow_servers_received (SlowServers *servers, uint32_t number);
/** slow_servers_answered_ms() - when the answer to request @number was sent,
 * monotonic; 0: none was */
int64_t slow_servers_answered_ms (SlowServers *servers, uint32_t number);

#endif
