#ifndef PORT_TABLE_H
#define PORT_TABLE_H

#include "base/blob.h"

#include <stdbool.h>
#include <stdint.h>

/* Bytes of a row's key with its closing NUL. */
#define MUX_ROW_KEY_LEN 128
/* Most rows of one transaction, GET or page of a SCAN. */
#define MUX_ROWS_MAX 128

/* Condition of a put that always holds. */
#define MUX_REV_ANY UINT64_MAX
/* Revision of a row that does not exist. */
#define MUX_REV_ABSENT 0

/**
 * enum MuxTableVerb - operation of a table call
 */
typedef enum
{
  MUX_TABLE_TXN,        /* all puts if every row's condition holds, else none */
  MUX_TABLE_GET,        /* the rows named */
  MUX_TABLE_SCAN,       /* a page of the rows of a key prefix, in key order */
  MUX_TABLE_OBJECT_PUT, /* object store: write the object rows[0]; delete it
                           if that has no value */
  MUX_TABLE_OBJECT_GET, /* object store: read the object that rows[0] names */
} MuxTableVerb;

/**
 * struct MuxRow - a row to be read, checked or written, or as read
 * @key: of the row
 * @rev: condition of a put (the revision that the row must have,
 *   MUX_REV_ABSENT or MUX_REV_ANY), or the revision as read
 * @value: content; holds a reference; NULL in a TXN without @check_only:
 *   delete the row
 * @check_only: TXN: check the condition, write nothing
 */
typedef struct
{
  char key[MUX_ROW_KEY_LEN];
  uint64_t rev;
  MuxBlob *value;
  bool check_only;
} MuxRow;

/**
 * struct MuxTableCall - a call of the core to the platform's table or object
 * store
 * @call_id: chosen by the core, returned in the reply
 * @verb: operation
 * @timeout_ms: after this the reply is MUX_TABLE_UNKNOWN or MUX_TABLE_DOWN
 * @row_count: used rows
 * @limit: SCAN: most rows wanted, up to MUX_ROWS_MAX
 * @rows: TXN: conditions and puts; GET: keys; SCAN: rows[0].key is the
 *   prefix, rows[1].key the last key of the page before or ""
 *
 * Freeing it drops one reference to each value.
 */
typedef struct
{
  uint64_t call_id;
  MuxTableVerb verb;
  uint32_t timeout_ms;
  uint32_t row_count;
  uint32_t limit;
  MuxRow rows[];
} MuxTableCall;

/**
 * enum MuxTableStatus - result of a table call
 */
typedef enum
{
  MUX_TABLE_OK,
  MUX_TABLE_CONFLICT,    /* TXN: nothing was written; see @rows of the reply */
  MUX_TABLE_DOWN,        /* certainly nothing was written */
  MUX_TABLE_UNKNOWN,     /* TXN or OBJECT_PUT: it may have taken effect */
  MUX_TABLE_BAD_REQUEST, /* the platform rejected the request as malformed */
} MuxTableStatus;

/**
 * struct MuxTableReply - result of a table call
 * @call_id: of the call
 * @verb: of the call
 * @status: see enum MuxTableStatus
 * @row_count: used rows
 * @more: SCAN: there are more rows behind the last one
 * @rev: TXN: revision given to every row written
 * @rows: GET, SCAN: the rows read (absent rows of a GET have MUX_REV_ABSENT
 *   and no value); CONFLICT: the rows whose condition failed, as they are
 */
typedef struct
{
  uint64_t call_id;
  MuxTableVerb verb;
  MuxTableStatus status;
  uint32_t row_count;
  bool more;
  uint64_t rev;
  MuxRow rows[];
} MuxTableReply;

/** mux_table_call_new() - allocate a zeroed call with @rows rows
 * Return: NULL when out of memory. */
MuxTableCall *mux_table_call_new (MuxTableVerb verb, uint32_t rows);
void mux_table_call_free (MuxTableCall *call);
/** mux_table_reply_new() - allocate a reply to @call with @rows zeroed rows
 * Return: NULL when out of memory. */
MuxTableReply *mux_table_reply_new (const MuxTableCall *call,
                                    MuxTableStatus status,
                                    uint32_t rows);
void mux_table_reply_free (MuxTableReply *reply);

#endif
