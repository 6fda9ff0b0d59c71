#include "merge.h"
#include "render.h"
#include "verb.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static const MuxHttpPair no_pair = { NULL, NULL };

/* Prints merged rows, and in JSON also the daemons without response; in text
 * these have been printed on standard error. */
static void
print_merged (MuxCliCall *call,
              const char *field,
              json_t *rows,
              json_t *unanswered,
              const MuxColumn *columns)
{
  json_t *json
      = json_pack ("{s:O, s:O}", field, rows, "unanswered", unanswered);

  if (call->json)
    mux_render_json (call->host->out, json);
  else
    mux_render_table (call->host->out, rows, columns);
  json_decref (json);
}

/**
 * struct View - an array in daemons' responses that is shown as a table
 * @path: path of the request
 * @field: name of the array in the response
 * @merge: merges the arrays of several daemons; NULL: any daemon has all rows
 * @columns: columns of the table
 */
typedef struct
{
  const char *path;
  const char *field;
  json_t *(*merge) (const json_t *responses);
  const MuxColumn *columns;
} View;

static int
show_all (MuxCliCall *call, const View *view)
{
  json_t *responses, *unanswered, *rows;
  int code = mux_call_read_all (call, view->path, &responses, &unanswered);

  if (code != MUX_EXIT_UNREACHED)
    {
      rows = view->merge (responses);
      print_merged (call, view->field, rows, unanswered, view->columns);
      json_decref (rows);
    }
  json_decref (responses);
  json_decref (unanswered);
  return code;
}

static int
show_table (MuxCliCall *call, const View *view)
{
  json_t *json;
  int code;

  if (call->args.number[MUX_ARG_ALL] != 0 && view->merge != NULL)
    return show_all (call, view);
  code = mux_call_read (call, view->path, no_pair, call->timeout_ms, &json);
  if (code == MUX_EXIT_OK && call->json)
    mux_render_json (call->host->out, json);
  else if (code == MUX_EXIT_OK)
    mux_render_table (call->host->out, json_object_get (json, view->field),
                      view->columns);
  json_decref (json);
  return code;
}

static void
print_status (FILE *out, const json_t *json)
{
  static const MuxColumn columns[] = { { "INSTANCE", "instance" },
                                       { "DATA CENTRE", "data_centre" },
                                       { "STATE", "state" },
                                       { "REVISION", "revision" },
                                       { "INCARNATION", "incarnation" },
                                       { "SILENT MS", "silent_ms" },
                                       { "FREE CPU", "free.cpu_milli" },
                                       { "FREE MIB", "free.mem_mib" },
                                       { "FREE ACCELS", "free.accels" },
                                       { "FREE SLOTS", "free.slots" },
                                       { NULL, NULL } };
  const json_t *unconfirmed = json_object_get (json, "not_confirmed");
  size_t i;
  json_t *name;

  mux_render_fields (out, json);
  fputc ('\n', out);
  mux_render_table (out, json_object_get (json, "members"), columns);
  json_array_foreach ((json_t *) unconfirmed, i, name)
  {
    char *text = mux_render_text (name);

    if (text != NULL)
      fprintf (out, "%s%s", i == 0 ? "\nnot confirmed: " : ", ", text);
    free (text);
  }
  if (json_array_size (unconfirmed) > 0)
    fputc ('\n', out);
}

static int
show_status_all (MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "INSTANCE", "instance" },
                                       { "DATA CENTRE", "data_centre" },
                                       { "REVISION", "revision" },
                                       { "READY", "ready" },
                                       { "STOPPING", "stopping" },
                                       { "STORE DOWN", "store_down" },
                                       { "WORKERS HELD", "workers_held" },
                                       { "QUEUED", "queued" },
                                       { "BOOKED", "booked" },
                                       { "MEMBERS NOT LIVE", "not_live" },
                                       { NULL, NULL } };
  json_t *responses, *unanswered;
  int code = mux_call_read_all (call, "/v1/status", &responses, &unanswered);

  mux_merge_status (responses);
  if (code != MUX_EXIT_UNREACHED)
    print_merged (call, "daemons", responses, unanswered, columns);
  json_decref (responses);
  json_decref (unanswered);
  return code;
}

int
mux_verb_status (MuxCliCall *call)
{
  json_t *json;
  int code;

  if (call->args.number[MUX_ARG_ALL] != 0)
    return show_status_all (call);
  code = mux_call_read (call, "/v1/status", no_pair, call->timeout_ms, &json);
  if (code == MUX_EXIT_OK && call->json)
    mux_render_json (call->host->out, json);
  else if (code == MUX_EXIT_OK)
    print_status (call->host->out, json);
  json_decref (json);
  return code;
}

