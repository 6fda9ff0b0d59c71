#ifndef SUPPORT_FAKE_TABLE_H
#define SUPPORT_FAKE_TABLE_H

#include "standin/platform_rows.h"

#include <stdbool.h>
#include <stdint.h>

/**
 * struct FakeTable - the platform's table and object store in memory
 * @down: every call fails with MUX_TABLE_DOWN
 * @ignore_conditions: commit transactions whatever their conditions, to show
 *   that a test which relies on them fails without them
 * @calls: number of calls carried out
 * @rev: last revision assigned
 * @rows: in key order, NULL while empty; keys of objects are prefixed with
 *   "object:"
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
/** fake_table_call() - carries @call out, which it does not change */
MuxTableReply *fake_table_call (FakeTable *table, const MuxTableCall *call);
/** fake_table_find() - finds the row of @key; NULL: none */
const MuxRow *fake_table_find (const FakeTable *table, const char *key);
/** fake_table_from() - finds the first row with a key of at least @key, or
 * NULL; standin_platform_rows_next() returns those after it */
const MuxRow *fake_table_from (const FakeTable *table, const char *key);

#endif
