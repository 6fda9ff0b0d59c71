#include "model/spec.h"
#include "render.h"
#include "verb.h"

#include <stdlib.h>
#include <string.h>

#define CELL_NAME "cell"

typedef bool (*Check) (const json_t *json, MuxFindings *findings);

static bool
check_class (const json_t *json, MuxFindings *findings)
{
  MuxClassSpec spec;

  return mux_class_from_json (json, "", &spec, findings);
}

static bool
check_product (const json_t *json, MuxFindings *findings)
{
  MuxProductSpec spec;

  return mux_product_from_json (json, "", &spec, findings);
}

static bool
check_cell (const json_t *json, MuxFindings *findings)
{
  MuxCellSpec spec;

  return mux_cell_from_json (json, "", &spec, findings);
}

static void
config_path (const MuxCliCall *call, const char *tail, MuxCliRequest *http)
{
  const char *name = call->args.text[MUX_ARG_NAME];

  snprintf (http->path, sizeof http->path, "/v1/config/%s/%s%s",
            call->verb->sort, name != NULL ? name : CELL_NAME, tail);
}

static void
add_expect (const MuxCliCall *call, MuxCliRequest *http)
{
  const char *expect = call->args.text[MUX_ARG_EXPECT];

  if (expect != NULL)
    http->query[0] = (MuxHttpPair){ "expect", expect };
}

/* Validates @json with the model and sets it; takes over @json. */
static int
set_object (MuxCliCall *call, json_t *json, Check check)
{
  MuxCliRequest http = { .method = "PUT" };
  MuxFindings *findings = calloc (1, sizeof *findings);
  char *body = json_dumps (json, JSON_COMPACT);
  int code = MUX_EXIT_USAGE;

  if (findings == NULL || body == NULL)
    fputs ("cuminmux: out of memory\n", call->host->err);
  else if (!check (json, findings))
    {
      mux_args_fields_to_flags (findings);
      mux_findings_print (call->host->err, findings);
    }
  else
    {
      config_path (call, "", &http);
      add_expect (call, &http);
      http.body = body;
      http.body_len = strlen (body);
      code = mux_call_change (call, &http);
    }
  free (body);
  free (findings);
  json_decref (json);
  return code;
}

static json_t *
number_arg (const MuxCliCall *call, MuxArg arg)
{
  return json_integer (call->args.number[arg]);
}

int
mux_verb_class_set (MuxCliCall *call)
{
  const char *const *text = call->args.text;
  json_t *json = json_pack (
      "{s:s, s:s, s:b, s:o, s:o, s:{s:o, s:o, s:o}}", "product",
      text[MUX_ARG_PRODUCT], "kind", text[MUX_ARG_KIND], "idempotent",
      strcmp (text[MUX_ARG_IDEMPOTENT], "yes") == 0, "start_within_ms",
      number_arg (call, MUX_ARG_START_WITHIN_MS), "run_ms",
      number_arg (call, MUX_ARG_RUN_MS), "size", "cpu_milli",
      number_arg (call, MUX_ARG_CPU_MILLI), "mem_mib",
      number_arg (call, MUX_ARG_MEM_MIB), "accels",
      number_arg (call, MUX_ARG_ACCELS));

  if (text[MUX_ARG_SHARE_PPM] != NULL)
    json_object_set_new (json, "start_share_ppm",
                         number_arg (call, MUX_ARG_SHARE_PPM));
  return set_object (call, json, check_class);
}

int
mux_verb_product_set (MuxCliCall *call)
{
  json_t *json = json_pack ("{s:{s:o, s:o, s:o, s:o}}", "quota", "cpu_milli",
                            number_arg (call, MUX_ARG_CPU_MILLI), "mem_mib",
                            number_arg (call, MUX_ARG_MEM_MIB), "accels",
                            number_arg (call, MUX_ARG_ACCELS), "slots",
                            number_arg (call, MUX_ARG_SLOTS));

  return set_object (call, json, check_product);
}

int
mux_verb_cell_set (MuxCliCall *call)
{
  json_t *json
      = json_pack ("{s:o}", "idle_ppm", number_arg (call, MUX_ARG_IDLE_PPM));

  return set_object (call, json, check_cell);
}

int
mux_verb_config_rm (MuxCliCall *call)
{
  MuxCliRequest http = { .method = "DELETE" };

  config_path (call, "", &http);
  add_expect (call, &http);
  return mux_call_change (call, &http);
}

int
mux_verb_config_revert (MuxCliCall *call)
{
  MuxCliRequest http = { .method = "POST",
                         .query = { { "to", call->args.text[MUX_ARG_TO] } } };

  config_path (call, "/revert", &http);
  return mux_call_change (call, &http);
}

int
mux_verb_worker_drain (MuxCliCall *call)
{
  MuxCliRequest http = { .method = "POST" };

  snprintf (http.path, sizeof http.path, "/v1/workers/%s/%s",
            call->args.text[MUX_ARG_NAME], call->verb->name);
  return mux_call_change (call, &http);
}

int
mux_verb_config_get (MuxCliCall *call)
{
  MuxCliRequest http = { .path = "" };
  json_t *json;
  int code;

  config_path (call, "", &http);
  code = mux_call_read (call, http.path, (MuxHttpPair){ NULL, NULL },
                        call->timeout_ms, &json);
  if (code == MUX_EXIT_OK && call->json)
    mux_render_json (call->host->out, json);
  else if (code == MUX_EXIT_OK)
    mux_render_fields (call->host->out, json);
  json_decref (json);
  return code;
}

int
mux_verb_config_list (MuxCliCall *call)
{
  static const MuxColumn classes[]
      = { { "CLASS", "name" },
          { "REVISION", "revision" },
          { "PRODUCT", "value.product" },
          { "KIND", "value.kind" },
          { "IDEMPOTENT", "value.idempotent" },
          { "START WITHIN MS", "value.start_within_ms" },
          { "SHARE PPM", "value.start_share_ppm" },
          { "CPU", "value.size.cpu_milli" },
          { "MIB", "value.size.mem_mib" },
          { "ACCELS", "value.size.accels" },
          { "RUN MS", "value.run_ms" },
          { NULL, NULL } };
  static const MuxColumn products[] = { { "PRODUCT", "name" },
                                        { "REVISION", "revision" },
                                        { "CPU", "value.quota.cpu_milli" },
                                        { "MIB", "value.quota.mem_mib" },
                                        { "ACCELS", "value.quota.accels" },
                                        { "SLOTS", "value.quota.slots" },
                                        { NULL, NULL } };
  bool is_class = strcmp (call->verb->sort, "class") == 0;
  char path[64];
  json_t *json;
  int code;

  snprintf (path, sizeof path, "/v1/config/%s", call->verb->sort);
  code = mux_call_read (call, path, (MuxHttpPair){ NULL, NULL },
                        call->timeout_ms, &json);
  if (code == MUX_EXIT_OK && call->json)
    mux_render_json (call->host->out, json);
  else if (code == MUX_EXIT_OK)
    mux_render_table (call->host->out, json_object_get (json, "items"),
                      is_class ? classes : products);
  json_decref (json);
  return code;
}
