#include "event_lines.h"

#include <errno.h>
#include <string.h>

/* Size of the line buffer; no event of a daemon is longer. */
#define LINE_MAX_LEN 8192

const char *
mux_event_text (const json_t *json, const char *field)
{
  const char *text = json_string_value (json_object_get (json, field));

  return text != NULL ? text : "";
}

int64_t
mux_event_number (const json_t *json, const char *field)
{
  return json_integer_value (json_object_get (json, field));
}

static bool
read_lines (FILE *in, MuxEventHandler handler, void *user)
{
  char line[LINE_MAX_LEN];

  while (fgets (line, sizeof line, in) != NULL)
    {
      const char *begin = strchr (line, '{');
      json_t *json = begin != NULL
                         ? json_loads (begin, JSON_DISABLE_EOF_CHECK, NULL)
                         : NULL;

      if (json != NULL && !handler (user, json))
        return false;
    }
  return true;
}

static FILE *
open_log (MuxCliCall *call)
{
  const char *path = call->args.text[MUX_ARG_FILE];
  FILE *file;

  if (path == NULL)
    return call->host->in;
  file = fopen (path, "r");
  if (file == NULL)
    fprintf (call->host->err, "cuminmux: --file: can't read \"%s\": %s\n", path,
             strerror (errno));
  return file;
}

int
mux_event_lines_read (MuxCliCall *call, MuxEventHandler handler, void *user)
{
  FILE *in = open_log (call);
  int code = MUX_EXIT_OK;

  if (in == NULL)
    return MUX_EXIT_USAGE;
  if (!read_lines (in, handler, user))
    {
      fputs ("cuminmux: out of memory\n", call->host->err);
      code = MUX_EXIT_LATER;
    }
  if (in != call->host->in)
    fclose (in);
  return code;
}
