#include "http_server_private.h"

#include "adapter/listen.h"
#include "clock.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Handlers need little stack.  The default of 8 MiB a thread is mostly address
 * space, but that may be limited on small instances. */
#define THREAD_STACK_BYTES (INT64_C (256) * 1024)
/* ulfius requires a port number even if it is given a socket. */
#define PLACEHOLDER_PORT 1
#define MHD_OPTIONS_MAX 12

MuxHttpServer *
mux_http_server_new (const MuxHttpServerOptions *options, MuxError *err)
{
  MuxHttpServer *server = calloc (1, sizeof *server);

  if (server == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY,
                     "out of memory for the HTTP server");
      return NULL;
    }
  server->options = *options;
  server->listen_fd = -1;
  pthread_mutex_init (&server->lock, NULL);
  mux_cond_init (&server->drained);
  server->pending = mux_pending_calls_new (options->callers_max);
  if (server->pending != NULL)
    return server;
  mux_error_set (err, MUX_ERROR_MEMORY,
                 "out of memory for the table of pending calls");
  mux_http_server_free (server);
  return NULL;
}

static void *
on_request_started (void *cls,
                    const char *uri,
                    struct MHD_Connection *connection)
{
  mux_connection_begin_request (cls, connection);
  return ulfius_uri_logger (NULL, uri);
}

static void
on_request_ended (void *cls,
                  struct MHD_Connection *connection,
                  void **request,
                  enum MHD_RequestTerminationCode code)
{
  mhd_request_completed (NULL, connection, request, code);
  mux_connection_end_request (cls);
}

static bool
add_routes (MuxHttpServer *server)
{
  uint32_t count;
  const MuxRoute *routes = mux_routes (&count);

  server->bindings = calloc (count + 1, sizeof *server->bindings);
  if (server->bindings == NULL)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      server->bindings[i] = (MuxRouteBinding){ server, &routes[i] };
      if (ulfius_add_endpoint_by_val (&server->ulfius, routes[i].method, NULL,
                                      routes[i].path, 0, mux_http_server_handle,
                                      &server->bindings[i])
          != U_OK)
        return false;
    }
  server->bindings[count] = (MuxRouteBinding){ server, NULL };
  return ulfius_set_default_endpoint (&server->ulfius, mux_http_server_handle,
                                      &server->bindings[count])
         == U_OK;
}

static bool
init_ulfius (MuxHttpServer *server)
{
  if (ulfius_init_instance (&server->ulfius, PLACEHOLDER_PORT, NULL, NULL)
      != U_OK)
    return false;
  server->ulfius_initialized = true;
  server->ulfius.max_post_body_size
      = (size_t) server->options.body_max_bytes + 1;
  /* Bodies are kept as bytes, whatever their Content-Type. */
  server->ulfius.allowed_post_processor = U_POST_PROCESS_NONE;
  /* With this check ulfius silently drops a header that is not UTF-8, and a
   * request with such a key would run as one without a key. */
  server->ulfius.check_utf8 = 0;
  return add_routes (server);
}

/* Room for waiting callers and operators, and for as many idle connections that
 * are kept open between requests. */
static unsigned int
connection_limit (const MuxHttpServer *server)
{
  return 2 * (server->options.callers_max + MUX_PENDING_CALLS_RESERVED);
}

static bool
start_ulfius (MuxHttpServer *server, int fd)
{
  unsigned int flags = MHD_USE_THREAD_PER_CONNECTION
                       | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
                       | MHD_USE_ITC;
  struct MHD_OptionItem options[MHD_OPTIONS_MAX] = {
    { MHD_OPTION_LISTEN_SOCKET, fd, NULL },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) on_request_ended, server },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) on_request_started, server },
    { MHD_OPTION_CONNECTION_LIMIT, (intptr_t) connection_limit (server), NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t) server->options.idle_timeout_s,
      NULL },
    { MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL },
  };
  uint32_t used = 6;

  if (server->options.tls_cert != NULL)
    {
      flags |= MHD_USE_TLS;
      options[used++] = (struct MHD_OptionItem){
        MHD_OPTION_HTTPS_MEM_CERT, 0,
        (void *) (uintptr_t) server->options.tls_cert
      };
      options[used++] = (struct MHD_OptionItem){
        MHD_OPTION_HTTPS_MEM_KEY, 0,
        (void *) (uintptr_t) server->options.tls_key
      };
    }
  options[used] = (struct MHD_OptionItem){ MHD_OPTION_END, 0, NULL };
  return ulfius_start_framework_with_mhd_options (&server->ulfius, flags,
                                                  options)
         == U_OK;
}

bool
mux_http_server_listen (MuxHttpServer *server, char *bound, MuxError *err)
{
  int fd;

  if (!init_ulfius (server))
    return mux_error_set (err, MUX_ERROR_MEMORY,
                          "can't initialize the HTTP server");
  fd = mux_listen_open (server->options.listen, bound, err);
  if (fd < 0)
    return false;
  server->listening = start_ulfius (server, fd);
  if (server->listening)
    return true;
  close (fd);
  return mux_error_set (err, MUX_ERROR_IO, "can't serve HTTP%s on %s",
                        server->options.tls_cert != NULL ? "S" : "",
                        server->options.listen);
}

bool
mux_http_server_respond (MuxHttpServer *server, const MuxCoreResponse *response)
{
  return mux_pending_calls_complete (server->pending, response);
}

void
mux_http_server_begin_drain (MuxHttpServer *server)
{
  server->draining = true;
}

void
mux_http_server_stop_accepting (MuxHttpServer *server)
{
  if (!server->listening || server->listen_fd >= 0)
    return;
  server->listen_fd = MHD_quiesce_daemon (server->ulfius.mhd_daemon);
  if (server->listen_fd >= 0)
    close (server->listen_fd);
}

bool
mux_http_server_drain (MuxHttpServer *server, uint32_t timeout_ms)
{
  struct timespec deadline = mux_deadline_after (timeout_ms);
  int rc = 0;

  pthread_mutex_lock (&server->lock);
  while (server->requests_in_flight > 0 && rc == 0)
    rc = pthread_cond_timedwait (&server->drained, &server->lock, &deadline);
  pthread_mutex_unlock (&server->lock);
  return rc == 0;
}

void
mux_http_server_fail_pending (MuxHttpServer *server)
{
  mux_pending_calls_close (server->pending);
}

void
mux_http_server_stop (MuxHttpServer *server)
{
  if (server == NULL || !server->listening)
    return;
  ulfius_stop_framework (&server->ulfius);
  server->listening = false;
}

void
mux_http_server_free (MuxHttpServer *server)
{
  if (server == NULL)
    return;
  mux_http_server_stop (server);
  if (server->ulfius_initialized)
    ulfius_clean_instance (&server->ulfius);
  mux_pending_calls_free (server->pending);
  pthread_cond_destroy (&server->drained);
  pthread_mutex_destroy (&server->lock);
  free (server->bindings);
  free (server);
}
