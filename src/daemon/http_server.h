#ifndef DAEMON_HTTP_SERVER_H
#define DAEMON_HTTP_SERVER_H

#include "core/core.h"

/* The HTTP server's interface to the core.  Any thread may call it. */
typedef struct MuxHttpBackend MuxHttpBackend;
struct MuxHttpBackend
{
  /* Hands a request to the core.  Takes ownership of @request when it returns
   * true; exactly one mux_http_server_respond() follows.
   * Return: false when the core's request ring is full. */
  bool (*submit) (MuxHttpBackend *backend, MuxCoreRequest *request);
  /* The caller of @call has closed its connection; best effort. */
  void (*caller_disconnected) (MuxHttpBackend *backend, uint64_t call);
  /* Whether the daemon is ready to serve callers. */
  bool (*ready) (MuxHttpBackend *backend);
};

/**
 * struct MuxHttpServerOptions - construction of the callers' HTTP server
 * @backend: borrowed
 * @counters: borrowed
 * @listen: "ip:port"; port 0: the kernel picks one
 * @callers_max: bound on callers that wait for a response
 * @idle_timeout_s: a connection idle for this long is closed, unless its
 *   caller waits for a response
 * @receive_timeout_s: time for a whole body
 * @body_max_bytes: largest request body
 * @memory_bytes: for connections and requests
 * @tls_cert: certificate as PEM text; NULL: plain HTTP
 * @tls_key: private key as PEM text
 */
typedef struct
{
  MuxHttpBackend *backend;
  MuxCounters *counters;
  const char *listen;
  uint32_t callers_max;
  uint32_t idle_timeout_s;
  uint32_t receive_timeout_s;
  uint32_t body_max_bytes;
  uint64_t memory_bytes;
  const char *tls_cert;
  const char *tls_key;
} MuxHttpServerOptions;

typedef struct MuxHttpServer MuxHttpServer;

/** mux_http_server_new() - create a server that does not listen yet
 * mux_http_server_respond() may be called from now on.
 * Return: NULL with @err set when out of memory. */
MuxHttpServer *mux_http_server_new (const MuxHttpServerOptions *options,
                                    MuxError *err);
/** mux_http_server_listen() - start to accept connections
 * @bound: receives the "ip:port" in use, MUX_ADDR_LEN bytes
 * Return: false with @err set when the address can't be bound. */
bool mux_http_server_listen (MuxHttpServer *server, char *bound, MuxError *err);
/** mux_http_server_respond() - deliver a response to its caller
 * Any thread may call it.
 * Return: false when that caller no longer waits. */
bool mux_http_server_respond (MuxHttpServer *server,
                              const MuxCoreResponse *response);
/** mux_http_server_begin_drain() - refuse new work with STOPPING
 * Each connection is closed after its next response, so that its caller
 * connects to another daemon. */
void mux_http_server_begin_drain (MuxHttpServer *server);
/** mux_http_server_stop_accepting() - close the listening socket
 * Open connections stay open. */
void mux_http_server_stop_accepting (MuxHttpServer *server);
/** mux_http_server_drain() - wait until no request is in flight
 * Return: false when @timeout_ms passed first. */
bool mux_http_server_drain (MuxHttpServer *server, uint32_t timeout_ms);
/** mux_http_server_fail_pending() - respond UNKNOWN to all waiting callers */
void mux_http_server_fail_pending (MuxHttpServer *server);
/** mux_http_server_stop() - close the listening socket and all connections
 * The backend is not called afterwards. */
void mux_http_server_stop (MuxHttpServer *server);
/** mux_http_server_free() - stop the server and free it */
void mux_http_server_free (MuxHttpServer *server);

#endif
