#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include "http.h"

/* Stand-in for the platform's store as PROTOCOL.md describes it: rows, one
 * part for each transaction, at most 100 entries and 1 MB for each call, at
 * most row_bytes for each value. */

#define ROW_BYTES 65536

typedef struct Store Store;

Store *store_new (void);
const char *store_addr (const Store *store);
/** store_put() - write a row as the operator or a worker does; takes @value */
void
store_put (Store *store, const char *table, const char *key, json_t *value);
void store_remove (Store *store, const char *table, const char *key);
/** store_claim_holder() - name in the claim; "" when there is none */
void store_claim_holder (Store *store, char *name, size_t cap);
/** store_refused_rows() - calls refused because a value was over ROW_BYTES,
 * and the largest such value in bytes */
unsigned store_refused_rows (Store *store, size_t *largest);

#endif
