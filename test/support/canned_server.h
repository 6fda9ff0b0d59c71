#ifndef SUPPORT_CANNED_SERVER_H
#define SUPPORT_CANNED_SERVER_H

#include "base/id.h"

/* Answers every connection with the same bytes and closes it. */
typedef struct CannedServer CannedServer;

/** canned_server_new() - on a port that the kernel picks
 * @answer: the bytes, headers and all; borrowed
 * @addr: receives "127.0.0.1:port", MUX_ADDR_LEN bytes
 * Return: never NULL; ends the program when it can't be had. */
CannedServer *canned_server_new (const char *answer, char *addr);
/** canned_server_free() - connections that stand are served first */
void canned_server_free (CannedServer *server);

#endif
