#include "standin/platform_server.h"

#include "standin/listen.h"
#include "standin/platform_routes.h"

#include <stdlib.h>
#include <unistd.h>

#define BODY_MAX (64 * 1024 * 1024)

struct StandinPlatformServer
{
  StandinPlatformServerOptions options;
  char addr[MUX_ADDR_LEN];
  struct _u_instance http;
  bool initialised;
};

StandinPlatformServer *
standin_platform_server_new (const StandinPlatformServerOptions *options,
                             MuxError *err)
{
  StandinPlatformServer *server = calloc (1, sizeof *server);
  uint16_t port;
  int fd;

  if (server == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "out of memory");
      return NULL;
    }
  server->options = *options;
  fd = standin_listen (options->listen, server->addr, &port, err);
  if (fd < 0)
    {
      free (server);
      return NULL;
    }
  server->initialised
      = ulfius_init_instance (&server->http, port, NULL, NULL) == U_OK;
  server->http.max_post_body_size = BODY_MAX;
  server->http.check_utf8 = 0;
  server->http.allowed_post_processor = U_POST_PROCESS_NONE;
  if (server->initialised
      && standin_platform_add_routes (&server->http, &server->options)
      && standin_serve (&server->http, fd))
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
