#ifndef ADAPTER_KEY_DIGEST_H
#define ADAPTER_KEY_DIGEST_H

#include "model/workspace.h"

#include <stddef.h>

/** mux_key_digest() - SHA-256 of a key
 * Return: false when the digest can't be computed. */
bool mux_key_digest (const char *key, size_t len, MuxKeyDigest *digest);

#endif
