#include "door_private.h"

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

MuxDoor *
mux_door_new (const MuxDoorOptions *options, MuxError *err)
{
  MuxDoor *door = calloc (1, sizeof *door);

  if (door == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY, "no memory for the door");
      return NULL;
    }
  door->options = *options;
  door->port_fd = -1;
  pthread_mutex_init (&door->lock, NULL);
  mux_cond_init (&door->written);
  door->waiters = mux_waiters_new (options->callers_max);
  if (door->waiters != NULL)
    return door;
  mux_error_set (err, MUX_ERROR_MEMORY, "no memory for the callers");
  mux_door_free (door);
  return NULL;
}

static void *
request_begins (void *cls, const char *uri, struct MHD_Connection *connection)
{
  mux_connection_request_begins (cls, connection);
  return ulfius_uri_logger (NULL, uri);
}

static void
request_ended (void *cls,
               struct MHD_Connection *connection,
               void **request,
               enum MHD_RequestTerminationCode code)
{
  mhd_request_completed (NULL, connection, request, code);
  mux_connection_request_ended (cls);
}

static bool
add_routes (MuxDoor *door)
{
  uint32_t count;
  const MuxRoute *routes = mux_routes (&count);

  door->binding = calloc (count + 1, sizeof *door->binding);
  if (door->binding == NULL)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      door->binding[i] = (MuxRouteBinding){ door, &routes[i] };
      if (ulfius_add_endpoint_by_val (&door->http, routes[i].method, NULL,
                                      routes[i].path, 0, mux_door_serve,
                                      &door->binding[i])
          != U_OK)
        return false;
    }
  door->binding[count] = (MuxRouteBinding){ door, NULL };
  return ulfius_set_default_endpoint (&door->http, mux_door_serve,
                                      &door->binding[count])
         == U_OK;
}

static bool
make_http (MuxDoor *door)
{
  if (ulfius_init_instance (&door->http, UNUSED_PORT, NULL, NULL) != U_OK)
    return false;
  door->http_made = true;
  door->http.max_post_body_size = (size_t) door->options.body_max + 1;
  /* A body is bytes, whatever type its caller gives it. */
  door->http.allowed_post_processor = U_POST_PROCESS_NONE;
  /* With its check on, ulfius drops a header that is not UTF-8 without a
   * word, and a keyed request would run as one without a key. */
  door->http.check_utf8 = 0;
  return add_routes (door);
}

/* Callers that wait, as many again that keep a connection open between
 * requests, and operators. */
static unsigned int
connection_limit (const MuxDoor *door)
{
  return 2 * (door->options.callers_max + MUX_WAITERS_RESERVE);
}

static bool
start_http (MuxDoor *door, int fd)
{
  unsigned int flags = MHD_USE_THREAD_PER_CONNECTION
                       | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
                       | MHD_USE_ITC;
  struct MHD_OptionItem options[OPTIONS_MAX] = {
    { MHD_OPTION_LISTEN_SOCKET, fd, NULL },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) request_ended, door },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) request_begins, door },
    { MHD_OPTION_CONNECTION_LIMIT, (intptr_t) connection_limit (door), NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t) door->options.idle_s, NULL },
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
  return ulfius_start_framework_with_mhd_options (&door->http, flags, options)
         == U_OK;
}

bool
mux_door_listen (MuxDoor *door, char *bound, MuxError *err)
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
mux_door_answer (MuxDoor *door, const MuxAnswer *answer)
{
  return mux_waiters_answer (door->waiters, answer);
}

void
mux_door_refuse_new (MuxDoor *door)
{
  door->refuse_new = true;
}

void
mux_door_close_port (MuxDoor *door)
{
  if (!door->listening || door->port_fd >= 0)
    return;
  door->port_fd = MHD_quiesce_daemon (door->http.mhd_daemon);
  if (door->port_fd >= 0)
    close (door->port_fd);
}

bool
mux_door_drain (MuxDoor *door, uint32_t timeout_ms)
{
  struct timespec deadline = mux_deadline_after (timeout_ms);
  int rc = 0;

  pthread_mutex_lock (&door->lock);
  while (door->unwritten > 0 && rc == 0)
    rc = pthread_cond_timedwait (&door->written, &door->lock, &deadline);
  pthread_mutex_unlock (&door->lock);
  return rc == 0;
}

void
mux_door_abandon (MuxDoor *door)
{
  mux_waiters_close (door->waiters);
}

void
mux_door_stop_listening (MuxDoor *door)
{
  if (door == NULL || !door->listening)
    return;
  ulfius_stop_framework (&door->http);
  door->listening = false;
}

void
mux_door_free (MuxDoor *door)
{
  if (door == NULL)
    return;
  mux_door_stop_listening (door);
  if (door->http_made)
    ulfius_clean_instance (&door->http);
  mux_waiters_free (door->waiters);
  pthread_cond_destroy (&door->written);
  pthread_mutex_destroy (&door->lock);
  free (door->binding);
  free (door);
}
