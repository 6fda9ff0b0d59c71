#ifndef PORT_TABLE_H
#define PORT_TABLE_H

#include "base/blob.h"

#include <stdbool.h>
#include <stdint.h>

/* Bytes of a row's key with its closing NUL. */
#define MUX_ROW_KEY_LEN 128
/* Most rows of one transaction, read or scan page. */
#define MUX_ROWS_MAX 128

/* Condition of a put that holds whatever the row's revision is. */
#define MUX_REV_ANY UINT64_MAX
/* Revision of a row that does not exist. */
#define MUX_REV_ABSENT 0

/**
 * enum MuxTableVerb - what a table call does
 */
typedef enum
{
  MUX_TABLE_TXN,        /* all puts, if every row's condition holds */
  MUX_TABLE_GET,        /* the rows named */
  MUX_TABLE_SCAN,       /* rows of a key prefix, in key order, a page */
  MUX_TABLE_OBJECT_PUT, /* object store: rows[0] names and holds it; without
                           a value it is deleted */
  MUX_TABLE_OBJECT_GET, /* object store: rows[0] names it */
} MuxTableVerb;

/**
 * struct MuxRow - a row to read, check, write, or as found
 * @key: its key
 * @rev: condition of a put (revision it must have, MUX_REV_ABSENT,
 *   MUX_REV_ANY), or the revision as found
 * @value: content; NULL in a TXN deletes when @check_only is false
 * @check_only: TXN: only the condition counts, nothing is written
 */
typedef struct
{
  char key[MUX_ROW_KEY_LEN];
  uint64_t rev;
  MuxBlob *value;
  bool check_only;
} MuxRow;

/**
 * struct MuxTableCall - a call of the core to the platform's stores
 * @call_id: chosen by the core, returned in the reply
 * @verb: what to do
 * @timeout_ms: after this the reply is MUX_TABLE_UNKNOWN or _DOWN
 * @row_count: used rows
 * @limit: SCAN: most rows wanted, up to MUX_ROWS_MAX
 * @rows: TXN: conditions and puts; GET: keys; SCAN: rows[0].key is the
 *   prefix, rows[1].key the last key seen or ""
 *
 * Whoever frees it drops one reference of each value.
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
 * enum MuxTableStatus - how a table call ended
 */
typedef enum
{
  MUX_TABLE_OK,
  MUX_TABLE_CONFLICT, /* TXN: nothing written; the rows that failed follow */
  MUX_TABLE_DOWN,     /* certainly nothing was written */
  MUX_TABLE_UNKNOWN,  /* TXN or OBJECT_PUT: it may have taken effect */
  MUX_TABLE_BAD,      /* the platform called the request wrong */
} MuxTableStatus;

/**
 * struct MuxTableReply - the end of a table call
 * @call_id: of the call
 * @verb: of the call
 * @status: how it ended
 * @row_count: used rows
 * @more: SCAN: more rows follow
 * @rev: TXN: revision given to every row written
 * @rows: GET, SCAN: rows as found (absent rows of a GET have MUX_REV_ABSENT
 *   and no value); CONFLICT: the rows whose condition failed, as found
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

/** mux_table_call_new() - zeroed, with room for @rows; NULL: memory is out */
MuxTableCall *mux_table_call_new (MuxTableVerb verb, uint32_t rows);
void mux_table_call_free (MuxTableCall *call);
MuxTableReply *mux_table_reply_new (const MuxTableCall *call,
                                    MuxTableStatus status,
                                    uint32_t rows);
void mux_table_reply_free (MuxTableReply *reply);

#endif
