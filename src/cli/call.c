#include "render.h"
#include "verb.h"

#include <stdlib.h>
#include <string.h>

json_t *
mux_call_json (MuxCliCall *call, const MuxCliResponse *response)
{
  json_t *json = json_loadb (response->body, response->body_len, 0, NULL);

  if (json == NULL)
    fputs ("cuminmux: the daemon's answer is not JSON\n", call->host->err);
  return json;
}

static const char *
exit_code_text (int code)
{
  switch (code)
    {
    case MUX_EXIT_REFUSED:
      return "refused";
    case MUX_EXIT_UNREACHED:
      return "no daemon can be reached";
    case MUX_EXIT_UNKNOWN:
      return "outcome unknown: it may have taken effect";
    default:
      return "not run or not yet; try later";
    }
}

static void
print_findings (FILE *err, const json_t *findings)
{
  size_t i;
  json_t *finding;

  json_array_foreach ((json_t *) findings, i, finding)
  {
    char *place = mux_render_text (json_object_get (finding, "place"));
    char *text = mux_render_text (json_object_get (finding, "text"));

    if (place != NULL && text != NULL)
      fprintf (err, "cuminmux: %s: %s\n", place, text);
    free (place);
    free (text);
  }
}

/* Prints the remaining fields of the response, such as the current revision. */
static void
print_other_fields (FILE *err, const json_t *body)
{
  json_t *rest = json_copy ((json_t *) body);

  json_object_del (rest, "outcome");
  json_object_del (rest, "reason");
  json_object_del (rest, "text");
  mux_render_fields (err, rest);
  json_decref (rest);
}

static void
print_failure_text (FILE *err,
                    int code,
                    const MuxCliResponse *response,
                    const json_t *body)
{
  const json_t *message = json_object_get (body, "text");
  char *text = mux_render_text (message);

  fprintf (err, "cuminmux: %s", exit_code_text (code));
  if (response->reason[0] != 0)
    fprintf (err, ": %s", response->reason);
  if (message != NULL && text != NULL)
    fprintf (err, ": %s", text);
  if (code == MUX_EXIT_UNREACHED && response->error[0] != 0)
    fprintf (err, ": %s", response->error);
  fputc ('\n', err);
  free (text);
  print_findings (err, json_object_get (body, "findings"));
  print_other_fields (err, body);
  if (response->retry_ms[0] != 0)
    fprintf (err, "cuminmux: try again in %s ms\n", response->retry_ms);
}

static void
print_failure_json (FILE *out,
                    int code,
                    const MuxCliResponse *response,
                    json_t *body,
                    MuxHttpPair retry_flag)
{
  json_t *report = json_is_object (body) ? json_copy (body) : json_object ();

  json_object_set_new (report, "exit", json_integer (code));
  if (json_object_get (report, "text") == NULL)
    json_object_set_new (report, "text", json_string (exit_code_text (code)));
  if (response->reason[0] != 0)
    json_object_set_new (report, "reason", json_string (response->reason));
  if (code == MUX_EXIT_UNREACHED && response->error[0] != 0)
    json_object_set_new (report, "error", json_string (response->error));
  if (response->retry_ms[0] != 0)
    json_object_set_new (report, "retry_ms",
                         json_integer (atoll (response->retry_ms)));
  if (retry_flag.name != NULL)
    json_object_set_new (report, retry_flag.name,
                         json_string (retry_flag.value));
  mux_render_json (out, report);
  json_decref (report);
}

int
mux_call_print_failure (MuxCliCall *call,
                        int code,
                        const MuxCliResponse *response,
                        MuxHttpPair retry_flag)
{
  json_t *body = NULL;

  if (code != MUX_EXIT_UNKNOWN)
    retry_flag.name = NULL;
  if (response->body != NULL)
    body = json_loadb (response->body, response->body_len, 0, NULL);
  if (call->json)
    print_failure_json (call->host->out, code, response, body, retry_flag);
  else
    print_failure_text (call->host->err, code, response, body);
  if (!call->json && retry_flag.name != NULL)
    fprintf (call->host->err,
             "cuminmux: the same command with --%s %s settles it\n",
             retry_flag.name, retry_flag.value);
  json_decref (body);
  return code;
}

int
mux_call_read (MuxCliCall *call,
               const char *path,
               MuxHttpPair query,
               uint32_t timeout_ms,
               json_t **json)
{
  MuxCliRequest http = { .method = "GET",
                         .query = { query },
                         .timeout_ms = timeout_ms,
                         .repeatable = true };
  MuxCliResponse response;
  int code;

  *json = NULL;
  snprintf (http.path, sizeof http.path, "%s", path);
  code = mux_cli_exchange (call->host, &call->servers, &http, &response);
  if (code != MUX_EXIT_OK)
    mux_call_print_failure (call, code, &response, (MuxHttpPair){ NULL, NULL });
  else if ((*json = mux_call_json (call, &response)) == NULL)
    code = MUX_EXIT_UNREACHED;
  mux_cli_response_free (&response);
  return code;
}
