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
  uint32_t pieces;
  const char *tail;
  void (*on_progress) (void *arg);
  void *arg;
} ClientCrowdOptions;

typedef struct ClientCrowd ClientCrowd;

/** crowd_text() - @text, repeated; the caller frees it */
char *crowd_text (const char *text, size_t times);
/** crowd_announced() - a head whose body has @bytes; the caller frees it
 * @request: its first line and headers */
char *crowd_announced (const char *request, size_t bytes);
/** crowd_chunk() - a chunk of @bytes; the caller frees it */
char *crowd_chunk (size_t bytes);

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
