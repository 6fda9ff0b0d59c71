#include "base/blob.h"

#include <stdlib.h>
#include <string.h>

MuxBlob *
mux_blob_new (const void *bytes, size_t len)
{
  MuxBlob *blob = malloc (sizeof *blob + len + 1);

  if (blob == NULL)
    return NULL;
  atomic_init (&blob->refs, 1);
  blob->len = len;
  if (len > 0)
    memcpy (blob->bytes, bytes, len);
  blob->bytes[len] = 0;
  return blob;
}

MuxBlob *
mux_blob_ref (MuxBlob *blob)
{
  if (blob != NULL)
    atomic_fetch_add_explicit (&blob->refs, 1, memory_order_relaxed);
  return blob;
}

void
mux_blob_unref (MuxBlob *blob)
{
  if (blob == NULL)
    return;
  if (atomic_fetch_sub_explicit (&blob->refs, 1, memory_order_acq_rel) == 1)
    free (blob);
}
