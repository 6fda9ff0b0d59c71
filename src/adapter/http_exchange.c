#include "http_listener_private.h"

#include "base/clock.h"
#include "base/number.h"
#include "http_body.h"
#include "http_message.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Longest wait for the memory of connections that are being closed. */
#define RELEASE_WAIT_MS 500
/* A body is kept once here and once by the handler. */
#define BODY_COPIES 2
#define MS_PER_S 1000L
#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

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

static MuxConnection *
connection_of (struct MHD_Connection *mhd)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info != NULL ? info->socket_context : NULL;
}

void *
http_exchange_begin (void *cls, const char *url, struct MHD_Connection *mhd)
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

void
http_exchange_end (void *cls,
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
        http_listener_close (listener, victim);
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
  http_listener_count (listener, counter[refusal]);
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
      http_listener_count (exchange->listener, MUX_COUNT_BODIES_LATE);
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

enum MHD_Result
http_exchange_access (void *cls,
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
