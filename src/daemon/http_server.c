#include "http_server_private.h"

#include "base/memory_account.h"
#include "clock.h"

#include <stdlib.h>

/* Handlers need little stack.  The default of 8 MiB a thread is mostly address
 * space, but that may be limited on small instances. */
#define THREAD_STACK_BYTES (256 * 1024)
#define RECEIVE_BUFFER_BYTES (64 * 1024)

/* Connections for waiting callers and operators, and for as many that are kept
 * open between requests.  Where memory is short, the idle ones are fewer, and
 * then the callers. */
static void
divide_memory (MuxHttpServer *server)
{
  MuxHttpServerOptions *options = &server->options;
  MuxMemoryPlan plan = mux_memory_plan (
      options->memory_bytes,
      2 * (options->callers_max + MUX_PENDING_CALLS_RESERVED),
      MUX_HTTP_CONNECTION_BYTES + RECEIVE_BUFFER_BYTES);
  uint32_t callers = plan.connections_max - 2 * MUX_PENDING_CALLS_RESERVED;

  if (callers < options->callers_max)
    options->callers_max = callers;
  server->connections_max = plan.connections_max;
  server->body_memory_bytes = plan.body_bytes;
}

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
  divide_memory (server);
  pthread_mutex_init (&server->lock, NULL);
  mux_cond_init (&server->drained);
  server->pending = mux_pending_calls_new (server->options.callers_max);
  if (server->pending != NULL)
    return server;
  mux_error_set (err, MUX_ERROR_MEMORY,
                 "out of memory for the table of pending calls");
  mux_http_server_free (server);
  return NULL;
}

static void
begin_request (MuxHttpHandler *handler, struct MHD_Connection *connection)
{
  mux_connection_begin_request ((MuxHttpServer *) handler, connection);
}

static void
end_request (MuxHttpHandler *handler)
{
  mux_connection_end_request ((MuxHttpServer *) handler);
}

bool
mux_http_server_listen (MuxHttpServer *server, char *bound, MuxError *err)
{
  const MuxHttpServerOptions *given = &server->options;
  MuxHttpListenerOptions options = {
    .handler = &server->handler,
    .counters = given->counters,
    .listen = given->listen,
    .has_threads = true,
    .connections_max = server->connections_max,
    .served_max = server->connections_max - MUX_PENDING_CALLS_RESERVED,
    .memory_bytes = server->body_memory_bytes,
    .body_max_bytes = given->body_max_bytes,
    .receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
    .thread_stack_bytes = THREAD_STACK_BYTES,
    .idle_timeout_s = given->idle_timeout_s,
    .receive_timeout_s = given->receive_timeout_s,
    .tls_cert = given->tls_cert,
    .tls_key = given->tls_key,
  };

  server->handler = (MuxHttpHandler){ .handle = mux_http_server_handle,
                                      .refuse = mux_http_server_refuse,
                                      .begin = begin_request,
                                      .end = end_request };
  server->listener = mux_http_listener_new (&options, bound, err);
  return server->listener != NULL;
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
  if (server->listener != NULL)
    mux_http_listener_stop_accepting (server->listener);
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
  if (server == NULL || server->listener == NULL)
    return;
  mux_http_listener_free (server->listener);
  server->listener = NULL;
}

void
mux_http_server_free (MuxHttpServer *server)
{
  if (server == NULL)
    return;
  mux_http_server_stop (server);
  mux_pending_calls_free (server->pending);
  pthread_cond_destroy (&server->drained);
  pthread_mutex_destroy (&server->lock);
  free (server);
}
