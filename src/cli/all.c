#include "verb.h"

#include <stdio.h>

/* Reads @path from the daemon at @index only; NULL on failure, which is
 * printed. */
static json_t *
read_server (MuxCliCall *call, uint32_t index, const char *path)
{
  MuxServers one = { .count = 1,
                     .server = { call->servers.server[index] },
                     .ca_file = call->servers.ca_file };
  MuxCliRequest http
      = { .method = "GET", .timeout_ms = call->timeout_ms, .repeatable = true };
  MuxCliResponse response;
  json_t *json = NULL;
  int code;

  snprintf (http.path, sizeof http.path, "%s", path);
  code = mux_cli_exchange (call->host, &one, &http, &response);
  if (code == MUX_EXIT_OK)
    json = json_loadb (response.body, response.body_len, 0, NULL);
  if (!json_is_object (json))
    {
      /* response.error contains the address. */
      fprintf (call->host->err, "cuminmux: no answer from %s%s%s\n",
               response.error[0] != 0 ? response.error : one.server[0].addr,
               response.reason[0] != 0 ? ": " : "", response.reason);
      json_decref (json);
      json = NULL;
    }
  mux_cli_response_free (&response);
  return json;
}

int
mux_call_read_all (MuxCliCall *call,
                   const char *path,
                   json_t **responses,
                   json_t **unanswered)
{
  *responses = json_array ();
  *unanswered = json_array ();
  for (uint32_t i = 0; i < call->servers.count; i++)
    {
      json_t *json = read_server (call, i, path);

      if (json != NULL)
        json_array_append_new (*responses, json);
      else
        json_array_append_new (*unanswered,
                               json_string (call->servers.server[i].addr));
    }
  if (json_array_size (*responses) == 0)
    return MUX_EXIT_UNREACHED;
  return json_array_size (*unanswered) > 0 ? MUX_EXIT_LATER : MUX_EXIT_OK;
}
