#ifndef ADAPTER_HTTP_LISTENER_H
#define ADAPTER_HTTP_LISTENER_H

#include "base/counters.h"
#include "base/error.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

/**
 * DOC: an HTTP server that bounds what its clients hold
 *
 * Requests and responses are ulfius's; connections and bodies are
 * libmicrohttpd's own, since ulfius reads every body to its end and keeps it
 * before it calls anybody.
 */

/** enum MuxHttpRefusal - why a request is not handled */
typedef enum
{
  MUX_HTTP_BODY_TOO_LARGE, /* over body_max_bytes */
  MUX_HTTP_NO_MEMORY,      /* bodies hold as much memory as they may */
  MUX_HTTP_TOO_MANY,       /* as many requests are served as may be */
} MuxHttpRefusal;

/* Delay that a caller is told when it is refused for want of room: within it
 * the longest unfinished bodies make room. */
#define MUX_HTTP_RETRY_MS 1000

/* What a listener serves; called by the thread of the connection. */
typedef struct MuxHttpHandler MuxHttpHandler;
struct MuxHttpHandler
{
  /* Responds to a whole request.  map_url holds the query alone. */
  void (*handle) (MuxHttpHandler *handler,
                  const struct _u_request *request,
                  struct _u_response *response);
  /* Responds to a request that has no effect; its body is absent. */
  void (*refuse) (MuxHttpHandler *handler,
                  const struct _u_request *request,
                  MuxHttpRefusal refusal,
                  struct _u_response *response);
  /* The first line of a request has arrived; may be NULL. */
  void (*begin) (MuxHttpHandler *handler, struct MHD_Connection *connection);
  /* That request has ended: its response is sent, or its connection closed;
   * may be NULL. */
  void (*end) (MuxHttpHandler *handler);
  /* Whether most requests are refused for load.  While they are, no connection
   * is closed to make room for a new one.  May be NULL: never. */
  bool (*is_overloaded) (MuxHttpHandler *handler);
};

/**
 * struct MuxHttpListenerOptions - construction of a listener
 * @handler: borrowed
 * @counters: borrowed
 * @listen: "ip:port"; port 0: the kernel picks one
 * @has_threads: a thread for each connection, so that handlers may wait;
 *   otherwise one thread for all
 * @connections_max: connections open at once
 * @served_max: requests handled at once
 * @memory_bytes: what bodies may hold in all, with the copy that a handler
 *   makes; a body of up to MUX_HTTP_SMALL_BODY_BYTES is not counted
 * @body_max_bytes: largest body
 * @receive_buffer_bytes: of each socket
 * @thread_stack_bytes: of each thread
 * @idle_timeout_s: a connection that is silent for this long is closed
 * @receive_timeout_s: time for a whole body
 * @tls_cert: certificate as PEM text; NULL: plain HTTP
 * @tls_key: private key as PEM text
 */
typedef struct
{
  MuxHttpHandler *handler;
  MuxCounters *counters;
  const char *listen;
  bool has_threads;
  uint32_t connections_max;
  uint32_t served_max;
  uint64_t memory_bytes;
  uint32_t body_max_bytes;
  uint32_t receive_buffer_bytes;
  uint32_t thread_stack_bytes;
  uint32_t idle_timeout_s;
  uint32_t receive_timeout_s;
  const char *tls_cert;
  const char *tls_key;
} MuxHttpListenerOptions;

/** mux_http_map_join() - put a header or a parameter; one of a name that is
 * there already is joined to it by a comma
 * Return: false when out of memory. */
bool
mux_http_map_join (struct _u_map *map, const char *name, const char *value);

/* Bodies that are part of what each connection may hold. */
#define MUX_HTTP_SMALL_BODY_BYTES 8192
/* A connection's thread, the buffer of its headers, its request and response
 * with a small body, and what its socket keeps in the kernel besides the
 * receive buffer. */
#define MUX_HTTP_CONNECTION_BYTES 49152

typedef struct MuxHttpListener MuxHttpListener;

/** mux_http_listener_new() - listen and serve
 * @bound: receives the "ip:port" in use, MUX_ADDR_LEN bytes
 * Return: NULL with @err set: no memory, or the address can't be bound. */
MuxHttpListener *mux_http_listener_new (const MuxHttpListenerOptions *options,
                                        char *bound,
                                        MuxError *err);
/** mux_http_listener_stop_accepting() - close the listening socket; open
 * connections stay open */
void mux_http_listener_stop_accepting (MuxHttpListener *listener);
/** mux_http_listener_stop() - close all connections
 * The handler is not called afterwards. */
void mux_http_listener_stop (MuxHttpListener *listener);
/** mux_http_listener_free() - stop and free */
void mux_http_listener_free (MuxHttpListener *listener);

#endif
