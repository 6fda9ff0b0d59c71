#include "platform_private.h"

#include <msgpack.h>
#include <stdio.h>
#include <string.h>

/* What a transaction does with a row; the numbers are part of the protocol. */
typedef enum
{
  ACTION_CHECK,
  ACTION_PUT,
  ACTION_DELETE,
} Action;

#define TXN_ROW_FIELDS 4
#define SCAN_FIELDS 3

static int
pack_write (void *data, const char *bytes, size_t len)
{
  return mux_bytes_add (data, bytes, len) ? 0 : -1;
}

static int
pack_key (msgpack_packer *out, const char *key)
{
  return msgpack_pack_str_with_body (out, key, strlen (key));
}

static Action
row_action (const MuxRow *row)
{
  if (row->check_only)
    return ACTION_CHECK;
  return row->value != NULL ? ACTION_PUT : ACTION_DELETE;
}

static int
pack_txn_row (msgpack_packer *out, const MuxRow *row)
{
  Action action = row_action (row);
  int failed = msgpack_pack_array (out, TXN_ROW_FIELDS);

  failed |= pack_key (out, row->key);
  if (row->rev == MUX_REV_ANY)
    failed |= msgpack_pack_nil (out);
  else
    failed |= msgpack_pack_uint64 (out, row->rev);
  failed |= msgpack_pack_uint8 (out, (uint8_t) action);
  if (action == ACTION_PUT)
    failed
        |= msgpack_pack_bin_with_body (out, row->value->bytes, row->value->len);
  else
    failed |= msgpack_pack_nil (out);
  return failed;
}

static int
pack_scan (msgpack_packer *out, const MuxTableCall *call)
{
  int failed = msgpack_pack_array (out, SCAN_FIELDS);

  failed |= pack_key (out, call->rows[0].key);
  failed |= pack_key (out, call->row_count > 1 ? call->rows[1].key : "");
  failed |= msgpack_pack_uint32 (out, call->limit);
  return failed;
}

static int
pack_rows (msgpack_packer *out, const MuxTableCall *call)
{
  int failed = msgpack_pack_array (out, call->row_count);

  for (uint32_t i = 0; i < call->row_count; i++)
    if (call->verb == MUX_TABLE_TXN)
      failed |= pack_txn_row (out, &call->rows[i]);
    else
      failed |= pack_key (out, call->rows[i].key);
  return failed;
}

static bool
encode_rows (const MuxTableCall *call,
             const char *path,
             MuxBytes *storage,
             PlatformRequest *request)
{
  msgpack_packer out;
  int failed;

  mux_bytes_clear (storage, PLATFORM_BUFFER_KEEP_MAX_BYTES);
  msgpack_packer_init (&out, storage, pack_write);
  failed = call->verb == MUX_TABLE_SCAN ? pack_scan (&out, call)
                                        : pack_rows (&out, call);
  request->method = "POST";
  snprintf (request->path, sizeof request->path, "%s", path);
  request->body = storage->bytes;
  request->body_len = storage->len;
  return failed == 0;
}

/* The name is a query parameter since it may contain '/'. */
static bool
encode_object (const MuxTableCall *call, PlatformRequest *request)
{
  const MuxRow *row = &call->rows[0];
  char *name = curl_easy_escape (NULL, row->key, 0);

  if (name == NULL)
    return false;
  snprintf (request->path, sizeof request->path, "/v1/object?name=%s", name);
  curl_free (name);
  if (call->verb == MUX_TABLE_OBJECT_GET)
    request->method = "GET";
  else if (row->value == NULL)
    request->method = "DELETE";
  else
    {
      request->method = "PUT";
      request->body = row->value->bytes;
      request->body_len = row->value->len;
    }
  return true;
}

bool
mux_platform_encode (const MuxTableCall *call,
                     MuxBytes *storage,
                     PlatformRequest *request)
{
  memset (request, 0, sizeof *request);
  switch (call->verb)
    {
    case MUX_TABLE_TXN:
      return encode_rows (call, "/v1/table/txn", storage, request);
    case MUX_TABLE_GET:
      return encode_rows (call, "/v1/table/get", storage, request);
    case MUX_TABLE_SCAN:
      return encode_rows (call, "/v1/table/scan", storage, request);
    case MUX_TABLE_OBJECT_PUT:
    case MUX_TABLE_OBJECT_GET:
      return encode_object (call, request);
    }
  return false;
}

bool
mux_platform_is_write (const MuxTableCall *call)
{
  return call->verb == MUX_TABLE_TXN || call->verb == MUX_TABLE_OBJECT_PUT;
}
