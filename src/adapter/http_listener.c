#include "adapter/http_listener.h"

#include "adapter/connection_table.h"
#include "adapter/listen.h"
#include "base/clock.h"
#include "base/number.h"
#include "http_body.h"
#include "http_message.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MHD_OPTIONS_MAX 14
/* Connections that were chosen to be closed and whose threads have not ended.
 */
#define CLOSING_MAX 128
/* Longest wait for the memory of connections that are being closed. */
#define RELEASE_WAIT_MS 500
/* A body is kept once here and once by the handler. */
#define BODY_COPIES 2
#define MS_PER_S 1000L
#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

struct MuxHttpListener
{
  MuxHttpListenerOptions options;
  struct MHD_Daemon *daemon;
  int listen_fd;           /* from MHD_quiesce_daemon(); -1: none */
  pthread_mutex_t lock;    /* guards table */
  pthread_cond_t released; /* memory was released */
  MuxConnectionTable table;
};

/**
 * struct Exchange - a request from its first line to its end
 * @connection: NULL: out of memory
 * @url: as sent; NULL: out of memory
 * @has_headers: the headers are complete
 * @is_refused: it gets a refusal, whatever else arrives
 * @begun_ms: arrival of the headers
 */
typedef struct
{
  MuxHttpListener *listener;
  MuxConnection *connection;
  char *url;
  bool has_headers;
  bool is_refused;
  MuxHttpRefusal refusal;
  int64_t begun_ms;
  HttpBody body;
} Exchange;

static void
count (const MuxHttpListener *listener, MuxCounter counter)
{
  mux_count (listener->options.counters, counter, 1);
}

/* Wakes the connection's thread, which closes it.  A request that is already
 * whole in the socket is still read, and refused with a response.  Called with
 * the lock, so that the socket is open. */
static void
wake_to_close (MuxHttpListener *listener, const MuxConnection *victim)
{
  (void) shutdown (victim->fd, victim->state == MUX_CONNECTION_WAITING
                                   ? SHUT_RD
                                   : SHUT_RDWR);
  count (listener, MUX_COUNT_CONNECTIONS_CLOSED);
}

static MuxConnection *
connection_of (struct MHD_Connection *mhd)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info != NULL ? info->socket_context : NULL;
}

static void
on_connection_opened (MuxHttpListener *listener,
                      struct MHD_Connection *mhd,
                      void **context)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
  MuxConnection *connection = calloc (1, sizeof *connection);
  const MuxConnection *victim;

  *context = connection;
  if (connection == NULL)
    return;
  connection->fd = info != NULL ? info->connect_fd : -1;
  pthread_mutex_lock (&listener->lock);
  victim
      = mux_connections_add (&listener->table, connection, mux_monotonic_ms ());
  if (victim != NULL)
    wake_to_close (listener, victim);
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

static void *
on_begun (void *cls, const char *url, struct MHD_Connection *mhd)
{
  MuxHttpListener *listener = cls;
  Exchange *exchange = calloc (1, sizeof *exchange);

  if (exchange == NULL)
    return NULL;
  exchange->listener = listener;
  exchange->connection = connection_of (mhd);
  exchange->url = strdup (url);
  if (exchange->connection != NULL)
    {
      pthread_mutex_lock (&listener->lock);
      mux_connections_begin (&listener->table, exchange->connection,
                             mux_monotonic_ms ());
      pthread_mutex_unlock (&listener->lock);
    }
  if (listener->options.handler->begin != NULL)
    listener->options.handler->begin (listener->options.handler, mhd);
  return exchange;
}

/* Called with the lock.  A listener without bodies leaves the gauge to others.
 */
static void
publish_memory (const MuxHttpListener *listener)
{
  if (listener->options.memory_bytes == 0)
    return;
  mux_gauge_set (listener->options.counters, MUX_GAUGE_REQUEST_MEMORY,
                 listener->table.memory.held_bytes);
}

static void
on_ended (void *cls,
          struct MHD_Connection *mhd,
          void **context,
          enum MHD_RequestTerminationCode code)
{
  MuxHttpListener *listener = cls;
  Exchange *exchange = *context;

