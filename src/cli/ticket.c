#include "render.h"
#include "verb.h"

#include <stdio.h>

static const MuxHttpPair no_pair = { NULL, NULL };

static int
print_ticket (MuxCliCall *call, const MuxCliResponse *response)
{
  json_t *json = mux_call_json (call, response);
  const char *ticket = json_string_value (json_object_get (json, "ticket"));
  int code = ticket != NULL ? MUX_EXIT_OK : MUX_EXIT_UNREACHED;

  if (ticket == NULL && json != NULL)
    fputs ("cuminmux: the daemon's answer has no ticket\n", call->host->err);
  else if (ticket != NULL && call->json)
    mux_render_json (call->host->out, json);
  else if (ticket != NULL)
    fprintf (call->host->out, "%s\n", ticket);
  json_decref (json);
  return code;
}

int
mux_verb_ticket (MuxCliCall *call)
{
  /* A ticket whose response was lost reserves room for a short time and runs
   * nothing, so a retry is harmless. */
  MuxCliRequest http = { .method = "POST",
                         .timeout_ms = call->timeout_ms,
                         .repeatable = true };
  MuxCliResponse response;
  int code;

  snprintf (http.path, sizeof http.path, "/v1/ticket/%s",
            call->args.text[MUX_ARG_NAME]);
  code = mux_cli_exchange (call->host, &call->servers, &http, &response);
  if (code == MUX_EXIT_OK)
    code = print_ticket (call, &response);
  else
    mux_call_print_failure (call, code, &response, no_pair);
  mux_cli_response_free (&response);
  return code;
}
