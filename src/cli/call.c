#include "render.h"
#include "verb.h"

#include <stdlib.h>
#include <string.h>

json_t *
mux_call_json (MuxCliCall *call, const MuxHttpAnswer *answer)
{
  json_t *json = json_loadb (answer->body, answer->body_len, 0, NULL);

  if (json == NULL)
    fputs ("cuminmux: the daemon's answer is not JSON\n", call->host->err);
  return json;
}

static const char *
text_of_code (int code)
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

/* What the answer tells besides the fields that are printed by name, such as
 * the revision that stands now. */
static void
print_rest (FILE *err, const json_t *body)
{
  json_t *rest = json_copy ((json_t *) body);

  json_object_del (rest, "outcome");
  json_object_del (rest, "reason");
  json_object_del (rest, "text");
  mux_render_fields (err, rest);
  json_decref (rest);
}

static void
report_people (FILE *err,
               int code,
               const MuxHttpAnswer *answer,
               const json_t *body)
{
  const json_t *told = json_object_get (body, "text");
  char *text = mux_render_text (told);

  fprintf (err, "cuminmux: %s", text_of_code (code));
  if (answer->reason[0] != 0)
    fprintf (err, ": %s", answer->reason);
  if (told != NULL && text != NULL)
    fprintf (err, ": %s", text);
  if (code == MUX_EXIT_UNREACHED && answer->error[0] != 0)
    fprintf (err, ": %s", answer->error);
  fputc ('\n', err);
  free (text);
  print_findings (err, json_object_get (body, "findings"));
  print_rest (err, body);
  if (answer->retry_ms[0] != 0)
    fprintf (err, "cuminmux: try again in %s ms\n", answer->retry_ms);
}

static void
report_machine (FILE *out,
                int code,
                const MuxHttpAnswer *answer,
                json_t *body,
                MuxHttpPair settle)
{
  json_t *report = json_is_object (body) ? json_copy (body) : json_object ();

  json_object_set_new (report, "exit", json_integer (code));
  if (json_object_get (report, "text") == NULL)
    json_object_set_new (report, "text", json_string (text_of_code (code)));
  if (answer->reason[0] != 0)
    json_object_set_new (report, "reason", json_string (answer->reason));
  if (code == MUX_EXIT_UNREACHED && answer->error[0] != 0)
    json_object_set_new (report, "error", json_string (answer->error));
  if (answer->retry_ms[0] != 0)
    json_object_set_new (report, "retry_ms",
                         json_integer (atoll (answer->retry_ms)));
  if (settle.name != NULL)
    json_object_set_new (report, settle.name, json_string (settle.value));
  mux_render_json (out, report);
  json_decref (report);
}

int
mux_call_report (MuxCliCall *call,
                 int code,
                 const MuxHttpAnswer *answer,
                 MuxHttpPair settle)
{
  json_t *body = NULL;

  if (code != MUX_EXIT_UNKNOWN)
    settle.name = NULL;
  if (answer->body != NULL)
    body = json_loadb (answer->body, answer->body_len, 0, NULL);
  if (call->json)
    report_machine (call->host->out, code, answer, body, settle);
  else
    report_people (call->host->err, code, answer, body);
  if (!call->json && settle.name != NULL)
    fprintf (call->host->err,
             "cuminmux: the same command with --%s %s settles it\n",
             settle.name, settle.value);
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
  MuxHttpCall http = { .method = "GET",
                       .query = { query },
                       .timeout_ms = timeout_ms,
                       .repeatable = true };
  MuxHttpAnswer answer;
  int code;

  *json = NULL;
  snprintf (http.path, sizeof http.path, "%s", path);
  code = mux_http_exchange (call->host, &call->servers, &http, &answer);
  if (code != MUX_EXIT_OK)
    mux_call_report (call, code, &answer, (MuxHttpPair){ NULL, NULL });
  else if ((*json = mux_call_json (call, &answer)) == NULL)
    code = MUX_EXIT_UNREACHED;
  mux_http_answer_free (&answer);
  return code;
}
