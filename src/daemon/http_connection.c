#include "http_server_private.h"

#include <errno.h>
#include <strings.h>
#include <sys/socket.h>

/* ulfius does not pass the connection to its callbacks.  Each connection has a
 * thread of its own, so the connection is kept in a thread-local variable. */
static _Thread_local struct MHD_Connection *this_connection;

void
mux_connection_begin_request (MuxHttpServer *server,
                              struct MHD_Connection *connection)
{
  this_connection = connection;
  pthread_mutex_lock (&server->lock);
  server->requests_in_flight++;
  pthread_mutex_unlock (&server->lock);
}

void
mux_connection_set_timeout (uint32_t seconds)
{
  if (this_connection != NULL)
    MHD_set_connection_option (this_connection, MHD_CONNECTION_OPTION_TIMEOUT,
                               (unsigned int) seconds);
}

bool
mux_connection_peer_closed (void)
{
  const union MHD_ConnectionInfo *info;
  char byte;
  ssize_t n;

  if (this_connection == NULL)
    return false;
  info = MHD_get_connection_info (this_connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == NULL)
    return false;
  n = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0
         || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK
             && errno != EINTR);
}

typedef struct
{
  const char *name;
  uint32_t count;
} HeaderCount;

static enum MHD_Result
count_header (void *cls,
              enum MHD_ValueKind kind,
              const char *name,
              const char *value)
{
  HeaderCount *header = cls;

  (void) kind;
  (void) value;
  header->count += strcasecmp (name, header->name) == 0;
  return MHD_YES;
}

bool
mux_connection_has_duplicate_header (const char *name)
{
  HeaderCount header = { name, 0 };

  if (this_connection != NULL)
    (void) MHD_get_connection_values (this_connection, MHD_HEADER_KIND,
                                      count_header, &header);
  return header.count > 1;
}

void
mux_connection_end_request (MuxHttpServer *server)
{
  this_connection = NULL;
  pthread_mutex_lock (&server->lock);
  server->requests_in_flight--;
  if (server->requests_in_flight == 0)
    pthread_cond_broadcast (&server->drained);
  pthread_mutex_unlock (&server->lock);
}
