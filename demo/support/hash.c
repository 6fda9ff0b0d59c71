#include "demo/support/hash.h"

#include <stdio.h>

#include <xxhash.h>

void
mux_hash_text (const void *bytes, size_t len, char out[MUX_HASH_TEXT_LEN])
{
  snprintf (out, MUX_HASH_TEXT_LEN, "%016llx",
            (unsigned long long) XXH3_64bits (bytes, len));
}
