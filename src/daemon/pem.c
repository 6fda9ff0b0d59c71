#include "pem.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PEM_MAX_BYTES ((size_t) 64 * 1024)

char *
mux_pem_read (const char *path, MuxError *err)
{
  FILE *file = fopen (path, "re");
  char *text = calloc (1, PEM_MAX_BYTES + 1);
  size_t len = 0;

  if (file == NULL)
    mux_error_set (err, MUX_ERROR_IO, "can't read %s: %s", path,
                   strerror (errno));
  else if (text == NULL)
    mux_error_set (err, MUX_ERROR_MEMORY, "out of memory reading %s", path);
  else
    {
      len = fread (text, 1, PEM_MAX_BYTES + 1, file);
      if (ferror (file) || len == 0 || len > PEM_MAX_BYTES)
        {
          mux_error_set (err, MUX_ERROR_IO,
                         "can't read %s: empty, over 64 KiB, or an I/O error",
                         path);
          len = 0;
        }
    }
  if (file != NULL)
    fclose (file);
  if (len > 0)
    return text;
  free (text);
  return NULL;
}
