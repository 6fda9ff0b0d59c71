#include "adapter/peer.h"
#include "support/peer_sample.h"

#include <stdio.h>

/* Writes one file for each verb into the folder named, as first inputs. */
int
main (int argc, char **argv)
{
  for (int verb = 0; argc == 2 && verb < MUX_PEER_VERB_COUNT; verb++)
    {
      MuxPeerMsg msg;
      char path[4096];
      MuxBlob *blob;
      FILE *file;

      peer_sample ((MuxPeerVerb) verb, &msg);
      blob = mux_peer_encode (&msg);
      snprintf (path, sizeof path, "%s/%s", argv[1],
                mux_peer_verb_name ((MuxPeerVerb) verb));
      file = blob != NULL ? fopen (path, "wb") : NULL;
      if (file == NULL || fwrite (blob->bytes, blob->len, 1, file) != 1
          || fclose (file) != 0)
        return 1;
      mux_blob_unref (blob);
      mux_blob_unref (msg.body);
    }
  return argc == 2 ? 0 : 2;
}
