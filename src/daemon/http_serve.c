#include "clock.h"
#include "http_server_private.h"
#include "inbox.h"

#include <stdlib.h>

/* Interval at which a waiting caller's connection is checked for a close. */
#define DISCONNECT_POLL_MS 1000
/* Timeout of a request that has none of its own. */
#define TIMEOUT_DEFAULT_MS 60000
/* The core responds within the timeout; this allows for a response that is
 * under way. */
#define RESPONSE_GRACE_MS 15000

static uint32_t
wait_limit_ms (const MuxCoreRequest *core_request)
{
  return (core_request->timeout_ms > 0 ? core_request->timeout_ms
                                       : TIMEOUT_DEFAULT_MS)
         + RESPONSE_GRACE_MS;
}

/*
 * Waits until the core has responded, the caller has closed its connection, the
 * pending calls are closed, or @limit_ms has passed.  Without a limit, a
 * response that never comes would hold the caller and its slot for ever.
 * After the limit the caller gets UNKNOWN_FATE, which is correct whatever
 * became of the work.
 */
static MuxReason
await_response (MuxHttpServer *server,
                uint64_t call,
                uint32_t limit_ms,
                MuxCoreResponse *core_response)
{
  for (uint32_t waited_ms = 0; waited_ms < limit_ms;
       waited_ms += DISCONNECT_POLL_MS)
    switch (mux_pending_calls_wait (server->pending, call, DISCONNECT_POLL_MS,
                                    core_response))
      {
      case MUX_WAIT_ANSWERED:
        return MUX_REASON_NONE;
      case MUX_WAIT_CLOSED:
        return MUX_REASON_UNKNOWN_FATE;
      case MUX_WAIT_TIMEOUT:
        if (!mux_connection_peer_closed ())
          break;
        server->options.backend->caller_disconnected (server->options.backend,
                                                      call);
        return MUX_REASON_CALLER_GONE;
      }
  server->options.backend->caller_disconnected (server->options.backend, call);
  return MUX_REASON_UNKNOWN_FATE;
}

/* Takes ownership of @core_request. */
static void
submit_to_core (MuxHttpServer *server,
                const MuxRoute *route,
                MuxCoreRequest *core_request,
                struct _u_response *response)
{
  uint32_t limit_ms = wait_limit_ms (core_request);
  bool may_have_run = (core_request->key[0] != 0 && !core_request->key_is_new)
                      || core_request->ticket[0] != 0;
  MuxReason reason;
  MuxCoreResponse core_response;
  uint64_t call;

  if (!mux_pending_calls_add (server->pending,
                              !mux_route_uses_caller_slot (route), &call))
    {
      mux_core_request_free (core_request);
      mux_respond_refusal (server, response, MUX_REASON_CALLERS_FULL,
                           may_have_run, NULL);
      return;
    }
  core_request->call_id = call;
  /* The connection of a waiting caller is idle but must not time out.  Setting
   * the timeout again afterwards restarts it. */
  mux_connection_set_timeout (0);
  if (!server->options.backend->submit (server->options.backend, core_request))
    {
      mux_core_request_free (core_request);
      reason = MUX_REASON_RING_FULL;
    }
  else
    reason = await_response (server, call, limit_ms, &core_response);
  mux_pending_calls_remove (server->pending, call);
  mux_connection_set_timeout (server->options.idle_timeout_s);
  if (reason != MUX_REASON_NONE)
    {
      mux_respond_refusal (server, response, reason, may_have_run, NULL);
      return;
    }
  mux_respond_core_response (response, &core_response);
  mux_blob_unref (core_response.body);
}

static MuxReason
parse_request (const MuxRoute *route,
               const struct _u_request *request,
               MuxCoreRequest *core_request,
               MuxFindings *findings)
{
  MuxReason reason = MUX_REASON_NONE;

  core_request->verb = route->verb;
  core_request->wall_ms = mux_wall_ms ();
  if (route->parse != NULL)
    route->parse (request, core_request, findings, &reason);
  if (reason == MUX_REASON_NONE && findings->count > 0)
    reason = MUX_REASON_BAD_FIELD;
  return reason;
}

static bool
may_repeat_work (const struct _u_request *request)
{
  return (u_map_has_key_case (request->map_header, "Idempotency-Key")
          && !mux_route_is_first_attempt (request))
         || u_map_has_key_case (request->map_header, "Cuminmux-Ticket");
}

static void
handle_route (MuxHttpServer *server,
              const MuxRoute *route,
              const struct _u_request *request,
              struct _u_response *response)
{
  MuxFindings findings = { .count = 0, .dropped = 0 };
  MuxReason reason;
  MuxCoreRequest *core_request;

  if (route->handle_locally != NULL)
    {
      route->handle_locally (server, response);
      return;
    }
  if (server->draining && mux_route_is_write (route))
    {
      mux_respond_refusal (server, response, MUX_REASON_STOPPING,
                           may_repeat_work (request), NULL);
      return;
    }
  core_request = calloc (1, sizeof *core_request);
  if (core_request == NULL)
    {
      mux_respond_refusal (server, response, MUX_REASON_INTERNAL,
                           may_repeat_work (request), NULL);
      return;
    }
  reason = parse_request (route, request, core_request, &findings);
  if (reason == MUX_REASON_NONE)
    {
      submit_to_core (server, route, core_request, response);
      return;
    }
  mux_core_request_free (core_request);
  mux_respond_refusal (server, response, reason, false, &findings);
}

void
mux_http_server_handle (MuxHttpHandler *handler,
                        const struct _u_request *request,
                        struct _u_response *response)
{
  MuxHttpServer *server = (MuxHttpServer *) handler;
  const MuxRoute *route = mux_route_find (request->http_verb, request->url_path,
                                          request->map_url);

  if (route == NULL)
    mux_respond_refusal (server, response, MUX_REASON_UNKNOWN_PATH, false,
                         NULL);
  else
    handle_route (server, route, request, response);
  if (server->draining)
    u_map_put (response->map_header, "Connection", "close");
}

void
mux_http_server_refuse (MuxHttpHandler *handler,
                        const struct _u_request *request,
                        MuxHttpRefusal refusal,
                        struct _u_response *response)
{
  MuxHttpServer *server = (MuxHttpServer *) handler;
  bool is_too_large = refusal == MUX_HTTP_BODY_TOO_LARGE;

  mux_respond_refusal (server, response,
                       is_too_large ? MUX_REASON_BODY_TOO_LARGE
                                    : MUX_REASON_CALLERS_FULL,
                       !is_too_large && may_repeat_work (request), NULL);
}
