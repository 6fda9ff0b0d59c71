#ifndef SUPPORT_CLIENT_CROWD_H
#define SUPPORT_CLIENT_CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** DOC: many connections that send the same bytes and stay open */

/**
 * struct ClientCrowdOptions - what each connection sends
 * @addr: "ip:port" of the server
 * @connections: how many connections
 * @head: sent first; NULL: nothing
 * @piece: sent next, @pieces times; NULL: nothing
 * @piece_len: bytes of @piece
 * @tail: sent by client_crowd_finish(); NULL: nothing
 * @on_progress: called now and then while the crowd sends or waits
 * @arg: passed to @on_progress
 */
typedef struct
{
  const char *addr;
  uint32_t connections;
  const char *head;
  const char *piece;
  size_t piece_len;
  uint32_t pieces;
  const char *tail;
  void (*on_progress) (void *arg);
  void *arg;
} ClientCrowdOptions;

typedef struct ClientCrowd ClientCrowd;

/** client_crowd_new() - connect, and send the head and the pieces
 * Returns once every connection has sent all, was closed, or makes no progress;
 * the connections stay open. */
ClientCrowd *client_crowd_new (const ClientCrowdOptions *options);
/** client_crowd_finish() - send the tail on every connection, and wait until
 * each has received something or was closed */
void client_crowd_finish (ClientCrowd *crowd);
/** client_crowd_free() - close the connections */
void client_crowd_free (ClientCrowd *crowd);

#endif
