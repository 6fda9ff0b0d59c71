#ifndef BASE_BLOB_H
#define BASE_BLOB_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct MuxBlob - reference-counted immutable byte string
 * @refs: reference count; the last mux_blob_unref() frees the blob
 * @len: length of @bytes, without the terminating NUL
 * @bytes: content and a terminating NUL; not modified once shared
 */
typedef struct
{
  atomic_uint refs;
  size_t len;
  char bytes[];
} MuxBlob;

/** mux_blob_new() - copy @len bytes into a new blob with one reference
 * Return: NULL if out of memory. */
MuxBlob *mux_blob_new (const void *bytes, size_t len);
/** mux_blob_ref() - add a reference and return @blob; NULL is allowed */
MuxBlob *mux_blob_ref (MuxBlob *blob);
/** mux_blob_unref() - drop a reference; NULL is allowed */
void mux_blob_unref (MuxBlob *blob);

#endif
