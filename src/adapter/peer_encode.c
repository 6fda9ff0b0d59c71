#include "adapter/peer.h"
#include "peer_fields.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  char *bytes;
  size_t cap;
  size_t len;
} Writer;

static int
writer_add (void *data, const char *bytes, size_t len)
{
  Writer *writer = data;

  if (len > writer->cap - writer->len)
    return -1;
  memcpy (writer->bytes + writer->len, bytes, len);
  writer->len += len;
  return 0;
}

static int
pack_text (msgpack_packer *pk, const char *text, size_t cap)
{
  return msgpack_pack_str_with_body (pk, text, strnlen (text, cap - 1));
}

static int
pack_id (msgpack_packer *pk, MuxId id)
{
  unsigned char bytes[MUX_PEER_ID_BYTES];

  if (mux_id_is_none (id))
    return msgpack_pack_nil (pk);
  for (int i = 0; i < 8; i++)
    {
      bytes[i] = (unsigned char) (id.hi >> (56 - 8 * i));
      bytes[8 + i] = (unsigned char) (id.lo >> (56 - 8 * i));
    }
  return msgpack_pack_bin_with_body (pk, bytes, sizeof bytes);
}

static int
pack_size (msgpack_packer *pk, const MuxSize *size)
{
  int failed = msgpack_pack_uint32 (pk, size->cpu_milli);

  failed |= msgpack_pack_uint32 (pk, size->mem_mib);
  failed |= msgpack_pack_uint32 (pk, size->accels);
  failed |= msgpack_pack_uint32 (pk, size->slots);
  return failed;
}

static int
pack_body (msgpack_packer *pk, const MuxBlob *body)
{
  if (body == NULL)
    return msgpack_pack_nil (pk);
  return msgpack_pack_bin_with_body (pk, body->bytes, body->len);
}

static int
pack_field (msgpack_packer *pk,
            const MuxPeerMsg *msg,
            const MuxPeerField *field)
{
  const void *at = (const char *) msg + field->offset;

  switch (field->kind)
    {
    case MUX_FIELD_NAME:
    case MUX_FIELD_NAME_OR_NONE:
      return pack_text (pk, at, MUX_NAME_LEN);
    case MUX_FIELD_ADDR:
      return pack_text (pk, at, MUX_ADDR_LEN);
    case MUX_FIELD_BOOL:
      return *(const bool *) at ? msgpack_pack_true (pk)
                                : msgpack_pack_false (pk);
    case MUX_FIELD_U32:
    case MUX_FIELD_STATE:
      return msgpack_pack_uint32 (pk, *(const uint32_t *) at);
    case MUX_FIELD_REASON:
      return msgpack_pack_uint32 (pk, (uint32_t) * (const MuxReason *) at);
    case MUX_FIELD_U64:
      return msgpack_pack_uint64 (pk, *(const uint64_t *) at);
    case MUX_FIELD_I64:
      return msgpack_pack_int64 (pk, *(const int64_t *) at);
    case MUX_FIELD_ID:
    case MUX_FIELD_ID_OR_NONE:
      return pack_id (pk, *(const MuxId *) at);
    case MUX_FIELD_SIZE:
      return pack_size (pk, at);
    case MUX_FIELD_BODY:
      return pack_body (pk, *(MuxBlob *const *) at);
    }
  return -1;
}

static int
pack_list (msgpack_packer *pk,
           const MuxPeerMsg *msg,
           const MuxPeerFieldList *list)
{
  int failed = 0;

  for (uint32_t i = 0; i < list->count && failed == 0; i++)
    failed = pack_field (pk, msg, &list->fields[i]);
  return failed;
}

static bool
has_optional (const MuxPeerMsg *msg, const MuxPeerFieldList *list)
{
  for (uint32_t i = list->count - list->optional; i < list->count; i++)
    if (*(const uint32_t *) (const void *) ((const char *) msg
                                            + list->fields[i].offset)
        != 0)
      return true;
  return false;
}

static bool
write_msg (Writer *writer, const MuxPeerMsg *msg)
{
  MuxPeerFieldList list = mux_peer_verb_fields[msg->verb];
  uint32_t entries = mux_peer_entry_count (msg->verb);
  msgpack_packer pk;
  int failed;

  if (!has_optional (msg, &list))
    {
      entries -= list.optional;
      list = mux_peer_without_optional (&list);
    }
  msgpack_packer_init (&pk, writer, writer_add);
  failed = msgpack_pack_array (&pk, entries);
  failed |= msgpack_pack_uint32 (&pk, MUX_PEER_VERSION);
  failed |= msgpack_pack_uint32 (&pk, (uint32_t) msg->verb);
  failed |= pack_list (&pk, msg, &mux_peer_common_fields);
  failed |= pack_list (&pk, msg, &list);
  return failed == 0;
}

static bool
verb_has_body (MuxPeerVerb verb)
{
  const MuxPeerFieldList *list = &mux_peer_verb_fields[verb];

  for (uint32_t i = 0; i < list->count; i++)
    if (list->fields[i].kind == MUX_FIELD_BODY)
      return true;
  return false;
}

MuxBlob *
mux_peer_encode (const MuxPeerMsg *msg)
{
  char fixed[MUX_PEER_FIELDS_MAX_BYTES];
  Writer writer = { fixed, sizeof fixed, 0 };
  MuxBlob *blob = NULL;

  if ((uint32_t) msg->verb >= MUX_PEER_VERB_COUNT)
    return NULL;
  if (msg->body != NULL && verb_has_body (msg->verb))
    {
      if (msg->body->len > MUX_PEER_BODY_MAX)
        return NULL;
      writer.cap = MUX_PEER_FIELDS_MAX_BYTES + msg->body->len;
      writer.bytes = malloc (writer.cap);
      if (writer.bytes == NULL)
        return NULL;
    }
  if (write_msg (&writer, msg))
    blob = mux_blob_new (writer.bytes, writer.len);
  if (writer.bytes != fixed)
    free (writer.bytes);
  return blob;
}
