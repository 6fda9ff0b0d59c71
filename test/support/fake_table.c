#include "support/fake_table.h"

#include "support/fake_sink.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OBJECT_PREFIX "object:"

/* Index of the first row with a key of at least @key. */
static uint32_t
lower_bound (const FakeTable *table, const char *key)
{
  uint32_t low = 0, high = table->count;

  while (low < high)
    {
      uint32_t mid = (low + high) / 2;

      if (strcmp (table->rows[mid].key, key) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

const MuxRow *
fake_table_find (const FakeTable *table, const char *key)
{
  uint32_t at = lower_bound (table, key);

  if (at == table->count || strcmp (table->rows[at].key, key) != 0)
    return NULL;
  return &table->rows[at];
}

static void
remove_row (FakeTable *table, uint32_t at)
{
  mux_blob_unref (table->rows[at].value);
  table->count--;
  memmove (&table->rows[at], &table->rows[at + 1],
           (table->count - at) * sizeof table->rows[0]);
}

static void
insert_row (FakeTable *table, uint32_t at, const char *key)
{
  table->rows = fake_sink_grow (table->rows, table->count, &table->cap,
                                sizeof table->rows[0]);
  memmove (&table->rows[at + 1], &table->rows[at],
           (table->count - at) * sizeof table->rows[0]);
  table->count++;
  table->rows[at] = (MuxRow){ 0 };
  snprintf (table->rows[at].key, MUX_ROW_KEY_LEN, "%s", key);
}

static void
put_row (FakeTable *table, const char *key, MuxBlob *value)
{
  uint32_t at = lower_bound (table, key);
  bool found = at < table->count && strcmp (table->rows[at].key, key) == 0;

  if (value == NULL)
    {
      if (found)
        remove_row (table, at);
      return;
    }
  if (!found)
    insert_row (table, at, key);
  mux_blob_unref (table->rows[at].value);
  table->rows[at].value = mux_blob_ref (value);
  table->rows[at].rev = table->rev;
}

void
fake_table_clear (FakeTable *table)
{
  while (table->count > 0)
    remove_row (table, table->count - 1);
  free (table->rows);
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
  uint32_t at = lower_bound (table, *after != 0 ? after : prefix);

  reply->row_count = 0;
  for (; at < table->count; at++)
    {
      const MuxRow *row = &table->rows[at];

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
