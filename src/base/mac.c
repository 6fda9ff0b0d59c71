#include "base/mac.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <stdio.h>
#include <string.h>

/* Stands for the empty key, which GnuTLS rejects. */
static const char no_key[] = "cuminmux";

bool
mux_hmac_hex (const char *key, const char *text, char out[MUX_HMAC_HEX_LEN])
{
  const char *used = key[0] == 0 ? no_key : key;
  unsigned char code[(MUX_HMAC_HEX_LEN - 1) / 2];

  if (gnutls_hmac_fast (GNUTLS_MAC_SHA256, used, strlen (used), text,
                        strlen (text), code)
      != 0)
    return false;
  for (size_t i = 0; i < sizeof code; i++)
    snprintf (out + 2 * i, 3, "%02x", code[i]);
  return true;
}

bool
mux_hmac_hex_equal (const char a[MUX_HMAC_HEX_LEN],
                    const char b[MUX_HMAC_HEX_LEN])
{
  return gnutls_memcmp (a, b, MUX_HMAC_HEX_LEN) == 0;
}
