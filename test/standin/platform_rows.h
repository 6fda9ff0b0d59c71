#ifndef STANDIN_PLATFORM_ROWS_H
#define STANDIN_PLATFORM_ROWS_H

#include "port/table.h"

/* Rows in key order (a skip list), for the table and the object store. */
typedef struct StandinRows StandinRows;

/** standin_platform_rows_new() - NULL if out of memory */
StandinRows *standin_platform_rows_new (void);
void standin_platform_rows_free (StandinRows *rows);
uint64_t standin_platform_rows_count (const StandinRows *rows);
/** standin_platform_rows_find() - NULL if there is no such row */
const MuxRow *standin_platform_rows_find (const StandinRows *rows,
                                          const char *key);
/** standin_platform_rows_from() - first row with a key of at least @key */
const MuxRow *standin_platform_rows_from (const StandinRows *rows,
                                          const char *key);
/** standin_platform_rows_next() - the row after @row, which is in the list */
const MuxRow *standin_platform_rows_next (const MuxRow *row);
/** standin_platform_rows_put() - inserts or replaces a row; takes a reference
 * to
 * @value
 * Return: false if out of memory. */
bool standin_platform_rows_put (StandinRows *rows,
                                const char *key,
                                uint64_t rev,
                                MuxBlob *value);
void standin_platform_rows_remove (StandinRows *rows, const char *key);

#endif
