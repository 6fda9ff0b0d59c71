#include "port/incarnation.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Between id and time of start; not valid in an id. */
#define SEPARATOR '~'
#define HEX_DIGITS "0123456789abcdef"
#define HEX_BASE 16

bool
mux_incarnation_name (char name[MUX_NAME_LEN],
                      const char *id,
                      uint64_t started_ms)
{
  int len = started_ms != 0 ? snprintf (name, MUX_NAME_LEN, "%s%c%" PRIx64, id,
                                        SEPARATOR, started_ms)
                            : snprintf (name, MUX_NAME_LEN, "%s", id);

  return len > 0 && len < MUX_NAME_LEN;
}

void
mux_incarnation_worker (char id[MUX_NAME_LEN], const char *name)
{
  const char *end = strchr (name, SEPARATOR);
  size_t len = end != NULL ? (size_t) (end - name) : strlen (name);

  if (len >= MUX_NAME_LEN)
    len = MUX_NAME_LEN - 1;
  memcpy (id, name, len);
  id[len] = 0;
}

uint64_t
mux_incarnation_started_ms (const char *name)
{
  const char *end = strchr (name, SEPARATOR);

  return end != NULL ? strtoull (end + 1, NULL, HEX_BASE) : 0;
}

bool
mux_incarnation_valid (const char *name)
{
  const char *end = strchr (name, SEPARATOR);
  char id[MUX_NAME_LEN];

  if (strlen (name) >= MUX_NAME_LEN)
    return false;
  mux_incarnation_worker (id, name);
  return mux_name_valid (id)
         && (end == NULL
             || (end[1] != 0
                 && strspn (end + 1, HEX_DIGITS) == strlen (end + 1)));
}
