#ifndef DAEMON_HTTP_SERVER_PRIVATE_H
#define DAEMON_HTTP_SERVER_PRIVATE_H

#include "http_server.h"
#include "pending_calls.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <ulfius.h>

typedef struct MuxRoute MuxRoute;

/**
 * struct MuxRouteBinding - what ulfius hands to the callback of one route
 * @door: the door
 * @route: the route; NULL: no path matched
 */
typedef struct
{
  MuxHttpServer *server;
  const MuxRoute *route;
} MuxRouteBinding;

struct MuxHttpServer
{
  MuxHttpServerOptions options;
  MuxPendingCalls *pending;
  struct _u_instance ulfius;
  bool ulfius_initialized;
  bool listening;
  int listen_fd;             /* from mux_door_close_port(); -1: none */
  MuxRouteBinding *bindings; /* one a route, then the one for no route */
  atomic_bool draining;
  pthread_mutex_t lock; /* guards unwritten */
  pthread_cond_t drained;
  uint32_t
      requests_in_flight; /* requests begun whose answer is not yet written */
};

/**
 * struct MuxRoute - a method and path, and how its ask is read
 * @method: HTTP method
 * @path: in ulfius's form, ":name" for a variable
 * @verb: what is asked of the core
 * @read: fills the ask; adds what is wrong to @findings, or sets @reason to
 *   refuse for anything but a bad field
 * @serve: answers by itself instead of asking the core
 */
struct MuxRoute
{
  const char *method;
  const char *path;
  MuxCoreVerb verb;
  void (*parse) (const struct _u_request *request,
                 MuxCoreRequest *ask,
                 MuxFindings *findings,
                 MuxReason *reason);
  void (*handle_locally) (MuxHttpServer *door, struct _u_response *response);
};

/** mux_routes() - the table */
const MuxRoute *mux_routes (uint32_t *count);
/** mux_route_first() - the caller says that its key was never sent before */
bool mux_route_is_first_attempt (const struct _u_request *request);
/** mux_route_is_new_work() - refused while the daemon is stopping */
bool mux_route_is_write (const MuxRoute *route);
/** mux_route_is_work() - counts against the callers' bound, not the reserve */
bool mux_route_uses_caller_slot (const MuxRoute *route);

/** mux_door_serve() - ulfius callback of every route */
int mux_http_server_handle (const struct _u_request *request,
                            struct _u_response *response,
                            void *binding);

/* Connection of the calling thread: each has a thread of its own. */
/** mux_connection_request_begins() - its answer counts as not yet written */
void mux_connection_begin_request (MuxHttpServer *door,
                                   struct MHD_Connection *connection);
/** mux_connection_timeout() - close it after so long a silence; 0: never */
void mux_connection_set_timeout (uint32_t seconds);
/** mux_connection_gone() - the caller has closed its side */
bool mux_connection_peer_closed (void);
/** mux_connection_repeats_header() - the request has it twice or more
 * ulfius keeps one value of each name, without a word about the others. */
bool mux_connection_has_duplicate_header (const char *name);
/** mux_connection_request_ended() - its answer is written, or nobody reads it
 */
void mux_connection_end_request (MuxHttpServer *door);

/** mux_respond_answer() - an answer of the core as HTTP */
void mux_respond_core_response (struct _u_response *response,
                                const MuxCoreResponse *answer);
/** mux_respond_refusal() - a refusal of the door itself; counts it
 * @named: the call carried a key or a ticket, whose work may have run already
 * @findings: may be NULL */
void mux_respond_refusal (MuxHttpServer *door,
                          struct _u_response *response,
                          MuxReason reason,
                          bool named,
                          const MuxFindings *findings);
/** mux_respond_metrics() - the counters */
void mux_respond_metrics (MuxHttpServer *door, struct _u_response *response);
/** mux_respond_healthz() - 200 while the process serves */
void mux_respond_healthz (MuxHttpServer *door, struct _u_response *response);
/** mux_respond_readyz() - 200, or 503 while it should get no callers */
void mux_respond_readyz (MuxHttpServer *door, struct _u_response *response);

#endif
