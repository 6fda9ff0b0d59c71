#include "adapter/peer.h"
#include "peer_addr.h"
#include "peer_fields.h"
#include "port/worker.h"

#include <msgpack.h>
#include <string.h>

typedef struct
{
  const char *bytes;
  size_t len;
  size_t pos;
  msgpack_zone zone;
  MuxError *err;
} Reader;

static bool
fail (const Reader *reader, const char *what, const char *why)
{
  return mux_error_set (reader->err, MUX_ERROR_PROTOCOL, "peer message: %s %s",
                        what, why);
}

/* Messages hold no nested array, map or extension.  These are refused by their
 * first byte, because the library allocates memory for the number of entries
 * that their header gives before it reads any. */
static bool
byte_is_flat (unsigned char byte)
{
  bool fixed_map_or_array = byte >= 0x80 && byte <= 0x9f;
  bool extension = byte >= 0xc7 && byte <= 0xc9;
  bool fixed_extension = byte >= 0xd4 && byte <= 0xd8;
  bool array_or_map = byte >= 0xdc && byte <= 0xdf;

  return !fixed_map_or_array && !extension && !fixed_extension && !array_or_map;
}

/* Entries are unpacked one at a time, because the library allocates for a whole
 * array by the length in its header. */
static bool
read_entry (Reader *reader, const char *name, msgpack_object *entry)
{
  msgpack_unpack_return rc;

  *entry = (msgpack_object){ .type = MSGPACK_OBJECT_NIL };
  if (reader->pos >= reader->len)
    return fail (reader, name, "is missing");
  if (!byte_is_flat ((unsigned char) reader->bytes[reader->pos]))
    return fail (reader, name, "has the wrong type");
  rc = msgpack_unpack (reader->bytes, reader->len, &reader->pos, &reader->zone,
                       entry);
  if (rc != MSGPACK_UNPACK_SUCCESS && rc != MSGPACK_UNPACK_EXTRA_BYTES)
    return fail (reader, name, "is truncated or malformed");
  return true;
}

