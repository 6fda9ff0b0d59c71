#ifndef BASE_BYTES_H
#define BASE_BYTES_H

#include <stdbool.h>
#include <stddef.h>

/**
 * struct MuxBytes - growable byte buffer; all zero is a valid empty buffer
 * @bytes: content and a terminating NUL; NULL before the first append
 * @len: bytes used, without the NUL
 * @cap: bytes allocated
 */
typedef struct
{
  char *bytes;
  size_t len;
  size_t cap;
} MuxBytes;

/** mux_bytes_add() - append @len bytes
 * Return: false if out of memory; the buffer is then unchanged. */
bool mux_bytes_add (MuxBytes *buffer, const void *bytes, size_t len);
/** mux_bytes_clear() - set the length to 0
 * @keep: largest allocation to keep for reuse, in bytes; a larger one is freed
 */
void mux_bytes_clear (MuxBytes *buffer, size_t keep);
/** mux_bytes_deinit() - free the allocation and reset @buffer to empty */
void mux_bytes_deinit (MuxBytes *buffer);

#endif
