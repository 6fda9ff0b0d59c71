#include "clock.h"
#include "http_server_private.h"
#include "inbox.h"

#include <stdlib.h>

/* How often a waiting caller's connection is looked at for a hang-up. */
#define LOOK_EVERY_MS 1000
/* Bound of a question that names none of its own. */
#define QUESTION_MS 60000
/* The core answers by the bound; this is for answers under way. */
#define GRACE_MS 15000

static uint32_t
bound_of (const MuxCoreRequest *ask)
{
  return (ask->timeout_ms > 0 ? ask->timeout_ms : QUESTION_MS) + GRACE_MS;
}

/*
 * Wait until the core has answered, the caller has hung up, the door is
 * closed, or the bound has passed.  The bound guards against an answer that
 * never comes, which would hold the caller and its slot for good; the caller
 * is told that the fate is unknown, which is true whatever became of it.
 */
static MuxReason
await_answer (MuxHttpServer *door,
              uint64_t call,
              uint32_t bound_ms,
              MuxCoreResponse *answer)
{
  for (uint32_t waited = 0; waited < bound_ms; waited += LOOK_EVERY_MS)
    switch (mux_pending_calls_wait (door->pending, call, LOOK_EVERY_MS, answer))
      {
      case MUX_WAIT_ANSWERED:
        return MUX_REASON_NONE;
      case MUX_WAIT_CLOSED:
        return MUX_REASON_UNKNOWN_FATE;
      case MUX_WAIT_TIMEOUT:
        if (!mux_connection_peer_closed ())
          break;
        door->options.backend->caller_disconnected (door->options.backend,
                                                    call);
        return MUX_REASON_CALLER_GONE;
      }
  door->options.backend->caller_disconnected (door->options.backend, call);
  return MUX_REASON_UNKNOWN_FATE;
}

/* Takes @ask over. */
static void
ask_core (MuxHttpServer *door,
          const MuxRoute *route,
          MuxCoreRequest *ask,
          struct _u_response *response)
{
  uint32_t bound_ms = bound_of (ask);
  bool named = (ask->key[0] != 0 && !ask->key_is_new) || ask->ticket[0] != 0;
  MuxReason reason;
  MuxCoreResponse answer;
  uint64_t call;

  if (!mux_pending_calls_add (door->pending,
                              !mux_route_uses_caller_slot (route), &call))
    {
      mux_core_request_free (ask);
      mux_respond_refusal (door, response, MUX_REASON_CALLERS_FULL, named,
                           NULL);
      return;
    }
  ask->call_id = call;
  /* A caller that waits is silent; its connection is not closed for that.
   * Setting the timeout again afterwards starts it anew. */
  mux_connection_set_timeout (0);
  if (!door->options.backend->submit (door->options.backend, ask))
    {
      mux_core_request_free (ask);
      reason = MUX_REASON_RING_FULL;
    }
  else
    reason = await_answer (door, call, bound_ms, &answer);
  mux_pending_calls_remove (door->pending, call);
  mux_connection_set_timeout (door->options.idle_timeout_s);
  if (reason != MUX_REASON_NONE)
    {
      mux_respond_refusal (door, response, reason, named, NULL);
      return;
    }
  mux_respond_core_response (response, &answer);
  mux_blob_unref (answer.body);
}

static MuxReason
read_ask (MuxHttpServer *door,
          const MuxRoute *route,
          const struct _u_request *request,
          MuxCoreRequest *ask,
          MuxFindings *findings)
{
  MuxReason reason = MUX_REASON_NONE;

  /* ulfius keeps at most one byte over the limit and drops the rest. */
  if (request->binary_body_length > door->options.body_max_bytes)
    return MUX_REASON_BODY_TOO_LARGE;
  ask->verb = route->verb;
  ask->wall_ms = mux_wall_ms ();
  if (route->parse != NULL)
    route->parse (request, ask, findings, &reason);
  if (reason == MUX_REASON_NONE && findings->count > 0)
    reason = MUX_REASON_BAD_FIELD;
  return reason;
}

static bool
names_work (const struct _u_request *request)
{
  return (u_map_has_key_case (request->map_header, "Idempotency-Key")
          && !mux_route_is_first_attempt (request))
         || u_map_has_key_case (request->map_header, "Cuminmux-Ticket");
}

static void
serve_route (MuxHttpServer *door,
             const MuxRoute *route,
             const struct _u_request *request,
             struct _u_response *response)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };
  MuxReason reason;
  MuxCoreRequest *ask;

  if (route->handle_locally != NULL)
    {
      route->handle_locally (door, response);
      return;
    }
  if (door->draining && mux_route_is_write (route))
    {
      mux_respond_refusal (door, response, MUX_REASON_STOPPING,
                           names_work (request), NULL);
      return;
    }
  ask = calloc (1, sizeof *ask);
  if (ask == NULL)
    {
      mux_respond_refusal (door, response, MUX_REASON_INTERNAL,
                           names_work (request), NULL);
      return;
    }
  reason = read_ask (door, route, request, ask, &findings);
  if (reason == MUX_REASON_NONE)
    {
      ask_core (door, route, ask, response);
      return;
    }
  mux_core_request_free (ask);
  mux_respond_refusal (door, response, reason, false, &findings);
}

int
mux_http_server_handle (const struct _u_request *request,
                        struct _u_response *response,
                        void *data)
{
  const MuxRouteBinding *binding = data;

  if (binding->route == NULL)
    mux_respond_refusal (binding->server, response, MUX_REASON_UNKNOWN_PATH,
                         false, NULL);
  else
    serve_route (binding->server, binding->route, request, response);
  if (binding->server->draining)
    u_map_put (response->map_header, "Connection", "close");
  return U_CALLBACK_COMPLETE;
}
