#include "adapter/peer.h"
#include "port/worker.h"

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len);

static void
require (bool holds)
{
  if (!holds)
    abort ();
}

static void
require_in_range (const MuxPeerMsg *msg)
{
  require ((uint32_t) msg->verb < MUX_PEER_VERB_COUNT);
  require ((uint32_t) msg->reason < MUX_REASON_COUNT);
  require (msg->state <= MUX_TASK_DONE_GONE);
  require (mux_name_valid (msg->from));
  require (memchr (msg->worker, 0, sizeof msg->worker) != NULL);
}

/* What is accepted must be in range, and be the same after another round. */
int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t len)
{
  MuxError err;
  MuxPeerMsg msg;
  MuxPeerMsg again;
  MuxBlob *first;
  MuxBlob *second;

  if (!mux_peer_decode (bytes, len, &msg, &err))
    {
      require (msg.body == NULL);
      return 0;
    }
  require_in_range (&msg);
  first = mux_peer_encode (&msg);
  require (first != NULL);
  require (mux_peer_decode (first->bytes, first->len, &again, &err));
  second = mux_peer_encode (&again);
  require (second != NULL && second->len == first->len
           && memcmp (first->bytes, second->bytes, first->len) == 0);
  mux_blob_unref (first);
  mux_blob_unref (second);
  mux_blob_unref (msg.body);
  mux_blob_unref (again.body);
  return 0;
}
