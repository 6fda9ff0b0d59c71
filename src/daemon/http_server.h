#ifndef DAEMON_HTTP_SERVER_H
#define DAEMON_HTTP_SERVER_H

#include "core/core.h"

/* What the door needs of the rest of the daemon; any thread may call it. */
typedef struct MuxHttpBackend MuxHttpBackend;
struct MuxHttpBackend
{
  /* Takes @ask over when it returns true; one mux_door_answer() follows.
   * False: the ring to the core is full. */
  bool (*submit) (MuxHttpBackend *backend, MuxCoreRequest *ask);
  /* The caller of @call has hung up; best effort. */
  void (*caller_disconnected) (MuxHttpBackend *backend, uint64_t call);
  /* The daemon may be sent callers. */
  bool (*ready) (MuxHttpBackend *backend);
};

/**
 * struct MuxDoorOptions - construction of the callers' side
 * @backend: borrowed
 * @counters: borrowed
 * @listen: "ip:port"; port 0 lets the kernel pick
 * @callers_max: most callers waiting for an answer
 * @idle_s: a connection silent for this long is closed, unless its caller
 *   waits for an answer
 * @body_max: most bytes of a body
 * @tls_cert: PEM text; NULL: plain HTTP
 * @tls_key: PEM text
 */
typedef struct
{
  MuxHttpBackend *backend;
  MuxCounters *counters;
  const char *listen;
  uint32_t callers_max;
  uint32_t idle_timeout_s;
  uint32_t body_max_bytes;
  const char *tls_cert;
  const char *tls_key;
} MuxHttpServerOptions;

typedef struct MuxHttpServer MuxHttpServer;

/** mux_door_new() - not listening yet, but answers may come
 * Return: NULL with @err set when memory is out. */
MuxHttpServer *mux_http_server_new (const MuxHttpServerOptions *options,
                                    MuxError *err);
/** mux_door_listen() - let callers in
 * @bound: receives the "ip:port" in use, MUX_ADDR_LEN bytes
 * Return: false with @err set when the address can't be had. */
bool mux_http_server_listen (MuxHttpServer *door, char *bound, MuxError *err);
/** mux_door_answer() - hand an answer to its caller; any thread
 * Return: false when that caller has gone. */
bool mux_http_server_respond (MuxHttpServer *door,
                              const MuxCoreResponse *answer);
/** mux_door_refuse_new() - answer new work with STOPPING from now on, and
 * close each connection after its answer, so that its caller goes elsewhere */
void mux_http_server_begin_drain (MuxHttpServer *door);
/** mux_door_close_port() - let no new connection in; those open go on */
void mux_http_server_stop_accepting (MuxHttpServer *door);
/** mux_door_drain() - wait until every request begun has been answered
 * Return: false when @timeout_ms passed first. */
bool mux_http_server_drain (MuxHttpServer *door, uint32_t timeout_ms);
/** mux_door_abandon() - answer all that still wait with UNKNOWN */
void mux_http_server_fail_pending (MuxHttpServer *door);
/** mux_door_stop_listening() - close the port and every connection; after it
 * the backend is called no more */
void mux_http_server_stop (MuxHttpServer *door);
/** mux_door_free() - stops listening first */
void mux_http_server_free (MuxHttpServer *door);

#endif
