#include "standin/listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define CONNECTIONS_MAX 8192
/* How often a connection that is held looks whether the server stops. */
#define HOLD_CHECK_MS 100
#define STACK_BYTES ((intptr_t) 256 * 1024)

/* Socket of the connection that this thread serves. */
static _Thread_local int connection_fd = -1;

static bool
parse (const char *address, struct sockaddr_in *in)
{
  char ip[MUX_ADDR_LEN];
  const char *colon = strrchr (address, ':');
  size_t len = colon != NULL ? (size_t) (colon - address) : 0;
  char *end;
  unsigned long port;

  if (colon == NULL || len >= sizeof ip)
    return false;
  memcpy (ip, address, len);
  ip[len] = 0;
  port = strtoul (colon + 1, &end, 10);
  if (end == colon + 1 || *end != 0 || port > UINT16_MAX)
    return false;
  memset (in, 0, sizeof *in);
  in->sin_family = AF_INET;
  in->sin_port = htons ((uint16_t) port);
  return inet_pton (AF_INET, ip, &in->sin_addr) == 1;
}

int
standin_listen (const char *address,
                char addr[MUX_ADDR_LEN],
                uint16_t *port,
                MuxError *err)
{
  struct sockaddr_in in;
  socklen_t len = sizeof in;
  char ip[INET_ADDRSTRLEN];
  int on = 1;
  int fd;

  if (!parse (address, &in))
    {
      mux_error_set (err, MUX_ERROR_USAGE, "not an ip:port: %s", address);
      return -1;
    }
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) < 0
      || bind (fd, (struct sockaddr *) &in, sizeof in) < 0
      || listen (fd, BACKLOG) < 0
      || getsockname (fd, (struct sockaddr *) &in, &len) < 0)
    {
      mux_error_set (err, MUX_ERROR_IO, "can't listen at %s: %s", address,
                     strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  *port = ntohs (in.sin_port);
  inet_ntop (AF_INET, &in.sin_addr, ip, sizeof ip);
  snprintf (addr, MUX_ADDR_LEN, "%s:%u", ip, (unsigned int) *port);
  return fd;
}

/* Called on a connection's thread before each of its requests. */
static void *
note_connection (void *cls, const char *uri, struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  connection_fd = info != NULL ? info->connect_fd : -1;
  return ulfius_uri_logger (cls, uri);
}

void
standin_cut_connection (void)
{
  if (connection_fd >= 0)
    shutdown (connection_fd, SHUT_RDWR);
}

void
standin_hold_connection (const atomic_bool *stop)
{
  struct pollfd closed = { .fd = connection_fd, .events = POLLRDHUP };

  while (!atomic_load (stop) && poll (&closed, 1, HOLD_CHECK_MS) == 0)
    continue;
}

bool
standin_serve (struct _u_instance *http, int fd)
{
  struct MHD_OptionItem options[] = {
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) mhd_request_completed, NULL },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) note_connection, NULL },
    { MHD_OPTION_LISTEN_SOCKET, fd, NULL },
    { MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL },
    { MHD_OPTION_THREAD_STACK_SIZE, STACK_BYTES, NULL },
    { MHD_OPTION_END, 0, NULL },
  };

  return ulfius_start_framework_with_mhd_options (
             http,
             MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
                 | MHD_USE_POLL,
             options)
         == U_OK;
}
