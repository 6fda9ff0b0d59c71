#include "demo/support/history.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* No NUL byte stands in a log, so reading up to one takes the whole of it. */
static char *
read_file (const char *path, size_t *len, MuxError *err)
{
  FILE *file = fopen (path, "r");
  char *text = NULL;
  size_t cap = 0;
  ssize_t n;

  if (file == NULL)
    {
      mux_error_set (err, MUX_ERROR_IO, "%s: %s", path, strerror (errno));
      return NULL;
    }
  n = getdelim (&text, &cap, 0, file);
  if (n < 0 && ferror (file))
    {
      mux_error_set (err, MUX_ERROR_IO, "%s can't be read", path);
      free (text);
      text = NULL;
    }
  else if (n < 0 && text == NULL)
    text = calloc (1, 1);
  *len = n < 0 ? 0 : (size_t) n;
  fclose (file);
  return text;
}

bool
mux_history_calls_file (MuxHistory *history, const char *path, MuxError *err)
{
  size_t len = 0;
  char *text = read_file (path, &len, err);

  if (text == NULL)
    return false;
  mux_history_calls (history, text, len);
  free (text);
  return true;
}

bool
mux_history_work_file (MuxHistory *history, const char *path, MuxError *err)
{
  size_t len = 0;
  char *text = read_file (path, &len, err);

  if (text == NULL)
    return false;
  mux_history_work (history, text, len);
  free (text);
  return true;
}
