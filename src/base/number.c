#include "base/number.h"

#include <stddef.h>

#define BASE 10

/* Not strtoull(): it accepts spaces and signs, and turns -1 into ULLONG_MAX. */
bool
mux_unsigned_parse (const char *text, uint64_t max, uint64_t *value)
{
  uint64_t n = 0;

  if (text == NULL || *text == 0)
    return false;
  for (; *text != 0; text++)
    {
      uint64_t digit = (uint64_t) (*text - '0');

      if (*text < '0' || *text > '9' || digit > max || n > (max - digit) / BASE)
        return false;
      n = n * BASE + digit;
    }
  *value = n;
  return true;
}