int
mux_verb_workers (MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "WORKER", "worker" },
                                       { "DATA CENTRE", "data_centre" },
                                       { "RACK", "rack" },
                                       { "STATE", "state" },
                                       { "OWNER", "owner" },
                                       { "EPOCH", "epoch" },
                                       { "INCARNATION", "incarnation" },
                                       { "CPU", "capacity.cpu_milli" },
                                       { "FREE CPU", "free.cpu_milli" },
                                       { "MIB", "capacity.mem_mib" },
                                       { "FREE MIB", "free.mem_mib" },
                                       { "FREE ACCELS", "free.accels" },
                                       { "FREE SLOTS", "free.slots" },
                                       { "HELD", "held" },
                                       { "DRAINED", "drained" },
                                       { NULL, NULL } };

  static const View view
      = { "/v1/workers", "workers", mux_merge_workers, columns };

  return show_table (call, &view);
}

int
mux_verb_risk (MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "CLASS", "class" },
                                       { "AT RISK", "at_risk" },
                                       { "TARGET PPM", "target_ppm" },
                                       { "FORECAST PPM", "forecast_ppm" },
                                       { "QUEUED", "queued" },
                                       { "P99 WAIT MS", "p99_wait_ms" },
                                       { "CAUSE", "cause" },
                                       { "CURE", "cure" },
                                       { NULL, NULL } };

  static const View view = { "/v1/risk", "classes", mux_merge_risk, columns };

  return show_table (call, &view);
}

int
mux_verb_job_list (MuxCliCall *call)
{
  static const MuxColumn columns[]
      = { { "ID", "id" },     { "CLASS", "class" },       { "STATE", "state" },
          { "HOME", "home" }, { "REVISION", "revision" }, { NULL, NULL } };

  static const View view = { "/v1/jobs", "jobs", NULL, columns };

  return show_table (call, &view);
}

/* Adds "when", in UTC, to each change that has "when_ms". */
static void
add_when (json_t *changes)
{
  size_t i;
  json_t *change;

  json_array_foreach (changes, i, change)
  {
    const json_t *when = json_object_get (change, "when_ms");
    time_t seconds = (time_t) (json_integer_value (when) / 1000);
    char text[32];
    struct tm tm;

    if (json_is_integer (when) && gmtime_r (&seconds, &tm) != NULL
        && strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &tm) > 0)
      json_object_set_new (change, "when", json_string (text));
  }
}

int
mux_verb_history (MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "REVISION", "revision" },
                                       { "WHEN", "when" },
                                       { "WHO", "who" },
                                       { "SORT", "sort" },
                                       { "NAME", "name" },
                                       { "VALUE", "value" },
                                       { NULL, NULL } };
  char after[24];
  MuxHttpPair query = { "after", after };
  json_t *json;
  int code;

  snprintf (after, sizeof after, "%" PRId64, call->args.number[MUX_ARG_AFTER]);
  code = mux_call_read (call, "/v1/history", query, call->timeout_ms, &json);
  if (code == MUX_EXIT_OK && call->json)
    mux_render_json (call->host->out, json);
  else if (code == MUX_EXIT_OK)
    {
      add_when (json_object_get (json, "changes"));
      mux_render_table (call->host->out, json_object_get (json, "changes"),
                        columns);
    }
  json_decref (json);
  return code;
}

/* Converts a "name{labels} value" line of the Prometheus text to a row. */
static json_t *
counter_row (const char *line, size_t len)
{
  const char *space = memrchr (line, ' ', len);
  size_t named = space != NULL ? (size_t) (space - line) : 0;
  size_t name = 0;
  size_t labels;

  while (name < named && line[name] != '{')
    name++;
  labels = named - name;
  if (name == 0)
    return NULL;
  if (labels >= 2)
    return json_pack ("{s:s%, s:s%, s:I}", "counter", line, name, "labels",
                      line + name + 1, labels - 2, "value",
                      (json_int_t) strtoll (space, NULL, 10));
  return json_pack ("{s:s%, s:I}", "counter", line, name, "value",
                    (json_int_t) strtoll (space, NULL, 10));
}

static json_t *
counters_of_text (const char *text)
{
  json_t *rows = json_array ();

  while (*text != 0)
    {
      size_t len = strcspn (text, "\n");
      json_t *row = *text != '#' ? counter_row (text, len) : NULL;

      if (row != NULL)
        json_array_append_new (rows, row);
      text += len + (text[len] == '\n');
    }
  return json_pack ("{s:o}", "counters", rows);
}

int
mux_verb_counters (MuxCliCall *call)
{
  static const MuxColumn columns[] = { { "COUNTER", "counter" },
                                       { "LABELS", "labels" },
                                       { "VALUE", "value" },
                                       { NULL, NULL } };
  MuxCliRequest http = { .method = "GET",
                         .path = "/metrics",
                         .timeout_ms = call->timeout_ms,
                         .repeatable = true };
  MuxCliResponse response;
  int code = mux_cli_exchange (call->host, &call->servers, &http, &response);

  if (code != MUX_EXIT_OK)
    mux_call_print_failure (call, code, &response, no_pair);
  else
    {
      json_t *json = counters_of_text (response.body);

      if (call->json)
        mux_render_json (call->host->out, json);
      else
        mux_render_table (call->host->out, json_object_get (json, "counters"),
                          columns);
      json_decref (json);
    }
  mux_cli_response_free (&response);
  return code;
}
