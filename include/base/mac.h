#ifndef BASE_MAC_H
#define BASE_MAC_H

#include <stdbool.h>

/* Bytes of a code's hexadecimal form with its closing NUL. */
#define MUX_MAC_HEX_LEN 65

/**
 * mux_mac() - HMAC-SHA-256 of @text under @key, in hexadecimal
 * @key: secret, "" for none: then the code only guards against damage
 * Return: false when the library fails.
 */
bool mux_mac (const char *key, const char *text, char out[MUX_MAC_HEX_LEN]);

/** mux_mac_equal() - compare two codes in a time that does not tell where
 * they differ */
bool mux_mac_equal (const char a[MUX_MAC_HEX_LEN],
                    const char b[MUX_MAC_HEX_LEN]);

#endif
