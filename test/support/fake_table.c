#include "support/fake_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_PREFIX "object:"

const MuxRow *
fake_table_from (const FakeTable *table, const char *key)
{
  return table->rows != NULL ? standin_platform_rows_from (table->rows, key)
                             : NULL;
}

const MuxRow *
fake_table_find (const FakeTable *table, const char *key)
{
  const MuxRow *row = fake_table_from (table, key);

  return row != NULL && strcmp (row->key, key) == 0 ? row : NULL;
}

static void
put_row (FakeTable *table, const char *key, MuxBlob *value)
{
  if (table->rows == NULL)
    table->rows = standin_platform_rows_new ();
  if (table->rows == NULL)
    abort ();
  if (value == NULL)
    standin_platform_rows_remove (table->rows, key);
  else if (!standin_platform_rows_put (table->rows, key, table->rev, value))
    abort ();
}

void
fake_table_clear (FakeTable *table)
{
  standin_platform_rows_free (table->rows);
  *table = (FakeTable){ 0 };
}

static void
copy_row (MuxRow *out, const char *key, const MuxRow *found)
{
  snprintf (out->key, sizeof out->key, "%s", key);
  out->rev = found != NULL ? found->rev : MUX_REV_ABSENT;
  out->value = found != NULL ? mux_blob_ref (found->value) : NULL;
}

static bool
condition_holds (const FakeTable *table, const MuxRow *row)
{
  const MuxRow *found = fake_table_find (table, row->key);

  return row->rev == MUX_REV_ANY
         || row->rev == (found != NULL ? found->rev : MUX_REV_ABSENT);
}

static MuxTableReply *
conflict (const FakeTable *table, const MuxTableCall *call)
{
  MuxTableReply *reply
      = mux_table_reply_new (call, MUX_TABLE_CONFLICT, call->row_count);

  reply->row_count = 0;
  for (uint32_t i = 0; i < call->row_count; i++)
    if (!condition_holds (table, &call->rows[i]))
      copy_row (&reply->rows[reply->row_count++], call->rows[i].key,
                fake_table_find (table, call->rows[i].key));
  return reply;
}

static MuxTableReply *
transact (FakeTable *table, const MuxTableCall *call)
{
  MuxTableReply *reply;

  for (uint32_t i = 0; i < call->row_count && !table->ignore_conditions; i++)
    if (!condition_holds (table, &call->rows[i]))
      return conflict (table, call);
  table->rev++;
  for (uint32_t i = 0; i < call->row_count; i++)
    if (!call->rows[i].check_only)
      put_row (table, call->rows[i].key, call->rows[i].value);
  reply = mux_table_reply_new (call, MUX_TABLE_OK, 0);
  reply->rev = table->rev;
  return reply;
}

static MuxTableReply *
get (const FakeTable *table, const MuxTableCall *call, const char *prefix)
{
  MuxTableReply *reply
      = mux_table_reply_new (call, MUX_TABLE_OK, call->row_count);
  char key[sizeof OBJECT_PREFIX + MUX_ROW_KEY_LEN];

  for (uint32_t i = 0; i < call->row_count; i++)
    {
      snprintf (key, sizeof key, "%s%s", prefix, call->rows[i].key);
      copy_row (&reply->rows[i], call->rows[i].key,
                fake_table_find (table, key));
    }
  return reply;
}

static MuxTableReply *
scan (const FakeTable *table, const MuxTableCall *call)
{
  MuxTableReply *reply = mux_table_reply_new (call, MUX_TABLE_OK, call->limit);
  const char *prefix = call->rows[0].key;
  const char *after = call->rows[1].key;
  const MuxRow *row = fake_table_from (table, *after != 0 ? after : prefix);

  reply->row_count = 0;
  for (; row != NULL; row = standin_platform_rows_next (row))
    {
      if (strcmp (row->key, after) == 0)
        continue;
      if (strncmp (row->key, prefix, strlen (prefix)) != 0)
        break;
      reply->more = reply->row_count == call->limit;
      if (reply->more)
        break;
      copy_row (&reply->rows[reply->row_count++], row->key, row);
    }
  return reply;
}

static MuxTableReply *
put_object (FakeTable *table, const MuxTableCall *call)
{
  char key[sizeof OBJECT_PREFIX + MUX_ROW_KEY_LEN];

  snprintf (key, sizeof key, OBJECT_PREFIX "%s", call->rows[0].key);
  table->rev++;
  put_row (table, key, call->rows[0].value);
  return mux_table_reply_new (call, MUX_TABLE_OK, 0);
}

MuxTableReply *
fake_table_call (FakeTable *table, const MuxTableCall *call)
{
  if (table->down)
    return mux_table_reply_new (call, MUX_TABLE_DOWN, 0);
  table->calls++;
  switch (call->verb)
    {
    case MUX_TABLE_TXN:
      return transact (table, call);
    case MUX_TABLE_GET:
      return get (table, call, "");
    case MUX_TABLE_SCAN:
      return scan (table, call);
    case MUX_TABLE_OBJECT_PUT:
      return put_object (table, call);
    default:
      return get (table, call, OBJECT_PREFIX);
    }
}
