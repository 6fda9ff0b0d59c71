#include "http_server_private.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000
/* Retry delay for callers that are refused without the core. */
#define REFUSED_RETRY_MS 1000
#define HEADER_LEN 32
/* Lowest HTTP status of an error. */
#define STATUS_ERROR 400

static void
add_header (struct _u_response *response, const char *name, const char *value)
{
  u_map_put (response->map_header, name, value);
}

static void
add_retry (struct _u_response *response, uint32_t retry_ms)
{
  char value[HEADER_LEN];

  if (retry_ms == 0)
    return;
  snprintf (value, sizeof value, "%" PRIu32,
            retry_ms / MS_PER_S + (retry_ms % MS_PER_S != 0));
  add_header (response, "Retry-After", value);
  snprintf (value, sizeof value, "%" PRIu32, retry_ms);
  add_header (response, "Cuminmux-Retry-Ms", value);
}

static void
set_error_body (struct _u_response *response,
                MuxOutcome outcome,
                MuxReason reason,
                const MuxFindings *findings)
{
  json_t *json = json_pack (
      "{s:s, s:s, s:s, s:o}", "outcome", mux_outcome_name (outcome), "reason",
      mux_reason_name (reason), "text", mux_reason_help (reason), "findings",
      findings != NULL ? mux_findings_to_json (findings) : json_array ());
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;

  /* If out of memory, status and headers still give the outcome. */
  if (text != NULL)
    ulfius_set_string_body_response (response, (unsigned int) response->status,
                                     text);
  add_header (response, "Content-Type", "application/json");
  free (text);
  json_decref (json);
}

void
mux_respond_core_response (struct _u_response *response,
                           const MuxCoreResponse *core_response)
{
  char task[MUX_ID_HEX_LEN];
  bool is_error = core_response->status >= STATUS_ERROR;

  response->status = (long) core_response->status;
  add_header (response, "Cuminmux-Outcome",
              mux_outcome_name (core_response->outcome));
  if (core_response->reason != MUX_REASON_NONE)
    add_header (response, "Cuminmux-Reason",
                mux_reason_name (core_response->reason));
  add_retry (response, core_response->retry_after_ms);
  if (!mux_id_is_none (core_response->task))
    {
      mux_id_format (core_response->task, task);
      add_header (response, "Cuminmux-Task", task);
    }
  if (core_response->body == NULL && is_error)
    {
      set_error_body (response, core_response->outcome, core_response->reason,
                      NULL);
      return;
    }
  add_header (response, "Content-Type",
              core_response->is_json ? "application/json"
                                     : "application/octet-stream");
  if (core_response->body == NULL || core_response->body->len == 0)
    return;
  if (ulfius_set_binary_body_response (
          response, (unsigned int) response->status, core_response->body->bytes,
          core_response->body->len)
      == U_OK)
    return;
  /* Out of memory: a response without its body would look complete.  The task
   * ran, so the caller may retry with its key. */
  response->status = (long) mux_reason_status (MUX_REASON_UNKNOWN_FATE);
  add_header (response, "Cuminmux-Outcome",
              mux_outcome_name (MUX_OUTCOME_UNKNOWN));
  add_header (response, "Cuminmux-Reason",
              mux_reason_name (MUX_REASON_UNKNOWN_FATE));
}

void
mux_respond_refusal (MuxHttpServer *server,
                     struct _u_response *response,
                     MuxReason reason,
                     bool may_have_run,
                     const MuxFindings *findings)
{
  /* An earlier attempt with the same key may have run.  Only the core can
   * exclude that, after it has read the key's row. */
  MuxOutcome outcome
      = reason == MUX_REASON_UNKNOWN_FATE
                || (may_have_run && mux_reason_is_transient (reason))
            ? MUX_OUTCOME_UNKNOWN
            : MUX_OUTCOME_NOT_RUN;

  mux_count_refused (server->options.counters, reason);
  response->status = (long) mux_reason_status (reason);
  add_header (response, "Cuminmux-Outcome", mux_outcome_name (outcome));
  add_header (response, "Cuminmux-Reason", mux_reason_name (reason));
  if (reason != MUX_REASON_UNKNOWN_FATE && mux_reason_is_transient (reason))
    add_retry (response, REFUSED_RETRY_MS);
  set_error_body (response, outcome, reason, findings);
}

static void
set_text_body (struct _u_response *response,
               unsigned int status,
               const char *text)
{
  ulfius_set_string_body_response (response, status, text);
  add_header (response, "Cuminmux-Outcome",
              mux_outcome_name (MUX_OUTCOME_INFO));
  add_header (response, "Content-Type", "text/plain");
}

void
mux_respond_metrics (MuxHttpServer *server, struct _u_response *response)
{
  size_t len = mux_counters_print (server->options.counters, NULL, 0);
  /* Counters that grow between the two calls may need more digits. */
  size_t cap = len + len / 8 + 1;
  char *text = malloc (cap);

  if (text == NULL)
    {
      mux_respond_refusal (server, response, MUX_REASON_INTERNAL, false, NULL);
      return;
    }
  mux_counters_print (server->options.counters, text, cap);
  set_text_body (response, MHD_HTTP_OK, text);
  /* Version of the Prometheus text format. */
  add_header (response, "Content-Type", "text/plain; version=0.0.4");
  free (text);
}

void
mux_respond_healthz (MuxHttpServer *server, struct _u_response *response)
{
  (void) server;
  set_text_body (response, MHD_HTTP_OK, "ok\n");
}

void
mux_respond_readyz (MuxHttpServer *server, struct _u_response *response)
{
  bool ready = !server->draining
               && server->options.backend->ready (server->options.backend);

  if (ready)
    set_text_body (response, MHD_HTTP_OK, "ready\n");
  else
    set_text_body (response, MHD_HTTP_SERVICE_UNAVAILABLE, "not ready\n");
}
