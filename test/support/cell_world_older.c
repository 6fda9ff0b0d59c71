#include "support/cell_world_private.h"

#include <stdlib.h>
#include <string.h>

/* What a daemon of a version without the need of planning sends. */

/* Return: the blob without the need; @blob, whose reference is taken over, if
 * it has none. */
static MuxBlob *
without_need (MuxBlob *blob)
{
  json_t *json
      = blob != NULL ? json_loadb (blob->bytes, blob->len, 0, NULL) : NULL;
  char *text;

  if (json_object_get (json, "need") == NULL)
    {
      json_decref (json);
      return blob;
    }
  (void) json_object_del (json, "need");
  text = json_dumps (json, JSON_COMPACT);
  mux_blob_unref (blob);
  blob = mux_blob_new (text, strlen (text));
  free (text);
  json_decref (json);
  return blob;
}

void
world_older_message (MuxPeerMsg *msg)
{
  if (msg->verb == MUX_PEER_HELLO)
    {
      msg->late_ms = 0;
      msg->loop_ms = 0;
      msg->link_kbps = 0;
      msg->memory_mib = 0;
    }
  if (msg->verb == MUX_PEER_HELLO_REPLY)
    msg->body = without_need (msg->body);
}

void
world_older_commit (MuxCellCall *call)
{
  if (call->verb != MUX_CELL_COMMIT)
    return;
  for (uint32_t i = 0; i < call->change_count; i++)
    if (call->change[i].table == MUX_TABLE_CLAIM
        && strcmp (call->change[i].key, "beat") == 0
        && call->change[i].kind == MUX_CHANGE_PUT)
      call->change[i].value = without_need (call->change[i].value);
}
