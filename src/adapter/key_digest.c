#include "adapter/key_digest.h"

#include <gnutls/crypto.h>

bool
mux_key_digest (const char *key, size_t len, MuxKeyDigest *digest)
{
  return gnutls_hash_fast (GNUTLS_DIG_SHA256, key, len, digest->byte) == 0;
}
