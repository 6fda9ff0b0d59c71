#ifndef SUPPORT_CANNED_SERVER_H
#define SUPPORT_CANNED_SERVER_H

#include "base/id.h"

/* A server that answers every connection with the same bytes and closes it. */
typedef struct CannedServer CannedServer;

/** canned_server_new() - listens on a port that the kernel picks
 * @answer: the bytes, with the headers; borrowed
 * @addr: receives "127.0.0.1:port", MUX_ADDR_LEN bytes
 * Return: never NULL; aborts on failure. */
CannedServer *canned_server_new (const char *answer, char *addr);
/** canned_server_free() - serves pending connections, then stops */
void canned_server_free (CannedServer *server);

#endif
