#include "port/incarnation.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Not part of any name. */
#define SEPARATOR '~'
#define HEX_DIGITS "0123456789abcdef"
#define HEX 16

bool
mux_incarnation_name (char life[MUX_NAME_LEN], const char *id, uint64_t born_ms)
{
  int len = born_ms != 0 ? snprintf (life, MUX_NAME_LEN, "%s%c%" PRIx64, id,
                                     SEPARATOR, born_ms)
                         : snprintf (life, MUX_NAME_LEN, "%s", id);

  return len > 0 && len < MUX_NAME_LEN;
}

void
mux_incarnation_worker (char id[MUX_NAME_LEN], const char *life)
{
  const char *end = strchr (life, SEPARATOR);
  size_t len = end != NULL ? (size_t) (end - life) : strlen (life);

  if (len >= MUX_NAME_LEN)
    len = MUX_NAME_LEN - 1;
  memcpy (id, life, len);
  id[len] = 0;
}

uint64_t
mux_incarnation_started_ms (const char *life)
{
  const char *end = strchr (life, SEPARATOR);

  return end != NULL ? strtoull (end + 1, NULL, HEX) : 0;
}

bool
mux_incarnation_valid (const char *life)
{
  const char *end = strchr (life, SEPARATOR);
  char id[MUX_NAME_LEN];

  if (strlen (life) >= MUX_NAME_LEN)
    return false;
  mux_incarnation_worker (id, life);
  return mux_name_valid (id)
         && (end == NULL
             || (end[1] != 0
                 && strspn (end + 1, HEX_DIGITS) == strlen (end + 1)));
}
