#ifndef SUPPORT_HASH_H
#define SUPPORT_HASH_H

#include <stddef.h>

/* Bytes of a content hash as text with its closing NUL. */
#define MUX_HASH_TEXT_LEN 17

/** mux_hash_text() - XXH3 (64 bits) of @bytes as hexadecimal digits, the form
 * in the workers' and callers' logs */
void mux_hash_text (const void *bytes, size_t len, char out[MUX_HASH_TEXT_LEN]);

#endif
