#include "base/bytes.h"

#include <stdlib.h>
#include <string.h>

#define CAP_MIN 1024

static bool
reserve (MuxBytes *buffer, size_t need)
{
  size_t cap = buffer->cap > 0 ? buffer->cap : CAP_MIN;
  char *grown;

  if (need <= buffer->cap)
    return true;
  while (cap < need)
    cap *= 2;
  grown = realloc (buffer->bytes, cap);
  if (grown == NULL)
    return false;
  buffer->bytes = grown;
  buffer->cap = cap;
  return true;
}

bool
mux_bytes_add (MuxBytes *buffer, const void *bytes, size_t len)
{
  if (!reserve (buffer, buffer->len + len + 1))
    return false;
  if (len > 0)
    memcpy (buffer->bytes + buffer->len, bytes, len);
  buffer->len += len;
  buffer->bytes[buffer->len] = 0;
  return true;
}

void
mux_bytes_clear (MuxBytes *buffer, size_t keep)
{
  buffer->len = 0;
  if (buffer->cap > keep)
    mux_bytes_deinit (buffer);
}

void
mux_bytes_deinit (MuxBytes *buffer)
{
  free (buffer->bytes);
  *buffer = (MuxBytes){ NULL, 0, 0 };
}
