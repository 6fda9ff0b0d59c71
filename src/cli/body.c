#include "body.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define BODY_MAX (64u << 20)
#define READ_STEP 65536

static bool
grow (MuxBody *body, size_t *cap)
{
  size_t more = *cap == 0 ? READ_STEP : *cap * 2;
  char *bytes = realloc (body->bytes, more);

  if (bytes == NULL)
    return false;
  body->bytes = bytes;
  *cap = more;
  return true;
}

static const char *
read_all (FILE *in, MuxBody *body)
{
  size_t cap = 0;

  do
    {
      if (body->len == cap && !grow (body, &cap))
        return "memory is out";
      body->len += fread (body->bytes + body->len, 1, cap - body->len, in);
      if (body->len > BODY_MAX)
        return "over 64 MiB";
    }
  while (!feof (in) && !ferror (in));
  return ferror (in) ? strerror (errno) : NULL;
}

static const char *
read_file (const char *path, MuxBody *body)
{
  FILE *in = fopen (path, "rb");
  const char *wrong;

  if (in == NULL)
    return strerror (errno);
  wrong = read_all (in, body);
  fclose (in);
  return wrong;
}

bool
mux_body_read (MuxCliCall *call, MuxBody *body)
{
  const char *text = call->args.text[MUX_ARG_BODY];
  const char *path = call->args.text[MUX_ARG_FILE];
  const char *place = path != NULL ? path : "standard input";
  const char *wrong = NULL;

  *body = (MuxBody){ NULL, 0 };
  if (text != NULL && path != NULL)
    {
      fputs ("cuminmux: --body, --file: give one of them\n", call->host->err);
      return false;
    }
  if (text != NULL)
    {
      body->bytes = strdup (text);
      body->len = strlen (text);
    }
  else
    wrong = path != NULL ? read_file (path, body)
                         : read_all (call->host->in, body);
  if (wrong == NULL && body->bytes == NULL)
    wrong = "memory is out";
  if (wrong == NULL)
    return true;
  fprintf (call->host->err, "cuminmux: %s: %s\n", place, wrong);
  free (body->bytes);
  return false;
}
