#include "http_body.h"

#include <stdlib.h>
#include <string.h>

#define CAPACITY_MIN 1024

size_t
http_body_next_capacity (const HttpBody *body, size_t n, size_t max)
{
  size_t capacity = body->capacity > 0 ? body->capacity : CAPACITY_MIN;
  size_t most = body->expected > 0 && body->expected < max
                    ? (size_t) body->expected
                    : max;

  while (capacity < body->len + n)
    capacity *= 2;
  if (capacity <= most || body->len + n > most)
    return capacity;
  return most;
}

bool
http_body_append (HttpBody *body, const void *piece, size_t n, size_t capacity)
{
  if (capacity != body->capacity)
    {
      uint8_t *bytes = realloc (body->bytes, capacity);

      if (bytes == NULL)
        return false;
      body->bytes = bytes;
      body->capacity = capacity;
    }
  memcpy (body->bytes + body->len, piece, n);
  body->len += n;
  return true;
}

void
http_body_clear (HttpBody *body)
{
  free (body->bytes);
  body->bytes = NULL;
  body->capacity = 0;
}
