#include "render.h"
#include "verb.h"

#include <stdlib.h>
#include <string.h>

#define CHANGE_HEADER "Cuminmux-Change"
#define WHO_HEADER "Cuminmux-Who"
#define RETRY_FLAG "change"

static bool
change_id (MuxCliCall *call, char out[MUX_ID_HEX_LEN])
{
  const char *given = call->args.text[MUX_ARG_CHANGE];
  MuxId id;

  if (given != NULL)
    {
      memcpy (out, given, MUX_ID_HEX_LEN);
      return true;
    }
  if (!call->host->new_id (call->host, &id))
    return false;
  mux_id_format (id, out);
  return true;
}

static void
print_unconfirmed (FILE *err, const json_t *unconfirmed)
{
  size_t i;
  json_t *name;

  fputs ("cuminmux: not yet in force at:", err);
  json_array_foreach ((json_t *) unconfirmed, i, name)
  {
    char *text = mux_render_text (name);

    if (text != NULL)
      fprintf (err, "%s %s", i > 0 ? "," : "", text);
    free (text);
  }
  fputc ('\n', err);
}

static int
wait_until_applied (MuxCliCall *call, json_int_t revision, json_t *result)
{
  json_t *unconfirmed = NULL;
  bool all = mux_wait_until_applied (call, revision, &unconfirmed);

  if (!all && !call->json)
    print_unconfirmed (call->host->err, unconfirmed);
  json_object_set_new (result, "confirmed", json_boolean (all));
  json_object_set_new (result, "not_confirmed", unconfirmed);
  return all ? MUX_EXIT_OK : MUX_EXIT_LATER;
}

static int
print_committed (MuxCliCall *call,
                 const MuxCliResponse *response,
                 const char *id)
{
  json_t *result = mux_call_json (call, response);
  json_int_t revision
      = json_integer_value (json_object_get (result, "revision"));
  int code = MUX_EXIT_OK;

  if (result == NULL || revision <= 0)
    {
      json_decref (result);
      return mux_call_print_failure (call, MUX_EXIT_UNKNOWN, response,
                                     (MuxHttpPair){ RETRY_FLAG, id });
    }
  json_object_set_new (result, "change", json_string (id));
  if (!call->json)
    fprintf (call->host->out, "revision %" JSON_INTEGER_FORMAT "\n", revision);
  if (call->args.number[MUX_ARG_WAIT] != 0)
    code = wait_until_applied (call, revision, result);
  if (call->json)
    mux_render_json (call->host->out, result);
  json_decref (result);
  return code;
}

int
mux_call_change (MuxCliCall *call, MuxCliRequest *change)
{
  char id[MUX_ID_HEX_LEN];
  MuxCliResponse response;
  int code;

  if (!change_id (call, id))
    {
      fputs ("cuminmux: no random bytes from the system\n", call->host->err);
      return MUX_EXIT_LATER;
    }
  change->header[0] = (MuxHttpPair){ CHANGE_HEADER, id };
  if (call->args.text[MUX_ARG_WHO] != NULL)
    change->header[1]
        = (MuxHttpPair){ WHO_HEADER, call->args.text[MUX_ARG_WHO] };
  change->timeout_ms = call->timeout_ms;
  change->write = true;
  /* A write may take effect while its response is lost.  Daemons identify the
   * change by its id, so a retry returns its revision and changes nothing. */
  change->repeatable = true;
  code = mux_cli_exchange (call->host, &call->servers, change, &response);
  if (code == MUX_EXIT_OK)
    code = print_committed (call, &response, id);
  else
    mux_call_print_failure (call, code, &response,
                            (MuxHttpPair){ RETRY_FLAG, id });
  mux_cli_response_free (&response);
  return code;
}
