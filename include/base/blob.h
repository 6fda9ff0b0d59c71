#ifndef BASE_BLOB_H
#define BASE_BLOB_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct MuxBlob - immutable bytes shared between threads
 * @refs: holders; the last unref frees
 * @len: length of @bytes, which also carry a closing NUL beyond @len
 * @bytes: the content, never changed once shared
 */
typedef struct
{
  atomic_uint refs;
  size_t len;
  char bytes[];
} MuxBlob;

/** mux_blob_new() - copy @len bytes; NULL when memory is out */
MuxBlob *mux_blob_new (const void *bytes, size_t len);
/** mux_blob_ref() - one more holder; NULL passes through */
MuxBlob *mux_blob_ref (MuxBlob *blob);
/** mux_blob_unref() - one holder less; NULL is allowed */
void mux_blob_unref (MuxBlob *blob);

#endif
