#ifndef BASE_BYTES_H
#define BASE_BYTES_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct MuxBytes - growing buffer of bytes
 * @bytes: closed by a NUL once anything was added; NULL: nothing was
 * @len: bytes used, without that NUL
 * @cap: bytes reserved
 */
typedef struct
{
  char *bytes;
  size_t len;
  size_t cap;
} MuxBytes;

/** mux_bytes_add() - append
 * Return: false when memory is out; the buffer is as before. */
bool mux_bytes_add (MuxBytes *buffer, const void *bytes, size_t len);
/** mux_bytes_clear() - empty it
 * @keep: a buffer larger than this is given back */
void mux_bytes_clear (MuxBytes *buffer, size_t keep);
/** mux_bytes_deinit() - give all back */
void mux_bytes_deinit (MuxBytes *buffer);

#endif
