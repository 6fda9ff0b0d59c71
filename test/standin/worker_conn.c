#include "standin/worker_conn.h"

#include <netinet/in.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <uthash.h>

typedef struct
{
  uint64_t peer;
  int fd;
  UT_hash_handle hh;
} Conn;

struct StandinConns
{
  pthread_mutex_t lock;
  Conn *by_peer;
};

StandinConns *
standin_worker_conns_new (void)
{
  StandinConns *conns = calloc (1, sizeof *conns);

  if (conns != NULL)
    pthread_mutex_init (&conns->lock, NULL);
  return conns;
}

void
standin_worker_conns_free (StandinConns *conns)
{
  Conn *conn;

  if (conns == NULL)
    return;
  while ((conn = conns->by_peer) != NULL)
    {
      HASH_DEL (conns->by_peer, conn);
      free (conn);
    }
  pthread_mutex_destroy (&conns->lock);
  free (conns);
}

static uint64_t
peer_of (const struct sockaddr *address)
{
  const struct sockaddr_in *in = (const struct sockaddr_in *) address;

  return (uint64_t) in->sin_addr.s_addr << 16 | in->sin_port;
}

void
standin_worker_conns_notify (void *cls,
                             struct MHD_Connection *connection,
                             void **socket_context,
                             enum MHD_ConnectionNotificationCode code)
{
  StandinConns *conns = cls;
  Conn *conn = *socket_context;

  pthread_mutex_lock (&conns->lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      conn = calloc (1, sizeof *conn);
      if (conn != NULL)
        {
          conn->peer
              = peer_of (MHD_get_connection_info (
                             connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS)
                             ->client_addr);
          conn->fd = MHD_get_connection_info (connection,
                                              MHD_CONNECTION_INFO_CONNECTION_FD)
                         ->connect_fd;
          HASH_ADD (hh, conns->by_peer, peer, sizeof conn->peer, conn);
        }
      *socket_context = conn;
    }
  else if (conn != NULL)
    {
      HASH_DEL (conns->by_peer, conn);
      free (conn);
      *socket_context = NULL;
    }
  pthread_mutex_unlock (&conns->lock);
}

void
standin_worker_conns_cut (StandinConns *conns, const struct sockaddr *peer)
{
  uint64_t key = peer_of (peer);
  Conn *conn = NULL;

  pthread_mutex_lock (&conns->lock);
  HASH_FIND (hh, conns->by_peer, &key, sizeof key, conn);
  if (conn != NULL)
    shutdown (conn->fd, SHUT_RDWR);
  pthread_mutex_unlock (&conns->lock);
}
