#include "http_listener_private.h"

#include "adapter/listen.h"
#include "base/clock.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MHD_OPTIONS_MAX 14
/* Connections being closed, whose threads have not ended yet. */
#define CLOSING_MAX 128

void
http_listener_count (const MuxHttpListener *listener, MuxCounter counter)
{
  mux_count (listener->options.counters, counter, 1);
}

void
http_listener_close (MuxHttpListener *listener, const MuxConnection *connection)
{
  (void) shutdown (connection->fd, connection->state == MUX_CONNECTION_WAITING
                                       ? SHUT_RD
                                       : SHUT_RDWR);
  http_listener_count (listener, MUX_COUNT_CONNECTIONS_CLOSED);
}

static bool
is_overloaded (const MuxHttpListener *listener)
{
  MuxHttpHandler *handler = listener->options.handler;

  return handler->is_overloaded != NULL && handler->is_overloaded (handler);
}

/* Called before a connection has a thread.  Under overload one that is closed
 * at once costs the least: its request would be refused. */
static enum MHD_Result
on_accept (void *cls, const struct sockaddr *addr, socklen_t len)
{
  MuxHttpListener *listener = cls;
  bool is_full;

  (void) addr;
  (void) len;
  if (!is_overloaded (listener))
    return MHD_YES;
  pthread_mutex_lock (&listener->lock);
  is_full = mux_connections_is_full (&listener->table);
  pthread_mutex_unlock (&listener->lock);
  if (!is_full)
    return MHD_YES;
  http_listener_count (listener, MUX_COUNT_CONNECTIONS_REFUSED);
  return MHD_NO;
}

static void
on_connection_opened (MuxHttpListener *listener,
                      struct MHD_Connection *mhd,
                      void **context)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
  MuxConnection *connection = calloc (1, sizeof *connection);
  MuxConnectionTable *table = &listener->table;
  const MuxConnection *victim = NULL;
  bool may_close = !is_overloaded (listener);

  *context = connection;
  if (connection == NULL)
    return;
  connection->fd = info != NULL ? info->connect_fd : -1;
  pthread_mutex_lock (&listener->lock);
  mux_connections_add (table, connection, mux_monotonic_ms ());
  if (may_close)
    victim = mux_connections_victim (table, mux_monotonic_ms ());
  if (victim != NULL)
    http_listener_close (listener, victim);
  pthread_mutex_unlock (&listener->lock);
}

static void
on_connection (void *cls,
               struct MHD_Connection *mhd,
               void **context,
               enum MHD_ConnectionNotificationCode code)
{
  MuxHttpListener *listener = cls;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      on_connection_opened (listener, mhd, context);
      return;
    }
  if (*context == NULL)
    return;
  pthread_mutex_lock (&listener->lock);
  mux_connections_remove (&listener->table, *context);
  pthread_mutex_unlock (&listener->lock);
  free (*context);
  *context = NULL;
}

static struct MHD_Daemon *
start_daemon (MuxHttpListener *listener, int fd)
{
  const MuxHttpListenerOptions *given = &listener->options;
  unsigned int flags
      = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC
        | (given->has_threads ? (unsigned int) MHD_USE_THREAD_PER_CONNECTION
                              : 0U);
  struct MHD_OptionItem options[MHD_OPTIONS_MAX] = {
    { MHD_OPTION_LISTEN_SOCKET, fd, NULL },
    { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t) on_connection, listener },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) http_exchange_begin, listener },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) http_exchange_end, listener },
    { MHD_OPTION_CONNECTION_LIMIT,
      (intptr_t) given->connections_max + CLOSING_MAX, NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t) given->idle_timeout_s, NULL },
    { MHD_OPTION_THREAD_STACK_SIZE, (intptr_t) given->thread_stack_bytes,
      NULL },
  };
  uint32_t used = 7;

  if (given->tls_cert != NULL)
    {
      flags |= MHD_USE_TLS;
      options[used++]
          = (struct MHD_OptionItem){ MHD_OPTION_HTTPS_MEM_CERT, 0,
                                     (void *) (uintptr_t) given->tls_cert };
      options[used++]
          = (struct MHD_OptionItem){ MHD_OPTION_HTTPS_MEM_KEY, 0,
                                     (void *) (uintptr_t) given->tls_key };
    }
  options[used] = (struct MHD_OptionItem){ MHD_OPTION_END, 0, NULL };
  return MHD_start_daemon (flags, 0, on_accept, listener, http_exchange_access,
                           listener, MHD_OPTION_ARRAY, options, MHD_OPTION_END);
}

static void
init_condition (pthread_cond_t *condition)
{
  pthread_condattr_t attr;

  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attr);
  pthread_condattr_destroy (&attr);
}

MuxHttpListener *
mux_http_listener_new (const MuxHttpListenerOptions *options,
                       char *bound,
                       MuxError *err)
{
  MuxHttpListener *listener = calloc (1, sizeof *listener);
  int fd;

  if (listener == NULL)
    {
      mux_error_set (err, MUX_ERROR_MEMORY,
                     "out of memory for the HTTP server");
      return NULL;
    }
  listener->options = *options;
  listener->listen_fd = -1;
  listener->table.connections_max = options->connections_max;
  listener->table.served_max = options->served_max;
  listener->table.memory.limit_bytes = options->memory_bytes;
  pthread_mutex_init (&listener->lock, NULL);
  init_condition (&listener->released);
  fd = mux_listen_open (options->listen, options->receive_buffer_bytes, bound,
                        err);
  if (fd >= 0)
    listener->daemon = start_daemon (listener, fd);
  if (listener->daemon != NULL)
    return listener;
  if (fd >= 0)
    {
      close (fd);
      mux_error_set (err, MUX_ERROR_IO, "can't serve HTTP%s on %s",
                     options->tls_cert != NULL ? "S" : "", options->listen);
    }
  mux_http_listener_free (listener);
  return NULL;
}

void
mux_http_listener_stop_accepting (MuxHttpListener *listener)
{
  if (listener->daemon == NULL || listener->listen_fd >= 0)
    return;
  listener->listen_fd = MHD_quiesce_daemon (listener->daemon);
  if (listener->listen_fd >= 0)
    close (listener->listen_fd);
}

void
mux_http_listener_stop (MuxHttpListener *listener)
{
  if (listener->daemon != NULL)
    MHD_stop_daemon (listener->daemon);
  listener->daemon = NULL;
}

void
mux_http_listener_free (MuxHttpListener *listener)
{
  if (listener == NULL)
    return;
  mux_http_listener_stop (listener);
  pthread_cond_destroy (&listener->released);
  pthread_mutex_destroy (&listener->lock);
  free (listener);
}
