#ifndef SUPPORT_FAKE_TABLE_H
#define SUPPORT_FAKE_TABLE_H

#include "standin/platform_rows.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct FakeTable - the platform's table and object store in memory
 * @down: every call ends as MUX_TABLE_DOWN
 * @ignore_conditions: transactions are carried out whatever their conditions;
 *   shows that a test which relies on them fails without
 * @calls: calls carried out
 * @rev: revision given last
 * @rows: in key order, NULL at first; objects have "object:" before their key
 */
typedef struct
{
  bool down;
  bool ignore_conditions;
  uint64_t calls;
  uint64_t rev;
  StandinRows *rows;
} FakeTable;

void fake_table_clear (FakeTable *table);
/** fake_table_call() - carry @call out; its rows are only read */
MuxTableReply *fake_table_call (FakeTable *table, const MuxTableCall *call);
/** fake_table_find() - NULL: no such row */
const MuxRow *fake_table_find (const FakeTable *table, const char *key);
/** fake_table_from() - first row with a key of at least @key, or NULL; the
 *  others follow by standin_platform_rows_next() */
const MuxRow *fake_table_from (const FakeTable *table, const char *key);

#endif