  (void) mhd;
  (void) code;
  if (exchange == NULL)
    return;
  http_body_clear (&exchange->body);
  if (exchange->connection != NULL)
    {
      pthread_mutex_lock (&listener->lock);
      mux_connections_end (&listener->table, exchange->connection,
                           mux_monotonic_ms ());
      publish_memory (listener);
      pthread_cond_broadcast (&listener->released);
      pthread_mutex_unlock (&listener->lock);
    }
  if (listener->options.handler->end != NULL)
    listener->options.handler->end (listener->options.handler);
  free (exchange->url);
  free (exchange);
  *context = NULL;
}

static struct timespec
deadline_after (int64_t ms)
{
  struct timespec time;

  clock_gettime (CLOCK_MONOTONIC, &time);
  time.tv_sec += ms / MS_PER_S;
  time.tv_nsec += ms % MS_PER_S * NS_PER_MS;
  time.tv_sec += time.tv_nsec / NS_PER_S;
  time.tv_nsec %= NS_PER_S;
  return time;
}

/* Closes old unfinished bodies until there is room.  Return: false when there
 * is none to be had soon. */
static bool
reserve (MuxHttpListener *listener, MuxConnection *connection, uint64_t bytes)
{
  struct timespec deadline = deadline_after (RELEASE_WAIT_MS);
  MuxConnectionTable *table = &listener->table;
  bool reserved;
  int rc = 0;

  pthread_mutex_lock (&listener->lock);
  while (!(reserved = mux_connections_reserve (table, connection, bytes))
         && rc == 0)
    {
      const MuxConnection *victim
          = mux_connections_memory_victim (table, mux_monotonic_ms ());

      if (victim != NULL)
        wake_to_close (listener, victim);
      else if (table->closing_bytes == 0 || connection->closing)
        break;
      rc = pthread_cond_timedwait (&listener->released, &listener->lock,
                                   &deadline);
    }
  publish_memory (listener);
  pthread_mutex_unlock (&listener->lock);
  return reserved;
}

/* From now on the body is read and discarded. */
static void
refuse (Exchange *exchange, MuxHttpRefusal refusal)
{
  static const MuxCounter counter[] = {
    [MUX_HTTP_BODY_TOO_LARGE] = MUX_COUNT_BODIES_TOO_LARGE,
    [MUX_HTTP_NO_MEMORY] = MUX_COUNT_BODIES_NO_MEMORY,
    [MUX_HTTP_TOO_MANY] = MUX_COUNT_REQUESTS_TOO_MANY,
  };
  MuxHttpListener *listener = exchange->listener;

  exchange->is_refused = true;
  exchange->refusal = refusal;
  count (listener, counter[refusal]);
  http_body_clear (&exchange->body);
  pthread_mutex_lock (&listener->lock);
  mux_connections_release (&listener->table, exchange->connection);
  publish_memory (listener);
  pthread_cond_broadcast (&listener->released);
  pthread_mutex_unlock (&listener->lock);
}

/* Calls the handler and sends what it responds. */
static enum MHD_Result
respond (Exchange *exchange, struct MHD_Connection *mhd, const char *method)
{
  MuxHttpListener *listener = exchange->listener;
  MuxHttpHandler *handler = listener->options.handler;
  struct _u_request request;
  struct _u_response response;
  enum MHD_Result result = MHD_NO;

  if (ulfius_init_request (&request) != U_OK)
    return MHD_NO;
  if (ulfius_init_response (&response) != U_OK)
    {
      ulfius_clean_request (&request);
      return MHD_NO;
    }
  if (http_request_fill (&request, mhd, method, exchange->url))
    {
      request.binary_body = exchange->body.bytes;
      request.binary_body_length
          = exchange->body.bytes != NULL ? exchange->body.len : 0;
      if (exchange->is_refused)
        {
          handler->refuse (handler, &request, exchange->refusal, &response);
          u_map_put (response.map_header, "Connection", "close");
        }
      else
        handler->handle (handler, &request, &response);
      request.binary_body = NULL;
      request.binary_body_length = 0;
      http_body_clear (&exchange->body);
      pthread_mutex_lock (&listener->lock);
      mux_connections_respond (&listener->table, exchange->connection,
                               mux_monotonic_ms ());
      publish_memory (listener);
      pthread_cond_broadcast (&listener->released);
      pthread_mutex_unlock (&listener->lock);
      result = http_response_queue (&response, mhd);
    }
  ulfius_clean_response (&response);
  ulfius_clean_request (&request);
  return result;
}

