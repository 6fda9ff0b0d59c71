#include "http_server_private.h"

#include "adapter/listen.h"
#include "clock.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A handler needs little; the rest of a thread's usual 8 MiB is only address
 * space, which small instances may bound. */
#define THREAD_STACK (INT64_C (256) * 1024)
/* ulfius wants a port although it is given a socket. */
#define UNUSED_PORT 1
#define OPTIONS_MAX 12

MuxHttpServer *
mux_http_server_new (const MuxHttpServerOptions *options, MuxError *err)
{
  MuxHttpServer *door = calloc (1, sizeof *door);

  if (door == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "no memory for the door");
      return NULL;
    }
  door->options = *options;
  door->listen_fd = -1;
  pthread_mutex_init (&door->lock, NULL);
  mux_cond_init (&door->drained);
  door->pending = mux_pending_calls_new (options->callers_max);
  if (door->pending != NULL)
    return door;
  mux_error_set (err, MUX_ERROR_MEMORY, "no memory for the callers");
  mux_http_server_free (door);
  return NULL;
}

static void *
request_begins (void *cls, const char *uri, struct MHD_Connection *connection)
{
  mux_connection_begin_request (cls, connection);
  return ulfius_uri_logger (NULL, uri);
}

static void
request_ended (void *cls,
               struct MHD_Connection *connection,
               void **request,
               enum MHD_RequestTerminationCode code)
{
  mhd_request_completed (NULL, connection, request, code);
  mux_connection_end_request (cls);
}

static bool
add_routes (MuxHttpServer *door)
{
  uint32_t count;
  const MuxRoute *routes = mux_routes (&count);

  door->bindings = calloc (count + 1, sizeof *door->bindings);
  if (door->bindings == NULL)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      door->bindings[i] = (MuxRouteBinding){ door, &routes[i] };
      if (ulfius_add_endpoint_by_val (&door->ulfius, routes[i].method, NULL,
                                      routes[i].path, 0, mux_http_server_handle,
                                      &door->bindings[i])
          != U_OK)
        return false;
    }
  door->bindings[count] = (MuxRouteBinding){ door, NULL };
  return ulfius_set_default_endpoint (&door->ulfius, mux_http_server_handle,
                                      &door->bindings[count])
         == U_OK;
}

static bool
make_http (MuxHttpServer *door)
{
  if (ulfius_init_instance (&door->ulfius, UNUSED_PORT, NULL, NULL) != U_OK)
    return false;
  door->ulfius_initialized = true;
  door->ulfius.max_post_body_size = (size_t) door->options.body_max_bytes + 1;
  /* A body is bytes, whatever type its caller gives it. */
  door->ulfius.allowed_post_processor = U_POST_PROCESS_NONE;
  /* With its check on, ulfius drops a header that is not UTF-8 without a
   * word, and a keyed request would run as one without a key. */
  door->ulfius.check_utf8 = 0;
  return add_routes (door);
}

/* Callers that wait, as many again that keep a connection open between
 * requests, and operators. */
static unsigned int
connection_limit (const MuxHttpServer *door)
{
  return 2 * (door->options.callers_max + MUX_PENDING_CALLS_RESERVED);
}

static bool
start_http (MuxHttpServer *door, int fd)
{
  unsigned int flags = MHD_USE_THREAD_PER_CONNECTION
                       | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
                       | MHD_USE_ITC;
  struct MHD_OptionItem options[OPTIONS_MAX] = {
    { MHD_OPTION_LISTEN_SOCKET, fd, NULL },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) request_ended, door },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) request_begins, door },
    { MHD_OPTION_CONNECTION_LIMIT, (intptr_t) connection_limit (door), NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t) door->options.idle_timeout_s,
      NULL },
    { MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK, NULL },
  };
  uint32_t used = 6;

  if (door->options.tls_cert != NULL)
    {
      flags |= MHD_USE_TLS;
      options[used++] = (struct MHD_OptionItem){
        MHD_OPTION_HTTPS_MEM_CERT, 0,
        (void *) (uintptr_t) door->options.tls_cert
      };
      options[used++] = (struct MHD_OptionItem){
        MHD_OPTION_HTTPS_MEM_KEY, 0, (void *) (uintptr_t) door->options.tls_key
      };
    }
  options[used] = (struct MHD_OptionItem){ MHD_OPTION_END, 0, NULL };
  return ulfius_start_framework_with_mhd_options (&door->ulfius, flags, options)
         == U_OK;
}

bool
mux_http_server_listen (MuxHttpServer *door, char *bound, MuxError *err)
{
  int fd;

  if (!make_http (door))
    return mux_error_set (err, MUX_ERROR_MEMORY, "no memory for the HTTP side");
  fd = mux_listen_open (door->options.listen, bound, err);
  if (fd < 0)
    return false;
  door->listening = start_http (door, fd);
  if (door->listening)
    return true;
  close (fd);
  return mux_error_set (err, MUX_ERROR_IO, "can't serve HTTP%s on %s",
                        door->options.tls_cert != NULL ? "S" : "",
                        door->options.listen);
}

bool
mux_http_server_respond (MuxHttpServer *door, const MuxCoreResponse *answer)
{
  return mux_pending_calls_complete (door->pending, answer);
}

void
mux_http_server_begin_drain (MuxHttpServer *door)
{
  door->draining = true;
}

void
mux_http_server_stop_accepting (MuxHttpServer *door)
{
  if (!door->listening || door->listen_fd >= 0)
    return;
  door->listen_fd = MHD_quiesce_daemon (door->ulfius.mhd_daemon);
  if (door->listen_fd >= 0)
    close (door->listen_fd);
}

bool
mux_http_server_drain (MuxHttpServer *door, uint32_t timeout_ms)
{
  struct timespec deadline = mux_deadline_after (timeout_ms);
  int rc = 0;

  pthread_mutex_lock (&door->lock);
  while (door->requests_in_flight > 0 && rc == 0)
    rc = pthread_cond_timedwait (&door->drained, &door->lock, &deadline);
  pthread_mutex_unlock (&door->lock);
  return rc == 0;
}

void
mux_http_server_fail_pending (MuxHttpServer *door)
{
  mux_pending_calls_close (door->pending);
}

void
mux_http_server_stop (MuxHttpServer *door)
{
  if (door == NULL || !door->listening)
    return;
  ulfius_stop_framework (&door->ulfius);
  door->listening = false;
}

void
mux_http_server_free (MuxHttpServer *door)
{
  if (door == NULL)
    return;
  mux_http_server_stop (door);
  if (door->ulfius_initialized)
    ulfius_clean_instance (&door->ulfius);
  mux_pending_calls_free (door->pending);
  pthread_cond_destroy (&door->drained);
  pthread_mutex_destroy (&door->lock);
  free (door->bindings);
  free (door);
}
