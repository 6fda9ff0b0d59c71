#include "verb.h"

#include <stdio.h>

/* Reads @path from the daemon at @index alone. */
static json_t *
read_one (MuxCliCall *call, uint32_t index, const char *path)
{
  MuxServers one = { .count = 1,
                     .server = { call->servers.server[index] },
                     .ca_file = call->servers.ca_file };
  MuxHttpCall http
      = { .method = "GET", .timeout_ms = call->timeout_ms, .repeatable = true };
  MuxHttpAnswer answer;
  json_t *json = NULL;
  int code;

  snprintf (http.path, sizeof http.path, "%s", path);
  code = mux_http_exchange (call->host, &one, &http, &answer);
  if (code == MUX_EXIT_OK)
    json = json_loadb (answer.body, answer.body_len, 0, NULL);
  if (!json_is_object (json))
    {
      /* The error names the daemon by itself. */
      fprintf (call->host->err, "cuminmux: no answer from %s%s%s\n",
               answer.error[0] != 0 ? answer.error : one.server[0].addr,
               answer.reason[0] != 0 ? ": " : "", answer.reason);
      json_decref (json);
      json = NULL;
    }
  mux_http_answer_free (&answer);
  return json;
}

int
mux_call_read_all (MuxCliCall *call,
                   const char *path,
                   json_t **answers,
                   json_t **unanswered)
{
  *answers = json_array ();
  *unanswered = json_array ();
  for (uint32_t i = 0; i < call->servers.count; i++)
    {
      json_t *json = read_one (call, i, path);

      if (json != NULL)
        json_array_append_new (*answers, json);
      else
        json_array_append_new (*unanswered,
                               json_string (call->servers.server[i].addr));
    }
  if (json_array_size (*answers) == 0)
    return MUX_EXIT_UNREACHED;
  return json_array_size (*unanswered) > 0 ? MUX_EXIT_LATER : MUX_EXIT_OK;
}