/* A request that is refused by its headers gets its response before its body
 * is read; the connection is closed after it. */
static enum MHD_Result
on_headers (Exchange *exchange, struct MHD_Connection *mhd, const char *method)
{
  MuxHttpListener *listener = exchange->listener;
  const char *length
      = MHD_lookup_connection_value (mhd, MHD_HEADER_KIND, "Content-Length");
  uint64_t expected = 0;

  exchange->has_headers = true;
  exchange->begun_ms = mux_monotonic_ms ();
  (void) mux_unsigned_parse (length, UINT64_MAX, &expected);
  exchange->body.expected = expected;
  if (expected > listener->options.body_max_bytes)
    refuse (exchange, MUX_HTTP_BODY_TOO_LARGE);
  else if (expected > MUX_HTTP_SMALL_BODY_BYTES
           && !reserve (listener, exchange->connection, expected * BODY_COPIES))
    refuse (exchange, MUX_HTTP_NO_MEMORY);
  return exchange->is_refused ? respond (exchange, mhd, method) : MHD_YES;
}

/* Reserves what a body without an announced length needs to grow. */
static bool
reserve_growth (Exchange *exchange, size_t capacity)
{
  uint64_t needed = capacity > MUX_HTTP_SMALL_BODY_BYTES
                        ? (uint64_t) capacity * BODY_COPIES
                        : 0;
  uint64_t held = exchange->connection->reserved_bytes;

  return needed <= held
         || reserve (exchange->listener, exchange->connection, needed - held);
}

static void
keep_piece (Exchange *exchange, const char *piece, size_t n)
{
  size_t max = exchange->listener->options.body_max_bytes;
  size_t capacity;

  if (exchange->body.len + n > max)
    {
      refuse (exchange, MUX_HTTP_BODY_TOO_LARGE);
      return;
    }
  capacity = http_body_next_capacity (&exchange->body, n, max);
  if (!reserve_growth (exchange, capacity)
      || !http_body_append (&exchange->body, piece, n, capacity))
    refuse (exchange, MUX_HTTP_NO_MEMORY);
}

/* Return: false when the connection must be closed. */
static bool
on_piece (Exchange *exchange, const char *piece, size_t n)
{
  const MuxHttpListenerOptions *options = &exchange->listener->options;

  if (mux_monotonic_ms () - exchange->begun_ms
      > (int64_t) options->receive_timeout_s * MS_PER_S)
    {
      count (exchange->listener, MUX_COUNT_BODIES_LATE);
      return false;
    }
  if (!exchange->is_refused)
    keep_piece (exchange, piece, n);
  if (!exchange->is_refused)
    return true;
  /* No response can be sent before the body's end, so that a body which does
   * not end soon gets none. */
  exchange->body.len += n;
  return exchange->body.len <= 2 * (size_t) options->body_max_bytes;
}

static bool
serve_now (Exchange *exchange)
{
  MuxHttpListener *listener = exchange->listener;
  bool serve;

  pthread_mutex_lock (&listener->lock);
  serve = mux_connections_serve (&listener->table, exchange->connection);
  pthread_mutex_unlock (&listener->lock);
  return serve;
}

static enum MHD_Result
on_access (void *cls,
           struct MHD_Connection *mhd,
           const char *url,
           const char *method,
           const char *version,
           const char *piece,
           size_t *n,
           void **context)
{
  Exchange *exchange = *context;
  bool ok;

  (void) cls;
  (void) url;
  (void) version;
  if (exchange == NULL || exchange->connection == NULL || exchange->url == NULL)
    return MHD_NO;
  if (!exchange->has_headers)
    return on_headers (exchange, mhd, method);
  if (*n > 0)
    {
      ok = on_piece (exchange, piece, *n);
      *n = 0;
      return ok ? MHD_YES : MHD_NO;
    }
  if (!exchange->is_refused && !serve_now (exchange))
    refuse (exchange, MUX_HTTP_TOO_MANY);
  return respond (exchange, mhd, method);
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
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t) on_begun, listener },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t) on_ended, listener },
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
  return MHD_start_daemon (flags, 0, NULL, NULL, on_access, listener,
                           MHD_OPTION_ARRAY, options, MHD_OPTION_END);
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