static bool
read_unsigned (Reader *reader, const char *name, uint64_t max, uint64_t *value)
{
  msgpack_object entry;

  if (!read_entry (reader, name, &entry))
    return false;
  if (entry.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return fail (reader, name, "has the wrong type");
  if (entry.via.u64 > max)
    return fail (reader, name, "is out of range");
  *value = entry.via.u64;
  return true;
}

static bool
read_u32 (Reader *reader, const char *name, uint64_t max, uint32_t *value)
{
  uint64_t wide = 0;

  if (!read_unsigned (reader, name, max, &wide))
    return false;
  *value = (uint32_t) wide;
  return true;
}

static bool
read_i64 (Reader *reader, const char *name, int64_t *value)
{
  msgpack_object entry;

  if (!read_entry (reader, name, &entry))
    return false;
  if (entry.type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    {
      *value = entry.via.i64;
      return true;
    }
  if (entry.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return fail (reader, name, "has the wrong type");
  if (entry.via.u64 > INT64_MAX)
    return fail (reader, name, "is out of range");
  *value = (int64_t) entry.via.u64;
  return true;
}

static bool
read_bool (Reader *reader, const char *name, bool *value)
{
  msgpack_object entry;

  if (!read_entry (reader, name, &entry))
    return false;
  if (entry.type != MSGPACK_OBJECT_BOOLEAN)
    return fail (reader, name, "has the wrong type");
  *value = entry.via.boolean;
  return true;
}

/* Copies a string that holds no NUL and, with its terminating NUL, fits @cap.
 */
static bool
read_text (Reader *reader, const char *name, char *out, size_t cap)
{
  msgpack_object entry;
  size_t len;

  if (!read_entry (reader, name, &entry))
    return false;
  if (entry.type != MSGPACK_OBJECT_STR)
    return fail (reader, name, "has the wrong type");
  len = entry.via.str.size;
  if (len >= cap)
    return fail (reader, name, "is too long");
  if (len > 0 && memchr (entry.via.str.ptr, 0, len) != NULL)
    return fail (reader, name, "contains a NUL");
  if (len > 0)
    memcpy (out, entry.via.str.ptr, len);
  out[len] = 0;
  return true;
}

static bool
read_name (Reader *reader, const MuxPeerField *field, char *out)
{
  if (!read_text (reader, field->name, out, MUX_NAME_LEN))
    return false;
  if (out[0] == 0 && field->kind == MUX_FIELD_NAME_OR_NONE)
    return true;
  if (!mux_name_valid (out))
    return fail (reader, field->name, "is not a valid name");
  return true;
}

static bool
read_addr (Reader *reader, const MuxPeerField *field, char *out)
{
  if (!read_text (reader, field->name, out, MUX_ADDR_LEN))
    return false;
  if (!mux_peer_addr_valid (out, 1))
    return fail (reader, field->name, "is not a valid address");
  return true;
}

static bool
read_id (Reader *reader, const MuxPeerField *field, MuxId *id)
{
  msgpack_object entry;
  const unsigned char *bytes;

  if (!read_entry (reader, field->name, &entry))
    return false;
  if (entry.type == MSGPACK_OBJECT_NIL && field->kind == MUX_FIELD_ID_OR_NONE)
    return true;
  if (entry.type != MSGPACK_OBJECT_BIN)
    return fail (reader, field->name, "has the wrong type");
  if (entry.via.bin.size != MUX_PEER_ID_BYTES)
    return fail (reader, field->name, "has the wrong length");
  bytes = (const unsigned char *) entry.via.bin.ptr;
  for (int i = 0; i < 8; i++)
    {
      id->hi = id->hi << 8 | bytes[i];
      id->lo = id->lo << 8 | bytes[8 + i];
    }
  if (mux_id_is_none (*id))
    return fail (reader, field->name, "is not a valid id");
  return true;
}

static bool
read_size (Reader *reader, const char *name, MuxSize *size)
{
  return read_u32 (reader, name, UINT32_MAX, &size->cpu_milli)
         && read_u32 (reader, name, UINT32_MAX, &size->mem_mib)
         && read_u32 (reader, name, UINT32_MAX, &size->accels)
         && read_u32 (reader, name, UINT32_MAX, &size->slots);
}

static bool
read_reason (Reader *reader, const char *name, MuxReason *reason)
{
  uint32_t value = 0;

  if (!read_u32 (reader, name, MUX_REASON_COUNT - 1, &value))
    return false;
  *reason = (MuxReason) value;
  return true;
}

static bool
read_body (Reader *reader, const char *name, MuxBlob **body)
{
  msgpack_object entry;

  if (!read_entry (reader, name, &entry))
    return false;
  if (entry.type == MSGPACK_OBJECT_NIL)
    return true;
  if (entry.type != MSGPACK_OBJECT_BIN)
    return fail (reader, name, "has the wrong type");
  if (entry.via.bin.size > MUX_PEER_BODY_MAX)
    return fail (reader, name, "is too long");
  *body = mux_blob_new (entry.via.bin.ptr, entry.via.bin.size);
  if (*body == NULL)
    return mux_error_set (reader->err, MUX_ERROR_MEMORY, "out of memory");
  return true;
}

static bool
read_field (Reader *reader, const MuxPeerField *field, MuxPeerMsg *msg)
{
  void *at = (char *) msg + field->offset;

  switch (field->kind)
    {
    case MUX_FIELD_NAME:
    case MUX_FIELD_NAME_OR_NONE:
      return read_name (reader, field, at);
    case MUX_FIELD_ADDR:
      return read_addr (reader, field, at);
    case MUX_FIELD_BOOL:
      return read_bool (reader, field->name, at);
    case MUX_FIELD_U32:
      return read_u32 (reader, field->name, UINT32_MAX, at);
    case MUX_FIELD_U64:
      return read_unsigned (reader, field->name, UINT64_MAX, at);
    case MUX_FIELD_I64:
      return read_i64 (reader, field->name, at);
    case MUX_FIELD_ID:
    case MUX_FIELD_ID_OR_NONE:
      return read_id (reader, field, at);
    case MUX_FIELD_SIZE:
      return read_size (reader, field->name, at);
    case MUX_FIELD_REASON:
      return read_reason (reader, field->name, at);
    case MUX_FIELD_STATE:
      return read_u32 (reader, field->name, MUX_TASK_DONE_GONE, at);
    case MUX_FIELD_BODY:
      return read_body (reader, field->name, at);
    }
  return false;
}

static bool
read_list (Reader *reader, const MuxPeerFieldList *list, MuxPeerMsg *msg)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (!read_field (reader, &list->fields[i], msg))
      return false;
  return true;
}

/* Header of the message's array: 1 byte for up to 15 entries, else 3 bytes. */
static bool
read_array_header (Reader *reader, uint32_t *entries)
{
  const unsigned char *p = (const unsigned char *) reader->bytes;

  if (reader->len >= 1 && (p[0] & 0xf0) == 0x90)
    {
      *entries = p[0] & 0x0f;
      reader->pos = 1;
      return true;
    }
  if (reader->len >= 3 && p[0] == 0xdc)
    {
      *entries = (uint32_t) p[1] << 8 | p[2];
      reader->pos = 3;
      return true;
    }
  return fail (reader, "head", "is not an array");
}

static bool
read_msg (Reader *reader, MuxPeerMsg *msg)
{
  MuxPeerFieldList list;
  uint32_t entries = 0;
  uint32_t verb = 0;
  uint64_t version = 0;

  if (!read_array_header (reader, &entries))
    return false;
  if (!read_unsigned (reader, "version", UINT64_MAX, &version))
    return false;
  if (version != MUX_PEER_VERSION)
    return fail (reader, "version", "is not supported");
  if (!read_u32 (reader, "verb", MUX_PEER_VERB_COUNT - 1, &verb))
    return false;
  msg->verb = (MuxPeerVerb) verb;
  list = mux_peer_verb_fields[verb];
  if (entries + list.optional == mux_peer_entry_count (msg->verb))
    list = mux_peer_without_optional (&list);
  else if (entries != mux_peer_entry_count (msg->verb))
    return fail (reader, "head", "has the wrong length");
  if (!read_list (reader, &mux_peer_common_fields, msg)
      || !read_list (reader, &list, msg))
    return false;
  if (reader->pos != reader->len)
    return fail (reader, "end", "is followed by more bytes");
  return true;
}

bool
mux_peer_decode (const void *bytes, size_t len, MuxPeerMsg *msg, MuxError *err)
{
  Reader reader = { .bytes = bytes, .len = len, .err = err };
  bool ok;

  memset (msg, 0, sizeof *msg);
  if (len > MUX_PEER_MSG_MAX)
    return fail (&reader, "it", "is too long");
  if (!msgpack_zone_init (&reader.zone, 64))
    return mux_error_set (err, MUX_ERROR_MEMORY, "out of memory");
  ok = read_msg (&reader, msg);
  msgpack_zone_destroy (&reader.zone);
  if (!ok)
    {
      mux_blob_unref (msg->body);
      msg->body = NULL;
    }
  return ok;
}
