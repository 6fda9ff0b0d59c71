#include "body.h"

#include <errno.h>
#include <string.h>

#define BODY_MAX (64u << 20)
#define READ_STEP 65536

static const char *
read_all (FILE *in, MuxBytes *body)
{
  char step[READ_STEP];
  size_t n;

  while ((n = fread (step, 1, sizeof step, in)) > 0)
    {
      if (n > BODY_MAX - body->len)
        return "over 64 MiB";
      if (!mux_bytes_add (body, step, n))
        return "out of memory";
    }
  return ferror (in) ? strerror (errno) : NULL;
}

static const char *
read_file (const char *path, MuxBytes *body)
{
  FILE *in = fopen (path, "rb");
  const char *error;

  if (in == NULL)
    return strerror (errno);
  error = read_all (in, body);
  fclose (in);
  return error;
}

bool
mux_body_read (MuxCliCall *call, MuxBytes *body)
{
  const char *text = call->args.text[MUX_ARG_BODY];
  const char *path = call->args.text[MUX_ARG_FILE];
  const char *place = path != NULL ? path : "standard input";
  const char *error = NULL;

  *body = (MuxBytes){ NULL, 0, 0 };
  if (text != NULL && path != NULL)
    {
      fputs ("cuminmux: --body, --file: give one of them\n", call->host->err);
      return false;
    }
  /* An empty body is valid; adding 0 bytes allocates its terminating NUL. */
  if (!mux_bytes_add (body, text, text != NULL ? strlen (text) : 0))
    error = "out of memory";
  else if (path != NULL)
    error = read_file (path, body);
  else if (text == NULL)
    error = read_all (call->host->in, body);
  if (error == NULL)
    return true;
  fprintf (call->host->err, "cuminmux: %s: %s\n", place, error);
  mux_bytes_deinit (body);
  return false;
}
