#ifndef DAEMON_HTTP_SERVER_PRIVATE_H
#define DAEMON_HTTP_SERVER_PRIVATE_H

#include "adapter/http_listener.h"
#include "http_server.h"
#include "pending_calls.h"

#include <pthread.h>
#include <stdatomic.h>

typedef struct MuxRoute MuxRoute;

struct MuxHttpServer
{
  MuxHttpHandler handler; /* first member */
  MuxHttpServerOptions options;
  uint32_t connections_max;
  uint64_t body_memory_bytes;
  MuxPendingCalls *pending;
  MuxHttpListener *listener; /* NULL: it does not listen */
  atomic_bool draining;
  pthread_mutex_t lock;        /* guards requests_in_flight */
  pthread_cond_t drained;      /* requests_in_flight has become 0 */
  uint32_t requests_in_flight; /* begun, response not yet written */
};

/**
 * struct MuxRoute - a method and path, and how its requests are parsed
 * @method: HTTP method
 * @path: segments after slashes, ":name" for a variable
 * @verb: verb of the request to the core
 * @parse: fills the request to the core; adds invalid fields to @findings, and
 *   sets @reason when the request is refused for another cause
 * @handle_locally: responds without the core; NULL: the core responds
 */
struct MuxRoute
{
  const char *method;
  const char *path;
  MuxCoreVerb verb;
  void (*parse) (const struct _u_request *request,
                 MuxCoreRequest *core_request,
                 MuxFindings *findings,
                 MuxReason *reason);
  void (*handle_locally) (MuxHttpServer *server, struct _u_response *response);
};

/** mux_route_find() - find the route of a request
 * @variables: receives the path's variables; one of a name that is there
 *   already is joined to it by a comma
 * Return: NULL when there is none. */
const MuxRoute *
mux_route_find (const char *method, const char *path, struct _u_map *variables);
/** mux_route_is_first_attempt() - the caller has not sent its key before
 * True if the request has the header "Cuminmux-First: 1". */
bool mux_route_is_first_attempt (const struct _u_request *request);
/** mux_route_is_write() - whether the route is refused while draining */
bool mux_route_is_write (const MuxRoute *route);
/** mux_route_uses_caller_slot() - whether the slots kept for operators
 * (MUX_PENDING_CALLS_RESERVED) are closed to the route */
bool mux_route_uses_caller_slot (const MuxRoute *route);

/** mux_http_server_handle() - respond to a whole request */
void mux_http_server_handle (MuxHttpHandler *handler,
                             const struct _u_request *request,
                             struct _u_response *response);
/** mux_http_server_refuse() - respond to a request that is not handled */
void mux_http_server_refuse (MuxHttpHandler *handler,
                             const struct _u_request *request,
                             MuxHttpRefusal refusal,
                             struct _u_response *response);

/* The functions below act on the calling thread's connection: each connection
 * has a thread of its own. */
/** mux_connection_begin_request() - count a request as in flight */
void mux_connection_begin_request (MuxHttpServer *server,
                                   struct MHD_Connection *connection);
/** mux_connection_set_timeout() - close the connection after an idle time
 * @seconds: 0: never */
void mux_connection_set_timeout (uint32_t seconds);
/** mux_connection_peer_closed() - whether the caller has closed its side */
bool mux_connection_peer_closed (void);
/** mux_connection_has_duplicate_header() - whether a header occurs repeatedly
 * The values of one name are joined; of names that differ in case the first one
 * is found. */
bool mux_connection_has_duplicate_header (const char *name);
/** mux_connection_end_request() - a request is no longer in flight
 * Its response has been written, or its connection has been closed. */
void mux_connection_end_request (MuxHttpServer *server);

/** mux_respond_core_response() - write a response of the core as HTTP */
void mux_respond_core_response (struct _u_response *response,
                                const MuxCoreResponse *core_response);
/** mux_respond_refusal() - refuse a request without the core, and count it
 * @may_have_run: the request has a key or a ticket that an earlier attempt may
 *   have used, so its work may have run already
 * @findings: invalid fields; may be NULL */
void mux_respond_refusal (MuxHttpServer *server,
                          struct _u_response *response,
                          MuxReason reason,
                          bool may_have_run,
                          const MuxFindings *findings);
/** mux_respond_metrics() - the counters in Prometheus text format */
void mux_respond_metrics (MuxHttpServer *server, struct _u_response *response);
/** mux_respond_healthz() - 200 while the process serves requests */
void mux_respond_healthz (MuxHttpServer *server, struct _u_response *response);
/** mux_respond_readyz() - 200, or 503 while no callers should be routed here
 */
void mux_respond_readyz (MuxHttpServer *server, struct _u_response *response);

#endif
