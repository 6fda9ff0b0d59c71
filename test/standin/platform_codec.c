#include "standin/platform_codec.h"

#include <string.h>

/* Actions of a transaction on a row, as encoded on the wire. */
enum
{
  ACTION_CHECK,
  ACTION_PUT,
  ACTION_DELETE,
};

#define TXN_ROW_FIELDS 4
#define SCAN_FIELDS 3

/* Return: the body's array; NULL if the body is not exactly one array. */
static const msgpack_object_array *
unpack_array (msgpack_unpacked *unpacked, const void *bytes, size_t len)
{
  size_t at = 0;

  msgpack_unpacked_init (unpacked);
  if (bytes == NULL
      || msgpack_unpack_next (unpacked, bytes, len, &at)
             != MSGPACK_UNPACK_SUCCESS
      || at != len || unpacked->data.type != MSGPACK_OBJECT_ARRAY)
    return NULL;
  return &unpacked->data.via.array;
}

static bool
read_key (const msgpack_object *object, char key[MUX_ROW_KEY_LEN])
{
  if (object->type != MSGPACK_OBJECT_STR
      || object->via.str.size >= MUX_ROW_KEY_LEN
      || memchr (object->via.str.ptr, 0, object->via.str.size) != NULL)
    return false;
  memcpy (key, object->via.str.ptr, object->via.str.size);
  key[object->via.str.size] = 0;
  return true;
}

static bool
read_condition (const msgpack_object *object, uint64_t *rev)
{
  *rev = MUX_REV_ANY;
  if (object->type == MSGPACK_OBJECT_NIL)
    return true;
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *rev = object->via.u64;
  return *rev != MUX_REV_ANY;
}

static bool
read_txn_row (const msgpack_object *object, MuxRow *row)
{
  const msgpack_object *field = object->via.array.ptr;
  uint64_t action;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != TXN_ROW_FIELDS
      || !read_key (&field[0], row->key)
      || !read_condition (&field[1], &row->rev)
      || field[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  action = field[2].via.u64;
  row->check_only = action == ACTION_CHECK;
  if (action != ACTION_PUT)
    return action <= ACTION_DELETE && field[3].type == MSGPACK_OBJECT_NIL;
  if (field[3].type != MSGPACK_OBJECT_BIN)
    return false;
  row->value = mux_blob_new (field[3].via.bin.ptr, field[3].via.bin.size);
  return row->value != NULL;
}

static bool
read_key_row (const msgpack_object *object, MuxRow *row)
{
  return read_key (object, row->key);
}

static bool
read_rows (const void *bytes,
           size_t len,
           bool (*read_row) (const msgpack_object *object, MuxRow *row),
           StandinRowSet *rows)
{
  const msgpack_object_array *array;
  msgpack_unpacked unpacked;
  bool good;

  memset (rows, 0, sizeof *rows);
  array = unpack_array (&unpacked, bytes, len);
  good = array != NULL && array->size > 0 && array->size <= MUX_ROWS_MAX;
  while (good && rows->count < array->size)
    {
      good = read_row (&array->ptr[rows->count], &rows->row[rows->count]);
      rows->count++;
    }
  msgpack_unpacked_destroy (&unpacked);
  return good;
}

bool
standin_platform_read_txn (const void *bytes, size_t len, StandinRowSet *rows)
{
  return read_rows (bytes, len, read_txn_row, rows);
}

bool
standin_platform_read_keys (const void *bytes, size_t len, StandinRowSet *rows)
{
  return read_rows (bytes, len, read_key_row, rows);
}

bool
standin_platform_read_scan (const void *bytes, size_t len, StandinScan *scan)
{
  const msgpack_object_array *array;
  msgpack_unpacked unpacked;
  bool good;

  array = unpack_array (&unpacked, bytes, len);
  good = array != NULL && array->size == SCAN_FIELDS
         && read_key (&array->ptr[0], scan->prefix)
         && read_key (&array->ptr[1], scan->after)
         && array->ptr[2].type == MSGPACK_OBJECT_POSITIVE_INTEGER
         && array->ptr[2].via.u64 > 0 && array->ptr[2].via.u64 <= MUX_ROWS_MAX;
  if (good)
    scan->limit = (uint32_t) array->ptr[2].via.u64;
  msgpack_unpacked_destroy (&unpacked);
  return good;
}

void
standin_platform_write_rows (msgpack_packer *out, const StandinRowSet *rows)
{
  msgpack_pack_array (out, rows->count);
  for (uint32_t i = 0; i < rows->count; i++)
    {
      const MuxRow *row = &rows->row[i];

      msgpack_pack_array (out, 3);
      msgpack_pack_str_with_body (out, row->key, strlen (row->key));
      msgpack_pack_uint64 (out, row->rev);
      if (row->value != NULL)
        msgpack_pack_bin_with_body (out, row->value->bytes, row->value->len);
      else
        msgpack_pack_nil (out);
    }
}
