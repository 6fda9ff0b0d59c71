#ifndef BASE_MAC_H
#define BASE_MAC_H

#include <stdbool.h>

/* Size of an HMAC in hexadecimal with its NUL. */
#define MUX_HMAC_HEX_LEN 65

/**
 * mux_hmac_hex() - HMAC-SHA-256 of @text under @key, in hexadecimal
 * @key: secret; "": a fixed public key is used, so that the code detects
 *   corruption but not forgery
 * Return: false if GnuTLS fails.
 */
bool
mux_hmac_hex (const char *key, const char *text, char out[MUX_HMAC_HEX_LEN]);

/** mux_hmac_hex_equal() - compare two codes in constant time */
bool mux_hmac_hex_equal (const char a[MUX_HMAC_HEX_LEN],
                         const char b[MUX_HMAC_HEX_LEN]);

#endif
