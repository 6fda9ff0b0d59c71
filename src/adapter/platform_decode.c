#include "platform_private.h"

#include <msgpack.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_TOO_LARGE 413
#define STATUS_UNAVAILABLE 503
#define ROW_FIELDS 3

static bool
read_row (const msgpack_object *object, MuxRow *row)
{
  const msgpack_object *field = object->via.array.ptr;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != ROW_FIELDS
      || field[0].type != MSGPACK_OBJECT_STR
      || field[0].via.str.size >= MUX_ROW_KEY_LEN
      || field[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  memcpy (row->key, field[0].via.str.ptr, field[0].via.str.size);
  row->rev = field[1].via.u64;
  if (field[2].type == MSGPACK_OBJECT_NIL)
    return true;
  if (field[2].type != MSGPACK_OBJECT_BIN)
    return false;
  row->value = mux_blob_new (field[2].via.bin.ptr, field[2].via.bin.size);
  return row->value != NULL;
}

/* Return: NULL when @object is not a list of rows, or when out of memory. */
static MuxTableReply *
read_rows (const MuxTableCall *call,
           MuxTableStatus status,
           const msgpack_object *object)
{
  const msgpack_object_array *array = &object->via.array;
  MuxTableReply *reply;

  if (object->type != MSGPACK_OBJECT_ARRAY || array->size > MUX_ROWS_MAX)
    return NULL;
  reply = mux_table_reply_new (call, status, array->size);
  if (reply == NULL)
    return NULL;
  for (uint32_t i = 0; i < array->size; i++)
    if (!read_row (&array->ptr[i], &reply->rows[i]))
      {
        mux_table_reply_free (reply);
        return NULL;
      }
  return reply;
}

static MuxTableReply *
read_txn (const MuxTableCall *call, const msgpack_object *object)
{
  MuxTableReply *reply;

  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return NULL;
  reply = mux_table_reply_new (call, MUX_TABLE_OK, 0);
  if (reply != NULL)
    reply->rev = object->via.u64;
  return reply;
}

static MuxTableReply *
read_get (const MuxTableCall *call, const msgpack_object *object)
{
  MuxTableReply *reply = read_rows (call, MUX_TABLE_OK, object);

  if (reply != NULL && reply->row_count != call->row_count)
    {
      mux_table_reply_free (reply);
      return NULL;
    }
  return reply;
}

static MuxTableReply *
read_scan (const MuxTableCall *call, const msgpack_object *object)
{
  const msgpack_object *field = object->via.array.ptr;
  MuxTableReply *reply;

  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size != 2
      || field[0].type != MSGPACK_OBJECT_BOOLEAN)
    return NULL;
  reply = read_rows (call, MUX_TABLE_OK, &field[1]);
  if (reply != NULL)
    reply->more = field[0].via.boolean;
  return reply;
}

static MuxTableReply *
read_packed (const MuxTableCall *call, const PlatformResponse *response)
{
  MuxTableReply *reply = NULL;
  msgpack_unpacked unpacked;
  size_t at = 0;

  msgpack_unpacked_init (&unpacked);
  if (response->body->len > 0
      && msgpack_unpack_next (&unpacked, response->body->bytes,
                              response->body->len, &at)
             == MSGPACK_UNPACK_SUCCESS
      && at == response->body->len)
    {
      if (response->status == STATUS_CONFLICT)
        reply = read_rows (call, MUX_TABLE_CONFLICT, &unpacked.data);
      else if (call->verb == MUX_TABLE_TXN)
        reply = read_txn (call, &unpacked.data);
      else if (call->verb == MUX_TABLE_GET)
        reply = read_get (call, &unpacked.data);
      else
        reply = read_scan (call, &unpacked.data);
    }
  msgpack_unpacked_destroy (&unpacked);
  return reply;
}

static MuxTableReply *
read_object_put (const MuxTableCall *call, const PlatformResponse *response)
{
  MuxTableReply *reply = mux_table_reply_new (call, MUX_TABLE_OK, 0);

  if (reply != NULL)
    reply->rev = response->rev;
  return reply;
}

static MuxTableReply *
read_object (const MuxTableCall *call, const PlatformResponse *response)
{
  MuxTableReply *reply = mux_table_reply_new (call, MUX_TABLE_OK, 1);
  MuxRow *row;

  if (reply == NULL)
    return NULL;
  row = &reply->rows[0];
  memcpy (row->key, call->rows[0].key, sizeof row->key);
  if (response->status == STATUS_NOT_FOUND)
    return reply;
  row->rev = response->rev;
  row->value = mux_blob_new (response->body->bytes, response->body->len);
  if (row->value != NULL)
    return reply;
  mux_table_reply_free (reply);
  return NULL;
}

/* A 200 for an object without a revision is not from the object store.
 * Return: NULL when the response is malformed, or when out of memory. */
static MuxTableReply *
read_response (const MuxTableCall *call, const PlatformResponse *response)
{
  bool packed = call->verb == MUX_TABLE_TXN || call->verb == MUX_TABLE_GET
                || call->verb == MUX_TABLE_SCAN;

  if (response->status == STATUS_BAD_REQUEST
      || response->status == STATUS_TOO_LARGE)
    return mux_table_reply_new (call, MUX_TABLE_BAD_REQUEST, 0);
  if (response->status == STATUS_UNAVAILABLE && response->no_effect)
    return mux_table_reply_new (call, MUX_TABLE_DOWN, 0);
  if (packed
      && (response->status == STATUS_OK
          || (response->status == STATUS_CONFLICT
              && call->verb == MUX_TABLE_TXN)))
    return read_packed (call, response);
  if (call->verb == MUX_TABLE_OBJECT_PUT && response->status == STATUS_OK
      && response->has_rev)
    return read_object_put (call, response);
  if (call->verb == MUX_TABLE_OBJECT_GET
      && ((response->status == STATUS_OK && response->has_rev)
          || response->status == STATUS_NOT_FOUND))
    return read_object (call, response);
  return NULL;
}

MuxTableReply *
mux_platform_decode (const MuxTableCall *call,
                     PlatformExchangeResult result,
                     const PlatformResponse *response)
{
  MuxTableStatus status = MUX_TABLE_DOWN;
  MuxTableReply *reply = NULL;

  if (result == PLATFORM_ANSWERED)
    reply = read_response (call, response);
  if (reply != NULL)
    return reply;
  if (result != PLATFORM_NOT_SENT && mux_platform_is_write (call))
    status = MUX_TABLE_UNKNOWN;
  return mux_table_reply_new (call, status, 0);
}
