#include "standin/platform_server.h"

#include "standin/platform_routes.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BODY_MAX (64 * 1024 * 1024)
#define LISTEN_BACKLOG 256

struct StandinPlatformServer
{
  StandinPlatformServerOptions options;
  char addr[MUX_ADDR_LEN];
  struct _u_instance http;
  bool initialised;
};

/* Binds here rather than in the library, which knows no port 0. */
static int
listen_on (const char *text, char addr[MUX_ADDR_LEN], struct sockaddr_in *bound)
{
  socklen_t len = sizeof *bound;
  char ip[INET_ADDRSTRLEN];
  unsigned int port;
  int yes = 1;
  int fd;

  if (sscanf (text, "%15[0-9.]:%u", ip, &port) != 2 || port > UINT16_MAX)
    return -1;
  memset (bound, 0, sizeof *bound);
  bound->sin_family = AF_INET;
  bound->sin_port = htons ((uint16_t) port);
  if (inet_pton (AF_INET, ip, &bound->sin_addr) != 1)
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *) bound, sizeof *bound) < 0
      || listen (fd, LISTEN_BACKLOG) < 0
      || getsockname (fd, (struct sockaddr *) bound, &len) < 0)
    {
      close (fd);
      return -1;
    }
  snprintf (addr, MUX_ADDR_LEN, "%s:%u", ip,
            (unsigned int) ntohs (bound->sin_port));
  return fd;
}

static bool
start (StandinPlatformServer *server, int fd)
{
  struct MHD_OptionItem ops[] = {
    { MHD_OPTION_LISTEN_SOCKET, fd, NULL },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) mhd_request_completed, NULL },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) standin_platform_note_connection,
      NULL },
    { MHD_OPTION_END, 0, NULL },
  };

  return ulfius_start_framework_with_mhd_options (
             &server->http,
             MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
                 | MHD_USE_ITC | MHD_USE_POLL,
             ops)
         == U_OK;
}

StandinPlatformServer *
standin_platform_server_new (const StandinPlatformServerOptions *options,
                             MuxError *err)
{
  StandinPlatformServer *server = calloc (1, sizeof *server);
  struct sockaddr_in bound;
  int fd;

  if (server == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "out of memory");
      return NULL;
    }
  server->options = *options;
  fd = listen_on (options->listen, server->addr, &bound);
  if (fd < 0)
    {
      mux_error_set (err, MUX_ERROR_IO, "can't listen on %s", options->listen);
      free (server);
      return NULL;
    }
  server->initialised
      = ulfius_init_instance (&server->http, ntohs (bound.sin_port), NULL, NULL)
        == U_OK;
  server->http.max_post_body_size = BODY_MAX;
  server->http.check_utf8 = 0;
  server->http.allowed_post_processor = U_POST_PROCESS_NONE;
  if (server->initialised
      && standin_platform_add_routes (&server->http, &server->options)
      && start (server, fd))
    return server;
  mux_error_set (err, MUX_ERROR_IO, "can't start the HTTP server");
  close (fd);
  standin_platform_server_free (server);
  return NULL;
}

void
standin_platform_server_free (StandinPlatformServer *server)
{
  if (server == NULL)
    return;
  standin_platform_faults_stop (server->options.faults);
  if (server->initialised)
    {
      ulfius_stop_framework (&server->http);
      ulfius_clean_instance (&server->http);
    }
  free (server);
}

const char *
standin_platform_server_addr (const StandinPlatformServer *server)
{
  return server->addr;
}
